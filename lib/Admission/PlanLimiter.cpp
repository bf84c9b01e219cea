#include "dragonflymoor/Admission/PlanLimiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace dfm {

namespace {

/// Each VM holds at least one token, or a small share could never admit a request.
constexpr BucketOptions kRateBucket = { .rate = 1, .burst = 0.1, .leastBurst = 1 };

/// Shares are fractions that should add up to whole requests; covers rounding.
constexpr double kRounding = 1e-6;

ShareKey
KeyOf(ShareKind aKind, const PlanId& aPlan, const ServiceId& aService)
{
  return ShareKey{ .kind = aKind, .name = aPlan.Value() + "/" + aService.Value() };
}

} // namespace

ShareKey
PlanRateKey(const PlanId& aPlan, const ServiceId& aService)
{
  return KeyOf(ShareKind::PlanRate, aPlan, aService);
}

ShareKey
PlanInFlightKey(const PlanId& aPlan, const ServiceId& aService)
{
  return KeyOf(ShareKind::PlanInFlight, aPlan, aService);
}

PlanLimiter::PlanLimiter(ShareBook& aShares)
  : shares_(aShares)
{
}

void
PlanLimiter::SetLimits(const std::vector<PlanLimit>& aLimits, TimePoint aNow)
{
  std::map<LimitKey, const PlanLimit*> wanted;
  for (const PlanLimit& limit : aLimits)
    wanted[{ limit.plan, limit.service }] = &limit;
  for (auto& [key, limit] : limits_) {
    if (!limit.limited || wanted.contains(key))
      continue;
    limit.limited = false;
    shares_.RemoveAmount(limit.rateKey, aNow);
    shares_.RemoveAmount(limit.inFlightKey, aNow);
  }
  for (const auto& [key, limit] : wanted) {
    Limit& entry = FindOrAdd(key.first, key.second);
    shares_.SetAmount(entry.rateKey, limit->requestsPerSecond, std::nullopt, aNow);
    shares_.SetAmount(entry.inFlightKey, limit->maxInFlight, std::nullopt, aNow);
    if (!entry.limited)
      shares_.SetBuckets(entry.rateKey, { kRateBucket }, aNow);
    entry.limited = true;
    ReportInFlight(entry, aNow);
  }
}

PlanLimiter::Limit&
PlanLimiter::FindOrAdd(const PlanId& aPlan, const ServiceId& aService)
{
  const auto [place, added] = limits_.try_emplace({ aPlan, aService });
  if (added) {
    place->second.rateKey = PlanRateKey(aPlan, aService);
    place->second.inFlightKey = PlanInFlightKey(aPlan, aService);
  }
  return place->second;
}

Reason
PlanLimiter::TryAdmit(const PlanId& aPlan,
                      const ServiceId& aService,
                      TimePoint aDeadline,
                      TimePoint aNow)
{
  Limit& limit = FindOrAdd(aPlan, aService);
  if (!limit.limited) {
    ++limit.inFlight;
    return Reason::None;
  }
  limit.rateDemand.Add(1, aNow);
  if (shares_.Tokens(limit.rateKey, 0, aNow) < 1)
    return Reason::PlanRateLimit;
  const double share = shares_.AvailableUntil(limit.inFlightKey, std::max(aDeadline, aNow), aNow);
  if (limit.inFlight + 1 > share + kRounding) {
    limit.inFlightRefused.Add(1, aNow);
    ReportInFlight(limit, aNow);
    return Reason::PlanInFlightLimit;
  }
  shares_.TakeTokens(limit.rateKey, 0, 1, aNow);
  ++limit.inFlight;
  ReportInFlight(limit, aNow);
  return Reason::None;
}

void
PlanLimiter::OnEnded(const PlanId& aPlan, const ServiceId& aService, TimePoint aNow)
{
  Limit& limit = FindOrAdd(aPlan, aService);
  assert(limit.inFlight > 0 && "no request of the plan is in flight");
  --limit.inFlight;
  if (limit.limited)
    ReportInFlight(limit, aNow);
}

void
PlanLimiter::OnTick(TimePoint aNow)
{
  for (auto& [key, limit] : limits_) {
    if (!limit.limited)
      continue;
    shares_.SetDemand(limit.rateKey, limit.rateDemand.PerSecond(aNow), 0, aNow);
    ReportInFlight(limit, aNow);
  }
}

void
PlanLimiter::ReportInFlight(const Limit& aLimit, TimePoint aNow)
{
  // Half a refusal a second still asks for one more request in flight; it fades in some seconds.
  const double refused = std::ceil(aLimit.inFlightRefused.PerSecond(aNow) - 0.5);
  shares_.SetDemand(aLimit.inFlightKey, aLimit.inFlight + refused, aLimit.inFlight, aNow);
}

uint32_t
PlanLimiter::InFlight(const PlanId& aPlan, const ServiceId& aService) const
{
  const auto found = limits_.find({ aPlan, aService });
  return found == limits_.end() ? 0 : found->second.inFlight;
}

} // namespace dfm
