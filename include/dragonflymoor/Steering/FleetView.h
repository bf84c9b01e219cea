#ifndef DRAGONFLYMOOR_STEERING_FLEETVIEW_H
#define DRAGONFLYMOOR_STEERING_FLEETVIEW_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Steering/Manifest.h"
#include "dragonflymoor/Steering/StoreRevision.h"
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dfm {

/// One run of a backend server, as it registered itself.
struct Instance
{
  BackendId id;
  uint64_t startTimeMs = 0; ///< Wall time of the start; tells two runs under one id apart.
  uint64_t report = 0;      ///< Number of the entry's last renewal, which rises within a run.
  ServiceId service;
  RegionId region;
  FailureDomainId failureDomain;
  Endpoint endpoint;
  unsigned slots = 1; ///< Number of requests that the instance can serve concurrently.
  bool draining = false;
  TimePoint coldUntil; ///< Until then it handles only the service's coldRequestsPerSecond.

  bool operator==(const Instance&) const = default;
};

/// Instances in ascending order of their ids, at most one for each id. Two lists share the entries
/// that have not changed between them.
using InstanceList = std::vector<std::shared_ptr<const Instance>>;

/// Difference between two lists of instances.
struct InstanceChanges
{
  InstanceList replaced; ///< Entries of the later list that are new or differ.
  std::vector<BackendId> removed;

  bool operator==(const InstanceChanges&) const = default;
};

/// Compares two lists by the identity of their entries, in one pass without a look at the contents.
/// Precondition: no entry is null. Thread-safe.
InstanceChanges
FindInstanceChanges(const InstanceList& aBefore, const InstanceList& aAfter);

/// Snapshot of the fleet as one VM knows it. Immutable; handed from the control thread to the
/// traffic thread.
struct FleetView
{
  std::shared_ptr<const RouteIndex> routes; ///< Null while no manifest is known.
  /// Never null. Views between which no instance changed share the list.
  std::shared_ptr<const InstanceList> instances = std::make_shared<InstanceList>();
  std::set<FailureDomainId> evacuated; ///< Instances in these failure domains get no new requests.
  std::vector<Vm> usableVms;           ///< Live and not leaving, this VM included while it serves.
  std::vector<Vm> knownVms;        ///< Also VMs that do not answer but may merely be unreachable.
  StoreRevision instancesRevision; ///< Of the instances; for logs.
};

} // namespace dfm

#endif
