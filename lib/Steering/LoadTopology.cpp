#include "dragonflymoor/Steering/LoadTopology.h"

#include "dragonflymoor/Support/Hash.h"
#include <algorithm>
#include <map>
#include <utility>

namespace dfm {

namespace {

/// Largest fleet in which each VM reports to all others.
constexpr size_t kMaxDirectVms = 16;

/// Relays of a failure domain for each other domain. The second one covers the time until the loss
/// of the first one is noticed.
constexpr size_t kRelaysPerPeer = 2;

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

using VmsByDomain = std::map<FailureDomainId, std::vector<Vm>>;

/// Sorts the VMs of a failure domain by their rendezvous weights, so that the relays of a domain
/// change little when VMs come and go.
void
SortByWeight(const FailureDomainId& aDomain, std::vector<Vm>& aVms)
{
  const std::string& domain = aDomain.Value();
  std::vector<std::pair<uint64_t, size_t>> order;
  for (size_t i = 0; i < aVms.size(); ++i)
    order.emplace_back(RendezvousWeight(domain, aVms[i].id.Value()), i);
  std::sort(order.begin(), order.end());
  std::vector<Vm> sorted;
  sorted.reserve(aVms.size());
  for (const auto& [weight, index] : order)
    sorted.push_back(std::move(aVms[index]));
  aVms = std::move(sorted);
}

/// Position of aOther among the failure domains other than aDomain.
size_t
PeerIndex(const VmsByDomain& aVmsByDomain,
          const FailureDomainId& aDomain,
          const FailureDomainId& aOther)
{
  size_t index = 0;
  for (const auto& [domain, vms] : aVmsByDomain) {
    if (domain == aOther)
      return index;
    index += domain == aDomain ? 0 : 1;
  }
  return index;
}

/// The VMs of aDomain that exchange sums with aOther.
std::vector<Vm>
ChooseRelays(const VmsByDomain& aVmsByDomain,
             const FailureDomainId& aDomain,
             const FailureDomainId& aOther)
{
  const std::vector<Vm>& vms = aVmsByDomain.at(aDomain);
  const size_t first = kRelaysPerPeer * PeerIndex(aVmsByDomain, aDomain, aOther);
  std::vector<Vm> relays;
  for (size_t i = 0; i < std::min(vms.size(), kRelaysPerPeer); ++i)
    relays.push_back(vms[(first + i) % vms.size()]);
  return relays;
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
  VmsByDomain vmsByDomain;
  for (const Vm& vm : aVms) {
    vmsByDomain[vm.failureDomain].push_back(vm);
    if (vm.failureDomain == aSelf.failureDomain && vm.id != aSelf.id)
      topology.sameDomain.vms.push_back(vm);
  }
  for (auto& [domain, vms] : vmsByDomain)
    SortByWeight(domain, vms);
  size_t domainsInOwnRegion = 0;
  size_t domainsInOtherRegions = 0;
  for (const auto& [domain, vms] : vmsByDomain) {
    if (domain == aSelf.failureDomain)
      continue;
    const bool inOwnRegion = vms.front().region == aSelf.region;
    ++(inOwnRegion ? domainsInOwnRegion : domainsInOtherRegions);
    const std::vector<Vm> senders = ChooseRelays(vmsByDomain, aSelf.failureDomain, domain);
    const std::vector<Vm> receivers = ChooseRelays(vmsByDomain, domain, aSelf.failureDomain);
    // The senders send to different receivers, so that one loss on either side leaves half of the
    // reports.
    for (size_t i = 0; i < senders.size(); ++i) {
      if (senders[i].id == aSelf.id)
        (inOwnRegion ? topology.sameRegion : topology.otherRegions)
          .vms.push_back(receivers[i % receivers.size()]);
    }
  }
  // The receivers forward each report inside their domain, which has about as many VMs as this one.
  const auto periodFor = [&](Duration aPeriod, size_t aDomains) {
    const size_t forwarded = topology.sameDomain.vms.size() * aDomains;
    return std::max(kMinRelayedPeriod, ScaledPeriod(aPeriod, forwarded, kMaxSameDomainReceivers));
  };
  topology.sameRegion.period = periodFor(kSameRegionPeriod, domainsInOwnRegion);
  topology.otherRegions.period = periodFor(kRelayedOtherRegionsPeriod, domainsInOtherRegions);
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
