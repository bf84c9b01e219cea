#include "dragonflymoor/Steering/Directory.h"

#include <utility>

namespace dfm {

std::vector<Endpoint>
ResolveVms(const FleetView& aView, const DirectoryQuery& aQuery, size_t aMaxVms, Random& aRandom)
{
  std::vector<Endpoint> own;
  std::vector<Endpoint> home;
  std::vector<Endpoint> others;
  for (const Vm& vm : aView.usableVms) {
    if (vm.region == aQuery.region)
      own.push_back(vm.callers);
    else if (aView.routes != nullptr && aView.routes->MayServeHostIn(aQuery.host, vm.region))
      home.push_back(vm.callers);
    else
      others.push_back(vm.callers);
  }
  std::vector<Endpoint>& chosen = !own.empty() ? own : (!home.empty() ? home : others);
  // A random part of a longer list spreads the callers over all VMs.
  for (size_t i = 0; i < std::min(aMaxVms, chosen.size()); ++i)
    std::swap(chosen[i], chosen[i + aRandom.Below(chosen.size() - i)]);
  chosen.resize(std::min(aMaxVms, chosen.size()));
  return std::move(chosen);
}

} // namespace dfm
