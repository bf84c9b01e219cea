#include "dragonflymoor/Steering/Dispatcher.h"

#include "Scale.h"
#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace dfm {

namespace {

/// Bounds, as parts of the goal, of the time that a request waits for a slot before it is refused.
/// Within an eighth of the goal a refusal costs the caller nothing.
constexpr double kMinWaitShare = 0.125;
constexpr double kMaxWaitShare = 0.5;

/// Part of the maximum waiting time after which the newest requests are served first: otherwise the
/// oldest would be answered late, and the newer ones after them as well.
constexpr double kNewestFirstShare = 0.5;

/// Requests that start in a second from which on their rate tells how long others wait. In a fleet
/// with less traffic the slots that become free are mostly those of other VMs' requests.
constexpr double kMinStartsPerSecond = 5;

/// The rate at which requests start varies; a request is refused at once only when it would wait
/// this many times too long.
constexpr double kWaitEstimateMargin = 1.5;

/// Bounds of the random retry delay given to callers while no manifest is known.
constexpr Duration kMinRetryAfter = 150ms;
constexpr Duration kMaxRetryAfter = 400ms;

} // namespace

void
Dispatcher::Enqueue(ServiceState& aState, Ticket aTicket, const Request& aRequest)
{
  auto position = aState.queue.end();
  while (position != aState.queue.begin() &&
         requests_.at(*std::prev(position)).spec.arrived > aRequest.spec.arrived)
    --position;
  aState.queue.insert(position, aTicket);
}

std::set<Ticket>
Dispatcher::FindHopelessRequests(TimePoint aNow, const ServiceState& aState) const
{
  const double startsPerSecond = aState.returns.StartsPerSecond(aNow);
  if (aState.queue.empty() || startsPerSecond < kMinStartsPerSecond ||
      !ServesNewestFirst(aNow, aState))
    return {};
  std::set<Ticket> hopeless;
  std::map<unsigned, size_t> newerByPriority;
  for (auto ticket = aState.queue.rbegin(); ticket != aState.queue.rend(); ++ticket) {
    const Request& request = requests_.at(*ticket);
    const unsigned own = request.Priority();
    size_t ahead = 0;
    for (const auto& [priority, count] : newerByPriority)
      ahead += priority <= own ? count : 0;
    ++newerByPriority[own];
    const Duration waitLeft = MaxWaitTime(request, aState) - (aNow - request.spec.arrived);
    if (static_cast<double>(ahead) > kWaitEstimateMargin * startsPerSecond * ToSeconds(waitLeft))
      hopeless.insert(*ticket);
  }
  if (!hopeless.empty() && HasFreeSlot(aNow, aState))
    return {};
  return hopeless;
}

void
Dispatcher::Refuse(TimePoint aNow, Ticket aTicket, RefusalReason aReason)
{
  const auto found = requests_.find(aTicket);
  assert(found != requests_.end() && "only a known request is refused");
  const Request& request = found->second;
  const ServiceState& state = ServiceStateFor(request.service);
  // Another VM can serve the caller at once.
  const Duration retryAfter =
    aReason == RefusalReason::Stopping
      ? Duration{}
      : OnRefusedCaller(aNow, request.service, request.Priority(), request.spec.deadline);
  RequestRefusal refusal{
    .reason = aReason,
    .retryAfter = retryAfter,
    .waited = aNow - request.spec.arrived,
    .service = request.service,
    .waiting = state.queue.size(),
  };
  for (const auto& [region, candidates] : state.regions) {
    for (const Candidate& candidate : candidates.list) {
      if (candidate.tracker->UnusableReasonAt(aNow) != Unusable::None)
        continue;
      ++refusal.instances;
      refusal.slots += candidate.tracker->Spec().slots;
      refusal.knownInFlight += candidate.tracker->KnownInFlight();
    }
  }
  if (request.quota && !request.mayHaveRun)
    quotas_.Return(aNow, *request.quota);
  requests_.erase(found);
  hooks_.refuseRequest(aTicket, refusal);
}

Duration
Dispatcher::RetryAfter()
{
  return random_.Between(kMinRetryAfter, kMaxRetryAfter);
}

Duration
Dispatcher::OnRefusedCaller(TimePoint aNow,
                            const ServiceId& aService,
                            unsigned aPriority,
                            TimePoint aDeadline)
{
  return ServiceStateFor(aService).returns.OnRefusal(aNow, aPriority, aDeadline - aNow, random_);
}

bool
Dispatcher::ServesNewestFirst(TimePoint aNow, const ServiceState& aState) const
{
  const Request& oldest = requests_.at(aState.queue.front());
  const Duration newestFirstAfter = Scale(MaxWaitTime(oldest, aState), kNewestFirstShare);
  return aNow - oldest.spec.arrived > newestFirstAfter;
}

std::vector<Ticket>
Dispatcher::OrderWaitingRequests(TimePoint aNow, const ServiceState& aState) const
{
  std::vector<Ticket> order(aState.queue.begin(), aState.queue.end());
  if (ServesNewestFirst(aNow, aState))
    std::reverse(order.begin(), order.end());
  struct Position
  {
    unsigned priority = 0;
    double use = 0;
    Ticket ticket = 0;
  };
  std::vector<Position> positions;
  positions.reserve(order.size());
  for (const Ticket ticket : order) {
    const Request& request = requests_.at(ticket);
    positions.push_back({ .priority = request.Priority(),
                          .use = fairShares_.UseOf(aNow, request.spec.workspace),
                          .ticket = ticket });
  }
  std::stable_sort(
    positions.begin(), positions.end(), [](const Position& aLeft, const Position& aRight) {
      return std::tie(aLeft.priority, aLeft.use) < std::tie(aRight.priority, aRight.use);
    });
  std::transform(positions.begin(), positions.end(), order.begin(), [](const Position& aPosition) {
    return aPosition.ticket;
  });
  return order;
}

bool
Dispatcher::HasFreeSlot(TimePoint aNow, const ServiceState& aState)
{
  for (const auto& [region, candidates] : aState.regions) {
    for (const Candidate& candidate : candidates.list) {
      if (candidate.tracker->FreeSlots(aNow) > 0 &&
          candidate.tracker->UnusableReasonAt(aNow) == Unusable::None)
        return true;
    }
  }
  return false;
}

void
Dispatcher::StartWaitingRequests(TimePoint aNow, const ServiceId& aService)
{
  ServiceState& state = ServiceStateFor(aService);
  if (state.queue.empty())
    return;
  for (const Ticket ticket : OrderWaitingRequests(aNow, state)) {
    if (!HasFreeSlot(aNow, state))
      return;
    if (TryStart(aNow, ticket, requests_.at(ticket)))
      state.queue.remove(ticket);
  }
}

Duration
Dispatcher::MaxWaitTime(const Request& aRequest, const ServiceState& aState) const
{
  const Duration goal = aRequest.spec.route->goal;
  return std::clamp(
    goal - aState.typicalLatency, Scale(goal, kMinWaitShare), Scale(goal, kMaxWaitShare));
}

void
Dispatcher::RefuseExpiredRequests(TimePoint aNow)
{
  for (auto& [service, state] : services_) {
    const std::set<Ticket> hopeless = FindHopelessRequests(aNow, state);
    std::vector<Ticket> expired;
    for (const Ticket ticket : state.queue) {
      const Request& request = requests_.at(ticket);
      if (!EndsBeforeStop(aNow, *request.spec.route, state) ||
          aNow - request.spec.arrived >= MaxWaitTime(request, state) ||
          aNow >= request.spec.deadline || hopeless.contains(ticket))
        expired.push_back(ticket);
    }
    for (const Ticket ticket : expired) {
      state.queue.remove(ticket);
      const bool hasUsableInstance =
        std::any_of(state.regions.begin(), state.regions.end(), [aNow](const auto& aRegion) {
          return HasUsableInstance(aNow, aRegion.second);
        });
      if (!EndsBeforeStop(aNow, *requests_.at(ticket).spec.route, state)) {
        Refuse(aNow, ticket, RefusalReason::Stopping);
        continue;
      }
      const bool timedOut = aNow >= requests_.at(ticket).spec.deadline;
      Refuse(aNow,
             ticket,
             timedOut ? RefusalReason::TimedOut
                      : (hasUsableInstance ? RefusalReason::Overload : RefusalReason::NoInstance));
    }
  }
}

} // namespace dfm
