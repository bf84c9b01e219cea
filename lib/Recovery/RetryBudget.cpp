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
  for (auto& [service, left] : left_)
    left = std::min(left, aBurst);
}

void
RetryBudget::OnRequest(const ServiceId& aService)
{
  double& left = left_.try_emplace(aService, options_.burst).first->second;
  left = std::min(left + options_.earnedPerRequest, options_.burst);
}

bool
RetryBudget::TryTakeAttempt(const ServiceId& aService)
{
  // A sum of tenths may stay just below the whole number that it stands for.
  constexpr double kRounding = 1e-9;
  double& left = left_.try_emplace(aService, options_.burst).first->second;
  if (left + kRounding < 1)
    return false;
  left = std::max(left - 1, 0.0);
  return true;
}

double
RetryBudget::Left(const ServiceId& aService) const
{
  const auto found = left_.find(aService);
  return found == left_.end() ? options_.burst : found->second;
}

} // namespace dfm
