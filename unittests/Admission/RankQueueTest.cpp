#include "dragonflymoor/Admission/RankQueue.h"
#include <chrono>
#include <criterion/criterion.h>
#include <cstdlib>
#include <map>
#include <rapidcheck.h>

using namespace dfm;

namespace {

struct Waiting
{
  QueuedRequest request;
  TimePoint arrived;
};

/// Simple oracle: what waits, and the weights of the plans.
struct Model
{
  std::map<RequestId, Waiting> waiting;

  size_t Count(Rank aRank, const PlanId* aPlan = nullptr) const
  {
    size_t count = 0;
    for (const auto& [id, each] : waiting)
      count += each.request.rank == aRank && (!aPlan || each.request.plan == *aPlan) ? 1 : 0;
    return count;
  }
};

constexpr size_t kCapacity = 6;
constexpr Duration kExpected = 10ms;
const std::unordered_map<PlanId, uint32_t> kWeights = { { PlanId("p0"), 1 },
                                                        { PlanId("p1"), 2 },
                                                        { PlanId("p2"), 4 } };

double
Excess(const Model& aModel, Rank aRank, const PlanId& aPlan)
{
  return static_cast<double>(aModel.Count(aRank, &aPlan)) / kWeights.at(aPlan);
}

void
CheckRefusal(const Model& aModel, const QueuedRequest& aPushed, RequestId aRefused)
{
  Model all = aModel;
  all.waiting[aPushed.id] = Waiting{ .request = aPushed, .arrived = {} };
  const QueuedRequest& refused = all.waiting.at(aRefused).request;
  RC_ASSERT(refused.rank == aPushed.rank);
  for (const auto& [id, each] : all.waiting) {
    if (each.request.rank != aPushed.rank)
      continue;
    RC_ASSERT(Excess(all, refused.rank, refused.plan) >=
              Excess(all, refused.rank, each.request.plan));
    // Ids grow with time, so that the newest request of a plan has the highest one.
    RC_ASSERT(each.request.plan != refused.plan || id <= aRefused);
  }
}

void
CheckPop(Model& aModel, const RankQueue::Next& aNext, TimePoint aNow)
{
  for (const RequestId id : aNext.expired) {
    RC_ASSERT(aModel.waiting.at(id).request.deadline - kExpected < aNow);
    aModel.waiting.erase(id);
  }
  for (const auto& [id, each] : aModel.waiting)
    RC_ASSERT(each.request.deadline - kExpected >= aNow);
  RC_ASSERT(aNext.request.has_value() == !aModel.waiting.empty());
  if (!aNext.request)
    return;
  const Waiting popped = aModel.waiting.at(aNext.request->id);
  const Waiting* oldest = &popped;
  RequestId newest = popped.request.id;
  for (const auto& [id, each] : aModel.waiting) {
    if (each.request.rank != popped.request.rank || each.request.plan != popped.request.plan)
      continue;
    oldest = id < oldest->request.id ? &each : oldest;
    newest = std::max(newest, id);
  }
  const bool fifo = aNow - oldest->arrived < (oldest->request.deadline - oldest->arrived) / 4;
  RC_ASSERT(popped.request.id == (fifo ? oldest->request.id : newest));
  aModel.waiting.erase(popped.request.id);
}

} // namespace

// Guards against requests that are lost or doubled in the queue, against a refusal that hits a plan
// within its entitlement, and against a wrong order within a plan.
Test(RankQueue, AgreesWithTheModel, .timeout = 120)
{
  setenv("RC_PARAMS", "seed=20261204 max_success=2000 max_size=150", 0);
  const bool ok = rc::check("every request leaves the queue once, for the stated reason", [] {
    RankQueue queue({ .capacityPerRank = kCapacity, .expectedTime = kExpected });
    queue.SetPlanWeights(kWeights);
    Model model;
    TimePoint now;
    uint64_t lastId = 0;
    const auto steps = *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange(0U, 100000U));
    for (const uint32_t step : steps) {
      const uint32_t value = step / 10;
      now += Duration(1ms) * (value % 7);
      if (step % 10 < 6) {
        const QueuedRequest request{ .id = RequestId{ ++lastId },
                                     .plan = PlanId("p" + std::to_string(value % 3)),
                                     .rank = static_cast<Rank>(value / 3 % 3),
                                     .deadline = now + Duration(1ms) * (value % 200) };
        const bool full = model.Count(request.rank) >= kCapacity;
        const auto refused = queue.Push(request, now);
        RC_ASSERT(refused.has_value() == full);
        if (refused)
          CheckRefusal(model, request, *refused);
        model.waiting[request.id] = Waiting{ .request = request, .arrived = now };
        if (refused)
          model.waiting.erase(*refused);
      } else if (step % 10 < 9) {
        const RankQueue::Next next = queue.Pop(now);
        CheckPop(model, next, now);
        if (next.request)
          queue.OnSlotTime(next.request->rank, next.request->plan, Duration(1ms) * (value % 40));
      } else {
        const RequestId id{ 1 + value % (lastId + 1) };
        RC_ASSERT(queue.Remove(id) == (model.waiting.erase(id) == 1));
      }
      RC_ASSERT(queue.Size() == model.waiting.size());
    }
  });
  cr_assert(ok);
}

// Guards against refusals that cost so much that a flood of them takes the time of the others.
Test(RankQueue, RefusalIsCheap)
{
  RankQueue queue({ .capacityPerRank = 256, .expectedTime = kExpected });
  uint64_t lastId = 0;
  constexpr uint64_t kRefusals = 200000;
  const auto pushes = [&](uint64_t aPlans, uint64_t aCount) {
    const auto start = std::chrono::steady_clock::now();
    for (uint64_t i = 0; i < aCount; ++i) {
      const uint64_t id = ++lastId;
      queue.Push({ .id = RequestId{ id },
                   .plan = PlanId("plan-" + std::to_string(id % aPlans)),
                   .rank = Rank::Bulk,
                   .deadline = TimePoint(1h) },
                 TimePoint());
    }
    const std::chrono::duration<double, std::nano> time = std::chrono::steady_clock::now() - start;
    return time.count() / static_cast<double>(aCount);
  };
  pushes(1, 256);
  const double one = pushes(1, kRefusals);
  const double many = pushes(100, kRefusals);
  cr_log_info("cost of a refusal: %.0f ns with one plan, %.0f ns with 100 plans", one, many);
  // Far above the measured cost, so that a busy machine does not fail the test.
  cr_assert(one < 20000 && many < 20000);
}
