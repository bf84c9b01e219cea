#ifndef DRAGONFLYMOOR_ENGINE_ENGINE_H
#define DRAGONFLYMOOR_ENGINE_ENGINE_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Model/Request.h"
#include "dragonflymoor/Support/Time.h"
#include "dragonflymoor/Wire/Messages.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dfm {

/// What a VM knows from its settings.
struct EngineOptions
{
  Vm self;
  Incarnation incarnation;
  uint64_t startedAtMs = 0;
  std::vector<Endpoint> seeds; ///< Peer endpoints that are asked for members at the start.
  RegionId storeRegion;
  uint64_t randomSeed = 0;
  Duration probePeriod = 200ms;
  Duration routeTtl = 2s; ///< How long callers may cache a route answer.
};

/// How the store ended a call.
enum class StoreStatus
{
  Ok,
  Conflict, ///< The expected version is not the current one.
  NotFound,
  NoAnswer, ///< Timeout, refused connection or server error: a write may have taken effect.
};

struct StoreResult
{
  StoreStatus status = StoreStatus::NoAnswer;
  uint64_t version = 0;
  std::string content;
};

/// One call to the store. A put with expectedVersion 0 creates the object.
struct StoreCall
{
  enum class Kind
  {
    Get,
    Put,
    Delete,
    Watch, ///< Answered when the version is above expectedVersion, or with NotFound after a while.
  };
  StoreCallId id;
  Kind kind = Kind::Get;
  std::string object;
  uint64_t expectedVersion = 0;
  std::string content;
};

/// A VM in the platform's list.
struct PlatformVm
{
  Vm vm;
  bool leaving = false;
};

/// One place to send requests of a service to, best first.
struct RouteEntry
{
  VmId vm;
  Endpoint endpoint;

  auto operator<=>(const RouteEntry&) const = default;
};

/// Immutable table from which traffic threads answer "which VM do I use".
struct RouteTable
{
  struct Row
  {
    ServiceId service;
    std::vector<RouteEntry> entries;
  };
  std::vector<Row> rows;
  Duration ttl = 2s;
  std::string keyPrefix;
  bool ready = false;
};

/// State shown to operators.
struct EngineStatus
{
  struct Pool
  {
    PoolId pool;
    VmId owner;
    bool mine = false;
    uint32_t slots = 0;
    uint32_t inFlight = 0;
    std::array<uint32_t, kRankCount> queued{};
  };
  struct Server
  {
    BackendId id;
    std::string state;
    uint32_t slots = 0;
    uint32_t window = 0;
    uint32_t inFlight = 0;
    std::string waitingFor; ///< For a draining server: what it waits for; else empty.
  };
  struct LinkUse
  {
    RegionId from;
    RegionId to;
    double capBytesPerSecond = 0;
    double shareBytesPerSecond = 0;
    double usedBytesLastSecond = 0;
  };
  bool ready = false;
  bool stopping = false;
  std::vector<MemberUpdate> members;
  std::vector<Pool> pools;
  std::vector<Server> servers;
  std::vector<LinkUse> links;
  std::array<ListVersion, kListCount> listVersions{};
  uint32_t requestsInFlight = 0;
};

/// Actions of the engine; the shell carries them out. All are called on the thread that called the
/// engine and must not call the engine again before they return.
struct EngineHooks
{
  std::function<void(AttemptId, RequestId, const BackendServer&, TimePoint aDeadline)> startAttempt;
  /// Closes the attempt's connection; its end is reported as Cancelled or as what came first.
  std::function<void(AttemptId)> cancelAttempt;
  /// Passes a request on with its content; the peer's ForwardReply or OnForwardFailed follows.
  std::function<void(RequestId, const RequestHead&, const Vm&)> forward;
  std::function<void(RequestId, const Vm&)> cancelForward;
  /// Ends a request. For a request with forwardedBy the shell sends a ForwardReply.
  std::function<void(RequestId, const Reply&)> reply;
  /// The answer of this request need not be kept for repeats any more.
  std::function<void(RequestId)> forgetAnswer;
  std::function<void(const Vm&, const StreamMessage&)> sendStream;
  std::function<void(const Endpoint&, const DatagramMessage&)> sendDatagram;
  std::function<void(const StoreCall&)> callStore;
  std::function<void()> listVms;
  std::function<void(const BackendServer&)> pollLoad;
  std::function<void(std::shared_ptr<const RouteTable>)> publishRoutes;
  /// A graceful stop has ended: the process may exit.
  std::function<void()> stopped;
  /// Counts an event; the first argument is the counter's name without prefix.
  std::function<void(std::string_view, Reason)> count;
};

/// All decisions of one VM, without I/O, threads or a clock. Not thread-safe: one control thread
/// calls it. Times must never decrease from one call to the next.
class Engine
{
public:
  /// Precondition: every hook is set.
  Engine(EngineOptions aOptions, EngineHooks aHooks);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  /// Starts membership and the first reads of the lists.
  void Start(Now aNow);
  /// Must be called every 20 ms; a longer step is taken as a pause of the process.
  void OnTick(Now aNow);

  /// A request arrived, from a caller or in a ForwardRequest. Exactly one reply follows.
  void OnRequest(Now aNow, const RequestHead& aHead);
  /// The caller (or the VM that passed the request on) is gone or cancelled. No reply follows.
  void OnRequestCancelled(Now aNow, RequestId aId);
  void OnAttemptEnded(Now aNow, AttemptId aAttempt, const AttemptResult& aResult);
  /// A ForwardReply arrived for a request of this VM; aAnswerBytes is the size of its content.
  void OnForwardReply(Now aNow, RequestId aId, const ForwardReply& aReply);
  /// The connection to the peer failed. aSent tells whether any byte of the request may have left.
  void OnForwardFailed(Now aNow, RequestId aId, bool aSent);

  /// Any stream message but ForwardRequest, ForwardReply and ForwardCancel.
  void OnStream(Now aNow, const VmId& aFrom, const StreamMessage& aMessage);
  void OnDatagram(Now aNow, const Endpoint& aFrom, const DatagramMessage& aMessage);
  void OnStoreResult(Now aNow, StoreCallId aCall, const StoreResult& aResult);
  /// Empty when the platform gave no answer.
  void OnVmList(Now aNow, const std::optional<std::vector<PlatformVm>>& aVms);
  /// Empty when the server gave no answer.
  void OnLoadReport(Now aNow, const BackendId& aBackend, const std::optional<LoadReport>& aReport);

  /// Starts a graceful stop; the hook stopped follows when nothing is left in flight.
  void BeginStop(Now aNow);

  EngineStatus Status() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace dfm

#endif
