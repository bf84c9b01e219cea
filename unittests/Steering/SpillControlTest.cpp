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

/// More than the permitted 15 % of a region's requests changed their region within 2 s.
Test(SpillControl, ChangesSlowlyWhateverIsReported)
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
      const auto& before = placements[placements.size() - 21];
      int moved = 0;
      for (int key = 0; key < kKeys; ++key)
        moved += before[key] != placements.back()[key] ? 1 : 0;
      RC_ASSERT(moved <= 0.15 * kKeys);
    }
  });
  cr_assert(holds);
}

/// A region without free slots got more keys, or an idle own region did not take its keys back.
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

/// A region with few slots began with all requests of its own: everything was cold, and moving a
/// third of what ran within seconds passed the bound.
Test(SpillControl, StartsWithSharesThatFitTheRegions)
{
  struct Case
  {
    double own;
    double east;
    double west;
    double least; ///< Of the share that starts elsewhere.
    double most;
  };
  static const Case kCases[] = {
    { .own = 10, .east = 10, .west = 10, .least = 0, .most = 0 },
    { .own = 2, .east = 10, .west = 10, .least = 0.3, .most = 0.6 },
    { .own = 0, .east = 10, .west = 10, .least = 0, .most = 0 },
    { .own = 10, .east = 0, .west = 0, .least = 0, .most = 0 },
    { .own = 0, .east = 0, .west = 0, .least = 0, .most = 0 },
  };
  for (const Case& sizes : kCases) {
    SpillControl control(RegionId("own"), {});
    control.SetInitialShares({ { .region = RegionId("own"), .slots = sizes.own },
                               { .region = RegionId("east"), .slots = sizes.east },
                               { .region = RegionId("west"), .slots = sizes.west } });
    cr_assert(control.TotalShare() >= sizes.least && control.TotalShare() <= sizes.most);
    // The split between the others follows their room.
    cr_assert(control.ShareOf(RegionId("east")) == control.ShareOf(RegionId("west")));
  }
}

} // namespace
