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
  bool fingerprintBlocked;
  uint32_t freeTries;
  uint32_t budgetTries;
  int millisecondsLeft;
  RetryAction action;
  Outcome outcome;
  Reason reason;
};

/// Reference model of what one VM knows of one fingerprint, after section 8 of the design: two
/// crashes less than 10 min apart block the fingerprint for 10 min.
struct ReferenceCrashModel
{
  uint32_t crashes = 0;
  TimePoint lastCrashAt;
  TimePoint blockedUntil;

  bool IsBlocked(TimePoint aNow) const { return aNow < blockedUntil; }
  void RecordCrash(TimePoint aNow)
  {
    if (IsBlocked(aNow))
      return;
    if (aNow >= lastCrashAt + 10min)
      crashes = 0;
    lastCrashAt = aNow;
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

// Guards against a repeated request that is not idempotent, a retry without time or servers, and a
// false outcome NotRun.
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
                          .fingerprintBlocked = aCase->fingerprintBlocked,
                          .mayHaveRun = aCase->mayHaveRun };
  const RetryDecision decision = policy.DecideAfterAttempt(TimePoint(), aCase->end, facts);
  cr_assert(decision.action == aCase->action && decision.outcome == aCase->outcome);
  cr_assert(decision.reason == aCase->reason, "%s", ToString(decision.reason).data());
}

// Guards against retries that amplify an overload. Budget tries must stay within 10 % of the
// requests plus the burst of 10, whatever fails, and a request that may have run is repeated only
// when it is idempotent.
Test(RetryPolicy, RetriesStayWithinTheBudget)
{
  setenv("RC_PARAMS", kRapidcheckParameters, 0);
  cr_assert(rc::check([](uint64_t aSeed) {
    Random random(aSeed);
    RetryBudget budget;
    RetryPolicy policy({}, budget);
    const size_t requests = *rc::gen::inRange<size_t>(1, 400);
    size_t budgetTryCount = 0;
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
        budgetTryCount += decision.usedBudget ? 1 : 0;
        (decision.usedBudget ? facts.budgetTries : facts.freeTries) += 1;
      } while (true);
    }
    RC_ASSERT(static_cast<double>(budgetTryCount) <= 10 + 0.1 * static_cast<double>(requests));
  }));
}

// Guards against a fingerprint that reaches a third server although the VM knows of two crashes,
// and against a fingerprint that is blocked without two different crashes. Reports arrive late and
// more than once.
Test(CrashRegistry, BlocksExactlyAfterTwoKnownCrashes)
{
  setenv("RC_PARAMS", kRapidcheckParameters, 0);
  const auto anyCommand = rc::gen::build<CrashCommand>(
    rc::gen::set(&CrashCommand::kind, rc::gen::inRange<uint32_t>(0, 10)),
    rc::gen::set(&CrashCommand::vm, rc::gen::inRange<uint32_t>(0, 3)),
    rc::gen::set(&CrashCommand::fingerprint, rc::gen::inRange<uint64_t>(0, 8)));
  size_t blockedCount = 0;
  cr_assert(rc::check([&] {
    const auto commands = *rc::gen::container<std::vector<CrashCommand>>(anyCommand);
    // Requests with a lower fingerprint crash the server that runs them.
    constexpr uint64_t kFirstHarmlessFingerprint = 5;
    const WorkspaceId workspace("w");
    std::vector<CrashRegistry> vms;
    for (uint64_t i = 0; i < 3; ++i)
      vms.emplace_back(CrashRegistryOptions{}, i << 32U);
    std::map<std::pair<uint32_t, uint64_t>, ReferenceCrashModel> referenceModels;
    std::set<std::pair<uint32_t, uint64_t>> receivedReports;
    std::vector<CrashReport> reports;
    TimePoint now;
    for (const CrashCommand& command : commands) {
      now += Duration(1ms);
      CrashRegistry& vm = vms[command.vm];
      const std::pair modelKey(command.vm, command.fingerprint);
      if (command.kind == 0) {
        now += 1min * static_cast<int>(command.fingerprint);
      } else if (command.kind <= 4 && !reports.empty()) {
        const CrashReport& report = reports[command.fingerprint % reports.size()];
        vm.OnReport(now, report);
        if (receivedReports.emplace(command.vm, report.reportId).second)
          referenceModels[{ command.vm, report.fingerprint }].RecordCrash(now);
      } else {
        const bool isBlocked = vm.IsBlocked(now, workspace, command.fingerprint);
        RC_ASSERT(isBlocked == referenceModels[modelKey].IsBlocked(now));
        RC_ASSERT(command.fingerprint < kFirstHarmlessFingerprint || !isBlocked);
        blockedCount += isBlocked ? 1 : 0;
        if (isBlocked || command.fingerprint >= kFirstHarmlessFingerprint)
          continue;
        reports.push_back(vm.OnCrash(now, workspace, command.fingerprint));
        receivedReports.emplace(command.vm, reports.back().reportId);
        referenceModels[modelKey].RecordCrash(now);
      }
    }
  }));
  cr_assert(blockedCount > 0);
}

// Guards against a workspace whose whole traffic is blocked, and against unbounded memory use: at
// most 64 fingerprints of a workspace are blocked, and the oldest blocks are dropped.
Test(CrashRegistry, BlocksAtMost64FingerprintsAndDropsTheOldest)
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

// Guards against second attempts beyond the budget or for requests that must not run twice, and
// against a slower attempt that keeps its slot because it is not cancelled.
Test(HedgePolicy, StartsSecondAttemptsWithinTheBudget)
{
  RetryBudget budget;
  std::vector<RequestId> hedgedRequests;
  std::vector<AttemptId> cancelled;
  HedgePolicy policy({},
                     { .startHedge =
                         [&](RequestId aRequest) {
                           hedgedRequests.push_back(aRequest);
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
  cr_assert(hedgedRequests.empty());
  policy.OnTick(TimePoint(100ms));
  cr_assert(hedgedRequests.size() == 10, "%zu second attempts", hedgedRequests.size());
  for (const RequestId request : hedgedRequests)
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
