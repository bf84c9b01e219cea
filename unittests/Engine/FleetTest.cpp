#include "Scenario.h"
#include "dragonflymoor/Model/Lists.h"
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <cstdlib>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace dfm;
using namespace dfm::test;

namespace {

struct ScenarioCase
{
  char name[40];
  unsigned faults;
};

/// Checks the invariants for scenarios of random seeds. RC_PARAMS takes precedence, for longer runs
/// with fresh seeds.
bool
Holds(unsigned aFaults)
{
  setenv("RC_PARAMS", "seed=20261204 max_success=6", 0);
  return rc::check("all invariants hold", [aFaults](uint64_t aSeed) {
    const std::vector<std::string> violations = Scenario(aSeed, aFaults).Run();
    for (const std::string& violation : violations)
      RC_LOG(violation);
    RC_ASSERT(violations.empty());
  });
}

} // namespace

ParameterizedTestParameters(Fleet, KeepsAllInvariants)
{
  static ScenarioCase cases[] = {
    { "calm", kNoFault },
    { "kill", kKill },
    { "freeze", kFreeze },
    { "cut", kCut },
    { "store down", kStoreDown },
    { "lost answers", kLostAnswers },
    { "server crash", kServerCrash },
    { "poison", kPoison },
    { "stop", kStop },
    { "edits", kEdits },
    { "flood", kFlood },
    { "abandon", kAbandon },
    { "kill and store down", kKill | kStoreDown },
    { "kill and lost answers", kKill | kLostAnswers },
    { "freeze and lost answers", kFreeze | kLostAnswers },
    { "cut and kill", kCut | kKill },
    { "freeze and flood", kFreeze | kFlood },
    { "edits, store down and kill", kEdits | kStoreDown | kKill },
    { "stop and flood", kStop | kFlood },
    { "poison and kill", kPoison | kKill },
    { "everything",
      kKill | kFreeze | kCut | kStoreDown | kLostAnswers | kServerCrash | kPoison | kStop | kEdits |
        kAbandon },
  };
  return cr_make_param_array(ScenarioCase, cases, sizeof(cases) / sizeof(ScenarioCase));
}

// Guards the eight invariants of the design under each fault alone and under combinations.
ParameterizedTest(ScenarioCase* aCase, Fleet, KeepsAllInvariants)
{
  cr_assert(Holds(aCase->faults), "with faults: %s", aCase->name);
}

// Guards against a fleet that keeps its promises by refusing everything.
Test(Fleet, AnswersEverythingInCalm)
{
  FakeFleet fleet({ .seed = 7 });
  fleet.RunFor(15s);
  for (int i = 0; i < 200; ++i) {
    fleet.Send(static_cast<size_t>(i) % fleet.VmCount(), fleet.Lookup());
    if (i % 4 == 0)
      fleet.Send(static_cast<size_t>(i) % fleet.VmCount(), fleet.Order(fmt::format("calm-{}", i)));
    fleet.RunFor(20ms);
  }
  fleet.RunFor(3s);
  for (const Sent& sent : fleet.Requests()) {
    cr_assert(sent.reply.has_value());
    cr_assert(sent.reply->outcome == Outcome::Answered,
              "%s",
              std::string(ToString(sent.reply->reason)).c_str());
  }
}

// Guards against new work on a leaving server later than 3 s after it was marked, and against a
// drain that cuts requests in flight.
Test(Fleet, DrainedServerGetsNoNewWork)
{
  FakeFleet fleet({ .seed = 8 });
  fleet.RunFor(15s);
  const BackendId target = fleet.Servers().begin()->first;
  const TimePoint marked = fleet.Time();
  const std::string drains =
    SerialiseDrains({ { DrainTarget::BackendServer, target.Value(), fleet.Clock().wall } });
  cr_assert(fleet.Write(ListName::Drains, drains, 1) == 2);
  for (int i = 0; i < 400; ++i) {
    fleet.Send(static_cast<size_t>(i) % fleet.VmCount(), fleet.Lookup());
    fleet.RunFor(20ms);
  }
  fleet.RunFor(1s);
  const FakeServer& server = fleet.Servers().at(target);
  cr_assert(!server.lastStart || *server.lastStart - marked < 3s);
  for (const Sent& sent : fleet.Requests())
    cr_assert(sent.reply && sent.reply->outcome == Outcome::Answered);
}

// Guards against a planned stop that cuts a request or leaves callers with a dead VM.
Test(Fleet, StopCutsNoRequest)
{
  FakeFleet fleet({ .seed = 9 });
  fleet.RunFor(15s);
  bool stopping = false;
  for (int i = 0; i < 500; ++i) {
    if (i == 50) {
      fleet.Stop(0);
      stopping = true;
    }
    // Callers use a cached answer for 2 s after the VM has left the route answers.
    const bool cached = stopping && i < 150;
    const size_t vm = i % 3 == 0 && (!stopping || cached) ? 0 : 1 + static_cast<size_t>(i) % 8;
    fleet.Send(vm, i % 5 == 0 ? fleet.Order(fmt::format("stop-{}", i)) : fleet.Lookup());
    fleet.RunFor(20ms);
  }
  fleet.RunFor(3s);
  cr_assert(fleet.Stopped(0), "the VM did not stop");
  for (const Sent& sent : fleet.Requests()) {
    cr_assert(sent.reply.has_value(), "a request was cut");
    cr_assert(sent.reply->outcome == Outcome::Answered,
              "%s",
              std::string(ToString(sent.reply->reason)).c_str());
  }
}

namespace {

struct CreatedCase
{
  int64_t offsetMinutes;
  Reason reason;
};

} // namespace

ParameterizedTestParameters(Fleet, RefusesKeysOutOfDate)
{
  static CreatedCase cases[] = {
    { 4, Reason::BadRequest },   // More than 2 minutes ahead.
    { -70, Reason::KeyExpired }, // Its record may have been deleted: it could run twice.
  };
  return cr_make_param_array(CreatedCase, cases, sizeof(cases) / sizeof(CreatedCase));
}

// Guards against an order whose claim is already deleted or would outlive its retention.
ParameterizedTest(CreatedCase* aCase, Fleet, RefusesKeysOutOfDate)
{
  FakeFleet fleet({ .seed = 10 });
  fleet.RunFor(15s);
  RequestHead head = fleet.Order("out-of-date");
  head.order->created += std::chrono::minutes(aCase->offsetMinutes);
  const size_t index = fleet.Send(0, head);
  fleet.RunFor(3s);
  const Sent& sent = fleet.Requests()[index];
  cr_assert(sent.reply.has_value());
  cr_assert(sent.reply->outcome == Outcome::Unknown);
  cr_assert(sent.reply->reason == aCase->reason);
  cr_assert(fleet.Runs().empty());
}

// Guards against a request without a deadline of its own that is refused at once.
Test(Fleet, UsesTheDeadlineOfTheServiceByDefault)
{
  FakeFleet fleet({ .seed = 10 });
  fleet.RunFor(15s);
  RequestHead head = fleet.Lookup();
  head.deadline = TimePoint();
  const size_t index = fleet.Send(0, head);
  fleet.RunFor(1s);
  const Sent& sent = fleet.Requests()[index];
  cr_assert(sent.reply && sent.reply->outcome == Outcome::Answered);
}
