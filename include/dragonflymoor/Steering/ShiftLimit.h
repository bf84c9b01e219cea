#ifndef DRAGONFLYMOOR_STEERING_SHIFTLIMIT_H
#define DRAGONFLYMOOR_STEERING_SHIFTLIMIT_H

#include "dragonflymoor/Support/Id.h"
#include "dragonflymoor/Support/Time.h"
#include <deque>
#include <map>

namespace dfm {

/// Bounds how fast the share of this VM's requests that run in another region grows. If every VM of
/// a region keeps within the bound, the region as a whole does too. The share is computed from
/// started requests and not from keys: while the own region is overloaded and refuses most of its
/// requests, a small part of the keys can account for most of the requests that run. Not
/// thread-safe.
class ShiftLimit
{
public:
  /// aMaxChange is the largest growth of a region's share of the started requests, between
  /// 0 and 1, from one window to the next.
  ShiftLimit(RegionId aSelf, double aMaxChange)
    : self_(std::move(aSelf))
    , maxChange_(aMaxChange)
  {
  }

  /// Whether one more request may start in aRegion, a region other than this VM's. aInitialShare is
  /// the share that aRegion may have while there is no earlier window to compare with.
  bool MayStart(TimePoint aNow, const RegionId& aRegion, double aInitialShare = 0) const;

  /// Records that a request was started in aRegion, which may be this VM's own.
  void OnStart(TimePoint aNow, const RegionId& aRegion);

private:
  struct Slice
  {
    TimePoint start;
    unsigned total = 0;
    std::map<RegionId, unsigned>
      startsByRegion; ///< Started requests in regions other than this VM's.
  };
  /// Numbers of started requests in one window.
  struct Window
  {
    unsigned total = 0;
    unsigned inRegion = 0;
  };
  /// Sums the slices that start in [aBegin, aEnd).
  Window SumSlices(TimePoint aBegin, TimePoint aEnd, const RegionId& aRegion) const;

  RegionId self_;
  double maxChange_;
  std::deque<Slice> slices_; ///< Cover the last two windows, oldest first.
};

} // namespace dfm

#endif
