#ifndef DRAGONFLYMOOR_STEERING_SHIFTLIMIT_H
#define DRAGONFLYMOOR_STEERING_SHIFTLIMIT_H

#include "dragonflymoor/Support/Id.h"
#include "dragonflymoor/Support/Time.h"
#include <deque>
#include <map>

namespace dfm {

/// Bounds how fast the share of this VM's requests that run in another region grows. When every VM
/// of a region keeps within the bound, their sum does too. It counts requests that were started:
/// while the own region is overloaded and refuses most of its requests, a small part of the keys
/// can account for most of the requests that run. Not thread-safe.
class ShiftLimit
{
public:
  /// aMaxChange is the largest growth of a region's share of the starts, between 0 and 1, from one
  /// window to the next.
  ShiftLimit(RegionId aSelf, double aMaxChange)
    : self_(std::move(aSelf))
    , maxChange_(aMaxChange)
  {
  }

  /// Whether one more request may start in another region. aInitialShare is the region's share
  /// while there is no earlier window to compare with.
  bool MayStart(TimePoint aNow, const RegionId& aRegion, double aInitialShare = 0) const;

  /// A request was started, in any region.
  void OnStart(TimePoint aNow, const RegionId& aRegion);

private:
  struct Slice
  {
    TimePoint start;
    unsigned total = 0;
    std::map<RegionId, unsigned> startsByRegion; ///< Starts in each region other than this VM's.
  };
  struct Window
  {
    unsigned total = 0;
    unsigned inRegion = 0;
  };
  Window SumSlices(TimePoint aFrom, TimePoint aUntil, const RegionId& aRegion) const;

  RegionId self_;
  double maxChange_;
  std::deque<Slice> slices_; ///< Cover the last two windows; the oldest first.
};

} // namespace dfm

#endif
