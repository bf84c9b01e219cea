#ifndef DRAGONFLYMOOR_STEERING_DISPATCHER_H
#define DRAGONFLYMOOR_STEERING_DISPATCHER_H

#include "dragonflymoor/Recovery/CrashRegistry.h"
#include "dragonflymoor/Recovery/RetryBudget.h"
#include "dragonflymoor/Steering/FairShares.h"
#include "dragonflymoor/Steering/FleetView.h"
#include "dragonflymoor/Steering/InstanceStatement.h"
#include "dragonflymoor/Steering/InstanceTracker.h"
#include "dragonflymoor/Steering/LeavingRuns.h"
#include "dragonflymoor/Steering/ObjectCounter.h"
#include "dragonflymoor/Steering/PeerLoads.h"
#include "dragonflymoor/Steering/QuotaShares.h"
#include "dragonflymoor/Steering/RecentFingerprints.h"
#include "dragonflymoor/Steering/ReturnSchedule.h"
#include "dragonflymoor/Steering/ShiftLimit.h"
#include "dragonflymoor/Steering/SpillControl.h"
#include "dragonflymoor/Steering/SplitChooser.h"
#include "dragonflymoor/Support/Random.h"
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dfm {

/// Identifies a caller's request within one run of this VM.
using Ticket = uint64_t;

/// Properties of a request on which the dispatcher bases its decisions.
struct RequestSpec
{
  std::shared_ptr<const RouteIndex> routes; ///< Keeps the route alive.
  const Route* route = nullptr;
  const Workspace* workspace = nullptr; ///< The caller's, if it has one; lives as long as routes.
  std::optional<uint64_t> affinity;     ///< Hash of the object's key; empty without one.
  TimePoint arrived;
  TimePoint deadline;       ///< The caller's or the route's, whichever comes first.
  uint64_t fingerprint = 0; ///< The same for each copy of a request.
};

/// One attempt to serve a request at an instance, with the load on which the choice was based.
struct InstanceAttempt
{
  Ticket ticket = 0;
  BackendId instance;
  uint64_t startTimeMs = 0; ///< Of the instance's run.
  ServiceId service;
  Endpoint endpoint;
  TimePoint deadline;
  bool idempotent = false;
  unsigned number = 1; ///< 1 for the first instance.
  // For the log: what the decision rested on.
  unsigned ownInFlight = 0;
  unsigned knownInFlight = 0; ///< Known requests of all VMs at the instance.
  unsigned slots = 0;
  unsigned limit = 0;   ///< Requests that the instance handles well at present.
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
    Abandoned,   ///< This VM gave up the attempt because the instance stopped answering.
  };
  Kind kind = Kind::Broken;
  unsigned status = 0;        ///< Of the answer, when there is one.
  bool wrongInstance = false; ///< Another instance has the address now.
  bool reset = false; ///< The instance ended the connection before the first byte of an answer.
  Duration latency{};
};

std::string_view
ToString(AttemptEndReport::Kind aKind);

/// Why this VM answers a request itself instead of an instance.
enum class RefusalReason
{
  Overload,   ///< No slot became free in time.
  NoInstance, ///< No usable instance is known.
  Quarantine, ///< The request crashed several instances.
  TimedOut,   ///< The deadline came while the request waited.
  Stopping,   ///< This VM stops before the request could be answered.
  Quota,      ///< The workspace has used up its quota.
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
  unsigned instances = 0;             ///< Usable instances of the service.
  unsigned slots = 0;                 ///< Of the usable instances.
  unsigned knownInFlight = 0;         ///< Known requests of all VMs at the usable instances.
  size_t waiting = 0;                 ///< Requests for the service that wait at this VM.
  std::optional<QuotaDecision> quota; ///< Set when the reason is Quota.
};

/// What follows an attempt.
enum class Verdict
{
  Deliver, ///< The caller gets the instance's answer.
  Retry,   ///< The request is started again or queued; startAttempt or refuseRequest follows.
  Refuse,  ///< The request did not run: the caller may retry it.
  Fail,    ///< The request may have run: the caller is told only that it failed.
};

struct DispatcherOptions
{
  VmId self;
  RegionId region;
  FailureDomainId failureDomain;
  uint64_t randomSeed = 0;
  /// Retries that all VMs together may add: retryRatio for each request of a service, and
  /// retrySlack more in each window.
  double retryRatio = 0.2;
  double retrySlack = 0;
  /// Part of a region's requests that may change the region in which they run from one window to
  /// the next.
  double maxShift = 0.15;
  /// Requests by which a workspace may exceed its quota in a window.
  double quotaSlack = 0;
  SpillOptions spill;
  /// Whether fewer requests than an instance has slots are sent to it while it is slow.
  bool adaptiveLimits = false;
};

/// How much the limits of slow instances take away.
struct LimitFigures
{
  unsigned instances = 0; ///< With a limit below their slots.
  unsigned slots = 0;     ///< That the limits leave empty.

  auto operator<=>(const LimitFigures&) const = default;
};

/// The planned stop of this VM, whose process ends at `end` whatever is still in flight.
struct StopSchedule
{
  TimePoint lastStart; ///< No attempt starts from then on.
  TimePoint end;       ///< An attempt that is not expected to be answered by then does not start.

  auto operator<=>(const StopSchedule&) const = default;
};

/// Callbacks of the dispatcher. None may call the dispatcher again before it returns.
struct DispatcherHooks
{
  std::function<void(const InstanceAttempt&)> startAttempt;
  std::function<void(Ticket, const RequestRefusal&)> refuseRequest;
  /// Closes the attempt's connection, because the instance stopped answering; OnAttemptEnd follows.
  std::function<void(Ticket)> abandonAttempt;
  /// Sends a health check to an instance; OnProbe follows.
  std::function<void(const Instance&, const ServiceSpec&)> sendProbe;
  /// Tells all VMs that a request crashed an instance.
  std::function<void(const CrashReport&)> publishCrash;
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

  /// Accepts a request; startAttempt or refuseRequest follows, possibly before this returns.
  void Submit(TimePoint aNow, Ticket aTicket, RequestSpec aSpec);
  /// From now on, requests that this VM cannot answer before it stops are refused at once, those
  /// that wait included: nobody would answer a request that it passed on.
  void BeginStop(const StopSchedule& aSchedule) { stop_ = aSchedule; }
  /// The caller left. No hook is called for the request any more. The code that owns the dispatcher
  /// ends an attempt in flight without calling OnAttemptEnd.
  void Cancel(TimePoint aNow, Ticket aTicket);
  /// An attempt ended. Except for Retry the request is finished.
  Verdict OnAttemptEnd(TimePoint aNow, Ticket aTicket, const AttemptEndReport& aReport);

  void OnProbe(TimePoint aNow, const BackendId& aInstance, ProbeResult aResult, Duration aColdLeft);
  /// An answer of aRun to this VM had aStatement. To be called before OnAttemptEnd or OnProbe, so
  /// that requests which start then take it into account. True when it says something new.
  bool OnInstanceStatement(TimePoint aNow,
                           const InstanceRun& aRun,
                           const InstanceStatement& aStatement);
  void OnPeerLoad(TimePoint aNow, const VmId& aVm, const PeerLoad& aLoad);
  void OnCrashReport(TimePoint aNow, const CrashReport& aReport);
  /// To be called every 10 ms while a request waits, otherwise every 50 ms.
  void OnTick(TimePoint aNow);

  /// Requests and claims of this VM at each instance; instances without any are left out.
  std::vector<InstanceLoad> OwnLoad(TimePoint aNow) const;
  /// Requests of all VMs of the own failure domain at each instance, by their latest reports.
  std::vector<InstanceLoad> DomainLoad(TimePoint aNow) const;
  /// Demand for quotas of this VM, or of its failure domain; empty while no workspace has a quota.
  std::optional<QuotaReport> ReportQuotas(TimePoint aNow, bool aOfDomain) const;
  /// Effect of the limits at aNow; all zero without adaptive limits. Takes time for each instance.
  LimitFigures ReadLimits(TimePoint aNow) const;
  size_t WaitingCount() const;
  size_t InFlightCount() const;
  /// Delay after which a caller may come back that was refused although no service is overloaded.
  Duration RetryAfter();
  /// A caller's request of rank aPriority for aService is refused. Returns the delay after which it
  /// may come back.
  Duration OnRefusedCaller(TimePoint aNow,
                           const ServiceId& aService,
                           unsigned aPriority,
                           TimePoint aDeadline);

private:
  /// One instance of a service.
  struct Candidate
  {
    InstanceTracker* tracker = nullptr;
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
    uint64_t weight = 0; ///< Rendezvous weight of the instance for the request's key.
    unsigned domain = 0; ///< Index of its failure domain in the region.
    bool degraded = false;
    bool home = false;          ///< One of the instances that keep the object warm.
    bool inOtherDomain = false; ///< In another failure domain, to which bytes are priced.
  };
  /// The instances of one region in the order in which a request prefers them.
  struct Ranking
  {
    TimePoint rankedAt;
    std::vector<Ranked> order;
  };
  struct Request
  {
    unsigned Priority() const { return PriorityOf(*spec.route, spec.workspace); }
    bool MayRunIn(const RegionId& aRegion) const
    {
      return MayServeIn(*spec.route, spec.workspace, aRegion);
    }

    RequestSpec spec;
    ServiceId service;
    uint64_t key = 0;    ///< Of the object, or random.
    bool sticky = false; ///< Some instances serve its object faster.
    unsigned attempts = 0;
    std::vector<BackendId> tried;
    std::optional<BackendId> currentInstance; ///< The instance of the attempt in flight.
    /// An earlier attempt may have run the request.
    bool mayHaveRun = false;
    std::optional<uint32_t> quota; ///< The workspace whose quota it took a request of.
    // Of the latest attempt.
    bool sentWarm = false;     ///< This VM sent the object there a moment before.
    unsigned sentInFlight = 0; ///< Known requests at the instance, this one included.
    /// Cached while the request waits; cleared when the fleet or the tried instances change.
    std::map<RegionId, Ranking> rankings;
  };
  /// How one service's objects are distributed over the instances of a region.
  struct RegionSpread
  {
    /// Part of the slots in use above which a region is short of slots.
    static constexpr double kShortOfSlots = 0.85;

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
    /// Moving mean over answers of all instances.
    double typicalFailureShare = 0;
    /// Moving mean over answers of how many times longer they took than usual at their instance.
    double typicalSlowness = 1;
    ObjectCounter objects;
    SpillControl spill;
    ReturnSchedule returns;
    bool hadRequests = false; ///< The service has had at least one request.

    /// Adds the end of an attempt to typicalFailureShare when it says something about the service.
    void CountFailure(const AttemptEndReport& aReport);
    /// Compares the latency of an answer with the usual one of aInstance for such requests.
    /// Failures count for nothing: they are often far shorter.
    void LearnSlowness(TimePoint aNow,
                       const Request& aRequest,
                       InstanceTracker& aInstance,
                       const AttemptEndReport& aReport);
  };
  /// Counts the request towards the quota of its workspace. Returns false after refusing it, when
  /// the quota is used up; aRequest is gone then.
  bool TakeQuota(TimePoint aNow, Ticket aTicket, Request& aRequest);
  /// Brings the quotas in line with the manifest and the known VMs of view_.
  void UpdateQuotas(TimePoint aNow);
  ServiceState& ServiceStateFor(const ServiceId& aService);
  /// Brings the trackers and candidates in line with the instances of view_. Takes time for the
  /// changes only: with hundreds of VMs, any instance of the fleet changes several times a second.
  void ApplyInstanceChanges(TimePoint aNow, const InstanceChanges& aChanges);
  void ReplaceInstance(TimePoint aNow, const Instance& aInstance);
  /// Precondition: the instance is known, and no ranking refers to it.
  void RemoveInstance(const BackendId& aInstance);
  /// Brings the trackers in line with the evacuations of view_.
  void UpdateEvacuated();
  /// Clears the cached rankings of the waiting requests.
  void ForgetRankings();
  /// Sets the rates of cold instances, which depend on the known VMs and on the manifest.
  void UpdateColdRates(TimePoint aNow);
  void Enqueue(ServiceState& aState, Ticket aTicket, const Request& aRequest);

  /// Marks the instances that keep an object warm, out of all usable ones of a region in order of
  /// weight.
  static void MarkHomes(std::vector<Ranked>& aRanked, size_t aDomains, bool aOnePerRegion);
  std::vector<Ranked> RankInstances(TimePoint aNow,
                                    const Request& aRequest,
                                    const ServiceState& aState,
                                    const RegionId& aRegion) const;
  InstanceTracker* ChooseInstance(TimePoint aNow,
                                  Request& aRequest,
                                  const ServiceState& aState) const;
  InstanceTracker* ChooseInstanceInRegion(TimePoint aNow,
                                          Request& aRequest,
                                          const ServiceState& aState,
                                          const RegionId& aRegion) const;
  static bool HasUsableInstance(TimePoint aNow, const RegionCandidates& aCandidates);
  bool TryStart(TimePoint aNow, Ticket aTicket, Request& aRequest);
  std::vector<Ticket> OrderWaitingRequests(TimePoint aNow, const ServiceState& aState) const;
  void StartWaitingRequests(TimePoint aNow, const ServiceId& aService);
  void Refuse(TimePoint aNow, Ticket aTicket, RefusalReason aReason);
  void RefuseExpiredRequests(TimePoint aNow);
  void CheckSilentInstances(TimePoint aNow);
  void SendDueProbes(TimePoint aNow);
  /// Adapts the shares of other regions and the homes of the objects to the use of the regions.
  void BalanceRegions(TimePoint aNow);
  static void UpdateSpreads(ServiceState& aState, const std::vector<RegionUse>& aUses);
  void AddCandidate(InstanceTracker& aInstance);
  void RemoveCandidate(const InstanceTracker& aInstance);
  static bool HasFreeSlot(TimePoint aNow, const ServiceState& aState);
  /// Passes the sums of the other VMs' requests at aInstances to their trackers.
  void ApplyPeerLoads(const std::vector<uint32_t>& aInstances);
  /// Counts a crash for the requests that aInstance, which is gone, broke off, except for those
  /// that ran to their end a moment ago: the instance crashed on another one.
  void ReportCrashes(TimePoint aNow, InstanceTracker& aInstance);
  void AbandonAttempts(const BackendId& aInstance);
  /// Whether an attempt that starts now can be answered before this VM stops.
  bool EndsBeforeStop(TimePoint aNow, const Route& aRoute, const ServiceState& aService) const;
  bool MayRetry(TimePoint aNow, const Request& aRequest, const AttemptEndReport& aReport);
  /// Updates the health, load and latency of aInstance from the end of an attempt there.
  void RecordAttemptEnd(TimePoint aNow,
                        const Request& aRequest,
                        InstanceTracker& aInstance,
                        const AttemptEndReport& aReport);
  /// Whether requests wait for so long that the newest ones start first. Precondition: one waits.
  bool ServesNewestFirst(TimePoint aNow, const ServiceState& aState) const;
  /// Waiting requests that will not start within their waiting time, by the rate at which requests
  /// start and by those that start before them. None while a slot is free.
  std::set<Ticket> FindHopelessRequests(TimePoint aNow, const ServiceState& aState) const;
  Duration MaxWaitTime(const Request& aRequest, const ServiceState& aState) const;
  InstanceTracker* FindInstance(const BackendId& aInstance);
  /// Updates the indexes after the registration, the requests in flight or the health of aInstance
  /// changed.
  void UpdateIndexes(TimePoint aNow, InstanceTracker& aInstance);
  double ColdRateFor(const Instance& aInstance) const;
  /// Where this VM stands among the VMs of the instance's region, or among all VMs when it is in
  /// another region.
  VmRank RankFor(const Instance& aInstance) const;
  /// Adapts the claims of the rates that instances take.
  void UpdateClaims(TimePoint aNow);

  DispatcherOptions options_;
  DispatcherHooks hooks_;
  Random random_;
  std::shared_ptr<const FleetView> view_;
  std::map<BackendId, std::unique_ptr<InstanceTracker>> trackers_;
  std::unordered_map<uint32_t, InstanceTracker*> trackersByLoadKey_;
  // Most instances have no request of this VM, are healthy and warm, so the periodic checks pass
  // over the others only. The indexes are by the hash of the id.
  std::map<uint64_t, InstanceTracker*> instancesInUse_;   ///< Have requests of this VM in flight.
  std::map<uint64_t, InstanceTracker*> instancesChecked_; ///< Get health checks.
  std::map<uint64_t, InstanceTracker*> instancesCold_;    ///< Were cold at their last change.
  std::map<uint64_t, InstanceTracker*> instancesLimited_; ///< Stated a rate that they take.
  LeavingRuns leavingRuns_;
  PeerLoads peerLoads_;
  std::set<VmId> otherVmsInDomain_;
  std::map<ServiceId, ServiceState> services_;
  std::unordered_map<Ticket, Request> requests_;
  SplitChooser splits_;
  QuotaShares quotas_;
  FairShares fairShares_;
  ShiftLimit shifts_;
  RetryBudget retries_;
  CrashRegistry crashes_;
  RecentFingerprints survived_; ///< Of requests that did not crash the instance that ran them.
  std::optional<StopSchedule> stop_;
  TimePoint nextBalance_;
  TimePoint nextSilenceCheck_;
  TimePoint nextClaimUpdate_;
};

} // namespace dfm

#endif
