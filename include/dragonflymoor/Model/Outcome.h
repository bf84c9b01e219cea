#ifndef DRAGONFLYMOOR_MODEL_OUTCOME_H
#define DRAGONFLYMOOR_MODEL_OUTCOME_H

#include <cstddef>
#include <optional>
#include <string_view>

namespace dfm {

/// Importance of a request; a lower value is served first.
enum class Rank
{
  Urgent,
  Normal,
  Bulk,
};

constexpr size_t kRankCount = 3;

/// What a caller may conclude about its request.
enum class Outcome
{
  Answered, ///< The answer of a backend server is attached and complete.
  NotRun,   ///< No copy of the request ran or can still run.
  Unknown,  ///< The request may have run.
};

/// Why a request was not answered, or why an attempt was repeated. Each value has a counter.
enum class Reason
{
  None,
  BadRequest,
  UnknownService,
  UnknownPlan,
  NotReady,
  Stopping,
  PlanRateLimit,
  PlanInFlightLimit,
  QueueFull,
  DeadlineExceeded,
  NoServer,
  NotOwner,
  ServerShed,
  ServerFailed,
  ServerCrashed,
  ServerTimeout,
  TruncatedAnswer,
  AnswerTooLarge,
  ConnectFailed,
  PeerUnreachable,
  PeerFailed,
  RegionBusy,
  LinkBudget,
  RetryBudget,
  CrashQuarantine,
  KeyExpired,
  KeyBoundElsewhere,
  ClaimedElsewhere,
  ClaimerGone,
  StoreUnavailable,
  PauseDetected,
  CallerGone,
};

constexpr size_t kReasonCount = static_cast<size_t>(Reason::CallerGone) + 1;

/// Kebab-case names as used in headers, settings and metrics. Safe to call from any thread.
std::string_view
ToString(Rank aRank);
std::string_view
ToString(Outcome aOutcome);
std::string_view
ToString(Reason aReason);

/// Inverse of ToString; empty when the name does not exist.
std::optional<Rank>
ParseRank(std::string_view aName);

} // namespace dfm

#endif
