#include "dragonflymoor/Steering/EarlierStateSearch.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>

namespace {

using namespace dfm;

/// VMs that started in order of their numbers, the regions in turn.
std::vector<MemberUpdate>
MakeVms(size_t aCount, size_t aRegions)
{
  std::vector<MemberUpdate> vms;
  for (size_t i = 0; i < aCount; ++i)
    vms.push_back({ .vm = { .id = VmId(fmt::format("vm-{}", i)),
                            .region = RegionId(fmt::format("region-{}", i % aRegions)) },
                    .startedAtMs = i });
  return vms;
}

/// Asks one VM after the other until the search ends and returns their ids.
std::set<VmId>
AskAll(EarlierStateSearch& aSearch, uint64_t aEpoch, const std::vector<MemberUpdate>& aVms)
{
  std::set<VmId> asked;
  for (;;) {
    const std::vector<Vm> next = aSearch.NextVms(TimePoint{}, aEpoch, aVms);
    if (next.empty())
      return asked;
    cr_assert(asked.insert(next.back().id).second, "asked twice");
    aSearch.OnAnswer(aEpoch, next.back());
  }
}

/// Guards against VMs that ask the same one again and again, and not those that know what the copy
/// lacks.
Test(EarlierStateSearch, EachVmIsAskedOnceAndOneOfEachRegion)
{
  struct Case
  {
    size_t vms;
    size_t regions;
    size_t asked;
  };
  for (const Case& testCase : { Case{ 0, 1, 0 },
                                Case{ 1, 1, 1 },
                                Case{ 3, 2, 3 },
                                Case{ 30, 1, 5 },
                                Case{ 30, 4, 5 },
                                Case{ 300, 8, 8 } }) {
    EarlierStateSearch search;
    const std::vector<MemberUpdate> vms = MakeVms(testCase.vms, testCase.regions);
    const std::set<VmId> asked = AskAll(search, 1, vms);
    cr_assert(asked.size() == testCase.asked, "%zu VMs", testCase.vms);
    std::set<RegionId> regions;
    for (const MemberUpdate& vm : vms) {
      if (asked.contains(vm.vm.id))
        regions.insert(vm.vm.region);
    }
    cr_assert(regions.size() == std::min(testCase.vms, testCase.regions), "%zu VMs", testCase.vms);
  }
}

/// Guards against answers of VMs that have just started, which know nothing, while others have run
/// for long.
Test(EarlierStateSearch, LongerRunningVmsAreAskedFirst)
{
  EarlierStateSearch search;
  for (const VmId& id : AskAll(search, 1, MakeVms(40, 1)))
    cr_assert(std::stoul(id.Value().substr(3)) < 25);
}

/// Guards against a VM that is not asked again after a return, in which others may know what it
/// lost.
Test(EarlierStateSearch, ReturnBeginsTheSearchAnew)
{
  EarlierStateSearch search;
  const std::vector<MemberUpdate> vms = MakeVms(3, 1);
  cr_assert(AskAll(search, 1, vms).size() == 3);
  cr_assert(AskAll(search, 2, vms).size() == 3);
}

/// Guards against an answer that was made for an earlier epoch and lacks what was learnt in it.
Test(EarlierStateSearch, AnswerFromBeforeTheReturnDoesNotCount)
{
  EarlierStateSearch search;
  const std::vector<MemberUpdate> vms = MakeVms(3, 1);
  const std::vector<Vm> asked = search.NextVms(TimePoint{}, 1, vms);
  cr_assert(not search.NextVms(TimePoint{}, 2, vms).empty());
  search.OnAnswer(1, asked.front());
  cr_assert(AskAll(search, 2, vms).size() == 3);
}

/// Guards against requests without end to VMs that do not answer.
Test(EarlierStateSearch, SearchEnds)
{
  EarlierStateSearch search;
  const std::vector<MemberUpdate> vms = MakeVms(3, 1);
  cr_assert(search.NextVms(TimePoint{}, 1, {}).empty());
  const TimePoint begin = TimePoint{} + 20s;
  cr_assert(not search.NextVms(begin, 1, vms).empty(), "no VM was known before");
  cr_assert(not search.NextVms(begin + 9s, 1, vms).empty());
  cr_assert(search.NextVms(begin + 10s, 1, vms).empty());
  cr_assert(not search.NextVms(begin + 10s, 2, vms).empty(), "a return");
}

} // namespace
