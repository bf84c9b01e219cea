#include "TargetChooser.h"

#include <algorithm>

namespace dfm {

namespace {

/// A forward to another region needs this much time before the deadline, besides the service time.
constexpr Duration kRemoteRoundTrip = 40ms;
/// A queue whose expected wait is a larger part of the time left is passed over for another region.
/// A shorter wait is better than the way to another region and back.
constexpr double kLongWaitPart = 0.5;
/// Width of the random part of a load, which splits equal loads.
constexpr double kLoadNoise = 0.05;

} // namespace

TargetChooser::TargetChooser(EngineContext& aContext,
                             const FleetControl& aFleet,
                             const PoolHost& aPools)
  : context_(aContext)
  , fleet_(aFleet)
  , pools_(aPools)
{
}

std::optional<Target>
TargetChooser::Choose(Now aNow, const TargetQuery& aQuery)
{
  auto local = ChooseIn(aNow, aQuery, context_.Self().region);
  if (local && !IsTooSlow(aNow, aQuery, *local))
    return local;
  if (!RemoteAllowed(aNow, aQuery))
    return local;
  for (const RegionId& region : fleet_.Members().RegionsByLatency()) {
    auto remote = ChooseIn(aNow, aQuery, region);
    if (remote && !IsTooSlow(aNow, aQuery, *remote))
      return remote;
  }
  return local;
}

Duration
TargetChooser::ExpectedTime(const ServiceId& aService) const
{
  const Service* service = fleet_.Lists().FindService(aService);
  return service ? service->expectedTime : Duration{};
}

bool
TargetChooser::RemoteAllowed(Now aNow, const TargetQuery& aQuery) const
{
  return aNow.monotonic + kRemoteRoundTrip + ExpectedTime(aQuery.service) < aQuery.deadline;
}

bool
TargetChooser::IsTooSlow(Now aNow, const TargetQuery& aQuery, const Target& aTarget) const
{
  const double queued = std::max(0.0, pools_.Load(aTarget.pool, aNow) - 1);
  const double wait = queued * ToSeconds(ExpectedTime(aQuery.service));
  return wait > kLongWaitPart * ToSeconds(aQuery.deadline - aNow.monotonic);
}

std::optional<Target>
TargetChooser::ChooseIn(Now aNow, const TargetQuery& aQuery, const RegionId& aRegion)
{
  std::optional<Target> best;
  double bestLoad = 0;
  for (const PoolSite& site : pools_.PoolsOf(aQuery.service)) {
    if (site.region != aRegion || aQuery.triedPools.contains(site.pool))
      continue;
    if (pools_.RefusedLately(aNow, site.pool))
      continue;
    const std::optional<VmId> owner = pools_.Owner(site.pool, aNow);
    if (!owner)
      continue;
    const bool own = *owner == context_.Self().id;
    if (own && !pools_.HasServer(site.pool, aQuery.triedServers))
      continue;
    double load = pools_.Load(site.pool, aNow) + kLoadNoise * context_.random.Unit();
    // An own pool saves a hop and wins while it has free slots.
    if (own && load < 1)
      load /= 2;
    if (!best || load < bestLoad) {
      best = Target{ .pool = site.pool, .owner = *owner, .region = aRegion };
      bestLoad = load;
    }
  }
  return best;
}

} // namespace dfm
