#ifndef DRAGONFLYMOOR_DRAINS_DRAINS_H
#define DRAGONFLYMOOR_DRAINS_DRAINS_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Finding.h"
#include "dragonflymoor/Support/Time.h"
#include <set>
#include <string_view>
#include <vector>

namespace dfm {

/// Highest use of the remaining slots that a drain may lead to.
constexpr double kMaxUseAfterDrain = 0.85;

/// What drains at one wall time.
struct DrainingSet
{
  std::set<BackendId> servers;
  std::set<VmId> vms;

  auto operator<=>(const DrainingSet&) const = default;

  bool Contains(const BackendId& aServer) const { return servers.contains(aServer); }
  bool Contains(const VmId& aVm) const { return vms.contains(aVm); }
};

/// Servers and VMs (of the roster) that drain at aNow. A drain of a failure domain covers both.
/// Safe to call from any thread.
DrainingSet
DrainingAt(const FleetLists& aLists, WallTime aNow);

/// Whether a VM drains at aNow; also for a VM that is not in the roster yet.
bool
IsDraining(const FleetLists& aLists, const Vm& aVm, WallTime aNow);

/// Mean use of a service in a region over the last minutes.
struct ServiceUse
{
  ServiceId service;
  RegionId region;
  double slotsInUse = 0;

  auto operator<=>(const ServiceUse&) const = default;
};

/// Checks whether aDrain, together with all drains of aLists whatever their start time, leaves
/// enough: per service and region use at most 85 % of the remaining slots, and one VM in each
/// region that has servers. Only services and regions that the drain takes from are reported. A
/// finding's place is the drain ("failure-domain jhb-1"), its message holds the figures. A target
/// that does not exist is a finding. Safe to call from any thread.
Findings
CheckDrain(const FleetLists& aLists, const Drain& aDrain, const std::vector<ServiceUse>& aUse);

} // namespace dfm

#endif
