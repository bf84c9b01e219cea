#ifndef DRAGONFLYMOOR_STEERING_INSTANCESTATEMENT_H
#define DRAGONFLYMOOR_STEERING_INSTANCESTATEMENT_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Time.h"
#include <compare>
#include <cstdint>
#include <optional>

namespace dfm {

/// The load of an instance by its own count, at the moment of one of its answers. The answered
/// request is not part of it.
struct StatedLoad
{
  unsigned running = 0; ///< Requests of all VMs that have a slot.
  unsigned waiting = 0; ///< Requests of all VMs that wait for a slot at the instance.
  unsigned slots = 0;
  /// Present duration of its work as a multiple of the usual one; empty when it is not stated.
  std::optional<double> slowness;

  auto operator<=>(const StatedLoad&) const = default;
};

/// What an instance states about itself in one of its answers.
struct InstanceStatement
{
  bool leaving = false; ///< It wants no new request in this run.
  /// Requests a second that it takes from all VMs together while it states so; empty for any
  /// number.
  std::optional<double> maxRequestsPerSecond;
  /// It wants no request from this VM for this long.
  std::optional<Duration> pause;
  /// Empty when it is missing or malformed.
  std::optional<StatedLoad> load;
  /// A load was stated that could not be read.
  bool malformedLoad = false;
  /// A value other than the load could not be read; what is known from earlier statements still
  /// holds.
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
