#include "../Config/SimulatedFleet.h"
#include "dragonflymoor/Membership/PauseDetector.h"
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace dfm;
using namespace dfm::test;

namespace {

// Covers a probe without an acknowledgement (0.3 s, sent after at most one period), the suspicion
// (1 s), the dissemination of the update, and a margin for VMs that send their probes late.
constexpr Duration kMaxDeathDetectionTime = 3s;
// A member wrongly declared dead is probed again within 5 s; its refutation is then disseminated.
constexpr Duration kMaxRecoveryTime = 8s;

// Kind and two arguments of a fault or other event that the machine runs.
using Command = std::tuple<uint8_t, uint8_t, uint8_t>;

/// Runs random commands on a simulated fleet and compares the members' views with the real states.
struct MembershipMachine
{
  explicit MembershipMachine(uint64_t aSeed)
    : fleet(aSeed)
  {
    for (size_t i = 0; i < kVmCount; ++i)
      fleet.Start(i);
    fleet.RunFor(3s);
  }

  void Run(const Command& aCommand)
  {
    const auto [kind, firstArgument, secondArgument] = aCommand;
    const size_t index = firstArgument % kVmCount;
    auto& node = fleet.nodes[index];
    switch (kind % 8) {
      case 0:
        fleet.Kill(index);
        break;
      case 1:
        fleet.Start(index); // Also restarts a process that is running.
        leaving.erase(index);
        break;
      case 2:
        if (node.running)
          node.paused = true;
        break;
      case 3:
        fleet.Resume(index);
        break;
      case 4:
        fleet.cuts.insert(
          { fmt::format("r{}", firstArgument % 3), fmt::format("r{}", secondArgument % 3) });
        break;
      case 5:
        fleet.HealNetwork();
        break;
      case 6:
        fleet.lossPercent = secondArgument % 40;
        break;
      default:
        if (node.running && !node.paused && firstArgument % 3 == 0) {
          node.membership->SetLeaving(fleet.Time());
          leaving.insert(index);
        }
    }
    fleet.RunFor(Duration(secondArgument * 20'000));
  }

  /// Ends network faults and pauses; killed VMs stay down.
  void Heal()
  {
    fleet.HealNetwork();
    for (size_t i = 0; i < kVmCount; ++i)
      fleet.Resume(i);
  }

  /// Describes the first VM whose state in aNode's view differs from the real one; empty if none.
  std::string FindMismatch(const SimulatedFleet::Node& aNode) const
  {
    const auto routable = aNode.membership->LiveNotLeaving();
    for (size_t i = 0; i < kVmCount; ++i) {
      const auto& other = fleet.nodes[i];
      const auto state =
        aNode.membership->StateOf({ .vm = other.vm.id, .incarnation = other.incarnation });
      const bool isRoutable =
        std::find(routable.begin(), routable.end(), other.vm) != routable.end();
      const std::string observerAndSubject = aNode.vm.id.Value() + " about " + other.vm.id.Value();
      if (state != (other.running ? InstanceState::Alive : InstanceState::Dead) &&
          !(state == InstanceState::Unknown && !other.running))
        return observerAndSubject + (other.running ? ": not alive" : ": not dead");
      if (isRoutable != (other.running && !leaving.contains(i)))
        return observerAndSubject + ": routability differs from the real state";
    }
    return {};
  }

  std::string FindMismatch() const
  {
    for (const auto& node : fleet.nodes) {
      if (node.running && !FindMismatch(node).empty())
        return FindMismatch(node);
    }
    return {};
  }

  SimulatedFleet fleet;
  std::set<size_t> leaving;
};

} // namespace

// Guards against a dead VM that is still used, a live VM that stays excluded after a fault, a
// restarted VM that is mistaken for its earlier run, and a leaving VM that is still routable.
Test(Membership, ConvergesAfterAnyFaults, .timeout = 280)
{
  const bool ok = rc::check([](uint64_t aSeed, const std::vector<Command>& aCommands) {
    MembershipMachine machine(aSeed);
    RC_ASSERT(machine.FindMismatch() == "");
    for (const Command& command : aCommands)
      machine.Run(command);
    machine.Heal();
    if (machine.fleet.Running() == 0)
      machine.fleet.Start(0);
    machine.fleet.RunFor(kMaxRecoveryTime);
    RC_ASSERT(machine.FindMismatch() == "");
    RC_ASSERT(machine.fleet.faults.empty());

    // In a fleet without faults all VMs learn of a death and of a leaving VM within the bound.
    const size_t victim = aSeed % kVmCount;
    const size_t leaver = (victim + 1) % kVmCount;
    machine.fleet.Kill(victim);
    if (machine.fleet.nodes[leaver].running) {
      machine.fleet.nodes[leaver].membership->SetLeaving(machine.fleet.Time());
      machine.leaving.insert(leaver);
    }
    machine.fleet.RunFor(kMaxDeathDetectionTime);
    RC_ASSERT(machine.FindMismatch() == "");
  });
  cr_assert(ok);
}

// Guards against a VM that declares others dead right after its own pause: a suspicion from before
// the pause must not expire at once, because its refutation may still be unread in the socket.
Test(Membership, PausedVmDoesNotDeclareOthersDead)
{
  MembershipMachine machine(1);
  auto& node = machine.fleet.nodes[0];
  machine.fleet.lossPercent = 100;
  const auto countSuspects = [&] {
    const auto members = node.membership->Members();
    return std::count_if(members.begin(), members.end(), [](const MemberUpdate& aMember) {
      return aMember.state == MemberState::Suspect;
    });
  };
  while (countSuspects() == 0)
    machine.fleet.RunFor(kTick);
  node.paused = true;
  machine.fleet.HealNetwork();
  machine.fleet.RunFor(10s);
  machine.fleet.Tick(node);
  cr_assert(node.membership->LiveMembers().size() == kVmCount);
  machine.fleet.Resume(0);
  for (int i = 0; i < 200; ++i) {
    machine.fleet.RunFor(kTick);
    cr_assert(node.membership->LiveMembers().size() == kVmCount);
  }
  cr_assert(machine.FindMismatch().empty(), "%s", machine.FindMismatch().c_str());
}

// Guards against a dead VM that stays in use for as long as this VM was paused, which happens when
// a suspicion that was unread in the socket during the pause gets a start time in the future.
Test(Membership, SuspicionReadAfterAPauseExpiresInTime)
{
  Now now{ .monotonic = TimePoint(1s), .wall = {} };
  Membership membership({ .seeds = {} },
                        { .sendDatagram = [](auto&, auto&) {},
                          .sendStream = [](auto&, auto&) {},
                          .memberChanged = [](auto&) {},
                          .probeAcknowledged = [](auto) {} });
  MemberUpdate peer;
  peer.vm.id = VmId("peer");
  membership.Start(now);
  membership.OnSync(now, peer.vm.id, { .wantsReply = false, .members = { peer } });
  now.monotonic += 10s;
  peer.state = MemberState::Suspect;
  membership.OnDatagram(now, {}, Probe{ .nonce = 1, .updates = { peer } });
  for (int i = 0; i < 60; ++i) {
    membership.OnTick(now);
    now.monotonic += kTick;
  }
  cr_assert(membership.Find(peer.vm.id)->state == MemberState::Dead);
}

// Guards against members that are kept forever although the platform has removed them.
Test(Membership, ForgetsDeadVmsThatThePlatformNoLongerLists)
{
  MembershipMachine machine(2);
  machine.fleet.Kill(1);
  machine.fleet.RunFor(70s);
  auto& membership = *machine.fleet.nodes[0].membership;
  membership.OnVmList(machine.fleet.Time(), { { .vm = machine.fleet.nodes[1].vm } });
  cr_assert(membership.Members().size() == kVmCount - 1);
  membership.OnVmList(machine.fleet.Time(), {});
  cr_assert(membership.Members().size() == kVmCount - 2);
}

// Guards against a new share that is used before every VM of the roster has confirmed the roster.
Test(Membership, ConfirmsTheSmallestRosterVersion)
{
  MembershipMachine machine(3);
  std::vector<Vm> roster;
  for (size_t i = 0; i < kVmCount; ++i) {
    std::array<ListVersion, kListCount> versions{};
    versions[static_cast<size_t>(ListName::Roster)] = i == 4 ? 6 : 7;
    machine.fleet.nodes[i].membership->SetListVersions(versions);
    roster.push_back(machine.fleet.nodes[i].vm);
  }
  const auto& membership = *machine.fleet.nodes[0].membership;
  cr_assert(membership.ConfirmedRosterVersion(roster) == 0);
  machine.fleet.RunFor(4s);
  cr_assert(membership.ConfirmedRosterVersion(roster) == 6);
  roster.emplace_back().id = VmId("unheard");
  cr_assert(membership.ConfirmedRosterVersion(roster) == 0);
}

// Guards against dispatching on an outdated view of the fleet after a pause.
Test(PauseDetector, HoldsDispatchUntilAFreshAck)
{
  PauseDetector detector;
  const TimePoint start{ 1s };
  cr_assert(!detector.MayDispatch(start));
  detector.OnTick(start);
  cr_assert(detector.MayDispatch(start + 500ms));
  cr_assert(!detector.MayDispatch(start + 501ms));
  cr_assert(detector.OnTick(start + 600ms));
  cr_assert(!detector.MayDispatch(start + 600ms));
  detector.OnAck(start + 599ms); // Sent before the pause: the ack may have waited in the socket.
  cr_assert(!detector.MayDispatch(start + 600ms));
  detector.OnAck(start + 600ms);
  cr_assert(detector.MayDispatch(start + 600ms));

  detector.OnTick(start + 2s);
  for (Duration step = 2200ms; step < 4s; step += 200ms) {
    detector.OnTick(start + step);
    cr_assert(!detector.MayDispatch(start + step));
  }
  detector.OnTick(start + 4s);
  cr_assert(detector.MayDispatch(start + 4s));
}
