#include "dragonflymoor/Steering/LoadTopology.h"

#include "dragonflymoor/Support/Hash.h"
#include <algorithm>
#include <map>

namespace dfm {

namespace {

/// Largest fleet in which each VM reports to all others.
constexpr size_t kMaxDirectVms = 16;

/// Relays of each failure domain. The second one covers the time until the loss of the first one is
/// noticed.
constexpr size_t kRelaysPerDomain = 2;

/// Period of reports to VMs of the own region: a third of the duration of the shortest requests, so
/// that other VMs learn in time of most slots that become free.
constexpr Duration kSameRegionPeriod = 25ms;

/// Period of reports to VMs of other regions, which use them mainly to compare regions.
constexpr Duration kOtherRegionsPeriod = 100ms;
constexpr Duration kRelayedOtherRegionsPeriod = 50ms;

/// Relayed loads are as old as the reports inside a failure domain in any case.
constexpr Duration kMinRelayedPeriod = 100ms;

/// Number of receivers up to which a group keeps its period. With more receivers the period grows
/// in proportion, so that the VM sends no more bytes per second. Bytes between failure domains are
/// priced, and most requests stay in one failure domain, so the other domains may get reports
/// later.
constexpr size_t kMaxSameDomainReceivers = 6;
constexpr size_t kMaxSameRegionReceivers = 2;
constexpr size_t kMaxOtherRegionsReceivers = 6;

Duration
ScaledPeriod(Duration aPeriod, size_t aReceivers, size_t aMaxReceivers)
{
  return aPeriod * std::max(aReceivers, aMaxReceivers) / aMaxReceivers;
}

/// The relays among the VMs of one failure domain, in order of their weights.
std::vector<Vm>
ChooseRelays(const FailureDomainId& aDomain, std::vector<Vm> aVms)
{
  const std::string& domain = aDomain.Value();
  const auto weight = [&domain](const Vm& aVm) { return RendezvousWeight(domain, aVm.id.Value()); };
  const auto count = static_cast<std::ptrdiff_t>(std::min(aVms.size(), kRelaysPerDomain));
  std::partial_sort(
    aVms.begin(), aVms.begin() + count, aVms.end(), [&](const Vm& aLeft, const Vm& aRight) {
      return weight(aLeft) > weight(aRight);
    });
  aVms.resize(static_cast<size_t>(count));
  return aVms;
}

LoadTopology
MakeDirectTopology(const Vm& aSelf, const std::vector<Vm>& aVms)
{
  LoadTopology topology;
  for (const Vm& vm : aVms) {
    if (vm.id == aSelf.id)
      continue;
    LoadReceivers& group = vm.region != aSelf.region                 ? topology.otherRegions
                           : vm.failureDomain == aSelf.failureDomain ? topology.sameDomain
                                                                     : topology.sameRegion;
    group.vms.push_back(vm);
  }
  topology.sameRegion.period =
    ScaledPeriod(kSameRegionPeriod, topology.sameRegion.vms.size(), kMaxSameRegionReceivers);
  topology.otherRegions.period =
    ScaledPeriod(kOtherRegionsPeriod, topology.otherRegions.vms.size(), kMaxOtherRegionsReceivers);
  return topology;
}

LoadTopology
MakeRelayedTopology(const Vm& aSelf, const std::vector<Vm>& aVms)
{
  LoadTopology topology{ .relayed = true };
  std::map<FailureDomainId, std::vector<Vm>> vmsByDomain;
  for (const Vm& vm : aVms) {
    vmsByDomain[vm.failureDomain].push_back(vm);
    if (vm.failureDomain == aSelf.failureDomain && vm.id != aSelf.id)
      topology.sameDomain.vms.push_back(vm);
  }
  const std::vector<Vm> ownRelays =
    ChooseRelays(aSelf.failureDomain, vmsByDomain[aSelf.failureDomain]);
  const auto self = std::find_if(
    ownRelays.begin(), ownRelays.end(), [&](const Vm& aVm) { return aVm.id == aSelf.id; });
  if (self == ownRelays.end())
    return topology;
  // Each relay sends to one relay of each other domain. The relays of one domain send to different
  // ones, so that one loss on either side leaves half of the reports.
  const auto ownIndex = static_cast<size_t>(self - ownRelays.begin());
  for (const auto& [domain, vms] : vmsByDomain) {
    if (domain == aSelf.failureDomain)
      continue;
    const std::vector<Vm> relays = ChooseRelays(domain, vms);
    const Vm& receiver = relays[ownIndex % relays.size()];
    (receiver.region == aSelf.region ? topology.sameRegion : topology.otherRegions)
      .vms.push_back(receiver);
  }
  // The receivers forward each report inside their domain, which has about as many VMs as this one.
  const auto periodFor = [&](Duration aPeriod, const LoadReceivers& aReceivers) {
    const size_t forwarded = topology.sameDomain.vms.size() * aReceivers.vms.size();
    return std::max(kMinRelayedPeriod, ScaledPeriod(aPeriod, forwarded, kMaxSameDomainReceivers));
  };
  topology.sameRegion.period = periodFor(kSameRegionPeriod, topology.sameRegion);
  topology.otherRegions.period = periodFor(kRelayedOtherRegionsPeriod, topology.otherRegions);
  return topology;
}

} // namespace

LoadTopology
MakeLoadTopology(const Vm& aSelf, const std::vector<Vm>& aVms)
{
  LoadTopology topology = aVms.size() <= kMaxDirectVms ? MakeDirectTopology(aSelf, aVms)
                                                       : MakeRelayedTopology(aSelf, aVms);
  topology.sameDomain.period =
    ScaledPeriod(kSameRegionPeriod, topology.sameDomain.vms.size(), kMaxSameDomainReceivers);
  return topology;
}

} // namespace dfm
