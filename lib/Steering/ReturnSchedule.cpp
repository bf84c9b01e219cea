#include "dragonflymoor/Steering/ReturnSchedule.h"

#include "Scale.h"
#include <algorithm>
#include <cmath>

namespace dfm {

namespace {

/// Refused parts of the load at which an overload begins and ends.
constexpr double kOverloadBegins = 0.1;
constexpr double kOverloadEnds = 0.05;

} // namespace

ReturnSchedule::ReturnSchedule(ReturnScheduleOptions aOptions)
  : options_(aOptions)
{
}

Duration
ReturnSchedule::OnRefusal(TimePoint aNow, unsigned aPriority, Duration aTimeLeft, Random& aRandom)
{
  refusals_[aPriority].rate.Add(1, aNow);
  double refused = 0;
  for (const auto& [priority, refusals] : refusals_)
    refused += priority <= aPriority ? refusals.rate.PerSecond(aNow) : 0;
  const double refusedShare = refused / (refused + starts_.PerSecond(aNow));
  std::optional<TimePoint>& overloadSince = refusals_[aPriority].overloadSince;
  if (refusedShare < kOverloadEnds)
    overloadSince.reset();
  else if (refusedShare >= kOverloadBegins && !overloadSince)
    overloadSince = aNow;

  const Duration maxDelay =
    std::max(Scale(aTimeLeft, options_.maxTimeLeftShare), options_.maxShortDelay);
  // An overload that has lasted longer than callers can wait will hardly end while they wait. A
  // return within the goal is worth more to them then.
  if (overloadSince && aNow - *overloadSince > maxDelay)
    return aRandom.Between(options_.minDelay, options_.maxShortDelay);
  // Grows slowly at first, as a slot is free soon in a slight overload.
  const double overload = std::pow(std::min(refusedShare / options_.overloadShare, 1.0), 2);
  const Duration latest =
    options_.maxShortDelay + Scale(maxDelay - options_.maxShortDelay, overload);
  return aRandom.Between(std::max(options_.minDelay, latest / 2), latest);
}

} // namespace dfm
