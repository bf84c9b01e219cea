#include "dragonflymoor/Steering/LoadTopology.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <map>
#include <set>
#include <string>

namespace {

using namespace dfm;

constexpr size_t kDomainsPerRegion = 3;

std::vector<Vm>
MakeFleet(size_t aVms, size_t aDomains)
{
  std::vector<Vm> vms;
  for (size_t i = 0; i < aVms; ++i) {
    const size_t domain = i % aDomains;
    vms.push_back({ .id = VmId("vm-" + std::to_string(i)),
                    .region = RegionId("r" + std::to_string(domain / kDomainsPerRegion)),
                    .failureDomain = FailureDomainId("d" + std::to_string(domain)),
                    .peers = { .address = "10.0.0.1", .port = static_cast<uint16_t>(i) } });
  }
  return vms;
}

/// The topologies of all VMs of a fleet.
class Topologies
{
public:
  explicit Topologies(std::vector<Vm> aVms)
    : vms_(std::move(aVms))
  {
    for (const Vm& vm : vms_)
      topologies_[vm.id] = MakeLoadTopology(vm, vms_);
  }

  /// Returns the VMs that learn of the load of aFrom while the VMs aDead neither send nor forward.
  std::set<VmId> Informed(const Vm& aFrom, const std::set<VmId>& aDead = {}) const
  {
    std::set<VmId> informed{ aFrom.id };
    const LoadTopology& own = topologies_.at(aFrom.id);
    Add(own.sameDomain, informed);
    if (!own.relayed) {
      Add(own.sameRegion, informed);
      Add(own.otherRegions, informed);
      return informed;
    }
    for (const Vm& relay : vms_) {
      if (relay.failureDomain != aFrom.failureDomain || aDead.contains(relay.id))
        continue;
      const LoadTopology& topology = topologies_.at(relay.id);
      for (const LoadReceivers* group : { &topology.sameRegion, &topology.otherRegions }) {
        for (const Vm& receiver : group->vms) {
          if (aDead.contains(receiver.id))
            continue;
          informed.insert(receiver.id);
          Add(topologies_.at(receiver.id).sameDomain, informed);
        }
      }
    }
    return informed;
  }

  /// Load reports that cross failure domains, for each VM and second.
  double ReportsBetweenDomains() const
  {
    double sum = 0;
    for (const auto& [id, topology] : topologies_) {
      for (const LoadReceivers* group : { &topology.sameRegion, &topology.otherRegions }) {
        if (!group->vms.empty())
          sum += static_cast<double>(group->vms.size()) / ToSeconds(group->period);
      }
    }
    return sum / static_cast<double>(vms_.size());
  }

  /// Sums of failure domains that one VM sends and forwards in a second, the largest of all VMs.
  double MaxSumsSent() const
  {
    std::map<VmId, double> sums;
    for (const auto& [id, topology] : topologies_) {
      for (const LoadReceivers* group : { &topology.sameRegion, &topology.otherRegions }) {
        const double rate = topology.relayed ? 1 / ToSeconds(group->period) : 0;
        sums[id] += rate * static_cast<double>(group->vms.size());
        for (const Vm& receiver : group->vms)
          sums[receiver.id] +=
            rate * static_cast<double>(topologies_.at(receiver.id).sameDomain.vms.size());
      }
    }
    double most = 0;
    for (const auto& [id, rate] : sums)
      most = std::max(most, rate);
    return most;
  }

  /// Load reports that one VM sends and forwards in a second, the largest of all VMs.
  double MaxReportsSent() const
  {
    std::map<VmId, double> forwarded;
    for (const auto& [id, topology] : topologies_) {
      for (const LoadReceivers* group : { &topology.sameRegion, &topology.otherRegions }) {
        for (const Vm& receiver : group->vms)
          forwarded[receiver.id] +=
            topology.relayed
              ? static_cast<double>(topologies_.at(receiver.id).sameDomain.vms.size()) /
                  ToSeconds(group->period)
              : 0;
      }
    }
    double most = 0;
    for (const auto& [id, topology] : topologies_) {
      double sent = forwarded[id];
      for (const LoadReceivers* group :
           { &topology.sameDomain, &topology.sameRegion, &topology.otherRegions }) {
        if (!group->vms.empty())
          sent += static_cast<double>(group->vms.size()) / ToSeconds(group->period);
      }
      most = std::max(most, sent);
    }
    return most;
  }

private:
  static void Add(const LoadReceivers& aReceivers, std::set<VmId>& aInformed)
  {
    for (const Vm& vm : aReceivers.vms)
      aInformed.insert(vm.id);
  }

  std::vector<Vm> vms_;
  std::map<VmId, LoadTopology> topologies_;
};

struct FleetSize
{
  size_t vms;
  size_t domains;
};

constexpr FleetSize kFleetSizes[] = { { 1, 1 },   { 9, 6 },  { 16, 6 },  { 17, 6 },
                                      { 27, 9 },  { 59, 9 }, { 77, 6 },  { 295, 9 },
                                      { 40, 40 }, { 60, 1 }, { 300, 24 } };

/// Guards against VMs that never learn of the load of some others, and so overload instances.
Test(LoadTopology, EveryLoadReachesEveryVm)
{
  for (const FleetSize& size : kFleetSizes) {
    const std::vector<Vm> vms = MakeFleet(size.vms, size.domains);
    const Topologies topologies(vms);
    for (const Vm& vm : vms)
      cr_assert(topologies.Informed(vm).size() == vms.size(), "%zu VMs", size.vms);
  }
}

/// Guards against a failure domain whose load nobody outside knows from the death of a single VM
/// until it is noticed.
Test(LoadTopology, OneDeadVmHidesNoDomain)
{
  for (const FleetSize& size : { FleetSize{ 59, 9 }, FleetSize{ 77, 6 } }) {
    const std::vector<Vm> vms = MakeFleet(size.vms, size.domains);
    const Topologies topologies(vms);
    const Vm& from = vms.back();
    for (const Vm& dead : vms) {
      if (dead.id != from.id)
        cr_assert(topologies.Informed(from, { dead.id }).size() == vms.size(),
                  "%s is dead",
                  dead.id.Value().c_str());
    }
  }
}

/// Guards against load reports that grow with the square of the number of VMs: between failure
/// domains their bytes cost more than those of the requests, and they took up small VMs.
Test(LoadTopology, ReportsOfOneVmDoNotGrowWithTheFleet)
{
  constexpr double kMaxReportsSent = 900;
  constexpr double kMaxReportsBetweenDomains = 10;
  for (const FleetSize& size : { FleetSize{ 77, 6 }, FleetSize{ 295, 9 }, FleetSize{ 900, 24 } }) {
    const Topologies topologies(MakeFleet(size.vms, size.domains));
    const double sent = topologies.MaxReportsSent();
    cr_assert(sent <= kMaxReportsSent, "%zu VMs: %f", size.vms, sent);
    const double betweenDomains = topologies.ReportsBetweenDomains();
    cr_assert(betweenDomains <= kMaxReportsBetweenDomains, "%zu VMs: %f", size.vms, betweenDomains);
  }
}

/// Guards against relays that use up the link of a small VM. The sum of a failure domain names up
/// to 550 instances at 5 bytes each, and a quarter of 20 Mbit/s is left to it beside the requests.
Test(LoadTopology, SumsLeaveTheLinkOfASmallVmToRequests)
{
  constexpr double kBytesOfSum = 550 * 5;
  constexpr double kMaxSumsSent = 0.25 * 20e6 / 8 / kBytesOfSum;
  for (const FleetSize& size : { FleetSize{ 77, 6 }, FleetSize{ 295, 9 }, FleetSize{ 900, 24 } }) {
    const double sums = Topologies(MakeFleet(size.vms, size.domains)).MaxSumsSent();
    cr_assert(sums <= kMaxSumsSent, "%zu VMs: %f", size.vms, sums);
  }
}

} // namespace
