#ifndef DRAGONFLYMOOR_STEERING_STOREFOLLOWING_H
#define DRAGONFLYMOOR_STEERING_STOREFOLLOWING_H

#include "dragonflymoor/Steering/FleetKeeper.h"
#include <array>
#include <map>
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
/// hashing, are asked by the others: the first of them follows the store, the next ones ask those
/// before them and take over when these have lost the store or no longer answer. A VM that gets no
/// answer from them follows the store itself. No I/O, no clock. Not thread-safe.
class StoreFollowing
{
public:
  explicit StoreFollowing(StoreFollowingOptions aOptions);

  /// Sets the live VMs that are not leaving, this one included. The first call starts the settle
  /// time, in which membership learns of the other VMs.
  void OnMembershipChange(TimePoint aNow, const std::vector<Vm>& aLiveVms);

  /// A call of this VM to the store for objects of aKind ended. True when that changes
  /// IsStoreReachable().
  bool OnStoreCallEnd(TimePoint aNow, ObjectKind aKind, bool aAnswered);

  /// Another VM answered a state request; aStoreAnswerAge is the time since the store answered that
  /// VM, or the one that serves it, and is empty when neither reaches the store. True when this VM,
  /// which has never reached the store, now assumes that the store is reachable.
  bool OnPeerAnswer(TimePoint aNow, const Endpoint& aPeer, std::optional<Duration> aStoreAnswerAge);

  /// Whether the last answer came from a VM that has lost the store, while this VM relies on
  /// others: PeersToAsk() names another one, which is to be asked at once.
  bool MustAskAnotherPeer() const { return mustAskAnotherPeer_; }

  /// Another VM named VMs to ask in its place. They are asked for some seconds; then the other VM
  /// is asked again, as chains of VMs that rely on each other would grow with each change.
  void OnDelegates(TimePoint aNow, std::vector<Endpoint> aDelegates);
  /// A state request to aPeer got no answer.
  void OnPeerRequestFailed(TimePoint aNow, const Endpoint& aPeer);

  /// The store answered the last call of each kind, or another VM reported it reachable before this
  /// VM ever reached it.
  bool IsStoreReachable() const;

  /// Whether a VM with the state may call the store for objects of aKind. After the store stopped
  /// answering, calls for one kind find out whether it answers again; the others wait for that.
  bool MayCallFor(ObjectKind aKind) const;

  /// Whether this VM, which knows nothing yet, waits for the seeds' answer before it calls the
  /// store.
  bool IsWaitingForSeeds(TimePoint aNow) const;

  /// Whether this VM needs no calls to the store of its own, because a VM that follows the store
  /// answers its state requests.
  bool IsServedByFollower(TimePoint aNow) const;

  /// How long IsServedByFollower() stays true if no other VM answers; zero when it is false.
  Duration TimeServedByFollower(TimePoint aNow) const;

  /// Time since the store last answered this VM or the VM that serves it, as reported to others;
  /// empty when neither reaches the store. Changes since then may be unknown here. The time adds up
  /// along a chain of VMs, so that VMs which rely on each other soon notice the loss of the store.
  std::optional<Duration> StoreAnswerAge(TimePoint aNow) const;

  /// Whether the store has not answered for longer than a watch takes, although no call has failed
  /// yet: this VM asks the followers of all regions for newer state, or any VM when these are
  /// faulty.
  bool IsStateStale(TimePoint aNow) const;

  /// Whether this VM must list the registered VMs: followers do so for all others, which learn of
  /// them from membership.
  bool MustListVms(TimePoint aNow) const;

  /// Peers of which one is to be asked for the fleet state; empty for a VM that follows the store.
  /// With aAsksAllRegions it asks the followers of all regions too, as long as it reaches the
  /// store: they may know what the store does not tell.
  std::vector<Endpoint> PeersToAsk(TimePoint aNow,
                                   const std::vector<Vm>& aRegistered,
                                   bool aAsksAllRegions = false) const;

  /// Whether peers may name others in their place. A VM that has lost the store asks any VM, and a
  /// follower is asked by others: those that they are directed to might rely on them.
  bool MayBeRedirected(TimePoint aNow) const;

  /// How long this VM waits after a return of the store before it registers itself again, so that
  /// the registrations of all VMs do not come at the same time.
  Duration RegistrationDelay() const;

  /// Longest wait between two calls to a store that does not answer.
  Duration MaxRetryWait(TimePoint aNow) const;

  /// How long one watch waits for a change. Each end of a watch shows that the store still answers.
  static Duration WatchWait(ObjectKind aKind);

  /// Wait between two watches of one kind.
  Duration PauseBetweenWatches() const;

private:
  bool IsSeed() const;
  bool IsMembershipSettled(TimePoint aNow) const;
  bool IsFollower(TimePoint aNow) const;
  /// How long the last report of another VM that the store answers remains valid.
  Duration TimeLeftOfPeerReport(TimePoint aNow) const;
  bool HasFreshPeerReport(TimePoint aNow) const;
  /// Age of the store's last answer from which on the state of a VM is stale.
  Duration MaxStoreAnswerAge() const;
  /// Position of this VM among followers_, or their number.
  size_t FollowerRank() const;
  /// Whether this VM is one of followers_, with membership settled.
  bool MayFollow(TimePoint aNow) const;
  /// Whether aPeer recently did not answer or had lost the store.
  bool HasRecentFault(TimePoint aNow, const Endpoint& aPeer) const;
  /// Whether no follower before this one answered recently and reaches the store, so that this one
  /// takes over.
  bool AreEarlierFollowersFaulty(TimePoint aNow) const;
  /// The follower that this VM asks, one without a recent fault if there is any. A follower asks
  /// the first one before it, so that no two rely on each other and chains stay short.
  std::vector<Endpoint> FollowersToAsk(TimePoint aNow) const;
  /// Followers of all regions without a recent fault, or the live VMs if there are none. Some of
  /// them reach the store when the failure domain or region of this VM is cut off.
  std::vector<Endpoint> PeersOfAllRegions(TimePoint aNow) const;
  /// Makes PreferredPeer() choose another peer than aPeer.
  void RotatePeers(const Endpoint& aPeer);
  bool MustAskDelegate(TimePoint aNow) const;
  /// The one of aPeers that this VM asks until a request fails. VMs that changed at will between
  /// peers could be named as delegates to each other.
  std::vector<Endpoint> PreferredPeer(std::vector<Endpoint> aPeers) const;

  StoreFollowingOptions options_;
  std::vector<Vm> liveVms_;
  /// The VMs of the own region that the others ask, as far as this VM knows its members. The first
  /// one follows the store.
  std::vector<Vm> followers_;
  std::vector<Vm> followersOfOtherRegions_; ///< A VM whose state is stale asks these too.
  size_t regionCount_ = 1;
  std::optional<TimePoint> membershipStartedAt_;
  std::array<bool, kObjectKindCount> lastCallAnswered_{}; ///< The last call of each kind.
  bool wasEverReachable_ = false;
  std::optional<TimePoint> storeAnsweredAt_;         ///< The last call of this VM for instances.
  std::optional<TimePoint> peerReportedReachableAt_; ///< When the store answered a peer.
  std::optional<TimePoint> lastPeerAnswer_;
  size_t failedRootRequests_ = 0;
  bool mustAskAnotherPeer_ = false;
  /// When a peer last did not answer, had lost the store or sent stale state.
  std::map<Endpoint, TimePoint> faultsByFollower_;
  std::vector<Endpoint> delegates_; ///< Serve this VM in place of the followers or seeds.
  TimePoint delegatesNamedAt_;
};

} // namespace dfm

#endif
