#ifndef DRAGONFLYMOOR_STEERING_SPILLCONTROL_H
#define DRAGONFLYMOOR_STEERING_SPILLCONTROL_H

#include "dragonflymoor/Support/Id.h"
#include "dragonflymoor/Support/Time.h"
#include <map>
#include <optional>
#include <vector>

namespace dfm {

struct SpillOptions
{
  /// Use of the own region's slots above which keys move away, and below which they come back. The
  /// gap between them keeps the share from oscillating.
  double moveAbove = 0.85;
  double returnBelow = 0.65;
  /// Another region receives keys only below takeBelow of its use, and returns them above
  /// giveBackAbove.
  double takeBelow = 0.7;
  double giveBackAbove = 0.9;
  /// Change of the share in one second. The platform allows a change of 15 % in 2 s; the rate
  /// leaves half of that for VMs that decide at different moments.
  double ratePerSecond = 0.04;
  /// Part of all slots that is taken to be needed before the first request, the same in each
  /// region: cold objects take several times the slots of warm ones.
  double expectedUse = 0.5;
  double maxShare = 0.75;
};

/// Use of one service's slots in one region, summed over all VMs.
struct RegionUse
{
  RegionId region;
  double slots = 0;
  double busy = 0; ///< Requests at the instances and, in the own region, waiting for them.
};

/// Decides which part of the keys of one service is served in another region while the own region
/// is short of slots. The part is chosen by key, so that an object stays at one place, and it
/// changes slowly, so that a region's traffic never jumps. Not thread-safe.
class SpillControl
{
public:
  SpillControl(RegionId aSelf, SpillOptions aOptions)
    : self_(std::move(aSelf))
    , options_(aOptions)
  {
  }

  /// Chooses the shares with which the first requests are served, from the sizes of the regions
  /// alone: running traffic must not move abruptly between regions later, and after a start every
  /// object is cold. To be called instead of UpdateShares until there was a request.
  void SetInitialShares(const std::vector<RegionUse>& aUses);

  /// Adapts the shares. To be called several times a second.
  void UpdateShares(TimePoint aNow, const std::vector<RegionUse>& aUses);

  /// The other region that serves aKey, or empty when this VM's region does.
  std::optional<RegionId> SpillRegionFor(uint64_t aKey) const;

  /// Share of the keys that goes to other regions.
  double TotalShare() const;
  double ShareOf(const RegionId& aRegion) const;

private:
  RegionId self_;
  SpillOptions options_;
  std::map<RegionId, double> shares_;
  std::optional<TimePoint> lastUpdate_;
};

} // namespace dfm

#endif
