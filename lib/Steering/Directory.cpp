#include "dragonflymoor/Steering/Directory.h"

#include <utility>

namespace dfm {

std::vector<Endpoint>
ResolveVms(const FleetView& aView, const DirectoryQuery& aQuery, size_t aMaxVms, Random& aRandom)
{
  std::vector<Endpoint> inOwnRegion;
  std::vector<Endpoint> inHomeRegions;
  std::vector<Endpoint> inOtherRegions;
  for (const Vm& vm : aView.usableVms) {
    if (vm.region == aQuery.region)
      inOwnRegion.push_back(vm.callers);
    else if (aView.routes != nullptr && aView.routes->MayServeHostIn(aQuery.host, vm.region))
      inHomeRegions.push_back(vm.callers);
    else
      inOtherRegions.push_back(vm.callers);
  }
  std::vector<Endpoint>& chosen =
    !inOwnRegion.empty() ? inOwnRegion : (!inHomeRegions.empty() ? inHomeRegions : inOtherRegions);
  // Selects VMs at random, so that the callers spread over all VMs if the list exceeds aMaxVms.
  for (size_t i = 0; i < std::min(aMaxVms, chosen.size()); ++i)
    std::swap(chosen[i], chosen[i + aRandom.Below(chosen.size() - i)]);
  chosen.resize(std::min(aMaxVms, chosen.size()));
  return std::move(chosen);
}

} // namespace dfm
