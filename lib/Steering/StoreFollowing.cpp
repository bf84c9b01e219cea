#include "dragonflymoor/Steering/StoreFollowing.h"

#include "dragonflymoor/Support/Hash.h"
#include <algorithm>

namespace dfm {

namespace {

/// VMs of one region that may follow the store for the others. Only the first does while it reaches
/// the store: each call to it costs more than the bytes of a request between failure domains.
constexpr size_t kFollowersPerRegion = 3;

/// A starting VM asks the seeds for the state and follows the store itself when none has answered
/// for this long. Many VMs start at once, and would load the store together.
constexpr Duration kSeedAnswerTimeout = 700ms;

/// The wait for the seeds ends after this time in any case.
constexpr Duration kMaxSeedWait = 1500ms;

/// After the start of membership a VM knows only some of the others, and would take itself for a
/// follower. During this time the seeds follow the store, and other VMs do so only when no seed
/// sends them the state.
constexpr Duration kMembershipSettleTime = 3s;

/// How long one watch waits for a change. The watch of the instances, the kind that changes most
/// often, shows soonest that a store has fallen silent; the others must end within the 2.5 s in
/// which changes must be in force, in case only their connection is dead.
constexpr Duration kInstanceWatchWait = 800ms;
constexpr Duration kWatchWait = 1600ms;

/// State is stale when the store's last answer is older than this: a watch has ended by then, with
/// 0.2 s for a slow store and one period of the exchange between VMs.
constexpr Duration kMaxStoreAnswerAge = 1300ms;

/// A VM that asks others follows the store itself when the store's last answer to any of them is
/// older than this. Followers do so earlier: the others are to learn that one has taken over before
/// their own reports expire, as otherwise all of them would call the store at the same time.
constexpr Duration kFollowerReportLifetime = 1300ms;
constexpr Duration kPeerReportLifetime = 1600ms;

/// How long followers, and the other VMs, avoid a follower that has lost the store or did not
/// answer. One that changed between the followers often could be named as a delegate to VMs on
/// which it relies itself.
constexpr Duration kFaultLifetimeOfFollowers = 2s;
constexpr Duration kFaultLifetime = 10s;

/// Added to these for a VM that asks a delegate, whose own report has some age.
constexpr Duration kDelegatedReportLifetime = 300ms;

/// How long delegates are asked before the VM that named them is asked again.
constexpr Duration kDelegateLifetime = 3s;

/// Longest waits of followers and of the others between two calls to a store that does not answer.
/// The followers retry more often, so they notice its return first.
constexpr Duration kMaxFollowerRetryWait = 800ms;
constexpr Duration kMaxNonFollowerRetryWait = 2400ms;

/// Pause between two watches of one kind for each VM that follows the store, and the longest: a
/// burst of changes comes in a few answers instead of one each. The longest leaves most of the 2.5
/// s within which changes must be in force.
constexpr Duration kPausePerFollower = 50ms;
constexpr Duration kMaxPause = 400ms;

/// Spacing of the registrations of the VMs after a return of the store.
constexpr Duration kRegistrationSpacing = 10ms;

/// Returns the VMs of a region that the others ask, in the order in which they follow the store.
std::vector<Vm>
ChooseFollowers(const RegionId& aRegion, std::vector<Vm> aVms)
{
  const std::string& region = aRegion.Value();
  std::sort(aVms.begin(), aVms.end(), [&region](const Vm& aLeft, const Vm& aRight) {
    return RendezvousWeight(region, aLeft.id.Value()) > RendezvousWeight(region, aRight.id.Value());
  });
  aVms.resize(std::min(aVms.size(), kFollowersPerRegion));
  return aVms;
}

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
  followersOfOtherRegions_.clear();
  std::map<RegionId, std::vector<Vm>> vmsByRegion;
  for (const Vm& vm : liveVms_)
    vmsByRegion[vm.region].push_back(vm);
  for (auto& [region, vms] : vmsByRegion) {
    std::vector<Vm> followers = ChooseFollowers(region, std::move(vms));
    std::vector<Vm>& known = region == options_.self.region ? followers_ : followersOfOtherRegions_;
    known.insert(known.end(), followers.begin(), followers.end());
  }
  std::erase_if(faultsByFollower_,
                [aNow](const auto& aEntry) { return aNow - aEntry.second >= kFaultLifetime; });
  regionCount_ = std::max<size_t>(vmsByRegion.size(), 1);
}

bool
StoreFollowing::OnStoreCallEnd(TimePoint aNow, ObjectKind aKind, bool aAnswered)
{
  const bool wasReachable = IsStoreReachable();
  if (aAnswered && aKind == ObjectKind::Instances)
    storeAnsweredAt_ = aNow;
  lastCallAnswered_[static_cast<size_t>(aKind)] = aAnswered;
  wasEverReachable_ = wasEverReachable_ || IsStoreReachable();
  return wasReachable != IsStoreReachable();
}

bool
StoreFollowing::OnPeerAnswer(TimePoint aNow,
                             const Endpoint& aPeer,
                             std::optional<Duration> aStoreAnswerAge)
{
  lastPeerAnswer_ = aNow;
  mustAskAnotherPeer_ = false;
  if (aStoreAnswerAge) {
    const TimePoint answeredAt = aNow - *aStoreAnswerAge;
    peerReportedReachableAt_ = std::max(peerReportedReachableAt_.value_or(answeredAt), answeredAt);
  }
  if (!aStoreAnswerAge || *aStoreAnswerAge >= MaxStoreAnswerAge()) {
    RotatePeers(aPeer);
    const bool isNew = !HasRecentFault(aNow, aPeer);
    faultsByFollower_[aPeer] = aNow;
    mustAskAnotherPeer_ = isNew && IsStoreReachable() && IsMembershipSettled(aNow);
    return false;
  }
  faultsByFollower_.erase(aPeer);
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
StoreFollowing::MayCallFor(ObjectKind aKind) const
{
  return !wasEverReachable_ || aKind == ObjectKind::Instances ||
         lastCallAnswered_[static_cast<size_t>(ObjectKind::Instances)];
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
  return !followers_.empty() && followers_.front().id == options_.self.id;
}

bool
StoreFollowing::IsWaitingForSeeds(TimePoint aNow) const
{
  const TimePoint lastSign = lastPeerAnswer_.value_or(options_.startedAt);
  return !wasEverReachable_ && !options_.seeds.empty() && !IsSeed() &&
         aNow - lastSign < kSeedAnswerTimeout && aNow - options_.startedAt < kMaxSeedWait;
}

size_t
StoreFollowing::FollowerRank() const
{
  const auto self = std::find_if(followers_.begin(), followers_.end(), [this](const Vm& aVm) {
    return aVm.id == options_.self.id;
  });
  return static_cast<size_t>(self - followers_.begin());
}

bool
StoreFollowing::MayFollow(TimePoint aNow) const
{
  return IsMembershipSettled(aNow) && FollowerRank() < followers_.size();
}

bool
StoreFollowing::HasRecentFault(TimePoint aNow, const Endpoint& aPeer) const
{
  const auto fault = faultsByFollower_.find(aPeer);
  const Duration lifetime = MayFollow(aNow) ? kFaultLifetimeOfFollowers : kFaultLifetime;
  return fault != faultsByFollower_.end() && aNow - fault->second < lifetime;
}

bool
StoreFollowing::AreEarlierFollowersFaulty(TimePoint aNow) const
{
  const size_t rank = FollowerRank();
  if (rank == 0 || rank == followers_.size())
    return false;
  const auto earlierEnd = followers_.begin() + static_cast<std::ptrdiff_t>(rank);
  return std::all_of(followers_.begin(), earlierEnd, [this, aNow](const Vm& aVm) {
    return HasRecentFault(aNow, aVm.peers);
  });
}

std::vector<Endpoint>
StoreFollowing::FollowersToAsk(TimePoint aNow) const
{
  std::vector<Endpoint> peers;
  const auto earlierEnd = followers_.begin() + static_cast<std::ptrdiff_t>(FollowerRank());
  for (auto vm = followers_.begin(); vm != earlierEnd; ++vm)
    peers.push_back(vm->peers);
  // The other VMs divide between the first two.
  if (!MayFollow(aNow) && peers.size() > 1 && HashBytes(options_.self.id.Value()) % 2 != 0)
    std::swap(peers[0], peers[1]);
  const auto healthy =
    std::find_if(peers.begin(), peers.end(), [this, aNow](const Endpoint& aPeer) {
      return !HasRecentFault(aNow, aPeer);
    });
  if (healthy != peers.end())
    return { *healthy };
  return PreferredPeer(std::move(peers));
}

Duration
StoreFollowing::TimeLeftOfPeerReport(TimePoint aNow) const
{
  const bool isFollower = MayFollow(aNow);
  if (!peerReportedReachableAt_ || (isFollower && AreEarlierFollowersFaulty(aNow)))
    return {};
  const Duration lifetime = (isFollower ? kFollowerReportLifetime : kPeerReportLifetime) +
                            (delegates_.empty() ? Duration{} : kDelegatedReportLifetime);
  return std::max(Duration{}, *peerReportedReachableAt_ + lifetime - aNow);
}

bool
StoreFollowing::HasFreshPeerReport(TimePoint aNow) const
{
  return TimeLeftOfPeerReport(aNow) > Duration{};
}

Duration
StoreFollowing::TimeServedByFollower(TimePoint aNow) const
{
  return IsServedByFollower(aNow) ? TimeLeftOfPeerReport(aNow) : Duration{};
}

Duration
StoreFollowing::MaxStoreAnswerAge() const
{
  return kMaxStoreAnswerAge + (delegates_.empty() ? Duration{} : kDelegatedReportLifetime);
}

std::optional<Duration>
StoreFollowing::StoreAnswerAge(TimePoint aNow) const
{
  if (!IsStoreReachable())
    return std::nullopt;
  const auto answeredAt = std::max(storeAnsweredAt_, peerReportedReachableAt_);
  return answeredAt ? std::optional(aNow - *answeredAt) : std::nullopt;
}

bool
StoreFollowing::IsStateStale(TimePoint aNow) const
{
  const auto age = StoreAnswerAge(aNow);
  return age && *age >= MaxStoreAnswerAge();
}

bool
StoreFollowing::MustListVms(TimePoint aNow) const
{
  return !IsMembershipSettled(aNow) || IsFollower(aNow) || liveVms_.size() <= 1;
}

bool
StoreFollowing::IsServedByFollower(TimePoint aNow) const
{
  // After this VM itself has lost the store, it keeps calling until the store answers it again.
  return IsStoreReachable() && HasFreshPeerReport(aNow) && !IsFollower(aNow);
}

std::vector<Endpoint>
StoreFollowing::PeersToAsk(TimePoint aNow,
                           const std::vector<Vm>& aRegistered,
                           bool aAsksAllRegions) const
{
  std::vector<Endpoint> peers;
  const auto add = [&peers](const std::vector<Vm>& aVms) {
    for (const Vm& vm : aVms)
      peers.push_back(vm.peers);
  };
  const bool membersKnown = liveVms_.size() > 1;
  if (membersKnown && (IsStateStale(aNow) || (aAsksAllRegions && IsStoreReachable())))
    return PeersOfAllRegions(aNow);
  if (IsStoreReachable()) {
    if (IsFollower(aNow))
      return {};
    if (MustAskDelegate(aNow))
      return { delegates_.front() };
    if (!IsMembershipSettled(aNow))
      return PreferredPeer(options_.seeds);
    return FollowersToAsk(aNow);
  }
  if (IsWaitingForSeeds(aNow))
    return delegates_.empty() ? PreferredPeer(options_.seeds) : std::vector{ delegates_.front() };
  add(liveVms_);
  if (liveVms_.size() <= 1) {
    add(aRegistered);
    peers.insert(peers.end(), options_.seeds.begin(), options_.seeds.end());
  }
  std::erase(peers, options_.self.peers);
  return peers;
}

std::vector<Endpoint>
StoreFollowing::PeersOfAllRegions(TimePoint aNow) const
{
  std::vector<Endpoint> peers;
  for (const std::vector<Vm>* const vms : { &followers_, &followersOfOtherRegions_ }) {
    for (const Vm& vm : *vms)
      peers.push_back(vm.peers);
  }
  std::erase_if(peers, [this, aNow](const Endpoint& aPeer) {
    return aPeer == options_.self.peers || HasRecentFault(aNow, aPeer);
  });
  if (!peers.empty())
    return peers;
  for (const Vm& vm : liveVms_) {
    if (vm.id != options_.self.id)
      peers.push_back(vm.peers);
  }
  return peers;
}

void
StoreFollowing::OnDelegates(TimePoint aNow, std::vector<Endpoint> aDelegates)
{
  lastPeerAnswer_ = aNow;
  delegates_ = std::move(aDelegates);
  delegatesNamedAt_ = aNow;
}

bool
StoreFollowing::MustAskDelegate(TimePoint aNow) const
{
  // A delegate may in turn rely on this VM if this one may follow the store.
  if (delegates_.empty() || MayFollow(aNow))
    return false;
  // Delegates that do not reach the store are given up before their last report expires.
  const bool reachesStore = HasFreshPeerReport(aNow + kPeerReportLifetime / 2);
  return aNow - delegatesNamedAt_ < (reachesStore ? kDelegateLifetime : kPeerReportLifetime);
}

void
StoreFollowing::OnPeerRequestFailed(TimePoint aNow, const Endpoint& aPeer)
{
  RotatePeers(aPeer);
  faultsByFollower_[aPeer] = aNow;
}

void
StoreFollowing::RotatePeers(const Endpoint& aPeer)
{
  if (std::erase(delegates_, aPeer) == 0)
    ++failedRootRequests_;
}

std::vector<Endpoint>
StoreFollowing::PreferredPeer(std::vector<Endpoint> aPeers) const
{
  std::erase(aPeers, options_.self.peers);
  if (aPeers.empty())
    return {};
  const uint64_t first = HashBytes(options_.self.id.Value());
  return { aPeers[(first + failedRootRequests_) % aPeers.size()] };
}

bool
StoreFollowing::MayBeRedirected(TimePoint aNow) const
{
  return (IsStoreReachable() && !IsStateStale(aNow) && !MayFollow(aNow)) || IsWaitingForSeeds(aNow);
}

Duration
StoreFollowing::MaxRetryWait(TimePoint aNow) const
{
  return IsFollower(aNow) ? kMaxFollowerRetryWait : kMaxNonFollowerRetryWait;
}

Duration
StoreFollowing::RegistrationDelay() const
{
  return kRegistrationSpacing *
         std::count_if(liveVms_.begin(), liveVms_.end(), [this](const Vm& aVm) {
           return aVm.id < options_.self.id;
         });
}

Duration
StoreFollowing::WatchWait(ObjectKind aKind)
{
  return aKind == ObjectKind::Instances ? kInstanceWatchWait : kWatchWait;
}

Duration
StoreFollowing::PauseBetweenWatches() const
{
  return std::min(kPausePerFollower * static_cast<int64_t>(regionCount_), kMaxPause);
}

} // namespace dfm
