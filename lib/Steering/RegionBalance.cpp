#include "dragonflymoor/Steering/Dispatcher.h"

#include <algorithm>

namespace dfm {

namespace {

/// How often the use of the regions is judged anew.
constexpr Duration kBalancePeriod = 100ms;

/// Use of a region's slots below which it is not short of them. Weight of the latest use in the
/// mean: about a second decides.
constexpr double kCrowdedUntil = 0.6;
constexpr double kUseWeight = 0.1;

/// Objects for each instance from which on hashing loads the instances evenly, so that a region
/// that is short of slots can keep each object at one of them. With fewer it needs several homes.
constexpr double kObjectsPerInstance = 6;

/// Part of the objects that get, or lose, a home in each failure domain in one second. Each new
/// home serves its first request cold, which takes several times the slots.
constexpr double kSpreadRate = 0.1;
constexpr double kGatherRate = 0.1;

} // namespace

void
Dispatcher::UpdateSpreads(ServiceState& aState, const std::vector<RegionUse>& aUses)
{
  const double step = ToSeconds(kBalancePeriod);
  for (const RegionUse& use : aUses) {
    const auto region = aState.regions.find(use.region);
    if (region == aState.regions.end() || !aState.begun)
      continue;
    RegionSpread& spread = aState.spreads[use.region];
    const double now = use.slots > 0 ? use.busy / use.slots : 1;
    spread.use += kUseWeight * (now - spread.use);
    const auto instances = static_cast<double>(region->second.list.size());
    const bool even = aState.objects.Estimate() >= kObjectsPerInstance * instances;
    if (spread.use > RegionSpread::kCrowded && even)
      spread.share = std::max(0.0, spread.share - kGatherRate * step);
    else if (spread.use > RegionSpread::kCrowded || spread.use < kCrowdedUntil)
      spread.share = std::min(1.0, spread.share + kSpreadRate * step);
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
        if (candidate.state->WhyUnusable(aNow) != Unusable::No)
          continue;
        use.slots += candidate.state->Spec().slots;
        use.busy += candidate.state->Busy();
      }
    }
    // Other VMs' waiting requests are not known; this VM's stand for them.
    uses[options_.region].region = options_.region;
    uses[options_.region].busy += static_cast<double>(state.queue.size()) * std::max(ownVms, 1.0);
    std::vector<RegionUse> list;
    list.reserve(uses.size());
    for (const auto& [region, use] : uses)
      list.push_back(use);
    if (state.begun)
      state.spill.Update(aNow, list);
    else
      state.spill.Prepare(list);
    UpdateSpreads(state, list);
  }
}

} // namespace dfm
