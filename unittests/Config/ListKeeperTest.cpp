#include "SimulatedFleet.h"
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace dfm;
using namespace dfm::test;

namespace {

// Members recover within 8 s of the last fault, a store call is repeated within 5 s, and a pull
// takes at most two tries of 1 s.
constexpr Duration kBound = 15s;
// Without faults: one watch answer (0.6 s at most in the fake), the way of the news and one pull.
constexpr Duration kQuietBound = 3s;

using Command = std::tuple<uint8_t, uint8_t, uint8_t>;

std::string
PlansText(uint32_t aWeight)
{
  return SerialisePlans(
    { { .id = PlanId("gold"), .workspace = WorkspaceId("karoo"), .weight = aWeight } });
}

struct ListMachine
{
  explicit ListMachine(uint64_t aSeed)
    : fleet(aSeed)
  {
    for (const ListName list :
         { ListName::Plans, ListName::Services, ListName::Backends, ListName::Roster })
      fleet.store.Put(std::string(ObjectName(list)), 0, SerialiseList(FleetLists{}, list));
    for (size_t i = 0; i < kVmCount; ++i)
      fleet.Start(i);
    fleet.RunFor(5s);
  }

  /// A writer that read the list some time ago; only one of two such writers succeeds.
  void Write(bool aStale, bool aValid)
  {
    const std::string name(ObjectName(ListName::Plans));
    const uint64_t expected = fleet.store.objects[name].version - (aStale ? 1 : 0);
    const uint32_t weight = ++lastWeight;
    const auto version =
      fleet.store.Put(name, expected, aValid ? PlansText(weight) : "{\"plans\": [{\"id\": 5}]}");
    if (!version)
      return;
    if (aValid)
      weights[*version] = weight;
    lastValid = aValid;
  }

  void Run(const Command& aCommand)
  {
    const auto [kind, first, second] = aCommand;
    const size_t index = first % kVmCount;
    auto& node = fleet.nodes[index];
    switch (kind % 11) {
      case 0:
        // The last VM that holds a list must stay: an outage of the store may follow.
        if (fleet.Running() > 3)
          fleet.Kill(index);
        break;
      case 1:
        if (fleet.Running() > 3 || !node.running)
          fleet.Start(index);
        break;
      case 2:
        node.paused = node.running;
        break;
      case 3:
        fleet.Resume(index);
        break;
      case 4:
        fleet.cuts.insert({ fmt::format("r{}", first % 3), fmt::format("r{}", second % 3) });
        break;
      case 5:
        fleet.HealNetwork();
        break;
      case 6:
        fleet.lossPercent = second % 40;
        break;
      case 7:
        fleet.store.down = first % 2 == 0;
        break;
      case 8:
        fleet.store.lostPercent = second % 60;
        break;
      default:
        if (!fleet.store.down)
          Write(first % 3 == 0, first % 5 != 0);
    }
    fleet.RunFor(Duration(second * 10'000));
  }

  std::string Wrong() const
  {
    if (!fleet.faults.empty())
      return fleet.faults.front();
    ListVersion highest = 0;
    for (const auto& node : fleet.nodes) {
      if (node.running)
        highest = std::max(highest, node.keeper->Lists()->VersionOf(ListName::Plans));
    }
    const ListVersion stored = fleet.store.objects.at("config/plans").version;
    if (!fleet.store.down && lastValid && highest != stored)
      return fmt::format("version {} is in force, the store holds {}", highest, stored);
    for (const auto& node : fleet.nodes) {
      if (!node.running)
        continue;
      const auto lists = node.keeper->Lists();
      const ListVersion version = lists->VersionOf(ListName::Plans);
      if (!node.keeper->Ready())
        return node.vm.id.Value() + " is not ready";
      if (version != highest)
        return fmt::format("{} holds version {} of {}", node.vm.id.Value(), version, highest);
      if (version > 1 && lists->plans.at(0).weight != weights.at(version))
        return node.vm.id.Value() + " holds other content";
    }
    return {};
  }

  SimulatedFleet fleet;
  std::map<ListVersion, uint32_t> weights; ///< Content of each accepted valid version.
  uint32_t lastWeight = 0;
  bool lastValid = true;
};

} // namespace

// Guards against a change that does not reach a VM, a VM that goes back to an older version or
// holds content that was not accepted, refused content in force or read again and again, and a VM
// that does not become ready after a restart during an outage of the store.
Test(ListKeeper, AcceptedChangesAreInForceEverywhere, .timeout = 280)
{
  const bool ok = rc::check([](uint64_t aSeed, const std::vector<Command>& aCommands) {
    ListMachine machine(aSeed);
    RC_ASSERT(machine.Wrong() == "");
    for (const Command& command : aCommands)
      machine.Run(command);
    RC_ASSERT(machine.fleet.faults.empty());

    // The network and the processes recover; the store stays as the commands left it.
    machine.fleet.HealNetwork();
    machine.fleet.store.lostPercent = 0;
    for (size_t i = 0; i < kVmCount; ++i)
      machine.fleet.Resume(i);
    machine.fleet.RunFor(kBound);
    RC_ASSERT(machine.Wrong() == "");

    // Restart during an outage, then a change without faults.
    machine.fleet.store.down = true;
    machine.fleet.Start(aSeed % kVmCount);
    machine.fleet.RunFor(kBound);
    RC_ASSERT(machine.Wrong() == "");
    machine.fleet.store.down = false;
    machine.fleet.RunFor(kBound);
    machine.Write(false, true);
    machine.fleet.RunFor(kQuietBound);
    RC_ASSERT(machine.Wrong() == "");
  });
  cr_assert(ok);
}

// Guards against a list that no VM takes over, as the store has returned from an older copy and
// gives it a version that is not above the one in force.
Test(ListKeeper, ListConfirmedAfterTheStoreReturnedIsInForce)
{
  ListMachine machine(1);
  const auto copy = machine.fleet.store.objects;
  for (int i = 0; i < 4; ++i) {
    machine.Write(false, true);
    machine.fleet.RunFor(kQuietBound);
  }
  cr_assert(machine.Wrong().empty());
  machine.fleet.store.objects = copy;
  machine.Write(false, true);
  machine.fleet.RunFor(kBound);
  const std::string wrong = machine.Wrong();
  cr_assert(wrong.empty(), "%s", wrong.c_str());
}

// Guards against pulling content again and again that a peer with other software accepted and this
// VM refuses.
Test(ListKeeper, RefusedVersionOfAPeerIsPulledOnce)
{
  int requests = 0;
  int refusals = 0;
  ListKeeper keeper(ListKeeperOptions{},
                    { .callStore = [](auto&) { return StoreCallId{}; },
                      .send =
                        [&](auto&, const StreamMessage& aMessage) {
                          const auto& request = std::get<ListRequest>(aMessage);
                          requests += request.list == ListName::Plans && request.atLeast == 1;
                        },
                      .changed = [](auto) {},
                      .refused = [&](auto, auto, auto&) { ++refusals; } });
  MemberUpdate peer;
  peer.vm.id = VmId("peer");
  peer.listVersions[static_cast<size_t>(ListName::Plans)] = 5;
  Now now{ .monotonic = TimePoint(1s), .wall = {} };
  keeper.Start(now);
  for (int i = 0; i < 1000; ++i) {
    now.monotonic += kTick;
    keeper.OnMember(now, peer);
    keeper.OnTick(now);
    if (i % 10 == 0)
      keeper.OnListReply(
        now, peer.vm.id, { .list = ListName::Plans, .version = 5, .content = "{}" });
  }
  cr_assert(requests == 1 && refusals == 1, "%d requests, %d refusals", requests, refusals);
  cr_assert(!keeper.Ready());
}

// Guards against a failure domain without a watcher, and against more store watches than two a
// domain.
Test(ListKeeper, TwoWatchersPerFailureDomain)
{
  std::vector<Vm> vms;
  std::vector<std::unique_ptr<ListKeeper>> keepers;
  const auto update = [&](size_t aIndex, MemberState aState) {
    return MemberUpdate{ .vm = vms[aIndex], .incarnation = {}, .state = aState };
  };
  for (size_t i = 0; i < 6; ++i) {
    vms.emplace_back().id = VmId(fmt::format("vm{}", i));
    vms.back().failureDomain = FailureDomainId(i < 5 ? "a" : "b");
    keepers.push_back(std::make_unique<ListKeeper>(
      ListKeeperOptions{ .self = vms.back() },
      ListKeeperHooks{ .callStore = [](auto&) { return StoreCallId{}; },
                       .send = [](auto&, auto&) {},
                       .changed = [](auto) {},
                       .refused = [](auto, auto, auto&) {} }));
  }
  std::set<size_t> gone;
  const auto watchers = [&] {
    std::vector<size_t> indexes;
    for (size_t i = 0; i < vms.size(); ++i) {
      keepers[i]->OnTick({});
      if (!gone.contains(i) && keepers[i]->IsWatcher(ListName::Plans))
        indexes.push_back(i);
    }
    return indexes;
  };
  for (size_t i = 0; i < vms.size(); ++i) {
    for (size_t j = 0; j < vms.size(); ++j) {
      if (i != j)
        keepers[i]->OnMember({}, update(j, MemberState::Alive));
    }
  }
  while (gone.size() < 4) {
    const auto current = watchers();
    cr_assert(current.size() == 3 && current.back() == 5);
    gone.insert(current.front());
    for (auto& keeper : keepers)
      keeper->OnMember({}, update(current.front(), MemberState::Dead));
    if (gone.size() == 4)
      cr_assert(watchers().size() == 2);
  }
}
