#ifndef DRAGONFLYMOOR_DISPATCH_POOL_H
#define DRAGONFLYMOOR_DISPATCH_POOL_H

#include "dragonflymoor/Admission/RankQueue.h"
#include "dragonflymoor/Dispatch/ServerPool.h"
#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Model/Request.h"
#include "dragonflymoor/Wire/Messages.h"
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace dfm {

struct PoolOptions
{
  ServerPoolOptions servers;
  size_t queueCapacityPerRank = 256;
};

/// A pool at its owner: requests that wait, and the servers that run them. It works whether or not
/// the VM owns the pool, so that requests in flight end properly; SetPhase says what may start. Not
/// thread-safe. Times must never decrease.
class Pool
{
public:
  /// A request for a server. The caller starts the attempt; OnAttemptEnded must follow.
  struct Start
  {
    RequestId request;
    BackendServer server;
  };
  struct Dispatched
  {
    std::vector<Start> started;
    std::vector<RequestId> expired;    ///< Not run; Reason::DeadlineExceeded.
    std::vector<RequestId> unservable; ///< Not run; every server was tried: Reason::NoServer.
  };

  Pool(PoolSite aSite, Service aService, PoolOptions aOptions, uint64_t aSeed);

  void SetService(const Service& aService);
  /// See ServerPool::SetServers.
  void SetServers(const std::vector<BackendServer>& aServers, bool aWarm, TimePoint aNow);
  void SetDraining(const std::set<BackendId>& aDraining, TimePoint aNow);
  void SetPlanWeights(std::unordered_map<PlanId, uint32_t> aWeights);
  void SetPhase(PoolPhase aPhase, TimePoint aNow);

  /// Queues a request. aTried are servers that it was already sent to. Returns the request that was
  /// refused because the queue is full (Reason::QueueFull); it may be another one.
  std::optional<RequestId> Enqueue(const RequestHead& aHead,
                                   const std::set<BackendId>& aTried,
                                   TimePoint aNow);

  /// Takes a waiting request out. False when it does not wait here (it may be in flight).
  bool Cancel(RequestId aId);

  /// Takes all waiting requests out, for a VM that lost the pool. They were not run by this pool.
  std::vector<RequestId> TakeAll();

  /// Starts as many requests as servers have room for. Call it after every change and on each tick.
  Dispatched TryDispatch(TimePoint aNow);

  /// Precondition: the request was started by TryDispatch and has not ended.
  void OnAttemptEnded(RequestId aId, const AttemptResult& aResult, TimePoint aNow);

  void OnLoadReport(const BackendId& aServer,
                    const std::optional<LoadReport>& aReport,
                    TimePoint aNow);

  const PoolSite& Site() const { return site_; }
  const ServerPool& Servers() const { return servers_; }
  /// Waiting requests of all ranks.
  size_t Waiting() const;
  size_t Waiting(Rank aRank) const;
  /// The message for other VMs. slots is what may be used now.
  PoolState State(Incarnation aOwner, TimePoint aNow) const;

private:
  struct InFlight
  {
    BackendId server;
    PlanId plan;
    Rank rank = Rank::Normal;
    TimePoint started;
  };

  void DropExpired(Dispatched& aDispatched, TimePoint aNow);
  void StartOrPark(const QueuedRequest& aRequest, Dispatched& aDispatched, TimePoint aNow);
  bool TooLate(const QueuedRequest& aRequest, TimePoint aNow) const;

  PoolSite site_;
  Service service_;
  PoolOptions options_;
  RankQueue queue_;
  ServerPool servers_;
  /// Requests that were next but whose untried servers are full.
  std::list<QueuedRequest> parked_;
  std::unordered_map<RequestId, std::set<BackendId>> tried_;
  std::unordered_map<RequestId, InFlight> inFlight_;
};

} // namespace dfm

#endif
