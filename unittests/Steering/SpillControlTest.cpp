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

/// Replays a lasting overload of a region with a tenth of the slots. Guards against refusing its
/// requests while other regions have free slots, and against filling other regions for it.
Test(SpillControl, MovesRequestsThatWouldBeRefused)
{
  struct Case
  {
    const char* name;
    double demand;      ///< Slots that the requests from the own region need.
    double othersUse;   ///< Utilization of the others by their own requests.
    double maxRefused;  ///< Bound of the refused part of the own requests.
    double maxOtherUse; ///< Bound of the utilization of the others.
  };
  constexpr double kOwnSlots = 10;
  constexpr double kOtherSlots = 100;
  const Case cases[] = {
    { "light load elsewhere", 30, 0.3, 0.01, 0.7 },
    { "most slots busy elsewhere", 30, 0.7, 0.01, 0.95 },
    { "nearly all slots busy elsewhere", 30, 0.93, 0.8, 0.95 },
  };
  for (const Case& load : cases) {
    SpillControl control(RegionId("own"), {});
    TimePoint now{ 50s };
    double refused = 0;
    double otherUse = 0;
    for (int step = 0; step < 400; ++step) {
      now += 100ms;
      const double share = control.TotalShare();
      const double own = load.demand * (1 - share);
      otherUse = load.othersUse + load.demand * share / kOtherSlots;
      refused = std::max(0.0, own - kOwnSlots) / load.demand;
      // What cannot be served waits and keeps the utilization of the own region above one.
      control.UpdateShares(
        now,
        { { .region = RegionId("own"), .slots = kOwnSlots, .busy = own },
          { .region = RegionId("east"), .slots = kOtherSlots, .busy = otherUse * kOtherSlots } });
    }
    cr_assert(refused <= load.maxRefused, "%s: %f refused", load.name, refused);
    cr_assert(otherUse <= load.maxOtherUse, "%s: %f in use elsewhere", load.name, otherUse);
  }
}

/// Guards against a region with few slots that starts with more of its own requests than the others
/// have for their slots: all objects are cold, and moving a third of the running requests within
/// seconds exceeds the bound on moves. The regions have the same demand.
Test(SpillControl, StartsWithSharesThatFitTheRegions)
{
  struct Case
  {
    double own;
    double east;
    double west;
    double eastShare; ///< Of the requests of the own region.
    double westShare;
  };
  static const Case kCases[] = {
    { .own = 10, .east = 10, .west = 10, .eastShare = 0, .westShare = 0 },
    { .own = 6, .east = 15, .west = 15, .eastShare = 0.25, .westShare = 0.25 },
    { .own = 6, .east = 27, .west = 27, .eastShare = 0.35, .westShare = 0.35 },
    { .own = 4, .east = 24, .west = 32, .eastShare = 0.8 / 4, .westShare = 0.8 * 3 / 4 },
    { .own = 9, .east = 10, .west = 11, .eastShare = 0, .westShare = 0 },
    { .own = 0, .east = 10, .west = 10, .eastShare = 0, .westShare = 0 },
    { .own = 10, .east = 0, .west = 0, .eastShare = 0, .westShare = 0 },
    { .own = 0, .east = 0, .west = 0, .eastShare = 0, .westShare = 0 },
  };
  for (const Case& sizes : kCases) {
    SpillControl control(RegionId("own"), {});
    control.SetInitialShares({ { .region = RegionId("own"), .slots = sizes.own },
                               { .region = RegionId("east"), .slots = sizes.east },
                               { .region = RegionId("west"), .slots = sizes.west } });
    cr_assert(std::abs(control.ShareOf(RegionId("east")) - sizes.eastShare) < 1e-9);
    cr_assert(std::abs(control.ShareOf(RegionId("west")) - sizes.westShare) < 1e-9);
  }
}

/// Replays a burst that fills the region which serves most requests of a small one, while a third
/// region has free slots. Guards against requests that come back to the small region, which cannot
/// serve them, or that stay in the full one.
Test(SpillControl, MovesRequestsToAThirdRegion)
{
  SpillControl control(RegionId("own"), {});
  control.SetInitialShares({ { .region = RegionId("own"), .slots = 4 },
                             { .region = RegionId("east"), .slots = 24 },
                             { .region = RegionId("west"), .slots = 32 } });
  const double shareBefore = control.TotalShare();
  const double westBefore = control.ShareOf(RegionId("west"));
  TimePoint now{ 50s };
  for (int step = 0; step < 20; ++step) {
    now += 100ms;
    control.UpdateShares(now,
                         { { .region = RegionId("own"), .slots = 4, .busy = 4 },
                           { .region = RegionId("east"), .slots = 24, .busy = 14 },
                           { .region = RegionId("west"), .slots = 32, .busy = 40 } });
  }
  cr_assert(std::abs(control.TotalShare() - shareBefore) < 1e-9);
  cr_assert(control.ShareOf(RegionId("west")) < westBefore - 0.05);
}

} // namespace
