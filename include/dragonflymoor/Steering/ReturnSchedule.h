#ifndef DRAGONFLYMOOR_STEERING_RETURNSCHEDULE_H
#define DRAGONFLYMOOR_STEERING_RETURNSCHEDULE_H

#include "dragonflymoor/Shares/TokenBucket.h"
#include "dragonflymoor/Support/Random.h"
#include "dragonflymoor/Support/Time.h"
#include <map>
#include <optional>

namespace dfm {

struct ReturnScheduleOptions
{
  /// Bounds of the delay where a slot is free soon, or a long delay does not help.
  Duration minDelay = 150ms;
  Duration maxShortDelay = 400ms;
  /// Callers wait at most for this part of the time that they have left.
  double maxTimeLeftShare = 1.0 / 3;
  /// Refused part of the load from which on callers wait as long as they may.
  double overloadShare = 0.5;
};

/// Tells refused callers of one service when to come back: the later, the larger the part of the
/// load is that is refused, and spread out. Only refusals of requests that are as urgent or more
/// urgent count, so that urgent callers return first. Answers bursts, whose callers find a slot
/// after the burst instead of in it, and floods of less urgent requests. In a lasting overload,
/// where a long delay helps nobody, callers may return soon. It does not know which callers have
/// come back. No clock. Not thread-safe.
class ReturnSchedule
{
public:
  explicit ReturnSchedule(ReturnScheduleOptions aOptions);

  /// A request got a slot.
  void OnStart(TimePoint aNow) { starts_.Add(1, aNow); }
  /// Requests that got a slot in a second, smoothed.
  double StartsPerSecond(TimePoint aNow) const { return starts_.PerSecond(aNow); }

  /// Counts a refusal and returns the time after which its caller is to come back. A lower
  /// aPriority is more urgent; aTimeLeft is the time until the caller's deadline.
  Duration OnRefusal(TimePoint aNow, unsigned aPriority, Duration aTimeLeft, Random& aRandom);

private:
  ReturnScheduleOptions options_;
  DemandMeter starts_;
  struct Refusals
  {
    DemandMeter rate;
    std::optional<TimePoint> overloadSince;
  };
  std::map<unsigned, Refusals> refusals_; ///< By priority.
};

} // namespace dfm

#endif
