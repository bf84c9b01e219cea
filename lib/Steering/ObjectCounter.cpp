#include "dragonflymoor/Steering/ObjectCounter.h"

#include <algorithm>
#include <cmath>

namespace dfm {

namespace {

/// Number of requests before the first estimate and between two estimates. Among this many requests
/// for a few hundred objects, about a tenth repeat an earlier key.
constexpr size_t kEstimatePeriod = 40;

/// After this many requests a new sample begins, so that the estimate follows the load and the
/// sample stays small.
constexpr size_t kMaxSampleSize = 4000;

/// Steps of the bisection, which runs on a logarithmic scale; afterwards the bounds differ by less
/// than a thousandth.
constexpr int kBisectionSteps = 40;

/// Estimates the number of objects from a sample of aRequests requests with aDistinct distinct
/// keys. With n equally likely objects, r requests are expected to refer to n(1 - e^(-r/n)) of
/// them.
double
EstimateObjectCount(double aRequests, double aDistinct)
{
  double low = aDistinct;
  double high = aDistinct * aRequests;
  for (int step = 0; step < kBisectionSteps; ++step) {
    const double middle = std::sqrt(low * high);
    if (middle * -std::expm1(-aRequests / middle) < aDistinct)
      low = middle;
    else
      high = middle;
  }
  return std::sqrt(low * high);
}

} // namespace

void
ObjectCounter::OnRequest(uint64_t aKey)
{
  sampledKeys_.insert(aKey);
  if (++sampledRequests_ % kEstimatePeriod == 0)
    estimate_ = EstimateObjectCount(static_cast<double>(sampledRequests_),
                                    static_cast<double>(sampledKeys_.size()));
  if (sampledRequests_ < kMaxSampleSize)
    return;
  sampledKeys_.clear();
  sampledRequests_ = 0;
}

} // namespace dfm
