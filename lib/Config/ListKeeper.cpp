#include "dragonflymoor/Config/ListKeeper.h"

#include "dragonflymoor/Model/Lists.h"
#include "dragonflymoor/Support/Hash.h"
#include <algorithm>
#include <cassert>
#include <limits>
#include <tuple>

namespace dfm {

namespace {

// A watch that ends sooner without a change (object missing, store in trouble) is not repeated at
// once.
constexpr Duration kShortestWatch = 1s;
// Versions refused in a row that are remembered; more would be one faulty writer in a loop.
constexpr size_t kMaxRefused = 64;
// A newer version that a peer offers but does not deliver delays readiness this many start waits.
constexpr int kGiveUpFactor = 5;
// Asks for the version only: no list has a version as high as this.
constexpr ListVersion kVersionOnly = std::numeric_limits<ListVersion>::max();

template<typename Function>
void
ForEachList(Function aFunction)
{
  for (size_t i = 0; i < kListCount; ++i)
    aFunction(static_cast<ListName>(i));
}

/// Lists that need not exist: a fleet without limits, drains or links works.
bool
MayBeAbsent(ListName aList)
{
  return aList == ListName::Limits || aList == ListName::Drains || aList == ListName::Links;
}

} // namespace

ListKeeper::ListKeeper(ListKeeperOptions aOptions, ListKeeperHooks aHooks)
  : options_(std::move(aOptions))
  , hooks_(std::move(aHooks))
  , random_(options_.randomSeed)
  , lists_(std::make_shared<const FleetLists>())
{
  assert(hooks_.callStore && hooks_.send && hooks_.changed && hooks_.refused && "hook is not set");
}

Duration
ListKeeper::Backoff(unsigned aFailures)
{
  const unsigned doublings = std::min(aFailures, 16U) - std::min(aFailures, 1U);
  const Duration full = std::min(options_.retryFirst * (1U << doublings), options_.retryLast);
  return random_.Between(full / 2, full);
}

void
ListKeeper::Start(Now aNow)
{
  ElectWatchers();
  ForEachList([&](ListName aList) { CallStore(aNow, aList, StoreCall::Kind::Get); });
}

void
ListKeeper::OnTick(Now aNow)
{
  if (electionDue_)
    ElectWatchers();
  ForEachList([&](ListName aList) {
    StepStore(aNow, aList);
    StepStart(aNow, aList);
    StepPull(aNow, aList);
    Settle(aNow, aList);
  });
}

std::vector<VmId>
ListKeeper::Watchers(const FailureDomainId& aDomain, ListName aList) const
{
  std::vector<std::tuple<bool, uint64_t, VmId>> ranked;
  const auto add = [&](const Vm& aVm, bool aLeaving) {
    if (aVm.failureDomain != aDomain)
      return;
    const uint64_t weight = RendezvousWeight(ObjectName(aList), aVm.id.Value());
    ranked.emplace_back(aLeaving, std::numeric_limits<uint64_t>::max() - weight, aVm.id);
  };
  add(options_.self, false);
  for (const auto& [id, peer] : peers_)
    add(peer.vm, peer.leaving);
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), options_.watchersPerDomain));
  std::vector<VmId> watchers;
  watchers.reserve(ranked.size());
  for (const auto& entry : ranked)
    watchers.push_back(std::get<VmId>(entry));
  return watchers;
}

void
ListKeeper::ElectWatchers()
{
  electionDue_ = false;
  ForEachList([&](ListName aList) {
    const std::vector<VmId> watchers = Watchers(options_.self.failureDomain, aList);
    Of(aList).watching =
      std::find(watchers.begin(), watchers.end(), options_.self.id) != watchers.end();
  });
}

bool
ListKeeper::IsWatcher(ListName aList) const
{
  return Of(aList).watching;
}

void
ListKeeper::CallStore(Now aNow, ListName aList, StoreCall::Kind aKind)
{
  List& list = Of(aList);
  list.callIsWatch = aKind == StoreCall::Kind::Watch;
  list.callStarted = aNow.monotonic;
  StoreCall call;
  call.kind = aKind;
  call.object = ObjectName(aList);
  if (list.callIsWatch)
    call.expectedVersion = list.highestSeen;
  list.call = hooks_.callStore(call);
}

void
ListKeeper::OnStoreFailure(Now aNow, List& aState)
{
  aState.call.reset();
  ++aState.callFailures;
  aState.nextCall = aNow.monotonic + Backoff(aState.callFailures);
}

void
ListKeeper::StepStore(Now aNow, ListName aList)
{
  List& list = Of(aList);
  if (list.call && aNow.monotonic - list.callStarted >= options_.storeTimeout)
    OnStoreFailure(aNow, list);
  if (list.call || aNow.monotonic < list.nextCall)
    return;
  const bool unseen = lists_->VersionOf(aList) == 0 && !list.storeAnswered;
  if (list.watching && list.storeAnswered)
    CallStore(aNow, aList, StoreCall::Kind::Watch);
  else if (list.watching || unseen)
    CallStore(aNow, aList, StoreCall::Kind::Get);
}

bool
ListKeeper::OnStoreResult(Now aNow, StoreCallId aCall, const StoreResult& aResult)
{
  const auto found = std::find_if(
    state_.begin(), state_.end(), [&](const List& aList) { return aList.call == aCall; });
  if (found == state_.end())
    return false;
  List& list = *found;
  if (aResult.status == StoreStatus::NoAnswer || aResult.status == StoreStatus::Conflict) {
    OnStoreFailure(aNow, list);
    return true;
  }
  list.call.reset();
  list.callFailures = 0;
  list.storeAnswered = true;
  // A watch also ends with NotFound when nothing changed for a while.
  if (!list.callIsWatch)
    list.absent = aResult.status == StoreStatus::NotFound;
  const bool shortWatch = list.callIsWatch && aResult.status == StoreStatus::NotFound &&
                          aNow.monotonic - list.callStarted < kShortestWatch;
  list.nextCall = shortWatch ? aNow.monotonic + random_.Between(kShortestWatch / 2, kShortestWatch)
                             : aNow.monotonic;
  if (aResult.status == StoreStatus::Ok)
    TakeContent(static_cast<ListName>(found - state_.begin()), aResult.version, aResult.content);
  return true;
}

void
ListKeeper::TakeContent(ListName aList, ListVersion aVersion, const std::string& aContent)
{
  List& list = Of(aList);
  list.highestSeen = std::max(list.highestSeen, aVersion);
  if (aVersion <= lists_->VersionOf(aList) || list.refused.contains(aVersion))
    return;
  Checked<FleetLists> lists = ReplaceList(*lists_, aList, aVersion, aContent);
  if (!lists) {
    list.refused.insert(aVersion);
    if (list.refused.size() > kMaxRefused)
      list.refused.erase(list.refused.begin());
    hooks_.refused(aList, aVersion, lists.error());
    return;
  }
  list.content = aContent;
  list.absent = false;
  list.refused.erase(list.refused.begin(), list.refused.upper_bound(aVersion));
  lists_ = std::make_shared<const FleetLists>(std::move(*lists));
  hooks_.changed(lists_);
}

void
ListKeeper::OnWritten(Now /*aNow*/,
                      ListName aList,
                      ListVersion aVersion,
                      const std::string& aContent)
{
  TakeContent(aList, aVersion, aContent);
}

void
ListKeeper::OnMember(Now aNow, const MemberUpdate& aMember)
{
  const bool live = aMember.state == MemberState::Alive || aMember.state == MemberState::Suspect;
  const auto known = peers_.find(aMember.vm.id);
  const bool wasLive = known != peers_.end();
  const bool sameRank =
    wasLive && known->second.vm == aMember.vm && known->second.leaving == aMember.leaving;
  if (live != wasLive || (live && !sameRank))
    electionDue_ = electionDue_ || aMember.vm.failureDomain == options_.self.failureDomain;
  if (!live) {
    peers_.erase(aMember.vm.id);
    return;
  }
  peers_[aMember.vm.id] = { .vm = aMember.vm,
                            .leaving = aMember.leaving,
                            .versions = aMember.listVersions };
  for (size_t i = 0; i < kListCount; ++i)
    state_[i].highestOffered = std::max(state_[i].highestOffered, aMember.listVersions[i]);
  if (!firstPeerAt_)
    firstPeerAt_ = aNow.monotonic;
}

void
ListKeeper::StepStart(Now aNow, ListName aList)
{
  List& list = Of(aList);
  if (list.settled || list.storeAnswered || peers_.empty())
    return;
  // Requests and answers may be lost: those without an answer are asked again.
  if (aNow.monotonic >= list.nextStartRound) {
    list.nextStartRound = aNow.monotonic + options_.startWait;
    list.startAsked = list.startAnswered;
  }
  for (const auto& [id, peer] : peers_) {
    if (list.startAsked.size() >= options_.startPeers)
      return;
    if (list.startAsked.insert(id).second)
      hooks_.send(peer.vm, ListRequest{ .list = aList, .atLeast = kVersionOnly });
  }
}

bool
ListKeeper::Offers(const Peer& aPeer, ListName aList) const
{
  const ListVersion offered = aPeer.versions[static_cast<size_t>(aList)];
  return offered > lists_->VersionOf(aList) && !Of(aList).refused.contains(offered);
}

int
ListKeeper::Distance(const Vm& aVm) const
{
  if (aVm.failureDomain == options_.self.failureDomain)
    return 0;
  return aVm.region == options_.self.region ? 1 : 2;
}

const ListKeeper::Peer*
ListKeeper::ChoosePeer(ListName aList)
{
  const size_t index = static_cast<size_t>(aList);
  // Highest version first, then the nearest; random among equals, so that pulls of many VMs spread.
  // After a failed pull the choice is random among all that offer a newer version.
  const bool any = Of(aList).pullFailures > 0;
  const Peer* best = nullptr;
  std::tuple<ListVersion, int, uint64_t> bestRank;
  for (const auto& [id, peer] : peers_) {
    if (!Offers(peer, aList))
      continue;
    const std::tuple<ListVersion, int, uint64_t> rank(
      any ? 0 : peer.versions[index], any ? 0 : -Distance(peer.vm), random_.Next());
    if (best != nullptr && rank <= bestRank)
      continue;
    best = &peer;
    bestRank = rank;
  }
  return best;
}

void
ListKeeper::StepPull(Now aNow, ListName aList)
{
  List& list = Of(aList);
  if (list.asked && aNow.monotonic - list.askedAt >= options_.peerTimeout) {
    list.asked.reset();
    ++list.pullFailures;
    list.nextPull = aNow.monotonic;
  }
  if (list.asked || aNow.monotonic < list.nextPull ||
      list.highestOffered <= lists_->VersionOf(aList))
    return;
  const Peer* peer = ChoosePeer(aList);
  if (peer == nullptr) {
    list.highestOffered = 0;
    return;
  }
  list.asked = peer->vm.id;
  list.askedAt = aNow.monotonic;
  hooks_.send(peer->vm, ListRequest{ .list = aList, .atLeast = lists_->VersionOf(aList) + 1 });
}

void
ListKeeper::OnListReply(Now aNow, const VmId& aFrom, const ListReply& aReply)
{
  List& list = Of(aReply.list);
  const auto peer = peers_.find(aFrom);
  if (peer != peers_.end()) {
    peer->second.versions[static_cast<size_t>(aReply.list)] = aReply.version;
    list.highestOffered = std::max(list.highestOffered, aReply.version);
  }
  if (aReply.content.empty()) {
    if (list.startAsked.contains(aFrom))
      list.startAnswered.insert(aFrom);
  } else {
    TakeContent(aReply.list, aReply.version, aReply.content);
  }
  if (list.asked != aFrom)
    return;
  list.asked.reset();
  const bool useful = !aReply.content.empty() && lists_->VersionOf(aReply.list) >= aReply.version;
  list.pullFailures = useful ? 0 : list.pullFailures + 1;
  list.nextPull = useful ? aNow.monotonic : aNow.monotonic + Backoff(list.pullFailures);
}

ListReply
ListKeeper::Answer(const ListRequest& aRequest) const
{
  const ListVersion held = lists_->VersionOf(aRequest.list);
  const bool wanted = held > 0 && held >= aRequest.atLeast;
  return { .list = aRequest.list,
           .version = held,
           .content = wanted ? Of(aRequest.list).content : std::string() };
}

bool
ListKeeper::AbsentAtPeers(ListName aList) const
{
  const List& list = Of(aList);
  // A peer without the lists that must exist has just started and knows nothing about this one.
  return MayBeAbsent(aList) && std::any_of(peers_.begin(), peers_.end(), [&](const auto& aEntry) {
           const auto& versions = aEntry.second.versions;
           bool complete = versions[static_cast<size_t>(aList)] == 0;
           ForEachList([&](ListName aOther) {
             complete =
               complete && (MayBeAbsent(aOther) || versions[static_cast<size_t>(aOther)] > 0);
           });
           return complete && list.startAnswered.contains(aEntry.first);
         });
}

void
ListKeeper::Settle(Now aNow, ListName aList)
{
  List& list = Of(aList);
  if (list.settled)
    return;
  if (list.storeAnswered) {
    list.settled = true;
    return;
  }
  if (!firstPeerAt_)
    return;
  const bool allAnswered = list.startAsked.size() == list.startAnswered.size();
  const bool waited = aNow.monotonic - *firstPeerAt_ >= options_.startWait;
  const bool newerKnown = std::any_of(
    peers_.begin(), peers_.end(), [&](const auto& aEntry) { return Offers(aEntry.second, aList); });
  const bool givenUp = aNow.monotonic - *firstPeerAt_ >= kGiveUpFactor * options_.startWait;
  const bool peersDone = ((allAnswered || waited) && !newerKnown) || givenUp;
  if (lists_->VersionOf(aList) == 0)
    list.absent = peersDone && AbsentAtPeers(aList);
  list.settled = peersDone && (lists_->VersionOf(aList) > 0 || list.absent);
}

bool
ListKeeper::Ready() const
{
  for (size_t i = 0; i < kListCount; ++i) {
    const auto name = static_cast<ListName>(i);
    const List& list = state_[i];
    const bool seen = lists_->VersionOf(name) > 0 || (list.absent && MayBeAbsent(name));
    if (!seen || !list.settled)
      return false;
  }
  return true;
}

} // namespace dfm
