#ifndef DRAGONFLYMOOR_STEERING_STATEDELEGATION_H
#define DRAGONFLYMOOR_STEERING_STATEDELEGATION_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Time.h"
#include <cstddef>
#include <map>
#include <vector>

namespace dfm {

struct StateDelegationOptions
{
  FailureDomainId ownDomain;
  size_t maxAskersOfOwnDomain = 24;
  size_t maxAskersOfOtherDomains = 2; ///< Of each of them.
};

/// Bounds the number of VMs to which one VM sends the fleet state. A VM that asks beyond the bound
/// of its failure domain is directed to VMs of that domain that are served already, so that the
/// state spreads along a tree and crosses between two domains a few times only. Not thread-safe.
class StateDelegation
{
public:
  explicit StateDelegation(StateDelegationOptions aOptions);

  /// Returns the VMs that aAsker, a VM of aDomain, is to ask instead of this one; empty when this
  /// VM serves it.
  std::vector<Endpoint> DelegatesFor(TimePoint aNow,
                                     const FailureDomainId& aDomain,
                                     const Endpoint& aAsker);

private:
  struct Askers
  {
    std::map<Endpoint, TimePoint> lastAskedAt; ///< Of the VMs that are served.
    size_t redirectCount = 0;
  };

  StateDelegationOptions options_;
  std::map<FailureDomainId, Askers> askersByDomain_;
};

} // namespace dfm

#endif
