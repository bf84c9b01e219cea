#include "dragonflymoor/Steering/FairShares.h"
#include "DispatcherFixture.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <utility>

namespace {

using namespace dfm;

struct Demand
{
  const char* name;
  double quota;     ///< Requests a second; 0 without a quota.
  double perSecond; ///< Requests that arrive.
};

/// Replays a slot that serves 20 requests a second while more wait, and always starts the request
/// of the workspace with the least use. Guards against a workspace that gets less than it is owed
/// because another one sends several times as much.
Test(FairShares, ServesEachWorkspaceByItsQuota)
{
  const std::vector<std::vector<Demand>> kRows{
    { { "flood", 10, 100 }, { "usual", 10, 8 } },
    { { "flood", 20, 200 }, { "small", 4, 3 }, { "other", 20, 8 } },
    { { "flood", 20, 200 }, { "another flood", 10, 200 }, { "small", 4, 1 } },
    { { "flood", 0, 100 }, { "usual", 0, 8 } },
  };
  for (const auto& row : kRows) {
    FairShares shares;
    std::vector<Workspace> workspaces;
    workspaces.reserve(row.size());
    std::vector<double> waiting(row.size());
    std::vector<double> served(row.size());
    for (const Demand& demand : row)
      workspaces.push_back({ .id = WorkspaceId(demand.name), .requestsPerSecond = demand.quota });
    constexpr Duration kStep = 50ms; // One request starts in each.
    constexpr int kSteps = 600;
    TimePoint now{ 100s };
    for (int step = 0; step < kSteps; ++step) {
      now += kStep;
      size_t first = row.size();
      for (size_t i = 0; i < row.size(); ++i) {
        waiting[i] += row[i].perSecond * ToSeconds(kStep);
        if (waiting[i] >= 1 && (first == row.size() || shares.UseOf(now, &workspaces[i]) <
                                                         shares.UseOf(now, &workspaces[first])))
          first = i;
      }
      if (first == row.size())
        continue;
      waiting[first] -= 1;
      served[first] += 1;
      shares.OnStart(now, workspaces[first]);
    }
    double quotas = 0;
    for (const Demand& demand : row)
      quotas += std::max(demand.quota, 1.0);
    for (size_t i = 0; i < row.size(); ++i) {
      const double owed = std::max(row[i].quota, 1.0) / quotas / ToSeconds(kStep);
      const double least = 0.95 * std::min(row[i].perSecond, owed) * ToSeconds(kSteps * kStep);
      cr_assert(served[i] >= least, "%s: %f served, %f are due", row[i].name, served[i], least);
    }
  }
}

/// Guards against a queue that serves a workspace with many waiting requests before one with few.
Test(FairShares, WaitingRequestsStartByUse)
{
  test::DispatcherFixture fixture;
  fixture.SetFleet({ { .id = "i-1", .slots = 1 } });
  const Workspace flood{ .id = WorkspaceId("flood") };
  const Workspace usual{ .id = WorkspaceId("usual") };
  const auto submit = [&fixture](const Workspace& aWorkspace, uint64_t aKey) {
    return fixture.Submit({ .workspace = &aWorkspace }, aKey);
  };
  std::vector<Ticket> floodTickets;
  for (uint64_t key = 0; key < 4; ++key)
    floodTickets.push_back(submit(flood, key));
  const Ticket usualTicket = submit(usual, 9);
  cr_assert(fixture.started.size() == 1 && fixture.started.back().ticket == floodTickets[0]);
  fixture.End(floodTickets[0], AttemptEndReport::Kind::Answered, 200);
  cr_assert(fixture.started.size() == 2 && fixture.started.back().ticket == usualTicket);
}

} // namespace
