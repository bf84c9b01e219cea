#include "dragonflymoor/Recovery/CrashRegistry.h"
#include "dragonflymoor/Recovery/HedgePolicy.h"
#include "dragonflymoor/Recovery/RetryPolicy.h"
#include "dragonflymoor/Support/Random.h"
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace dfm;

namespace {

// Fixed for CI; the environment variable RC_PARAMS takes precedence.
constexpr const char* kRapidcheckParameters = "seed=20261204 max_success=500 max_size=200";

const ServiceId kService("lookup");

struct RetryCase
{
  AttemptEnd end;
  bool idempotent;
  bool mayHaveRun;
  bool otherServerAvailable;
  bool blocked;
  uint32_t freeTries;
  uint32_t budgetTries;
  int millisecondsLeft;
  RetryAction action;
  Outcome outcome;
  Reason reason;
};

/// What one VM knows of one fingerprint: the plain definition of section 8.
struct KnownCrashes
{
  uint32_t crashes = 0;
  TimePoint last;
  TimePoint blockedUntil;

  bool Blocked(TimePoint aNow) const { return aNow < blockedUntil; }
  void Count(TimePoint aNow)
  {
    if (Blocked(aNow))
      return;
    if (aNow >= last + 10min)
      crashes = 0;
    last = aNow;
    if (++crashes < 2)
      return;
    crashes = 0;
    blockedUntil = aNow + 10min;
  }
};

struct CrashCommand
{
  uint32_t kind = 0;
  uint32_t vm = 0;
  uint64_t fingerprint = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const CrashCommand& aCommand)
{
  return aOut << aCommand.kind << '(' << aCommand.vm << ',' << aCommand.fingerprint << ')';
}

} // namespace

ParameterizedTestParameters(RetryPolicy, Decisions)
{
  using enum AttemptEnd;
  using enum RetryAction;
  static RetryCase cases[] = {
    { Answered, false, false, true, false, 0, 0, 100, Accept, Outcome::Answered, Reason::None },
    { Failed, true, false, true, false, 0, 0, 100, Retry, Outcome::Unknown, Reason::ServerFailed },
    { Failed,
      false,
      false,
      true,
      false,
      0,
      0,
      100,
      GiveUp,
      Outcome::Unknown,
      Reason::ServerFailed },
    { Crashed,
      true,
      false,
      true,
      true,
      0,
      0,
      100,
      GiveUp,
      Outcome::Unknown,
      Reason::CrashQuarantine },
    { Shed, false, false, true, false, 0, 0, 100, Retry, Outcome::Unknown, Reason::ServerShed },
    { Shed, false, true, true, false, 0, 0, 100, GiveUp, Outcome::Unknown, Reason::ServerShed },
    { Shed, true, false, true, false, 3, 0, 100, GiveUp, Outcome::NotRun, Reason::ServerShed },
    { Shed, true, true, false, false, 0, 0, 100, GiveUp, Outcome::Unknown, Reason::ServerShed },
    { ConnectFailed,
      true,
      false,
      true,
      false,
      0,
      0,
      10,
      GiveUp,
      Outcome::NotRun,
      Reason::DeadlineExceeded },
    { Failed, true, false, true, false, 0, 2, 100, GiveUp, Outcome::Unknown, Reason::ServerFailed },
    { TimedOut,
      true,
      false,
      true,
      false,
      0,
      0,
      100,
      GiveUp,
      Outcome::Unknown,
      Reason::ServerTimeout },
  };
  return cr_make_param_array(RetryCase, cases, sizeof(cases) / sizeof(RetryCase));
}

// Guards against a repeated order, a retry without time or servers, and a false outcome NotRun.
ParameterizedTest(RetryCase* aCase, RetryPolicy, Decisions)
{
  RetryBudget budget;
  RetryPolicy policy({}, budget);
  const RetryFacts facts{ .service = kService,
                          .idempotent = aCase->idempotent,
                          .deadline = TimePoint(Duration(1ms) * aCase->millisecondsLeft),
                          .expectedTime = 20ms,
                          .freeTries = aCase->freeTries,
                          .budgetTries = aCase->budgetTries,
                          .otherServerAvailable = aCase->otherServerAvailable,
                          .fingerprintBlocked = aCase->blocked,
                          .mayHaveRun = aCase->mayHaveRun };
  const RetryDecision decision = policy.DecideAfterAttempt(TimePoint(), aCase->end, facts);
  cr_assert(decision.action == aCase->action && decision.outcome == aCase->outcome);
  cr_assert(decision.reason == aCase->reason, "%s", ToString(decision.reason).data());
}

// Guards against retries that multiply an overload: additional attempts stay within 10 % and the
// burst, whatever fails, and a request that may have run is repeated only when it is idempotent.
Test(RetryPolicy, KeepsItsBudget)
{
  setenv("RC_PARAMS", kRapidcheckParameters, 0);
  cr_assert(rc::check([](uint64_t aSeed) {
    Random random(aSeed);
    RetryBudget budget;
    RetryPolicy policy({}, budget);
    const size_t requests = *rc::gen::inRange<size_t>(1, 400);
    size_t additional = 0;
    for (size_t i = 0; i < requests; ++i) {
      budget.OnRequest(kService);
      RetryFacts facts{ .service = kService,
                        .idempotent = random.Below(2) == 0,
                        .deadline = TimePoint(1s) };
      RetryDecision decision;
      do {
        facts.otherServerAvailable = random.Below(10) > 0;
        const auto end = static_cast<AttemptEnd>(random.Below(7));
        decision = policy.DecideAfterAttempt(TimePoint(), end, facts);
        facts.mayHaveRun = facts.mayHaveRun || !CertainlyNotRun(end);
        if (decision.action != RetryAction::Retry) {
          RC_ASSERT(decision.outcome != Outcome::NotRun || !facts.mayHaveRun);
          break;
        }
        RC_ASSERT(facts.idempotent || !facts.mayHaveRun);
        additional += decision.usedBudget ? 1 : 0;
        (decision.usedBudget ? facts.budgetTries : facts.freeTries) += 1;
      } while (true);
    }
    RC_ASSERT(static_cast<double>(additional) <= 10 + 0.1 * static_cast<double>(requests));
  }));
}

// Guards against a fingerprint that reaches a third server after two crashes that the VM knows, and
// against a block without two different crashes, with delayed and repeated reports.
Test(CrashRegistry, BlocksExactlyAfterTwoKnownCrashes)
{
  setenv("RC_PARAMS", kRapidcheckParameters, 0);
  const auto anyCommand = rc::gen::build<CrashCommand>(
    rc::gen::set(&CrashCommand::kind, rc::gen::inRange<uint32_t>(0, 10)),
    rc::gen::set(&CrashCommand::vm, rc::gen::inRange<uint32_t>(0, 3)),
    rc::gen::set(&CrashCommand::fingerprint, rc::gen::inRange<uint64_t>(0, 8)));
  size_t blocked = 0;
  cr_assert(rc::check([&] {
    const auto commands = *rc::gen::container<std::vector<CrashCommand>>(anyCommand);
    // Fingerprints below this one crash the server that runs them.
    constexpr uint64_t kGood = 5;
    const WorkspaceId workspace("w");
    std::vector<CrashRegistry> vms;
    for (uint64_t i = 0; i < 3; ++i)
      vms.emplace_back(CrashRegistryOptions{}, i << 32U);
    std::map<std::pair<uint32_t, uint64_t>, KnownCrashes> known;
    std::set<std::pair<uint32_t, uint64_t>> counted;
    std::vector<CrashReport> reports;
    TimePoint now;
    for (const CrashCommand& command : commands) {
      now += Duration(1ms);
      CrashRegistry& vm = vms[command.vm];
      const std::pair at(command.vm, command.fingerprint);
      if (command.kind == 0) {
        now += 1min * static_cast<int>(command.fingerprint);
      } else if (command.kind <= 4 && !reports.empty()) {
        const CrashReport& report = reports[command.fingerprint % reports.size()];
        vm.OnReport(now, report);
        if (counted.emplace(command.vm, report.reportId).second)
          known[{ command.vm, report.fingerprint }].Count(now);
      } else {
        const bool isBlocked = vm.IsBlocked(now, workspace, command.fingerprint);
        RC_ASSERT(isBlocked == known[at].Blocked(now));
        RC_ASSERT(command.fingerprint < kGood || !isBlocked);
        blocked += isBlocked ? 1 : 0;
        if (isBlocked || command.fingerprint >= kGood)
          continue;
        reports.push_back(vm.OnCrash(now, workspace, command.fingerprint));
        counted.emplace(command.vm, reports.back().reportId);
        known[at].Count(now);
      }
    }
  }));
  cr_assert(blocked > 0);
}

// Guards against a workspace whose whole traffic is blocked, and against unbounded memory.
Test(CrashRegistry, BlocksAtMostSixtyFourAndTheOldestGo)
{
  CrashRegistry registry({}, 1);
  const WorkspaceId workspace("w");
  for (uint64_t fingerprint = 0; fingerprint < 1000; ++fingerprint) {
    registry.OnCrash(TimePoint(1ms * fingerprint), workspace, fingerprint);
    registry.OnCrash(TimePoint(1ms * fingerprint), workspace, fingerprint);
  }
  const TimePoint now(1s);
  cr_assert(registry.BlockedCount(now, workspace) == 64);
  cr_assert(!registry.IsBlocked(now, workspace, 935) && registry.IsBlocked(now, workspace, 936));
  cr_assert(!registry.IsBlocked(now, WorkspaceId("other"), 999));
}

// Guards against second attempts beyond the budget, for requests that must not run twice, and
// against a slower attempt that keeps its slot.
Test(HedgePolicy, StartsSecondAttemptsWithinTheBudget)
{
  RetryBudget budget;
  std::vector<RequestId> seconds;
  std::vector<AttemptId> cancelled;
  HedgePolicy policy({},
                     { .startHedge =
                         [&](RequestId aRequest) {
                           seconds.push_back(aRequest);
                           return std::optional(AttemptId{ 10'000 + aRequest.value });
                         },
                       .cancelAttempt = [&](AttemptId aId) { cancelled.push_back(aId); } },
                     budget);
  const PoolId pool{ kService, FailureDomainId("fd") };
  const TimePoint deadline(10s);
  for (uint64_t i = 1; i <= 100; ++i) {
    policy.OnAttemptStarted(
      TimePoint(), RequestId{ i }, AttemptId{ i }, pool, Rank::Normal, true, deadline);
    policy.OnAttemptEnded(TimePoint(), AttemptId{ i }, AttemptEnd::Answered, Duration(1ms) * i);
  }
  cr_assert(policy.HedgeDelay(pool) >= 90ms && policy.HedgeDelay(pool) <= 96ms);
  for (uint64_t i = 200; i < 230; ++i) {
    policy.OnAttemptStarted(
      TimePoint(), RequestId{ i }, AttemptId{ i }, pool, Rank::Urgent, i % 2 == 0, deadline);
  }
  policy.OnTick(TimePoint(80ms));
  cr_assert(seconds.empty());
  policy.OnTick(TimePoint(100ms));
  cr_assert(seconds.size() == 10, "%zu second attempts", seconds.size());
  for (const RequestId request : seconds)
    cr_assert(request.value % 2 == 0);
  cr_assert(policy.OnAttemptEnded(TimePoint(), AttemptId{ 200 }, AttemptEnd::Failed, 1ms) ==
            HedgeEnd::OtherAttemptRunning);
  cr_assert(policy.OnAttemptEnded(TimePoint(), AttemptId{ 10'200 }, AttemptEnd::Answered, 1ms) ==
            HedgeEnd::LastAttempt);
  cr_assert(policy.OnAttemptEnded(TimePoint(), AttemptId{ 10'202 }, AttemptEnd::Answered, 1ms) ==
            HedgeEnd::Won);
  cr_assert(cancelled == std::vector{ AttemptId{ 202 } });
  cr_assert(policy.OnAttemptEnded(TimePoint(), AttemptId{ 202 }, AttemptEnd::Answered, 1ms) ==
            HedgeEnd::Superseded);
}
