#include "dragonflymoor/Steering/ShiftLimit.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>
#include <vector>

namespace {

using namespace dfm;

struct Start
{
  TimePoint at;
  bool away = false;
};

double
ShareAway(const std::vector<Start>& aStarts, TimePoint aFrom, TimePoint aUntil)
{
  double all = 0;
  double away = 0;
  for (const Start& start : aStarts) {
    if (start.at < aFrom || start.at >= aUntil)
      continue;
    all += 1;
    away += start.away ? 1 : 0;
  }
  return all > 0 ? away / all : 0;
}

/// An overloaded region refused most requests of its own, so that a few moved keys were over a
/// third of what ran: more than the permitted 15 % changed their region within 2 s.
Test(ShiftLimit, BoundsTheShareOfWhatRuns)
{
  const bool holds = rc::check("any mix of own and moved requests", [] {
    const RegionId own("own");
    const RegionId other("other");
    constexpr double kMaxChange = 0.1;
    constexpr double kBound = 0.15;
    std::vector<ShiftLimit> vms(3, ShiftLimit(own, kMaxChange));
    std::vector<Start> starts;
    TimePoint now{ 100s };
    for (int step = 0; step < 1600; ++step) {
      // About 140 requests a second at the VMs of a region; the part that wants to move jumps once
      // a second.
      now += Duration(std::chrono::milliseconds(*rc::gen::inRange(2, 12)));
      const int wanted = (step / 120) % 2 == 0 ? 90 : *rc::gen::inRange(0, 100);
      const bool wants = *rc::gen::inRange(0, 100) < wanted;
      ShiftLimit& vm = vms[*rc::gen::inRange<size_t>(0, vms.size())];
      const bool away = wants && vm.MayStart(now, other);
      vm.OnStart(now, away ? other : own);
      starts.push_back({ .at = now, .away = away });
    }
    for (TimePoint at = starts.front().at + 4s; at < now; at += 100ms) {
      const double grown = ShareAway(starts, at - 2s, at) - ShareAway(starts, at - 4s, at - 2s);
      RC_ASSERT(grown <= kBound);
    }
  });
  cr_assert(holds);
}

} // namespace
