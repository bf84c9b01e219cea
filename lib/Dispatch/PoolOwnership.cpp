#include "dragonflymoor/Dispatch/PoolOwnership.h"

#include "dragonflymoor/Support/Hash.h"
#include <algorithm>
#include <tuple>

namespace dfm {

namespace {

OwnerTier
TierOf(const PoolSite& aPool, const Vm& aVm)
{
  if (aVm.failureDomain == aPool.pool.failureDomain)
    return OwnerTier::FailureDomain;
  return aVm.region == aPool.region ? OwnerTier::Region : OwnerTier::Remote;
}

/// Order of candidates for a pool: a lower value is preferred.
auto
Preference(const PoolSite& aPool, const Vm& aVm)
{
  const std::string key = aPool.pool.service.Value() + "/" + aPool.pool.failureDomain.Value();
  return std::tuple(TierOf(aPool, aVm), ~RendezvousWeight(key, aVm.id.Value()), aVm.id);
}

} // namespace

std::optional<PoolOwner>
OwnerOf(const PoolSite& aPool, const std::vector<Vm>& aLive)
{
  if (aLive.empty())
    return std::nullopt;
  const Vm* best = aLive.data();
  auto bestPreference = Preference(aPool, *best);
  for (const Vm& vm : aLive) {
    auto preference = Preference(aPool, vm);
    if (preference < bestPreference) {
      best = &vm;
      bestPreference = std::move(preference);
    }
  }
  return PoolOwner{ .vm = best->id, .tier = TierOf(aPool, *best) };
}

PoolOwnership::PoolOwnership(Vm aSelf, OwnershipOptions aOptions)
  : self_(std::move(aSelf))
  , options_(aOptions)
{
}

void
PoolOwnership::SetPools(const std::vector<PoolSite>& aPools, TimePoint aNow)
{
  std::map<PoolId, State> pools;
  for (const PoolSite& site : aPools) {
    const auto known = pools_.find(site.pool);
    State state = known == pools_.end() ? State{} : known->second;
    state.site = site;
    Update(state, aNow);
    pools.emplace(site.pool, std::move(state));
  }
  pools_ = std::move(pools);
}

void
PoolOwnership::SetMembers(const std::vector<Vm>& aLive, const std::set<VmId>& aLeft, TimePoint aNow)
{
  live_ = aLive;
  left_ = aLeft;
  liveByDomain_.clear();
  liveByRegion_.clear();
  for (const Vm& vm : live_) {
    liveByDomain_[vm.failureDomain].push_back(vm);
    liveByRegion_[vm.region].push_back(vm);
  }
  for (auto& [pool, state] : pools_)
    Update(state, aNow);
}

const std::vector<Vm>&
PoolOwnership::Candidates(const PoolSite& aPool) const
{
  const auto domain = liveByDomain_.find(aPool.pool.failureDomain);
  if (domain != liveByDomain_.end())
    return domain->second;
  const auto region = liveByRegion_.find(aPool.region);
  return region != liveByRegion_.end() ? region->second : live_;
}

void
PoolOwnership::Update(State& aState, TimePoint aNow)
{
  if (liveByRegion_.contains(aState.site.region))
    aState.regionLost.reset();
  else if (!aState.regionLost)
    aState.regionLost = aNow;

  if (aState.claim && left_.contains(aState.claim->vm.id))
    aState.claim.reset();
  const std::optional<PoolOwner> owner = OwnerOf(aState.site, Candidates(aState.site));
  const bool mine = owner && owner->vm == self_.id;
  const bool wasMine = aState.owner && aState.owner->vm == self_.id;
  if (aState.owner && !wasMine)
    aState.previous = aState.owner->vm;
  if (mine && !wasMine) {
    aState.since = aNow;
    aState.handedOver = aState.previous && left_.contains(*aState.previous);
  }
  if (!mine)
    aState.claim.reset();
  aState.owner = owner;
}

void
PoolOwnership::OnClaim(const PoolId& aPool, const Vm& aClaimant, TimePoint aNow)
{
  const auto found = pools_.find(aPool);
  if (found == pools_.end() || aClaimant.id == self_.id || left_.contains(aClaimant.id))
    return;
  State& state = found->second;
  if (!state.owner || state.owner->vm != self_.id || !Outranks(state, aClaimant))
    return;
  state.claim = Claim{ .vm = aClaimant, .heard = aNow };
}

bool
PoolOwnership::Outranks(const State& aState, const Vm& aOther) const
{
  return Preference(aState.site, aOther) < Preference(aState.site, self_);
}

bool
PoolOwnership::Yields(const State& aState, TimePoint aNow) const
{
  return aState.claim && aNow - aState.claim->heard < options_.claimTime;
}

void
PoolOwnership::OnPauseEnded(TimePoint aNow)
{
  for (auto& [pool, state] : pools_) {
    state.since = aNow;
    state.handedOver = false;
  }
}

PoolPhase
PoolOwnership::Phase(const PoolId& aPool, TimePoint aNow) const
{
  const auto found = pools_.find(aPool);
  if (found == pools_.end())
    return PoolPhase::NotMine;
  const State& state = found->second;
  if (!state.owner || state.owner->vm != self_.id || Yields(state, aNow))
    return PoolPhase::NotMine;
  if (state.owner->tier == OwnerTier::Remote) {
    const bool waiting = !state.regionLost || aNow - *state.regionLost < options_.remoteWait;
    return waiting ? PoolPhase::RemoteWait : PoolPhase::RemoteTakeOver;
  }
  const TimePoint since =
    state.claim ? std::max(state.since, state.claim->heard + options_.claimTime) : state.since;
  if (aNow - since >= options_.takeOverTime)
    return PoolPhase::Mine;
  return state.handedOver && !state.claim ? PoolPhase::HandedOver : PoolPhase::TakingOver;
}

std::optional<VmId>
PoolOwnership::Owner(const PoolId& aPool, TimePoint aNow) const
{
  const auto found = pools_.find(aPool);
  if (found == pools_.end() || !found->second.owner)
    return std::nullopt;
  const State& state = found->second;
  return Yields(state, aNow) ? state.claim->vm.id : state.owner->vm;
}

std::vector<PoolId>
PoolOwnership::Mine(TimePoint aNow) const
{
  std::vector<PoolId> mine;
  for (const auto& [pool, state] : pools_) {
    if (Phase(pool, aNow) != PoolPhase::NotMine)
      mine.push_back(pool);
  }
  return mine;
}

} // namespace dfm
