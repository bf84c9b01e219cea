#include "dragonflymoor/Steering/ShiftLimit.h"

#include <algorithm>

namespace dfm {

namespace {

/// Length of the consecutive windows that the platform compares.
constexpr Duration kWindow = 2s;

/// Started requests are counted in slices of this length. Slices are short enough, compared with
/// the window, that the rounding error at the ends of a window stays below the margin of the limit.
constexpr Duration kSlice = 200ms;

/// While the share grows steadily, its growth in the latter half of a window is a quarter larger
/// than in the whole window.
constexpr double kBurstFactor = 1.25;

} // namespace

ShiftLimit::Window
ShiftLimit::SumSlices(TimePoint aBegin, TimePoint aEnd, const RegionId& aRegion) const
{
  Window window;
  for (const Slice& slice : slices_) {
    if (slice.start < aBegin || slice.start >= aEnd)
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
  // Without requests in the previous window the initial share applies. Later windows are compared
  // with the share that results from it.
  const double maxShare = previous.total == 0
                            ? std::max(aInitialShare, maxChange_)
                            : static_cast<double>(previous.inRegion) / previous.total + maxChange_;
  // Check the latter half of the window as well: a burst there would make up a larger share of a
  // later window.
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
