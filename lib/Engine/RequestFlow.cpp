#include "RequestFlow.h"

#include "dragonflymoor/Support/Hash.h"

#include <algorithm>
#include <cassert>

namespace dfm {

namespace {

/// Time after the deadline in which a peer's reply may still arrive.
constexpr Duration kForwardGrace = 100ms;
constexpr size_t kCrashTellers = 2; ///< VMs that repeat crash reports to one that starts.
/// Bytes of a message between VMs besides the request or answer that it carries.
constexpr uint64_t kMessageBytes = 256;
constexpr Duration kRetryAfterLow = 1s;
constexpr Duration kRetryAfterHigh = 3s;

bool
IsTryElsewhere(Reason aReason)
{
  return aReason == Reason::QueueFull || aReason == Reason::NoServer ||
         aReason == Reason::NotOwner || aReason == Reason::RegionBusy ||
         aReason == Reason::LinkBudget;
}

} // namespace

RequestFlow::RequestFlow(EngineContext& aContext, FleetControl& aFleet)
  : context_(aContext)
  , fleet_(aFleet)
  , limiter_(aFleet.Shares())
  , links_(aContext.Self().region, aFleet.Shares())
  , retryPolicy_({}, retryBudget_)
  , crashes_({}, aContext.random.Next())
  , pools_(aContext, aFleet, MakePoolHooks())
  , targets_(aContext, aFleet, pools_)
  , claims_(aContext,
            aFleet,
            [this](Now aNow, ClaimTicket aTicket, const ClaimVerdict& aVerdict) {
              ledger_.OnClaimDecided(aNow, aTicket, aVerdict);
            })
  , paced_(links_, aContext.hooks.reply)
  , ledger_({ .self = aContext.SelfInstance() }, MakeLedgerHooks())
{
}

OrderLedgerHooks
RequestFlow::MakeLedgerHooks()
{
  return {
    .requestClaim =
      [this](Now aNow, ClaimTicket aTicket, uint64_t aWindow, const Claim& aClaim) {
        claims_.Request(aNow, aTicket, aWindow, aClaim);
      },
    .proceed = [this](Now, RequestId aId) { deferred_.push_back({ .id = aId }); },
    .withdraw =
      [this](Now aNow, RequestId aId) {
        Flow* flow = Find(aId);
        if (!flow)
          return true;
        const bool waits = std::any_of(deferred_.begin(),
                                       deferred_.end(),
                                       [&](const Deferred& aStep) { return aStep.id == aId; });
        if (!waits && (flow->stage != Stage::Queued || !pools_.Cancel(flow->pool, aId)))
          return false;
        std::erase_if(deferred_, [&](const Deferred& aStep) { return aStep.id == aId; });
        Release(aNow, *flow);
        flows_.erase(aId);
        return true;
      },
    .forwardToClaimer =
      [this](Now, RequestId aId, const VmInstance& aClaimer) {
        deferred_.push_back({ .id = aId, .claimer = aClaimer });
      },
    .reply = [this](Now aNow,
                    RequestId aId,
                    const Reply& aReply) { Deliver(aNow, aId, aReply, answerBytes_); },
    .forgetAnswer = context_.hooks.forgetAnswer,
    .isAlive =
      [this](const VmInstance& aInstance) {
        const InstanceState state = fleet_.Members().StateOf(aInstance);
        return state == InstanceState::Alive || state == InstanceState::Suspect;
      },
  };
}

PoolHostHooks
RequestFlow::MakePoolHooks()
{
  return { .beginAttempt = [this](Now aNow, RequestId aId) { return BeginAttempt(aNow, aId); },
           .started =
             [this](RequestId aId, AttemptId aAttempt, const BackendId& aServer) {
               Flow& flow = flows_.at(aId);
               flow.stage = Stage::Running;
               flow.attempt = aAttempt;
               flow.triedServers.insert(aServer);
             } };
}

bool
RequestFlow::IsLedgered(const RequestHead& aHead) const
{
  if (!aHead.order)
    return false;
  const OrderRole role = OrderRoleOf(aHead, context_.SelfInstance());
  return role == OrderRole::Entry || role == OrderRole::Claimer;
}

RequestFlow::Flow*
RequestFlow::Find(RequestId aId)
{
  const auto found = flows_.find(aId);
  return found == flows_.end() ? nullptr : &found->second;
}

Duration
RequestFlow::RetryAfter()
{
  return context_.random.Between(kRetryAfterLow, kRetryAfterHigh);
}

void
RequestFlow::OnListsChanged(Now aNow)
{
  limiter_.SetLimits(fleet_.Lists().limits, aNow.monotonic);
  links_.SetLinks(fleet_.Lists().links, aNow.monotonic);
  pools_.OnListsChanged(aNow);
  Settle(aNow);
}

void
RequestFlow::OnMembersChanged(Now aNow)
{
  claims_.OnMembersChanged();
  pools_.OnMembersChanged(aNow);
  Settle(aNow);
}

void
RequestFlow::OnMemberGone(Now aNow, const VmId& aVm)
{
  std::vector<RequestId> lost;
  for (const auto& [id, flow] : flows_) {
    const bool forwarded = flow.stage == Stage::Forwarded || flow.stage == Stage::ForwardedCopy;
    if (forwarded && flow.forwardedTo == aVm)
      lost.push_back(id);
  }
  for (const RequestId id : lost)
    OnForwardFailed(aNow, id, true);
}

void
RequestFlow::OnMemberJoined(Now aNow, const Vm& aVm)
{
  // A starting VM must not run a request that has crashed servers before. A few VMs tell it.
  const uint64_t own = RendezvousWeight(aVm.id.Value(), context_.Self().id.Value());
  size_t better = 0;
  for (const MemberUpdate& member : fleet_.Members().LiveMembers()) {
    const bool candidate = member.vm.id != aVm.id && member.vm.id != context_.Self().id;
    if (candidate && RendezvousWeight(aVm.id.Value(), member.vm.id.Value()) > own)
      ++better;
  }
  if (better >= kCrashTellers)
    return;
  for (const CrashReport& report : crashes_.Reports(aNow.monotonic))
    context_.hooks.sendStream(aVm, report);
}

void
RequestFlow::OnTick(Now aNow)
{
  limiter_.OnTick(aNow.monotonic);
  links_.OnTick(aNow.monotonic);
  pools_.OnTick(aNow);
  claims_.OnTick(aNow);
  ledger_.OnTick(aNow);
  ExpireForwards(aNow);
  Settle(aNow);
  paced_.Send(aNow.monotonic);
}

void
RequestFlow::Settle(Now aNow)
{
  // Refusals and deferred steps may cause each other: a refused request goes to another pool.
  while (true) {
    for (const PoolRefusal& refusal : pools_.TakeRefusals())
      OnRefusal(aNow, refusal);
    for (const RequestId id : std::exchange(blocked_, {})) {
      if (Flow* flow = Find(id))
        GiveUp(aNow, *flow, Reason::CrashQuarantine);
    }
    if (deferred_.empty())
      break;
    const Deferred next = deferred_.front();
    deferred_.pop_front();
    OnDeferred(aNow, next);
  }
}

void
RequestFlow::OnRefusal(Now aNow, const PoolRefusal& aRefusal)
{
  Flow* flow = Find(aRefusal.request);
  if (!flow)
    return;
  flow->triedPools.insert(flow->pool);
  flow->lastReason = aRefusal.reason;
  const bool elsewhere =
    IsTryElsewhere(aRefusal.reason) && flow->freeTries < RetryPolicyOptions().maxFreeTries;
  if (!elsewhere || flow->head.forwardedBy)
    return GiveUp(aNow, *flow, aRefusal.reason);
  ++flow->freeTries;
  Route(aNow, aRefusal.request);
}

void
RequestFlow::OnDeferred(Now aNow, const Deferred& aDeferred)
{
  Flow* flow = Find(aDeferred.id);
  if (!flow)
    return;
  if (aDeferred.claimer)
    return ForwardCopy(aNow, *flow, *aDeferred.claimer);
  flow->carrier = true;
  Route(aNow, aDeferred.id);
}

void
RequestFlow::ForwardCopy(Now aNow, Flow& aFlow, const VmInstance& aClaimer)
{
  const Vm* vm = fleet_.FindVm(aClaimer.vm);
  if (vm && SpendLink(aNow, aFlow, *vm)) {
    aFlow.stage = Stage::ForwardedCopy;
    return PassOn(aFlow, *vm, aClaimer);
  }
  const Reason reason = vm ? Reason::LinkBudget : Reason::ClaimerGone;
  ledger_.OnForwardEnded(
    aNow, aFlow.head.id, Reply{ .outcome = Outcome::Unknown, .reason = reason });
}

Reason
RequestFlow::Check(Now aNow, RequestHead& aHead) const
{
  if (!fleet_.Ready())
    return Reason::NotReady;
  const Service* service = fleet_.Lists().FindService(aHead.service);
  if (!service)
    return Reason::UnknownService;
  const Plan* plan = fleet_.Lists().FindPlan(aHead.plan);
  if (!plan || plan->workspace != aHead.workspace)
    return Reason::UnknownPlan;
  if (!service->idempotent && !aHead.order)
    return Reason::BadRequest;
  if (service->idempotent)
    aHead.order.reset();
  aHead.rank = std::max(aHead.rank, service->rank);
  if (aHead.deadline == TimePoint())
    aHead.deadline = aNow.monotonic + service->deadline;
  if (aHead.deadline <= aNow.monotonic)
    return Reason::DeadlineExceeded;
  if (refuseNew_ && !aHead.forwardedBy)
    return Reason::Stopping;
  if (crashes_.IsBlocked(aNow.monotonic, aHead.workspace, aHead.fingerprint))
    return Reason::CrashQuarantine;
  return Reason::None;
}

void
RequestFlow::OnRequest(Now aNow, const RequestHead& aHead)
{
  Admit(aNow, aHead);
  Settle(aNow);
}

void
RequestFlow::Admit(Now aNow, RequestHead aHead)
{
  context_.hooks.count("requests", Reason::None);
  const Reason reason = Check(aNow, aHead);
  // Before any refusal by the ledger, which might write a claim for a key that is out of date.
  if (IsLedgered(aHead)) {
    if (const auto refusal = ValidateOrderKey(*aHead.order, aNow.wall)) {
      context_.hooks.count("refusals", refusal->reason);
      return context_.hooks.reply(aHead.id,
                                  { .outcome = refusal->outcome, .reason = refusal->reason });
    }
  }
  if (reason != Reason::None)
    return Refuse(aNow, aHead, reason);
  retryBudget_.OnRequest(aHead.service);
  const bool joins = aHead.order && ledger_.Knows(aHead);
  if (!aHead.forwardedBy && !joins) {
    const Reason limit =
      limiter_.TryAdmit(aHead.plan, aHead.service, aHead.deadline, aNow.monotonic);
    if (limit != Reason::None)
      return Refuse(aNow, aHead, limit);
  }
  Flow& flow = flows_[aHead.id];
  flow.head = aHead;
  flow.planCounted = !aHead.forwardedBy && !joins;
  if (aHead.order)
    return AdmitOrder(aNow, flow);
  Route(aNow, aHead.id);
}

void
RequestFlow::AdmitOrder(Now aNow, Flow& aFlow)
{
  const RequestHead head = aFlow.head;
  switch (OrderRoleOf(head, context_.SelfInstance())) {
    case OrderRole::Claimer:
      if (!ReserveAnswer(aNow, aFlow))
        return ledger_.Reject(aNow, head, Reason::LinkBudget, RetryAfter());
      return ledger_.OnCopy(aNow, head);
    case OrderRole::Entry:
      return ledger_.OnCopy(aNow, head);
    case OrderRole::Executor:
      return Route(aNow, head.id);
    case OrderRole::ClaimerGone:
    case OrderRole::Invalid:
      break;
  }
  Finish(aNow, aFlow, { .outcome = Outcome::Unknown, .reason = Reason::ClaimerGone }, 0);
}

void
RequestFlow::Refuse(Now aNow, const RequestHead& aHead, Reason aReason)
{
  const bool retry = aReason != Reason::BadRequest && aReason != Reason::UnknownService &&
                     aReason != Reason::UnknownPlan;
  const std::optional<Duration> retryAfter =
    retry ? std::optional<Duration>(RetryAfter()) : std::nullopt;
  if (IsLedgered(aHead)) {
    // The copy may have siblings elsewhere: only the ledger knows what may be said about it.
    flows_[aHead.id].head = aHead;
    return ledger_.Reject(aNow, aHead, aReason, retryAfter);
  }
  // A copy for an earlier run of this VM may have run there.
  const bool certain =
    !aHead.order || OrderRoleOf(aHead, context_.SelfInstance()) == OrderRole::Executor;
  context_.hooks.count("refusals", aReason);
  context_.hooks.reply(aHead.id,
                       Reply{ .outcome = certain ? Outcome::NotRun : Outcome::Unknown,
                              .reason = aReason,
                              .retryAfter = retryAfter });
}

void
RequestFlow::Route(Now aNow, RequestId aId)
{
  Flow& flow = flows_.at(aId);
  if (aNow.monotonic >= flow.head.deadline)
    return GiveUp(aNow, flow, Reason::DeadlineExceeded);
  if (flow.head.forwardedBy && !flow.carrier)
    return RouteForwarded(aNow, flow);
  while (const std::optional<Target> target = targets_.Choose(aNow, QueryOf(flow))) {
    if (target->owner == context_.Self().id)
      return EnqueueHere(aNow, flow, target->pool);
    const Vm* vm = fleet_.FindVm(target->owner);
    if (vm && SpendLink(aNow, flow, *vm))
      return Forward(aNow, flow, target->pool, *vm);
    flow.triedPools.insert(target->pool);
    flow.lastReason = vm ? Reason::LinkBudget : Reason::PeerUnreachable;
  }
  GiveUp(aNow, flow, flow.lastReason);
}

bool
RequestFlow::SpendLink(Now aNow, const Flow& aFlow, const Vm& aTo)
{
  if (aTo.region == context_.Self().region)
    return true;
  return links_.TrySend(
    aTo.region, aFlow.head.rank, aFlow.head.requestBytes + kMessageBytes, aNow.monotonic);
}

void
RequestFlow::RouteForwarded(Now aNow, Flow& aFlow)
{
  std::vector<PoolId> own = pools_.OwnPools(aFlow.head.service, aNow);
  std::erase_if(own, [&](const PoolId& aPool) { return aFlow.triedPools.contains(aPool); });
  if (own.empty()) {
    Reply reply{ .outcome = Outcome::NotRun, .reason = Reason::NotOwner };
    for (const PoolSite& site : pools_.PoolsOf(aFlow.head.service)) {
      const std::optional<VmId> owner = pools_.Owner(site.pool, aNow);
      if (owner && *owner != context_.Self().id && site.region == context_.Self().region)
        reply.owner = owner;
    }
    return Finish(aNow, aFlow, reply, 0);
  }
  const auto best =
    std::min_element(own.begin(), own.end(), [&](const PoolId& aLeft, const PoolId& aRight) {
      return pools_.Load(aLeft, aNow) < pools_.Load(aRight, aNow);
    });
  const PoolId pool = *best;
  const Reason reason = AdmitRemote(aNow, aFlow, pool);
  if (reason != Reason::None)
    return GiveUp(aNow, aFlow, reason);
  pools_.NoteForwarder(aNow, pool, *aFlow.head.forwardedBy);
  EnqueueHere(aNow, aFlow, pool);
}

Reason
RequestFlow::AdmitRemote(Now aNow, Flow& aFlow, const PoolId& aPool)
{
  const std::optional<RegionId>& from = aFlow.head.forwardedFrom;
  if (!from || *from == context_.Self().region)
    return Reason::None;
  if (!ReserveAnswer(aNow, aFlow))
    return Reason::LinkBudget;
  const Reason reason = pools_.TryAdmitRemote(aPool);
  aFlow.remoteCounted = reason == Reason::None;
  if (aFlow.remoteCounted)
    aFlow.pool = aPool;
  return reason;
}

bool
RequestFlow::ReserveAnswer(Now aNow, Flow& aFlow)
{
  const std::optional<RegionId> to = LinkToCaller(aFlow);
  if (!to)
    return true;
  const Service* service = fleet_.Lists().FindService(aFlow.head.service);
  assert(service && "checked at admission");
  if (!links_.TryReserve(*to,
                         aFlow.head.id,
                         aFlow.head.rank,
                         service->expectedAnswerBytes + kMessageBytes,
                         aNow.monotonic))
    return false;
  aFlow.reservedTo = to;
  return true;
}

void
RequestFlow::EnqueueHere(Now aNow, Flow& aFlow, const PoolId& aPool)
{
  aFlow.pool = aPool;
  aFlow.stage = Stage::Queued;
  const std::vector<PoolId> own = pools_.OwnPools(aFlow.head.service, aNow);
  if (std::find(own.begin(), own.end(), aPool) == own.end())
    return GiveUp(aNow, aFlow, Reason::NotOwner);
  // The pool may start the request at once, which changes the flow.
  const RequestHead head = aFlow.head;
  const std::set<BackendId> tried = aFlow.triedServers;
  pools_.Enqueue(aNow, aPool, head, tried);
}

void
RequestFlow::Forward(Now aNow, Flow& aFlow, const PoolId& aPool, const Vm& aOwner)
{
  const RequestId id = aFlow.head.id;
  aFlow.pool = aPool;
  if (aFlow.carrier && !ledger_.BeginDispatch(aNow, id)) {
    aFlow.stage = Stage::WithLedger;
    return;
  }
  aFlow.stage = Stage::Forwarded;
  PassOn(aFlow,
         aOwner,
         aFlow.carrier ? std::optional<VmInstance>(context_.SelfInstance()) : std::nullopt);
}

void
RequestFlow::PassOn(Flow& aFlow, const Vm& aTo, const std::optional<VmInstance>& aClaimer)
{
  aFlow.forwardedTo = aTo.id;
  RequestHead head = aFlow.head;
  head.forwardedBy = context_.Self().id;
  head.forwardedFrom = context_.Self().region;
  head.claimer = aClaimer;
  forwardDeadlines_.insert({ head.deadline + kForwardGrace, head.id });
  context_.hooks.count("forwards", Reason::None);
  context_.hooks.forward(head.id, head, aTo);
}

std::optional<TimePoint>
RequestFlow::BeginAttempt(Now aNow, RequestId aId)
{
  Flow* flow = Find(aId);
  if (!flow)
    return std::nullopt;
  if (crashes_.IsBlocked(aNow.monotonic, flow->head.workspace, flow->head.fingerprint)) {
    flow->lastReason = Reason::CrashQuarantine;
    blocked_.push_back(aId);
    return std::nullopt;
  }
  if (!flow->carrier || ledger_.BeginDispatch(aNow, aId))
    return flow->head.deadline;
  flow->stage = Stage::WithLedger;
  return std::nullopt;
}

TargetQuery
RequestFlow::QueryOf(const Flow& aFlow)
{
  return { .service = aFlow.head.service,
           .deadline = aFlow.head.deadline,
           .triedPools = aFlow.triedPools,
           .triedServers = aFlow.triedServers };
}

RetryFacts
RequestFlow::FactsOf(const Flow& aFlow) const
{
  const Service* service = fleet_.Lists().FindService(aFlow.head.service);
  return RetryFacts{ .service = aFlow.head.service,
                     .idempotent = !aFlow.head.order,
                     .deadline = aFlow.head.deadline,
                     .expectedTime = service ? service->expectedTime : Duration{},
                     .freeTries = aFlow.freeTries,
                     .budgetTries = aFlow.budgetTries,
                     .mayHaveRun = aFlow.mayHaveRun };
}

bool
RequestFlow::Follow(Now aNow, Flow& aFlow, const RetryDecision& aDecision)
{
  if (aDecision.action != RetryAction::Retry)
    return false;
  context_.hooks.count("retries", aDecision.reason);
  ++(aDecision.usedBudget ? aFlow.budgetTries : aFlow.freeTries);
  aFlow.lastReason = aDecision.reason;
  if (aFlow.carrier)
    ledger_.OnDispatchUndone(aNow, aFlow.head.id);
  return true;
}

void
RequestFlow::OnAttemptEnded(Now aNow, AttemptId aAttempt, const AttemptResult& aResult)
{
  const std::optional<EndedAttempt> ended = pools_.OnAttemptEnded(aNow, aAttempt, aResult);
  Flow* flow = ended ? Find(ended->request) : nullptr;
  if (!flow || flow->attempt != aAttempt)
    return Settle(aNow);
  flow->attempt.reset();
  if (aResult.end == AttemptEnd::Crashed)
    BroadcastCrash(crashes_.OnCrash(aNow.monotonic, flow->head.workspace, flow->head.fingerprint));
  const bool abandoned = flow->callerGone && !flow->carrier;
  RetryFacts facts = FactsOf(*flow);
  const bool samePool = pools_.HasServer(ended->pool, flow->triedServers);
  facts.otherServerAvailable =
    !abandoned && (samePool || (!flow->head.forwardedBy && targets_.Choose(aNow, QueryOf(*flow))));
  facts.fingerprintBlocked =
    crashes_.IsBlocked(aNow.monotonic, flow->head.workspace, flow->head.fingerprint);
  const RetryDecision decision =
    retryPolicy_.DecideAfterAttempt(aNow.monotonic, aResult.end, facts);
  flow->mayHaveRun |= !CertainlyNotRun(aResult.end);
  if (decision.action == RetryAction::Accept) {
    Reply reply{ .outcome = Outcome::Answered,
                 .source = AnswerSource::Attempt,
                 .attempt = aAttempt };
    Finish(aNow, *flow, reply, aResult.answerBytes);
  } else if (Follow(aNow, *flow, decision)) {
    if (samePool)
      EnqueueHere(aNow, *flow, ended->pool);
    else
      Route(aNow, ended->request);
  } else {
    Reply reply{ .outcome = decision.outcome,
                 .reason = decision.reason,
                 .retryAfter = RetryAfter() };
    Finish(aNow, *flow, reply, 0);
  }
  Settle(aNow);
}

void
RequestFlow::OnForwardReply(Now aNow, RequestId aId, const ForwardReply& aReply)
{
  OnForwardOutcome(aNow, aId, aReply);
  Settle(aNow);
}

void
RequestFlow::OnForwardFailed(Now aNow, RequestId aId, bool aSent)
{
  const Flow* flow = Find(aId);
  // A copy that does not reach its claimer says nothing about the claimer's own copies.
  const bool mayRun = aSent || (flow && flow->stage == Stage::ForwardedCopy);
  ForwardReply reply;
  reply.outcome = mayRun ? Outcome::Unknown : Outcome::NotRun;
  reply.reason = aSent ? Reason::PeerFailed : Reason::PeerUnreachable;
  OnForwardOutcome(aNow, aId, reply);
  Settle(aNow);
}

void
RequestFlow::OnForwardOutcome(Now aNow, RequestId aId, const ForwardReply& aReply)
{
  Flow* flow = Find(aId);
  if (!flow || (flow->stage != Stage::Forwarded && flow->stage != Stage::ForwardedCopy))
    return;
  forwardDeadlines_.erase({ flow->head.deadline + kForwardGrace, aId });
  const bool copy = flow->stage == Stage::ForwardedCopy;
  flow->stage = Stage::WithLedger;
  Reply reply{ .outcome = aReply.outcome,
               .reason = aReply.reason,
               .retryAfter = aReply.retryAfter };
  if (aReply.outcome == Outcome::Answered)
    reply.source = AnswerSource::Forward;
  if (copy)
    return ledger_.OnForwardEnded(aNow, aId, reply);
  if (FollowOwner(aNow, *flow, aReply))
    return;
  if (aReply.outcome == Outcome::NotRun)
    pools_.NoteRemoteRefusal(aNow, flow->pool);
  flow->triedPools.insert(flow->pool);
  RetryFacts facts = FactsOf(*flow);
  facts.otherServerAvailable =
    !flow->callerGone && targets_.Choose(aNow, QueryOf(*flow)).has_value();
  const RetryDecision decision =
    retryPolicy_.DecideAfterForward(aNow.monotonic, aReply.outcome, aReply.reason, facts);
  flow->mayHaveRun |= aReply.outcome == Outcome::Unknown;
  if (decision.action == RetryAction::Accept)
    return Finish(aNow, *flow, reply, aReply.content.size());
  if (Follow(aNow, *flow, decision))
    return Route(aNow, aId);
  reply.outcome = decision.outcome;
  reply.reason = decision.reason;
  reply.source = AnswerSource::None;
  Finish(aNow, *flow, reply, 0);
}

bool
RequestFlow::FollowOwner(Now aNow, Flow& aFlow, const ForwardReply& aReply)
{
  const bool named = aReply.outcome == Outcome::NotRun && aReply.reason == Reason::NotOwner &&
                     aReply.owner && *aReply.owner != context_.Self().id;
  if (!named || aFlow.callerGone || !aFlow.askedOwners.insert(*aReply.owner).second)
    return false;
  if (aFlow.freeTries >= RetryPolicyOptions().maxFreeTries)
    return false;
  const RetryDecision retry{ .action = RetryAction::Retry, .reason = Reason::NotOwner };
  const Vm* vm = fleet_.FindVm(*aReply.owner);
  if (!vm || !SpendLink(aNow, aFlow, *vm))
    return false;
  Follow(aNow, aFlow, retry);
  Forward(aNow, aFlow, aFlow.pool, *vm);
  return true;
}

void
RequestFlow::OnRequestCancelled(Now aNow, RequestId aId)
{
  Flow* flow = Find(aId);
  if (!flow)
    return;
  flow->callerGone = true;
  if (IsLedgered(flow->head)) {
    ledger_.OnCopyGone(aNow, aId);
    flow = Find(aId);
    if (flow && !ledger_.Owns(aId)) {
      Release(aNow, *flow);
      flows_.erase(aId);
    }
    return Settle(aNow);
  }
  switch (flow->stage) {
    case Stage::Queued:
      if (pools_.Cancel(flow->pool, aId)) {
        Release(aNow, *flow);
        flows_.erase(aId);
      }
      break;
    case Stage::Running:
      // An order that reached a server runs to its end: its outcome is still asked for.
      if (!flow->head.order && flow->attempt)
        context_.hooks.cancelAttempt(*flow->attempt);
      break;
    case Stage::Forwarded:
      if (const Vm* vm = fleet_.FindVm(flow->forwardedTo))
        context_.hooks.cancelForward(aId, *vm);
      forwardDeadlines_.erase({ flow->head.deadline + kForwardGrace, aId });
      Release(aNow, *flow);
      flows_.erase(aId);
      break;
    case Stage::ForwardedCopy:
    case Stage::WithLedger:
      break;
  }
  Settle(aNow);
}

bool
RequestFlow::OnStream(Now aNow, const VmId& aFrom, const StreamMessage& aMessage)
{
  if (const auto* crash = std::get_if<CrashReport>(&aMessage))
    crashes_.OnReport(aNow.monotonic, *crash);
  else if (const auto* state = std::get_if<PoolState>(&aMessage))
    pools_.OnPoolState(aNow, aFrom, *state);
  else if (!claims_.OnStream(aNow, aFrom, aMessage))
    return false;
  Settle(aNow);
  return true;
}

bool
RequestFlow::OnStoreResult(Now aNow, StoreCallId aCall, const StoreResult& aResult)
{
  if (!claims_.OnStoreResult(aNow, aCall, aResult))
    return false;
  Settle(aNow);
  return true;
}

void
RequestFlow::OnLoadReport(Now aNow,
                          const BackendId& aBackend,
                          const std::optional<LoadReport>& aReport)
{
  pools_.OnLoadReport(aNow, aBackend, aReport);
  Settle(aNow);
}

void
RequestFlow::GiveUp(Now aNow, Flow& aFlow, Reason aReason)
{
  Reply reply{ .outcome = aFlow.mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
               .reason = aReason,
               .retryAfter = RetryAfter() };
  Finish(aNow, aFlow, reply, 0);
}

void
RequestFlow::Finish(Now aNow, Flow& aFlow, const Reply& aReply, uint64_t aAnswerBytes)
{
  const RequestId id = aFlow.head.id;
  if (!aFlow.carrier)
    return Deliver(aNow, id, aReply, aAnswerBytes);
  answerBytes_ = aAnswerBytes;
  ledger_.OnFinished(aNow, id, aReply, aAnswerBytes);
  answerBytes_ = 0;
  // The ledger replies to every copy with a caller; a carrier without one ends here.
  if (Flow* rest = Find(id)) {
    Release(aNow, *rest);
    flows_.erase(id);
  }
}

void
RequestFlow::Deliver(Now aNow, RequestId aId, const Reply& aReply, uint64_t aAnswerBytes)
{
  Flow* flow = Find(aId);
  if (aReply.outcome != Outcome::Answered)
    context_.hooks.count("refusals", aReply.reason);
  if (!flow)
    return context_.hooks.reply(aId, aReply);
  const std::optional<RegionId> refusedTo =
    aReply.outcome == Outcome::Answered ? std::nullopt : LinkToCaller(*flow);
  // A refusal is sent even when the budget is used up, since the sender waits for it; its bytes are
  // taken from what later requests may use.
  if (refusedTo)
    links_.TrySend(*refusedTo, Rank::Urgent, kMessageBytes, aNow.monotonic);
  const bool gone = flow->callerGone && !flow->carrier;
  const bool paced = aReply.outcome == Outcome::Answered && Pace(aReply, *flow, aAnswerBytes);
  Release(aNow, *flow);
  flows_.erase(aId);
  if (paced)
    paced_.Send(aNow.monotonic);
  else if (!gone)
    context_.hooks.reply(aId, aReply);
}

bool
RequestFlow::Pace(const Reply& aReply, Flow& aFlow, uint64_t aAnswerBytes)
{
  const std::optional<RegionId> to = LinkToCaller(aFlow);
  if (!to && !paced_.MustWait(aReply))
    return false;
  PacedReply paced{ .id = aFlow.head.id,
                    .reply = aReply,
                    .to = to,
                    .rank = aFlow.head.rank,
                    .expires = aFlow.head.deadline + kForwardGrace };
  if (to) {
    const Service* service = fleet_.Lists().FindService(aFlow.head.service);
    const uint64_t usualBytes = service ? service->expectedAnswerBytes : 0;
    paced.bytesLeft = (aAnswerBytes > 0 ? aAnswerBytes : usualBytes) + kMessageBytes;
    // The reservation of the answer ends when its last byte may be sent.
    paced.reserved = aFlow.reservedTo.has_value();
    aFlow.reservedTo.reset();
  }
  paced_.Add(std::move(paced));
  return true;
}

std::optional<RegionId>
RequestFlow::LinkToCaller(const Flow& aFlow) const
{
  const std::optional<RegionId>& from = aFlow.head.forwardedFrom;
  if (!from || *from == context_.Self().region)
    return std::nullopt;
  const std::vector<Link>& links = fleet_.Lists().links;
  const bool known = std::any_of(links.begin(), links.end(), [&](const Link& aLink) {
    return aLink.from == context_.Self().region && aLink.to == *from;
  });
  return known ? from : std::nullopt;
}

void
RequestFlow::Release(Now aNow, Flow& aFlow)
{
  if (std::exchange(aFlow.planCounted, false))
    limiter_.OnEnded(aFlow.head.plan, aFlow.head.service, aNow.monotonic);
  if (std::exchange(aFlow.remoteCounted, false))
    pools_.OnRemoteEnded(aFlow.pool);
  if (aFlow.reservedTo)
    links_.Release(*aFlow.reservedTo, aFlow.head.id);
  aFlow.reservedTo.reset();
}

void
RequestFlow::ExpireForwards(Now aNow)
{
  while (!forwardDeadlines_.empty() && forwardDeadlines_.begin()->first <= aNow.monotonic) {
    const RequestId id = forwardDeadlines_.begin()->second;
    forwardDeadlines_.erase(forwardDeadlines_.begin());
    Flow* flow = Find(id);
    if (!flow)
      continue;
    if (const Vm* vm = fleet_.FindVm(flow->forwardedTo))
      context_.hooks.cancelForward(id, *vm);
    ForwardReply late;
    late.outcome = Outcome::Unknown;
    late.reason = Reason::ServerTimeout;
    OnForwardOutcome(aNow, id, late);
  }
}

void
RequestFlow::BroadcastCrash(const CrashReport& aReport)
{
  context_.hooks.count("crashes", Reason::ServerCrashed);
  for (const MemberUpdate& member : fleet_.Members().LiveMembers()) {
    if (member.vm.id != context_.Self().id)
      context_.hooks.sendStream(member.vm, aReport);
  }
}

void
RequestFlow::FillStatus(Now aNow, EngineStatus& aStatus) const
{
  pools_.FillStatus(aNow, aStatus);
  aStatus.requestsInFlight = static_cast<uint32_t>(InFlight());
  for (const Link& link : fleet_.Lists().links) {
    if (link.from != context_.Self().region)
      continue;
    aStatus.links.push_back(
      { .from = link.from,
        .to = link.to,
        .capBytesPerSecond = static_cast<double>(link.capBytesPerSecond),
        .shareBytesPerSecond = links_.ShareBytesPerSecond(link.to, aNow.monotonic),
        .usedBytesLastSecond = links_.UsedBytesLastSecond(link.to, aNow.monotonic) });
  }
}

} // namespace dfm
