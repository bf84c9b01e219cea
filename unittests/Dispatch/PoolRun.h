#ifndef DRAGONFLYMOOR_UNITTESTS_DISPATCH_POOLRUN_H
#define DRAGONFLYMOOR_UNITTESTS_DISPATCH_POOLRUN_H

#include "dragonflymoor/Dispatch/Pool.h"
#include "dragonflymoor/Support/Random.h"
#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace dfm::test {

constexpr Duration kMeanTime = 20ms;
constexpr Duration kDeadline = 400ms;

inline BackendServer
MakeServer(size_t aNumber, uint32_t aSlots)
{
  return BackendServer{ .id = BackendId("b" + std::to_string(aNumber)),
                        .service = ServiceId("lookup"),
                        .region = RegionId("r0"),
                        .failureDomain = FailureDomainId("d0"),
                        .endpoint = { .address = "10.0.0.1", .port = 80 },
                        .slots = aSlots };
}

inline std::unique_ptr<Pool>
MakePool(const std::vector<BackendServer>& aServers, uint64_t aSeed)
{
  const PoolSite site{ .pool = { .service = ServiceId("lookup"),
                                 .failureDomain = FailureDomainId("d0") },
                       .region = RegionId("r0") };
  Service service;
  service.expectedTime = kMeanTime;
  auto pool = std::make_unique<Pool>(site, service, PoolOptions{}, aSeed);
  pool->SetServers(aServers, true, TimePoint());
  pool->SetPhase(PoolPhase::Mine, TimePoint());
  return pool;
}

/// Poisson traffic of one plan at one rank.
struct Stream
{
  Rank rank = Rank::Urgent;
  std::string plan;
  double perSecond = 0;
};

struct StreamResult
{
  uint64_t offered = 0;
  uint64_t served = 0;
  double slotSeconds = 0;
  std::vector<double> latencies; ///< Seconds, from arrival to answer.

  double ServedPart() const
  {
    return static_cast<double>(served) / static_cast<double>(std::max<uint64_t>(offered, 1));
  }
  double Percentile(double aPart)
  {
    if (latencies.empty())
      return 0;
    const auto rank = static_cast<size_t>(aPart * static_cast<double>(latencies.size() - 1));
    std::nth_element(
      latencies.begin(), latencies.begin() + static_cast<ptrdiff_t>(rank), latencies.end());
    return latencies[rank];
  }
};

/// Open-loop traffic into pools in virtual time, with exponential service times. Each request goes
/// to a random pool.
class PoolRun
{
public:
  PoolRun(std::vector<std::unique_ptr<Pool>> aPools, std::vector<Stream> aStreams, uint64_t aSeed)
    : results(aStreams.size())
    , pools_(std::move(aPools))
    , streams_(std::move(aStreams))
    , random_(aSeed)
  {
  }

  /// Runs for aTime. Results count from aWarmUp on, requests only if they can end in time.
  void Run(Duration aTime, Duration aWarmUp)
  {
    warm_ = TimePoint() + aWarmUp;
    lastCounted_ = TimePoint() + aTime - 4 * kDeadline;
    seconds = ToSeconds(aTime - aWarmUp);
    for (size_t i = 0; i < streams_.size(); ++i)
      ScheduleArrival(i, TimePoint());
    while (!events_.empty() && events_.top().at < TimePoint() + aTime) {
      const Event event = events_.top();
      events_.pop();
      if (event.arrival)
        Arrive(event);
      else
        End(event);
    }
  }

  std::vector<StreamResult> results;
  double seconds = 0;

private:
  struct Event
  {
    TimePoint at;
    bool arrival = false;
    size_t index = 0; ///< Stream of an arrival, pool of an end.
    RequestId request;
    bool operator<(const Event& aOther) const { return at > aOther.at; }
  };
  struct Request
  {
    size_t stream = 0;
    TimePoint arrived;
    TimePoint started;
  };

  bool Counts(TimePoint aArrived) const { return aArrived >= warm_ && aArrived < lastCounted_; }
  double Exponential(double aMean) { return -std::log(1 - random_.Unit()) * aMean; }

  void ScheduleArrival(size_t aStream, TimePoint aNow)
  {
    events_.push(Event{ .at = aNow + FromSeconds(Exponential(1 / streams_[aStream].perSecond)),
                        .arrival = true,
                        .index = aStream,
                        .request = {} });
  }

  void Arrive(const Event& aEvent)
  {
    const Stream& stream = streams_[aEvent.index];
    RequestHead head;
    head.id = RequestId{ ++lastId_ };
    head.plan = PlanId(stream.plan);
    head.rank = stream.rank;
    head.deadline = aEvent.at + kDeadline;
    requests_[head.id] = Request{ .stream = aEvent.index, .arrived = aEvent.at, .started = {} };
    if (Counts(aEvent.at))
      ++results[aEvent.index].offered;
    const size_t pool = random_.Below(pools_.size());
    if (const auto refused = pools_[pool]->Enqueue(head, {}, aEvent.at))
      requests_.erase(*refused);
    Dispatch(pool, aEvent.at);
    ScheduleArrival(aEvent.index, aEvent.at);
  }

  void End(const Event& aEvent)
  {
    const Request request = requests_.at(aEvent.request);
    requests_.erase(aEvent.request);
    StreamResult& result = results[request.stream];
    if (Counts(request.arrived)) {
      ++result.served;
      result.latencies.push_back(ToSeconds(aEvent.at - request.arrived));
    }
    if (request.started >= warm_)
      result.slotSeconds += ToSeconds(aEvent.at - request.started);
    pools_[aEvent.index]->OnAttemptEnded(
      aEvent.request, AttemptResult{ .end = AttemptEnd::Answered, .status = 200 }, aEvent.at);
    Dispatch(aEvent.index, aEvent.at);
  }

  void Dispatch(size_t aPool, TimePoint aNow)
  {
    const Pool::Dispatched dispatched = pools_[aPool]->TryDispatch(aNow);
    for (const RequestId id : dispatched.expired)
      requests_.erase(id);
    for (const Pool::Start& start : dispatched.started) {
      requests_.at(start.request).started = aNow;
      events_.push(Event{ .at = aNow + FromSeconds(Exponential(ToSeconds(kMeanTime))),
                          .arrival = false,
                          .index = aPool,
                          .request = start.request });
    }
  }

  std::vector<std::unique_ptr<Pool>> pools_;
  std::vector<Stream> streams_;
  Random random_;
  TimePoint warm_;
  TimePoint lastCounted_;
  uint64_t lastId_ = 0;
  std::map<RequestId, Request> requests_;
  std::priority_queue<Event> events_;
};

} // namespace dfm::test

#endif
