#ifndef DRAGONFLYMOOR_STEERING_INSTANCESTATEMENT_H
#define DRAGONFLYMOOR_STEERING_INSTANCESTATEMENT_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Time.h"
#include <compare>
#include <cstdint>
#include <optional>

namespace dfm {

/// What an instance states about itself in one of its answers.
struct InstanceStatement
{
  bool leaving = false; ///< It wants no new request in this run.
  /// Requests a second that it takes from all VMs together while it states so; empty for any
  /// number.
  std::optional<double> maxRequestsPerSecond;
  /// It wants no request from this VM for this long.
  std::optional<Duration> pause;
  /// A value could not be read; what is known from earlier statements still holds.
  bool malformed = false;

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
