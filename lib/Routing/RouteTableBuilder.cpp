#include "dragonflymoor/Routing/RouteTableBuilder.h"

#include "dragonflymoor/Support/Hash.h"
#include <algorithm>
#include <cassert>
#include <limits>
#include <map>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

namespace dfm {

namespace {

/// Order of places as seen from the callers: own failure domain, own region, then the other
/// regions.
class Distances
{
public:
  explicit Distances(const RouteInputs& aInputs)
    : inputs_(aInputs)
  {
    for (const RegionId& region : aInputs.regionsByLatency)
      regions_.emplace(region, regions_.size() + 2);
  }

  size_t Of(const RegionId& aRegion, const FailureDomainId& aDomain) const
  {
    if (aDomain == inputs_.failureDomain)
      return 0;
    if (aRegion == inputs_.region)
      return 1;
    const auto found = regions_.find(aRegion);
    return found == regions_.end() ? std::numeric_limits<size_t>::max() : found->second;
  }

private:
  const RouteInputs& inputs_;
  std::map<RegionId, size_t> regions_;
};

/// A VM that may be named, with its place in the order.
struct Candidate
{
  size_t distance = 0;
  const Vm* vm = nullptr;
};

class RowBuilder
{
public:
  RowBuilder(const ServiceId& aService, size_t aLimit)
    : limit_(aLimit)
  {
    row_.service = aService;
  }

  bool Full() const { return row_.entries.size() >= limit_; }

  void Add(const Vm& aVm)
  {
    if (!Full() && used_.insert(&aVm).second)
      row_.entries.push_back({ .vm = aVm.id, .endpoint = aVm.callers });
  }

  RouteTable::Row Take() { return std::move(row_); }

private:
  RouteTable::Row row_;
  size_t limit_;
  std::unordered_set<const Vm*> used_;
};

/// Distance and failure domain of a pool.
using Pool = std::pair<size_t, FailureDomainId>;

} // namespace

RouteTable
BuildRouteTable(const FleetLists& aLists, const RouteInputs& aInputs)
{
  assert(aInputs.ownerOf && aInputs.entriesPerService > 0 && "incomplete route inputs");
  const Distances distances(aInputs);
  const std::vector<Vm>& vms = aInputs.vms.empty() ? aInputs.leavingVms : aInputs.vms;
  std::unordered_map<VmId, const Vm*> byId;
  std::vector<Candidate> candidates;
  for (const Vm& vm : vms) {
    byId.emplace(vm.id, &vm);
    candidates.push_back({ .distance = distances.Of(vm.region, vm.failureDomain), .vm = &vm });
  }
  std::sort(
    candidates.begin(), candidates.end(), [](const Candidate& aLeft, const Candidate& aRight) {
      return std::tie(aLeft.distance, aLeft.vm->id) < std::tie(aRight.distance, aRight.vm->id);
    });
  std::map<ServiceId, std::vector<Pool>> pools;
  for (const BackendServer& server : aLists.backends)
    pools[server.service].emplace_back(distances.Of(server.region, server.failureDomain),
                                       server.failureDomain);

  RouteTable table;
  table.ttl = aInputs.ttl;
  table.keyPrefix = aInputs.keyPrefix;
  for (const Service& service : aLists.services) {
    RowBuilder row(service.id, aInputs.entriesPerService);
    std::vector<Pool>& own = pools[service.id];
    std::sort(own.begin(), own.end());
    own.erase(std::unique(own.begin(), own.end()), own.end());
    for (const auto& [distance, domain] : own) {
      if (row.Full())
        break;
      const auto owner = aInputs.ownerOf({ .service = service.id, .failureDomain = domain });
      const auto vm = owner ? byId.find(*owner) : byId.end();
      if (vm != byId.end())
        row.Add(*vm->second);
    }
    // Within one distance the first of these VMs differs from service to service.
    for (size_t first = 0; first < candidates.size() && !row.Full();) {
      size_t last = first;
      while (last < candidates.size() && candidates[last].distance == candidates[first].distance)
        ++last;
      const size_t count = last - first;
      const size_t start = HashBytes(service.id.Value()) % count;
      for (size_t i = 0; i < count && !row.Full(); ++i)
        row.Add(*candidates[first + (start + i) % count].vm);
      first = last;
    }
    table.rows.push_back(row.Take());
  }
  table.ready = !table.rows.empty();
  return table;
}

} // namespace dfm
