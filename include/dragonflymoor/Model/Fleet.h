#ifndef DRAGONFLYMOOR_MODEL_FLEET_H
#define DRAGONFLYMOOR_MODEL_FLEET_H

#include "dragonflymoor/Model/Outcome.h"
#include "dragonflymoor/Support/Id.h"
#include "dragonflymoor/Support/Time.h"
#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dfm {

/// A network endpoint, always by IP address.
struct Endpoint
{
  std::string address;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// Whether aText is an IPv4 or IPv6 address. Addresses that come from outside this process must be
/// checked before they are used. Safe to call from any thread.
bool
IsIpAddress(const std::string& aText);

/// An entry VM.
struct Vm
{
  VmId id;
  RegionId region;
  FailureDomainId failureDomain;
  Endpoint callers; ///< HTTP port for callers.
  Endpoint peers;   ///< TCP and UDP port for other VMs.

  auto operator<=>(const Vm&) const = default;
};

struct FailureDomain
{
  FailureDomainId id;
  RegionId region;

  auto operator<=>(const FailureDomain&) const = default;
};

/// One direction of the connection between two regions.
struct Link
{
  RegionId from;
  RegionId to;
  uint64_t capBytesPerSecond = 0;

  auto operator<=>(const Link&) const = default;
};

/// A kind of work that backend servers offer.
struct Service
{
  ServiceId id;
  Rank rank = Rank::Normal;
  bool idempotent = true;
  Duration deadline = 1s;       ///< Default time that a caller waits for the answer.
  Duration expectedTime = 20ms; ///< Usual time a server takes for one request.
  uint64_t expectedAnswerBytes = 4096;
  /// Share of slot time that a rank keeps while it has requests; in percent, at most 100 in sum.
  std::array<uint32_t, kRankCount> guaranteedPercent = { 70, 20, 10 };

  auto operator<=>(const Service&) const = default;
};

/// A backend server: one instance of one service.
struct BackendServer
{
  BackendId id;
  ServiceId service;
  RegionId region;
  FailureDomainId failureDomain;
  Endpoint endpoint;
  uint32_t slots = 1; ///< Requests that the server can run at once.

  auto operator<=>(const BackendServer&) const = default;
};

/// What a workspace bought.
struct Plan
{
  PlanId id;
  WorkspaceId workspace;
  uint32_t weight = 1; ///< Entitlement relative to the other plans of the same service and rank.

  auto operator<=>(const Plan&) const = default;
};

/// What a plan may use of one service in the whole fleet.
struct PlanLimit
{
  PlanId plan;
  ServiceId service;
  double requestsPerSecond = 0;
  uint32_t maxInFlight = 0;

  auto operator<=>(const PlanLimit&) const = default;
};

enum class DrainTarget
{
  BackendServer,
  Vm,
  FailureDomain,
};

/// A planned drain. It is in force from startsAt until the operator removes it.
struct Drain
{
  DrainTarget target = DrainTarget::BackendServer;
  std::string name; ///< Id of the target.
  WallTime startsAt;

  auto operator<=>(const Drain&) const = default;
};

/// The lists that the store holds.
enum class ListName
{
  Plans,
  Limits,
  Drains,
  Services,
  Backends,
  Links,
  Roster,
};

constexpr size_t kListCount = 7;

/// Name of the object in the store, for example "config/plans".
std::string_view
ObjectName(ListName aList);

/// Version that the store gave to a list; 0 when the list was never seen.
using ListVersion = uint64_t;

/// All lists in force on a VM, as one immutable value.
struct FleetLists
{
  std::array<ListVersion, kListCount> versions{};
  std::vector<Plan> plans;
  std::vector<PlanLimit> limits;
  std::vector<Drain> drains;
  std::vector<Service> services;
  std::vector<BackendServer> backends;
  std::vector<Link> links;
  std::vector<Vm> roster;

  auto operator<=>(const FleetLists&) const = default;

  ListVersion VersionOf(ListName aList) const { return versions[static_cast<size_t>(aList)]; }
  const Service* FindService(const ServiceId& aId) const;
  const Plan* FindPlan(const PlanId& aId) const;
  const PlanLimit* FindLimit(const PlanId& aPlan, const ServiceId& aService) const;
};

/// A pool: the backend servers of one service in one failure domain.
struct PoolId
{
  ServiceId service;
  FailureDomainId failureDomain;

  auto operator<=>(const PoolId&) const = default;
};

} // namespace dfm

#endif
