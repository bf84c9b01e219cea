#ifndef DRAGONFLYMOOR_LIB_ENGINE_REQUESTFLOW_H
#define DRAGONFLYMOOR_LIB_ENGINE_REQUESTFLOW_H

#include "ClaimPath.h"
#include "EngineContext.h"
#include "FleetControl.h"
#include "PacedReplies.h"
#include "PoolHost.h"
#include "TargetChooser.h"
#include "dragonflymoor/Admission/PlanLimiter.h"
#include "dragonflymoor/Links/LinkBudget.h"
#include "dragonflymoor/Orders/OrderLedger.h"
#include "dragonflymoor/Recovery/CrashRegistry.h"
#include "dragonflymoor/Recovery/RetryBudget.h"
#include "dragonflymoor/Recovery/RetryPolicy.h"
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace dfm {

/// The way of each request through one VM: admission, claim, choice of a pool, forwards, attempts,
/// retries and the final reply. Not thread-safe.
class RequestFlow
{
public:
  RequestFlow(EngineContext& aContext, FleetControl& aFleet);

  void OnListsChanged(Now aNow);
  void OnMembersChanged(Now aNow);
  void OnMemberGone(Now aNow, const VmId& aVm);
  void OnMemberJoined(Now aNow, const Vm& aVm);
  void OnTick(Now aNow);

  void OnRequest(Now aNow, const RequestHead& aHead);
  void OnRequestCancelled(Now aNow, RequestId aId);
  void OnAttemptEnded(Now aNow, AttemptId aAttempt, const AttemptResult& aResult);
  void OnForwardReply(Now aNow, RequestId aId, const ForwardReply& aReply);
  void OnForwardFailed(Now aNow, RequestId aId, bool aSent);
  /// Takes claims, crash reports and pool states; false for other messages.
  bool OnStream(Now aNow, const VmId& aFrom, const StreamMessage& aMessage);
  bool OnStoreResult(Now aNow, StoreCallId aCall, const StoreResult& aResult);
  void OnLoadReport(Now aNow, const BackendId& aBackend, const std::optional<LoadReport>& aReport);

  /// From now on new requests of callers are refused; forwarded ones have been stopped before.
  void RefuseNew() { refuseNew_ = true; }
  /// Requests that have not been answered, or whose attempt still runs.
  size_t InFlight() const { return flows_.size() + paced_.Size(); }

  PoolHost& Pools() { return pools_; }
  const PoolHost& Pools() const { return pools_; }
  void FillStatus(Now aNow, EngineStatus& aStatus) const;

private:
  enum class Stage
  {
    WithLedger,    ///< The ledger decides what comes next.
    Queued,        ///< Waits in an own pool.
    Running,       ///< An attempt of this VM runs.
    Forwarded,     ///< A pool owner decides.
    ForwardedCopy, ///< The claimer of the order decides.
  };
  struct Flow
  {
    RequestHead head;
    Stage stage = Stage::WithLedger;
    PoolId pool;
    std::optional<AttemptId> attempt;
    VmId forwardedTo;
    std::set<BackendId> triedServers;
    std::set<PoolId> triedPools;
    std::set<VmId> askedOwners; ///< VMs that a not-owner answer led to.
    uint32_t freeTries = 0;
    uint32_t budgetTries = 0;
    bool mayHaveRun = false;
    bool callerGone = false;
    bool carrier = false;     ///< The ledger ends this request.
    bool planCounted = false; ///< Counts against its plan's limit.
    bool remoteCounted = false;
    std::optional<RegionId> reservedTo; ///< Link with a reservation for the answer.
    Reason lastReason = Reason::NoServer;
  };
  /// A step that the ledger asked for while it was being called.
  struct Deferred
  {
    RequestId id;
    std::optional<VmInstance> claimer; ///< Set for a copy to pass on; else the order may proceed.
  };
  OrderLedgerHooks MakeLedgerHooks();
  PoolHostHooks MakePoolHooks();

  void Settle(Now aNow);
  void OnRefusal(Now aNow, const PoolRefusal& aRefusal);
  void OnDeferred(Now aNow, const Deferred& aDeferred);
  void ForwardCopy(Now aNow, Flow& aFlow, const VmInstance& aClaimer);

  Reason Check(Now aNow, RequestHead& aHead) const;
  void Admit(Now aNow, RequestHead aHead);
  void AdmitOrder(Now aNow, Flow& aFlow);
  void Refuse(Now aNow, const RequestHead& aHead, Reason aReason);

  void Route(Now aNow, RequestId aId);
  void EnqueueHere(Now aNow, Flow& aFlow, const PoolId& aPool);
  /// Reserves the link bytes of the answer to a request from another region.
  bool ReserveAnswer(Now aNow, Flow& aFlow);
  Reason AdmitRemote(Now aNow, Flow& aFlow, const PoolId& aPool);
  void RouteForwarded(Now aNow, Flow& aFlow);
  void Forward(Now aNow, Flow& aFlow, const PoolId& aPool, const Vm& aOwner);
  void PassOn(Flow& aFlow, const Vm& aTo, const std::optional<VmInstance>& aClaimer);
  /// Takes the request's bytes from the link budget when aTo is in another region.
  bool SpendLink(Now aNow, const Flow& aFlow, const Vm& aTo);
  std::optional<TimePoint> BeginAttempt(Now aNow, RequestId aId);
  static TargetQuery QueryOf(const Flow& aFlow);
  RetryFacts FactsOf(const Flow& aFlow) const;
  bool Follow(Now aNow, Flow& aFlow, const RetryDecision& aDecision);
  void OnForwardOutcome(Now aNow, RequestId aId, const ForwardReply& aReply);
  bool FollowOwner(Now aNow, Flow& aFlow, const ForwardReply& aReply);

  void GiveUp(Now aNow, Flow& aFlow, Reason aReason);
  void Finish(Now aNow, Flow& aFlow, const Reply& aReply, uint64_t aAnswerBytes);
  void Deliver(Now aNow, RequestId aId, const Reply& aReply, uint64_t aAnswerBytes);
  /// Region that the answer crosses a link to; empty when it stays in this region.
  std::optional<RegionId> LinkToCaller(const Flow& aFlow) const;
  void Release(Now aNow, Flow& aFlow);
  /// Puts an answer into paced_ when it has to wait; false when it may be sent now.
  bool Pace(const Reply& aReply, Flow& aFlow, uint64_t aAnswerBytes);
  void ExpireForwards(Now aNow);
  void BroadcastCrash(const CrashReport& aReport);
  Duration RetryAfter();
  /// Whether the ledger decides what may be said about a request.
  bool IsLedgered(const RequestHead& aHead) const;
  Flow* Find(RequestId aId);

  EngineContext& context_;
  FleetControl& fleet_;
  PlanLimiter limiter_;
  LinkBudget links_;
  RetryBudget retryBudget_;
  RetryPolicy retryPolicy_;
  CrashRegistry crashes_;
  PoolHost pools_;
  TargetChooser targets_;
  ClaimPath claims_;
  PacedReplies paced_;
  OrderLedger ledger_;
  std::unordered_map<RequestId, Flow> flows_;
  std::set<std::pair<TimePoint, RequestId>> forwardDeadlines_;
  std::deque<Deferred> deferred_;
  std::vector<RequestId> blocked_; ///< Requests whose fingerprint was blocked while they waited.
  uint64_t answerBytes_ = 0;       ///< Size of the answer that the ledger is being told of.
  bool refuseNew_ = false;
};

} // namespace dfm

#endif
