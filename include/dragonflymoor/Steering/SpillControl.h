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
  /// Utilization (busy slots divided by all slots) of this VM's own region above which keys move to
  /// another region, and below which they return. The gap between the two bounds keeps the share
  /// from oscillating.
  double moveAbove = 0.85;
  double returnBelow = 0.65;
  /// Another region receives keys only while its utilization is below takeBelow, and returns them
  /// when its utilization exceeds giveBackAbove. While requests wait in the own region, it receives
  /// keys up to giveBackAbove, and returns none unless its utilization is higher still: its free
  /// slots serve requests that would be refused.
  double takeBelow = 0.7;
  double giveBackAbove = 0.9;
  /// Change of a region's share of the keys per second. The platform allows a change of 15 % in 2
  /// s; this rate uses about half of that, because the VMs do not decide at the same moment.
  double ratePerSecond = 0.04;
  /// Fraction of all slots assumed to be in use before the first request. The demand is assumed to
  /// be equal in all regions. Cold objects take several times the slots of warm ones.
  double expectedUse = 0.5;
  /// Largest fraction of the keys that other regions serve together.
  double maxShare = 0.85;
};

/// Slots of one service in one region and how many are busy, summed over all VMs.
struct RegionUse
{
  RegionId region;
  double slots = 0;
  double busy = 0; ///< Requests at the instances; in the own region also queued requests.
};

/// Decides which fraction of the keys of one service is served in other regions while the own
/// region is short of slots. Answers regions whose slots do not match their demand, at a start and
/// when the demand moves; bursts shorter than a few seconds are refused or wait. A hash of the key
/// selects the keys, so that the requests for an object stay in one region. The fraction changes
/// slowly, so that a region's traffic does not change abruptly. Not thread-safe.
class SpillControl
{
public:
  SpillControl(RegionId aSelf, SpillOptions aOptions)
    : self_(std::move(aSelf))
    , options_(aOptions)
  {
  }

  /// Sets the shares for the first requests from the numbers of slots alone, so that the regions
  /// are equally used if each has the same demand: running traffic must not move abruptly between
  /// regions later, and after a start every object is cold and the load highest. Call this instead
  /// of UpdateShares until the first request has arrived.
  void SetInitialShares(const std::vector<RegionUse>& aUses);

  /// Adapts the shares to the current utilization of the regions. Call several times a second.
  void UpdateShares(TimePoint aNow, const std::vector<RegionUse>& aUses);

  /// Returns the other region that serves aKey, or an empty value if the own region does.
  std::optional<RegionId> SpillRegionFor(uint64_t aKey) const;

  /// Fraction of the keys that all other regions serve together.
  double TotalShare() const;
  /// Fraction of the keys that aRegion, a region other than the own one, serves.
  double ShareOf(const RegionId& aRegion) const;

private:
  RegionId self_;
  SpillOptions options_;
  std::map<RegionId, double> shares_;
  std::optional<TimePoint> lastUpdate_;
};

} // namespace dfm

#endif
