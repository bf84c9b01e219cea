#include "dragonflymoor/Recovery/HedgePolicy.h"

#include <algorithm>
#include <cassert>

namespace dfm {

HedgePolicy::HedgePolicy(HedgePolicyOptions aOptions, HedgePolicyHooks aHooks, RetryBudget& aBudget)
  : options_(aOptions)
  , hooks_(std::move(aHooks))
  , budget_(aBudget)
{
  assert(hooks_.startHedge && hooks_.cancelAttempt && "a hedge hook is missing");
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
  requestByAttempt_[aAttempt] = aRequest;
  const auto delay = HedgeDelay(aPool);
  const bool eligible = aRank == Rank::Urgent && aIdempotent && !tracked.hedged;
  // A second attempt that cannot end before the deadline would only use a slot.
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
  const auto attempt = requestByAttempt_.find(aAttempt);
  if (attempt == requestByAttempt_.end())
    return HedgeEnd::Superseded;
  const RequestId request = attempt->second;
  requestByAttempt_.erase(attempt);
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
    // A failed request may be retried. It stays tracked, so that it gets at most one second
    // attempt.
    if (aEnd == AttemptEnd::Answered)
      trackedRequests_.erase(found);
    return HedgeEnd::LastAttempt;
  }
  trackedRequests_.erase(found);
  for (const AttemptId otherAttempt : otherAttempts) {
    requestByAttempt_.erase(otherAttempt);
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
    requestByAttempt_.erase(attempt);
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
      TryStartHedge(request);
  }
}

void
HedgePolicy::TryStartHedge(RequestId aRequest)
{
  TrackedRequest& tracked = trackedRequests_.at(aRequest);
  if (budget_.Remaining(tracked.pool.service) < 1)
    return;
  const auto attempt = hooks_.startHedge(aRequest);
  if (!attempt)
    return;
  const bool budgetTaken = budget_.TryTakeAttempt(tracked.pool.service);
  assert(budgetTaken && "retry budget changed while a second attempt was started");
  (void)budgetTaken;
  tracked.hedged = true;
  tracked.runningAttempts.insert(*attempt);
  requestByAttempt_[*attempt] = aRequest;
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
  const auto found = answerTimes_.find(aPool);
  if (found == answerTimes_.end() || found->second.times.size() < options_.minSamples)
    return std::nullopt;
  return std::max(found->second.percentile95, options_.minDelay);
}

void
HedgePolicy::RecordAnswerTime(const PoolId& aPool, Duration aElapsed)
{
  constexpr double kPercentile = 0.95;
  // The percentile is not computed anew on each answer: that would cost more than the added
  // accuracy is worth.
  constexpr size_t kSamplesPerUpdate = 16;
  AnswerTimes& answerTimes = answerTimes_[aPool];
  if (answerTimes.times.size() < options_.window)
    answerTimes.times.push_back(aElapsed);
  else
    answerTimes.times[answerTimes.recordedCount % options_.window] = aElapsed;
  ++answerTimes.recordedCount;
  if (answerTimes.recordedCount % kSamplesPerUpdate != 0 &&
      answerTimes.recordedCount != options_.minSamples)
    return;
  std::vector<Duration> sorted = answerTimes.times;
  const auto index = static_cast<size_t>(kPercentile * static_cast<double>(sorted.size() - 1));
  const auto position = sorted.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(sorted.begin(), position, sorted.end());
  answerTimes.percentile95 = *position;
}

void
HedgePolicy::UnscheduleHedge(RequestId aRequest, TrackedRequest& aTracked)
{
  if (aTracked.hedgeAt)
    hedgeSchedule_.erase({ *aTracked.hedgeAt, aRequest });
  aTracked.hedgeAt.reset();
}

} // namespace dfm
