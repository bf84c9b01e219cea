#include "dragonflymoor/Steering/RateClaim.h"
#include "dragonflymoor/Support/Random.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <deque>
#include <numeric>
#include <vector>

namespace {

using namespace dfm;

constexpr Duration kStep = 10ms;
constexpr Duration kUpdatePeriod = 100ms;
/// The platform counts the requests of all VMs in each span of this length, from this time on after
/// the first statement.
constexpr Duration kWindow = 4s;
constexpr Duration kSettleTime = 3s;
/// Part of the limit that is used at least while the demand is larger.
constexpr double kLeastUsed = 0.6;

/// VMs that send requests to one instance with a limit, in virtual time. Each learns of the others'
/// claims with a delay.
struct SharingVms
{
  struct Sharer
  {
    RateClaim claim;
    double demand = 0; ///< Requests a second.
    bool told = false; ///< Has had an answer with the limit.
  };

  SharingVms(std::vector<double> aDemands, Duration aDelay)
    : vms(aDemands.size())
    , delay(aDelay)
  {
    for (size_t i = 0; i < vms.size(); ++i)
      vms[i].demand = aDemands[i];
  }

  void Run(Duration aDuration, std::optional<double> aLimit)
  {
    for (const TimePoint until = now + aDuration; now < until; now += kStep)
      Step(aLimit);
  }

  void Step(std::optional<double> aLimit)
  {
    const bool updates = now.time_since_epoch() % kUpdatePeriod == Duration{};
    if (updates) {
      std::vector<double> claims;
      claims.reserve(vms.size());
      for (const Sharer& vm : vms)
        claims.push_back(vm.claim.ReportedClaim(now));
      reports.emplace_back(now, std::move(claims));
    }
    while (!reports.empty() && now - reports.front().first >= delay) {
      known = std::move(reports.front().second);
      reports.pop_front();
    }
    for (size_t i = 0; i < vms.size(); ++i) {
      Sharer& vm = vms[i];
      if (!known.empty())
        vm.claim.SetPeerClaims(std::accumulate(known.begin(), known.end(), 0.0) - known[i]);
      if (updates)
        vm.claim.Update(now, { .vms = vms.size(), .rank = i });
      if (random.Unit() >= vm.demand * ToSeconds(kStep))
        continue;
      if (!vm.claim.MaySend(now)) {
        vm.claim.OnDenied(now);
        continue;
      }
      vm.claim.OnSend(now);
      vm.claim.OnStatement(now, aLimit);
      sends.push_back(now);
    }
  }

  /// The most requests in one window that begins at aFrom or later.
  size_t MostInWindow(TimePoint aFrom) const
  {
    size_t most = 0;
    for (auto first = sends.begin(); first != sends.end(); ++first) {
      if (*first < aFrom)
        continue;
      const auto end = std::upper_bound(first, sends.end(), *first + kWindow);
      most = std::max(most, static_cast<size_t>(end - first));
    }
    return most;
  }
  size_t CountSince(TimePoint aFrom) const
  {
    return static_cast<size_t>(sends.end() - std::lower_bound(sends.begin(), sends.end(), aFrom));
  }

  TimePoint now{ 100s };
  Random random{ 20261205 };
  std::vector<Sharer> vms;
  Duration delay;
  std::deque<std::pair<TimePoint, std::vector<double>>> reports;
  std::vector<double> known;
  std::vector<TimePoint> sends;
};

/// Guards against instances that get more requests from all VMs together than they take, and
/// against a limit of which only a small part is used, because its parts do not follow the demand.
Test(RateClaim, VmsTogetherKeepTheLimitAndUseIt)
{
  struct Case
  {
    const char* name;
    std::vector<double> demands;
    Duration delay;
    double limit;
  };
  const Case cases[] = {
    { "one vm has the demand", { 40, 0, 0, 0, 0, 0, 0, 0, 0 }, 50ms, 15 },
    { "most from one vm", { 34, 5, 5, 3, 3, 2, 0, 0, 0 }, 50ms, 15.5 },
    { "equal", std::vector<double>(9, 10), 50ms, 41 },
    { "small limit", std::vector<double>(9, 5), 50ms, 5.8 },
    { "less than one", std::vector<double>(9, 5), 50ms, 0.4 },
    { "late reports", std::vector<double>(26, 4), 400ms, 15 },
    { "late reports, few vms", { 30, 30, 30 }, 400ms, 8 },
    { "a hundred vms", std::vector<double>(98, 1), 400ms, 15 },
  };
  for (const Case& testCase : cases) {
    SharingVms fleet(testCase.demands, testCase.delay);
    fleet.Run(3s, std::nullopt);
    const TimePoint counted = fleet.now + kSettleTime;
    fleet.Run(30s, testCase.limit);
    const double allowed = 1.5 * testCase.limit * ToSeconds(kWindow) + 5;
    const size_t most = fleet.MostInWindow(counted);
    cr_assert(static_cast<double>(most) <= allowed, "%s: %zu", testCase.name, most);
    const double used = static_cast<double>(fleet.CountSince(counted)) /
                        (ToSeconds(fleet.now - counted) * testCase.limit);
    cr_assert(used >= kLeastUsed, "%s: %.2f of the limit", testCase.name, used);
  }
}

/// Guards against a demand that moves from one VM to another and finds the whole limit claimed.
Test(RateClaim, FollowsTheDemand)
{
  SharingVms fleet({ 40, 0, 0 }, 50ms);
  fleet.Run(10s, 15);
  fleet.vms[0].demand = 0;
  fleet.vms[1].demand = 40;
  fleet.Run(3s, 15);
  const TimePoint from = fleet.now;
  fleet.Run(10s, 15);
  const double used = static_cast<double>(fleet.CountSince(from)) / 150;
  cr_assert(used >= kLeastUsed, "%.2f of the limit", used);
}

/// Guards against a limit that outlives the instance's need: on VMs that get answers without it,
/// and on those that send nothing and so get no answer.
Test(RateClaim, LimitEndsWithTheStatement)
{
  SharingVms fleet({ 40, 2, 0 }, 50ms);
  fleet.Run(10s, 5);
  fleet.Run(5s, std::nullopt);
  const TimePoint from = fleet.now;
  fleet.vms[2].demand = 40;
  fleet.Run(10s, std::nullopt);
  const size_t sent = fleet.CountSince(from);
  cr_assert(sent >= 700, "%zu", sent);
}

} // namespace
