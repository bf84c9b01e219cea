#include "dragonflymoor/Steering/SpillControl.h"

#include "dragonflymoor/Support/Hash.h"
#include <algorithm>
#include <limits>

namespace dfm {

namespace {

/// Upper bound for the time between two updates that counts towards the change of the shares.
constexpr double kMaxStepSeconds = 0.5;

/// Utilization above which requests wait for a slot.
constexpr double kAllSlotsBusy = 1;

double
Utilization(const RegionUse& aUse)
{
  return aUse.slots > 0 ? aUse.busy / aUse.slots : std::numeric_limits<double>::infinity();
}

/// Maps a key to a position in [0, 1). The positions of a key in different regions are
/// independent.
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
  double totalSlots = 0;
  double ownSlots = 0;
  double regionsWithSlots = 0;
  for (const RegionUse& use : aUses) {
    totalSlots += use.slots;
    ownSlots += use.region == self_ ? use.slots : 0;
    regionsWithSlots += use.slots > 0 ? 1 : 0;
  }
  if (ownSlots == 0)
    return;
  const double demandPerRegion = options_.expectedUse * totalSlots / regionsWithSlots;
  if (demandPerRegion <= options_.moveAbove * ownSlots)
    return;
  // Slots of a region beyond those that its own requests would occupy if all slots of the fleet
  // were equally used.
  const double slotsPerRegion = totalSlots / regionsWithSlots;
  const auto spareSlotsOf = [&](const RegionUse& aUse) {
    return aUse.region == self_ ? 0 : std::max(0.0, aUse.slots - slotsPerRegion);
  };
  double spareSlots = 0;
  for (const RegionUse& use : aUses)
    spareSlots += spareSlotsOf(use);
  if (spareSlots <= 0)
    return;
  const double share = std::min((slotsPerRegion - ownSlots) / slotsPerRegion, options_.maxShare);
  for (const RegionUse& use : aUses) {
    if (spareSlotsOf(use) > 0)
      shares_[use.region] = share * spareSlotsOf(use) / spareSlots;
  }
}

void
SpillControl::UpdateShares(TimePoint aNow, const std::vector<RegionUse>& aUses)
{
  const double elapsedSeconds =
    lastUpdate_ ? std::clamp(ToSeconds(aNow - *lastUpdate_), 0.0, kMaxStepSeconds) : 0;
  lastUpdate_ = aNow;
  const double shareChange = options_.ratePerSecond * elapsedSeconds;

  double ownUtilization = std::numeric_limits<double>::infinity();
  const RegionUse* leastUtilized = nullptr;
  RegionId mostUtilizedSpillRegion;
  double maxSpillUtilization = -1;
  for (const RegionUse& use : aUses) {
    if (use.region == self_) {
      ownUtilization = Utilization(use);
      continue;
    }
    if (leastUtilized == nullptr || Utilization(use) < Utilization(*leastUtilized))
      leastUtilized = &use;
    const auto share = shares_.find(use.region);
    if (share != shares_.end() && share->second > 0 && Utilization(use) > maxSpillUtilization) {
      mostUtilizedSpillRegion = use.region;
      maxSpillUtilization = Utilization(use);
    }
  }

  // Between two other regions a move costs no more than one back, and leaves the own region alone.
  const bool thirdHasRoom =
    leastUtilized != nullptr && leastUtilized->region != mostUtilizedSpillRegion &&
    Utilization(*leastUtilized) < options_.takeBelow && ownUtilization > options_.takeBelow;
  if (maxSpillUtilization > options_.giveBackAbove && thirdHasRoom) {
    double& share = shares_[mostUtilizedSpillRegion];
    const double moved = std::min(share, shareChange);
    share -= moved;
    shares_[leastUtilized->region] += moved;
    return;
  }
  const bool otherIsWorseOff =
    maxSpillUtilization > options_.giveBackAbove && maxSpillUtilization > ownUtilization;
  if (otherIsWorseOff || (maxSpillUtilization >= 0 && ownUtilization < options_.returnBelow)) {
    double& share = shares_[mostUtilizedSpillRegion];
    share = std::max(0.0, share - shareChange);
    return;
  }
  const double takeBelow =
    ownUtilization > kAllSlotsBusy ? options_.giveBackAbove : options_.takeBelow;
  if (ownUtilization > options_.moveAbove && leastUtilized != nullptr &&
      Utilization(*leastUtilized) < takeBelow && TotalShare() < options_.maxShare)
    shares_[leastUtilized->region] += shareChange;
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
