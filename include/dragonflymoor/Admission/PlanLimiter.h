#ifndef DRAGONFLYMOOR_ADMISSION_PLANLIMITER_H
#define DRAGONFLYMOOR_ADMISSION_PLANLIMITER_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Model/Outcome.h"
#include "dragonflymoor/Shares/ShareBook.h"
#include "dragonflymoor/Shares/TokenBucket.h"
#include "dragonflymoor/Support/Time.h"
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace dfm {

/// Keys of the two fleet-wide amounts of a plan limit, named "plan/service".
ShareKey
PlanRateKey(const PlanId& aPlan, const ServiceId& aService);
ShareKey
PlanInFlightKey(const PlanId& aPlan, const ServiceId& aService);

/// Enforces this VM's share of the plan limits, at the VM where a request enters. Not thread-safe.
///
/// Rate: in any second the fleet admits at most the limit plus 10 % of it plus one request for each
/// VM (a bucket holds at least one token). In flight: a request is admitted only against a share
/// that this VM holds until the deadline of the request, so that a loan never ends under it.
class PlanLimiter
{
public:
  /// Precondition: aShares outlives this object.
  explicit PlanLimiter(ShareBook& aShares);

  /// Replaces the limits; requests in flight stay counted. A plan and service without a limit is
  /// not limited.
  void SetLimits(const std::vector<PlanLimit>& aLimits, TimePoint aNow);

  /// Reason::None admits and counts the request until OnEnded; PlanRateLimit or PlanInFlightLimit
  /// refuses it.
  Reason TryAdmit(const PlanId& aPlan,
                  const ServiceId& aService,
                  TimePoint aDeadline,
                  TimePoint aNow);

  /// Reports the demand to the shares. To be called every 20 ms or so, before ShareBook::OnTick.
  void OnTick(TimePoint aNow);

  /// An admitted request ended, however it ended.
  void OnEnded(const PlanId& aPlan, const ServiceId& aService, TimePoint aNow);

  uint32_t InFlight(const PlanId& aPlan, const ServiceId& aService) const;

private:
  struct Limit
  {
    bool limited = false;
    ShareKey rateKey;
    ShareKey inFlightKey;
    DemandMeter rateDemand;
    DemandMeter inFlightRefused;
    uint32_t inFlight = 0;
  };
  using LimitKey = std::pair<PlanId, ServiceId>;

  Limit& FindOrAdd(const PlanId& aPlan, const ServiceId& aService);
  void ReportInFlight(const Limit& aLimit, TimePoint aNow);

  ShareBook& shares_;
  std::map<LimitKey, Limit> limits_;
};

} // namespace dfm

#endif
