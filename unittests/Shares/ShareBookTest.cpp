#include "ShareFleet.h"
#include <criterion/criterion.h>

using namespace dfm;
using namespace dfm::test;

namespace {

const ShareKey kPlan = { .kind = ShareKind::PlanRate, .name = "gold/lookup" };
const ShareKey kLink = { .kind = ShareKind::LinkBytes, .name = "r0/r1" };
constexpr double kAmount = 100;

/// Returns the sum of what all running VMs may use now. Paused VMs count, as they may resume at any
/// moment.
double
TotalAvailable(const ShareFleet& aFleet, const ShareKey& aKey)
{
  double sum = 0;
  for (size_t i = 0; i < aFleet.nodes.size(); ++i) {
    if (aFleet.nodes[i].book)
      sum += aFleet.nodes[i].book->Available(aKey, aFleet.LocalNow(i));
  }
  return sum;
}

void
SetAmountsAndDemands(ShareFleet& aFleet)
{
  aFleet.onStart = [&](size_t aVm) {
    aFleet.nodes[aVm].book->SetAmount(kPlan, kAmount, std::nullopt, aFleet.LocalNow(aVm));
    aFleet.nodes[aVm].book->SetAmount(kLink, kAmount, RegionId("r0"), aFleet.LocalNow(aVm));
  };
  aFleet.onTick = [&](size_t aVm) {
    const ShareFleet::Node& node = aFleet.nodes[aVm];
    node.book->SetDemand(kPlan, node.demand, 0, aFleet.LocalNow(aVm));
    node.book->SetDemand(kLink, node.demand, 0, aFleet.LocalNow(aVm));
  };
}

} // namespace

// Guards against double use of an amount: by a borrower and its lender, by a removed and a new VM
// of the roster, or by two runs of one VM.
Test(ShareBook, SumNeverExceedsTheAmount, .timeout = 280)
{
  SetDefaultSeed("seed=20261204 max_success=400 max_size=80");
  size_t loans = 0;
  size_t nonZeroSums = 0;
  const bool ok = rc::check("the shares of all VMs stay within the amount", [&] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const auto history = *AnyHistory();
    ShareFleet fleet(*rc::gen::inRange<size_t>(2, 7), seed);
    SetAmountsAndDemands(fleet);
    fleet.onStep = [&] {
      for (const ShareKey& key : { kPlan, kLink }) {
        const double sum = TotalAvailable(fleet, key);
        nonZeroSums += sum > 0 ? 1 : 0;
        RC_ASSERT(sum <= kAmount * (1 + 1e-9));
      }
    };
    fleet.StartAll();
    fleet.Run(4s);
    for (const FleetCommand& command : history)
      fleet.Apply(command);
    loans += fleet.grantsDelivered;
  });
  cr_assert(ok);
  cr_log_info("loans %zu, checks with a sum above 0: %zu", loans, nonZeroSums);
  cr_assert(loans > 1000 && nonZeroSums > 1000, "the histories lent almost nothing");
}

// Guards against lending that keeps the sum within the amount only because VMs can hardly borrow.
Test(ShareBook, DemandOnOneVmBorrowsMostOfTheAmount)
{
  ShareFleet fleet(6, 7);
  SetAmountsAndDemands(fleet);
  fleet.StartAll();
  fleet.Run(4s);
  cr_assert(TotalAvailable(fleet, kPlan) > 0.999 * kAmount, "a calm fleet uses the whole amount");
  fleet.nodes[0].demand = kAmount;
  fleet.Run(2s);
  double minAvailable = kAmount;
  fleet.onStep = [&] {
    minAvailable = std::min(minAvailable, fleet.nodes[0].book->Available(kPlan, fleet.LocalNow(0)));
  };
  fleet.Run(10s);
  cr_assert(minAvailable > 0.85 * kAmount, "only %.1f was available", minAvailable);
  fleet.nodes[0].demand = 0;
  fleet.nodes[1].demand = kAmount;
  fleet.Run(500ms);
  const double availableAfterMove = fleet.nodes[1].book->Available(kPlan, fleet.LocalNow(1));
  cr_assert(availableAfterMove > 0.85 * kAmount,
            "only %.1f was given back and lent again",
            availableAfterMove);
}

// Guards against a restarted VM that waits for confirmations from its peers, and so has no base
// share, although the roster marks it as settled.
Test(ShareBook, SettledVmUsesItsShareAfterARestartWithoutItsPeers)
{
  const Vm self{ .id = VmId("a"),
                 .region = RegionId("r"),
                 .failureDomain = FailureDomainId("d"),
                 .callers = {},
                 .peers = {} };
  Vm other = self;
  other.id = VmId("b");
  const auto ignore = [](const VmId&, const auto&) {};
  const ShareHooks hooks{ .request = ignore, .grant = ignore, .giveBack = ignore };
  for (const bool settled : { false, true }) {
    ShareBook book(self, ShareOptions{}, hooks, 1, TimePoint(1s));
    book.SetAmount(kPlan, kAmount, std::nullopt, TimePoint(1s));
    book.SetRoster(
      5, { self, other }, TimePoint(1s), settled ? std::set{ self.id } : std::set<VmId>{});
    cr_assert(book.Available(kPlan, TimePoint(4s)) == 0, "loans of the earlier run may be in use");
    cr_assert(book.Available(kPlan, TimePoint(5s)) == (settled ? kAmount / 2 : 0));
  }
}
