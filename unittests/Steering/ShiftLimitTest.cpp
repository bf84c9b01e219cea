#include "dragonflymoor/Steering/ShiftLimit.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>
#include <vector>

namespace {

using namespace dfm;

struct StartedRequest
{
  TimePoint at;
  bool inOtherRegion = false;
};

double
ShareInOtherRegion(const std::vector<StartedRequest>& aStarts, TimePoint aFrom, TimePoint aUntil)
{
  double all = 0;
  double moved = 0;
  for (const StartedRequest& start : aStarts) {
    if (start.at < aFrom || start.at >= aUntil)
      continue;
    all += 1;
    moved += start.inOtherRegion ? 1 : 0;
  }
  return all > 0 ? moved / all : 0;
}

/// Guards against more than the permitted 15 % of requests changing their region within 2 s. This
/// happens when an overloaded region refuses most of its own requests, so that a few moved keys
/// make up over a third of the requests that run.
Test(ShiftLimit, BoundsTheShareOfStartedRequests)
{
  const bool holds = rc::check("any mix of own and moved requests", [] {
    const RegionId own("own");
    const RegionId other("other");
    constexpr double kMaxChange = 0.1;
    constexpr double kBound = 0.15;
    std::vector<ShiftLimit> vms(3, ShiftLimit(own, kMaxChange));
    std::vector<StartedRequest> starts;
    TimePoint now{ 100s };
    for (int step = 0; step < 1600; ++step) {
      // About 140 requests a second at the VMs of a region; the share that
      // should move changes abruptly about once a second.
      now += Duration(std::chrono::milliseconds(*rc::gen::inRange(2, 12)));
      const int movePercent = (step / 120) % 2 == 0 ? 90 : *rc::gen::inRange(0, 100);
      const bool shouldMove = *rc::gen::inRange(0, 100) < movePercent;
      ShiftLimit& vm = vms[*rc::gen::inRange<size_t>(0, vms.size())];
      const bool inOtherRegion = shouldMove && vm.MayStart(now, other);
      vm.OnStart(now, inOtherRegion ? other : own);
      starts.push_back({ .at = now, .inOtherRegion = inOtherRegion });
    }
    for (TimePoint at = starts.front().at + 4s; at < now; at += 100ms) {
      const double grown =
        ShareInOtherRegion(starts, at - 2s, at) - ShareInOtherRegion(starts, at - 4s, at - 2s);
      RC_ASSERT(grown <= kBound);
    }
  });
  cr_assert(holds);
}

} // namespace
