#include "dragonflymoor/Steering/InstanceTracker.h"

#include "Scale.h"
#include "dragonflymoor/Support/Hash.h"
#include <algorithm>
#include <cmath>

namespace dfm {

namespace {

/// Weight of the latest answer in the moving means of failures and latency, which thus cover about
/// ten answers.
constexpr double kMeanWeight = 0.1;

/// Answers needed before the moving means are used to judge an instance.
constexpr unsigned kMinAnswers = 8;

/// Share of failed answers, beyond the service's usual one, above which other instances are
/// preferred. Applications fail one request in a thousand; grey instances fail several in ten. When
/// all instances shed a part of their requests, none is worse than the others.
constexpr double kDegradedFailureShare = 0.2;
/// An instance that fails more than this is degraded whatever the others do.
constexpr double kMaxUsualFailureShare = 0.9;

/// An instance whose mean latency is this many times the service's is preferred last. An instance
/// that serves only cold objects stays below it, as a warm object saves at most 70 % of the work.
constexpr double kDegradedLatencyFactor = 3.5;

/// A degraded instance gets one request of each VM in this time while others have free slots.
constexpr Duration kTrialPeriod = 300ms;

/// A connect that fails within this time after a broken connection shows that the instance crashed.
constexpr Duration kCrashConfirmTime = 1s;

/// Wait before the health check that shows whether an instance crashed. Other requests often show
/// it sooner.
constexpr Duration kCrashCheckWait = 100ms;

/// More requests than an instance has slots are never in flight at a crash for long.
constexpr size_t kMaxCrashSuspects = 32;

/// How long an instance counts as full after it shed a request; about the time in which one of its
/// slots becomes free.
constexpr Duration kFullAfterShed = 40ms;

/// How long a load counts that an instance stated; about the period of the load reports, after
/// which these say the same.
constexpr Duration kStatedLoadLifetime = 50ms;

/// Objects that this VM sent to an instance within this time count as warm there, up to as many. An
/// instance remembers 15 to 28 objects, those of other VMs' requests included.
constexpr Duration kWarmTime = 3s;
constexpr size_t kMaxSentObjects = 16;

/// Wait before the first health check of an instance that is down, and the longest wait; each
/// failed check doubles it. Checks are priced, so they slow down.
constexpr Duration kFirstProbeWait = 100ms;
constexpr Duration kMaxProbeWait = 800ms;

/// The bucket of the cold rate holds what a tenth of a second earns, so that the VMs' bursts
/// together stay well within the excess that the platform tolerates.
constexpr BucketOptions kColdBucket{ .rate = 1, .burst = 0.1, .leastBurst = 1 };

} // namespace

std::string_view
ToString(Unusable aReason)
{
  switch (aReason) {
    case Unusable::None:
      return "usable";
    case Unusable::Draining:
      return "draining";
    case Unusable::Leaving:
      return "leaving";
    case Unusable::Evacuated:
      return "evacuated";
    case Unusable::Paused:
      return "paused";
    case Unusable::Down:
      return "down";
    case Unusable::Cold:
      return "cold";
    case Unusable::Limited:
      return "limited";
    case Unusable::Full:
      return "full";
  }
  return "unknown";
}

InstanceTracker::InstanceTracker(Instance aInstance, bool aAdaptiveLimits)
  : spec_(std::move(aInstance))
  , idHash_(HashBytes(spec_.id.Value()))
  , coldBucket_(kColdBucket)
{
  if (aAdaptiveLimits)
    limit_.emplace(std::max(1U, spec_.slots));
}

void
InstanceTracker::SetSpec(Instance aInstance)
{
  if (aInstance.startTimeMs != spec_.startTimeMs || aInstance.endpoint != spec_.endpoint) {
    // Requests of the earlier run end through their own connections.
    const unsigned inFlight = inFlight_;
    const unsigned peerInFlight = peerInFlight_;
    const bool evacuated = evacuated_;
    const double coldRate = coldRate_;
    *this = InstanceTracker(std::move(aInstance), limit_.has_value());
    inFlight_ = inFlight;
    peerInFlight_ = peerInFlight;
    evacuated_ = evacuated;
    coldRate_ = coldRate;
    return;
  }
  // A health check may know of a later end than the registration.
  aInstance.coldUntil = std::max(aInstance.coldUntil, spec_.coldUntil);
  if (limit_ && aInstance.slots != spec_.slots)
    limit_.emplace(std::max(1U, aInstance.slots));
  spec_ = std::move(aInstance);
}

void
InstanceTracker::SetColdRate(TimePoint aNow, double aPerSecond)
{
  RefillColdBucket(aNow);
  coldRate_ = aPerSecond;
}

void
InstanceTracker::RefillColdBucket(TimePoint aNow) const
{
  if (lastColdRefill_)
    coldBucket_.Fill(coldRate_, aNow - *lastColdRefill_);
  lastColdRefill_ = aNow;
}

Unusable
InstanceTracker::UnusableReasonAt(TimePoint aNow) const
{
  if (spec_.draining)
    return Unusable::Draining;
  if (leaving_)
    return Unusable::Leaving;
  if (evacuated_)
    return Unusable::Evacuated;
  if (aNow < pausedUntil_)
    return Unusable::Paused;
  if (down_)
    return Unusable::Down;
  if (IsCold(aNow)) {
    RefillColdBucket(aNow);
    if (coldBucket_.Tokens() < 1)
      return Unusable::Cold;
  }
  if (!rate_.MaySend(aNow))
    return Unusable::Limited;
  return Unusable::None;
}

unsigned
InstanceTracker::LimitAt(TimePoint aNow) const
{
  return limit_ ? std::min(spec_.slots, limit_->Limit(aNow)) : spec_.slots;
}

unsigned
InstanceTracker::ServableSlots(TimePoint aNow) const
{
  const unsigned limit = LimitAt(aNow);
  if (!rate_.IsLimited(aNow) || meanLatency_ <= Duration{})
    return limit;
  const double atOnce = std::ceil(*rate_.Limit() * ToSeconds(meanLatency_));
  return atOnce < limit ? static_cast<unsigned>(atOnce) : limit;
}

int
InstanceTracker::FreeSlots(TimePoint aNow) const
{
  if (aNow < shedUntil_)
    return 0;
  return static_cast<int>(LimitAt(aNow)) - static_cast<int>(InFlightAt(aNow));
}

unsigned
InstanceTracker::InFlightAt(TimePoint aNow) const
{
  if (!loadStatement_ || aNow - loadStatement_->statedAt > kStatedLoadLifetime)
    return KnownInFlight();
  const unsigned stated = loadStatement_->load.running + loadStatement_->load.waiting + inFlight_;
  const unsigned ownThen = loadStatement_->ownInFlight;
  return std::max(KnownInFlight(), stated > ownThen ? stated - ownThen : 0);
}

void
InstanceTracker::OnStatedLoad(TimePoint aNow, const StatedLoad& aLoad)
{
  loadStatement_ = { .statedAt = aNow,
                     .load = aLoad,
                     .ownInFlight = inFlight_ > 0 ? inFlight_ - 1 : 0 };
  if (limit_)
    limit_->OnStatedLoad(aNow, aLoad);
}

bool
InstanceTracker::OnObjectSent(TimePoint aNow, uint64_t aObject)
{
  if (!limit_)
    return false;
  const auto found =
    std::find_if(sentObjects_.begin(), sentObjects_.end(), [aObject](const SentObject& aSent) {
      return aSent.object == aObject;
    });
  const bool warm = found != sentObjects_.end() && aNow - found->sentAt <= kWarmTime;
  if (found != sentObjects_.end())
    sentObjects_.erase(found);
  else if (sentObjects_.size() == kMaxSentObjects)
    sentObjects_.erase(sentObjects_.begin());
  sentObjects_.push_back({ .object = aObject, .sentAt = aNow });
  return warm;
}

std::optional<double>
InstanceTracker::OnComparableAnswer(TimePoint aNow,
                                    const ConcurrencyLimit::Answer& aAnswer,
                                    double aUsualSlowness)
{
  if (!limit_)
    return std::nullopt;
  return limit_->OnAnswer(aNow, aAnswer, aUsualSlowness);
}

bool
InstanceTracker::IsDegraded(TimePoint aNow,
                            Duration aTypicalLatency,
                            double aTypicalFailureShare) const
{
  if (answerCount_ < kMinAnswers || aNow >= nextTrialTime_)
    return false;
  return failureShare_ >
           std::min(kDegradedFailureShare + aTypicalFailureShare, kMaxUsualFailureShare) ||
         ToSeconds(meanLatency_) > kDegradedLatencyFactor * ToSeconds(aTypicalLatency);
}

void
InstanceTracker::OnPause(TimePoint aNow, Duration aPause)
{
  pausedUntil_ = std::max(pausedUntil_, aNow + aPause);
  // A check that is due in the meantime follows at the end.
  nextProbeTime_ = std::max(nextProbeTime_, pausedUntil_);
}

void
InstanceTracker::OnSend(TimePoint aNow)
{
  if (IsCold(aNow)) {
    RefillColdBucket(aNow);
    if (coldBucket_.Tokens() >= 1)
      coldBucket_.Take(1);
  }
  rate_.OnSend(aNow);
  if (inFlight_ == 0)
    lastResponseTime_ = aNow;
  ++inFlight_;
  nextTrialTime_ = aNow + kTrialPeriod;
}

void
InstanceTracker::OnEnd()
{
  if (inFlight_ > 0)
    --inFlight_;
}

void
InstanceTracker::OnSuccess(TimePoint aNow, Duration aLatency)
{
  lastResponseTime_ = aNow;
  // It was up after these had broken off.
  const TimePoint sentAt = aNow - aLatency;
  std::erase_if(crashSuspects_,
                [sentAt](const CrashSuspect& aSuspect) { return aSuspect.brokenAt < sentAt; });
  if (crashSuspects_.empty())
    crashCheckTime_.reset();
  failureShare_ *= 1 - kMeanWeight;
  const double weight = answerCount_ == 0 ? 1 : kMeanWeight;
  meanLatency_ += Scale(aLatency - meanLatency_, weight);
  answerCount_ = std::min(answerCount_ + 1, kMinAnswers);
}

void
InstanceTracker::OnFailure(TimePoint aNow, bool aShed)
{
  lastResponseTime_ = aNow;
  failureShare_ += kMeanWeight * (1 - failureShare_);
  answerCount_ = std::min(answerCount_ + 1, kMinAnswers);
  // An instance may shed at random while it has free slots.
  const bool hasFreeSlots = loadStatement_ &&
                            aNow - loadStatement_->statedAt <= kStatedLoadLifetime &&
                            loadStatement_->load.running < loadStatement_->load.slots;
  if (aShed && !hasFreeSlots)
    shedUntil_ = aNow + kFullAfterShed;
}

void
InstanceTracker::OnUnreachable(TimePoint aNow)
{
  if (down_)
    return;
  down_ = true;
  failedProbes_ = 0;
  nextProbeTime_ = std::max(aNow + kFirstProbeWait, pausedUntil_);
}

void
InstanceTracker::OnProbe(TimePoint aNow, ProbeResult aResult, Duration aColdLeft)
{
  lastResponseTime_ = aNow;
  spec_.coldUntil = std::max(spec_.coldUntil, aNow + aColdLeft);
  if (aResult == ProbeResult::Healthy || aResult == ProbeResult::Unanswered) {
    down_ = false;
    DropCrashSuspects();
    return;
  }
  if (!down_ && aResult != ProbeResult::Refused) {
    DropCrashSuspects();
    return;
  }
  OnUnreachable(aNow);
  const unsigned doublings = std::min(++failedProbes_, 8U);
  nextProbeTime_ =
    std::max(aNow + std::min(kFirstProbeWait * (1 << doublings), kMaxProbeWait), pausedUntil_);
}

std::vector<uint64_t>
InstanceTracker::TakeCrashSuspects(TimePoint aNow)
{
  std::vector<uint64_t> fingerprints;
  for (const CrashSuspect& suspect : crashSuspects_) {
    if (aNow - suspect.brokenAt < kCrashConfirmTime)
      fingerprints.push_back(suspect.fingerprint);
  }
  DropCrashSuspects();
  return fingerprints;
}

void
InstanceTracker::DropCrashSuspects()
{
  crashSuspects_.clear();
  crashCheckTime_.reset();
}

void
InstanceTracker::AddCrashSuspect(TimePoint aNow, uint64_t aFingerprint)
{
  if (crashSuspects_.size() == kMaxCrashSuspects)
    crashSuspects_.erase(crashSuspects_.begin());
  crashSuspects_.push_back({ .brokenAt = aNow, .fingerprint = aFingerprint });
  if (!crashCheckTime_ && pausedUntil_ <= aNow)
    crashCheckTime_ = aNow + kCrashCheckWait;
}

std::optional<TimePoint>
InstanceTracker::NextProbeTime() const
{
  return down_ ? std::optional(nextProbeTime_) : crashCheckTime_;
}

void
InstanceTracker::OnProbeSent(TimePoint aNow)
{
  // Schedules a further check in case the answer to this one is lost.
  nextProbeTime_ = aNow + 2 * kMaxProbeWait;
  crashCheckTime_.reset();
}

} // namespace dfm
