#include "dragonflymoor/Steering/Dispatcher.h"

#include "Scale.h"
#include <algorithm>

namespace dfm {

namespace {

/// An instance with requests in flight that has not answered for this many times the usual latency,
/// and at least kMinSilence, is taken for unreachable until a health check passes. Slow instances
/// answer within this factor.
constexpr double kSilenceFactor = 4;
constexpr Duration kMinSilence = 400ms;

/// A silent instance is not checked before this many times its service's latency goal either: after
/// a start the latency is unknown, and cold objects take longer than the goal.
constexpr double kMinSilenceGoals = 2;

} // namespace

void
Dispatcher::ReportCrashes(TimePoint aNow, InstanceTracker& aInstance)
{
  for (const uint64_t fingerprint : aInstance.TakeCrashSuspects(aNow)) {
    if (!survived_.Contains(aNow, fingerprint))
      hooks_.publishCrash(crashes_.OnCrash(aNow, {}, fingerprint));
  }
}

void
Dispatcher::AbandonAttempts(const BackendId& aInstance)
{
  std::vector<Ticket> abandoned;
  for (const auto& [ticket, request] : requests_) {
    if (request.currentInstance == aInstance && request.spec.route->idempotent)
      abandoned.push_back(ticket);
  }
  for (const Ticket ticket : abandoned)
    hooks_.abandonAttempt(ticket);
}

void
Dispatcher::OnProbe(TimePoint aNow,
                    const BackendId& aInstance,
                    ProbeResult aResult,
                    Duration aColdLeft)
{
  InstanceTracker* const instance = FindInstance(aInstance);
  if (instance == nullptr)
    return;
  const bool wasDown = instance->IsDown();
  const bool isGone =
    aResult == ProbeResult::Refused ||
    (wasDown && (aResult == ProbeResult::Unreachable || aResult == ProbeResult::Closed));
  instance->OnProbe(aNow, aResult, aColdLeft);
  if (instance->IsCold(aNow))
    instance->SetColdRate(aNow, ColdRateFor(instance->Spec()));
  UpdateIndexes(aNow, *instance);
  if (isGone) {
    ReportCrashes(aNow, *instance);
    AbandonAttempts(aInstance);
    return;
  }
  StartWaitingRequests(aNow, instance->Spec().service);
}

void
Dispatcher::CheckSilentInstances(TimePoint aNow)
{
  for (const auto& [hash, instance] : instancesInUse_) {
    const ServiceState& state = ServiceStateFor(instance->Spec().service);
    const Duration usual = std::max(state.typicalLatency, instance->MeanLatency());
    const Duration maxSilence = std::max(
      { kMinSilence, Scale(usual, kSilenceFactor), Scale(state.longestGoal, kMinSilenceGoals) });
    if (aNow - instance->LastResponseTime() <= maxSilence)
      continue;
    instance->OnUnreachable(aNow);
    instancesChecked_.insert_or_assign(hash, instance);
  }
}

void
Dispatcher::SendDueProbes(TimePoint aNow)
{
  if (view_->routes == nullptr)
    return;
  const auto& specs = view_->routes->GetManifest().services;
  std::vector<InstanceTracker*> due;
  for (const auto& [hash, instance] : instancesChecked_) {
    const auto probeTime = instance->NextProbeTime();
    if (probeTime && *probeTime <= aNow && specs.contains(instance->Spec().service) &&
        !instance->IsLeaving())
      due.push_back(instance);
  }
  for (InstanceTracker* const instance : due) {
    instance->OnProbeSent(aNow);
    UpdateIndexes(aNow, *instance);
    hooks_.sendProbe(instance->Spec(), specs.at(instance->Spec().service));
  }
}

} // namespace dfm
