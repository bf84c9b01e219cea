#ifndef DRAGONFLYMOOR_UNITTESTS_CONFIG_SIMULATEDFLEET_H
#define DRAGONFLYMOOR_UNITTESTS_CONFIG_SIMULATEDFLEET_H

#include "dragonflymoor/Config/ListKeeper.h"
#include "dragonflymoor/Membership/Membership.h"
#include "dragonflymoor/Model/Lists.h"
#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace dfm::test {

// 150 cases take 5 s in an optimised build and over 4 min in the debug build with sanitizers.
#ifdef __OPTIMIZE__
inline constexpr const char* kRapidCheck = "seed=20261204 max_success=150";
#else
inline constexpr const char* kRapidCheck = "seed=20261204 max_success=40";
#endif
// Runs in CI are repeatable; RC_PARAMS in the environment takes precedence.
[[maybe_unused]] inline const int kSeed = setenv("RC_PARAMS", kRapidCheck, 0);

constexpr size_t kVmCount = 9;
constexpr size_t kRegionCount = 3;
constexpr Duration kTick = 20ms;

/// Stand-in for the store: versions, conditional updates, watches, outages and lost answers.
class FakeStore
{
public:
  struct Object
  {
    uint64_t version = 0;
    std::string content;
  };

  /// Version of the new object, or empty on a conflict.
  std::optional<uint64_t> Put(const std::string& aName, uint64_t aExpected, std::string aContent)
  {
    Object& object = objects[aName];
    if (object.version != aExpected)
      return std::nullopt;
    object = { .version = aExpected + 1, .content = std::move(aContent) };
    return object.version;
  }

  bool down = false;
  uint64_t lostPercent = 0;
  std::map<std::string, Object> objects;
};

/// Membership and list keepers of a small fleet with virtual time, over a network with delays,
/// loss, cuts between regions, kills, restarts and pauses. Faults that it finds itself are in
/// `faults`.
class SimulatedFleet
{
public:
  struct Node
  {
    Vm vm;
    uint64_t life = 0; ///< Grows with each start; events of earlier lives are dropped.
    bool running = false;
    bool paused = false;
    TimePoint nextVmList;
    Incarnation incarnation;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<ListKeeper> keeper;
    std::array<ListVersion, kListCount> highest{}; ///< Versions in force in this life.
    std::set<std::pair<ListName, ListVersion>> refused;
    std::vector<std::function<void()>> waiting; ///< Arrived during a pause.
  };

  explicit SimulatedFleet(uint64_t aSeed)
    : random_(aSeed)
  {
    for (size_t i = 0; i < kVmCount; ++i) {
      const std::string region = fmt::format("r{}", i % kRegionCount);
      const Endpoint endpoint{ .address = fmt::format("10.0.0.{}", i), .port = 7000 };
      nodes.emplace_back().vm = { .id = VmId(fmt::format("vm{}", i)),
                                  .region = RegionId(region),
                                  .failureDomain = FailureDomainId(
                                    fmt::format("{}-{}", region, i / kRegionCount % 2)),
                                  .callers = endpoint,
                                  .peers = endpoint };
    }
  }

  Now Time() const { return { .monotonic = now_, .wall = WallTime(1'700'000'000'000ms) }; }

  void Start(size_t aIndex)
  {
    Node& node = nodes[aIndex];
    node.running = true;
    node.paused = false;
    node.waiting.clear();
    node.highest = {};
    node.refused.clear();
    ++node.life;
    node.incarnation = { random_.Next() };
    // The wall clock may go back by some seconds between two lives.
    const uint64_t startedAt = 1'700'000'000'000 +
                               static_cast<uint64_t>(now_.time_since_epoch() / 1ms) -
                               random_.Below(5000);
    MembershipOptions options{ .self = node.vm,
                               .incarnation = node.incarnation,
                               .startedAtMs = startedAt,
                               .seeds = { nodes[0].vm.peers, nodes[1].vm.peers, nodes[2].vm.peers },
                               .randomSeed = random_.Next() };
    node.membership = std::make_unique<Membership>(options, Hooks(aIndex));
    node.keeper = std::make_unique<ListKeeper>(
      ListKeeperOptions{ .self = node.vm, .randomSeed = random_.Next() }, KeeperHooks(aIndex));
    node.membership->Start(Time());
    node.keeper->Start(Time());
  }

  void Kill(size_t aIndex) { nodes[aIndex].running = false; }

  /// A paused process may tick before or after it reads what waited in its sockets.
  void Resume(size_t aIndex)
  {
    Node& node = nodes[aIndex];
    if (!node.running || !node.paused)
      return;
    node.paused = false;
    if (random_.Below(2) == 0)
      Tick(node);
    for (auto& event : std::exchange(node.waiting, {}))
      event();
  }

  void Tick(Node& aNode)
  {
    // The platform names every VM, also those that are down; it is asked rarely.
    if (now_ >= aNode.nextVmList) {
      aNode.nextVmList = now_ + 2s;
      std::vector<PlatformVm> vms;
      for (const Node& node : nodes)
        vms.push_back({ .vm = node.vm });
      aNode.membership->OnVmList(Time(), vms);
    }
    aNode.membership->OnTick(Time());
    aNode.keeper->OnTick(Time());
  }

  void RunFor(Duration aDuration)
  {
    const TimePoint end = now_ + aDuration;
    while (now_ < end) {
      now_ += kTick;
      while (!events_.empty() && events_.top().at <= now_) {
        const auto run = events_.top().run;
        events_.pop();
        run();
      }
      for (Node& node : nodes) {
        if (node.running && !node.paused)
          Tick(node);
      }
    }
  }

  void HealNetwork()
  {
    cuts.clear();
    lossPercent = 0;
  }

  size_t Running() const
  {
    return static_cast<size_t>(
      std::count_if(nodes.begin(), nodes.end(), [](const Node& aNode) { return aNode.running; }));
  }

  std::vector<Node> nodes;
  FakeStore store;
  std::set<std::pair<std::string, std::string>> cuts; ///< Directed pairs of regions.
  uint64_t lossPercent = 0;
  std::vector<std::string> faults;

private:
  struct Event
  {
    TimePoint at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return std::pair(at, order) > std::pair(aOther.at, aOther.order);
    }
  };

  void After(Duration aDelay, std::function<void()> aRun)
  {
    events_.push({ now_ + aDelay, order_++, std::move(aRun) });
  }

  /// Runs the event on the node unless that life has ended.
  void AfterOn(size_t aIndex, Duration aDelay, std::function<void(Node&)> aRun)
  {
    const uint64_t life = nodes[aIndex].life;
    After(aDelay, [this, aIndex, life, aRun = std::move(aRun)] {
      Node& node = nodes[aIndex];
      if (!node.running || node.life != life)
        return;
      if (node.paused)
        node.waiting.push_back([&node, aRun] { aRun(node); });
      else
        aRun(node);
    });
  }

  std::optional<size_t> IndexOf(const Endpoint& aEndpoint) const
  {
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].vm.peers == aEndpoint)
        return i;
    }
    return std::nullopt;
  }

  bool Passes(size_t aFrom, size_t aTo)
  {
    return nodes[aTo].running &&
           !cuts.contains({ nodes[aFrom].vm.region.Value(), nodes[aTo].vm.region.Value() }) &&
           random_.Below(100) >= lossPercent;
  }

  Duration Delay(size_t aFrom, size_t aTo)
  {
    const Duration base = nodes[aFrom].vm.region == nodes[aTo].vm.region ? 500us : 20ms;
    return base + random_.Between(0us, 2ms);
  }

  MembershipHooks Hooks(size_t aIndex)
  {
    return { .sendDatagram =
               [this, aIndex](const Endpoint& aTo, const DatagramMessage& aMessage) {
                 if (EncodedSizeBound(aMessage) > kMaxDatagramBytes)
                   faults.emplace_back("datagram above 1200 bytes");
                 const auto to = IndexOf(aTo);
                 if (!to || !Passes(aIndex, *to))
                   return;
                 AfterOn(*to, Delay(aIndex, *to), [this, aIndex, aMessage](Node& aNode) {
                   aNode.membership->OnDatagram(Time(), nodes[aIndex].vm.peers, aMessage);
                 });
               },
             .sendStream =
               [this, aIndex](const Vm& aTo, const StreamMessage& aMessage) {
                 SendStream(aIndex, aTo, aMessage);
               },
             .memberChanged =
               [this, aIndex](const MemberUpdate& aMember) {
                 nodes[aIndex].keeper->OnMember(Time(), aMember);
               },
             .probeAcknowledged = [](TimePoint) {} };
  }

  void SendStream(size_t aIndex, const Vm& aTo, const StreamMessage& aMessage)
  {
    const auto to = IndexOf(aTo.peers);
    if (!to || !Passes(aIndex, *to))
      return;
    AfterOn(*to, Delay(aIndex, *to), [this, aIndex, aMessage](Node& aNode) {
      const VmId& from = nodes[aIndex].vm.id;
      if (const auto* sync = std::get_if<MemberSync>(&aMessage))
        aNode.membership->OnSync(Time(), from, *sync);
      if (const auto* reply = std::get_if<ListReply>(&aMessage))
        aNode.keeper->OnListReply(Time(), from, *reply);
      if (const auto* request = std::get_if<ListRequest>(&aMessage))
        SendStream(*IndexOf(aNode.vm.peers), nodes[aIndex].vm, aNode.keeper->Answer(*request));
    });
  }

  ListKeeperHooks KeeperHooks(size_t aIndex)
  {
    return { .callStore =
               [this, aIndex](const StoreCall& aCall) {
                 const StoreCallId id{ ++lastCall_ };
                 // Answers may overtake each other.
                 AfterOn(aIndex, random_.Between(5ms, 300ms), [this, aIndex, id, aCall](Node&) {
                   AnswerStore(aIndex, id, aCall, now_ + 20s);
                 });
                 return id;
               },
             .send = [this,
                      aIndex](const Vm& aTo,
                              const StreamMessage& aMessage) { SendStream(aIndex, aTo, aMessage); },
             .changed =
               [this, aIndex](const std::shared_ptr<const FleetLists>& aLists) {
                 Node& node = nodes[aIndex];
                 for (size_t i = 0; i < kListCount; ++i) {
                   if (aLists->versions[i] < node.highest[i])
                     faults.push_back(fmt::format("{} went back", node.vm.id.Value()));
                 }
                 node.highest = aLists->versions;
                 node.membership->SetListVersions(aLists->versions);
               },
             .refused =
               [this, aIndex](ListName aList, ListVersion aVersion, const Findings& aFindings) {
                 if (aFindings.empty() || !nodes[aIndex].refused.insert({ aList, aVersion }).second)
                   faults.push_back(
                     fmt::format("{} refused a version twice", nodes[aIndex].vm.id.Value()));
               } };
  }

  void AnswerStore(size_t aIndex, StoreCallId aId, const StoreCall& aCall, TimePoint aWatchEnd)
  {
    StoreResult result;
    const auto object = store.objects.find(aCall.object);
    const bool watch = aCall.kind == StoreCall::Kind::Watch;
    const bool known =
      object != store.objects.end() && (!watch || object->second.version > aCall.expectedVersion);
    if (!store.down && random_.Below(100) >= store.lostPercent) {
      if (watch && !known && now_ < aWatchEnd) {
        AfterOn(aIndex, kTick, [=, this](Node&) { AnswerStore(aIndex, aId, aCall, aWatchEnd); });
        return;
      }
      result.status = known ? StoreStatus::Ok : StoreStatus::NotFound;
      if (known) {
        const auto list = ParseObjectName(aCall.object);
        if (list && nodes[aIndex].refused.contains({ *list, object->second.version }))
          faults.push_back(fmt::format("{} read a refused version again", aCall.object));
        result.version = object->second.version;
        result.content = object->second.content;
      }
    }
    AfterOn(aIndex, random_.Between(1ms, 300ms), [this, aId, result](Node& aNode) {
      aNode.keeper->OnStoreResult(Time(), aId, result);
    });
  }

  Random random_;
  TimePoint now_{ 10s };
  uint64_t order_ = 0;
  uint64_t lastCall_ = 0;
  std::priority_queue<Event> events_;
};

} // namespace dfm::test

#endif
