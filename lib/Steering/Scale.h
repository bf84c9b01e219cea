#ifndef DRAGONFLYMOOR_LIB_STEERING_SCALE_H
#define DRAGONFLYMOOR_LIB_STEERING_SCALE_H

#include "dragonflymoor/Support/Time.h"

namespace dfm {

/// Returns aDuration multiplied by aFactor, rounded towards zero.
inline Duration
Scale(Duration aDuration, double aFactor)
{
  return Duration(static_cast<int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace dfm

#endif
