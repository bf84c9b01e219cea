#include "dragonflymoor/Steering/Dispatcher.h"

#include <algorithm>

namespace dfm {

namespace {

/// Interval at which the utilization of the regions is evaluated.
constexpr Duration kBalancePeriod = 100ms;

/// Fraction of a region's slots in use below which the region has slots to spare.
constexpr double kAmpleUtilization = 0.6;

/// Weight of the latest utilization in its moving mean, which thus covers about a second.
constexpr double kUseWeight = 0.1;

/// Number of objects per instance at or above which hashing loads the instances evenly, so that a
/// region that is short of slots can keep each object at one instance. With fewer objects per
/// instance, an object needs several homes (instances that serve it).
constexpr double kMinObjectsPerInstance = 6;

/// Fraction of the objects that gain, or lose, a home in each failure domain per second. The rates
/// are limited because each new home serves its first request cold, which takes several times the
/// slots.
constexpr double kHomeGainRate = 0.1;
constexpr double kHomeLossRate = 0.1;

} // namespace

void
Dispatcher::UpdateSpreads(ServiceState& aState, const std::vector<RegionUse>& aUses)
{
  const double elapsedSeconds = ToSeconds(kBalancePeriod);
  for (const RegionUse& use : aUses) {
    const auto region = aState.regions.find(use.region);
    if (region == aState.regions.end() || !aState.hadRequests)
      continue;
    RegionSpread& spread = aState.spreads[use.region];
    const double utilization = use.slots > 0 ? use.busy / use.slots : 1;
    spread.use += kUseWeight * (utilization - spread.use);
    const auto instances = static_cast<double>(region->second.list.size());
    const bool evenlyLoaded = aState.objects.EstimatedCount() >= kMinObjectsPerInstance * instances;
    if (spread.use > RegionSpread::kShortOfSlots && evenlyLoaded)
      spread.share = std::max(0.0, spread.share - kHomeLossRate * elapsedSeconds);
    else if (spread.use > RegionSpread::kShortOfSlots || spread.use < kAmpleUtilization)
      spread.share = std::min(1.0, spread.share + kHomeGainRate * elapsedSeconds);
  }
}

void
Dispatcher::BalanceRegions(TimePoint aNow)
{
  if (aNow < nextBalance_)
    return;
  nextBalance_ = aNow + kBalancePeriod;
  double vmsInOwnRegion = 0;
  for (const Vm& vm : view_->usableVms)
    vmsInOwnRegion += vm.region == options_.region ? 1 : 0;
  for (auto& [service, state] : services_) {
    std::map<RegionId, RegionUse> usesByRegion;
    for (const auto& [region, candidates] : state.regions) {
      RegionUse& use = usesByRegion[region];
      use.region = region;
      for (const Candidate& candidate : candidates.list) {
        const Unusable why = candidate.tracker->UnusableReasonAt(aNow);
        if (why != Unusable::None && why != Unusable::Limited)
          continue;
        use.slots += candidate.tracker->ServableSlots(aNow);
        use.busy += candidate.tracker->KnownInFlight();
      }
    }
    // The lengths of the other VMs' queues are unknown; each is assumed to equal that of this VM.
    usesByRegion[options_.region].region = options_.region;
    usesByRegion[options_.region].busy +=
      static_cast<double>(state.queue.size()) * std::max(vmsInOwnRegion, 1.0);
    std::vector<RegionUse> uses;
    uses.reserve(usesByRegion.size());
    for (const auto& [region, use] : usesByRegion)
      uses.push_back(use);
    if (state.hadRequests)
      state.spill.UpdateShares(aNow, uses);
    else
      state.spill.SetInitialShares(uses);
    UpdateSpreads(state, uses);
  }
}

} // namespace dfm
