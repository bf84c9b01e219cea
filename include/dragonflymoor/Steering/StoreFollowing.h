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

/// Decides whether this VM follows the platform's store by calls of its own, which are priced and
/// share the store's rate, or hears of changes from a VM that does. In each region a few VMs,
/// agreed by a rule on the membership, follow it for the others. A VM that hears nothing follows it
/// itself. No I/O, no clock. Not thread-safe.
class StoreFollowing
{
public:
  explicit StoreFollowing(StoreFollowingOptions aOptions);

  /// The live VMs that do not leave, this one included. The first call begins the time in which
  /// membership learns of the others.
  void OnMembers(TimePoint aNow, const std::vector<Vm>& aLive);

  /// A call of this VM for a kind of objects ended. True when that changes Reachable().
  bool OnCall(ObjectKind aKind, bool aAnswered);

  /// Another VM said that the store answers its own calls. True when this VM, which has never
  /// reached the store, now takes it for reachable.
  bool OnVouched(TimePoint aNow);

  /// The store answered the last call of each kind, or another VM vouched for it.
  bool Reachable() const;

  /// A VM that knows nothing yet waits for the seeds' answer before it calls the store.
  bool WaitsForSeeds(TimePoint aNow) const;

  /// This VM needs no calls of its own: one that follows the store answers it.
  bool IsServed(TimePoint aNow) const;

  /// This VM may tell others that the store answers: only its own calls count, as two VMs must not
  /// rely on each other.
  bool Vouches(TimePoint aNow) const { return Reachable() && !IsServed(aNow); }

  /// The VMs of which one is to be asked for the state; none for a VM that follows the store.
  std::vector<Endpoint> PeersToAsk(TimePoint aNow, const std::vector<Vm>& aRegistered) const;

  /// Longest wait between two calls to a store that does not answer.
  Duration LongestRetryWait(TimePoint aNow) const;

  /// Wait between two watches of one kind.
  Duration PauseBetweenWatches() const;

private:
  bool IsSeed() const;
  bool IsSettled(TimePoint aNow) const;
  bool IsFollower(TimePoint aNow) const;

  StoreFollowingOptions options_;
  std::vector<Vm> live_;
  std::vector<Vm> followers_; ///< Of the own region, as far as this VM knows its members.
  size_t allFollowers_ = 1;   ///< Of all regions.
  std::optional<TimePoint> membersSince_;
  std::array<bool, kObjectKindCount> answered_{}; ///< The last call of each kind.
  bool everReachable_ = false;
  std::optional<TimePoint> vouchedAt_;
};

} // namespace dfm

#endif
