#ifndef DRAGONFLYMOOR_STEERING_PEERLOADS_H
#define DRAGONFLYMOOR_STEERING_PEERLOADS_H

#include "dragonflymoor/Support/Id.h"
#include "dragonflymoor/Support/Time.h"
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace dfm {

/// Requests of one VM at one instance, as told to other VMs.
struct InstanceLoad
{
  uint32_t instance = 0; ///< Low half of the hash of the instance's id.
  uint16_t inFlight = 0;

  auto operator<=>(const InstanceLoad&) const = default;
};

/// UDP: what a VM tells others of its requests in flight.
struct PeerLoad
{
  std::vector<InstanceLoad> loads; ///< Instances without requests are left out.
  Duration life{};                 ///< How long the report is valid unless another one replaces it.

  auto operator<=>(const PeerLoad&) const = default;
};

/// Sums the requests that other VMs have in flight at each instance, from their latest reports. A
/// report costs as much as it has entries, whatever the number of instances. Not thread-safe.
class PeerLoads
{
public:
  /// Replaces the VM's earlier report. Returns the instances whose sum may have changed.
  std::vector<uint32_t> OnReport(TimePoint aNow, const VmId& aVm, const PeerLoad& aLoad);

  /// Drops reports that were not renewed in time: the VM is gone or cut off, and its requests have
  /// ended or will soon. Returns the instances whose sum may have changed.
  std::vector<uint32_t> DropExpired(TimePoint aNow);

  /// Requests of all other VMs at an instance.
  unsigned InFlightAt(uint32_t aInstance) const;

private:
  struct Report
  {
    TimePoint expiresAt;
    std::vector<InstanceLoad> loads;
  };

  void SubtractReport(const Report& aReport, std::vector<uint32_t>& aChanged);

  std::map<VmId, Report> reports_;
  std::unordered_map<uint32_t, unsigned> sums_;
};

} // namespace dfm

#endif
