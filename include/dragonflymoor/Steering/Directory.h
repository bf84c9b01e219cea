#ifndef DRAGONFLYMOOR_STEERING_DIRECTORY_H
#define DRAGONFLYMOOR_STEERING_DIRECTORY_H

#include "dragonflymoor/Steering/FleetView.h"
#include "dragonflymoor/Support/Random.h"
#include <string>
#include <vector>

namespace dfm {

/// "Which VMs do I use": asked by a caller for one host.
struct DirectoryQuery
{
  std::string host;
  RegionId region;
  FailureDomainId failureDomain;

  auto operator<=>(const DirectoryQuery&) const = default;
};

/// The VMs that a caller may use, at most aMaxVms: those of its own region, or, when none of them
/// is usable, those of regions in which all routes of the host may be served, or else all others.
/// Safe to call from any thread with a Random of its own.
std::vector<Endpoint>
ResolveVms(const FleetView& aView, const DirectoryQuery& aQuery, size_t aMaxVms, Random& aRandom);

} // namespace dfm

#endif
