#include "dragonflymoor/Steering/PeerLoads.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

namespace {

using namespace dfm;

/// Guards against sums that still include a dead VM or a superseded report of a VM: the instance
/// would count as full forever.
Test(PeerLoads, CountsOnlyTheLatestReportOfLiveVms)
{
  PeerLoads loads;
  const TimePoint start{ 100s };
  loads.OnReport(
    start, VmId("vm-1"), { .loads = { { .instance = 7, .inFlight = 3 } }, .life = 1s });
  loads.OnReport(
    start + 500ms, VmId("vm-2"), { .loads = { { .instance = 7, .inFlight = 2 } }, .life = 1s });
  cr_assert(loads.InFlightAt(7) == 5);
  loads.OnReport(
    start + 600ms, VmId("vm-2"), { .loads = { { .instance = 8, .inFlight = 4 } }, .life = 1s });
  cr_assert(loads.InFlightAt(7) == 3 && loads.InFlightAt(8) == 4);
  cr_assert(loads.DropExpired(start + 999ms).empty());
  cr_assert(loads.DropExpired(start + 1s) == std::vector<uint32_t>{ 7 });
  cr_assert(loads.InFlightAt(7) == 0 && loads.InFlightAt(8) == 4);
}

/// Guards against a failure domain's sum that replaces the report of the VM that sent it, or that
/// counts after it has expired.
Test(PeerLoads, CountsTheSumsOfOtherDomains)
{
  PeerLoads loads;
  const TimePoint start{ 100s };
  const VmId relay("vm-1");
  loads.OnReport(start, relay, { .loads = { { .instance = 7, .inFlight = 3 } }, .life = 1s });
  const FailureDomainId domain("south-a");
  loads.OnReport(
    start, relay, { .domain = domain, .loads = { { .instance = 7, .inFlight = 2 } }, .life = 2s });
  cr_assert(loads.InFlightAt(7) == 5);
  const std::vector<InstanceLoad> own{ { .instance = 6, .inFlight = 1 },
                                       { .instance = 7, .inFlight = 1 } };
  const std::vector<InstanceLoad> expected{ { .instance = 6, .inFlight = 1 },
                                            { .instance = 7, .inFlight = 4 } };
  cr_assert(loads.AddReportsOf({ relay, VmId("vm-9") }, own) == expected);
  loads.OnReport(start + 500ms,
                 VmId("vm-2"),
                 { .domain = domain, .loads = { { .instance = 7, .inFlight = 6 } }, .life = 2s });
  cr_assert(loads.InFlightAt(7) == 9);
  loads.DropExpired(start + 1s);
  cr_assert(loads.InFlightAt(7) == 6);
  loads.DropExpired(start + 2500ms);
  cr_assert(loads.InFlightAt(7) == 0);
}

/// Guards against claims of an instance's rate that are lost where their VM has no request in
/// flight, or in the sum of a failure domain, or that outlive their report.
Test(PeerLoads, SumsTheClaimsOfAllVms)
{
  PeerLoads loads;
  const TimePoint start{ 100s };
  const VmId relay("vm-1");
  const std::vector<InstanceLoad> claimOnly{ { .instance = 7, .claim = 25 } };
  loads.OnReport(start, relay, { .loads = claimOnly, .life = 1s });
  loads.OnReport(start,
                 VmId("vm-2"),
                 { .loads = { { .instance = 7, .inFlight = 1, .claim = 10 } }, .life = 2s });
  cr_assert(loads.ClaimsAt(7) == 3.5);
  const std::vector<InstanceLoad> own{ { .instance = 7, .inFlight = 2, .claim = 5 } };
  const std::vector<InstanceLoad> expected{ { .instance = 7, .inFlight = 2, .claim = 30 } };
  cr_assert(loads.AddReportsOf({ relay }, own) == expected);
  loads.DropExpired(start + 1s);
  cr_assert(loads.ClaimsAt(7) == 1);
  cr_assert(loads.InFlightAt(7) == 1);
}

/// Guards against reports that cost time for each instance that they name: relayed sums name most
/// instances of a region, and applying them took half of the processor time of small VMs.
Test(PeerLoads, AppliesOnlyTheEntriesThatChanged)
{
  struct Case
  {
    const char* name;
    std::vector<InstanceLoad> first;
    std::vector<InstanceLoad> second;
    std::vector<uint32_t> changed;
  };
  const Case cases[] = {
    { "unchanged", { { 1, 2 }, { 2, 3 } }, { { 1, 2 }, { 2, 3 } }, {} },
    { "other order", { { 1, 2 }, { 2, 3 } }, { { 2, 3 }, { 1, 2 } }, {} },
    { "one changed", { { 1, 2 }, { 2, 3 } }, { { 1, 2 }, { 2, 4 } }, { 2 } },
    { "one gone", { { 1, 2 }, { 2, 3 } }, { { 2, 3 } }, { 1 } },
    { "one without requests", { { 1, 2 }, { 2, 3 } }, { { 1, 0 }, { 2, 3 } }, { 1 } },
    { "one new", { { 2, 3 } }, { { 2, 3 }, { 4, 1 } }, { 4 } },
    { "named twice", { { 2, 3 } }, { { 2, 1 }, { 2, 2 } }, {} },
  };
  for (const Case& testCase : cases) {
    PeerLoads loads;
    const TimePoint start{ 100s };
    loads.OnReport(start, VmId("vm-1"), { .loads = testCase.first, .life = 1s });
    const auto changed =
      loads.OnReport(start, VmId("vm-1"), { .loads = testCase.second, .life = 1s });
    cr_assert(changed == testCase.changed, "%s", testCase.name);
  }
}

/// Guards against running sums that differ from the sum of the reports in force.
Test(PeerLoads, EqualsTheSumOfTheReports)
{
  const bool held = rc::check("sums equal the reports in force", [] {
    PeerLoads loads;
    std::map<unsigned, std::pair<TimePoint, std::vector<InstanceLoad>>> oracle;
    TimePoint now{ 100s };
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      now += Duration(std::chrono::milliseconds(*rc::gen::inRange(0, 400)));
      const unsigned vm = *rc::gen::inRange(0, 5);
      std::vector<InstanceLoad> report(*rc::gen::inRange<size_t>(0, 4));
      for (InstanceLoad& load : report) {
        load.instance = *rc::gen::inRange<uint32_t>(0, 5);
        load.inFlight = *rc::gen::inRange<uint16_t>(0, 9);
      }
      loads.DropExpired(now);
      loads.OnReport(now, VmId(std::to_string(vm)), { .loads = report, .life = 1s });
      std::erase_if(oracle, [now](const auto& aIt) { return now - aIt.second.first >= 1s; });
      oracle[vm] = { now, report };
      for (uint32_t instance = 0; instance < 5; ++instance) {
        unsigned sum = 0;
        for (const auto& [id, entry] : oracle) {
          for (const InstanceLoad& load : entry.second)
            sum += load.instance == instance ? load.inFlight : 0;
        }
        RC_ASSERT(loads.InFlightAt(instance) == sum);
      }
    }
  });
  cr_assert(held);
}

} // namespace
