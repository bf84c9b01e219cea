#ifndef DRAGONFLYMOOR_RECOVERY_RETRYBUDGET_H
#define DRAGONFLYMOOR_RECOVERY_RETRYBUDGET_H

#include "dragonflymoor/Support/Id.h"
#include <unordered_map>

namespace dfm {

struct RetryBudgetOptions
{
  double earnedPerRequest = 0.1; ///< Additional attempts earned by each request.
  double burst = 10;             ///< Most additional attempts that can be saved up.
};

/// Bounds the additional attempts of each service on one VM, so that retries cannot multiply an
/// overload. It needs no clock: requests earn attempts. Not thread-safe.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions = {});

  /// Changes how many attempts can be saved up, also for those that are saved up already.
  void SetBurst(double aBurst);
  /// Counts a request that entered this VM; not its retries.
  void OnRequest(const ServiceId& aService);
  /// Takes one additional attempt; false when the budget is used up.
  [[nodiscard]] bool TryTakeAttempt(const ServiceId& aService);
  /// Additional attempts left.
  double Left(const ServiceId& aService) const;

private:
  RetryBudgetOptions options_;
  std::unordered_map<ServiceId, double> left_;
};

} // namespace dfm

#endif
