#include "dragonflymoor/Dispatch/Pool.h"

#include <algorithm>
#include <cassert>

namespace dfm {

namespace {

RankQueueOptions
QueueOptions(const Service& aService, const PoolOptions& aOptions)
{
  return RankQueueOptions{ .capacityPerRank = aOptions.queueCapacityPerRank,
                           .guaranteedPercent = aService.guaranteedPercent,
                           .expectedTime = std::max(aService.expectedTime, Duration(1)) };
}

} // namespace

Pool::Pool(PoolSite aSite, Service aService, PoolOptions aOptions, uint64_t aSeed)
  : site_(std::move(aSite))
  , service_(std::move(aService))
  , options_(aOptions)
  , queue_(QueueOptions(service_, aOptions))
  , servers_(aOptions.servers, aSeed)
{
}

void
Pool::SetService(const Service& aService)
{
  service_ = aService;
  queue_.SetOptions(QueueOptions(service_, options_));
}

void
Pool::SetServers(const std::vector<BackendServer>& aServers, bool aWarm, TimePoint aNow)
{
  servers_.SetServers(aServers, aWarm, aNow);
}

void
Pool::SetDraining(const std::set<BackendId>& aDraining, TimePoint aNow)
{
  servers_.SetDraining(aDraining, aNow);
}

void
Pool::SetPlanWeights(std::unordered_map<PlanId, uint32_t> aWeights)
{
  queue_.SetPlanWeights(std::move(aWeights));
}

void
Pool::SetPhase(PoolPhase aPhase, TimePoint aNow)
{
  servers_.SetPhase(aPhase, aNow);
}

std::optional<RequestId>
Pool::Enqueue(const RequestHead& aHead, const std::set<BackendId>& aTried, TimePoint aNow)
{
  const QueuedRequest request{
    .id = aHead.id, .plan = aHead.plan, .rank = aHead.rank, .deadline = aHead.deadline
  };
  const std::optional<RequestId> refused = queue_.Push(request, aNow);
  if (refused)
    tried_.erase(*refused);
  if (!aTried.empty() && refused != aHead.id)
    tried_[aHead.id] = aTried;
  return refused;
}

bool
Pool::Cancel(RequestId aId)
{
  const auto parked =
    std::find_if(parked_.begin(), parked_.end(), [&](const QueuedRequest& aRequest) {
      return aRequest.id == aId;
    });
  if (parked != parked_.end()) {
    queue_.OnSlotTime(parked->rank, parked->plan, Duration::zero());
    parked_.erase(parked);
  } else if (!queue_.Remove(aId)) {
    return false;
  }
  tried_.erase(aId);
  return true;
}

std::vector<RequestId>
Pool::TakeAll()
{
  std::vector<RequestId> taken = queue_.TakeExpired(TimePoint::max());
  for (const QueuedRequest& request : parked_)
    taken.push_back(request.id);
  parked_.clear();
  tried_.clear();
  return taken;
}

Pool::Dispatched
Pool::TryDispatch(TimePoint aNow)
{
  Dispatched dispatched;
  DropExpired(dispatched, aNow);
  if (!servers_.Servable({})) {
    dispatched.unservable = TakeAll();
    return dispatched;
  }
  std::list<QueuedRequest> parked;
  parked.swap(parked_);
  for (const QueuedRequest& request : parked)
    StartOrPark(request, dispatched, aNow);
  while (servers_.Pick({}, aNow)) {
    const RankQueue::Next next = queue_.Pop(aNow);
    if (!next.request)
      break;
    StartOrPark(*next.request, dispatched, aNow);
  }
  return dispatched;
}

void
Pool::DropExpired(Dispatched& aDispatched, TimePoint aNow)
{
  aDispatched.expired = queue_.TakeExpired(aNow);
  parked_.remove_if([&](const QueuedRequest& aRequest) {
    if (!TooLate(aRequest, aNow))
      return false;
    queue_.OnSlotTime(aRequest.rank, aRequest.plan, Duration::zero());
    aDispatched.expired.push_back(aRequest.id);
    return true;
  });
  for (const RequestId id : aDispatched.expired)
    tried_.erase(id);
}

bool
Pool::TooLate(const QueuedRequest& aRequest, TimePoint aNow) const
{
  return aRequest.deadline - service_.expectedTime < aNow;
}

void
Pool::StartOrPark(const QueuedRequest& aRequest, Dispatched& aDispatched, TimePoint aNow)
{
  static const std::set<BackendId> kNone;
  const auto found = tried_.find(aRequest.id);
  const std::set<BackendId>& tried = found == tried_.end() ? kNone : found->second;
  if (!servers_.Servable(tried)) {
    queue_.OnSlotTime(aRequest.rank, aRequest.plan, Duration::zero());
    aDispatched.unservable.push_back(aRequest.id);
    tried_.erase(aRequest.id);
    return;
  }
  const std::optional<BackendId> server = servers_.Pick(tried, aNow);
  if (!server) {
    parked_.push_back(aRequest);
    return;
  }
  servers_.OnStarted(*server, aNow);
  inFlight_[aRequest.id] =
    InFlight{ .server = *server, .plan = aRequest.plan, .rank = aRequest.rank, .started = aNow };
  aDispatched.started.push_back(Start{ .request = aRequest.id, .server = *servers_.Find(*server) });
  tried_.erase(aRequest.id);
}

void
Pool::OnAttemptEnded(RequestId aId, const AttemptResult& aResult, TimePoint aNow)
{
  const auto found = inFlight_.find(aId);
  assert(found != inFlight_.end() && "the request is not in flight");
  const InFlight& ended = found->second;
  queue_.OnSlotTime(ended.rank, ended.plan, aNow - ended.started);
  servers_.OnEnded(ended.server, aResult, aNow);
  inFlight_.erase(found);
}

void
Pool::OnLoadReport(const BackendId& aServer,
                   const std::optional<LoadReport>& aReport,
                   TimePoint aNow)
{
  servers_.OnLoadReport(aServer, aReport, aNow);
}

size_t
Pool::Waiting() const
{
  return queue_.Size() + parked_.size();
}

size_t
Pool::Waiting(Rank aRank) const
{
  return queue_.Size(aRank) + static_cast<size_t>(std::count_if(
                                parked_.begin(), parked_.end(), [&](const auto& aRequest) {
                                  return aRequest.rank == aRank;
                                }));
}

PoolState
Pool::State(Incarnation aOwner, TimePoint aNow) const
{
  PoolState state{ .pool = site_.pool,
                   .owner = aOwner,
                   .slots = servers_.Window(aNow),
                   .inFlight = servers_.InFlight(),
                   .queued = {} };
  for (size_t i = 0; i < kRankCount; ++i)
    state.queued.at(i) = static_cast<uint32_t>(Waiting(static_cast<Rank>(i)));
  return state;
}

} // namespace dfm
