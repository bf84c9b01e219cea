#ifndef DRAGONFLYMOOR_ROUTING_ROUTETABLEBUILDER_H
#define DRAGONFLYMOOR_ROUTING_ROUTETABLEBUILDER_H

#include "dragonflymoor/Engine/Engine.h"
#include "dragonflymoor/Model/Fleet.h"
#include <functional>
#include <optional>
#include <vector>

namespace dfm {

/// What a route table depends on.
struct RouteInputs
{
  /// Where the callers are: the failure domain and region of this VM, or of the callers' site.
  RegionId region;
  FailureDomainId failureDomain;
  /// Other regions, nearest first (Membership::RegionsByLatency). Regions not named here come last.
  std::vector<RegionId> regionsByLatency;
  /// Live VMs that are not leaving.
  std::vector<Vm> vms;
  /// Live VMs that are leaving; used only when there is no other.
  std::vector<Vm> leavingVms;
  /// Owner of a pool, or empty when it has none. Each pool is asked for once.
  std::function<std::optional<VmId>(const PoolId&)> ownerOf;
  size_t entriesPerService = 4;
  Duration ttl = 2s;
  std::string keyPrefix;
};

/// Builds the rows of all services: owners of pools in the own failure domain first, then of the
/// own region, then of other regions by latency; the remaining places go to other VMs in the same
/// order, spread over callers by service. A VM appears once in a row. Leaving and dead VMs never
/// appear while another VM lives; a row is empty only when no VM lives. ready is false when there
/// is no service. Safe to call from any thread.
RouteTable
BuildRouteTable(const FleetLists& aLists, const RouteInputs& aInputs);

} // namespace dfm

#endif
