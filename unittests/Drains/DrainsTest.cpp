#include "dragonflymoor/Drains/Drains.h"
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>
#include <iterator>

using namespace dfm;

namespace {

constexpr WallTime kStart{ 1'000'000ms };

/// Two failure domains, each with two servers of 10 slots and two VMs; d2's vm is in region r2.
FleetLists
MakeLists()
{
  FleetLists lists;
  for (const char* domain : { "d0", "d1" }) {
    for (int i = 0; i < 2; ++i) {
      lists.backends.push_back({ .id = BackendId(fmt::format("{}-b{}", domain, i)),
                                 .service = ServiceId("s"),
                                 .region = RegionId("r"),
                                 .failureDomain = FailureDomainId(domain),
                                 .slots = 10 });
      Vm& vm = lists.roster.emplace_back();
      vm.id = VmId(fmt::format("{}-vm{}", domain, i));
      vm.region = RegionId("r");
      vm.failureDomain = FailureDomainId(domain);
    }
  }
  return lists;
}

struct DrainCase
{
  DrainTarget target;
  char name[16];
  char alreadyDraining[16]; ///< A VM or failure domain with a drain in the list.
  double slotsInUse;
  char finding[160];
};

} // namespace

ParameterizedTestParameters(Drains, ChecksTheRest)
{
  static DrainCase cases[] = {
    { DrainTarget::BackendServer, "d0-b0", "", 25.5, "" },
    { DrainTarget::BackendServer,
      "d0-b0",
      "",
      25.6,
      "service s in region r would use 25.6 of 30 slots left (40 now), at most 25.5 (85 %)" },
    { DrainTarget::FailureDomain, "d1", "", 17, "" },
    { DrainTarget::FailureDomain, "d1", "", 17.1, "would use 17.1 of 20 slots left" },
    { DrainTarget::BackendServer, "d0-b0", "d1", 9, "would use 9.0 of 10 slots left (20 now)" },
    { DrainTarget::FailureDomain, "d1", "d1", 17, "" },
    { DrainTarget::FailureDomain, "d0", "d1", 0, "" },
    { DrainTarget::Vm, "d0-vm0", "", 40, "" },
    { DrainTarget::Vm, "other", "", 0, "vm other: does not exist" },
  };
  return cr_make_param_array(DrainCase, cases, std::size(cases));
}

// Guards against a drain that leaves too little, and one that is refused without need.
ParameterizedTest(DrainCase* aCase, Drains, ChecksTheRest)
{
  FleetLists lists = MakeLists();
  if (aCase->alreadyDraining[0] != '\0')
    lists.drains.push_back(
      { .target = DrainTarget::FailureDomain, .name = aCase->alreadyDraining, .startsAt = kStart });
  const auto findings = CheckDrain(
    lists,
    { .target = aCase->target, .name = aCase->name, .startsAt = kStart },
    { { .service = ServiceId("s"), .region = RegionId("r"), .slotsInUse = aCase->slotsInUse } });
  const std::string text = FormatFindings(findings);
  cr_assert(findings.empty() == (aCase->finding[0] == '\0'), "%s", text.c_str());
  cr_assert(text.find(aCase->finding) != std::string::npos, "%s", text.c_str());
}

// Guards against a region whose last entry VM is drained while its servers are in use.
Test(Drains, KeepsOneVmInEachRegion)
{
  FleetLists lists = MakeLists();
  lists.roster.resize(1);
  const auto findings =
    CheckDrain(lists, { .target = DrainTarget::Vm, .name = "d0-vm0", .startsAt = kStart }, {});
  cr_assert(FormatFindings(findings).find("region r would have no entry VM left") !=
            std::string::npos);
}

// Guards against a drain that starts early or misses the VMs of a failure domain.
Test(Drains, StartAtTheirTime)
{
  FleetLists lists = MakeLists();
  lists.drains = {
    { .target = DrainTarget::FailureDomain, .name = "d1", .startsAt = kStart },
    { .target = DrainTarget::BackendServer, .name = "d0-b1", .startsAt = kStart + 1ms }
  };
  cr_assert(DrainingAt(lists, kStart - 1ms) == DrainingSet{});
  const DrainingSet set = DrainingAt(lists, kStart);
  cr_assert(set.servers.size() == 2 && set.Contains(BackendId("d1-b0")));
  cr_assert(set.vms.size() == 2 && set.Contains(VmId("d1-vm1")));
  cr_assert(DrainingAt(lists, kStart + 1ms).Contains(BackendId("d0-b1")));
  cr_assert(IsDraining(lists, lists.roster[2], kStart));
  cr_assert(!IsDraining(lists, lists.roster[0], kStart));
}
