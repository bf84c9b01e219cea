#include "dragonflymoor/Steering/Dispatcher.h"

#include "Scale.h"
#include "dragonflymoor/Support/Hash.h"
#include <algorithm>
#include <array>
#include <cassert>

namespace dfm {

namespace {

/// Bounds, as parts of the goal, of the time that a request waits for a slot before it is refused.
/// Within an eighth of the goal a refusal costs the caller nothing.
constexpr double kShortestHold = 0.125;
constexpr double kLongestHold = 0.5;

/// Part of the hold time after which the newest requests are served first: the oldest would be
/// answered late, and the newer ones after them.
constexpr double kNewestFirstShare = 0.5;

/// Part of the platform's bound that all VMs together use for repeats; the rest covers VMs that
/// start or stop while the shares change.
constexpr double kRetryUse = 0.7;

/// Part of the platform's bound on moves between regions that this VM uses; the rest covers VMs
/// that decide at different moments and with few requests each.
constexpr double kShiftUse = 0.67;

/// A retry needs at least this part of the service's usual latency, or its answer comes too late.
constexpr double kLeastRetryTime = 0.5;

/// Instances that one request tries, those that could not be reached included.
constexpr size_t kMaxTried = 5;

/// An instance from which nothing was heard for this many times the usual latency, and at least the
/// minimum, is checked. Slow instances answer within this factor.
constexpr double kSilenceFactor = 4;
constexpr Duration kLeastSilence = 400ms;

/// Nor is it checked before this many goals of its service: at a start nothing is known of the
/// latency, and cold objects take longer than the goal.
constexpr double kSilentGoals = 2;

constexpr Duration kSilencePeriod = 50ms;

/// Refused callers come back spread over this span: later than the requests that wait now are done,
/// and within the third of their time that they grant.
constexpr Duration kRetryAfterLow = 150ms;
constexpr Duration kRetryAfterHigh = 400ms;

/// Weight of the latest answer in a service's mean latency; some dozens of answers decide.
constexpr double kLatencyWeight = 0.03;

/// A request that crashed this many instances is not sent to another one.
constexpr CrashRegistryOptions kCrashOptions{ .crashesToBlock = 3, .blockDuration = 60s };

uint32_t
ShortHash(const BackendId& aId)
{
  return static_cast<uint32_t>(HashBytes(aId.Value()));
}

} // namespace

std::string_view
ToString(AttemptEndReport::Kind aKind)
{
  switch (aKind) {
    case AttemptEndReport::Kind::Answered:
      return "answered";
    case AttemptEndReport::Kind::NotExecuted:
      return "not-executed";
    case AttemptEndReport::Kind::NotSent:
      return "not-sent";
    case AttemptEndReport::Kind::Broken:
      return "broken";
    case AttemptEndReport::Kind::TimedOut:
      return "timed-out";
    case AttemptEndReport::Kind::Abandoned:
      return "abandoned";
  }
  return "unknown";
}

std::string_view
ToString(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::Overload:
      return "overload";
    case RefusalReason::NoInstance:
      return "no-instance";
    case RefusalReason::Quarantine:
      return "quarantine";
    case RefusalReason::TimedOut:
      return "timed-out";
  }
  return "unknown";
}

Dispatcher::Dispatcher(DispatcherOptions aOptions, DispatcherHooks aHooks)
  : options_(std::move(aOptions))
  , hooks_(std::move(aHooks))
  , random_(options_.randomSeed)
  , view_(std::make_shared<FleetView>())
  , shifts_(options_.region, kShiftUse * options_.maxShift)
  , retries_({ .earnedPerRequest = kRetryUse * options_.retryRatio, .burst = 1 })
  , crashes_(kCrashOptions, random_.Next())
{
}

Dispatcher::ServiceState&
Dispatcher::StateOf(const ServiceId& aService)
{
  const auto found = services_.find(aService);
  if (found != services_.end())
    return found->second;
  return services_
    .emplace(aService, ServiceState{ .spill = SpillControl(options_.region, options_.spill) })
    .first->second;
}

InstanceTracker*
Dispatcher::Find(const BackendId& aInstance)
{
  const auto found = instances_.find(aInstance);
  return found == instances_.end() ? nullptr : found->second.get();
}

void
Dispatcher::OnFleet(TimePoint aNow, std::shared_ptr<const FleetView> aView)
{
  view_ = std::move(aView);
  const auto vms = static_cast<double>(std::max<size_t>(view_->knownVms.size(), 1));
  retries_.SetBurst(std::max(1.0, kRetryUse * options_.retrySlack / vms));

  std::map<BackendId, std::unique_ptr<InstanceTracker>> previous = std::move(instances_);
  instances_.clear();
  byHash_.clear();
  for (auto& [service, state] : services_)
    state.regions.clear();
  for (auto& [ticket, request] : requests_)
    request.rankings.clear();
  for (const Instance& spec : view_->instances) {
    const auto known = previous.find(spec.id);
    std::unique_ptr<InstanceTracker> state;
    if (known != previous.end()) {
      state = std::move(known->second);
      state->SetSpec(spec);
    } else {
      state = std::make_unique<InstanceTracker>(spec);
    }
    state->SetEvacuated(view_->evacuated.contains(spec.failureDomain));
    state->SetColdRate(state->IsCold(aNow) ? ColdRateFor(spec) : 0);
    const uint32_t hash = ShortHash(spec.id);
    state->SetPeerInFlight(peerLoads_.At(hash));
    byHash_[hash] = state.get();
    AddCandidate(StateOf(spec.service).regions[spec.region], *state);
    instances_[spec.id] = std::move(state);
  }
  for (auto& [service, state] : services_)
    Pump(aNow, service);
}

void
Dispatcher::AddCandidate(RegionCandidates& aCandidates, InstanceTracker& aInstance)
{
  const Instance& spec = aInstance.Spec();
  auto& domains = aCandidates.domains;
  const auto domain = std::find(domains.begin(), domains.end(), spec.failureDomain);
  const auto index = static_cast<unsigned>(domain - domains.begin());
  if (domain == domains.end())
    domains.push_back(spec.failureDomain);
  aCandidates.list.push_back(
    { .state = &aInstance, .hash = HashBytes(spec.id.Value()), .domain = index });
}

void
Dispatcher::Submit(TimePoint aNow, Ticket aTicket, RequestSpec aSpec)
{
  assert(aSpec.route != nullptr && "a request has a route");
  Request request{ .spec = std::move(aSpec) };
  request.service = splits_.Choose(*request.spec.route);
  request.sticky = request.spec.route->sticky && request.spec.affinity;
  request.key = request.sticky ? *request.spec.affinity : random_.Next();
  retries_.OnRequest(request.service);
  ServiceState& state = StateOf(request.service);
  state.begun = true;
  state.longestGoal = std::max(state.longestGoal, request.spec.route->goal);
  if (request.sticky)
    state.objects.OnRequest(request.key);
  Request& stored = requests_.insert_or_assign(aTicket, std::move(request)).first->second;
  if (crashes_.IsBlocked(aNow, {}, stored.spec.fingerprint)) {
    Refuse(aNow, aTicket, RefusalReason::Quarantine);
    return;
  }
  // Requests that wait already go first, unless they wait for other instances.
  if (!TryStart(aNow, aTicket, stored))
    Enqueue(state, aTicket, stored);
}

void
Dispatcher::Enqueue(ServiceState& aState, Ticket aTicket, const Request& aRequest)
{
  auto position = aState.queue.end();
  while (position != aState.queue.begin() &&
         requests_.at(*std::prev(position)).spec.arrived > aRequest.spec.arrived)
    --position;
  aState.queue.insert(position, aTicket);
}

bool
Dispatcher::TryStart(TimePoint aNow, Ticket aTicket, Request& aRequest)
{
  const ServiceState& state = StateOf(aRequest.service);
  InstanceTracker* const instance = Choose(aNow, aRequest, state);
  if (instance == nullptr)
    return false;
  const Instance& spec = instance->Spec();
  const InstanceAttempt attempt{
    .ticket = aTicket,
    .instance = spec.id,
    .service = aRequest.service,
    .endpoint = spec.endpoint,
    .deadline = aRequest.spec.deadline,
    .idempotent = aRequest.spec.route->idempotent,
    .number = aRequest.attempts + 1,
    .ownInFlight = instance->OwnInFlight(),
    .busy = instance->Busy(),
    .slots = spec.slots,
    .spilled = spec.region != options_.region,
    .waited = aNow - aRequest.spec.arrived,
  };
  instance->OnSend(aNow);
  shifts_.OnStart(aNow, spec.region);
  ++aRequest.attempts;
  aRequest.tried.push_back(spec.id);
  aRequest.rankings.clear();
  aRequest.at = spec.id;
  hooks_.start(attempt);
  return true;
}

void
Dispatcher::Refuse(TimePoint aNow, Ticket aTicket, RefusalReason aReason)
{
  const auto found = requests_.find(aTicket);
  assert(found != requests_.end() && "only a known request is refused");
  const ServiceState& state = StateOf(found->second.service);
  RequestRefusal refusal{ .reason = aReason,
                          .retryAfter = RetryAfter(),
                          .waited = aNow - found->second.spec.arrived,
                          .service = found->second.service,
                          .waiting = state.queue.size() };
  for (const auto& [region, candidates] : state.regions) {
    for (const Candidate& candidate : candidates.list) {
      if (candidate.state->WhyUnusable(aNow) != Unusable::No)
        continue;
      ++refusal.instances;
      refusal.slots += candidate.state->Spec().slots;
      refusal.busy += candidate.state->Busy();
    }
  }
  requests_.erase(found);
  hooks_.refuse(aTicket, refusal);
}

Duration
Dispatcher::RetryAfter()
{
  return random_.Between(kRetryAfterLow, kRetryAfterHigh);
}

std::vector<Ticket>
Dispatcher::WaitingOrder(TimePoint aNow, const ServiceState& aState) const
{
  std::vector<Ticket> order(aState.queue.begin(), aState.queue.end());
  const Request& oldest = requests_.at(order.front());
  const Duration turning = Scale(HoldTime(oldest, aState), kNewestFirstShare);
  if (aNow - oldest.spec.arrived > turning)
    std::reverse(order.begin(), order.end());
  std::stable_sort(order.begin(), order.end(), [this](Ticket aLeft, Ticket aRight) {
    return requests_.at(aLeft).spec.route->priority < requests_.at(aRight).spec.route->priority;
  });
  return order;
}

bool
Dispatcher::HasFreeSlot(TimePoint aNow, const ServiceState& aState)
{
  for (const auto& [region, candidates] : aState.regions) {
    for (const Candidate& candidate : candidates.list) {
      if (candidate.state->FreeSlots(aNow) > 0 &&
          candidate.state->WhyUnusable(aNow) == Unusable::No)
        return true;
    }
  }
  return false;
}

void
Dispatcher::Pump(TimePoint aNow, const ServiceId& aService)
{
  ServiceState& state = StateOf(aService);
  if (state.queue.empty())
    return;
  for (const Ticket ticket : WaitingOrder(aNow, state)) {
    if (!HasFreeSlot(aNow, state))
      return;
    if (TryStart(aNow, ticket, requests_.at(ticket)))
      state.queue.remove(ticket);
  }
}

void
Dispatcher::Cancel(TimePoint aNow, Ticket aTicket)
{
  const auto found = requests_.find(aTicket);
  if (found == requests_.end())
    return;
  const ServiceId service = found->second.service;
  if (found->second.at) {
    if (InstanceTracker* const instance = Find(*found->second.at))
      instance->OnEnd();
  } else {
    StateOf(service).queue.remove(aTicket);
  }
  requests_.erase(found);
  Pump(aNow, service);
}

void
Dispatcher::CountCrashes(TimePoint aNow, InstanceTracker& aInstance)
{
  for (const uint64_t fingerprint : aInstance.TakeCrashSuspects(aNow))
    hooks_.crashed(crashes_.OnCrash(aNow, {}, fingerprint));
}

void
Dispatcher::Learn(TimePoint aNow, Request& aRequest, const AttemptEndReport& aReport)
{
  using Kind = AttemptEndReport::Kind;
  ServiceState& state = StateOf(aRequest.service);
  InstanceTracker* const instance = Find(*aRequest.at);
  aRequest.at.reset();
  if (instance == nullptr)
    return; // The instance left meanwhile.
  instance->OnEnd();
  switch (aReport.kind) {
    case Kind::Answered:
      if (aReport.status >= 500) {
        instance->OnFailure(aNow, false);
        return;
      }
      instance->OnSuccess(aNow, aReport.latency);
      // Requests without an object on a route where others have one are checks, and far shorter.
      if (aRequest.spec.route->sticky && !aRequest.sticky)
        return;
      state.typicalLatency += Scale(aReport.latency - state.typicalLatency,
                                    state.typicalLatency.count() == 0 ? 1 : kLatencyWeight);
      return;
    case Kind::NotExecuted:
      if (aReport.wrongInstance)
        instance->OnUnreachable(aNow);
      else
        instance->OnFailure(aNow, true);
      return;
    case Kind::NotSent:
      instance->OnUnreachable(aNow);
      CountCrashes(aNow, *instance);
      return;
    case Kind::Broken:
      instance->OnFailure(aNow, false);
      if (aReport.reset)
        instance->AddCrashSuspect(aNow, aRequest.spec.fingerprint);
      return;
    case Kind::TimedOut:
    case Kind::Abandoned:
      return; // The check of silent instances decides about it.
  }
}

bool
Dispatcher::MayRetry(TimePoint aNow, const Request& aRequest, const AttemptEndReport& aReport)
{
  using Kind = AttemptEndReport::Kind;
  const Route& route = *aRequest.spec.route;
  const Duration least = Scale(StateOf(aRequest.service).typicalLatency, kLeastRetryTime);
  if (aNow + least > aRequest.spec.deadline || aRequest.tried.size() >= kMaxTried)
    return false;
  if (crashes_.IsBlocked(aNow, {}, aRequest.spec.fingerprint))
    return false;
  if (aReport.kind == Kind::NotSent)
    return true; // No instance got anything: the first one is still to come.
  if (!route.idempotent && aReport.kind != Kind::NotExecuted)
    return false;
  return aRequest.attempts < route.maxAttempts && retries_.TryTakeAttempt(aRequest.service);
}

Verdict
Dispatcher::OnAttemptEnd(TimePoint aNow, Ticket aTicket, const AttemptEndReport& aReport)
{
  using Kind = AttemptEndReport::Kind;
  const auto found = requests_.find(aTicket);
  assert(found != requests_.end() && found->second.at && "the attempt is in flight");
  Request& request = found->second;
  const ServiceId service = request.service;
  const bool failedAnswer = aReport.kind == Kind::Answered && aReport.status >= 500;
  Learn(aNow, request, aReport);
  if (aReport.kind == Kind::NotSent)
    --request.attempts;
  else if (aReport.kind != Kind::NotExecuted)
    request.mayHaveRun = true;

  Verdict verdict = Verdict::Deliver;
  if (aReport.kind != Kind::Answered || failedAnswer) {
    if (MayRetry(aNow, request, aReport))
      verdict = Verdict::Retry;
    else if (!failedAnswer)
      verdict = request.mayHaveRun ? Verdict::Fail : Verdict::Refuse;
  }
  if (verdict == Verdict::Retry) {
    if (!TryStart(aNow, aTicket, request))
      Enqueue(StateOf(service), aTicket, request);
  } else {
    requests_.erase(found);
  }
  Pump(aNow, service);
  return verdict;
}

void
Dispatcher::Abandon(const BackendId& aInstance)
{
  std::vector<Ticket> abandoned;
  for (const auto& [ticket, request] : requests_) {
    if (request.at == aInstance && request.spec.route->idempotent)
      abandoned.push_back(ticket);
  }
  for (const Ticket ticket : abandoned)
    hooks_.abandon(ticket);
}

void
Dispatcher::OnProbe(TimePoint aNow,
                    const BackendId& aInstance,
                    ProbeResult aResult,
                    Duration aColdLeft)
{
  InstanceTracker* const instance = Find(aInstance);
  if (instance == nullptr)
    return;
  instance->OnProbe(aNow, aResult, aColdLeft);
  if (instance->IsCold(aNow))
    instance->SetColdRate(ColdRateFor(instance->Spec()));
  if (aResult == ProbeResult::Unreachable) {
    CountCrashes(aNow, *instance);
    Abandon(aInstance);
    return;
  }
  Pump(aNow, instance->Spec().service);
}

void
Dispatcher::OnPeerLoad(TimePoint aNow, const VmId& aVm, const PeerLoad& aLoad)
{
  // Requests that wait see the freed slots at the next tick: with many VMs reports arrive far more
  // often than that.
  ApplyPeerLoads(peerLoads_.OnReport(aNow, aVm, aLoad));
}

void
Dispatcher::ApplyPeerLoads(const std::vector<uint32_t>& aInstances)
{
  for (const uint32_t hash : aInstances) {
    const auto instance = byHash_.find(hash);
    if (instance != byHash_.end())
      instance->second->SetPeerInFlight(peerLoads_.At(hash));
  }
}

void
Dispatcher::OnCrashReport(TimePoint aNow, const CrashReport& aReport)
{
  crashes_.OnReport(aNow, aReport);
}

Duration
Dispatcher::HoldTime(const Request& aRequest, const ServiceState& aState) const
{
  const Duration goal = aRequest.spec.route->goal;
  return std::clamp(
    goal - aState.typicalLatency, Scale(goal, kShortestHold), Scale(goal, kLongestHold));
}

void
Dispatcher::CheckWaiting(TimePoint aNow)
{
  for (auto& [service, state] : services_) {
    std::vector<Ticket> expired;
    for (const Ticket ticket : state.queue) {
      const Request& request = requests_.at(ticket);
      if (aNow - request.spec.arrived >= HoldTime(request, state) || aNow >= request.spec.deadline)
        expired.push_back(ticket);
    }
    for (const Ticket ticket : expired) {
      state.queue.remove(ticket);
      const bool usable =
        std::any_of(state.regions.begin(), state.regions.end(), [aNow](const auto& aRegion) {
          return HasUsable(aNow, aRegion.second);
        });
      const bool timedOut = aNow >= requests_.at(ticket).spec.deadline;
      Refuse(aNow,
             ticket,
             timedOut ? RefusalReason::TimedOut
                      : (usable ? RefusalReason::Overload : RefusalReason::NoInstance));
    }
  }
}

void
Dispatcher::CheckSilence(TimePoint aNow)
{
  for (const auto& [id, instance] : instances_) {
    if (instance->OwnInFlight() == 0)
      continue;
    const ServiceState& state = StateOf(instance->Spec().service);
    const Duration usual = std::max(state.typicalLatency, instance->MeanLatency());
    const Duration longest = std::max(
      { kLeastSilence, Scale(usual, kSilenceFactor), Scale(state.longestGoal, kSilentGoals) });
    if (aNow - instance->LastHeard() > longest)
      instance->OnUnreachable(aNow);
  }
}

void
Dispatcher::CheckProbes(TimePoint aNow)
{
  if (view_->routes == nullptr)
    return;
  const auto& specs = view_->routes->GetManifest().services;
  for (const auto& [id, instance] : instances_) {
    const auto due = instance->ProbeDueAt();
    const auto spec = specs.find(instance->Spec().service);
    if (!due || *due > aNow || spec == specs.end() || instance->Spec().draining)
      continue;
    instance->OnProbeSent(aNow);
    hooks_.probe(instance->Spec(), spec->second);
  }
}

void
Dispatcher::OnTick(TimePoint aNow)
{
  for (const auto& [id, instance] : instances_)
    instance->OnTick(aNow);
  if (aNow >= nextSilenceCheck_) {
    ApplyPeerLoads(peerLoads_.DropExpired(aNow));
    nextSilenceCheck_ = aNow + kSilencePeriod;
    CheckSilence(aNow);
    CheckProbes(aNow);
  }
  BalanceRegions(aNow);
  for (const auto& [service, state] : services_)
    Pump(aNow, service);
  CheckWaiting(aNow);
}

std::vector<InstanceLoad>
Dispatcher::OwnLoad() const
{
  std::vector<InstanceLoad> loads;
  for (const auto& [hash, instance] : byHash_) {
    if (instance->OwnInFlight() > 0)
      loads.push_back(
        { .instance = hash, .inFlight = static_cast<uint16_t>(instance->OwnInFlight()) });
  }
  return loads;
}

size_t
Dispatcher::Waiting() const
{
  size_t waiting = 0;
  for (const auto& [service, state] : services_)
    waiting += state.queue.size();
  return waiting;
}

size_t
Dispatcher::InFlight() const
{
  return requests_.size() - Waiting();
}

} // namespace dfm
