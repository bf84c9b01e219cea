#include "dragonflymoor/Steering/ConcurrencyLimit.h"

#include "Scale.h"
#include <algorithm>
#include <cmath>

namespace dfm {

namespace {

/// Answers of one kind before its usual latency is used to judge others.
constexpr unsigned kMinReferenceAnswers = 8;

/// Slowness up to which the limit is the slots: latencies of healthy instances vary by about this
/// much.
constexpr double kToleratedSlowness = 1.5;

/// A cold object takes 3.3 times as long as a warm one. An answer that is slower than this is not
/// explained by an object that was wrongly taken for warm.
constexpr double kMaxColdFactor = 3.5;

/// Weights of an answer in the moving mean of the slowness. A single cold object that was taken for
/// warm stays close to the tolerance; an answer that cannot be one, or that is faster, counts for
/// half.
constexpr double kDoubtfulWeight = 0.2;
constexpr double kClearWeight = 0.5;

/// Bounds of the time for which evidence counts in full, and how long it then takes until it no
/// longer counts. Slow phases last 0.6 s to 9 s; one that goes on gives new evidence. A VM among
/// many gets an answer of an instance only every few seconds, so its evidence counts until the next
/// ones.
constexpr Duration kMinHoldTime = 500ms;
constexpr Duration kMaxHoldTime = 2s;
constexpr Duration kRecoveryTime = 1s;

/// Evidence counts in full for this many times the mean time between two answers.
constexpr int kHoldAnswers = 2;

/// Weight of the latest time between two answers in its moving mean.
constexpr double kIntervalWeight = 0.2;

/// Time constant, in seconds, with which the usual latency follows the answers. A slow phase of 9 s
/// does not become usual, and an instance that remains slower is used fully again within a minute.
constexpr double kReferenceSeconds = 30;

/// Largest weight of one answer in the usual latency, so that it covers some of them even when
/// answers are rare.
constexpr double kMaxReferenceWeight = 0.1;

/// An answer counts in the usual latency as at most this many times that latency, which is above
/// the factor of a cold object: if those that are wrongly taken for warm counted for less, the
/// usual latency would be that of the others, and they would look slow.
constexpr double kMaxReferenceStep = 4;

/// A statement that is not older than this came with the answer that is evaluated.
constexpr Duration kSameAnswerTime = 10ms;

/// Bound of a single measurement, so that one answer that took very long is forgotten soon.
constexpr double kMaxSlowness = 16;

} // namespace

double
ConcurrencyLimit::Evidence::At(TimePoint aNow) const
{
  const Duration age = aNow - takenAt;
  if (age <= hold)
    return slowness;
  const double left = 1 - ToSeconds(age - hold) / ToSeconds(kRecoveryTime);
  return 1 + (slowness - 1) * std::max(left, 0.0);
}

ConcurrencyLimit::Reference&
ConcurrencyLimit::ReferenceFor(const Answer& aAnswer)
{
  for (Reference& reference : references_) {
    if (reference.answers > 0 && reference.kind == aAnswer.kind && reference.warm == aAnswer.warm)
      return reference;
  }
  Reference& oldest = *std::min_element(
    references_.begin(), references_.end(), [](const Reference& aLeft, const Reference& aRight) {
      return aLeft.updatedAt < aRight.updatedAt;
    });
  oldest = { .kind = aAnswer.kind, .warm = aAnswer.warm };
  return oldest;
}

void
ConcurrencyLimit::UpdateReference(TimePoint aNow, Reference& aReference, double aSeconds)
{
  if (aReference.answers < kMinReferenceAnswers) {
    ++aReference.answers;
    aReference.seconds += (aSeconds - aReference.seconds) / aReference.answers;
  } else {
    const double elapsed = ToSeconds(aNow - aReference.updatedAt);
    const double weight = std::min(1 - std::exp(-elapsed / kReferenceSeconds), kMaxReferenceWeight);
    const double bounded = std::min(aSeconds, aReference.seconds * kMaxReferenceStep);
    aReference.seconds += weight * (bounded - aReference.seconds);
  }
  aReference.updatedAt = aNow;
}

double
ConcurrencyLimit::OnAnswer(TimePoint aNow, const Answer& aAnswer, double aUsualSlowness)
{
  const double queued =
    std::max(1.0, static_cast<double>(aAnswer.knownInFlight) / static_cast<double>(slots_));
  const double seconds = ToSeconds(aAnswer.latency) / queued;
  Reference& reference = ReferenceFor(aAnswer);
  const bool comparable = reference.answers >= kMinReferenceAnswers && reference.seconds > 0;
  const double ratio = comparable ? std::min(seconds / reference.seconds, kMaxSlowness) : 1;
  UpdateReference(aNow, reference, seconds);
  if (!comparable)
    return ratio;
  const double slowness = std::max(ratio / std::max(aUsualSlowness, 1.0), 1.0);
  // The slow phase in which the request ran is over when the same answer states the usual speed.
  const bool statesUsualSpeed = stated_ && aNow - stated_->takenAt <= kSameAnswerTime &&
                                stated_->slowness <= kToleratedSlowness;
  const double before = fromLatency_.At(aNow);
  if (slowness > before && statesUsualSpeed)
    return ratio;
  const Duration interval = std::min(aNow - lastAnswer_.value_or(aNow), kMaxHoldTime);
  lastAnswer_ = aNow;
  meanInterval_ += Scale(interval - meanInterval_, kIntervalWeight);
  const bool clear = slowness < before || slowness > kMaxColdFactor;
  fromLatency_ = { .slowness =
                     before + (clear ? kClearWeight : kDoubtfulWeight) * (slowness - before),
                   .takenAt = aNow,
                   .hold = std::clamp(kHoldAnswers * meanInterval_, kMinHoldTime, kMaxHoldTime) };
  return ratio;
}

void
ConcurrencyLimit::OnStatedLoad(TimePoint aNow, const StatedLoad& aLoad)
{
  if (aLoad.slowness)
    stated_ = { .slowness = std::clamp(*aLoad.slowness, 1.0, kMaxSlowness),
                .takenAt = aNow,
                .hold = kMinHoldTime };
}

double
ConcurrencyLimit::Slowness(TimePoint aNow) const
{
  return std::max(fromLatency_.At(aNow), stated_ ? stated_->At(aNow) : 1.0);
}

unsigned
ConcurrencyLimit::Limit(TimePoint aNow) const
{
  const double slowness = Slowness(aNow);
  if (slowness <= kToleratedSlowness)
    return slots_;
  return std::max(1U, static_cast<unsigned>(static_cast<double>(slots_) / slowness));
}

} // namespace dfm
