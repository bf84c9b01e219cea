#ifndef DRAGONFLYMOOR_UNITTESTS_SHARES_SHAREFLEET_H
#define DRAGONFLYMOOR_UNITTESTS_SHARES_SHAREFLEET_H

#include "dragonflymoor/Shares/ShareBook.h"
#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <rapidcheck.h>
#include <string>
#include <variant>
#include <vector>

namespace dfm::test {

/// One step of a randomly generated fault history of a fleet.
struct FleetCommand
{
  enum class Kind
  {
    Run, ///< No change; time passes.
    Demand,
    Kill,
    Restart,
    Pause,
    Resume,
    Cut,   ///< Splits the network into two sides; each bit of the value is the side of one VM.
    Heal,  ///< Ends the network partition.
    Lossy, ///< Sets a message loss rate and a higher message delay.
    Calm,  ///< Resets message loss and delay.
    AddVm,
    Remove,     ///< The VM dies, and the platform no longer lists it.
    ReadRoster, ///< The VM reads the newest roster from the store.
    Count,      ///< Number of kinds; not a step.
  };
  Kind kind = Kind::Run;
  uint32_t vm = 0;
  uint32_t value = 0;
  uint32_t runMs = 0; ///< Time that passes after the step.
};

inline std::ostream&
operator<<(std::ostream& aStream, const FleetCommand& aCommand)
{
  return aStream << "{kind " << static_cast<int>(aCommand.kind) << ", vm " << aCommand.vm
                 << ", value " << aCommand.value << ", " << aCommand.runMs << " ms}";
}

inline rc::Gen<std::vector<FleetCommand>>
AnyHistory()
{
  // Over half of the steps change a demand, so that loans are in use when a fault occurs.
  const auto kinds = rc::gen::map(
    rc::gen::inRange(0, 2 * static_cast<int>(FleetCommand::Kind::Count)), [](int aKind) {
      return aKind < static_cast<int>(FleetCommand::Kind::Count) ? FleetCommand::Kind(aKind)
                                                                 : FleetCommand::Kind::Demand;
    });
  return rc::gen::container<std::vector<FleetCommand>>(
    rc::gen::build<FleetCommand>(rc::gen::set(&FleetCommand::kind, kinds),
                                 rc::gen::set(&FleetCommand::vm, rc::gen::inRange(0U, 8U)),
                                 rc::gen::set(&FleetCommand::value, rc::gen::inRange(0U, 256U)),
                                 rc::gen::set(&FleetCommand::runMs, rc::gen::inRange(0U, 1500U))));
}

/// Simulates several VMs with a ShareBook each in virtual time. Clocks drift by up to 5 %, messages
/// are lost, delayed or dropped by a network partition, VMs pause, die and restart, and the roster
/// changes as the design allows (a VM is removed only when it is dead).
class ShareFleet
{
public:
  struct Node
  {
    Vm vm;
    double clockRate = 1;
    bool paused = false;
    bool inRoster = false;
    uint32_t side = 0; ///< VMs on different sides of a network partition do not reach each other.
    double demand = 0;
    ListVersion rosterSeen = 0;
    std::unique_ptr<ShareBook> book; ///< Empty when the VM does not run.
  };

  /// Called with the index of a VM: onStart when its process starts, onTick on each of its ticks.
  /// onStep is called after each step of time and after a VM handled a message.
  std::function<void(size_t)> onStart = [](size_t) {};
  std::function<void(size_t)> onTick = [](size_t) {};
  std::function<void()> onStep = [] {};

  ShareFleet(size_t aVms, uint64_t aSeed)
    : random_(aSeed)
  {
    for (size_t i = 0; i < aVms + kSpareVms; ++i) {
      AddNode();
      nodes.back().inRoster = i < aVms;
    }
    PublishRoster();
  }

  void StartAll()
  {
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].inRoster)
        Start(i);
    }
  }

  TimePoint LocalNow(size_t aVm) const
  {
    return TimePoint(FromSeconds(ToSeconds(realNow.time_since_epoch()) * nodes[aVm].clockRate) +
                     100s);
  }

  void Start(size_t aVm, bool aStoreDown = false)
  {
    Node& node = nodes[aVm];
    const auto send = [this, aVm](const VmId& aTo, StreamMessage aMessage) {
      Send(aVm, aTo, std::move(aMessage));
    };
    node.book =
      std::make_unique<ShareBook>(node.vm,
                                  ShareOptions{},
                                  ShareHooks{ .request = send, .grant = send, .giveBack = send },
                                  random_.Next(),
                                  LocalNow(aVm));
    node.paused = false;
    node.rosterSeen = 0;
    if (aStoreDown)
      ReadRosterFromPeers(aVm);
    else
      ReadRoster(aVm);
    onStart(aVm);
  }

  void Apply(const FleetCommand& aCommand)
  {
    const size_t vm = aCommand.vm % nodes.size();
    Node& node = nodes[vm];
    switch (aCommand.kind) {
      case FleetCommand::Kind::Demand:
        node.demand = aCommand.value;
        break;
      case FleetCommand::Kind::Kill:
        node.book.reset();
        break;
      case FleetCommand::Kind::Restart:
        if (!node.book && node.inRoster)
          Start(vm, aCommand.value % 2 != 0);
        break;
      case FleetCommand::Kind::Pause:
        node.paused = true;
        break;
      case FleetCommand::Kind::Resume:
        node.paused = false;
        break;
      case FleetCommand::Kind::Cut:
        for (size_t i = 0; i < nodes.size(); ++i)
          nodes[i].side = (aCommand.value >> i) & 1U;
        break;
      case FleetCommand::Kind::Heal:
        for (Node& each : nodes)
          each.side = 0;
        break;
      case FleetCommand::Kind::Lossy:
        lossPercent = aCommand.value % 50;
        maxDelay = Duration(1ms) * (aCommand.value * 20 + 1);
        break;
      case FleetCommand::Kind::Calm:
        lossPercent = 0;
        maxDelay = 5ms;
        break;
      case FleetCommand::Kind::AddVm:
        ChangeRoster(vm, true);
        if (!node.book)
          Start(vm);
        break;
      case FleetCommand::Kind::Remove:
        node.book.reset();
        ChangeRoster(vm, false);
        break;
      case FleetCommand::Kind::ReadRoster:
        if (node.book && !node.paused)
          ReadRoster(vm);
        break;
      case FleetCommand::Kind::Run:
      case FleetCommand::Kind::Count:
        break;
    }
    Run(Duration(1ms) * aCommand.runMs);
  }

  void Run(Duration aTime)
  {
    const TimePoint end = realNow + aTime;
    while (realNow < end) {
      realNow = std::min(end, realNow + 7ms);
      Deliver();
      for (size_t i = 0; i < nodes.size(); ++i) {
        if (nodes[i].book && !nodes[i].paused)
          Tick(i);
      }
      onStep();
    }
  }

  std::vector<Node> nodes;
  TimePoint realNow;
  uint32_t lossPercent = 0;
  Duration maxDelay = 5ms;
  size_t grantsDelivered = 0; ///< Grants of more than 0.

private:
  static constexpr size_t kSpareVms = 2; ///< Not in the first roster; a history may add them.

  struct Confirmation
  {
    ListVersion version = 0;
  };
  struct Message
  {
    TimePoint due;
    size_t from = 0;
    size_t to = 0;
    std::variant<StreamMessage, Confirmation> content;
  };

  void AddNode()
  {
    const std::string name = std::to_string(nodes.size());
    Node node;
    node.vm = Vm{ .id = VmId("vm" + name),
                  .region = RegionId(nodes.size() % 2 == 0 ? "r0" : "r1"),
                  .failureDomain = FailureDomainId("d" + name),
                  .callers = {},
                  .peers = {} };
    node.clockRate = 0.95 + 0.1 * random_.Unit();
    nodes.push_back(std::move(node));
  }

  void ChangeRoster(size_t aVm, bool aInRoster)
  {
    if (nodes[aVm].inRoster == aInRoster)
      return;
    nodes[aVm].inRoster = aInRoster;
    PublishRoster();
  }

  /// Reads the newest roster from the store.
  void ReadRoster(size_t aVm) { ReadRoster(aVm, rosters_.size()); }

  /// Reads the newest roster that a reachable peer holds, as in an outage of the store.
  void ReadRosterFromPeers(size_t aVm)
  {
    ListVersion newest = 0;
    for (const Node& node : nodes) {
      if (node.book && node.side == nodes[aVm].side)
        newest = std::max(newest, node.rosterSeen);
    }
    ReadRoster(aVm, newest);
  }

  void ReadRoster(size_t aVm, ListVersion aVersion)
  {
    if (aVersion == 0)
      return;
    nodes[aVm].rosterSeen = std::max(nodes[aVm].rosterSeen, aVersion);
    nodes[aVm].book->SetRoster(aVersion, rosters_.at(aVersion - 1), LocalNow(aVm));
  }

  void PublishRoster()
  {
    std::vector<Vm> vms;
    for (const Node& node : nodes) {
      if (node.inRoster)
        vms.push_back(node.vm);
    }
    rosters_.push_back(std::move(vms));
  }

  void Send(size_t aFrom, const VmId& aTo, std::variant<StreamMessage, Confirmation> aContent)
  {
    const auto to = std::find_if(
      nodes.begin(), nodes.end(), [&](const Node& aNode) { return aNode.vm.id == aTo; });
    if (random_.Below(100) < lossPercent)
      return;
    messages_.push_back(Message{ .due = realNow + random_.Between(0us, maxDelay),
                                 .from = aFrom,
                                 .to = static_cast<size_t>(to - nodes.begin()),
                                 .content = std::move(aContent) });
  }

  void Deliver()
  {
    std::vector<Message> undelivered;
    undelivered.swap(messages_);
    for (Message& message : undelivered) {
      Node& to = nodes[message.to];
      if (message.due > realNow || (to.book && to.paused)) {
        messages_.push_back(std::move(message));
        continue;
      }
      if (to.book && to.side == nodes[message.from].side)
        Handle(message);
    }
  }

  void Handle(const Message& aMessage)
  {
    ShareBook& book = *nodes[aMessage.to].book;
    const VmId& from = nodes[aMessage.from].vm.id;
    const TimePoint now = LocalNow(aMessage.to);
    if (const auto* confirmation = std::get_if<Confirmation>(&aMessage.content)) {
      book.OnRosterConfirmed(from, confirmation->version, now);
      return;
    }
    const auto& stream = std::get<StreamMessage>(aMessage.content);
    if (const auto* request = std::get_if<ShareRequest>(&stream))
      book.OnShareRequest(from, *request, now);
    if (const auto* grant = std::get_if<ShareGrant>(&stream)) {
      grantsDelivered += grant->amount > 0 ? 1 : 0;
      book.OnShareGrant(from, *grant, now);
    }
    if (const auto* back = std::get_if<ShareReturn>(&stream))
      book.OnShareReturn(from, *back, now);
    onStep();
  }

  void Tick(size_t aVm)
  {
    ShareBook& book = *nodes[aVm].book;
    std::vector<Vm> live;
    for (const Node& node : nodes) {
      if (node.book && node.side == nodes[aVm].side)
        live.push_back(node.vm);
    }
    book.SetPeers(live);
    // The store is on side 0; a VM learns of a new roster after about 2 s.
    if (nodes[aVm].side == 0 && random_.Below(300) == 0)
      ReadRoster(aVm);
    onTick(aVm);
    book.OnTick(LocalNow(aVm));
    const size_t peer = random_.Below(nodes.size());
    Send(aVm, nodes[peer].vm.id, Confirmation{ book.ConfirmedRoster(LocalNow(aVm)) });
  }

  Random random_;
  std::vector<std::vector<Vm>> rosters_; ///< Version 1 first.
  std::vector<Message> messages_;
};

/// Makes runs in CI repeatable; RC_PARAMS in the environment takes precedence.
inline void
SetDefaultSeed(const char* aParameters)
{
  setenv("RC_PARAMS", aParameters, 0);
}

} // namespace dfm::test

#endif
