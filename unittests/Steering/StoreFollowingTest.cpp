#include "dragonflymoor/Steering/StoreFollowing.h"
#include "dragonflymoor/Steering/StateDelegation.h"
#include "dragonflymoor/Support/Hash.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <numeric>
#include <rapidcheck.h>
#include <set>
#include <utility>

namespace {

using namespace dfm;

constexpr Duration kStep = 50ms;
constexpr Duration kAskPeriod = 200ms;
/// Time after which membership detects that a VM died.
constexpr Duration kDetection = 1500ms;
/// Time within which an operator's change must be in force at every VM.
constexpr Duration kInForce = 2500ms;
/// Part of kInForce in which a VM reads a change and applies it: the call to the store on a new
/// connection to another region, the decoding and the next publication of the view.
constexpr Duration kApplyTime = 500ms;
/// A call on a connection on which the store has fallen silent fails after this time at the latest.
constexpr Duration kSilentCallTime = 4s;

struct RegionOptions
{
  size_t vms = 3;
  size_t seeds = 3;
  size_t domains = 1;
  size_t maxAskersOfOwnDomain = 24;
  size_t maxAskersOfOtherDomains = 2;
  /// Time that the store takes to answer a watch after a change or the end of its wait.
  Duration storeLatency{};
  /// Time after which a request to a VM that has died is given up.
  Duration unansweredTime{};
  bool quiet = false; ///< No object changes, so that each watch waits to its end.
};

/// VMs of one region in virtual time, with a store whose revision is the time of its last change.
class Region
{
public:
  explicit Region(const RegionOptions& aOptions)
    : options_(aOptions)
  {
    for (size_t i = 0; i < aOptions.vms; ++i) {
      Node node{ .vm = { .id = VmId("vm-" + std::to_string(i)),
                         .region = RegionId("north"),
                         .failureDomain =
                           FailureDomainId("north-" + std::to_string(i % aOptions.domains)),
                         .peers = { .address = "10.0.0." + std::to_string(i), .port = 1 } } };
      nodes_.push_back(node);
    }
    for (size_t i = 0; i < aOptions.seeds; ++i)
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
    membersChangeTime_ = now_ + kDetection;
  }
  void Restart(size_t aNode)
  {
    StartNode(nodes_[aNode]);
    membersChangeTime_ = now_ + kStep;
  }
  /// Makes the store refuse the calls of this VM, or accept them again.
  void Refuse(size_t aNode, bool aRefuse) { nodes_[aNode].refused = aRefuse; }
  /// Makes the store ignore the calls of this VM, of which one is under way.
  void Silence(size_t aNode)
  {
    Refuse(aNode, true);
    nodes_[aNode].nextCallTime = now_ + kSilentCallTime;
  }

  /// Returns the age of the store state known to the live VM with the oldest one. VMs that started
  /// less than kInForce ago are not counted.
  Duration Lag() const
  {
    Duration lag{};
    for (const Node& node : nodes_) {
      if (!node.diedAt && now_ - node.startedAt > kInForce)
        lag = std::max(lag, now_ - node.knownStoreTime);
    }
    return lag;
  }
  size_t StoreCallerCount() const
  {
    return static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [this](const Node& aNode) {
        return !aNode.diedAt && !aNode.following->IsServedByFollower(now_);
      }));
  }
  size_t FirstStoreCaller() const
  {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].diedAt && !nodes_[i].following->IsServedByFollower(now_))
        return i;
    }
    return nodes_.size();
  }
  /// The first VM that calls the store and is not refused.
  size_t FirstAcceptedCaller() const
  {
    const auto found = std::find_if(nodes_.begin(), nodes_.end(), [this](const Node& aNode) {
      return !aNode.diedAt && !aNode.refused && !aNode.following->IsServedByFollower(now_);
    });
    return static_cast<size_t>(found - nodes_.begin());
  }
  /// The VMs in the order in which they follow the store for the others.
  std::vector<size_t> Followers() const
  {
    std::vector<size_t> order(nodes_.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [this](size_t aLeft, size_t aRight) {
      return RendezvousWeight("north", nodes_[aLeft].vm.id.Value()) >
             RendezvousWeight("north", nodes_[aRight].vm.id.Value());
    });
    return order;
  }
  unsigned CallCount() const { return calls_; }
  /// Number of VMs with the state.
  size_t InformedCount() const
  {
    return static_cast<size_t>(std::count_if(nodes_.begin(), nodes_.end(), [](const Node& aNode) {
      return aNode.knownStoreTime > TimePoint{};
    }));
  }
  /// The most VMs to which one VM has sent the whole state.
  size_t MostWholeStatesSent() const
  {
    size_t most = 0;
    for (const Node& node : nodes_)
      most = std::max(most, node.wholeStatesSent);
    return most;
  }
  /// Number of whole states sent from one failure domain to another.
  size_t WholeStatesBetweenDomains() const { return wholeStatesBetweenDomains_; }

private:
  struct Node
  {
    Vm vm;
    std::optional<StoreFollowing> following{};
    std::optional<StateDelegation> delegation{};
    size_t wholeStatesSent = 0;
    TimePoint startedAt{};
    TimePoint knownStoreTime{}; ///< Time of the store's state that the VM knows.
    TimePoint nextAskTime{};
    TimePoint nextCallTime{};
    std::optional<Endpoint> unansweredPeer{}; ///< Has died and is asked until nextAskTime.
    bool member = false;
    bool refused = false;
    std::optional<TimePoint> diedAt{};
  };

  void StartNode(Node& aNode)
  {
    aNode.following.emplace(
      StoreFollowingOptions{ .self = aNode.vm, .seeds = seeds_, .startedAt = now_ });
    aNode.delegation.emplace(
      StateDelegationOptions{ .ownDomain = aNode.vm.failureDomain,
                              .maxAskersOfOwnDomain = options_.maxAskersOfOwnDomain,
                              .maxAskersOfOtherDomains = options_.maxAskersOfOtherDomains });
    aNode.startedAt = now_;
    aNode.knownStoreTime = {};
    aNode.member = false;
    aNode.unansweredPeer.reset();
    aNode.diedAt.reset();
    aNode.nextAskTime = now_ + kStep * (asks_++ % 4);
    aNode.nextCallTime = now_;
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
    const bool changed = membersChangeTime_ && now_ >= *membersChangeTime_;
    if (changed)
      membersChangeTime_.reset();
    for (Node& node : nodes_) {
      if (node.diedAt)
        continue;
      if (node.knownStoreTime > TimePoint{} && (!node.member || changed)) {
        node.member = true;
        node.following->OnMembershipChange(now_, Live());
      }
      if (now_ >= node.nextAskTime)
        Ask(node);
      if (now_ >= node.nextCallTime && !node.following->IsServedByFollower(now_) &&
          !(node.knownStoreTime == TimePoint{} && node.following->IsWaitingForSeeds(now_)))
        Call(node);
    }
  }

  void Ask(Node& aNode)
  {
    aNode.nextAskTime = now_ + kAskPeriod;
    if (aNode.unansweredPeer)
      aNode.following->OnPeerRequestFailed(now_, *std::exchange(aNode.unansweredPeer, {}));
    const auto peers = aNode.following->PeersToAsk(now_, {});
    if (peers.empty())
      return;
    const Endpoint& peer = peers[asks_++ % peers.size()];
    for (Node& other : nodes_) {
      if (other.vm.peers != peer)
        continue;
      if (other.diedAt && options_.unansweredTime > Duration{}) {
        aNode.unansweredPeer = peer;
        aNode.nextAskTime = now_ + options_.unansweredTime;
      } else if (other.diedAt) {
        aNode.following->OnPeerRequestFailed(now_, peer);
      } else {
        Answer(other, aNode);
      }
    }
  }

  void Answer(Node& aAnswering, Node& aAsking)
  {
    const auto answerAge = aAnswering.following->StoreAnswerAge(now_);
    std::vector<Endpoint> delegates;
    if (answerAge && aAsking.following->MayBeRedirected(now_))
      delegates =
        aAnswering.delegation->DelegatesFor(now_, aAsking.vm.failureDomain, aAsking.vm.peers);
    if (!delegates.empty()) {
      aAsking.following->OnDelegates(now_, std::move(delegates));
      aAsking.nextAskTime = now_ + kStep;
      return;
    }
    if (aAsking.knownStoreTime == TimePoint{} && aAnswering.knownStoreTime > TimePoint{}) {
      ++aAnswering.wholeStatesSent;
      wholeStatesBetweenDomains_ += aAnswering.vm.failureDomain == aAsking.vm.failureDomain ? 0 : 1;
    }
    aAsking.knownStoreTime = std::max(aAsking.knownStoreTime, aAnswering.knownStoreTime);
    aAsking.following->OnPeerAnswer(now_, aAnswering.vm.peers, answerAge);
    if (aAsking.following->MustAskAnotherPeer())
      aAsking.nextAskTime = now_ + kStep;
  }

  void Call(Node& aNode)
  {
    ++calls_;
    for (size_t i = 0; i < kObjectKindCount; ++i)
      aNode.following->OnStoreCallEnd(now_, static_cast<ObjectKind>(i), !aNode.refused);
    const Duration watchTime =
      options_.quiet ? StoreFollowing::WatchWait(ObjectKind::Instances) : kStep;
    aNode.nextCallTime = now_ + (aNode.refused ? aNode.following->MaxRetryWait(now_)
                                               : watchTime + options_.storeLatency);
    if (!aNode.refused)
      aNode.knownStoreTime = now_;
  }

  RegionOptions options_;
  std::vector<Node> nodes_;
  std::vector<Endpoint> seeds_;
  TimePoint now_{ 100s };
  std::optional<TimePoint> membersChangeTime_;
  size_t asks_ = 0;
  unsigned calls_ = 0;
  size_t wholeStatesBetweenDomains_ = 0;
};

/// Guards against a starting fleet in which every VM calls the store, which caused 1,100 calls
/// before the first request.
Test(StoreFollowing, FewVmsCallTheStore)
{
  Region region({ .vms = 20 });
  region.Run(2s);
  cr_assert(region.StoreCallerCount() <= 3);
  region.Run(8s);
  cr_assert(region.StoreCallerCount() == 1);
  cr_assert(region.Lag() <= 2 * kAskPeriod);
}

/// Guards against a starting fleet in which the seeds send the whole state to every VM: with
/// hundreds of VMs this took so long that most of them called the store, and filled the links
/// between the regions.
Test(StoreFollowing, SeedsSendTheStateToFewVms)
{
  struct Case
  {
    size_t vms;
    size_t domains;
  };
  for (const Case& testCase : { Case{ 27, 9 }, Case{ 78, 6 }, Case{ 297, 9 } }) {
    Region region({ .vms = testCase.vms, .domains = testCase.domains });
    region.Run(1500ms);
    cr_assert(region.InformedCount() == testCase.vms);
    cr_assert(region.StoreCallerCount() <= 3);
    cr_assert(region.MostWholeStatesSent() <= 24 + 2 * (testCase.domains - 1));
    cr_assert(region.WholeStatesBetweenDomains() <= size_t{ 6 } * testCase.domains);
    region.Run(8s);
    cr_assert(region.StoreCallerCount() == 1);
    // The rest of the time is for the watch of the store.
    cr_assert(region.Lag() <= kInForce / 2);
  }
}

/// Guards against a region in which most VMs call the store because it refuses, or has lost, the
/// one VM that follows it for the others: 5,200 calls in a day of 295 VMs instead of 800.
Test(StoreFollowing, FewVmsCallTheStoreWhenItRefusesSome)
{
  struct Case
  {
    const char* name;
    size_t refused;
    size_t killed;
  };
  const Case cases[] = {
    { "the first refused", 1, 0 },
    { "the first two refused", 2, 0 },
    { "the first killed", 0, 1 },
    { "the first killed, the second refused", 1, 1 },
  };
  constexpr size_t kMaxCallers = 4;
  for (const Case& testCase : cases) {
    for (const size_t vms : { 26, 98 }) {
      Region region({ .vms = vms, .domains = 3 });
      region.Run(8s);
      for (size_t fault = 0; fault < testCase.refused + testCase.killed; ++fault) {
        const size_t caller = region.FirstAcceptedCaller();
        if (fault < testCase.killed)
          region.Kill(caller);
        else
          region.Refuse(caller, true);
        size_t most = 0;
        for (int step = 0; step < 100; ++step) {
          region.Run(kStep);
          most = std::max(most, region.StoreCallerCount());
        }
        cr_assert(most <= kMaxCallers, "%s, %zu vms: %zu call", testCase.name, vms, most);
        cr_assert(region.Lag() <= kInForce, "%s, %zu vms", testCase.name, vms);
      }
    }
  }
}

/// Guards against requests to instances that have left, and against old manifests: a VM that
/// follows the store for others passed on its state as current while it waited for an answer of a
/// store that had fallen silent.
Test(StoreFollowing, ChangesReachEveryVmWhenTheStoreFallsSilentToItsFollowers)
{
  for (const size_t silenced : { 1, 2, 3 }) {
    for (const size_t vms : { 5, 26, 98 }) {
      Region region({ .vms = vms, .domains = 3 });
      region.Run(8s);
      std::set<size_t> silent;
      for (const size_t follower : region.Followers()) {
        if (silent.size() < silenced)
          silent.insert(follower);
      }
      for (const size_t follower : silent)
        region.Silence(follower);
      for (int step = 0; step < 200; ++step) {
        region.Run(kStep);
        cr_assert(region.Lag() <= kInForce, "%zu of %zu vms, step %d", silenced, vms, step);
      }
    }
  }
}

/// Guards against VMs that serve by an old manifest after the VM died from which they have the
/// state, or the one that serves that VM in turn.
Test(StoreFollowing, ChangesReachEveryVmAfterTheDeathOfItsSource)
{
  struct Case
  {
    const char* name;
    size_t first; ///< Position among the followers of the first VM that dies.
    size_t count;
  };
  const Case cases[] = {
    { "the follower", 0, 1 },  { "the first two followers", 0, 2 },
    { "all followers", 0, 3 }, { "the second follower", 1, 1 },
    { "three others", 3, 3 },  { "ten others", 3, 10 },
  };
  for (const Case& testCase : cases) {
    for (const size_t vms : { 26, 78, 98 }) {
      for (const bool quiet : { false, true }) {
        Region region({ .vms = vms, .domains = 2, .unansweredTime = 300ms, .quiet = quiet });
        region.Run(8s);
        const auto followers = region.Followers();
        for (size_t i = 0; i < testCase.count; ++i)
          region.Kill(followers[testCase.first + i]);
        for (int step = 0; step < 200; ++step) {
          region.Run(kStep);
          cr_expect(region.Lag() <= kInForce - kApplyTime,
                    "%s of %zu vms, quiet %d, step %d: %ld ms",
                    testCase.name,
                    vms,
                    quiet ? 1 : 0,
                    step,
                    static_cast<long>(region.Lag() / 1ms));
        }
      }
    }
  }
}

/// Guards against VMs that take a store without changes, or a slow one, for a silent one and call
/// it themselves.
Test(StoreFollowing, FewVmsCallAQuietOrSlowStore)
{
  for (const Duration latency : { 0ms, 200ms }) {
    for (const size_t vms : { 5, 9, 98 }) {
      Region region({ .vms = vms, .domains = 3, .storeLatency = latency, .quiet = true });
      region.Run(8s);
      for (int step = 0; step < 200; ++step) {
        region.Run(kStep);
        cr_assert(region.StoreCallerCount() == 1, "%zu vms, step %d", vms, step);
      }
    }
  }
}

/// Guards against two VMs that each take the other's word for being up to date with the store, so
/// that neither calls it.
Test(StoreFollowing, VmsDoNotRelyOnEachOther)
{
  for (const size_t seeds : { 0, 1, 2, 3 }) {
    Region region({ .seeds = seeds });
    for (int i = 0; i < 200; ++i) {
      region.Run(kStep);
      cr_assert(region.StoreCallerCount() >= 1);
      cr_assert(region.Lag() <= kInForce);
    }
  }
}

/// Guards against requests to instances that have left, from a follower that was cut off: it
/// regained the store first and asked no VM that had seen their entries removed, but waited until
/// they could have been registered again.
Test(StoreFollowing, FollowerWithLapsedEntriesAsksOtherRegions)
{
  const Vm self{ .id = VmId("vm-1"),
                 .region = RegionId("north"),
                 .peers = { .address = "10.0.0.1", .port = 1 } };
  const Vm other{ .id = VmId("vm-2"),
                  .region = RegionId("south"),
                  .peers = { .address = "10.0.0.2", .port = 1 } };
  TimePoint now{ 100s };
  StoreFollowing following({ .self = self, .seeds = { self.peers }, .startedAt = now });
  following.OnMembershipChange(now, { self, other });
  now += 10s;
  const auto endCalls = [&](bool aAnswered) {
    for (size_t i = 0; i < kObjectKindCount; ++i)
      following.OnStoreCallEnd(now, static_cast<ObjectKind>(i), aAnswered);
  };
  endCalls(true);
  endCalls(false);
  now += 5s;
  endCalls(true);
  const std::vector<Endpoint> others{ other.peers };
  cr_assert(following.PeersToAsk(now, {}, false).empty());
  cr_assert(following.PeersToAsk(now, {}, true) == others);
}

/// Guards against changes that reach the other VMs too late after the VMs that call the store died,
/// or while the store refuses them.
Test(StoreFollowing, ChangesReachEveryVmInTime)
{
  const bool holds = rc::check("kills, restarts and refusals", [] {
    const auto vms = *rc::gen::inRange<size_t>(3, 12);
    Region region({ .vms = vms,
                    .seeds = *rc::gen::inRange<size_t>(0, 4),
                    .domains = *rc::gen::inRange<size_t>(1, 4),
                    .maxAskersOfOwnDomain = *rc::gen::inRange<size_t>(1, 4),
                    .maxAskersOfOtherDomains = *rc::gen::inRange<size_t>(1, 3) });
    std::set<size_t> dead;
    std::set<size_t> refused;
    region.Run(4s);
    for (int step = 0; step < 8; ++step) {
      const size_t node =
        *rc::gen::element(region.FirstStoreCaller(), *rc::gen::inRange<size_t>(0, vms));
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
        // A VM that the store refuses learns of changes from the others within this longer bound.
        RC_ASSERT(region.Lag() <= kInForce + 5s);
      }
      RC_ASSERT(region.Lag() <= kInForce);
    }
  });
  cr_assert(holds);
}

} // namespace
