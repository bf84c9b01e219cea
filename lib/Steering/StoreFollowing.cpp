#include "dragonflymoor/Steering/StoreFollowing.h"

#include "dragonflymoor/Support/Hash.h"
#include <algorithm>
#include <map>

namespace dfm {

namespace {

/// VMs of one region that follow the store; the others ask them. Each call to the store is priced
/// higher than the bytes of a request between failure domains.
constexpr size_t kFollowersPerRegion = 2;

/// A starting VM asks the seeds for the state and follows the store itself when none has answered
/// for this long. Many VMs start at once, and would load the store together.
constexpr Duration kSeedAnswerTimeout = 700ms;

/// After the start of membership a VM knows only some of the others, and would take itself for a
/// follower. During this time the seeds follow the store, and other VMs do so only when no seed
/// sends them the state.
constexpr Duration kMembershipSettleTime = 3s;

/// A VM that asks others follows the store itself when none has reported it reachable for this
/// long.
constexpr Duration kPeerReportLifetime = 800ms;

/// Longest waits of followers and of the others between two calls to a store that does not answer.
/// The followers retry more often, so they notice its return first.
constexpr Duration kMaxFollowerRetryWait = 800ms;
constexpr Duration kMaxNonFollowerRetryWait = 2400ms;

/// Pause between two watches of one kind for each VM that follows the store, and the longest: a
/// burst of changes comes in a few answers instead of one each. The longest leaves most of the 2.5
/// s within which changes must be in force.
constexpr Duration kPausePerFollower = 10ms;
constexpr Duration kMaxPause = 400ms;

} // namespace

StoreFollowing::StoreFollowing(StoreFollowingOptions aOptions)
  : options_(std::move(aOptions))
{
}

void
StoreFollowing::OnMembershipChange(TimePoint aNow, const std::vector<Vm>& aLiveVms)
{
  if (!membershipStartedAt_)
    membershipStartedAt_ = aNow;
  liveVms_ = aLiveVms;
  followers_.clear();
  std::map<RegionId, size_t> perRegion;
  for (const Vm& vm : liveVms_) {
    ++perRegion[vm.region];
    if (vm.region == options_.self.region)
      followers_.push_back(vm);
  }
  const std::string& region = options_.self.region.Value();
  std::sort(followers_.begin(), followers_.end(), [&region](const Vm& aLeft, const Vm& aRight) {
    return RendezvousWeight(region, aLeft.id.Value()) > RendezvousWeight(region, aRight.id.Value());
  });
  followers_.resize(std::min(followers_.size(), kFollowersPerRegion));
  followersInAllRegions_ = 0;
  for (const auto& [name, vms] : perRegion)
    followersInAllRegions_ += std::min(vms, kFollowersPerRegion);
}

bool
StoreFollowing::OnStoreCallEnd(ObjectKind aKind, bool aAnswered)
{
  const bool wasReachable = IsStoreReachable();
  lastCallAnswered_[static_cast<size_t>(aKind)] = aAnswered;
  wasEverReachable_ = wasEverReachable_ || IsStoreReachable();
  return wasReachable != IsStoreReachable();
}

bool
StoreFollowing::OnPeerReportsStoreReachable(TimePoint aNow)
{
  peerReportedReachableAt_ = aNow;
  if (wasEverReachable_)
    return false;
  wasEverReachable_ = true;
  lastCallAnswered_.fill(true);
  return true;
}

bool
StoreFollowing::IsStoreReachable() const
{
  return std::all_of(
    lastCallAnswered_.begin(), lastCallAnswered_.end(), [](bool aAnswered) { return aAnswered; });
}

bool
StoreFollowing::IsSeed() const
{
  return std::find(options_.seeds.begin(), options_.seeds.end(), options_.self.peers) !=
         options_.seeds.end();
}

bool
StoreFollowing::IsMembershipSettled(TimePoint aNow) const
{
  return membershipStartedAt_ && aNow - *membershipStartedAt_ >= kMembershipSettleTime;
}

bool
StoreFollowing::IsFollower(TimePoint aNow) const
{
  if (!IsMembershipSettled(aNow))
    return IsSeed();
  return std::any_of(followers_.begin(), followers_.end(), [this](const Vm& aVm) {
    return aVm.id == options_.self.id;
  });
}

bool
StoreFollowing::IsWaitingForSeeds(TimePoint aNow) const
{
  return !wasEverReachable_ && !options_.seeds.empty() && !IsSeed() &&
         aNow - options_.startedAt < kSeedAnswerTimeout;
}

bool
StoreFollowing::IsServedByFollower(TimePoint aNow) const
{
  // After this VM itself has lost the store, it keeps calling until the store answers it again.
  return IsStoreReachable() && peerReportedReachableAt_ &&
         aNow - *peerReportedReachableAt_ < kPeerReportLifetime && !IsFollower(aNow);
}

std::vector<Endpoint>
StoreFollowing::PeersToAsk(TimePoint aNow, const std::vector<Vm>& aRegistered) const
{
  std::vector<Endpoint> peers;
  const auto add = [&peers](const std::vector<Vm>& aVms) {
    for (const Vm& vm : aVms)
      peers.push_back(vm.peers);
  };
  if (IsStoreReachable()) {
    if (IsFollower(aNow))
      return {};
    if (IsMembershipSettled(aNow))
      add(followers_);
    else
      peers = options_.seeds;
  } else if (IsWaitingForSeeds(aNow)) {
    peers = options_.seeds;
  } else {
    add(liveVms_);
    if (liveVms_.size() <= 1) {
      add(aRegistered);
      peers.insert(peers.end(), options_.seeds.begin(), options_.seeds.end());
    }
  }
  std::erase(peers, options_.self.peers);
  return peers;
}

Duration
StoreFollowing::MaxRetryWait(TimePoint aNow) const
{
  return IsFollower(aNow) ? kMaxFollowerRetryWait : kMaxNonFollowerRetryWait;
}

Duration
StoreFollowing::PauseBetweenWatches() const
{
  return std::min(kPausePerFollower * static_cast<int64_t>(followersInAllRegions_), kMaxPause);
}

} // namespace dfm
