#ifndef DRAGONFLYMOOR_STEERING_LOADTOPOLOGY_H
#define DRAGONFLYMOOR_STEERING_LOADTOPOLOGY_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Time.h"
#include <vector>

namespace dfm {

/// VMs that get the same load reports from this VM.
struct LoadReceivers
{
  std::vector<Vm> vms;
  Duration period{}; ///< Time between two reports.

  auto operator<=>(const LoadReceivers&) const = default;
};

/// To whom a VM sends load reports.
///
/// In a small fleet each VM reports to all others. In a larger one this would grow with the square
/// of the number of VMs, most of it between failure domains, where bytes are scarce. There each VM
/// reports to the VMs of its own failure domain only. Relays send the sum of the domain's reports
/// to relays of the other domains, and these forward the sum inside their domain. Each pair of
/// domains has relays of its own, spread over the VMs of both: a VM that forwarded the sums of all
/// other domains would use up its link. Answers steady load and bursts that last longer than two
/// periods. Loads that change faster are seen late by other domains.
struct LoadTopology
{
  LoadReceivers sameDomain;   ///< Get the VM's own load.
  LoadReceivers sameRegion;   ///< VMs of the other failure domains of the own region.
  LoadReceivers otherRegions; ///< VMs of other regions.
  /// sameRegion and otherRegions get the load of the whole failure domain; they are empty when this
  /// VM is not a relay.
  bool relayed = false;

  auto operator<=>(const LoadTopology&) const = default;
};

/// Computes the topology for aSelf among aVms, which may contain aSelf. Every VM with the same aVms
/// comes to a consistent result. Safe to call from any thread.
LoadTopology
MakeLoadTopology(const Vm& aSelf, const std::vector<Vm>& aVms);

} // namespace dfm

#endif
