#ifndef DRAGONFLYMOOR_UNITTESTS_ENGINE_FAKEFLEET_H
#define DRAGONFLYMOOR_UNITTESTS_ENGINE_FAKEFLEET_H

#include "dragonflymoor/Engine/Engine.h"
#include "dragonflymoor/Support/Random.h"
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dfm::test {

/// What the fake platform's store holds, with its faults.
struct FakeStore
{
  struct Object
  {
    uint64_t version = 0;
    std::string content;
  };
  std::map<std::string, Object> objects;
  bool down = false;
  unsigned loseAnswers = 0; ///< So many puts take effect without an answer.
};

struct FakeServer
{
  BackendServer server;
  uint32_t inFlight = 0;
  uint32_t peakInFlight = 0;
  bool crashed = false;
  std::optional<TimePoint> lastStart;
};

/// One copy of a request that a caller sent.
struct Sent
{
  VmId vm;
  RequestHead head;
  TimePoint at;
  std::optional<Reply> reply;
  std::optional<TimePoint> repliedAt;
  bool connectionLost = false; ///< The VM died before it replied.
  bool abandoned = false;      ///< The caller closed its connection.
  uint64_t answerOf = 0;       ///< Fingerprint of the request whose answer came.
};

/// Begin of one run of a request at a server.
struct ServerRun
{
  uint64_t fingerprint = 0;
  BackendId server;
  TimePoint at;
};

/// Several engines with in-memory links, a store and backend servers, in virtual time. All faults
/// that the design names can be caused at the interfaces. Single-threaded.
class FakeFleet
{
public:
  struct Options
  {
    uint64_t seed = 1;
    size_t regions = 3;
    size_t domainsPerRegion = 2;
    size_t vms = 9;
    uint32_t serversPerPool = 2;
    uint32_t slots = 4;
    uint64_t linkCapBytesPerSecond = 35'000'000;
    Duration serviceTime = 20ms; ///< Mean of an exponential distribution.
    std::vector<PlanLimit> limits;
  };

  explicit FakeFleet(Options aOptions);
  ~FakeFleet();

  /// Runs all events up to the time.
  void RunFor(Duration aTime);
  TimePoint Time() const { return time_; }
  Now Clock() const;

  /// Sends one copy of a request to a VM; returns its index in Requests().
  size_t Send(size_t aVm, RequestHead aHead);
  RequestHead Lookup(Duration aDeadline = 250ms);
  RequestHead Order(const std::string& aKey, Duration aDeadline = 2s);
  /// The caller closes its connection.
  void Abandon(size_t aRequest);

  void Kill(size_t aVm);
  void Restart(size_t aVm);
  /// The process does not run for the time; what arrives meanwhile waits.
  void Freeze(size_t aVm, Duration aTime);
  void Stop(size_t aVm);
  void CutRegions(const std::string& aLeft, const std::string& aRight, bool aCut);
  void CrashServer(const BackendId& aServer, Duration aTime);
  /// Requests with this fingerprint crash the servers that run them.
  void MakePoison(uint64_t aFingerprint) { poison_.insert(aFingerprint); }
  /// An operator writes a list; returns the version, or 0 on a conflict or without the store.
  ListVersion Write(ListName aList, const std::string& aText, ListVersion aExpected);

  FakeStore& Store() { return store_; }
  std::map<BackendId, FakeServer>& Servers() { return servers_; }
  const std::vector<Sent>& Requests() const { return sent_; }
  const std::vector<ServerRun>& Runs() const { return runs_; }
  bool Alive(size_t aVm) const { return nodes_[aVm].engine != nullptr; }
  bool Stopped(size_t aVm) const { return nodes_[aVm].stopped; }
  bool Frozen(size_t aVm) const { return nodes_[aVm].frozenUntil > time_; }
  EngineStatus Status(size_t aVm) const { return nodes_[aVm].engine->Status(); }
  const RouteTable* Routes(size_t aVm) const { return nodes_[aVm].routes.get(); }
  const Vm& VmAt(size_t aVm) const { return nodes_[aVm].vm; }
  size_t VmCount() const { return nodes_.size(); }
  uint64_t Counter(const std::string& aName, Reason aReason) const;
  /// Highest number of request and answer bytes that left a region for another in any second.
  uint64_t PeakLinkBytes() const;
  /// Replies to requests of callers that had been answered before.
  unsigned DuplicateReplies() const { return duplicateReplies_; }
  const Options& Opts() const { return options_; }

private:
  struct Node
  {
    Vm vm;
    std::unique_ptr<Engine> engine;
    Incarnation incarnation;
    std::shared_ptr<const RouteTable> routes;
    TimePoint frozenUntil;
    std::deque<std::function<void()>> waiting; ///< Events that arrived while frozen.
    bool stopped = false;
    bool starting = false;
    uint64_t run = 0; ///< Counts starts; events of an earlier run are dropped.
  };
  struct Event
  {
    TimePoint at;
    uint64_t number = 0;
    std::function<void()> action;

    bool operator>(const Event& aOther) const
    {
      return std::tie(at, number) > std::tie(aOther.at, aOther.number);
    }
  };
  struct Origin
  {
    size_t node = 0;
    uint64_t run = 0;
    RequestId id;
  };
  struct Attempt
  {
    size_t node = 0;
    uint64_t run = 0;
    AttemptId id;
    RequestHead head;
    BackendId server;
    TimePoint started;
    bool ended = false;   ///< The VM was told the end.
    bool running = false; ///< Takes a slot of the server.
  };

  void At(Duration aDelay, std::function<void()> aAction);
  /// Runs an action on a VM's engine, unless the run is over; waits while the VM is frozen.
  void Deliver(size_t aNode, uint64_t aRun, std::function<void(Engine&)> aAction);
  void Tick(size_t aNode, uint64_t aRun);
  void Start(size_t aNode);
  EngineHooks MakeHooks(size_t aNode);
  void SendStream(size_t aFrom, const Vm& aTo, const StreamMessage& aMessage);
  void SendDatagram(size_t aFrom, const Endpoint& aTo, const DatagramMessage& aMessage);
  void Forward(size_t aFrom, RequestId aId, const RequestHead& aHead, const Vm& aTo);
  void CancelForward(size_t aFrom, RequestId aId, const Vm& aTo);
  void OnReply(size_t aNode, RequestId aId, const Reply& aReply);
  void StartAttempt(size_t aNode,
                    AttemptId aId,
                    RequestId aRequest,
                    const BackendServer& aServer,
                    TimePoint aDeadline);
  void ArriveAtServer(const std::shared_ptr<Attempt>& aAttempt);
  void EndAttempt(const std::shared_ptr<Attempt>& aAttempt, AttemptEnd aEnd);
  void FreeSlot(const std::shared_ptr<Attempt>& aAttempt);
  void CallStore(size_t aNode, const StoreCall& aCall);
  StoreResult Execute(const StoreCall& aCall);
  void FireWatches();
  bool Cut(const RegionId& aLeft, const RegionId& aRight) const;
  Duration Latency(const Vm& aFrom, const RegionId& aRegion, const FailureDomainId& aDomain);
  void CountLink(const RegionId& aFrom, const RegionId& aTo, uint64_t aBytes);
  std::optional<size_t> NodeOf(const Endpoint& aPeers) const;
  std::string ListText(ListName aList) const;

  Options options_;
  Random random_;
  TimePoint time_;
  uint64_t eventNumber_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Node> nodes_;
  FakeStore store_;
  std::map<BackendId, FakeServer> servers_;
  std::vector<Sent> sent_;
  std::vector<ServerRun> runs_;
  std::set<uint64_t> poison_;
  std::set<std::pair<RegionId, RegionId>> cuts_;
  /// Requests by VM and number: those of callers, and those that a VM passed on.
  std::map<std::pair<size_t, RequestId>, size_t> callerRequests_;
  std::map<std::pair<size_t, RequestId>, Origin> forwarded_;
  std::map<std::pair<size_t, RequestId>, RequestHead> heads_;
  std::map<std::pair<size_t, RequestId>, uint64_t> answers_; ///< Fingerprint of kept answers.
  std::map<std::pair<size_t, AttemptId>, std::shared_ptr<Attempt>> attempts_;
  std::map<std::pair<size_t, size_t>, TimePoint> streamOrder_; ///< Last arrival on each stream.
  struct Watch
  {
    size_t node = 0;
    uint64_t run = 0;
    StoreCall call;
  };
  std::vector<Watch> watches_;
  std::map<std::pair<RegionId, RegionId>, std::deque<std::pair<TimePoint, uint64_t>>> linkUse_;
  std::map<std::pair<RegionId, RegionId>, uint64_t> linkWindow_;
  uint64_t peakLinkBytes_ = 0;
  std::map<std::pair<std::string, Reason>, uint64_t> counters_;
  uint64_t nextRequest_ = 0;
  unsigned duplicateReplies_ = 0;
};

} // namespace dfm::test

#endif
