#ifndef DRAGONFLYMOOR_SHARES_TOKENBUCKET_H
#define DRAGONFLYMOOR_SHARES_TOKENBUCKET_H

#include "dragonflymoor/Support/Time.h"
#include <optional>

namespace dfm {

/// Token bucket whose rate and size change over time. It starts empty. Not thread-safe.
class TokenBucket
{
public:
  /// Adds the tokens since the last call at the lower one of the last and the new rate, then bounds
  /// them to aSize. aRate is in tokens a second.
  void Refill(double aRate, double aSize, TimePoint aNow);

  double Tokens() const { return tokens_; }
  /// Takes tokens. Precondition: aAmount is at most Tokens().
  void Take(double aAmount);

private:
  double tokens_ = 0;
  double rate_ = 0;
  std::optional<TimePoint> last_;
};

/// Smoothed rate of events, to learn the demand for a share. Not thread-safe.
class DemandMeter
{
public:
  /// Counts aAmount units that were asked for.
  void Add(double aAmount, TimePoint aNow);
  /// Units a second, with a time constant of one second.
  double PerSecond(TimePoint aNow) const;

private:
  double level_ = 0;
  TimePoint last_;
};

} // namespace dfm

#endif
