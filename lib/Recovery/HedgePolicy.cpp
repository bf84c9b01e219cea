#include "dragonflymoor/Recovery/HedgePolicy.h"

#include <algorithm>
#include <cassert>

namespace dfm {

HedgePolicy::HedgePolicy(HedgePolicyOptions aOptions, HedgePolicyHooks aHooks, RetryBudget& aBudget)
  : options_(aOptions)
  , hooks_(std::move(aHooks))
  , budget_(aBudget)
{
  assert(hooks_.startSecond && hooks_.cancelAttempt && "hook missing");
}

void
HedgePolicy::OnStarted(TimePoint aNow,
                       RequestId aRequest,
                       AttemptId aAttempt,
                       const PoolId& aPool,
                       Rank aRank,
                       bool aIdempotent,
                       TimePoint aDeadline)
{
  Race& race = races_[aRequest];
  ClearDue(aRequest, race);
  race.pool = aPool;
  race.deadline = aDeadline;
  race.running.insert(aAttempt);
  attempts_[aAttempt] = aRequest;
  const auto delay = DelayOf(aPool);
  const bool eligible = aRank == Rank::Urgent && aIdempotent && !race.hedged;
  // A second attempt that cannot end in time would only use a slot.
  if (!eligible || !delay || aNow + *delay * 2 > aDeadline)
    return;
  race.due = aNow + *delay;
  due_.emplace(*race.due, aRequest);
}

HedgeEnd
HedgePolicy::OnEnded(TimePoint /*aNow*/, AttemptId aAttempt, AttemptEnd aEnd, Duration aElapsed)
{
  const auto attempt = attempts_.find(aAttempt);
  if (attempt == attempts_.end())
    return HedgeEnd::Superseded;
  const RequestId request = attempt->second;
  attempts_.erase(attempt);
  const auto found = races_.find(request);
  Race& race = found->second;
  race.running.erase(aAttempt);
  if (aEnd == AttemptEnd::Answered)
    Record(race.pool, aElapsed);
  else if (!race.running.empty())
    return HedgeEnd::OtherRuns;
  const std::set<AttemptId> losers = race.running;
  ClearDue(request, race);
  if (losers.empty()) {
    // A failed request may be retried; its race then starts anew, without another second attempt.
    if (aEnd == AttemptEnd::Answered)
      races_.erase(found);
    return HedgeEnd::Last;
  }
  races_.erase(found);
  for (const AttemptId loser : losers) {
    attempts_.erase(loser);
    hooks_.cancelAttempt(loser);
  }
  return HedgeEnd::Won;
}

void
HedgePolicy::OnRequestGone(RequestId aRequest)
{
  const auto found = races_.find(aRequest);
  if (found == races_.end())
    return;
  ClearDue(aRequest, found->second);
  for (const AttemptId attempt : found->second.running)
    attempts_.erase(attempt);
  races_.erase(found);
}

void
HedgePolicy::OnTick(TimePoint aNow)
{
  while (!due_.empty() && due_.begin()->first <= aNow) {
    const RequestId request = due_.begin()->second;
    Race& race = races_.at(request);
    ClearDue(request, race);
    if (aNow < race.deadline)
      StartSecond(request);
  }
}

void
HedgePolicy::StartSecond(RequestId aRequest)
{
  Race& race = races_.at(aRequest);
  if (budget_.Left(race.pool.service) < 1)
    return;
  const auto attempt = hooks_.startSecond(aRequest);
  if (!attempt)
    return;
  const bool taken = budget_.TryTakeAttempt(race.pool.service);
  assert(taken && "budget changed within one decision");
  (void)taken;
  race.hedged = true;
  race.running.insert(*attempt);
  attempts_[*attempt] = aRequest;
}

std::optional<TimePoint>
HedgePolicy::NextDue() const
{
  if (due_.empty())
    return std::nullopt;
  return due_.begin()->first;
}

std::optional<Duration>
HedgePolicy::DelayOf(const PoolId& aPool) const
{
  const auto found = samples_.find(aPool);
  if (found == samples_.end() || found->second.times.size() < options_.minSamples)
    return std::nullopt;
  return std::max(found->second.percentile, options_.minDelay);
}

void
HedgePolicy::Record(const PoolId& aPool, Duration aElapsed)
{
  constexpr double kPercentile = 0.95;
  constexpr size_t kUpdateEvery = 16; // Sorting on each answer would cost more than it tells.
  Samples& samples = samples_[aPool];
  if (samples.times.size() < options_.window)
    samples.times.push_back(aElapsed);
  else
    samples.times[samples.next % options_.window] = aElapsed;
  ++samples.next;
  if (samples.next % kUpdateEvery != 0 && samples.next != options_.minSamples)
    return;
  std::vector<Duration> sorted = samples.times;
  const auto index = static_cast<size_t>(kPercentile * static_cast<double>(sorted.size() - 1));
  const auto position = sorted.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(sorted.begin(), position, sorted.end());
  samples.percentile = *position;
}

void
HedgePolicy::ClearDue(RequestId aRequest, Race& aRace)
{
  if (aRace.due)
    due_.erase({ *aRace.due, aRequest });
  aRace.due.reset();
}

} // namespace dfm
