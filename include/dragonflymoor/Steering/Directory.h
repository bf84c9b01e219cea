#ifndef DRAGONFLYMOOR_STEERING_DIRECTORY_H
#define DRAGONFLYMOOR_STEERING_DIRECTORY_H

#include "dragonflymoor/Steering/FleetView.h"
#include "dragonflymoor/Support/Random.h"
#include <string>
#include <vector>

namespace dfm {

/// A caller's query for the VMs that it may use for one host.
struct DirectoryQuery
{
  std::string host;
  RegionId region;
  FailureDomainId failureDomain;

  auto operator<=>(const DirectoryQuery&) const = default;
};

/// Returns the addresses of at most aMaxVms VMs that a caller may use: the usable VMs of its own
/// region; if there are none, those of regions in which all routes of the host may be served; if
/// there are none either, those of all other regions. Thread-safe if each thread passes its own
/// aRandom.
std::vector<Endpoint>
ResolveVms(const FleetView& aView, const DirectoryQuery& aQuery, size_t aMaxVms, Random& aRandom);

} // namespace dfm

#endif
