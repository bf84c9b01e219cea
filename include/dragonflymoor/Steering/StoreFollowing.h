#ifndef DRAGONFLYMOOR_STEERING_STOREFOLLOWING_H
#define DRAGONFLYMOOR_STEERING_STOREFOLLOWING_H

#include "dragonflymoor/Steering/FleetKeeper.h"
#include <array>
#include <optional>
#include <vector>

namespace dfm {

struct StoreFollowingOptions
{
  Vm self;
  std::vector<Endpoint> seeds; ///< Peers' ports of some VMs; may be out of date.
  TimePoint startedAt;
};

/// Decides whether this VM follows the platform's store, that is, reads and watches its objects by
/// calls of its own, or receives changes from a VM that does. Calls are priced and share the
/// store's rate limit, so in each region a few VMs, chosen from the membership by rendezvous
/// hashing, follow the store for the others. A VM that gets no answer from them follows the store
/// itself. No I/O, no clock. Not thread-safe.
class StoreFollowing
{
public:
  explicit StoreFollowing(StoreFollowingOptions aOptions);

  /// Sets the live VMs that are not leaving, this one included. The first call starts the settle
  /// time, in which membership learns of the other VMs.
  void OnMembershipChange(TimePoint aNow, const std::vector<Vm>& aLiveVms);

  /// A call of this VM to the store for objects of aKind ended. True when that changes
  /// IsStoreReachable().
  bool OnStoreCallEnd(ObjectKind aKind, bool aAnswered);

  /// Another VM reported that the store answers its own calls. True when this VM, which has never
  /// reached the store, now assumes that the store is reachable.
  bool OnPeerReportsStoreReachable(TimePoint aNow);

  /// The store answered the last call of each kind, or another VM reported it reachable before this
  /// VM ever reached it.
  bool IsStoreReachable() const;

  /// Whether this VM, which knows nothing yet, waits for the seeds' answer before it calls the
  /// store.
  bool IsWaitingForSeeds(TimePoint aNow) const;

  /// Whether this VM needs no calls to the store of its own, because a VM that follows the store
  /// answers its state requests.
  bool IsServedByFollower(TimePoint aNow) const;

  /// Whether this VM may report to others that the store is reachable. Only its own calls count, as
  /// two VMs must not rely on each other.
  bool MayReportStoreReachable(TimePoint aNow) const
  {
    return IsStoreReachable() && !IsServedByFollower(aNow);
  }

  /// Peers of which one is to be asked for the fleet state; empty for a VM that follows the store.
  std::vector<Endpoint> PeersToAsk(TimePoint aNow, const std::vector<Vm>& aRegistered) const;

  /// Longest wait between two calls to a store that does not answer.
  Duration MaxRetryWait(TimePoint aNow) const;

  /// Wait between two watches of one kind.
  Duration PauseBetweenWatches() const;

private:
  bool IsSeed() const;
  bool IsMembershipSettled(TimePoint aNow) const;
  bool IsFollower(TimePoint aNow) const;

  StoreFollowingOptions options_;
  std::vector<Vm> liveVms_;
  std::vector<Vm> followers_;        ///< Of the own region, as far as this VM knows its members.
  size_t followersInAllRegions_ = 1; ///< Of all regions.
  std::optional<TimePoint> membershipStartedAt_;
  std::array<bool, kObjectKindCount> lastCallAnswered_{}; ///< The last call of each kind.
  bool wasEverReachable_ = false;
  std::optional<TimePoint> peerReportedReachableAt_;
};

} // namespace dfm

#endif
