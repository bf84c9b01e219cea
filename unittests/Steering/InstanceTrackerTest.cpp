#include "dragonflymoor/Steering/InstanceTracker.h"
#include "DispatcherFixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <deque>

namespace {

using namespace dfm;
using namespace dfm::test;
using Kind = AttemptEndReport::Kind;

constexpr TimePoint kStart{ 100s };

/// A tracker of an instance with aSlots slots and aOwn requests of this VM in flight.
InstanceTracker
MakeTracker(unsigned aSlots, unsigned aOwn)
{
  InstanceTracker tracker({ .id = BackendId("i-1"), .startTimeMs = 1, .slots = aSlots });
  for (unsigned i = 0; i < aOwn; ++i)
    tracker.OnSend(kStart);
  return tracker;
}

/// Guards against requests to an instance that has just stated that it is full, and against a
/// stated load that hides requests of this VM or of others.
Test(InstanceTracker, StatedLoadCorrectsUpwardsOnly)
{
  struct Case
  {
    const char* name;
    unsigned own; ///< In flight when the load is stated, with the answered request.
    unsigned peers;
    StatedLoad load;
    Duration age;
    unsigned startedSince; ///< By this VM.
    int freeSlots;         ///< Of 6.
  };
  const Case cases[] = {
    { "others are there", 1, 1, { .running = 5, .slots = 6 }, 10ms, 0, 1 },
    { "waiting counts", 1, 0, { .running = 6, .waiting = 2, .slots = 6 }, 10ms, 0, -2 },
    { "own starts are added", 2, 0, { .running = 3, .slots = 6 }, 10ms, 2, 1 },
    { "own ones are not hidden", 4, 0, { .running = 0, .slots = 6 }, 10ms, 0, 3 },
    { "reported ones are not hidden", 1, 5, { .running = 0, .slots = 6 }, 10ms, 0, 1 },
    { "too old", 1, 1, { .running = 6, .slots = 6 }, 200ms, 0, 5 },
  };
  for (const Case& testCase : cases) {
    InstanceTracker tracker = MakeTracker(6, testCase.own);
    tracker.SetPeerInFlight(testCase.peers);
    tracker.OnStatedLoad(kStart, testCase.load);
    tracker.OnEnd();
    for (unsigned i = 0; i < testCase.startedSince; ++i)
      tracker.OnSend(kStart);
    const int freeSlots = tracker.FreeSlots(kStart + testCase.age);
    cr_assert(freeSlots == testCase.freeSlots, "%s: %d", testCase.name, freeSlots);
  }
}

/// Guards against an instance that counts as full after it shed a request at random, and against
/// requests to one that shed because it is full.
Test(InstanceTracker, ShedMeansFullUnlessTheStatedLoadSaysOtherwise)
{
  struct Case
  {
    const char* name;
    std::optional<StatedLoad> load;
    bool full;
  };
  const Case cases[] = {
    { "no load stated", {}, true },
    { "free slots", StatedLoad{ .running = 3, .slots = 6 }, false },
    { "no free slot", StatedLoad{ .running = 6, .waiting = 1, .slots = 6 }, true },
  };
  for (const Case& testCase : cases) {
    InstanceTracker tracker = MakeTracker(6, 1);
    if (testCase.load)
      tracker.OnStatedLoad(kStart, *testCase.load);
    tracker.OnEnd();
    tracker.OnFailure(kStart, true);
    const bool full = tracker.FreeSlots(kStart) <= 0;
    cr_assert(full == testCase.full, "%s", testCase.name);
  }
}

/// Guards against all instances counting as degraded when all shed alike, and against a grey
/// instance that counts as good because others fail a little.
Test(InstanceTracker, DegradedIsRelativeToTheUsualShareOfFailures)
{
  struct Case
  {
    unsigned failuresOfTen;
    double usualShare;
    bool degraded;
  };
  for (const Case& testCase : { Case{ 2, 0.2, false },
                                Case{ 3, 0.2, false },
                                Case{ 4, 0, true },
                                Case{ 7, 0.2, true },
                                Case{ 10, 0.95, true } }) {
    InstanceTracker tracker = MakeTracker(6, 1);
    for (unsigned i = 0; i < 100; ++i) {
      if (i * testCase.failuresOfTen % 10 < testCase.failuresOfTen)
        tracker.OnFailure(kStart, false);
      else
        tracker.OnSuccess(kStart, 50ms);
    }
    const bool degraded = tracker.IsDegraded(kStart, 50ms, testCase.usualShare);
    cr_assert(degraded == testCase.degraded, "%u, %g", testCase.failuresOfTen, testCase.usualShare);
  }
}

/// Guards against requests that wait although slots are free, when all instances shed a fifth of
/// their requests at random: each shed made its instance count as full.
Test(InstanceTracker, RequestsStartAtOnceWhenAllInstancesShedAtRandom)
{
  DispatcherFixture fixture;
  std::vector<InstanceText> instances;
  for (const char* id : { "i-1", "i-2", "i-3", "i-4" })
    instances.push_back({ .id = id, .slots = 16 });
  fixture.SetFleet(instances);
  Random random(7);
  std::deque<std::pair<TimePoint, Ticket>> running; // In order of their starts.
  for (unsigned i = 0; i < 1000; ++i) {
    const Ticket ticket = fixture.Submit({}, random.Next());
    cr_assert(fixture.running.contains(ticket), "request %u waits", i);
    running.emplace_back(fixture.now, ticket);
    fixture.Advance(10ms);
    while (fixture.now - running.front().first >= 50ms) {
      const Ticket ended = running.front().second;
      running.pop_front();
      const bool shed = random.Next() % 5 == 0;
      const bool isNew = fixture.dispatcher.OnInstanceStatement(
        fixture.now,
        { .instance = fixture.running.at(ended).instance, .startTimeMs = 1 },
        { .load = StatedLoad{ .running = i % 3, .slots = 16 } });
      cr_assert(not isNew, "a load that changes is logged with each answer");
      const Verdict verdict =
        fixture.End(ended, shed ? Kind::NotExecuted : Kind::Answered, shed ? 503 : 200);
      if (verdict != Verdict::Retry)
        continue;
      cr_assert(fixture.running.contains(ended), "a retry waits");
      running.emplace_back(fixture.now, ended);
    }
  }
}

/// Guards against limits that act although they are off, that outlast the run of the instance, or
/// that take an object that was sent long ago for warm.
Test(InstanceTracker, LimitsSlowInstancesWhenAsked)
{
  for (const bool adaptive : { false, true }) {
    const Instance run{ .id = BackendId("i-1"), .startTimeMs = 1, .slots = 6 };
    InstanceTracker tracker(run, adaptive);
    cr_assert(tracker.FreeSlots(kStart) == 6);
    tracker.OnStatedLoad(kStart, { .running = 0, .slots = 6, .slowness = 3 });
    const unsigned limit = adaptive ? 2 : 6;
    cr_assert(tracker.LimitAt(kStart) == limit && tracker.ServableSlots(kStart) == limit);
    cr_assert(tracker.FreeSlots(kStart) == static_cast<int>(limit));
    cr_assert(not tracker.OnObjectSent(kStart, 7));
    const bool warm = tracker.OnObjectSent(kStart + 1s, 7);
    cr_assert(warm == adaptive);
    cr_assert(not tracker.OnObjectSent(kStart + 9s, 7));
    Instance next = run;
    next.startTimeMs = 2;
    tracker.SetSpec(next);
    cr_assert(tracker.LimitAt(kStart) == 6);
    tracker.OnStatedLoad(kStart, { .running = 0, .slots = 6, .slowness = 3 });
    cr_assert(tracker.LimitAt(kStart) == limit);
  }
}

/// Guards against a setting that has no effect on the requests, or acts although it is off.
Test(InstanceTracker, LimitsHoldForRequests)
{
  for (const bool adaptive : { false, true }) {
    DispatcherFixture fixture(100, 1, 0, adaptive);
    fixture.SetFleet({ { .id = "i-1", .slots = 6 } });
    fixture.dispatcher.OnInstanceStatement(
      fixture.now,
      { .instance = BackendId("i-1"), .startTimeMs = 1 },
      { .load = StatedLoad{ .running = 0, .slots = 6, .slowness = 3 } });
    for (uint64_t key = 0; key < 8; ++key)
      fixture.Submit({}, key);
    const LimitFigures figures = fixture.dispatcher.ReadLimits(fixture.now);
    const LimitFigures expected =
      adaptive ? LimitFigures{ .instances = 1, .slots = 4 } : LimitFigures{};
    cr_assert(fixture.running.size() == (adaptive ? 2U : 6U) && figures == expected);
    cr_assert(fixture.started.back().limit == (adaptive ? 2U : 6U));
  }
}

} // namespace
