#include "dragonflymoor/Steering/StoreOutages.h"

#include <algorithm>

namespace dfm {

namespace {

/// An entry is removed after three report periods without a report, the last of which may have come
/// up to one period before an outage.
constexpr int kReportPeriodsToLapse = 2;

} // namespace

StoreOutages::StoreOutages(StoreOutagesOptions aOptions)
  : options_(aOptions)
{
}

void
StoreOutages::OnAnswer(TimePoint aAnsweredAt)
{
  answeredAt_ = std::max(answeredAt_.value_or(aAnsweredAt), aAnsweredAt);
}

std::optional<StoreOutages::Outage>
StoreOutages::OnReachable(TimePoint aNow, bool aReachable)
{
  if (aReachable == reachable_)
    return std::nullopt;
  reachable_ = aReachable;
  if (!aReachable) {
    outageBegan_ = answeredAt_.value_or(aNow);
    const Duration answered = outageBegan_ - regainedAt_.value_or(TimePoint{});
    recentOutage_ -= std::clamp(answered, Duration{}, recentOutage_);
    return std::nullopt;
  }
  const Duration timeToLapse = kReportPeriodsToLapse * options_.instanceReportPeriod;
  regainedAt_ = aNow;
  Outage outage{ .length = aNow - outageBegan_ };
  recentOutage_ = std::min(recentOutage_ + outage.length, timeToLapse);
  outage.mayHaveLapsed = recentOutage_ == timeToLapse;
  if (outage.mayHaveLapsed)
    reregisteredBy_ = aNow + kReregistrationTime;
  else if (WasReregistering(outageBegan_))
    *reregisteredBy_ += outage.length;
  return outage;
}

bool
StoreOutages::IsSteady(TimePoint aNow) const
{
  return reachable_ && (!reregisteredBy_ || aNow >= *reregisteredBy_);
}

bool
StoreOutages::WasReregistering(TimePoint aAt) const
{
  return reregisteredBy_ && aAt < *reregisteredBy_ && aAt >= *reregisteredBy_ - kReregistrationTime;
}

} // namespace dfm
