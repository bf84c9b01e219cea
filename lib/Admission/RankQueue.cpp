#include "dragonflymoor/Admission/RankQueue.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace dfm {

namespace {

/// Bound of a rank's credit, in expected slot times. It forgets what a rank received long ago, and
/// still covers single requests that take much longer than expected.
constexpr double kCreditBound = 100;

/// Idle plans are forgotten when there are this many more plans than queued requests.
constexpr size_t kIdlePlans = 64;

} // namespace

bool
RankQueue::PlanOrder::operator()(const std::pair<double, PlanNode*>& aLeft,
                                 const std::pair<double, PlanNode*>& aRight) const
{
  if (aLeft.first != aRight.first)
    return aLeft.first < aRight.first;
  return aLeft.second->first < aRight.second->first;
}

RankQueue::RankQueue(RankQueueOptions aOptions)
{
  SetOptions(aOptions);
}

void
RankQueue::SetOptions(RankQueueOptions aOptions)
{
  assert(aOptions.expectedTime > Duration::zero() && "the expected slot time must be positive");
  options_ = aOptions;
}

void
RankQueue::SetPlanWeights(std::unordered_map<PlanId, uint32_t> aWeights)
{
  weights_ = std::move(aWeights);
  for (RankState& rank : ranks_) {
    for (PlanNode& plan : rank.plans) {
      Unlink(rank, plan);
      plan.second.weight = WeightOf(plan.first);
      Link(rank, plan);
    }
  }
}

double
RankQueue::WeightOf(const PlanId& aPlan) const
{
  const auto found = weights_.find(aPlan);
  return found == weights_.end() ? 1 : std::max<uint32_t>(found->second, 1);
}

std::optional<RequestId>
RankQueue::Push(const QueuedRequest& aRequest, TimePoint aNow)
{
  assert(!index_.contains(aRequest.id) && "the request is queued already");
  RankState& rank = ranks_.at(static_cast<size_t>(aRequest.rank));
  PlanNode& plan = FindPlan(rank, aRequest.plan);
  std::optional<RequestId> refused;
  if (rank.size >= options_.capacityPerRank) {
    const double queued = static_cast<double>(plan.second.entries.size());
    if (rank.byExcess.empty() || (queued + 1) / plan.second.weight >= rank.byExcess.rbegin()->first)
      return aRequest.id;
    refused = rank.byExcess.rbegin()->second->second.entries.back().request.id;
    Remove(*refused);
  }
  Insert(aRequest, rank, plan, aNow);
  return refused;
}

RankQueue::PlanNode&
RankQueue::FindPlan(RankState& aRank, const PlanId& aPlan)
{
  const auto found = aRank.plans.find(aPlan);
  if (found != aRank.plans.end())
    return *found;
  ForgetIdlePlans(aRank);
  PlanQueue queue;
  queue.weight = WeightOf(aPlan);
  return *aRank.plans.emplace(aPlan, std::move(queue)).first;
}

void
RankQueue::ForgetIdlePlans(RankState& aRank)
{
  if (aRank.plans.size() < aRank.size + kIdlePlans)
    return;
  // A plan at or below the virtual time would start again at the virtual time anyway.
  std::erase_if(aRank.plans, [&](const PlanNode& aPlan) {
    return aPlan.second.entries.empty() && aPlan.second.served <= aRank.virtualTime;
  });
}

void
RankQueue::Insert(const QueuedRequest& aRequest, RankState& aRank, PlanNode& aPlan, TimePoint aNow)
{
  PlanQueue& queue = aPlan.second;
  Unlink(aRank, aPlan);
  if (queue.entries.empty())
    queue.served = std::max(queue.served, aRank.virtualTime);
  queue.entries.push_back(Entry{ .request = aRequest, .arrived = aNow });
  Link(aRank, aPlan);
  aRank.byDeadline.emplace(aRequest.deadline, aRequest.id);
  ++aRank.size;
  index_[aRequest.id] = Place{ .rank = static_cast<size_t>(aRequest.rank),
                               .plan = &aPlan,
                               .entry = std::prev(queue.entries.end()) };
}

void
RankQueue::Erase(const Place& aPlace)
{
  RankState& rank = ranks_.at(aPlace.rank);
  const QueuedRequest request = aPlace.entry->request;
  Unlink(rank, *aPlace.plan);
  aPlace.plan->second.entries.erase(aPlace.entry);
  Link(rank, *aPlace.plan);
  rank.byDeadline.erase({ request.deadline, request.id });
  --rank.size;
  // A rank earns credit only while it has requests; it must not return with a claim on many slots.
  if (rank.size == 0)
    rank.credit = std::min(rank.credit, 0.0);
  index_.erase(request.id);
}

void
RankQueue::Link(RankState& aRank, PlanNode& aPlan)
{
  PlanQueue& queue = aPlan.second;
  if (queue.entries.empty())
    return;
  queue.excess = static_cast<double>(queue.entries.size()) / queue.weight;
  aRank.byServed.emplace(queue.served, &aPlan);
  aRank.byExcess.emplace(queue.excess, &aPlan);
}

void
RankQueue::Unlink(RankState& aRank, PlanNode& aPlan)
{
  if (aPlan.second.entries.empty())
    return;
  aRank.byServed.erase({ aPlan.second.served, &aPlan });
  aRank.byExcess.erase({ aPlan.second.excess, &aPlan });
}

RankQueue::Next
RankQueue::Pop(TimePoint aNow)
{
  Next next{ .request = std::nullopt, .expired = TakeExpired(aNow) };
  const std::optional<size_t> selected = SelectRank();
  if (!selected)
    return next;
  RankState& rank = ranks_.at(*selected);
  PlanNode& plan = *rank.byServed.begin()->second;
  PlanQueue& queue = plan.second;
  const Entry& head = queue.entries.front();
  const Duration target =
    FromSeconds(ToSeconds(head.request.deadline - head.arrived) * options_.sojournPart);
  const auto entry =
    aNow - head.arrived < target ? queue.entries.begin() : std::prev(queue.entries.end());
  next.request = entry->request;

  const double cost = ToSeconds(options_.expectedTime);
  rank.virtualTime = std::max(rank.virtualTime, queue.served);
  Charge(*selected, cost);
  Erase(Place{ .rank = *selected, .plan = &plan, .entry = entry });
  ChargePlan(rank, plan, cost);
  return next;
}

std::vector<RequestId>
RankQueue::TakeExpired(TimePoint aNow)
{
  std::vector<RequestId> expired;
  for (RankState& rank : ranks_) {
    while (!rank.byDeadline.empty() &&
           rank.byDeadline.begin()->first - options_.expectedTime < aNow) {
      const RequestId id = rank.byDeadline.begin()->second;
      Remove(id);
      expired.push_back(id);
    }
  }
  return expired;
}

bool
RankQueue::Remove(RequestId aId)
{
  const auto found = index_.find(aId);
  if (found == index_.end())
    return false;
  Erase(Place(found->second));
  return true;
}

void
RankQueue::OnSlotTime(Rank aRank, const PlanId& aPlan, Duration aUsed)
{
  const double correction = ToSeconds(aUsed - options_.expectedTime);
  RankState& rank = ranks_.at(static_cast<size_t>(aRank));
  Charge(static_cast<size_t>(aRank), correction);
  const auto found = rank.plans.find(aPlan);
  if (found != rank.plans.end())
    ChargePlan(rank, *found, correction);
}

std::optional<size_t>
RankQueue::SelectRank() const
{
  const double cost = ToSeconds(options_.expectedTime);
  std::optional<size_t> first;
  for (size_t i = 0; i < kRankCount; ++i) {
    if (ranks_.at(i).size == 0)
      continue;
    if (ranks_.at(i).credit >= cost)
      return i;
    if (!first)
      first = i;
  }
  return first;
}

void
RankQueue::Charge(size_t aRank, double aSeconds)
{
  const double bound = kCreditBound * ToSeconds(options_.expectedTime);
  for (size_t i = 0; i < kRankCount; ++i) {
    RankState& rank = ranks_.at(i);
    if (rank.size > 0)
      rank.credit += aSeconds * options_.guaranteedPercent.at(i) / 100;
    if (i == aRank)
      rank.credit -= aSeconds;
    rank.credit = std::clamp(rank.credit, -bound, rank.size > 0 ? bound : 0.0);
  }
}

void
RankQueue::ChargePlan(RankState& aRank, PlanNode& aPlan, double aSeconds)
{
  Unlink(aRank, aPlan);
  aPlan.second.served += aSeconds / aPlan.second.weight;
  Link(aRank, aPlan);
}

} // namespace dfm
