#include "Fit.h"

#include <ctime>
#include <fmt/format.h>

namespace dfm::slopes {

double
ThreadCpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

void
PrintFit(std::string_view aWhat,
         std::string_view aSizeUnit,
         std::string_view aUnit,
         const Series& aSeries,
         double aDesignSize)
{
  double meanX = 0;
  double meanY = 0;
  for (const auto& [x, y] : aSeries) {
    meanX += x / static_cast<double>(aSeries.size());
    meanY += y / static_cast<double>(aSeries.size());
  }
  double xx = 0;
  double xy = 0;
  double yy = 0;
  for (const auto& [x, y] : aSeries) {
    xx += (x - meanX) * (x - meanX);
    xy += (x - meanX) * (y - meanY);
    yy += (y - meanY) * (y - meanY);
  }
  const double slope = xx > 0 ? xy / xx : 0;
  const double start = meanY - slope * meanX;
  const double fit = xx > 0 && yy > 0 ? xy * xy / (xx * yy) : 1;
  fmt::print("{}\n", aWhat);
  for (const auto& [x, y] : aSeries)
    fmt::print("  {:>10.6g} {}: {:.4g} {}\n", x, aSizeUnit, y, aUnit);
  fmt::print("  fit: {:.4g} + {:.4g} per {} (r2 {:.3f}); at {:.6g}: {:.4g} {}\n",
             start,
             slope,
             aSizeUnit,
             fit,
             aDesignSize,
             start + slope * aDesignSize,
             aUnit);
}

} // namespace dfm::slopes
