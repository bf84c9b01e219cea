#include "dragonflymoor/Drains/Drains.h"

#include "dragonflymoor/Model/Lists.h"
#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace dfm {

namespace {

bool
Covers(const Drain& aDrain, const BackendServer& aServer)
{
  return (aDrain.target == DrainTarget::BackendServer && aDrain.name == aServer.id.Value()) ||
         (aDrain.target == DrainTarget::FailureDomain &&
          aDrain.name == aServer.failureDomain.Value());
}

bool
Covers(const Drain& aDrain, const Vm& aVm)
{
  return (aDrain.target == DrainTarget::Vm && aDrain.name == aVm.id.Value()) ||
         (aDrain.target == DrainTarget::FailureDomain && aDrain.name == aVm.failureDomain.Value());
}

template<typename T>
bool
CoversAny(const std::vector<Drain>& aDrains, const T& aItem)
{
  return std::any_of(
    aDrains.begin(), aDrains.end(), [&](const Drain& aDrain) { return Covers(aDrain, aItem); });
}

/// What a drain takes from one service in one region.
struct Capacity
{
  uint64_t taken = 0; ///< Slots that the drain itself removes.
  uint64_t left = 0;  ///< Slots that no drain removes.
};

} // namespace

DrainingSet
DrainingAt(const FleetLists& aLists, WallTime aNow)
{
  std::vector<Drain> drains;
  std::copy_if(aLists.drains.begin(),
               aLists.drains.end(),
               std::back_inserter(drains),
               [&](const Drain& aDrain) { return aDrain.startsAt <= aNow; });
  DrainingSet set;
  for (const BackendServer& server : aLists.backends) {
    if (CoversAny(drains, server))
      set.servers.insert(server.id);
  }
  for (const Vm& vm : aLists.roster) {
    if (CoversAny(drains, vm))
      set.vms.insert(vm.id);
  }
  return set;
}

bool
IsDraining(const FleetLists& aLists, const Vm& aVm, WallTime aNow)
{
  return std::any_of(aLists.drains.begin(), aLists.drains.end(), [&](const Drain& aDrain) {
    return aDrain.startsAt <= aNow && Covers(aDrain, aVm);
  });
}

Findings
CheckDrain(const FleetLists& aLists, const Drain& aDrain, const std::vector<ServiceUse>& aUse)
{
  const std::string place = fmt::format("{} {}", ToString(aDrain.target), aDrain.name);
  // The drain itself may be in the lists already; it must not count twice.
  std::vector<Drain> others;
  std::copy_if(aLists.drains.begin(),
               aLists.drains.end(),
               std::back_inserter(others),
               [&](const Drain& aOther) {
                 return aOther.target != aDrain.target || aOther.name != aDrain.name;
               });
  Findings findings;
  const auto fail = [&](std::string aMessage) {
    findings.push_back({ .place = place, .message = std::move(aMessage) });
  };

  std::map<std::pair<ServiceId, RegionId>, Capacity> capacities;
  std::map<RegionId, Capacity> vms;
  bool known = false;
  for (const BackendServer& server : aLists.backends) {
    const bool taken = Covers(aDrain, server);
    known = known || taken;
    if (CoversAny(others, server))
      continue;
    Capacity& capacity = capacities[{ server.service, server.region }];
    (taken ? capacity.taken : capacity.left) += server.slots;
  }
  for (const Vm& vm : aLists.roster) {
    const bool taken = Covers(aDrain, vm);
    known = known || taken;
    if (!CoversAny(others, vm))
      ++(taken ? vms[vm.region].taken : vms[vm.region].left);
  }
  if (!known)
    fail("does not exist");

  for (const auto& entry : capacities) {
    const auto& key = entry.first;
    const Capacity& capacity = entry.second;
    const auto use = std::find_if(aUse.begin(), aUse.end(), [&](const ServiceUse& aEntry) {
      return aEntry.service == key.first && aEntry.region == key.second;
    });
    const double inUse = use == aUse.end() ? 0 : use->slotsInUse;
    const double allowed = kMaxUseAfterDrain * static_cast<double>(capacity.left);
    if (capacity.taken == 0 || inUse <= allowed)
      continue;
    const uint64_t before = capacity.left + capacity.taken;
    fail(fmt::format("service {} in region {} would use {:.1f} of {} slots left ({} now), at most "
                     "{:.1f} ({:.0f} %) are allowed",
                     key.first.Value(),
                     key.second.Value(),
                     inUse,
                     capacity.left,
                     before,
                     allowed,
                     kMaxUseAfterDrain * 100));
  }
  for (const auto& entry : vms) {
    const RegionId& region = entry.first;
    const Capacity& count = entry.second;
    const bool hasServers =
      std::any_of(capacities.begin(), capacities.end(), [&](const auto& aEntry) {
        return aEntry.first.second == region && aEntry.second.left > 0;
      });
    if (count.taken > 0 && count.left == 0 && hasServers)
      fail(fmt::format("region {} would have no entry VM left", region.Value()));
  }
  return findings;
}

} // namespace dfm
