#ifndef DRAGONFLYMOOR_STEERING_INSTANCESTATEMENT_H
#define DRAGONFLYMOOR_STEERING_INSTANCESTATEMENT_H

#include "dragonflymoor/Model/Fleet.h"
#include <compare>
#include <cstdint>

namespace dfm {

/// What an instance states about itself in one of its answers.
struct InstanceStatement
{
  bool leaving = false; ///< It wants no new request in this run.

  auto operator<=>(const InstanceStatement&) const = default;
};

/// One run of an instance. An instance may start again under the same id.
struct InstanceRun
{
  BackendId instance;
  uint64_t startTimeMs = 0; ///< Wall time of the start, as in the registration.

  auto operator<=>(const InstanceRun&) const = default;
};

} // namespace dfm

#endif
