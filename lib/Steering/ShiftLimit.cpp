#include "dragonflymoor/Steering/ShiftLimit.h"

#include <algorithm>

namespace dfm {

namespace {

/// The platform compares windows of this length.
constexpr Duration kWindow = 2s;

/// Starts are counted in slices of this length: short enough against the window that the error at
/// its ends stays below the margin of the limit.
constexpr Duration kSlice = 200ms;

/// A steady growth of the share is a quarter larger in the latter half of a window.
constexpr double kBurstFactor = 1.25;

} // namespace

ShiftLimit::Window
ShiftLimit::Sum(TimePoint aFrom, TimePoint aUntil, const RegionId& aRegion) const
{
  Window window;
  for (const Slice& slice : slices_) {
    if (slice.start < aFrom || slice.start >= aUntil)
      continue;
    window.all += slice.all;
    const auto away = slice.away.find(aRegion);
    window.away += away == slice.away.end() ? 0 : away->second;
  }
  return window;
}

bool
ShiftLimit::MayStart(TimePoint aNow, const RegionId& aRegion, double aFirstShare) const
{
  const Window before = Sum(aNow - 2 * kWindow, aNow - kWindow, aRegion);
  // What runs at first is what later windows are compared with.
  const double most = before.all == 0 ? std::max(aFirstShare, maxChange_)
                                      : static_cast<double>(before.away) / before.all + maxChange_;
  // A burst at the end of a window would be the larger part of a later one.
  for (const Duration length : { kWindow, kWindow / 2 }) {
    const Window now = Sum(aNow - length, aNow + kSlice, aRegion);
    const double burst = length == kWindow || before.all == 0 ? 0 : (kBurstFactor - 1) * maxChange_;
    if (now.away + 1 > (most + burst) * (now.all + 1))
      return false;
  }
  return true;
}

void
ShiftLimit::OnStart(TimePoint aNow, const RegionId& aRegion)
{
  while (!slices_.empty() && aNow - slices_.front().start >= 2 * kWindow)
    slices_.pop_front();
  if (slices_.empty() || aNow - slices_.back().start >= kSlice)
    slices_.push_back({ .start = aNow });
  Slice& slice = slices_.back();
  ++slice.all;
  if (aRegion != self_)
    ++slice.away[aRegion];
}

} // namespace dfm
