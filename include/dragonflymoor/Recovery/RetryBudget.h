#ifndef DRAGONFLYMOOR_RECOVERY_RETRYBUDGET_H
#define DRAGONFLYMOOR_RECOVERY_RETRYBUDGET_H

#include "dragonflymoor/Support/Id.h"
#include <unordered_map>

namespace dfm {

struct RetryBudgetOptions
{
  double earnedPerRequest = 0.1; ///< Additional attempts that each request earns.
  double burst = 10;             ///< Upper bound of saved additional attempts.
};

/// Bounds the additional attempts of each service on one VM, so that retries cannot multiply an
/// overload. It needs no clock: requests earn attempts. Not thread-safe.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions = {});

  /// Changes the upper bound of saved attempts; saved attempts above it are lost.
  void SetBurst(double aBurst);
  /// Counts a request that entered this VM; not its retries.
  void OnRequest(const ServiceId& aService);
  /// Consumes one additional attempt; returns false if the budget is used up.
  [[nodiscard]] bool TryTakeAttempt(const ServiceId& aService);
  /// Additional attempts that are still available.
  double Remaining(const ServiceId& aService) const;

private:
  RetryBudgetOptions options_;
  std::unordered_map<ServiceId, double> remaining_;
};

} // namespace dfm

#endif
