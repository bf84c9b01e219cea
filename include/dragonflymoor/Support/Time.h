#ifndef DRAGONFLYMOOR_SUPPORT_TIME_H
#define DRAGONFLYMOOR_SUPPORT_TIME_H

#include <chrono>
#include <cstdint>

namespace dfm {

using namespace std::chrono_literals;

using Duration = std::chrono::microseconds;

/// Clock of the decision code. It has no now(): every decision gets its time as an argument, from
/// the system's monotonic clock in the daemon and from a virtual clock in tests.
struct MonotonicClock
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

using TimePoint = MonotonicClock::time_point;

/// Wall-clock time in milliseconds since the epoch; only for times that callers and operators
/// write.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Time used by one decision: the two clocks read together.
struct Now
{
  TimePoint monotonic;
  WallTime wall;
};

inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

inline Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace dfm

#endif
