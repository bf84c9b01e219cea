#include "dragonflymoor/Links/LinkBudget.h"
#include "../Shares/ShareFleet.h"
#include "dragonflymoor/Links/RemoteAdmission.h"
#include <array>
#include <criterion/criterion.h>
#include <deque>

using namespace dfm;
using namespace dfm::test;

namespace {

const RegionId kFrom("r0");
const RegionId kTo("r1");
constexpr uint64_t kCap = 1000000;

/// An answer whose size differs from what was expected.
struct Answer
{
  RequestId request;
  uint64_t left = 0;
  uint32_t ticksToWait = 0;
};

/// Floods the budgets of the VMs of one region.
class LinkFleet
{
public:
  LinkFleet(size_t aVms, uint64_t aSeed)
    : fleet(aVms, aSeed)
    , random_(aSeed)
  {
    budgets_.resize(fleet.nodes.size());
    answers_.resize(fleet.nodes.size());
    fleet.onStart = [this](size_t aVm) {
      answers_[aVm].clear();
      budgets_[aVm] =
        std::make_unique<LinkBudget>(fleet.nodes[aVm].vm.region, *fleet.nodes[aVm].book);
      budgets_[aVm]->SetLinks({ { kFrom, kTo, kCap } }, fleet.LocalNow(aVm));
    };
    fleet.onTick = [this](size_t aVm) { Tick(aVm); };
    fleet.StartAll();
    fleet.Run(5s);
  }

  ShareFleet fleet;
  std::array<double, kRankCount> sentByRank{};
  double mostInWindow = 0;
  std::vector<Rank> ranks = { Rank::Urgent, Rank::Normal, Rank::Bulk };

private:
  void Tick(size_t aVm)
  {
    if (fleet.nodes[aVm].vm.region != kFrom)
      return;
    const TimePoint now = fleet.LocalNow(aVm);
    LinkBudget& budget = *budgets_[aVm];
    budget.OnTick(now);
    const auto tries = static_cast<uint32_t>(fleet.nodes[aVm].demand / 32);
    for (uint32_t i = 0; i < tries; ++i) {
      const Rank rank = ranks[random_.Below(ranks.size())];
      const uint64_t bytes = random_.Below(10000);
      if (random_.Below(2) == 0) {
        if (budget.TrySend(kTo, rank, bytes, now))
          Record(rank, bytes);
      } else if (budget.TryReserve(kTo, RequestId{ ++lastId_ }, rank, bytes, now)) {
        const uint64_t actual = random_.Below(4) == 0 ? 5 * bytes : bytes;
        answers_[aVm].emplace_back(
          Answer{ RequestId{ lastId_ }, actual, uint32_t(random_.Below(20)) }, rank);
      }
    }
    std::erase_if(answers_[aVm], [&](auto& aAnswer) {
      auto& [answer, rank] = aAnswer;
      if (answer.ticksToWait > 0) {
        --answer.ticksToWait;
        return false;
      }
      const uint64_t bytes = budget.TakeReserved(kTo, answer.request, answer.left, now);
      RC_ASSERT(bytes <= answer.left);
      Record(rank, bytes);
      answer.left -= bytes;
      if (answer.left == 0)
        budget.Release(kTo, answer.request);
      return answer.left == 0;
    });
  }

  void Record(Rank aRank, uint64_t aBytes)
  {
    sentByRank.at(static_cast<size_t>(aRank)) += static_cast<double>(aBytes);
    recent_.emplace_back(fleet.realNow, static_cast<double>(aBytes));
    window_ += static_cast<double>(aBytes);
    while (recent_.front().first <= fleet.realNow - 1s) {
      window_ -= recent_.front().second;
      recent_.pop_front();
    }
    mostInWindow = std::max(mostInWindow, window_);
    RC_ASSERT(window_ <= kCap);
  }

  Random random_;
  std::vector<std::unique_ptr<LinkBudget>> budgets_;
  std::vector<std::vector<std::pair<Answer, Rank>>> answers_;
  std::deque<std::pair<TimePoint, double>> recent_;
  double window_ = 0;
  uint64_t lastId_ = 0;
};

} // namespace

// Guards against a link that carries more than its cap in some second, also while loans move,
// clocks drift and answers are larger than expected.
Test(LinkBudget, FleetStaysWithinTheCap, .timeout = 280)
{
  SetDefaultSeed("seed=20261204 max_success=200 max_size=60");
  double most = 0;
  const bool ok = rc::check("the bytes of any second stay within the cap", [&] {
    LinkFleet fleet(*rc::gen::inRange<size_t>(2, 8), *rc::gen::arbitrary<uint64_t>());
    for (const FleetCommand& command : *AnyHistory())
      fleet.fleet.Apply(command);
    most = std::max(most, fleet.mostInWindow);
  });
  cr_log_info("at most %.1f %% of the cap in one second", 100 * most / kCap);
  cr_assert(ok);
  cr_assert(most > 0.8 * kCap, "the histories did not use the link");
}

// Guards against bulk or normal requests that take the bytes of higher ranks, and against a share
// that cannot be used.
Test(LinkBudget, RanksUseTheirPortions)
{
  const std::pair<Rank, double> cases[] = { { Rank::Urgent, 1.0 },
                                            { Rank::Normal, 0.8 },
                                            { Rank::Bulk, 0.5 } };
  for (const auto& [rank, portion] : cases) {
    LinkFleet fleet(4, 1);
    fleet.ranks = { rank };
    for (ShareFleet::Node& node : fleet.fleet.nodes)
      node.demand = 255;
    fleet.fleet.Run(2s);
    const size_t index = static_cast<size_t>(rank);
    const double before = fleet.sentByRank.at(index);
    fleet.fleet.Run(10s);
    const double used = (fleet.sentByRank.at(index) - before) / (10 * kCap);
    cr_log_info("rank %zu alone used %.3f of the cap", index, used);
    cr_assert(used <= 0.9 * portion && used > 0.7 * portion);
  }
}

// Guards against a region that is overloaded by work from other regions: remote work that grows too
// fast, is admitted on missing data, or takes the slots that local work needs.
Test(RemoteAdmission, BoundsRemoteWork, .timeout = 120)
{
  SetDefaultSeed("seed=20261204 max_success=500 max_size=200");
  size_t admitted = 0;
  const bool ok = rc::check("remote work grows slowly and never above the limit of use", [&] {
    constexpr uint32_t kSlots = 40;
    RemoteAdmission admission;
    TimePoint now(1h);
    uint32_t local = 0;
    std::deque<std::pair<TimePoint, double>> history; // Limits of the last second.
    const auto steps = *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange(0U, 10000U));
    for (const uint32_t step : steps) {
      const uint32_t value = step / 10;
      now += Duration(1ms) * (value % 300);
      const double before = admission.Limit();
      if (step % 10 < 3) {
        local = step % 10 == 0 ? value % kSlots : local;
        admission.OnLoad(
          RemoteAdmission::Load{ .slots = kSlots, .requests = local + admission.Remote() }, now);
      } else if (step % 10 == 3) {
        admission.OnLoad(std::nullopt, now);
        RC_ASSERT(admission.Limit() <= before);
      } else if (step % 10 == 4) {
        for (uint32_t i = 0; i < value % 8 && admission.Remote() > 0; ++i)
          admission.OnEnded();
      } else {
        while (admission.TryAdmit() == Reason::None) {
          ++admitted;
          RC_ASSERT(local + admission.Remote() <= 0.85 * kSlots);
          RC_ASSERT(admission.Remote() <= admission.Limit());
        }
      }
      while (!history.empty() && history.front().first < now - 1s)
        history.pop_front();
      for (const auto& [time, limit] : history)
        RC_ASSERT(admission.Limit() <= limit + 1.1 * 0.1 * kSlots + 1e-9);
      history.emplace_back(now, admission.Limit());
    }
  });
  cr_log_info("%zu admitted", admitted);
  cr_assert(ok);
  cr_assert(admitted > 1000, "almost nothing was admitted");
}
