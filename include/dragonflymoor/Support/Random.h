#ifndef DRAGONFLYMOOR_SUPPORT_RANDOM_H
#define DRAGONFLYMOOR_SUPPORT_RANDOM_H

#include "dragonflymoor/Support/Time.h"
#include <cassert>
#include <cstdint>
#include <pcg_random.hpp>
#include <random>

namespace dfm {

/// Seeded random numbers for decisions; the same seed gives the same decisions. Not thread-safe.
class Random
{
public:
  explicit Random(uint64_t aSeed)
    : generator_(aSeed)
  {
  }

  /// Uniform integer in [0, aBound). Precondition: aBound > 0.
  uint64_t Below(uint64_t aBound)
  {
    assert(aBound > 0 && "empty range");
    return std::uniform_int_distribution<uint64_t>(0, aBound - 1)(generator_);
  }

  /// Uniform real number in [0, 1).
  double Unit() { return std::uniform_real_distribution<double>(0, 1)(generator_); }

  /// Uniform duration in [aLow, aHigh). Precondition: aLow < aHigh.
  Duration Between(Duration aLow, Duration aHigh)
  {
    return aLow + Duration(Below(static_cast<uint64_t>((aHigh - aLow).count())));
  }

  uint64_t Next() { return generator_(); }

private:
  pcg64 generator_;
};

} // namespace dfm

#endif
