#include "dragonflymoor/Shares/TokenBucket.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace dfm {

TokenBucket::TokenBucket(BucketOptions aOptions)
  : options_(aOptions)
{
}

void
TokenBucket::Fill(double aShare, Duration aElapsed)
{
  tokens_ += options_.rate * aShare * ToSeconds(aElapsed);
  Bound(aShare);
}

void
TokenBucket::Bound(double aShare)
{
  tokens_ = std::min(tokens_, Size(aShare));
}

double
TokenBucket::Size(double aShare) const
{
  return std::max(options_.burst * aShare, options_.leastBurst);
}

void
TokenBucket::Take(double aAmount)
{
  assert(aAmount <= tokens_ && "not enough tokens");
  tokens_ -= aAmount;
}

void
DemandMeter::Add(double aAmount, TimePoint aNow)
{
  level_ = PerSecond(aNow) + aAmount / ToSeconds(timeConstant_);
  last_ = aNow;
}

double
DemandMeter::PerSecond(TimePoint aNow) const
{
  return level_ * std::exp(-ToSeconds(aNow - last_) / ToSeconds(timeConstant_));
}

} // namespace dfm
