#ifndef DRAGONFLYMOOR_STEERING_QUOTAREPORT_H
#define DRAGONFLYMOOR_STEERING_QUOTAREPORT_H

#include <compare>
#include <cstdint>
#include <vector>

namespace dfm {

/// What the callers of one or more VMs ask for on behalf of one workspace.
struct QuotaDemand
{
  uint32_t workspace = 0;    ///< Low half of the hash of the workspace's id.
  uint32_t demand = 0;       ///< In tenths of a request a second.
  uint8_t admittedRatio = 0; ///< Part of the demand that is admitted, in 255ths.

  auto operator<=>(const QuotaDemand&) const = default;
};

/// The demand for quotas of one VM, or of the VMs of a failure domain.
struct QuotaReport
{
  unsigned vms = 1; ///< VMs whose demand it has.
  /// At most one entry for each workspace; workspaces without demand are left out.
  std::vector<QuotaDemand> demands;

  auto operator<=>(const QuotaReport&) const = default;
};

} // namespace dfm

#endif
