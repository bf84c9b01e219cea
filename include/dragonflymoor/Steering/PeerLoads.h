#ifndef DRAGONFLYMOOR_STEERING_PEERLOADS_H
#define DRAGONFLYMOOR_STEERING_PEERLOADS_H

#include "dragonflymoor/Steering/QuotaReport.h"
#include "dragonflymoor/Support/Id.h"
#include "dragonflymoor/Support/Time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace dfm {

/// Number of requests that one VM has in flight at one instance, as reported to other VMs.
struct InstanceLoad
{
  uint32_t instance = 0; ///< Low half of the hash of the instance's id.
  uint16_t inFlight = 0;
  /// The part that the VM claims of the rate which the instance takes, in tenths of a request a
  /// second; 0 at an instance without a limit.
  uint16_t claim = 0;

  auto operator<=>(const InstanceLoad&) const = default;
};

/// Returns InstanceLoad::claim for a claim in requests a second, rounded up. Safe to call from any
/// thread.
uint16_t
EncodeClaim(double aPerSecond);

/// Report of the requests in flight of one VM, or of all VMs of a failure domain, sent to other VMs
/// over UDP.
struct PeerLoad
{
  std::optional<FailureDomainId> domain; ///< Set in the sum of a failure domain's reports.
  std::vector<InstanceLoad> loads;       ///< Instances without requests are omitted.
  Duration life{};                       ///< Validity of the report unless a later one replaces it.
  /// Of the same VMs; in some of the reports, if workspaces have quotas.
  std::optional<QuotaReport> quotas;

  auto operator<=>(const PeerLoad&) const = default;
};

/// Whose requests a report counts.
using LoadSource = std::variant<VmId, FailureDomainId>;

/// Sums the requests that other VMs have in flight at each instance, from their latest reports. A
/// report is compared with the one that it replaces, and only the entries that differ are applied
/// to the sums: the sum of a failure domain has an entry for most instances of a region, and few of
/// them change between two reports. Not thread-safe.
class PeerLoads
{
public:
  /// Replaces the earlier report of the VM or failure domain that aLoad is about. aVm is the
  /// sender. The entries may be in any order. Returns the instances whose sum has changed.
  std::vector<uint32_t> OnReport(TimePoint aNow, const VmId& aVm, const PeerLoad& aLoad);

  /// Drops reports that have expired without being replaced: their source has stopped or is
  /// unreachable, and its requests have ended or will end soon. Returns the instances whose sum has
  /// changed.
  std::vector<uint32_t> DropExpired(TimePoint aNow);

  /// Number of requests that all other VMs together have in flight at aInstance.
  unsigned InFlightAt(uint32_t aInstance) const { return SumsAt(aInstance).inFlight; }
  /// Requests a second that all other VMs together claim of the rate of aInstance.
  double ClaimsAt(uint32_t aInstance) const;

  /// Adds the latest reports of aVms to aOwn, the requests of this VM. The result is in order of
  /// the instances.
  std::vector<InstanceLoad> AddReportsOf(const std::set<VmId>& aVms,
                                         const std::vector<InstanceLoad>& aOwn) const;

private:
  struct Report
  {
    TimePoint expiresAt;
    /// In order of the instances, one entry for each, none without requests or claim.
    std::vector<InstanceLoad> loads;
  };

  /// What all other VMs together have at one instance.
  struct Sums
  {
    unsigned inFlight = 0;
    unsigned claims = 0; ///< In tenths of a request a second.

    auto operator<=>(const Sums&) const = default;
  };

  Sums SumsAt(uint32_t aInstance) const;

  /// Replaces aOld by aNew in the sums and appends the instances whose sum has changed to aChanged.
  /// Precondition: both are in the form of Report::loads.
  void ReplaceLoads(const std::vector<InstanceLoad>& aOld,
                    const std::vector<InstanceLoad>& aNew,
                    std::vector<uint32_t>& aChanged);

  std::map<LoadSource, Report> reportsBySource_;
  std::unordered_map<uint32_t, Sums> sumsByInstance_;
};

} // namespace dfm

#endif
