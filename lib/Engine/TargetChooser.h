#ifndef DRAGONFLYMOOR_LIB_ENGINE_TARGETCHOOSER_H
#define DRAGONFLYMOOR_LIB_ENGINE_TARGETCHOOSER_H

#include "EngineContext.h"
#include "FleetControl.h"
#include "PoolHost.h"
#include <optional>
#include <set>

namespace dfm {

/// Pool for a request, with the VM that owns it.
struct Target
{
  PoolId pool;
  VmId owner;
  RegionId region;
};

/// What a request has tried, and what it still needs.
struct TargetQuery
{
  const ServiceId& service;
  TimePoint deadline;
  const std::set<PoolId>& triedPools;
  const std::set<BackendId>& triedServers;
};

/// Chooses pools: the own region first, another one when the queues here are too long. Not
/// thread-safe.
class TargetChooser
{
public:
  TargetChooser(EngineContext& aContext, const FleetControl& aFleet, const PoolHost& aPools);

  /// Empty when there is no pool left to try. It takes nothing from any budget.
  std::optional<Target> Choose(Now aNow, const TargetQuery& aQuery);

private:
  std::optional<Target> ChooseIn(Now aNow, const TargetQuery& aQuery, const RegionId& aRegion);
  /// Whether the queue of a pool is so long that the request would probably miss its deadline.
  bool IsTooSlow(Now aNow, const TargetQuery& aQuery, const Target& aTarget) const;
  bool RemoteAllowed(Now aNow, const TargetQuery& aQuery) const;
  Duration ExpectedTime(const ServiceId& aService) const;

  EngineContext& context_;
  const FleetControl& fleet_;
  const PoolHost& pools_;
};

} // namespace dfm

#endif
