#include "dragonflymoor/Recovery/HedgePolicy.h"

#include <algorithm>
#include <cassert>

namespace dfm {

HedgePolicy::HedgePolicy(HedgePolicyOptions aOptions, HedgePolicyHooks aHooks, RetryBudget& aBudget)
  : options_(aOptions)
  , hooks_(std::move(aHooks))
  , budget_(aBudget)
{
  assert(hooks_.startHedge && hooks_.cancelAttempt && "hedge hook missing");
}

void
HedgePolicy::OnAttemptStarted(TimePoint aNow,
                              RequestId aRequest,
                              AttemptId aAttempt,
                              const PoolId& aPool,
                              Rank aRank,
                              bool aIdempotent,
                              TimePoint aDeadline)
{
  TrackedRequest& tracked = trackedRequests_[aRequest];
  UnscheduleHedge(aRequest, tracked);
  tracked.pool = aPool;
  tracked.deadline = aDeadline;
  tracked.runningAttempts.insert(aAttempt);
  attempts_[aAttempt] = aRequest;
  const auto delay = HedgeDelay(aPool);
  const bool eligible = aRank == Rank::Urgent && aIdempotent && !tracked.hedged;
  // A second attempt that cannot end in time would only use a slot.
  if (!eligible || !delay || aNow + *delay * 2 > aDeadline)
    return;
  tracked.hedgeAt = aNow + *delay;
  hedgeSchedule_.emplace(*tracked.hedgeAt, aRequest);
}

HedgeEnd
HedgePolicy::OnAttemptEnded(TimePoint /*aNow*/,
                            AttemptId aAttempt,
                            AttemptEnd aEnd,
                            Duration aElapsed)
{
  const auto attempt = attempts_.find(aAttempt);
  if (attempt == attempts_.end())
    return HedgeEnd::Superseded;
  const RequestId request = attempt->second;
  attempts_.erase(attempt);
  const auto found = trackedRequests_.find(request);
  TrackedRequest& tracked = found->second;
  tracked.runningAttempts.erase(aAttempt);
  if (aEnd == AttemptEnd::Answered)
    RecordAnswerTime(tracked.pool, aElapsed);
  else if (!tracked.runningAttempts.empty())
    return HedgeEnd::OtherAttemptRunning;
  const std::set<AttemptId> otherAttempts = tracked.runningAttempts;
  UnscheduleHedge(request, tracked);
  if (otherAttempts.empty()) {
    // A failed request may be retried; it stays tracked, so that a request that already had a
    // second attempt gets no other.
    if (aEnd == AttemptEnd::Answered)
      trackedRequests_.erase(found);
    return HedgeEnd::LastAttempt;
  }
  trackedRequests_.erase(found);
  for (const AttemptId otherAttempt : otherAttempts) {
    attempts_.erase(otherAttempt);
    hooks_.cancelAttempt(otherAttempt);
  }
  return HedgeEnd::Won;
}

void
HedgePolicy::OnRequestEnded(RequestId aRequest)
{
  const auto found = trackedRequests_.find(aRequest);
  if (found == trackedRequests_.end())
    return;
  UnscheduleHedge(aRequest, found->second);
  for (const AttemptId attempt : found->second.runningAttempts)
    attempts_.erase(attempt);
  trackedRequests_.erase(found);
}

void
HedgePolicy::OnTick(TimePoint aNow)
{
  while (!hedgeSchedule_.empty() && hedgeSchedule_.begin()->first <= aNow) {
    const RequestId request = hedgeSchedule_.begin()->second;
    TrackedRequest& tracked = trackedRequests_.at(request);
    UnscheduleHedge(request, tracked);
    if (aNow < tracked.deadline)
      StartHedge(request);
  }
}

void
HedgePolicy::StartHedge(RequestId aRequest)
{
  TrackedRequest& tracked = trackedRequests_.at(aRequest);
  if (budget_.Remaining(tracked.pool.service) < 1)
    return;
  const auto attempt = hooks_.startHedge(aRequest);
  if (!attempt)
    return;
  const bool taken = budget_.TryTakeAttempt(tracked.pool.service);
  assert(taken && "budget changed within one decision");
  (void)taken;
  tracked.hedged = true;
  tracked.runningAttempts.insert(*attempt);
  attempts_[*attempt] = aRequest;
}

std::optional<TimePoint>
HedgePolicy::NextHedgeAt() const
{
  if (hedgeSchedule_.empty())
    return std::nullopt;
  return hedgeSchedule_.begin()->first;
}

std::optional<Duration>
HedgePolicy::HedgeDelay(const PoolId& aPool) const
{
  const auto found = samples_.find(aPool);
  if (found == samples_.end() || found->second.times.size() < options_.minSamples)
    return std::nullopt;
  return std::max(found->second.percentile, options_.minDelay);
}

void
HedgePolicy::RecordAnswerTime(const PoolId& aPool, Duration aElapsed)
{
  constexpr double kPercentile = 0.95;
  // Sorting on each answer would cost more than the added accuracy is worth.
  constexpr size_t kSamplesPerUpdate = 16;
  Samples& samples = samples_[aPool];
  if (samples.times.size() < options_.window)
    samples.times.push_back(aElapsed);
  else
    samples.times[samples.next % options_.window] = aElapsed;
  ++samples.next;
  if (samples.next % kSamplesPerUpdate != 0 && samples.next != options_.minSamples)
    return;
  std::vector<Duration> sorted = samples.times;
  const auto index = static_cast<size_t>(kPercentile * static_cast<double>(sorted.size() - 1));
  const auto position = sorted.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(sorted.begin(), position, sorted.end());
  samples.percentile = *position;
}

void
HedgePolicy::UnscheduleHedge(RequestId aRequest, TrackedRequest& aTracked)
{
  if (aTracked.hedgeAt)
    hedgeSchedule_.erase({ *aTracked.hedgeAt, aRequest });
  aTracked.hedgeAt.reset();
}

} // namespace dfm
