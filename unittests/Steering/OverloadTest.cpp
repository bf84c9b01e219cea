#include "DispatcherFixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

namespace {

using namespace dfm;
using namespace dfm::test;

constexpr Duration kStep = 10ms;
constexpr Duration kRunTime = 50ms;
constexpr unsigned kInstances = 4;
constexpr unsigned kSlots = 2;

/// Until the deadline of a request.
constexpr Duration kTimeLeft = 9s;

/// Longest time that a request waits for a slot: half of its goal.
constexpr Duration kMaxWait = 100ms;

/// Requests that the instances can serve in a second.
constexpr double kCapacity = kInstances * kSlots / 0.05;

/// Load on one service over time. Each refused caller comes back once, when it is told to.
struct LoadPattern
{
  const char* name;
  double urgentPerSecond;
  double bulkPerSecond;
  double burstFactor; ///< Of the load between 2 s and 3 s.
};

struct ReplayResult
{
  size_t urgent = 0;
  size_t urgentServed = 0;
  size_t bulk = 0;
  size_t bulkServed = 0;
  size_t refused = 0;      ///< At the first try.
  size_t refusedAgain = 0; ///< At the second.
  size_t refusedEarly = 0; ///< At the first try, within three quarters of the waiting time.

  bool operator==(const ReplayResult&) const = default;
};

/// Replays a load pattern on a dispatcher in virtual time.
class Replay
{
public:
  explicit Replay(const LoadPattern& aPattern)
    : pattern_(aPattern)
  {
    std::vector<InstanceText> instances;
    for (unsigned i = 0; i < kInstances; ++i)
      instances.push_back({ .id = "i-" + std::to_string(i), .slots = kSlots });
    fixture_.SetFleet(instances);
  }

  ReplayResult Run(Duration aLength)
  {
    const TimePoint start = fixture_.now;
    double urgentDue = 0;
    double bulkDue = 0;
    while (fixture_.now < start + aLength) {
      const Duration elapsed = fixture_.now - start;
      const double factor = elapsed >= 2s && elapsed < 3s ? pattern_.burstFactor : 1;
      urgentDue += factor * pattern_.urgentPerSecond * ToSeconds(kStep);
      bulkDue += factor * pattern_.bulkPerSecond * ToSeconds(kStep);
      for (; urgentDue >= 1; --urgentDue)
        Send({ .priority = 0, .again = false });
      for (; bulkDue >= 1; --bulkDue)
        Send({ .priority = 1, .again = false });
      EndRuns();
      const auto returning = returns_.upper_bound(fixture_.now);
      for (auto it = returns_.begin(); it != returning; ++it)
        Send({ .priority = it->second, .again = true });
      returns_.erase(returns_.begin(), returning);
      fixture_.Advance(kStep);
      RecordRefusals();
    }
    return result_;
  }

private:
  struct Caller
  {
    unsigned priority = 0;
    bool again = false;
  };

  void Send(const Caller& aCaller)
  {
    if (!aCaller.again)
      ++(aCaller.priority == 0 ? result_.urgent : result_.bulk);
    const Ticket ticket =
      fixture_.Submit({ .priority = aCaller.priority, .timeLeft = kTimeLeft }, nextKey_++);
    callers_[ticket] = aCaller;
    RecordRefusals();
  }

  void EndRuns()
  {
    for (; nextStarted_ < fixture_.started.size(); ++nextStarted_)
      ends_.emplace(fixture_.now + kRunTime, fixture_.started[nextStarted_].ticket);
    while (!ends_.empty() && ends_.begin()->first <= fixture_.now) {
      const Ticket ticket = ends_.begin()->second;
      ends_.erase(ends_.begin());
      fixture_.End(ticket, AttemptEndReport::Kind::Answered, 200);
      ++(callers_.at(ticket).priority == 0 ? result_.urgentServed : result_.bulkServed);
    }
  }

  void RecordRefusals()
  {
    for (const auto& [ticket, refusal] : fixture_.refused) {
      const Caller& caller = callers_.at(ticket);
      if (!caller.again && refusal.waited < kMaxWait * 3 / 4)
        ++result_.refusedEarly;
      ++(caller.again ? result_.refusedAgain : result_.refused);
      if (!caller.again)
        returns_.emplace(fixture_.now + refusal.retryAfter, caller.priority);
    }
    fixture_.refused.clear();
  }

  LoadPattern pattern_;
  DispatcherFixture fixture_;
  ReplayResult result_;
  std::map<Ticket, Caller> callers_;
  std::multimap<TimePoint, Ticket> ends_;
  std::multimap<TimePoint, unsigned> returns_; ///< Priorities of the callers by return time.
  size_t nextStarted_ = 0;
  uint64_t nextKey_ = 1;
};

/// Guards against callers that are refused in a burst, are told to come back in the midst of it and
/// are refused again although the instances are idle soon after.
Test(Overload, CallersRefusedInABurstAreServedAfterIt)
{
  const LoadPattern burst{
    .name = "burst", .urgentPerSecond = 0.3 * kCapacity, .bulkPerSecond = 0, .burstFactor = 6
  };
  const ReplayResult result = Replay(burst).Run(8s);
  cr_assert(result.refused > 100);
  cr_assert(
    result.refusedAgain * 5 < result.refused, "%zu of %zu", result.refusedAgain, result.refused);
}

/// Guards against times to come back that are too short to outlast a burst, or so long that no
/// caller is served within its goal although waiting does not help.
Test(Overload, TheTimeToComeBackFollowsTheOverload)
{
  struct Case
  {
    const char* name;
    double startsPerSecond;
    double refusalsPerSecond;
    Duration lasting; ///< How long the load has been like this.
    Duration minDelay;
    Duration maxDelay;
  };
  const Case cases[] = {
    { "slight", 100, 2, 1s, 150ms, 450ms },
    { "new", 50, 100, 500ms, 1500ms, 3s },
    { "lasting", 50, 100, 10s, 150ms, 400ms },
    { "nothing starts", 0, 20, 1s, 1500ms, 3s },
  };
  for (const Case& testCase : cases) {
    ReturnSchedule schedule({});
    Random random(1);
    TimePoint now{ 100s };
    const TimePoint end = now + testCase.lasting;
    double starts = 0;
    double refusals = 0;
    for (; now < end; now += kStep) {
      starts += testCase.startsPerSecond * ToSeconds(kStep);
      refusals += testCase.refusalsPerSecond * ToSeconds(kStep);
      for (; starts >= 1; --starts)
        schedule.OnStart(now);
      for (; refusals >= 1; --refusals)
        schedule.OnRefusal(now, 0, kTimeLeft, random);
    }
    const Duration delay = schedule.OnRefusal(now, 0, kTimeLeft, random);
    cr_assert(delay >= testCase.minDelay && delay <= testCase.maxDelay,
              "%s: %f s",
              testCase.name,
              ToSeconds(delay));
  }
}

/// Guards against bulk requests that take slots, or times to come back, from urgent ones.
Test(Overload, UrgentRequestsAreServedInAFloodOfBulk)
{
  const LoadPattern flood{ .name = "flood of bulk",
                           .urgentPerSecond = 0.4 * kCapacity,
                           .bulkPerSecond = 2 * kCapacity,
                           .burstFactor = 1 };
  const ReplayResult result = Replay(flood).Run(6s);
  cr_assert(result.urgentServed * 100 >= result.urgent * 95,
            "%zu of %zu",
            result.urgentServed,
            result.urgent);
  cr_assert(result.bulkServed > 0);
}

/// Guards against requests that wait for their whole waiting time although the queue before them
/// cannot be served within it.
Test(Overload, HopelessRequestsAreRefusedEarly)
{
  const LoadPattern overload{
    .name = "overload", .urgentPerSecond = 3 * kCapacity, .bulkPerSecond = 0, .burstFactor = 1
  };
  const ReplayResult result = Replay(overload).Run(5s);
  cr_assert(result.refused * 2 > result.urgent);
  cr_assert(
    result.refusedEarly * 2 > result.refused, "%zu of %zu", result.refusedEarly, result.refused);
}

/// Guards against refusals while instances are idle.
Test(Overload, NothingIsRefusedBelowCapacity)
{
  const LoadPattern steady{ .name = "steady",
                            .urgentPerSecond = 0.35 * kCapacity,
                            .bulkPerSecond = 0.15 * kCapacity,
                            .burstFactor = 1 };
  const ReplayResult result = Replay(steady).Run(5s);
  cr_assert(result.refused == 0);
  cr_assert(result.urgentServed + 10 > result.urgent);
}

} // namespace
