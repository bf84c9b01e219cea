#include "dragonflymoor/Steering/Dispatcher.h"

#include <algorithm>
#include <cassert>

namespace dfm {

void
Dispatcher::ApplyInstanceChanges(TimePoint aNow, const InstanceChanges& aChanges)
{
  if (aChanges == InstanceChanges{})
    return;
  ForgetRankings();
  for (const BackendId& instance : aChanges.removed)
    RemoveInstance(instance);
  for (const std::shared_ptr<const Instance>& instance : aChanges.replaced)
    ReplaceInstance(aNow, *instance);
}

void
Dispatcher::ReplaceInstance(TimePoint aNow, const Instance& aInstance)
{
  std::unique_ptr<InstanceTracker>& tracker = trackers_[aInstance.id];
  if (tracker == nullptr) {
    tracker = std::make_unique<InstanceTracker>(aInstance, options_.adaptiveLimits);
    tracker->SetPeerInFlight(peerLoads_.InFlightAt(tracker->LoadKey()));
    tracker->Rate().SetPeerClaims(peerLoads_.ClaimsAt(tracker->LoadKey()));
    trackersByLoadKey_[tracker->LoadKey()] = tracker.get();
    AddCandidate(*tracker);
  } else {
    const Instance& known = tracker->Spec();
    if (known.startTimeMs != aInstance.startTimeMs)
      ReportCrashes(aNow, *tracker);
    const bool moved = known.service != aInstance.service || known.region != aInstance.region ||
                       known.failureDomain != aInstance.failureDomain;
    if (moved)
      RemoveCandidate(*tracker);
    tracker->SetSpec(aInstance);
    if (moved)
      AddCandidate(*tracker);
  }
  tracker->SetEvacuated(view_->evacuated.contains(aInstance.failureDomain));
  tracker->SetLeaving(
    leavingRuns_.Contains({ .instance = aInstance.id, .startTimeMs = aInstance.startTimeMs }));
  if (tracker->IsCold(aNow))
    tracker->SetColdRate(aNow, ColdRateFor(aInstance));
  UpdateIndexes(aNow, *tracker);
}

void
Dispatcher::RemoveInstance(const BackendId& aInstance)
{
  const auto found = trackers_.find(aInstance);
  assert(found != trackers_.end() && "only a known instance is removed");
  InstanceTracker& tracker = *found->second;
  RemoveCandidate(tracker);
  const auto byLoadKey = trackersByLoadKey_.find(tracker.LoadKey());
  if (byLoadKey != trackersByLoadKey_.end() && byLoadKey->second == &tracker)
    trackersByLoadKey_.erase(byLoadKey);
  for (auto* const index :
       { &instancesInUse_, &instancesChecked_, &instancesCold_, &instancesLimited_ })
    index->erase(tracker.IdHash());
  trackers_.erase(found);
}

void
Dispatcher::UpdateEvacuated()
{
  ForgetRankings();
  for (const auto& [id, instance] : trackers_)
    instance->SetEvacuated(view_->evacuated.contains(instance->Spec().failureDomain));
}

void
Dispatcher::ForgetRankings()
{
  // Requests in flight have none.
  for (const auto& [service, state] : services_) {
    for (const Ticket ticket : state.queue)
      requests_.at(ticket).rankings.clear();
  }
}

void
Dispatcher::UpdateColdRates(TimePoint aNow)
{
  std::erase_if(instancesCold_,
                [aNow](const auto& aEntry) { return !aEntry.second->IsCold(aNow); });
  for (const auto& [hash, instance] : instancesCold_)
    instance->SetColdRate(aNow, ColdRateFor(instance->Spec()));
}

void
Dispatcher::AddCandidate(InstanceTracker& aInstance)
{
  const Instance& spec = aInstance.Spec();
  RegionCandidates& candidates = ServiceStateFor(spec.service).regions[spec.region];
  auto& domains = candidates.domains;
  const auto domain = std::find(domains.begin(), domains.end(), spec.failureDomain);
  const auto index = static_cast<unsigned>(domain - domains.begin());
  if (domain == domains.end())
    domains.push_back(spec.failureDomain);
  candidates.list.push_back({ .tracker = &aInstance, .hash = aInstance.IdHash(), .domain = index });
}

void
Dispatcher::RemoveCandidate(const InstanceTracker& aInstance)
{
  const Instance& spec = aInstance.Spec();
  auto& regions = ServiceStateFor(spec.service).regions;
  const auto region = regions.find(spec.region);
  assert(region != regions.end() && "each tracker is a candidate");
  std::erase_if(region->second.list, [&aInstance](const Candidate& aCandidate) {
    return aCandidate.tracker == &aInstance;
  });
  if (region->second.list.empty())
    regions.erase(region);
}

void
Dispatcher::UpdateIndexes(TimePoint aNow, InstanceTracker& aInstance)
{
  const auto update = [&aInstance](std::map<uint64_t, InstanceTracker*>& aIndex, bool aContains) {
    if (aContains)
      aIndex.insert_or_assign(aInstance.IdHash(), &aInstance);
    else
      aIndex.erase(aInstance.IdHash());
  };
  update(instancesInUse_, aInstance.OwnInFlight() > 0);
  update(instancesChecked_, aInstance.NextProbeTime().has_value());
  update(instancesCold_, aInstance.IsCold(aNow));
  update(instancesLimited_, aInstance.Rate().Limit().has_value());
}

} // namespace dfm
