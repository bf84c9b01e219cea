#ifndef DRAGONFLYMOOR_RECOVERY_RETRYPOLICY_H
#define DRAGONFLYMOOR_RECOVERY_RETRYPOLICY_H

#include "dragonflymoor/Model/Request.h"
#include "dragonflymoor/Recovery/RetryBudget.h"
#include "dragonflymoor/Support/Time.h"
#include <compare>
#include <cstdint>
#include <vector>

namespace dfm {

struct RetryPolicyOptions
{
  /// Maximum number of free tries of a request: retries after attempts that certainly did not run
  /// it. They do not use the retry budget.
  uint32_t maxFreeTries = 3;
  /// Maximum number of budget tries of a request: retries after attempts that may have run it,
  /// taken from the retry budget. Two crashes block a fingerprint, so a third attempt of this kind
  /// is rarely useful.
  uint32_t maxBudgetTries = 2;
};

/// State of a request at the end of one of its attempts, as input of the retry decision.
struct RetryFacts
{
  ServiceId service;
  bool idempotent = true;
  TimePoint deadline;
  Duration expectedTime{}; ///< Usual time of one attempt, including the network time to the server.
  uint32_t freeTries = 0;  ///< Free tries so far.
  uint32_t budgetTries = 0;          ///< Budget tries so far.
  bool otherServerAvailable = false; ///< A server that the request has not tried can take it.
  bool fingerprintBlocked = false;   ///< CrashRegistry blocks the fingerprint.
  bool mayHaveRun = false;           ///< An earlier attempt may have run the request.

  auto operator<=>(const RetryFacts&) const = default;
};

enum class RetryAction
{
  Accept, ///< The answer goes to the caller.
  Retry,  ///< The request goes to a server that it has not tried.
  GiveUp, ///< The request ends with the outcome and the reason of the decision.
};

struct RetryDecision
{
  RetryAction action = RetryAction::GiveUp;
  bool usedBudget = false; ///< For Retry: this is a budget try; if false, a free try.
  Outcome outcome = Outcome::Unknown;
  Reason reason = Reason::None; ///< For Retry: why the attempt is repeated.

  auto operator<=>(const RetryDecision&) const = default;
};

/// Whether an attempt with this end certainly did not run the request. Safe to call from any
/// thread.
bool
CertainlyNotRun(AttemptEnd aEnd);

/// Reason to report for the end of an attempt. Safe to call from any thread.
Reason
ReasonOf(AttemptEnd aEnd);

/// Decides what follows the end of an attempt. A request goes to each server at most once; a
/// request that is not idempotent is repeated only when no attempt can have run it. Not
/// thread-safe.
class RetryPolicy
{
public:
  RetryPolicy(RetryPolicyOptions aOptions, RetryBudget& aBudget);

  RetryDecision DecideAfterAttempt(TimePoint aNow, AttemptEnd aEnd, const RetryFacts& aFacts);

  /// Like DecideAfterAttempt, for the answer of a pool owner to a forwarded request. An answer with
  /// outcome NotRun (such as NotOwner, RegionBusy or ServerShed) allows a free try elsewhere.
  RetryDecision DecideAfterForward(TimePoint aNow,
                                   Outcome aOutcome,
                                   Reason aReason,
                                   const RetryFacts& aFacts);

private:
  RetryDecision DecideAfterFailure(TimePoint aNow,
                                   bool aCertainlyNotRun,
                                   Reason aReason,
                                   const RetryFacts& aFacts);

  RetryPolicyOptions options_;
  RetryBudget& budget_;
};

} // namespace dfm

#endif
