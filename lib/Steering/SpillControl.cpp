#include "dragonflymoor/Steering/SpillControl.h"

#include "dragonflymoor/Support/Hash.h"
#include <algorithm>
#include <limits>

namespace dfm {

namespace {

/// After a longer gap between two updates the shares change as if this much time had passed.
constexpr double kMaxStepSeconds = 0.5;

double
Utilization(const RegionUse& aUse)
{
  return aUse.slots > 0 ? aUse.busy / aUse.slots : std::numeric_limits<double>::infinity();
}

/// Maps a key to [0, 1) for one region; independent between regions.
double
KeyPosition(uint64_t aKey, const RegionId& aRegion)
{
  constexpr double kRange = 18446744073709551616.0; // 2^64
  return static_cast<double>(HashBytes(aRegion.Value(), aKey)) / kRange;
}

} // namespace

void
SpillControl::SetInitialShares(const std::vector<RegionUse>& aUses)
{
  shares_.clear();
  double slots = 0;
  double ownSlots = 0;
  double regions = 0;
  for (const RegionUse& use : aUses) {
    slots += use.slots;
    ownSlots += use.region == self_ ? use.slots : 0;
    regions += use.slots > 0 ? 1 : 0;
  }
  if (ownSlots == 0)
    return;
  const double demand = options_.expectedUse * slots / regions;
  const auto spareSlotsOf = [&](const RegionUse& aUse) {
    return aUse.region == self_ ? 0 : std::max(0.0, options_.takeBelow * aUse.slots - demand);
  };
  double spareSlots = 0;
  for (const RegionUse& use : aUses)
    spareSlots += spareSlotsOf(use);
  const double excess = std::min(demand - options_.moveAbove * ownSlots, spareSlots);
  if (excess <= 0)
    return;
  const double share = std::min(excess / demand, options_.maxShare);
  for (const RegionUse& use : aUses) {
    if (spareSlotsOf(use) > 0)
      shares_[use.region] = share * spareSlotsOf(use) / spareSlots;
  }
}

void
SpillControl::UpdateShares(TimePoint aNow, const std::vector<RegionUse>& aUses)
{
  const double step =
    lastUpdate_ ? std::clamp(ToSeconds(aNow - *lastUpdate_), 0.0, kMaxStepSeconds) : 0;
  lastUpdate_ = aNow;
  const double change = options_.ratePerSecond * step;

  double ownUse = std::numeric_limits<double>::infinity();
  const RegionUse* leastUsed = nullptr;
  RegionId mostUsed;
  double mostUsedUse = -1;
  for (const RegionUse& use : aUses) {
    if (use.region == self_) {
      ownUse = Utilization(use);
      continue;
    }
    if (leastUsed == nullptr || Utilization(use) < Utilization(*leastUsed))
      leastUsed = &use;
    const auto share = shares_.find(use.region);
    if (share != shares_.end() && share->second > 0 && Utilization(use) > mostUsedUse) {
      mostUsed = use.region;
      mostUsedUse = Utilization(use);
    }
  }

  if (mostUsedUse > options_.giveBackAbove || (mostUsedUse >= 0 && ownUse < options_.returnBelow)) {
    double& share = shares_[mostUsed];
    share = std::max(0.0, share - change);
    return;
  }
  if (ownUse > options_.moveAbove && leastUsed != nullptr &&
      Utilization(*leastUsed) < options_.takeBelow && TotalShare() < options_.maxShare)
    shares_[leastUsed->region] += change;
}

std::optional<RegionId>
SpillControl::SpillRegionFor(uint64_t aKey) const
{
  for (const auto& [region, share] : shares_) {
    if (share > 0 && KeyPosition(aKey, region) < share)
      return region;
  }
  return std::nullopt;
}

double
SpillControl::TotalShare() const
{
  double total = 0;
  for (const auto& [region, share] : shares_)
    total += share;
  return total;
}

double
SpillControl::ShareOf(const RegionId& aRegion) const
{
  const auto share = shares_.find(aRegion);
  return share == shares_.end() ? 0 : share->second;
}

} // namespace dfm
