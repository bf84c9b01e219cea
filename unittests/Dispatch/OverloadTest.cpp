#include "PoolRun.h"
#include <criterion/criterion.h>

using namespace dfm;
using namespace dfm::test;

namespace {

constexpr uint64_t kSeed = 20261204;
constexpr uint32_t kSlots = 8;
constexpr size_t kServers = 2;
/// Requests a second that two servers can run.
const double kCapacity = kSlots * kServers / ToSeconds(kMeanTime);

PoolRun
RunOnePool(const std::vector<Stream>& aStreams, std::unordered_map<PlanId, uint32_t> aWeights = {})
{
  std::vector<std::unique_ptr<Pool>> pools;
  pools.push_back(MakePool({ MakeServer(0, kSlots), MakeServer(1, kSlots) }, kSeed));
  pools.front()->SetPlanWeights(std::move(aWeights));
  PoolRun run(std::move(pools), aStreams, kSeed);
  run.Run(60s, 5s);
  return run;
}

/// Part of all slot time that a stream received.
double
SlotPart(const PoolRun& aRun, size_t aStream)
{
  return aRun.results[aStream].slotSeconds / (kSlots * kServers * aRun.seconds);
}

double
Utilisation(const PoolRun& aRun)
{
  double sum = 0;
  for (size_t i = 0; i < aRun.results.size(); ++i)
    sum += SlotPart(aRun, i);
  return sum;
}

} // namespace

// Guards against urgent requests that are late or lost in a flood of lower ranks, and against lower
// ranks that starve meanwhile.
Test(Overload, UrgentIsServedWhileItFits, .timeout = 120)
{
  PoolRun half = RunOnePool({ { Rank::Urgent, "a", 0.5 * kCapacity } });
  const double halfP99 = half.results[0].Percentile(0.99);
  for (const double load : { 0.5, 0.65 }) {
    PoolRun flood = RunOnePool({ { Rank::Urgent, "a", load * kCapacity },
                                 { Rank::Normal, "a", 5 * kCapacity },
                                 { Rank::Bulk, "a", 5 * kCapacity } });
    const double p99 = flood.results[0].Percentile(0.99);
    cr_log_info(
      "urgent %.2f, lower ranks 10: urgent served %.2f %%, p99 %.1f ms (half load %.1f ms), "
      "slot time %.3f %.3f %.3f, utilisation %.3f",
      load,
      100 * flood.results[0].ServedPart(),
      1000 * p99,
      1000 * halfP99,
      SlotPart(flood, 0),
      SlotPart(flood, 1),
      SlotPart(flood, 2),
      Utilisation(flood));
    cr_assert(flood.results[0].ServedPart() > 0.999);
    cr_assert(p99 < 2 * halfP99);
    cr_assert(SlotPart(flood, 1) > 0.19 && SlotPart(flood, 2) > 0.095);
    cr_assert(Utilisation(flood) > 0.9);
  }
}

// Guards against a rank that takes the guaranteed minimum of another when all of them flood.
Test(Overload, EachRankKeepsItsMinimum, .timeout = 120)
{
  const PoolRun run = RunOnePool({ { Rank::Urgent, "a", 10 * kCapacity },
                                   { Rank::Normal, "a", 10 * kCapacity },
                                   { Rank::Bulk, "a", 10 * kCapacity } });
  cr_log_info(
    "all ranks 10: slot time %.3f %.3f %.3f", SlotPart(run, 0), SlotPart(run, 1), SlotPart(run, 2));
  cr_assert(SlotPart(run, 0) > 0.69 && SlotPart(run, 1) > 0.19 && SlotPart(run, 2) > 0.095);
  cr_assert(Utilisation(run) > 0.9);
}

// Guards against a plan that floods at the cost of plans that stay within their entitlement.
Test(Overload, EachPlanKeepsItsEntitlement, .timeout = 120)
{
  const PoolRun run =
    RunOnePool({ { Rank::Normal, "flood", 10 * kCapacity },
                 { Rank::Normal, "heavy", 3 * kCapacity },
                 { Rank::Normal, "small", 0.1 * kCapacity } },
               { { PlanId("flood"), 1 }, { PlanId("heavy"), 3 }, { PlanId("small"), 1 } });
  cr_log_info("plans: slot time %.3f %.3f %.3f, small served %.2f %%",
              SlotPart(run, 0),
              SlotPart(run, 1),
              SlotPart(run, 2),
              100 * run.results[2].ServedPart());
  cr_assert(run.results[2].ServedPart() > 0.98, "a plan below its entitlement is served");
  cr_assert(std::abs(SlotPart(run, 1) / SlotPart(run, 0) - 3) < 0.15, "the rest goes by weight");
  cr_assert(Utilisation(run) > 0.9);
}
