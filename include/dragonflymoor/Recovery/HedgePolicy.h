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
  size_t window = 256;     ///< Recent answer times kept for each pool.
  size_t minSamples = 32;  ///< With fewer, the 95th percentile is too inaccurate.
  Duration minDelay = 2ms; ///< No second attempt earlier than this.
};

struct HedgePolicyHooks
{
  /// Asks for a second attempt on another server; returns it, or nothing when no other server can
  /// take it now. Must not call the HedgePolicy before it returns.
  std::function<std::optional<AttemptId>(RequestId)> startHedge;
  /// Cancels the slower attempt.
  std::function<void(AttemptId)> cancelAttempt;
};

/// What the end of an attempt means for its request.
enum class HedgeEnd
{
  /// No other attempt of the request is running: its end decides. After a failure either
  /// OnAttemptStarted (retry) or OnRequestEnded must follow.
  LastAttempt,
  Won,                 ///< The first complete answer; the other attempt was cancelled.
  OtherAttemptRunning, ///< This attempt failed but the other one still runs: wait for it.
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

  /// A first attempt was started. Only urgent idempotent requests get a second one.
  void OnAttemptStarted(TimePoint aNow,
                        RequestId aRequest,
                        AttemptId aAttempt,
                        const PoolId& aPool,
                        Rank aRank,
                        bool aIdempotent,
                        TimePoint aDeadline);

  /// Any attempt reported to OnAttemptStarted or returned by startHedge has ended.
  HedgeEnd OnAttemptEnded(TimePoint aNow, AttemptId aAttempt, AttemptEnd aEnd, Duration aElapsed);

  /// The request ended for another reason. The caller cancels its attempts itself.
  void OnRequestEnded(RequestId aRequest);

  /// Starts the second attempts that are due. Must be called at least every few milliseconds while
  /// NextHedgeAt is set.
  void OnTick(TimePoint aNow);
  /// When the next second attempt is due.
  std::optional<TimePoint> NextHedgeAt() const;

  /// Delay before a second attempt in a pool; empty while too little is known.
  std::optional<Duration> HedgeDelay(const PoolId& aPool) const;

private:
  struct Samples
  {
    std::vector<Duration> times; ///< Ring of the last answer times.
    size_t next = 0;
    Duration percentile{};
  };
  struct TrackedRequest
  {
    PoolId pool;
    std::set<AttemptId> runningAttempts;
    std::optional<TimePoint> hedgeAt;
    TimePoint deadline;
    bool hedged = false; ///< A second attempt was started.
  };

  void RecordAnswerTime(const PoolId& aPool, Duration aElapsed);
  void StartHedge(RequestId aRequest);
  void UnscheduleHedge(RequestId aRequest, TrackedRequest& aTracked);

  HedgePolicyOptions options_;
  HedgePolicyHooks hooks_;
  RetryBudget& budget_;
  std::map<PoolId, Samples> samples_;
  std::map<RequestId, TrackedRequest> trackedRequests_;
  std::map<AttemptId, RequestId> attempts_;
  std::set<std::pair<TimePoint, RequestId>> hedgeSchedule_;
};

} // namespace dfm

#endif
