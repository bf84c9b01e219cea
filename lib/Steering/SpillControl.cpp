#include "dragonflymoor/Steering/SpillControl.h"

#include "dragonflymoor/Support/Hash.h"
#include <algorithm>
#include <limits>

namespace dfm {

namespace {

/// After a longer gap between two updates the shares change as if this much time had passed.
constexpr double kLongestStepSeconds = 0.5;

double
UseOf(const RegionUse& aUse)
{
  return aUse.slots > 0 ? aUse.busy / aUse.slots : std::numeric_limits<double>::infinity();
}

/// Position of a key in [0, 1) for one region; independent between regions.
double
Position(uint64_t aKey, const RegionId& aRegion)
{
  constexpr double kRange = 18446744073709551616.0; // 2^64
  return static_cast<double>(HashBytes(aRegion.Value(), aKey)) / kRange;
}

} // namespace

void
SpillControl::Prepare(const std::vector<RegionUse>& aUses)
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
  const auto roomOf = [&](const RegionUse& aUse) {
    return aUse.region == self_ ? 0 : std::max(0.0, options_.takeBelow * aUse.slots - demand);
  };
  double room = 0;
  for (const RegionUse& use : aUses)
    room += roomOf(use);
  const double excess = std::min(demand - options_.moveAbove * ownSlots, room);
  if (excess <= 0)
    return;
  const double share = std::min(excess / demand, options_.maxShare);
  for (const RegionUse& use : aUses) {
    if (roomOf(use) > 0)
      shares_[use.region] = share * roomOf(use) / room;
  }
}

void
SpillControl::Update(TimePoint aNow, const std::vector<RegionUse>& aUses)
{
  const double step =
    lastUpdate_ ? std::clamp(ToSeconds(aNow - *lastUpdate_), 0.0, kLongestStepSeconds) : 0;
  lastUpdate_ = aNow;
  const double change = options_.ratePerSecond * step;

  double ownUse = std::numeric_limits<double>::infinity();
  const RegionUse* emptiest = nullptr;
  RegionId fullest;
  double fullestUse = -1;
  for (const RegionUse& use : aUses) {
    if (use.region == self_) {
      ownUse = UseOf(use);
      continue;
    }
    if (emptiest == nullptr || UseOf(use) < UseOf(*emptiest))
      emptiest = &use;
    const auto share = shares_.find(use.region);
    if (share != shares_.end() && share->second > 0 && UseOf(use) > fullestUse) {
      fullest = use.region;
      fullestUse = UseOf(use);
    }
  }

  if (fullestUse > options_.giveBackAbove || (fullestUse >= 0 && ownUse < options_.returnBelow)) {
    double& share = shares_[fullest];
    share = std::max(0.0, share - change);
    return;
  }
  if (ownUse > options_.moveAbove && emptiest != nullptr && UseOf(*emptiest) < options_.takeBelow &&
      Share() < options_.maxShare)
    shares_[emptiest->region] += change;
}

std::optional<RegionId>
SpillControl::RegionFor(uint64_t aKey) const
{
  for (const auto& [region, share] : shares_) {
    if (share > 0 && Position(aKey, region) < share)
      return region;
  }
  return std::nullopt;
}

double
SpillControl::Share() const
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
