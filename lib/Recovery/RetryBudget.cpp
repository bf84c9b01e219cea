#include "dragonflymoor/Recovery/RetryBudget.h"

#include <algorithm>

namespace dfm {

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : options_(aOptions)
{
}

void
RetryBudget::SetBurst(double aBurst)
{
  options_.burst = aBurst;
  for (auto& [service, left] : remaining_)
    left = std::min(left, aBurst);
}

void
RetryBudget::OnRequest(const ServiceId& aService)
{
  double& left = remaining_.try_emplace(aService, options_.burst).first->second;
  left = std::min(left + options_.earnedPerRequest, options_.burst);
}

bool
RetryBudget::TryTakeAttempt(const ServiceId& aService)
{
  // A sum of tenths may be slightly below the whole number because of rounding.
  constexpr double kRoundingTolerance = 1e-9;
  double& left = remaining_.try_emplace(aService, options_.burst).first->second;
  if (left + kRoundingTolerance < 1)
    return false;
  left = std::max(left - 1, 0.0);
  return true;
}

double
RetryBudget::Remaining(const ServiceId& aService) const
{
  const auto found = remaining_.find(aService);
  return found == remaining_.end() ? options_.burst : found->second;
}

} // namespace dfm
