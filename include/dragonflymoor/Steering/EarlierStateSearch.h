#ifndef DRAGONFLYMOOR_STEERING_EARLIERSTATESEARCH_H
#define DRAGONFLYMOOR_STEERING_EARLIERSTATESEARCH_H

#include "dragonflymoor/Wire/Messages.h"
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace dfm {

/// Whom a VM asks for what others know from earlier epochs of the store, after its start and after
/// each return of the store. Each VM is asked once, and at least one of each region, those that
/// have run for longer first: the VMs that serve this one may know less. Not thread-safe.
class EarlierStateSearch
{
public:
  /// Returns the VMs of which one is to be asked next in aEpoch; empty when none is. aOthers are
  /// the live VMs without this one, leaving ones included. Another epoch begins the search anew.
  std::vector<Vm> NextVms(TimePoint aNow,
                          uint64_t aEpoch,
                          const std::vector<MemberUpdate>& aOthers);

  /// aVm answered a request that was made in aEpoch. An answer from before the present epoch does
  /// not count: it may lack what was learnt in the epoch in which it was given.
  void OnAnswer(uint64_t aEpoch, const Vm& aVm);

private:
  std::optional<uint64_t> epoch_;
  std::optional<TimePoint> begunAt_; ///< When there was a VM to ask for the first time.
  std::set<VmId> answered_;
  std::set<RegionId> answeredRegions_;
};

} // namespace dfm

#endif
