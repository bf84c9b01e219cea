#ifndef DRAGONFLYMOOR_STEERING_PEERLOADS_H
#define DRAGONFLYMOOR_STEERING_PEERLOADS_H

#include "dragonflymoor/Support/Id.h"
#include "dragonflymoor/Support/Time.h"
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace dfm {

/// Number of requests that one VM has in flight at one instance, as reported to other VMs.
struct InstanceLoad
{
  uint32_t instance = 0; ///< Low half of the hash of the instance's id.
  uint16_t inFlight = 0;

  auto operator<=>(const InstanceLoad&) const = default;
};

/// Report of a VM's requests in flight, sent to other VMs over UDP.
struct PeerLoad
{
  std::vector<InstanceLoad> loads; ///< Instances without requests are omitted.
  Duration life{};                 ///< Validity of the report unless a later one replaces it.

  auto operator<=>(const PeerLoad&) const = default;
};

/// Sums the requests that other VMs have in flight at each instance, from their latest reports. A
/// report is processed in time proportional to its entries, regardless of the number of instances.
/// Not thread-safe.
class PeerLoads
{
public:
  /// Replaces the VM's earlier report. Returns the instances whose sum may have changed.
  std::vector<uint32_t> OnReport(TimePoint aNow, const VmId& aVm, const PeerLoad& aLoad);

  /// Drops reports that have expired without being replaced: their VM has stopped or is
  /// unreachable, and its requests have ended or will end soon. Returns the instances whose sum may
  /// have changed.
  std::vector<uint32_t> DropExpired(TimePoint aNow);

  /// Number of requests that all other VMs together have in flight at aInstance.
  unsigned InFlightAt(uint32_t aInstance) const;

private:
  struct Report
  {
    TimePoint expiresAt;
    std::vector<InstanceLoad> loads;
  };

  /// Subtracts aReport from the sums and appends its instances to aChanged.
  void SubtractReport(const Report& aReport, std::vector<uint32_t>& aChanged);

  std::map<VmId, Report> reportsByVm_;
  std::unordered_map<uint32_t, unsigned> inFlightByInstance_;
};

} // namespace dfm

#endif
