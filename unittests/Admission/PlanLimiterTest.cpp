#include "dragonflymoor/Admission/PlanLimiter.h"
#include "../Shares/ShareFleet.h"
#include <criterion/criterion.h>
#include <deque>

using namespace dfm;
using namespace dfm::test;

namespace {

const PlanId kPlan("gold");
const ServiceId kService("lookup");
constexpr double kRate = 100;
constexpr uint32_t kMaxInFlight = 12;
constexpr double kBurst = 0.1 * kRate; ///< As PlanLimiter states, plus one request for each VM.
constexpr double kClockDrift = 0.05;

struct Admitted
{
  size_t vm = 0;
  TimePoint deadline; ///< By the VM's clock.
  TimePoint ends;     ///< Real time.
};

/// Floods a fleet of PlanLimiters and counts what they admit.
class LimiterFleet
{
public:
  LimiterFleet(size_t aVms, uint64_t aSeed)
    : fleet(aVms, aSeed)
    , random_(aSeed)
  {
    limiters_.resize(fleet.nodes.size());
    fleet.onStart = [this](size_t aVm) {
      std::erase_if(running_, [&](const Admitted& aEach) { return aEach.vm == aVm; });
      limiters_[aVm] = std::make_unique<PlanLimiter>(*fleet.nodes[aVm].book);
      limiters_[aVm]->SetLimits({ { kPlan, kService, kRate, kMaxInFlight } }, fleet.LocalNow(aVm));
    };
    fleet.onTick = [this](size_t aVm) { Tick(aVm); };
    fleet.StartAll();
    fleet.Run(5s);
  }

  ShareFleet fleet;
  size_t admitted = 0;
  size_t mostInFlight = 0;
  size_t mostInWindow = 0;

private:
  void Tick(size_t aVm)
  {
    const TimePoint now = fleet.LocalNow(aVm);
    std::erase_if(running_, [&](const Admitted& aEach) {
      if (aEach.vm != aVm || aEach.ends > fleet.realNow)
        return false;
      limiters_[aVm]->OnEnded(kPlan, kService, now);
      return true;
    });
    limiters_[aVm]->OnTick(now);
    const double wanted = fleet.nodes[aVm].demand / 256;
    while (random_.Unit() < wanted) {
      const TimePoint deadline = now + random_.Between(10ms, 1500ms);
      if (limiters_[aVm]->TryAdmit(kPlan, kService, deadline, now) == Reason::None)
        Admit({ .vm = aVm, .deadline = deadline, .ends = {} });
      else if (random_.Below(4) == 0)
        break;
    }
  }

  void Admit(Admitted aRequest)
  {
    const Duration left = aRequest.deadline - fleet.LocalNow(aRequest.vm);
    // Even the fastest clock sees the end before the deadline.
    const Duration most = FromSeconds(0.95 * ToSeconds(left)) + 1us;
    const bool isShort = random_.Below(10) != 0;
    aRequest.ends =
      fleet.realNow + random_.Between(0us, isShort ? std::min(most, Duration(20ms)) : most);
    running_.push_back(aRequest);
    ++admitted;
    recent_.push_back(fleet.realNow);
    while (recent_.front() <= fleet.realNow - 1s)
      recent_.pop_front();
    mostInWindow = std::max(mostInWindow, recent_.size());
    const double vms = static_cast<double>(fleet.nodes.size());
    RC_ASSERT(static_cast<double>(recent_.size()) <= kRate * (1 + kClockDrift) + kBurst + vms);
    const auto inFlight = static_cast<size_t>(
      std::count_if(running_.begin(), running_.end(), [&](const Admitted& aEach) {
        return aEach.ends > fleet.realNow && fleet.nodes[aEach.vm].book;
      }));
    mostInFlight = std::max(mostInFlight, inFlight);
    RC_ASSERT(inFlight <= kMaxInFlight);
  }

  Random random_;
  std::vector<std::unique_ptr<PlanLimiter>> limiters_;
  std::vector<Admitted> running_;
  std::deque<TimePoint> recent_;
};

} // namespace

// Guards against a plan that gets more than its limit because several VMs admit its requests, also
// while loans move and VMs fail.
Test(PlanLimiter, FleetStaysWithinTheLimit, .timeout = 280)
{
  SetDefaultSeed("seed=20261204 max_success=300 max_size=60");
  size_t admitted = 0;
  size_t mostInWindow = 0;
  size_t mostInFlight = 0;
  const bool ok = rc::check("one-second windows and requests in flight stay within the limit", [&] {
    LimiterFleet fleet(*rc::gen::inRange<size_t>(2, 6), *rc::gen::arbitrary<uint64_t>());
    for (const FleetCommand& command : *AnyHistory())
      fleet.fleet.Apply(command);
    admitted += fleet.admitted;
    mostInWindow = std::max(mostInWindow, fleet.mostInWindow);
    mostInFlight = std::max(mostInFlight, fleet.mostInFlight);
  });
  cr_log_info("%zu admitted, at most %zu in one second and %zu in flight",
              admitted,
              mostInWindow,
              mostInFlight);
  cr_assert(ok);
  cr_assert(mostInWindow > 0.9 * kRate && mostInFlight == kMaxInFlight,
            "the limits were not reached");
}

// Guards against limits that a plan cannot use when its callers are connected to one VM.
Test(PlanLimiter, OneVmCanUseMostOfTheLimit)
{
  LimiterFleet fleet(5, 1);
  fleet.fleet.nodes[0].demand = 256 * 0.9;
  fleet.fleet.Run(3s);
  const size_t before = fleet.admitted;
  fleet.fleet.Run(10s);
  cr_log_info("%zu admitted in 10 s, most in flight %zu of %u",
              fleet.admitted - before,
              fleet.mostInFlight,
              kMaxInFlight);
  cr_assert(fleet.mostInFlight == kMaxInFlight);
  cr_assert(static_cast<double>(fleet.admitted - before) > 0.8 * 10 * kRate);
}

// Guards against a refusal that names the wrong limit, and against a limit that outlives its list.
Test(PlanLimiter, NamesTheLimit)
{
  const Vm self{ .id = VmId("a"),
                 .region = RegionId("r"),
                 .failureDomain = FailureDomainId("d"),
                 .callers = {},
                 .peers = {} };
  const auto ignore = [](const VmId&, const auto&) {};
  TimePoint now(1s);
  ShareBook book(self, {}, { .request = ignore, .grant = ignore, .giveBack = ignore }, 1, now);
  book.SetRoster(1, { self }, now);
  PlanLimiter limiter(book);
  limiter.SetLimits({ { kPlan, kService, 20, 2 } }, now);
  const auto admit = [&] { return limiter.TryAdmit(kPlan, kService, now + 1s, now); };
  cr_assert(admit() == Reason::PlanRateLimit, "nothing is admitted in the hold after the start");
  now += 5s;
  limiter.OnTick(now);
  cr_assert(admit() == Reason::PlanRateLimit, "the bucket fills only after the hold");
  now += 1s;
  cr_assert(admit() == Reason::None);
  cr_assert(admit() == Reason::None);
  cr_assert(admit() == Reason::PlanRateLimit);
  now += 1s;
  cr_assert(admit() == Reason::PlanInFlightLimit);
  limiter.OnEnded(kPlan, kService, now);
  cr_assert(admit() == Reason::None);
  limiter.SetLimits({}, now);
  cr_assert(admit() == Reason::None && limiter.InFlight(kPlan, kService) == 3);
}
