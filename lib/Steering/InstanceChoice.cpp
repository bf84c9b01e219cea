#include "dragonflymoor/Steering/Dispatcher.h"

#include "Scale.h"
#include "dragonflymoor/Support/Hash.h"
#include <algorithm>

namespace dfm {

namespace {

/// Part of the goal for which a request waits for one of the instances that may hold its object,
/// before it takes a free slot anywhere in the region. A cold object costs three times the work.
constexpr double kWarmWaitShare = 0.3;

/// Least number of instances between which objects are divided: one instance can keep somewhat more
/// than half of the objects of a region warm.
constexpr size_t kMinInstancesPerHome = 2;

/// In a region that is short of slots an object with one home is served there, or at as many
/// instances in all.
constexpr size_t kShortOfSlotsChoices = 2;

/// Instances of a region that keep one object warm when they are not chosen for each failure
/// domain.
constexpr size_t kMaxHomes = 2;

/// How long a ranking of the instances for a waiting request is reused. Their health is checked
/// again at each choice; ranking them at each change of a load takes the whole processor of a small
/// VM.
constexpr Duration kRankingLifetime = 100ms;

/// Least part of a cold instance's rate, in requests a second, that one VM takes. In a region with
/// more VMs only some send to the instance.
constexpr double kMinColdRatePerVm = 2;

/// Part of a cold instance's rate that all VMs together use; the rest covers VMs that start or stop
/// while the shares change.
constexpr double kColdRateShare = 0.8;

uint64_t
MixHash(uint64_t aKey, uint64_t aHash)
{
  // Finalizer of SplitMix64: a full avalanche at the cost of two multiplications.
  uint64_t value = aKey ^ aHash;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

/// Position of a key in [0, 1).
double
KeyPosition(uint64_t aKey)
{
  constexpr double kRange = 18446744073709551616.0; // 2^64
  return static_cast<double>(MixHash(aKey, 0)) / kRange;
}

} // namespace

double
Dispatcher::ColdRateFor(const Instance& aInstance) const
{
  if (view_->routes == nullptr)
    return 0;
  const auto& services = view_->routes->GetManifest().services;
  const auto service = services.find(aInstance.service);
  if (service == services.end())
    return 0;
  // VMs of the instance's region divide its rate; a VM elsewhere sends to it only when it has no
  // other choice, and takes the part that it would have if all VMs did.
  const double rate = kColdRateShare * service->second.coldRequestsPerSecond;
  const VmRank rank = RankFor(aInstance);
  // Each VM may accumulate a token for one request, so many VMs with a small part each would
  // together exceed the rate.
  const auto maxSharingVms = static_cast<size_t>(std::max(1.0, rate / kMinColdRatePerVm));
  const size_t sharingVms = std::min(rank.vms, maxSharingVms);
  return rank.rank < sharingVms ? rate / static_cast<double>(sharingVms) : 0;
}

VmRank
Dispatcher::RankFor(const Instance& aInstance) const
{
  const bool own = options_.region == aInstance.region;
  const uint64_t ownWeight = RendezvousWeight(aInstance.id.Value(), options_.self.Value());
  VmRank rank{ .vms = 0 };
  for (const Vm& vm : view_->knownVms) {
    if (own && vm.region != aInstance.region)
      continue;
    ++rank.vms;
    rank.rank += RendezvousWeight(aInstance.id.Value(), vm.id.Value()) > ownWeight ? 1 : 0;
  }
  rank.vms = std::max<size_t>(rank.vms, 1);
  return rank;
}

bool
Dispatcher::HasUsableInstance(TimePoint aNow, const RegionCandidates& aCandidates)
{
  return std::any_of(
    aCandidates.list.begin(), aCandidates.list.end(), [&](const Candidate& aCandidate) {
      const Unusable why = aCandidate.tracker->UnusableReasonAt(aNow);
      return why == Unusable::None || why == Unusable::Cold || why == Unusable::Limited;
    });
}

std::vector<Dispatcher::Ranked>
Dispatcher::RankInstances(TimePoint aNow,
                          const Request& aRequest,
                          const ServiceState& aState,
                          const RegionId& aRegion) const
{
  const RegionCandidates& candidates = aState.regions.at(aRegion);
  const auto spread = aState.spreads.find(aRegion);
  const bool onePerRegion =
    spread == aState.spreads.end() || KeyPosition(aRequest.key) >= spread->second.share;
  const bool shortOfSlots =
    spread != aState.spreads.end() && spread->second.use > RegionSpread::kShortOfSlots;
  std::vector<Ranked> ranked;
  ranked.reserve(candidates.list.size());
  std::vector<std::pair<InstanceTracker*, uint64_t>> limited;
  for (const Candidate& candidate : candidates.list) {
    InstanceTracker* const state = candidate.tracker;
    const Unusable why = state->UnusableReasonAt(aNow);
    if (why == Unusable::Limited)
      limited.emplace_back(state, MixHash(aRequest.key, candidate.hash));
    if (why != Unusable::None)
      continue;
    if (std::find(aRequest.tried.begin(), aRequest.tried.end(), state->Spec().id) !=
        aRequest.tried.end())
      continue;
    ranked.push_back(
      { .instance = state,
        .weight = MixHash(aRequest.key, candidate.hash),
        .domain = candidate.domain,
        .degraded = state->IsDegraded(aNow, aState.typicalLatency, aState.typicalFailureShare),
        .inOtherDomain = candidates.domains[candidate.domain] != options_.failureDomain });
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& aLeft, const Ranked& aRight) {
    return aLeft.weight > aRight.weight;
  });
  for (const auto& [state, weight] : limited) {
    const bool isHome = ranked.empty() || weight > ranked.front().weight;
    if (isHome)
      state->Rate().OnDenied(aNow);
  }
  MarkHomes(ranked, candidates.domains.size(), onePerRegion);
  std::stable_sort(ranked.begin(), ranked.end(), [](const Ranked& aLeft, const Ranked& aRight) {
    if (aLeft.degraded != aRight.degraded)
      return aRight.degraded;
    if (aLeft.home != aRight.home)
      return aLeft.home;
    return aLeft.home && !aLeft.inOtherDomain && aRight.inOtherDomain;
  });
  // A cold request takes several times the slots, and its object evicts others.
  if (aRequest.sticky && onePerRegion && shortOfSlots && ranked.size() > kShortOfSlotsChoices)
    ranked.resize(kShortOfSlotsChoices);
  return ranked;
}

InstanceTracker*
Dispatcher::ChooseInstanceInRegion(TimePoint aNow,
                                   Request& aRequest,
                                   const ServiceState& aState,
                                   const RegionId& aRegion) const
{
  if (!aState.regions.contains(aRegion))
    return nullptr;
  Ranking& ranking = aRequest.rankings[aRegion];
  if (ranking.order.empty() || aNow - ranking.rankedAt >= kRankingLifetime)
    ranking = { .rankedAt = aNow, .order = RankInstances(aNow, aRequest, aState, aRegion) };
  const bool homesOnly = aRequest.sticky && aNow - aRequest.spec.arrived <
                                              Scale(aRequest.spec.route->goal, kWarmWaitShare);
  for (const Ranked& candidate : ranking.order) {
    if (homesOnly && !candidate.home)
      continue;
    const InstanceTracker& instance = *candidate.instance;
    if (instance.FreeSlots(aNow) <= 0 || instance.UnusableReasonAt(aNow) != Unusable::None)
      continue;
    // The instance became degraded, or got its trial request, after the ranking.
    if (!candidate.degraded &&
        instance.IsDegraded(aNow, aState.typicalLatency, aState.typicalFailureShare))
      continue;
    return candidate.instance;
  }
  return nullptr;
}

void
Dispatcher::MarkHomes(std::vector<Ranked>& aRanked, size_t aDomains, bool aOnePerRegion)
{
  if (aRanked.empty())
    return;
  if (aOnePerRegion) {
    aRanked.front().home = true;
    return;
  }
  std::vector<size_t> perDomain(aDomains);
  for (const Ranked& candidate : aRanked)
    ++perDomain[candidate.domain];
  const bool inEachDomain = std::all_of(perDomain.begin(), perDomain.end(), [](size_t aCount) {
    return aCount == 0 || aCount >= kMinInstancesPerHome;
  });
  if (inEachDomain) {
    std::vector<bool> marked(aDomains);
    for (Ranked& candidate : aRanked) {
      candidate.home = !marked[candidate.domain];
      marked[candidate.domain] = true;
    }
    return;
  }
  const size_t homes = std::clamp<size_t>(aRanked.size() / kMinInstancesPerHome, 1, kMaxHomes);
  for (size_t i = 0; i < std::min(homes, aRanked.size()); ++i)
    aRanked[i].home = true;
}

InstanceTracker*
Dispatcher::ChooseInstance(TimePoint aNow, Request& aRequest, const ServiceState& aState) const
{
  const bool ownAllowed = aRequest.MayRunIn(options_.region);
  const auto spillTo = aState.spill.SpillRegionFor(aRequest.key);
  if (ownAllowed && spillTo && aRequest.MayRunIn(*spillTo) &&
      shifts_.MayStart(aNow, *spillTo, aState.spill.ShareOf(*spillTo))) {
    // While the other region is full the request waits: in this VM's region its object is cold and
    // would evict others.
    const auto remote = aState.regions.find(*spillTo);
    if (remote != aState.regions.end() && HasUsableInstance(aNow, remote->second))
      return ChooseInstanceInRegion(aNow, aRequest, aState, *spillTo);
  }
  const auto own = aState.regions.find(options_.region);
  if (ownAllowed && own != aState.regions.end() && HasUsableInstance(aNow, own->second))
    return ChooseInstanceInRegion(aNow, aRequest, aState, options_.region);

  // The own region cannot serve the request at all. The region is chosen by key, so that objects
  // stay warm.
  std::vector<RegionId> others;
  for (const auto& [region, candidates] : aState.regions) {
    if (region != options_.region && aRequest.MayRunIn(region) &&
        HasUsableInstance(aNow, candidates))
      others.push_back(region);
  }
  if (others.empty())
    return nullptr;
  const size_t start = MixHash(aRequest.key, 0) % others.size();
  for (size_t i = 0; i < others.size(); ++i) {
    const RegionId& region = others[(start + i) % others.size()];
    if (InstanceTracker* const remote = ChooseInstanceInRegion(aNow, aRequest, aState, region))
      return remote;
  }
  return nullptr;
}

} // namespace dfm
