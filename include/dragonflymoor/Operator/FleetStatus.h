#ifndef DRAGONFLYMOOR_OPERATOR_FLEETSTATUS_H
#define DRAGONFLYMOOR_OPERATOR_FLEETSTATUS_H

#include "dragonflymoor/Drains/Drains.h"
#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Finding.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dfm {

/// What one daemon's /status page says, as far as the operators' tool needs it.
struct VmStatus
{
  struct Member
  {
    VmId vm;
    std::string state;
    bool leaving = false;

    auto operator<=>(const Member&) const = default;
  };
  struct Pool
  {
    PoolId pool;
    VmId owner;
    bool mine = false;
    uint64_t slots = 0;
    uint64_t inFlight = 0;
    std::map<std::string, uint64_t> queued; ///< By rank.

    auto operator<=>(const Pool&) const = default;
  };
  struct Server
  {
    BackendId id;
    std::string state;
    uint64_t slots = 0;
    uint64_t inFlight = 0;
    std::string waitingFor;

    auto operator<=>(const Server&) const = default;
  };
  struct LinkUse
  {
    RegionId from;
    RegionId to;
    double capBytesPerSecond = 0;
    double usedBytesLastSecond = 0;

    auto operator<=>(const LinkUse&) const = default;
  };

  VmId vm;
  RegionId region;
  FailureDomainId failureDomain;
  bool ready = false;
  bool stopping = false;
  uint64_t requestsInFlight = 0;
  std::map<std::string, uint64_t> listVersions; ///< By object name.
  std::vector<Member> members;
  std::vector<Pool> pools;
  std::vector<Server> servers;
  std::vector<LinkUse> links;

  auto operator<=>(const VmStatus&) const = default;
};

/// Reads a /status page. The findings name aPlace and the field. Safe to call from any thread.
Checked<VmStatus>
ParseVmStatus(std::string_view aJson, std::string_view aPlace);

/// Status pages of the fleet at one moment.
using FleetStatus = std::vector<VmStatus>;

/// Link use of the whole fleet: the sum over all VMs. Safe to call from any thread.
std::vector<VmStatus::LinkUse>
TotalLinks(const FleetStatus& aStatus);

/// Pools as their owners report them; a pool that two VMs own at the moment appears twice. Safe to
/// call from any thread.
std::vector<VmStatus::Pool>
OwnedPools(const FleetStatus& aStatus);

/// Mean slots in use of each service and region over several moments. A pool with servers that no
/// VM reported at some moment is a finding: the use is then unknown. Safe to call from any thread.
Checked<std::vector<ServiceUse>>
MeanUse(const FleetLists& aLists, const std::vector<FleetStatus>& aSamples);

/// How far one drain is.
struct DrainProgress
{
  size_t targets = 0;  ///< Servers and VMs that drain.
  size_t finished = 0; ///< Servers without requests in flight, and VMs that are gone.
  size_t notSeen = 0;  ///< Servers that no VM reports on.
  uint64_t requestsInFlight = 0;
  std::vector<std::string> waitingFor; ///< One line for each target that is not finished.

  auto operator<=>(const DrainProgress&) const = default;
  bool Done() const { return finished == targets; }
};

/// Progress of a drain. A VM counts as finished when its members hold it for left or dead. Safe to
/// call from any thread.
DrainProgress
ProgressOf(const FleetLists& aLists, const Drain& aDrain, const FleetStatus& aStatus);

} // namespace dfm

#endif
