#ifndef DRAGONFLYMOOR_RECOVERY_HEDGEPOLICY_H
#define DRAGONFLYMOOR_RECOVERY_HEDGEPOLICY_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Model/Request.h"
#include "dragonflymoor/Recovery/RetryBudget.h"
#include "dragonflymoor/Support/Time.h"
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace dfm {

struct HedgePolicyOptions
{
  size_t window = 256;    ///< Number of recent answer times kept for each pool.
  size_t minSamples = 32; ///< No second attempts with fewer: the 95th percentile is too inaccurate.
  Duration minDelay = 2ms; ///< Minimum time between the first and the second attempt.
};

struct HedgePolicyHooks
{
  /// Starts a second attempt on another server. Returns its id, or nothing when no other server can
  /// take the request now. Must not call the HedgePolicy before it returns.
  std::function<std::optional<AttemptId>(RequestId)> startHedge;
  /// Cancels the slower attempt.
  std::function<void(AttemptId)> cancelAttempt;
};

/// What the end of an attempt means for its request.
enum class HedgeEnd
{
  /// No other attempt of the request is running, so this end decides. After a failure the caller
  /// must call either OnAttemptStarted (for a retry) or OnRequestEnded.
  LastAttempt,
  Won,                 ///< The first complete answer; the other attempt was cancelled.
  OtherAttemptRunning, ///< This attempt failed, but the other one is still running: wait for it.
  Superseded,          ///< The request was already answered: ignore this end.
};

/// Starts a second attempt of urgent idempotent requests that take longer than the recent 95th
/// percentile of their pool, within the retry budget. The first complete answer wins and the other
/// attempt is cancelled. Not thread-safe.
class HedgePolicy
{
public:
  /// Precondition: every hook is set.
  HedgePolicy(HedgePolicyOptions aOptions, HedgePolicyHooks aHooks, RetryBudget& aBudget);

  /// Must be called when the first attempt of a request or a retry starts. Only urgent idempotent
  /// requests get a second attempt.
  void OnAttemptStarted(TimePoint aNow,
                        RequestId aRequest,
                        AttemptId aAttempt,
                        const PoolId& aPool,
                        Rank aRank,
                        bool aIdempotent,
                        TimePoint aDeadline);

  /// Must be called when an attempt that was passed to OnAttemptStarted or returned by startHedge
  /// ends.
  HedgeEnd OnAttemptEnded(TimePoint aNow, AttemptId aAttempt, AttemptEnd aEnd, Duration aElapsed);

  /// Must be called when a request ends without an answer: after its last attempt failed and is not
  /// retried, or for another reason. The caller cancels the running attempts itself.
  void OnRequestEnded(RequestId aRequest);

  /// Starts the second attempts that are due. Must be called at least every few milliseconds while
  /// NextHedgeAt is set.
  void OnTick(TimePoint aNow);
  /// Time at which the next second attempt is due; empty if none is scheduled.
  std::optional<TimePoint> NextHedgeAt() const;

  /// Delay before a second attempt in a pool; empty with fewer than minSamples answer times.
  std::optional<Duration> HedgeDelay(const PoolId& aPool) const;

private:
  struct AnswerTimes
  {
    std::vector<Duration> times; ///< Ring buffer of the latest answer times.
    size_t recordedCount = 0;
    Duration percentile95{};
  };
  struct TrackedRequest
  {
    PoolId pool;
    std::set<AttemptId> runningAttempts;
    std::optional<TimePoint> hedgeAt; ///< When the second attempt is due, while scheduled.
    TimePoint deadline;
    bool hedged = false; ///< A second attempt was started.
  };

  void RecordAnswerTime(const PoolId& aPool, Duration aElapsed);
  /// Starts the second attempt if the retry budget and the hook allow it.
  void TryStartHedge(RequestId aRequest);
  void UnscheduleHedge(RequestId aRequest, TrackedRequest& aTracked);

  HedgePolicyOptions options_;
  HedgePolicyHooks hooks_;
  RetryBudget& budget_;
  std::map<PoolId, AnswerTimes> answerTimes_;
  std::map<RequestId, TrackedRequest> trackedRequests_;
  std::map<AttemptId, RequestId> requestByAttempt_;
  std::set<std::pair<TimePoint, RequestId>> hedgeSchedule_;
};

} // namespace dfm

#endif
