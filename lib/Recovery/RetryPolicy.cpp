#include "dragonflymoor/Recovery/RetryPolicy.h"

namespace dfm {

bool
CertainlyNotRun(AttemptEnd aEnd)
{
  return aEnd == AttemptEnd::ConnectFailed || aEnd == AttemptEnd::Shed;
}

Reason
ReasonOf(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::Answered:
      return Reason::None;
    case AttemptEnd::ConnectFailed:
      return Reason::ConnectFailed;
    case AttemptEnd::Shed:
      return Reason::ServerShed;
    case AttemptEnd::Failed:
      return Reason::ServerFailed;
    case AttemptEnd::Crashed:
      return Reason::ServerCrashed;
    case AttemptEnd::TimedOut:
      return Reason::ServerTimeout;
    case AttemptEnd::Cancelled:
      return Reason::CallerGone;
  }
  return Reason::ServerFailed;
}

namespace {

/// Whether another pool may accept a request that a pool owner refused with this reason.
bool
MayTryElsewhere(Reason aReason)
{
  switch (aReason) {
    case Reason::NotOwner:
    case Reason::NotReady:
    case Reason::Stopping:
    case Reason::QueueFull:
    case Reason::NoServer:
    case Reason::ServerShed:
    case Reason::ConnectFailed:
    case Reason::PeerUnreachable:
    case Reason::RegionBusy:
    case Reason::LinkBudget:
    case Reason::PauseDetected:
      return true;
    default:
      return false;
  }
}

/// Whether a pool owner's reason means that an attempt of an idempotent request failed there.
bool
IsServerFailure(Reason aReason)
{
  switch (aReason) {
    case Reason::ServerFailed:
    case Reason::ServerCrashed:
    case Reason::TruncatedAnswer:
    case Reason::PeerFailed:
      return true;
    default:
      return false;
  }
}

RetryDecision
GiveUp(bool aMayHaveRun, Reason aReason)
{
  return RetryDecision{ .action = RetryAction::GiveUp,
                        .usedBudget = false,
                        .outcome = aMayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                        .reason = aReason };
}

} // namespace

RetryPolicy::RetryPolicy(RetryPolicyOptions aOptions, RetryBudget& aBudget)
  : options_(aOptions)
  , budget_(aBudget)
{
}

RetryDecision
RetryPolicy::DecideAfterAttempt(TimePoint aNow, AttemptEnd aEnd, const RetryFacts& aFacts)
{
  if (aEnd == AttemptEnd::Answered) {
    return RetryDecision{ .action = RetryAction::Accept,
                          .usedBudget = false,
                          .outcome = Outcome::Answered,
                          .reason = Reason::None };
  }
  // After a timeout no time is left for a retry; nobody waits for the answer of a cancelled
  // attempt.
  if (aEnd == AttemptEnd::TimedOut || aEnd == AttemptEnd::Cancelled)
    return GiveUp(true, ReasonOf(aEnd));
  return DecideAfterFailure(aNow, CertainlyNotRun(aEnd), ReasonOf(aEnd), aFacts);
}

RetryDecision
RetryPolicy::DecideAfterForward(TimePoint aNow,
                                Outcome aOutcome,
                                Reason aReason,
                                const RetryFacts& aFacts)
{
  if (aOutcome == Outcome::Answered)
    return DecideAfterAttempt(aNow, AttemptEnd::Answered, aFacts);
  const bool notRun = aOutcome == Outcome::NotRun;
  if (notRun ? !MayTryElsewhere(aReason) : !IsServerFailure(aReason))
    return GiveUp(!notRun || aFacts.mayHaveRun, aReason);
  return DecideAfterFailure(aNow, notRun, aReason, aFacts);
}

RetryDecision
RetryPolicy::DecideAfterFailure(TimePoint aNow,
                                bool aCertainlyNotRun,
                                Reason aReason,
                                const RetryFacts& aFacts)
{
  const bool mayHaveRun = aFacts.mayHaveRun || !aCertainlyNotRun;
  if (mayHaveRun && !aFacts.idempotent)
    return GiveUp(true, aReason);
  // The fingerprint has crashed servers; this reason tells the caller that repeating it is useless.
  if (aFacts.fingerprintBlocked)
    return GiveUp(mayHaveRun, Reason::CrashQuarantine);
  if (!aFacts.otherServerAvailable)
    return GiveUp(mayHaveRun, aReason);
  if (aNow + aFacts.expectedTime > aFacts.deadline)
    return GiveUp(mayHaveRun, Reason::DeadlineExceeded);
  const bool hasTriesLeft = aCertainlyNotRun ? aFacts.freeTries < options_.maxFreeTries
                                             : aFacts.budgetTries < options_.maxBudgetTries;
  if (!hasTriesLeft)
    return GiveUp(mayHaveRun, aReason);
  if (!aCertainlyNotRun && !budget_.TryTakeAttempt(aFacts.service))
    return GiveUp(mayHaveRun, Reason::RetryBudget);
  return RetryDecision{ .action = RetryAction::Retry,
                        .usedBudget = !aCertainlyNotRun,
                        .outcome = Outcome::Unknown,
                        .reason = aReason };
}

} // namespace dfm
