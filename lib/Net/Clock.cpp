#include "dragonflymoor/Net/Clock.h"

#include <ctime>

namespace dfm {

Now
ReadClocks()
{
  timespec boot{};
  ::clock_gettime(CLOCK_BOOTTIME, &boot);
  const auto sinceBoot = std::chrono::seconds(boot.tv_sec) + std::chrono::nanoseconds(boot.tv_nsec);
  return { .monotonic = TimePoint(std::chrono::duration_cast<Duration>(sinceBoot)),
           .wall = std::chrono::time_point_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now()) };
}

} // namespace dfm
