#include "dragonflymoor/Steering/SpillControl.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <map>
#include <rapidcheck.h>

namespace {

using namespace dfm;

constexpr int kKeys = 2000;

std::vector<RegionId>
Placement(const SpillControl& aControl)
{
  std::vector<RegionId> regions;
  for (uint64_t key = 0; key < kKeys; ++key)
    regions.push_back(aControl.SpillRegionFor(key * 0x9e3779b97f4a7c15).value_or(RegionId("own")));
  return regions;
}

/// Guards against more than the permitted 15 % of a region's requests changing their region within
/// 2 s.
Test(SpillControl, LimitsMovesUnderRandomReports)
{
  const bool holds = rc::check("random use of three regions", [] {
    SpillControl control(RegionId("own"), {});
    TimePoint now{ 50s };
    std::vector<std::vector<RegionId>> placements;
    for (int step = 0; step < 100; ++step) {
      now += 100ms;
      std::vector<RegionUse> uses;
      for (const char* region : { "own", "east", "west" })
        uses.push_back({ .region = RegionId(region),
                         .slots = static_cast<double>(*rc::gen::inRange(0, 20)),
                         .busy = static_cast<double>(*rc::gen::inRange(0, 40)) });
      control.UpdateShares(now, uses);
      placements.push_back(Placement(control));
      if (placements.size() <= 20)
        continue;
      const auto& previous = placements[placements.size() - 21];
      int moved = 0;
      for (int key = 0; key < kKeys; ++key)
        moved += previous[key] != placements.back()[key] ? 1 : 0;
      RC_ASSERT(moved <= 0.15 * kKeys);
    }
  });
  cr_assert(holds);
}

/// Guards against moving more keys to a region without free slots, and against leaving keys in
/// other regions when the own region is idle again.
Test(SpillControl, FollowsTheUseOfSlots)
{
  SpillControl control(RegionId("own"), {});
  TimePoint now{ 50s };
  const auto run = [&](double aOwn, double aEast) {
    for (int step = 0; step < 50; ++step) {
      now += 100ms;
      control.UpdateShares(now,
                           { { .region = RegionId("own"), .slots = 10, .busy = aOwn },
                             { .region = RegionId("east"), .slots = 10, .busy = aEast } });
    }
  };
  run(10, 9.5);
  cr_assert(control.TotalShare() == 0);
  run(10, 2);
  cr_assert(control.TotalShare() > 0.1);
  run(2, 2);
  cr_assert(control.TotalShare() < 0.05);
}

/// Guards against a region with few slots that starts with all of its own requests: all objects are
/// cold, and moving a third of the running requests within seconds exceeds the bound on moves.
Test(SpillControl, StartsWithSharesThatFitTheRegions)
{
  struct Case
  {
    double own;
    double east;
    double west;
    double minShare; ///< Bounds of the share of requests that starts in other regions.
    double maxShare;
  };
  static const Case kCases[] = {
    { .own = 10, .east = 10, .west = 10, .minShare = 0, .maxShare = 0 },
    { .own = 2, .east = 10, .west = 10, .minShare = 0.3, .maxShare = 0.6 },
    { .own = 0, .east = 10, .west = 10, .minShare = 0, .maxShare = 0 },
    { .own = 10, .east = 0, .west = 0, .minShare = 0, .maxShare = 0 },
    { .own = 0, .east = 0, .west = 0, .minShare = 0, .maxShare = 0 },
  };
  for (const Case& sizes : kCases) {
    SpillControl control(RegionId("own"), {});
    control.SetInitialShares({ { .region = RegionId("own"), .slots = sizes.own },
                               { .region = RegionId("east"), .slots = sizes.east },
                               { .region = RegionId("west"), .slots = sizes.west } });
    cr_assert(control.TotalShare() >= sizes.minShare && control.TotalShare() <= sizes.maxShare);
    // The split between the other regions follows their free slots.
    cr_assert(control.ShareOf(RegionId("east")) == control.ShareOf(RegionId("west")));
  }
}

} // namespace
