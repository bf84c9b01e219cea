#ifndef DRAGONFLYMOOR_LIB_ENGINE_POOLHOST_H
#define DRAGONFLYMOOR_LIB_ENGINE_POOLHOST_H

#include "EngineContext.h"
#include "FleetControl.h"
#include "dragonflymoor/Dispatch/Pool.h"
#include "dragonflymoor/Dispatch/PoolOwnership.h"
#include "dragonflymoor/Links/RemoteAdmission.h"
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace dfm {

struct PoolHostHooks
{
  /// Asked right before a request goes to a server. Returns the deadline of the attempt, or empty
  /// when nothing may be sent any more.
  std::function<std::optional<TimePoint>(Now, RequestId)> beginAttempt;
  /// An attempt was started.
  std::function<void(RequestId, AttemptId, const BackendId&)> started;
};

/// A request that a pool gave back without running it.
struct PoolRefusal
{
  RequestId request;
  Reason reason = Reason::None;
};

/// An attempt that has ended, with what it belonged to.
struct EndedAttempt
{
  RequestId request;
  PoolId pool;
  BackendServer server;
};

/// The pools of the fleet as one VM sees them: who owns each, the queues and servers of the own
/// ones, and the last known load of the others. Not thread-safe.
class PoolHost
{
public:
  PoolHost(EngineContext& aContext, FleetControl& aFleet, PoolHostHooks aHooks);

  void OnListsChanged(Now aNow);
  void OnMembersChanged(Now aNow);
  void OnTick(Now aNow);
  void OnPoolState(Now aNow, const VmId& aFrom, const PoolState& aState);
  void OnLoadReport(Now aNow, const BackendId& aBackend, const std::optional<LoadReport>& aReport);

  /// Pools of a service that have servers.
  std::vector<PoolSite> PoolsOf(const ServiceId& aService) const;
  std::optional<VmId> Owner(const PoolId& aPool, Now aNow) const;
  /// Pools that this VM owns, of one service.
  std::vector<PoolId> OwnPools(const ServiceId& aService, Now aNow) const;
  /// Requests per usable slot, queued ones included; a middle value when it is not known.
  double Load(const PoolId& aPool, Now aNow) const;
  std::optional<PoolState> State(const PoolId& aPool, Now aNow) const;
  bool IsRemote(const PoolId& aPool) const;
  /// The owner of a pool in another region refused a request: nothing is sent there for a while, so
  /// that requests and their refusals do not use the link up.
  void NoteRemoteRefusal(Now aNow, const PoolId& aPool);
  bool RefusedLately(Now aNow, const PoolId& aPool) const;

  /// Queues a request in an own pool. Requests that are refused for it, perhaps this one, come with
  /// TakeRefusals. Precondition: this VM owns the pool.
  void Enqueue(Now aNow,
               const PoolId& aPool,
               const RequestHead& aHead,
               const std::set<BackendId>& aTried);
  /// False when the request does not wait in the pool.
  bool Cancel(const PoolId& aPool, RequestId aId);
  /// Whether a server of the pool that is not in aTried could take a request.
  bool HasServer(const PoolId& aPool, const std::set<BackendId>& aTried) const;

  /// Admits a request of another region to an own pool; OnRemoteEnded must follow.
  Reason TryAdmitRemote(const PoolId& aPool);
  void OnRemoteEnded(const PoolId& aPool);

  /// Empty when the attempt is not known.
  std::optional<EndedAttempt> OnAttemptEnded(Now aNow,
                                             AttemptId aAttempt,
                                             const AttemptResult& aResult);

  /// Requests that were given back since the last call.
  std::vector<PoolRefusal> TakeRefusals();

  /// A VM passed a request on to a pool of this VM: it gets the pool's load for a while.
  void NoteForwarder(Now aNow, const PoolId& aPool, const VmId& aVm);

  void FillStatus(Now aNow, EngineStatus& aStatus) const;
  /// Changes whenever an owner of a pool may have changed.
  uint64_t Epoch() const { return epoch_; }

private:
  struct Hosted
  {
    std::unique_ptr<Pool> pool;
    RemoteAdmission remote;
    PoolPhase phase = PoolPhase::NotMine;
    std::map<VmId, TimePoint> forwarders; ///< When each last passed a request on.
    TimePoint nextState;
    TimePoint nextPoll;
    std::set<BackendId> draining;
  };
  struct Attempt
  {
    RequestId request;
    PoolId pool;
    BackendServer server;
  };
  /// A slot whose request was cancelled: the server frees it when it sees the connection close.
  struct CancelledSlot
  {
    TimePoint freeAt;
    Attempt attempt;
    AttemptResult result;
  };
  struct RemoteView
  {
    PoolState state;
    TimePoint heard;
  };

  Hosted& Host(Now aNow, const PoolSite& aSite);
  void Configure(Hosted& aHosted, Now aNow, bool aWarm);
  void CheckPause(Now aNow);
  void FreeCancelledSlots(Now aNow);
  void FreeSlot(Now aNow, const Attempt& aAttempt, const AttemptResult& aResult);
  void UpdatePhases(Now aNow);
  void UpdateDraining(Now aNow, Hosted& aHosted, const std::set<BackendId>& aDraining);
  void Dispatch(Now aNow, Hosted& aHosted);
  bool StartOne(Now aNow, Hosted& aHosted, const Pool::Start& aStart);
  void PollLoads(Now aNow, Hosted& aHosted);
  void SendStates(Now aNow, Hosted& aHosted);
  std::vector<VmId> Rivals(const PoolSite& aSite, Now aNow) const;

  EngineContext& context_;
  FleetControl& fleet_;
  PoolHostHooks hooks_;
  PoolOwnership ownership_;
  std::map<PoolId, PoolSite> sites_;
  std::map<PoolId, Hosted> hosted_;
  std::map<PoolId, RemoteView> remoteViews_;
  std::map<PoolId, TimePoint> refusedUntil_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::deque<CancelledSlot> cancelled_;
  std::vector<PoolRefusal> refusals_;
  uint64_t lastAttempt_ = 0;
  uint64_t epoch_ = 0;
  bool listsSeen_ = false;
  bool paused_ = false;
};

} // namespace dfm

#endif
