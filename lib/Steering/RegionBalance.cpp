#include "dragonflymoor/Steering/Dispatcher.h"

#include <algorithm>

namespace dfm {

namespace {

/// Interval at which the use of the regions is evaluated.
constexpr Duration kBalancePeriod = 100ms;

/// kAmpleSlots is the part of a region's slots in use below which it is not short of slots.
/// kUseWeight is the weight of the latest use in the moving mean, which thus covers about a second.
constexpr double kAmpleSlots = 0.6;
constexpr double kUseWeight = 0.1;

/// Objects for each instance from which on hashing loads the instances evenly, so that a region
/// that is short of slots can keep each object at one of them. With fewer it needs several homes.
constexpr double kObjectsPerInstance = 6;

/// Part of the objects that get, or lose, a home in each failure domain in one second. Each new
/// home serves its first request cold, which takes several times the slots.
constexpr double kHomeGainRate = 0.1;
constexpr double kHomeLossRate = 0.1;

} // namespace

void
Dispatcher::UpdateSpreads(ServiceState& aState, const std::vector<RegionUse>& aUses)
{
  const double step = ToSeconds(kBalancePeriod);
  for (const RegionUse& use : aUses) {
    const auto region = aState.regions.find(use.region);
    if (region == aState.regions.end() || !aState.hadRequests)
      continue;
    RegionSpread& spread = aState.spreads[use.region];
    const double now = use.slots > 0 ? use.busy / use.slots : 1;
    spread.use += kUseWeight * (now - spread.use);
    const auto instances = static_cast<double>(region->second.list.size());
    const bool evenlyLoaded = aState.objects.EstimatedCount() >= kObjectsPerInstance * instances;
    if (spread.use > RegionSpread::kShortOfSlots && evenlyLoaded)
      spread.share = std::max(0.0, spread.share - kHomeLossRate * step);
    else if (spread.use > RegionSpread::kShortOfSlots || spread.use < kAmpleSlots)
      spread.share = std::min(1.0, spread.share + kHomeGainRate * step);
  }
}

void
Dispatcher::BalanceRegions(TimePoint aNow)
{
  if (aNow < nextBalance_)
    return;
  nextBalance_ = aNow + kBalancePeriod;
  double ownVms = 0;
  for (const Vm& vm : view_->usableVms)
    ownVms += vm.region == options_.region ? 1 : 0;
  for (auto& [service, state] : services_) {
    std::map<RegionId, RegionUse> uses;
    for (const auto& [region, candidates] : state.regions) {
      RegionUse& use = uses[region];
      use.region = region;
      for (const Candidate& candidate : candidates.list) {
        if (candidate.tracker->UnusableReasonAt(aNow) != Unusable::None)
          continue;
        use.slots += candidate.tracker->Spec().slots;
        use.busy += candidate.tracker->KnownInFlight();
      }
    }
    // The waiting requests of other VMs are unknown; they are estimated from this VM's queue.
    uses[options_.region].region = options_.region;
    uses[options_.region].busy += static_cast<double>(state.queue.size()) * std::max(ownVms, 1.0);
    std::vector<RegionUse> list;
    list.reserve(uses.size());
    for (const auto& [region, use] : uses)
      list.push_back(use);
    if (state.hadRequests)
      state.spill.UpdateShares(aNow, list);
    else
      state.spill.SetInitialShares(list);
    UpdateSpreads(state, list);
  }
}

} // namespace dfm
