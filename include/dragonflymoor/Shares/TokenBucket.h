#ifndef DRAGONFLYMOOR_SHARES_TOKENBUCKET_H
#define DRAGONFLYMOOR_SHARES_TOKENBUCKET_H

#include "dragonflymoor/Support/Time.h"

namespace dfm {

/// Shape of a token bucket that is filled from a share.
struct BucketOptions
{
  double rate = 1;       ///< Part of the share that fills the bucket in each second.
  double burst = 0.1;    ///< Size of the bucket as part of the share.
  double leastBurst = 0; ///< Smallest size, in tokens.
};

/// Token bucket whose rate and size follow a share. It starts empty. Not thread-safe.
class TokenBucket
{
public:
  explicit TokenBucket(BucketOptions aOptions = {});

  /// Adds the tokens of aElapsed, during which the share was aShare.
  void Fill(double aShare, Duration aElapsed);
  /// Drops the tokens that do not fit the bucket of a share.
  void Bound(double aShare);
  double Size(double aShare) const;
  double Tokens() const { return tokens_; }
  /// Takes tokens. Precondition: aAmount is at most Tokens().
  void Take(double aAmount);

private:
  BucketOptions options_;
  double tokens_ = 0;
};

/// Smoothed rate of events, to learn the demand for a share. Not thread-safe.
class DemandMeter
{
public:
  /// Precondition: aTimeConstant is above 0.
  explicit DemandMeter(Duration aTimeConstant = std::chrono::seconds(1))
    : timeConstant_(aTimeConstant)
  {
  }

  /// Counts aAmount units that were asked for.
  void Add(double aAmount, TimePoint aNow);
  /// Units a second, smoothed over the time constant.
  double PerSecond(TimePoint aNow) const;

private:
  Duration timeConstant_;
  double level_ = 0;
  TimePoint last_;
};

} // namespace dfm

#endif
