#include "dragonflymoor/Steering/Dispatcher.h"

#include "Scale.h"
#include "dragonflymoor/Support/Hash.h"
#include <algorithm>

namespace dfm {

namespace {

/// Part of the goal for which a request waits for one of the instances that may hold its object,
/// before it takes a free slot anywhere in the region. A cold object costs three times the work.
constexpr double kWarmWaitShare = 0.3;

/// Objects are divided between at least this many instances: an instance keeps somewhat more than
/// half of the objects of a region warm.
constexpr size_t kObjectParts = 2;

/// Instances of a region that keep one object warm when they are not chosen for each failure
/// domain.
constexpr size_t kMostHomes = 2;

/// Least part of a cold instance's rate, in requests a second, that one VM takes. In a region with
/// more VMs only some send to the instance.
constexpr double kLeastColdPart = 2;

/// Part of a cold instance's rate that all VMs together use; the rest covers VMs that start or stop
/// while the shares change.
constexpr double kColdUse = 0.8;

uint64_t
Mix(uint64_t aKey, uint64_t aHash)
{
  // Finalizer of SplitMix64: a full avalanche at the cost of two multiplications.
  uint64_t value = aKey ^ aHash;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

} // namespace

double
Dispatcher::ColdRateFor(const Instance& aInstance) const
{
  if (view_->routes == nullptr)
    return 0;
  const auto& services = view_->routes->GetManifest().services;
  const auto service = services.find(aInstance.service);
  if (service == services.end())
    return 0;
  // VMs of the instance's region divide its rate; a VM elsewhere sends to it only when it has no
  // other choice, and takes the part that it would have if all VMs did.
  const double rate = kColdUse * service->second.coldRequestsPerSecond;
  const bool own = options_.region == aInstance.region;
  const uint64_t ownWeight = RendezvousWeight(aInstance.id.Value(), options_.self.Value());
  size_t sharers = 0;
  size_t heavier = 0;
  for (const Vm& vm : view_->knownVms) {
    if (own && vm.region != aInstance.region)
      continue;
    ++sharers;
    heavier += RendezvousWeight(aInstance.id.Value(), vm.id.Value()) > ownWeight ? 1 : 0;
  }
  // Each sharer may save up one request, so that many of them with a small part would pass the rate
  // together.
  const auto most = static_cast<size_t>(std::max(1.0, rate / kLeastColdPart));
  sharers = std::clamp<size_t>(sharers, 1, most);
  return heavier < sharers ? rate / static_cast<double>(sharers) : 0;
}

bool
Dispatcher::HasUsable(TimePoint aNow, const ServiceState& aState, const RegionId& aRegion) const
{
  return std::any_of(
    aState.candidates.begin(), aState.candidates.end(), [&](const auto& aCandidate) {
      const Unusable why = aCandidate.state->WhyUnusable(aNow);
      return aCandidate.state->Spec().region == aRegion &&
             (why == Unusable::No || why == Unusable::Cold);
    });
}

InstanceTracker*
Dispatcher::ChooseIn(TimePoint aNow,
                     const Request& aRequest,
                     const ServiceState& aState,
                     const RegionId& aRegion) const
{
  std::vector<Ranked> ranked;
  ranked.reserve(aState.candidates.size());
  for (const auto& candidate : aState.candidates) {
    InstanceTracker* const state = candidate.state;
    if (state->Spec().region != aRegion || state->WhyUnusable(aNow) != Unusable::No)
      continue;
    if (std::find(aRequest.tried.begin(), aRequest.tried.end(), state->Spec().id) !=
        aRequest.tried.end())
      continue;
    ranked.push_back({ .instance = state,
                       .weight = Mix(aRequest.key, candidate.hash),
                       .degraded = state->IsDegraded(aNow, aState.typicalLatency),
                       .far = state->Spec().failureDomain != options_.failureDomain });
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& aLeft, const Ranked& aRight) {
    return aLeft.weight > aRight.weight;
  });
  MarkHomes(ranked);
  std::stable_sort(ranked.begin(), ranked.end(), [](const Ranked& aLeft, const Ranked& aRight) {
    if (aLeft.degraded != aRight.degraded)
      return aRight.degraded;
    if (aLeft.home != aRight.home)
      return aLeft.home;
    return aLeft.home && !aLeft.far && aRight.far;
  });
  const bool homesOnly =
    aNow - aRequest.spec.arrived < Scale(aRequest.spec.route->goal, kWarmWaitShare);
  for (const Ranked& candidate : ranked) {
    if (homesOnly && !candidate.home)
      continue;
    if (candidate.instance->FreeSlots(aNow) > 0)
      return candidate.instance;
  }
  return nullptr;
}

void
Dispatcher::MarkHomes(std::vector<Ranked>& aRanked)
{
  std::map<FailureDomainId, size_t> perDomain;
  for (const Ranked& candidate : aRanked)
    ++perDomain[candidate.instance->Spec().failureDomain];
  const bool inEachDomain = std::all_of(perDomain.begin(), perDomain.end(), [](const auto& aEntry) {
    return aEntry.second >= kObjectParts;
  });
  if (inEachDomain) {
    std::set<FailureDomainId> marked;
    for (Ranked& candidate : aRanked)
      candidate.home = marked.insert(candidate.instance->Spec().failureDomain).second;
    return;
  }
  const size_t homes = std::clamp<size_t>(aRanked.size() / kObjectParts, 1, kMostHomes);
  for (size_t i = 0; i < std::min(homes, aRanked.size()); ++i)
    aRanked[i].home = true;
}

InstanceTracker*
Dispatcher::Choose(TimePoint aNow, const Request& aRequest, const ServiceState& aState) const
{
  const Route& route = *aRequest.spec.route;
  const bool ownAllowed = MayServeIn(route, options_.region);
  const auto spillTo = aState.spill.RegionFor(aRequest.key);
  if (ownAllowed && spillTo && MayServeIn(route, *spillTo)) {
    if (InstanceTracker* const remote = ChooseIn(aNow, aRequest, aState, *spillTo))
      return remote;
  }
  if (ownAllowed && HasUsable(aNow, aState, options_.region))
    return ChooseIn(aNow, aRequest, aState, options_.region);

  // The own region cannot serve the request at all. The region is chosen by key, so that objects
  // stay warm.
  std::set<RegionId> others;
  for (const auto& candidate : aState.candidates) {
    const RegionId& region = candidate.state->Spec().region;
    if (region != options_.region && MayServeIn(route, region) && HasUsable(aNow, aState, region))
      others.insert(region);
  }
  if (others.empty())
    return nullptr;
  const auto start = static_cast<ptrdiff_t>(Mix(aRequest.key, 0) % others.size());
  auto region = std::next(others.begin(), start);
  for (size_t i = 0; i < others.size(); ++i) {
    if (InstanceTracker* const remote = ChooseIn(aNow, aRequest, aState, *region))
      return remote;
    if (++region == others.end())
      region = others.begin();
  }
  return nullptr;
}

} // namespace dfm
