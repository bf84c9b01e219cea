#include "dragonflymoor/Links/RemoteAdmission.h"

#include <algorithm>
#include <cassert>

namespace dfm {

namespace {

/// Time that one call of OnLoad counts at most; it is called on each tick of 20 ms.
constexpr Duration kLongestStep = 100ms;

} // namespace

RemoteAdmission::RemoteAdmission(RemoteAdmissionOptions aOptions)
  : options_(aOptions)
{
}

void
RemoteAdmission::OnLoad(const std::optional<Load>& aLoad, TimePoint aNow)
{
  const double seconds = lastLoad_ ? std::max(0.0, ToSeconds(aNow - advanced_)) : 0;
  const uint32_t slots = aLoad ? aLoad->slots : load_.slots;
  const double growth = options_.growthPerSecond * slots;
  advanced_ = aNow;
  if (!aLoad) {
    if (lastLoad_ && aNow - *lastLoad_ > options_.holdTime)
      limit_ = std::max(0.0, limit_ - growth * seconds);
    return;
  }
  // Nothing is gained by a gap between two calls.
  const double step = std::min(seconds, ToSeconds(kLongestStep));
  peak_ = std::max<double>(remote_, peak_ - growth * step);
  // Unused allowance is not saved up: at most one second's growth above the recent use. A pool of
  // less than 10 slots grows by one request at a time, or it would never take the first one.
  const double headroom = std::max(1.0, growth);
  limit_ = std::min({ limit_ + growth * step, peak_ + headroom, options_.maxUtilisation * slots });
  load_ = *aLoad;
  admittedSinceLoad_ = 0;
  lastLoad_ = aNow;
}

Reason
RemoteAdmission::TryAdmit()
{
  const double busy = load_.requests + admittedSinceLoad_ + 1.0;
  if (remote_ + 1.0 > limit_ || busy > options_.maxUtilisation * load_.slots)
    return Reason::RegionBusy;
  ++remote_;
  ++admittedSinceLoad_;
  return Reason::None;
}

void
RemoteAdmission::OnEnded()
{
  assert(remote_ > 0 && "no remote request is in the pool");
  --remote_;
}

} // namespace dfm
