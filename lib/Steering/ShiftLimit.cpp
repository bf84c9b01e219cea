#include "dragonflymoor/Steering/ShiftLimit.h"

#include <algorithm>

namespace dfm {

namespace {

/// Length of the consecutive windows that the platform compares.
constexpr Duration kWindow = 2s;

/// Starts are counted in slices of this length: short enough against the window that the error at
/// its ends stays below the margin of the limit.
constexpr Duration kSlice = 200ms;

/// A steady growth of the share is a quarter larger in the latter half of a window.
constexpr double kBurstFactor = 1.25;

} // namespace

ShiftLimit::Window
ShiftLimit::SumSlices(TimePoint aFrom, TimePoint aUntil, const RegionId& aRegion) const
{
  Window window;
  for (const Slice& slice : slices_) {
    if (slice.start < aFrom || slice.start >= aUntil)
      continue;
    window.total += slice.total;
    const auto inRegion = slice.startsByRegion.find(aRegion);
    window.inRegion += inRegion == slice.startsByRegion.end() ? 0 : inRegion->second;
  }
  return window;
}

bool
ShiftLimit::MayStart(TimePoint aNow, const RegionId& aRegion, double aInitialShare) const
{
  const Window previous = SumSlices(aNow - 2 * kWindow, aNow - kWindow, aRegion);
  // Without a previous window the initial share applies; later windows are compared with the
  // result.
  const double maxShare = previous.total == 0
                            ? std::max(aInitialShare, maxChange_)
                            : static_cast<double>(previous.inRegion) / previous.total + maxChange_;
  // Checks the latter half of the window as well: a burst there would be a larger share of a later
  // window.
  for (const Duration length : { kWindow, kWindow / 2 }) {
    const Window current = SumSlices(aNow - length, aNow + kSlice, aRegion);
    const double burstAllowance =
      length == kWindow || previous.total == 0 ? 0 : (kBurstFactor - 1) * maxChange_;
    if (current.inRegion + 1 > (maxShare + burstAllowance) * (current.total + 1))
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
  ++slice.total;
  if (aRegion != self_)
    ++slice.startsByRegion[aRegion];
}

} // namespace dfm
