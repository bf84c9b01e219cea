#ifndef DRAGONFLYMOOR_STEERING_DISPATCHER_H
#define DRAGONFLYMOOR_STEERING_DISPATCHER_H

#include "dragonflymoor/Recovery/CrashRegistry.h"
#include "dragonflymoor/Recovery/RetryBudget.h"
#include "dragonflymoor/Steering/FleetView.h"
#include "dragonflymoor/Steering/InstanceTracker.h"
#include "dragonflymoor/Steering/ObjectCounter.h"
#include "dragonflymoor/Steering/PeerLoads.h"
#include "dragonflymoor/Steering/ShiftLimit.h"
#include "dragonflymoor/Steering/SpillControl.h"
#include "dragonflymoor/Steering/SplitChooser.h"
#include "dragonflymoor/Support/Random.h"
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace dfm {

/// Number of a request of a caller, unique in one run of this VM.
using Ticket = uint64_t;

/// What the decisions need to know of a request.
struct RequestSpec
{
  std::shared_ptr<const RouteIndex> routes; ///< Keeps the route alive.
  const Route* route = nullptr;
  std::optional<uint64_t> affinity; ///< Hash of the object's key; empty without one.
  TimePoint arrived;
  TimePoint deadline;       ///< The caller's or the route's, whichever comes first.
  uint64_t fingerprint = 0; ///< The same for each copy of a request.
};

/// One hand-over of a request to an instance, with what decided it.
struct InstanceAttempt
{
  Ticket ticket = 0;
  BackendId instance;
  ServiceId service;
  Endpoint endpoint;
  TimePoint deadline;
  bool idempotent = false;
  unsigned number = 1; ///< 1 for the first instance.
  // For the log: what the decision rested on.
  unsigned ownInFlight = 0;
  unsigned busy = 0; ///< Known requests of all VMs at the instance.
  unsigned slots = 0;
  bool spilled = false; ///< In another region than this VM's.
  Duration waited{};
};

/// How an attempt ended.
struct AttemptEndReport
{
  enum class Kind
  {
    Answered,    ///< A whole answer arrived.
    NotExecuted, ///< The instance said that it did not run the request.
    NotSent,     ///< No byte of the request left this VM.
    Broken,      ///< The connection ended after the request was sent, or the answer was unusable.
    TimedOut,    ///< The deadline came first.
    Abandoned,   ///< This VM gave the attempt up because the instance fell silent.
  };
  Kind kind = Kind::Broken;
  unsigned status = 0;        ///< Of the answer, when there is one.
  bool wrongInstance = false; ///< Another instance has the address now.
  bool reset = false;         ///< The connection ended before the first byte of an answer.
  Duration latency{};
};

std::string_view
ToString(AttemptEndReport::Kind aKind);

/// Why a request gets an answer of this VM's own.
enum class RefusalReason
{
  Overload,   ///< No slot became free in time.
  NoInstance, ///< No usable instance is known.
  Quarantine, ///< The request crashed several instances.
  TimedOut,   ///< The deadline came while the request waited.
};

std::string_view
ToString(RefusalReason aReason);

/// The request has not run and will not.
struct RequestRefusal
{
  RefusalReason reason = RefusalReason::Overload;
  Duration retryAfter{};
  // For the log: what the decision rested on.
  Duration waited{};
  ServiceId service;
  unsigned instances = 0; ///< Usable ones of the service.
  unsigned slots = 0;     ///< Of the usable instances.
  unsigned busy = 0;      ///< Known requests of all VMs at them.
  size_t waiting = 0;     ///< Requests for the service that wait here.
};

/// What follows an attempt.
enum class Verdict
{
  Deliver, ///< The caller gets the instance's answer.
  Retry,   ///< The request is queued again; a hook tells how it goes on.
  Refuse,  ///< Nothing ran: the caller may come back.
  Fail,    ///< It may have run: the caller learns only that it failed.
};

struct DispatcherOptions
{
  VmId self;
  RegionId region;
  FailureDomainId failureDomain;
  uint64_t randomSeed = 0;
  /// Repeats that all VMs together may add for each request of a service, and in each window
  /// besides.
  double retryRatio = 0.2;
  double retrySlack = 0;
  /// Part of a region's requests that may change the region in which they run from one window to
  /// the next.
  double maxShift = 0.15;
  SpillOptions spill;
};

/// Actions of the dispatcher. None may call it again before it returns.
struct DispatcherHooks
{
  std::function<void(const InstanceAttempt&)> start;
  std::function<void(Ticket, const RequestRefusal&)> refuse;
  /// The attempt's instance fell silent: its connection is to be closed; OnAttemptEnd follows.
  std::function<void(Ticket)> abandon;
  /// An instance is to be asked for its health; OnProbe follows.
  std::function<void(const Instance&, const ServiceSpec&)> probe;
  /// A request crashed an instance; all VMs are to know.
  std::function<void(const CrashReport&)> crashed;
};

/// Chooses an instance for each request of this VM, lets requests wait for a slot, refuses those
/// that can no longer be served in time, and decides what follows each attempt. Requests of all VMs
/// share the instances: each VM tells the others several times a second what it has in flight. No
/// I/O, no clock. Not thread-safe.
class Dispatcher
{
public:
  /// Precondition: every hook is set.
  Dispatcher(DispatcherOptions aOptions, DispatcherHooks aHooks);

  void OnFleet(TimePoint aNow, std::shared_ptr<const FleetView> aView);

  /// Takes a request; start or refuse follows, perhaps before this returns.
  void Submit(TimePoint aNow, Ticket aTicket, RequestSpec aSpec);
  /// The caller left. No hook is called for the request any more. An attempt in flight is ended by
  /// the shell without OnAttemptEnd.
  void Cancel(TimePoint aNow, Ticket aTicket);
  /// An attempt ended. Except for Retry the request is finished.
  Verdict OnAttemptEnd(TimePoint aNow, Ticket aTicket, const AttemptEndReport& aReport);

  void OnProbe(TimePoint aNow, const BackendId& aInstance, ProbeResult aResult, Duration aColdLeft);
  void OnPeerLoad(TimePoint aNow, const VmId& aVm, const PeerLoad& aLoad);
  void OnCrashReport(TimePoint aNow, const CrashReport& aReport);
  /// Every 10 ms.
  void OnTick(TimePoint aNow);

  /// Requests of this VM at each instance; instances without any are left out.
  std::vector<InstanceLoad> OwnLoad() const;
  size_t Waiting() const;
  size_t InFlight() const;
  /// When a refused request may come back.
  Duration RetryAfter();

private:
  /// One instance of a service.
  struct Candidate
  {
    InstanceTracker* state = nullptr;
    uint64_t hash = 0;   ///< Of the instance's id, for rendezvous hashing.
    unsigned domain = 0; ///< Index of its failure domain in the region.
  };
  /// Instances of one service in one region.
  struct RegionCandidates
  {
    std::vector<Candidate> list;
    std::vector<FailureDomainId> domains; ///< By index.
  };
  struct Ranked
  {
    InstanceTracker* instance = nullptr;
    uint64_t weight = 0; ///< Of the instance for the request's key.
    unsigned domain = 0; ///< Index of its failure domain in the region.
    bool degraded = false;
    bool home = false; ///< One of the instances that keep the object warm.
    bool far = false;  ///< In another failure domain, to which bytes are priced.
  };
  /// The instances of one region in the order in which a request prefers them.
  struct Ranking
  {
    TimePoint at;
    std::vector<Ranked> order;
  };
  struct Request
  {
    RequestSpec spec;
    ServiceId service;
    uint64_t key = 0;    ///< Of the object, or random.
    bool sticky = false; ///< Some instances serve its object faster.
    unsigned attempts = 0;
    std::vector<BackendId> tried;
    std::optional<BackendId> at; ///< The instance of the attempt in flight.
    /// An earlier attempt may have run the request.
    bool mayHaveRun = false;
    /// Kept while the request waits; cleared when the fleet or what it tried changes.
    std::map<RegionId, Ranking> rankings;
  };
  /// How one service's objects are spread over the instances of a region.
  struct RegionSpread
  {
    /// Use from which on a region is short of slots.
    static constexpr double kCrowded = 0.85;

    double use = 0; ///< Moving mean of the part of the slots in use.
    /// Part of the objects that have a home in each failure domain; the others have one in the
    /// region.
    double share = 0;
  };
  struct ServiceState
  {
    std::map<RegionId, RegionCandidates> regions;
    std::map<RegionId, RegionSpread> spreads;
    std::list<Ticket> queue;   ///< In order of arrival.
    Duration typicalLatency{}; ///< Moving mean of answers of all instances.
    Duration longestGoal{};    ///< Of its routes that had requests.
    ObjectCounter objects;
    SpillControl spill;
    bool begun = false; ///< There was a request.
  };
  ServiceState& StateOf(const ServiceId& aService);
  void Enqueue(ServiceState& aState, Ticket aTicket, const Request& aRequest);

  /// Marks the instances that keep an object warm, out of all usable ones of a region in order of
  /// weight.
  static void MarkHomes(std::vector<Ranked>& aRanked, size_t aDomains, bool aOnePerRegion);
  std::vector<Ranked> Rank(TimePoint aNow,
                           const Request& aRequest,
                           const ServiceState& aState,
                           const RegionId& aRegion) const;
  InstanceTracker* Choose(TimePoint aNow, Request& aRequest, const ServiceState& aState) const;
  InstanceTracker* ChooseIn(TimePoint aNow,
                            Request& aRequest,
                            const ServiceState& aState,
                            const RegionId& aRegion) const;
  static bool HasUsable(TimePoint aNow, const RegionCandidates& aCandidates);
  bool TryStart(TimePoint aNow, Ticket aTicket, Request& aRequest);
  std::vector<Ticket> WaitingOrder(TimePoint aNow, const ServiceState& aState) const;
  void Pump(TimePoint aNow, const ServiceId& aService);
  void Refuse(TimePoint aNow, Ticket aTicket, RefusalReason aReason);
  void CheckWaiting(TimePoint aNow);
  void CheckSilence(TimePoint aNow);
  void CheckProbes(TimePoint aNow);
  /// Adapts the shares of other regions and the homes of the objects to the use of the regions.
  void BalanceRegions(TimePoint aNow);
  static void UpdateSpreads(ServiceState& aState, const std::vector<RegionUse>& aUses);
  static void AddCandidate(RegionCandidates& aCandidates, InstanceTracker& aInstance);
  static bool HasFreeSlot(TimePoint aNow, const ServiceState& aState);
  /// Hands the sums of the other VMs' requests to the trackers.
  void ApplyPeerLoads(const std::vector<uint32_t>& aInstances);
  void CountCrashes(TimePoint aNow, InstanceTracker& aInstance);
  void Abandon(const BackendId& aInstance);
  bool MayRetry(TimePoint aNow, const Request& aRequest, const AttemptEndReport& aReport);
  /// Records what the end of an attempt says of its instance.
  void Learn(TimePoint aNow, Request& aRequest, const AttemptEndReport& aReport);
  Duration HoldTime(const Request& aRequest, const ServiceState& aState) const;
  InstanceTracker* Find(const BackendId& aInstance);
  double ColdRateFor(const Instance& aInstance) const;

  DispatcherOptions options_;
  DispatcherHooks hooks_;
  Random random_;
  std::shared_ptr<const FleetView> view_;
  std::map<BackendId, std::unique_ptr<InstanceTracker>> instances_;
  std::unordered_map<uint32_t, InstanceTracker*> byHash_;
  PeerLoads peerLoads_;
  std::map<ServiceId, ServiceState> services_;
  std::unordered_map<Ticket, Request> requests_;
  SplitChooser splits_;
  ShiftLimit shifts_;
  RetryBudget retries_;
  CrashRegistry crashes_;
  TimePoint nextBalance_;
  TimePoint nextSilenceCheck_;
};

} // namespace dfm

#endif
