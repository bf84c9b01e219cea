#include "dragonflymoor/Steering/StoreFollowing.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>
#include <set>

namespace {

using namespace dfm;

constexpr Duration kStep = 50ms;
constexpr Duration kAskPeriod = 200ms;
/// Membership learns of a death after this time.
constexpr Duration kDetection = 1500ms;
/// Changes of the operator must be in force this soon.
constexpr Duration kInForce = 2500ms;

/// VMs of one region in virtual time, with a store whose revision is the time of its last change.
class Region
{
public:
  Region(size_t aVms, size_t aSeeds)
  {
    for (size_t i = 0; i < aVms; ++i) {
      Node node{ .vm = { .id = VmId("vm-" + std::to_string(i)),
                         .region = RegionId("north"),
                         .failureDomain = FailureDomainId("north-a"),
                         .peers = { .address = "10.0.0." + std::to_string(i), .port = 1 } } };
      nodes_.push_back(node);
    }
    for (size_t i = 0; i < aSeeds; ++i)
      seeds_.push_back(nodes_[i].vm.peers);
    for (Node& node : nodes_)
      StartNode(node);
  }

  void Run(Duration aDuration)
  {
    for (const TimePoint until = now_ + aDuration; now_ < until; now_ += kStep)
      Step();
  }

  void Kill(size_t aNode)
  {
    nodes_[aNode].diedAt = now_;
    membersChangeAt_ = now_ + kDetection;
  }
  void Restart(size_t aNode)
  {
    StartNode(nodes_[aNode]);
    membersChangeAt_ = now_ + kStep;
  }
  /// The store turns this VM away.
  void Refuse(size_t aNode, bool aRefuse) { nodes_[aNode].refused = aRefuse; }

  /// How far the live VM that is furthest behind the store is behind it.
  Duration Lag() const
  {
    Duration lag{};
    for (const Node& node : nodes_) {
      if (!node.diedAt && now_ - node.startedAt > kInForce)
        lag = std::max(lag, now_ - node.known);
    }
    return lag;
  }
  size_t Callers() const
  {
    return static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [this](const Node& aNode) {
        return !aNode.diedAt && !aNode.following->IsServedByFollower(now_);
      }));
  }
  size_t FirstCaller() const
  {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].diedAt && !nodes_[i].following->IsServedByFollower(now_))
        return i;
    }
    return nodes_.size();
  }
  unsigned Calls() const { return calls_; }

private:
  struct Node
  {
    Vm vm;
    std::optional<StoreFollowing> following{};
    TimePoint startedAt{};
    TimePoint known{}; ///< Time of the store's state that the VM knows.
    TimePoint asksAt{};
    TimePoint callsAt{};
    bool member = false;
    bool refused = false;
    std::optional<TimePoint> diedAt{};
  };

  void StartNode(Node& aNode)
  {
    aNode.following.emplace(
      StoreFollowingOptions{ .self = aNode.vm, .seeds = seeds_, .startedAt = now_ });
    aNode.startedAt = now_;
    aNode.known = {};
    aNode.member = false;
    aNode.diedAt.reset();
    aNode.asksAt = now_ + kStep * (asks_++ % 4);
    aNode.callsAt = now_;
  }

  std::vector<Vm> Live() const
  {
    std::vector<Vm> live;
    for (const Node& node : nodes_) {
      if (!node.diedAt || now_ - *node.diedAt < kDetection)
        live.push_back(node.vm);
    }
    return live;
  }

  void Step()
  {
    const bool changed = membersChangeAt_ && now_ >= *membersChangeAt_;
    if (changed)
      membersChangeAt_.reset();
    for (Node& node : nodes_) {
      if (node.diedAt)
        continue;
      if (node.known > TimePoint{} && (!node.member || changed)) {
        node.member = true;
        node.following->OnMembershipChange(now_, Live());
      }
      if (now_ >= node.asksAt)
        Ask(node);
      if (now_ >= node.callsAt && !node.following->IsServedByFollower(now_) &&
          !(node.known == TimePoint{} && node.following->IsWaitingForSeeds(now_)))
        Call(node);
    }
  }

  void Ask(Node& aNode)
  {
    aNode.asksAt = now_ + kAskPeriod;
    const auto peers = aNode.following->PeersToAsk(now_, {});
    if (peers.empty())
      return;
    const Endpoint& peer = peers[asks_++ % peers.size()];
    for (const Node& other : nodes_) {
      if (other.vm.peers != peer || other.diedAt)
        continue;
      aNode.known = std::max(aNode.known, other.known);
      if (other.following->MayReportStoreReachable(now_))
        aNode.following->OnPeerReportsStoreReachable(now_);
    }
  }

  void Call(Node& aNode)
  {
    ++calls_;
    for (size_t i = 0; i < kObjectKindCount; ++i)
      aNode.following->OnStoreCallEnd(static_cast<ObjectKind>(i), !aNode.refused);
    aNode.callsAt = now_ + (aNode.refused ? aNode.following->MaxRetryWait(now_) : kStep);
    if (!aNode.refused)
      aNode.known = now_;
  }

  std::vector<Node> nodes_;
  std::vector<Endpoint> seeds_;
  TimePoint now_{ 100s };
  std::optional<TimePoint> membersChangeAt_;
  size_t asks_ = 0;
  unsigned calls_ = 0;
};

/// All VMs of a starting fleet called the store: 1,100 calls before the first request.
Test(StoreFollowing, FewVmsCallTheStore)
{
  Region region(20, 3);
  region.Run(2s);
  cr_assert(region.Callers() <= 3);
  region.Run(8s);
  cr_assert(region.Callers() == 2);
  cr_assert(region.Lag() <= 2 * kAskPeriod);
}

/// Two VMs vouched for the store on each other's word, and neither followed it.
Test(StoreFollowing, VmsDoNotRelyOnEachOther)
{
  for (const size_t seeds : { 0, 1, 2, 3 }) {
    Region region(3, seeds);
    for (int i = 0; i < 200; ++i) {
      region.Run(kStep);
      cr_assert(region.Callers() >= 1);
      cr_assert(region.Lag() <= kInForce);
    }
  }
}

/// After the death of the VMs that follow the store, or while the store turned them away, a change
/// came too late at the others.
Test(StoreFollowing, ChangesReachEveryVmInTime)
{
  const bool holds = rc::check("kills, restarts and refusals", [] {
    const auto vms = *rc::gen::inRange<size_t>(3, 12);
    Region region(vms, *rc::gen::inRange<size_t>(0, 4));
    std::set<size_t> dead;
    std::set<size_t> refused;
    region.Run(4s);
    for (int step = 0; step < 8; ++step) {
      const size_t node =
        *rc::gen::element(region.FirstCaller(), *rc::gen::inRange<size_t>(0, vms));
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          if (dead.size() + refused.size() + 1 < vms && !refused.contains(node) &&
              dead.insert(node).second)
            region.Kill(node);
          break;
        case 1:
          for (const size_t each : dead)
            region.Restart(each);
          for (const size_t each : refused)
            region.Refuse(each, false);
          dead.clear();
          refused.clear();
          break;
        default:
          if (dead.size() + refused.size() + 1 < vms && !dead.contains(node) &&
              refused.insert(node).second)
            region.Refuse(node, true);
      }
      for (const Duration until = 6s;
           const auto tick : std::vector<Duration>(until / kStep, kStep)) {
        region.Run(tick);
        // A VM that the store turned away hears from the others within the stretched bound.
        RC_ASSERT(region.Lag() <= kInForce + 5s);
      }
      RC_ASSERT(region.Lag() <= kInForce);
    }
  });
  cr_assert(holds);
}

} // namespace
