#include "DispatcherFixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

namespace {

using namespace dfm;
using namespace dfm::test;

using EntriesById = std::map<std::string, std::shared_ptr<const Instance>>;

std::shared_ptr<const Instance>
MakeEntry(const char* aId)
{
  return std::make_shared<const Instance>(Instance{ .id = BackendId(aId) });
}

InstanceList
ListOf(const EntriesById& aEntries)
{
  InstanceList list;
  for (const auto& [id, entry] : aEntries)
    list.push_back(entry);
  return list;
}

/// Guards against entries that are missed, or applied without a change, where two lists of
/// instances differ.
Test(FleetChanges, AreFoundInOrderedLists)
{
  struct Case
  {
    const char* name;
    std::vector<const char*> before;
    std::vector<const char*> kept;     ///< Entries that both lists share.
    std::vector<const char*> replaced; ///< Entries that only the later list has.
    std::vector<const char*> removed;
  };
  const Case cases[] = {
    { "both empty", {}, {}, {}, {} },
    { "unchanged", { "a", "b" }, { "a", "b" }, {}, {} },
    { "all new", {}, {}, { "a", "b" }, {} },
    { "all removed", { "a", "b" }, {}, {}, { "a", "b" } },
    { "first replaced", { "a", "b" }, { "b" }, { "a" }, {} },
    { "last replaced", { "a", "b" }, { "a" }, { "b" }, {} },
    { "first removed", { "a", "b", "c" }, { "b", "c" }, {}, { "a" } },
    { "last removed", { "a", "b", "c" }, { "a", "b" }, {}, { "c" } },
    { "added between", { "a", "c" }, { "a", "c" }, { "b" }, {} },
    { "other ids", { "a", "c" }, {}, { "b", "d" }, { "a", "c" } },
    { "removed before a replaced one", { "a", "b", "c" }, { "c" }, { "b" }, { "a" } },
  };
  for (const Case& testCase : cases) {
    EntriesById before;
    for (const char* const id : testCase.before)
      before[id] = MakeEntry(id);
    EntriesById after;
    for (const char* const id : testCase.kept)
      after[id] = before.at(id);
    InstanceChanges expected;
    for (const char* const id : testCase.replaced) {
      after[id] = MakeEntry(id);
      expected.replaced.push_back(after[id]);
    }
    for (const char* const id : testCase.removed)
      expected.removed.emplace_back(id);
    const bool equal = FindInstanceChanges(ListOf(before), ListOf(after)) == expected;
    cr_assert(equal, "%s", testCase.name);
  }
}

/// Guards against requests that go to instances which a series of changes has removed, moved to
/// another service or taken out of use, and against usable instances that get none.
Test(FleetChanges, LeaveTheDispatcherWithTheUsableInstances)
{
  const bool holds = rc::check("random fleets one after the other", [] {
    DispatcherFixture fixture;
    std::map<std::string, InstanceText> fleet;
    std::set<std::string> evacuated;
    Ticket unanswered = 0; // 0 for none.
    const auto steps = *rc::gen::inRange(5, 60);
    for (int step = 0; step < steps; ++step) {
      const auto changes = *rc::gen::inRange(1, 4);
      for (int change = 0; change < changes; ++change) {
        const std::string id = "i-" + std::to_string(*rc::gen::inRange(0, 6));
        if (*rc::gen::inRange(0, 4) == 0) {
          fleet.erase(id);
          continue;
        }
        fleet[id] = {
          .id = id,
          .domain = *rc::gen::element<std::string>("north-a", "north-b", "south-a"),
          .slots = 100,
          .draining = *rc::gen::inRange(0, 4) == 0,
          .born = *rc::gen::inRange<uint64_t>(1, 3),
          .service = *rc::gen::element<std::string>("reader", "reader", "other"),
        };
      }
      if (*rc::gen::inRange(0, 5) == 0 && !evacuated.insert("north-a").second)
        evacuated.clear();
      std::vector<InstanceText> instances;
      std::set<std::string> usable;
      for (const auto& [id, instance] : fleet) {
        instances.push_back(instance);
        if (instance.service == "reader" && !instance.draining &&
            !evacuated.contains(instance.domain))
          usable.insert(id);
      }
      fixture.SetFleet(instances, evacuated);
      // The instance of this attempt may be gone by now.
      if (unanswered != 0)
        fixture.End(unanswered, AttemptEndReport::Kind::Answered, 200);
      unanswered = 0;
      const size_t startedBefore = fixture.started.size();
      const Ticket ticket = fixture.Submit({}, *rc::gen::inRange<uint64_t>(0, 50));
      fixture.Advance(100ms);
      RC_ASSERT((fixture.started.size() > startedBefore) == !usable.empty());
      if (usable.empty()) {
        fixture.dispatcher.Cancel(fixture.now, ticket);
        continue;
      }
      RC_ASSERT(usable.contains(fixture.started.back().instance.Value()));
      unanswered = ticket;
    }
  });
  cr_assert(holds);
}

} // namespace
