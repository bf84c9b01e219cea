#include "dragonflymoor/Steering/ObjectCounter.h"

#include <algorithm>
#include <cmath>

namespace dfm {

namespace {

/// Requests before there is an estimate, and between two estimates. With so few, a tenth of some
/// hundred objects comes again.
constexpr size_t kEstimatePeriod = 40;

/// After so many requests the sample starts anew, so that it follows the load and stays small.
constexpr size_t kMaxSampleSize = 4000;

/// Steps of the bisection; the factor between its bounds shrinks to a thousandth.
constexpr int kBisectionSteps = 40;

/// Number of objects that explains a sample: of n equally likely objects, r requests meet n(1 -
/// e^(-r/n)).
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
  keys_.insert(aKey);
  if (++requests_ % kEstimatePeriod == 0)
    estimate_ =
      EstimateObjectCount(static_cast<double>(requests_), static_cast<double>(keys_.size()));
  if (requests_ < kMaxSampleSize)
    return;
  keys_.clear();
  requests_ = 0;
}

} // namespace dfm
