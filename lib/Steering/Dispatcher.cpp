#include "dragonflymoor/Steering/Dispatcher.h"

#include "Scale.h"
#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace dfm {

namespace {

/// Part of the platform's bound that all VMs together use for repeats; the rest covers VMs that
/// start or stop while the shares change.
constexpr double kRetryBudgetShare = 0.7;

/// Part of the platform's bound on moves between regions that this VM uses; the rest covers VMs
/// that decide at different moments and with few requests each.
constexpr double kShiftLimitShare = 0.67;

/// A retry needs at least this part of the service's usual latency, or its answer comes too late.
constexpr double kMinRetryTimeShare = 0.5;

/// Maximum number of instances that one request tries, including those that could not be reached.
constexpr size_t kMaxTried = 5;

constexpr Duration kSilenceCheckPeriod = 50ms;

/// Period at which the claims of the rates that instances take follow the demand.
constexpr Duration kClaimUpdatePeriod = 100ms;

/// Weight of the latest answer in a service's moving mean latency, which thus covers some dozens of
/// answers.
constexpr double kLatencyWeight = 0.03;

/// Parts of the usual latency that have to be left until a planned stop ends. A request that is not
/// idempotent cannot be repeated when it is cut off, and some answers take longer than usual.
constexpr double kMinStopTimeShare = 1;
constexpr double kMinNonIdempotentStopTimeShare = 2;

/// A request that crashed this many instances is not sent to another one.
constexpr CrashRegistryOptions kCrashOptions{ .crashesToBlock = 3, .blockDuration = 60s };

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
    case RefusalReason::Stopping:
      return "stopping";
    case RefusalReason::Quota:
      return "quota";
  }
  return "unknown";
}

Dispatcher::Dispatcher(DispatcherOptions aOptions, DispatcherHooks aHooks)
  : options_(std::move(aOptions))
  , hooks_(std::move(aHooks))
  , random_(options_.randomSeed)
  , view_(std::make_shared<FleetView>())
  , quotas_({ .slack = options_.quotaSlack, .randomSeed = random_.Next() })
  , shifts_(options_.region, kShiftLimitShare * options_.maxShift)
  , retries_({ .earnedPerRequest = kRetryBudgetShare * options_.retryRatio, .burst = 1 })
  , crashes_(kCrashOptions, random_.Next())
{
}

Dispatcher::ServiceState&
Dispatcher::ServiceStateFor(const ServiceId& aService)
{
  const auto found = services_.find(aService);
  if (found != services_.end())
    return found->second;
  return services_
    .emplace(aService,
             ServiceState{ .spill = SpillControl(options_.region, options_.spill),
                           .returns = ReturnSchedule({}) })
    .first->second;
}

InstanceTracker*
Dispatcher::FindInstance(const BackendId& aInstance)
{
  const auto found = trackers_.find(aInstance);
  return found == trackers_.end() ? nullptr : found->second.get();
}

void
Dispatcher::OnFleet(TimePoint aNow, std::shared_ptr<const FleetView> aView)
{
  const std::shared_ptr<const FleetView> before = std::exchange(view_, std::move(aView));
  const auto vms = static_cast<double>(std::max<size_t>(view_->knownVms.size(), 1));
  retries_.SetBurst(std::max(1.0, kRetryBudgetShare * options_.retrySlack / vms));
  otherVmsInDomain_.clear();
  for (const Vm& vm : view_->knownVms) {
    if (vm.failureDomain == options_.failureDomain && vm.id != options_.self)
      otherVmsInDomain_.insert(vm.id);
  }
  if (view_->routes != before->routes || view_->knownVms != before->knownVms)
    UpdateQuotas(aNow);
  ApplyInstanceChanges(aNow, FindInstanceChanges(*before->instances, *view_->instances));
  if (view_->evacuated != before->evacuated)
    UpdateEvacuated();
  if (view_->routes != before->routes || view_->knownVms != before->knownVms)
    UpdateColdRates(aNow);
  for (auto& [service, state] : services_)
    StartWaitingRequests(aNow, service);
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
  ServiceState& state = ServiceStateFor(request.service);
  state.hadRequests = true;
  state.longestGoal = std::max(state.longestGoal, request.spec.route->goal);
  if (request.sticky)
    state.objects.OnRequest(request.key);
  Request& stored = requests_.insert_or_assign(aTicket, std::move(request)).first->second;
  if (!TakeQuota(aNow, aTicket, stored))
    return;
  if (crashes_.IsBlocked(aNow, {}, stored.spec.fingerprint)) {
    Refuse(aNow, aTicket, RefusalReason::Quarantine);
    return;
  }
  if (!EndsBeforeStop(aNow, *stored.spec.route, state)) {
    Refuse(aNow, aTicket, RefusalReason::Stopping);
    return;
  }
  // Requests that already wait go first, unless they wait for other instances.
  if (!TryStart(aNow, aTicket, stored))
    Enqueue(state, aTicket, stored);
}

bool
Dispatcher::EndsBeforeStop(TimePoint aNow, const Route& aRoute, const ServiceState& aService) const
{
  if (!stop_)
    return true;
  const Duration latency =
    Scale(aService.typicalLatency,
          aRoute.idempotent ? kMinStopTimeShare : kMinNonIdempotentStopTimeShare);
  return aNow < stop_->lastStart && aNow + latency <= stop_->end;
}

bool
Dispatcher::TryStart(TimePoint aNow, Ticket aTicket, Request& aRequest)
{
  ServiceState& state = ServiceStateFor(aRequest.service);
  if (!EndsBeforeStop(aNow, *aRequest.spec.route, state))
    return false;
  InstanceTracker* const instance = ChooseInstance(aNow, aRequest, state);
  if (instance == nullptr)
    return false;
  const Instance& spec = instance->Spec();
  const InstanceAttempt attempt{
    .ticket = aTicket,
    .instance = spec.id,
    .startTimeMs = spec.startTimeMs,
    .service = aRequest.service,
    .endpoint = spec.endpoint,
    .deadline = aRequest.spec.deadline,
    .idempotent = aRequest.spec.route->idempotent,
    .number = aRequest.attempts + 1,
    .ownInFlight = instance->OwnInFlight(),
    .knownInFlight = instance->KnownInFlight(),
    .slots = spec.slots,
    .limit = instance->LimitAt(aNow),
    .spilled = spec.region != options_.region,
    .waited = aNow - aRequest.spec.arrived,
  };
  state.returns.OnStart(aNow);
  if (aRequest.spec.workspace != nullptr)
    fairShares_.OnStart(aNow, *aRequest.spec.workspace);
  instance->OnSend(aNow);
  aRequest.sentWarm = aRequest.sticky && instance->OnObjectSent(aNow, aRequest.key);
  aRequest.sentInFlight = instance->KnownInFlight();
  UpdateIndexes(aNow, *instance);
  shifts_.OnStart(aNow, spec.region);
  ++aRequest.attempts;
  aRequest.tried.push_back(spec.id);
  aRequest.rankings.clear();
  aRequest.currentInstance = spec.id;
  hooks_.startAttempt(attempt);
  return true;
}

void
Dispatcher::Cancel(TimePoint aNow, Ticket aTicket)
{
  const auto found = requests_.find(aTicket);
  if (found == requests_.end())
    return;
  const ServiceId service = found->second.service;
  if (found->second.currentInstance) {
    if (InstanceTracker* const instance = FindInstance(*found->second.currentInstance)) {
      instance->OnEnd();
      UpdateIndexes(aNow, *instance);
    }
  } else {
    ServiceStateFor(service).queue.remove(aTicket);
  }
  requests_.erase(found);
  StartWaitingRequests(aNow, service);
}

void
Dispatcher::RecordAttemptEnd(TimePoint aNow,
                             const Request& aRequest,
                             InstanceTracker& aInstance,
                             const AttemptEndReport& aReport)
{
  using Kind = AttemptEndReport::Kind;
  ServiceState& state = ServiceStateFor(aRequest.service);
  aInstance.OnEnd();
  state.CountFailure(aReport);
  switch (aReport.kind) {
    case Kind::Answered:
      survived_.Add(aNow, aRequest.spec.fingerprint);
      crashes_.OnSurvived({}, aRequest.spec.fingerprint);
      if (aReport.status >= 500) {
        aInstance.OnFailure(aNow, false);
        return;
      }
      aInstance.OnSuccess(aNow, aReport.latency);
      state.LearnSlowness(aNow, aRequest, aInstance, aReport);
      // Requests without an object on a route where others have one are checks, and far shorter.
      if (aRequest.spec.route->sticky && !aRequest.sticky)
        return;
      state.typicalLatency += Scale(aReport.latency - state.typicalLatency,
                                    state.typicalLatency.count() == 0 ? 1 : kLatencyWeight);
      return;
    case Kind::NotExecuted:
      if (aReport.wrongInstance)
        aInstance.OnUnreachable(aNow);
      else
        aInstance.OnFailure(aNow, true);
      return;
    case Kind::NotSent:
      aInstance.OnUnreachable(aNow);
      ReportCrashes(aNow, aInstance);
      return;
    case Kind::Broken:
      aInstance.OnFailure(aNow, false);
      if (aReport.reset)
        aInstance.AddCrashSuspect(aNow, aRequest.spec.fingerprint);
      return;
    case Kind::TimedOut:
    case Kind::Abandoned:
      return; // CheckSilentInstances decides whether the instance is unreachable.
  }
}

bool
Dispatcher::MayRetry(TimePoint aNow, const Request& aRequest, const AttemptEndReport& aReport)
{
  using Kind = AttemptEndReport::Kind;
  const Route& route = *aRequest.spec.route;
  const Duration minRetryTime =
    Scale(ServiceStateFor(aRequest.service).typicalLatency, kMinRetryTimeShare);
  if (aNow + minRetryTime > aRequest.spec.deadline || aRequest.tried.size() >= kMaxTried)
    return false;
  if (crashes_.IsBlocked(aNow, {}, aRequest.spec.fingerprint) ||
      !EndsBeforeStop(aNow, route, ServiceStateFor(aRequest.service)))
    return false;
  if (aReport.kind == Kind::NotSent)
    return true; // No instance received any byte, so the next attempt still counts as the first.
  if (!route.idempotent && aReport.kind != Kind::NotExecuted)
    return false;
  return aRequest.attempts < route.maxAttempts && retries_.TryTakeAttempt(aRequest.service);
}

Verdict
Dispatcher::OnAttemptEnd(TimePoint aNow, Ticket aTicket, const AttemptEndReport& aReport)
{
  using Kind = AttemptEndReport::Kind;
  const auto found = requests_.find(aTicket);
  assert(found != requests_.end() && found->second.currentInstance && "the attempt is in flight");
  Request& request = found->second;
  const ServiceId service = request.service;
  const bool failedAnswer = aReport.kind == Kind::Answered && aReport.status >= 500;
  // The instance may have been removed in the meantime.
  if (InstanceTracker* const instance = FindInstance(*request.currentInstance)) {
    RecordAttemptEnd(aNow, request, *instance, aReport);
    UpdateIndexes(aNow, *instance);
  }
  request.currentInstance.reset();
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
    if (verdict == Verdict::Refuse && request.quota)
      quotas_.Return(aNow, *request.quota);
  }
  if (verdict == Verdict::Retry) {
    if (!TryStart(aNow, aTicket, request))
      Enqueue(ServiceStateFor(service), aTicket, request);
  } else {
    requests_.erase(found);
  }
  StartWaitingRequests(aNow, service);
  return verdict;
}

bool
Dispatcher::OnInstanceStatement(TimePoint aNow,
                                const InstanceRun& aRun,
                                const InstanceStatement& aStatement)
{
  bool isNew = aStatement.leaving && leavingRuns_.Add(aRun);
  InstanceTracker* const instance = FindInstance(aRun.instance);
  // The answer may come from an earlier run.
  if (instance == nullptr || instance->Spec().startTimeMs != aRun.startTimeMs)
    return isNew;
  if (isNew)
    instance->SetLeaving(true);
  if (aStatement.pause)
    instance->OnPause(aNow, *aStatement.pause);
  // A load changes with each answer, so it is no new statement.
  if (aStatement.load)
    instance->OnStatedLoad(aNow, *aStatement.load);
  if (!aStatement.malformed || aStatement.maxRequestsPerSecond)
    isNew = instance->Rate().OnStatement(aNow, aStatement.maxRequestsPerSecond) || isNew;
  UpdateIndexes(aNow, *instance);
  return isNew || aStatement.pause;
}

void
Dispatcher::UpdateClaims(TimePoint aNow)
{
  if (aNow < nextClaimUpdate_)
    return;
  nextClaimUpdate_ = aNow + kClaimUpdatePeriod;
  for (const auto& [hash, instance] : instancesLimited_) {
    VmRank rank = RankFor(instance->Spec());
    const RegionId& region = instance->Spec().region;
    // The VMs of the instance's region come first.
    if (region != options_.region)
      rank.rank += static_cast<size_t>(
        std::count_if(view_->knownVms.begin(), view_->knownVms.end(), [&region](const Vm& aVm) {
          return aVm.region == region;
        }));
    instance->Rate().Update(aNow, rank);
  }
}

void
Dispatcher::OnPeerLoad(TimePoint aNow, const VmId& aVm, const PeerLoad& aLoad)
{
  if (aLoad.quotas) {
    const LoadSource source = aLoad.domain ? LoadSource(*aLoad.domain) : LoadSource(aVm);
    quotas_.OnReport(aNow, source, *aLoad.quotas, aLoad.life);
  }
  // Waiting requests use the freed slots from the next tick on: with many VMs, reports arrive far
  // more often than ticks.
  ApplyPeerLoads(peerLoads_.OnReport(aNow, aVm, aLoad));
}

void
Dispatcher::ApplyPeerLoads(const std::vector<uint32_t>& aInstances)
{
  for (const uint32_t hash : aInstances) {
    const auto instance = trackersByLoadKey_.find(hash);
    if (instance == trackersByLoadKey_.end())
      continue;
    instance->second->SetPeerInFlight(peerLoads_.InFlightAt(hash));
    instance->second->Rate().SetPeerClaims(peerLoads_.ClaimsAt(hash));
  }
}

void
Dispatcher::OnCrashReport(TimePoint aNow, const CrashReport& aReport)
{
  crashes_.OnReport(aNow, aReport);
}

void
Dispatcher::OnTick(TimePoint aNow)
{
  if (aNow >= nextSilenceCheck_) {
    ApplyPeerLoads(peerLoads_.DropExpired(aNow));
    quotas_.OnTick(aNow);
    nextSilenceCheck_ = aNow + kSilenceCheckPeriod;
    CheckSilentInstances(aNow);
    SendDueProbes(aNow);
  }
  BalanceRegions(aNow);
  UpdateClaims(aNow);
  for (const auto& [service, state] : services_)
    StartWaitingRequests(aNow, service);
  RefuseExpiredRequests(aNow);
}

std::vector<InstanceLoad>
Dispatcher::OwnLoad(TimePoint aNow) const
{
  std::vector<InstanceLoad> loads;
  loads.reserve(instancesInUse_.size());
  const auto add = [&loads, aNow](const InstanceTracker& aInstance) {
    loads.push_back({ .instance = aInstance.LoadKey(),
                      .inFlight = static_cast<uint16_t>(aInstance.OwnInFlight()),
                      .claim = EncodeClaim(aInstance.Rate().ReportedClaim(aNow)) });
  };
  for (const auto& [hash, instance] : instancesInUse_)
    add(*instance);
  for (const auto& [hash, instance] : instancesLimited_) {
    if (!instancesInUse_.contains(hash) && instance->Rate().ReportedClaim(aNow) > 0)
      add(*instance);
  }
  return loads;
}

std::vector<InstanceLoad>
Dispatcher::DomainLoad(TimePoint aNow) const
{
  return peerLoads_.AddReportsOf(otherVmsInDomain_, OwnLoad(aNow));
}

size_t
Dispatcher::WaitingCount() const
{
  size_t waiting = 0;
  for (const auto& [service, state] : services_)
    waiting += state.queue.size();
  return waiting;
}

size_t
Dispatcher::InFlightCount() const
{
  return requests_.size() - WaitingCount();
}

} // namespace dfm
