#include "dragonflymoor/Steering/StoreFollowing.h"

#include "dragonflymoor/Support/Hash.h"
#include <algorithm>
#include <map>

namespace dfm {

namespace {

/// VMs of one region that follow the store; the others ask them. Each call to the store is priced
/// higher than the bytes of a request between failure domains.
constexpr size_t kFollowersPerRegion = 2;

/// A starting VM asks the seeds for the state, and follows the store itself when none answered for
/// this long: many VMs start at once.
constexpr Duration kSeedsFirst = 700ms;

/// After the start of membership a VM knows only some of the others, and would take itself for a
/// follower. So long the seeds follow the store, and the others only when no seed tells the state.
constexpr Duration kSettleTime = 3s;

/// A VM that asks others follows the store itself when none vouched for it for this long.
constexpr Duration kVouchedLife = 800ms;

/// Longest waits of followers and of the others between two calls to a store that does not answer.
/// The followers see its return first.
constexpr Duration kFollowerWait = 800ms;
constexpr Duration kOtherWait = 2400ms;

/// Pause between two watches of one kind for each VM that follows the store, and the longest: a
/// burst of changes comes in a few answers instead of one each. The longest leaves most of the 2.5
/// s within which changes must be in force.
constexpr Duration kPausePerFollower = 10ms;
constexpr Duration kLongestPause = 400ms;

} // namespace

StoreFollowing::StoreFollowing(StoreFollowingOptions aOptions)
  : options_(std::move(aOptions))
{
}

void
StoreFollowing::OnMembers(TimePoint aNow, const std::vector<Vm>& aLive)
{
  if (!membersSince_)
    membersSince_ = aNow;
  live_ = aLive;
  followers_.clear();
  std::map<RegionId, size_t> perRegion;
  for (const Vm& vm : live_) {
    ++perRegion[vm.region];
    if (vm.region == options_.self.region)
      followers_.push_back(vm);
  }
  const std::string& region = options_.self.region.Value();
  std::sort(followers_.begin(), followers_.end(), [&region](const Vm& aLeft, const Vm& aRight) {
    return RendezvousWeight(region, aLeft.id.Value()) > RendezvousWeight(region, aRight.id.Value());
  });
  followers_.resize(std::min(followers_.size(), kFollowersPerRegion));
  allFollowers_ = 0;
  for (const auto& [name, vms] : perRegion)
    allFollowers_ += std::min(vms, kFollowersPerRegion);
}

bool
StoreFollowing::OnCall(ObjectKind aKind, bool aAnswered)
{
  const bool before = Reachable();
  answered_[static_cast<size_t>(aKind)] = aAnswered;
  everReachable_ = everReachable_ || Reachable();
  return before != Reachable();
}

bool
StoreFollowing::OnVouched(TimePoint aNow)
{
  vouchedAt_ = aNow;
  if (everReachable_)
    return false;
  everReachable_ = true;
  answered_.fill(true);
  return true;
}

bool
StoreFollowing::Reachable() const
{
  return std::all_of(answered_.begin(), answered_.end(), [](bool aIt) { return aIt; });
}

bool
StoreFollowing::IsSeed() const
{
  return std::find(options_.seeds.begin(), options_.seeds.end(), options_.self.peers) !=
         options_.seeds.end();
}

bool
StoreFollowing::IsSettled(TimePoint aNow) const
{
  return membersSince_ && aNow - *membersSince_ >= kSettleTime;
}

bool
StoreFollowing::IsFollower(TimePoint aNow) const
{
  if (!IsSettled(aNow))
    return IsSeed();
  return std::any_of(followers_.begin(), followers_.end(), [this](const Vm& aVm) {
    return aVm.id == options_.self.id;
  });
}

bool
StoreFollowing::WaitsForSeeds(TimePoint aNow) const
{
  return !everReachable_ && !options_.seeds.empty() && !IsSeed() &&
         aNow - options_.startedAt < kSeedsFirst;
}

bool
StoreFollowing::IsServed(TimePoint aNow) const
{
  // After a loss of its own this VM makes sure that the store answers it again.
  return Reachable() && vouchedAt_ && aNow - *vouchedAt_ < kVouchedLife && !IsFollower(aNow);
}

std::vector<Endpoint>
StoreFollowing::PeersToAsk(TimePoint aNow, const std::vector<Vm>& aRegistered) const
{
  std::vector<Endpoint> peers;
  const auto add = [&peers](const std::vector<Vm>& aVms) {
    for (const Vm& vm : aVms)
      peers.push_back(vm.peers);
  };
  if (Reachable()) {
    if (IsFollower(aNow))
      return {};
    if (IsSettled(aNow))
      add(followers_);
    else
      peers = options_.seeds;
  } else if (WaitsForSeeds(aNow)) {
    peers = options_.seeds;
  } else {
    add(live_);
    if (live_.size() <= 1) {
      add(aRegistered);
      peers.insert(peers.end(), options_.seeds.begin(), options_.seeds.end());
    }
  }
  std::erase(peers, options_.self.peers);
  return peers;
}

Duration
StoreFollowing::LongestRetryWait(TimePoint aNow) const
{
  return IsFollower(aNow) ? kFollowerWait : kOtherWait;
}

Duration
StoreFollowing::PauseBetweenWatches() const
{
  return std::min(kPausePerFollower * static_cast<int64_t>(allFollowers_), kLongestPause);
}

} // namespace dfm
