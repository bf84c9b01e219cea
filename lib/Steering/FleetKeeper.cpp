#include "dragonflymoor/Steering/FleetKeeper.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <utility>

namespace dfm {

namespace {

/// How long another VM's report that its store state is steady remains valid. While this VM cannot
/// reach the store, it asks several times in this span.
constexpr Duration kPeerReportLifetime = 1500ms;

/// An evacuation that a return of the store has lost counts for this time. The operator, who writes
/// it again, cannot take back what the store does not have.
constexpr Duration kLostEvacuationTime = 10s;

/// Whether two entries differ at most in what moves with each report.
bool
IsSameRegistration(Instance aLeft, const Instance& aRight)
{
  aLeft.report = aRight.report;
  const bool bothCold = aLeft.coldUntil > TimePoint{} && aRight.coldUntil > TimePoint{};
  if (bothCold)
    aLeft.coldUntil = aRight.coldUntil;
  return aLeft == aRight;
}

} // namespace

FleetKeeper::FleetKeeper(ObjectDecoders aDecoders,
                         FleetKeeperHooks aHooks,
                         FleetKeeperOptions aOptions)
  : decoders_(std::move(aDecoders))
  , hooks_(std::move(aHooks))
  , departures_({ .instanceReportPeriod = aOptions.instanceReportPeriod })
  , outages_({ .instanceReportPeriod = aOptions.instanceReportPeriod })
{
}

void
FleetKeeper::OnStoreEpoch(TimePoint aNow, uint64_t aEpoch)
{
  if (epoch_ && aEpoch <= *epoch_)
    return;
  const std::optional<uint64_t> known = std::exchange(epoch_, aEpoch);
  if (!known) {
    epochKnownSince_ = aNow;
    return;
  }
  // Live instances write their entries again.
  outages_.OnReturn(aNow);
  for (const std::string& name : lapsed_)
    instances_.at(name).removeAt = outages_.ReregisteredBy();
  peerReportedSteadyAt_.reset(); // That was before the return.
  hooks_.storeReturned(*known, aEpoch);
}

bool
FleetKeeper::MustList(TimePoint aNow, ObjectKind aKind) const
{
  const StoreRevision& known = Snapshot(aKind).revision;
  return known.number == 0 || known.epoch < epoch_ ||
         (aKind == ObjectKind::Instances && departures_.MustList(aNow));
}

void
FleetKeeper::OnSnapshot(TimePoint aNow, ObjectKind aKind, const ObjectSet& aSet)
{
  OnStoreEpoch(aNow, aSet.revision.epoch);
  const StoreRevision known = Snapshot(aKind).revision;
  if (aSet.revision < known || aSet.revision.epoch < epoch_) {
    hooks_.stateIgnored(aKind, aSet.revision, known);
    return;
  }
  const std::vector<ObjectChange> changes = KnownOf(aKind).Replace(aSet);
  if (aKind == ObjectKind::Instances)
    departures_.OnList(aNow);
  const bool returned = known.number > 0 && known.epoch < aSet.revision.epoch;
  if (returned)
    hooks_.kindReadAgain(aKind, known, aSet.revision, changes.size());
  for (const ObjectChange& change : changes) {
    if (returned && aKind == ObjectKind::Evacuations && !change.content)
      lostEvacuations_[FailureDomainId(change.name)] = aNow + kLostEvacuationTime;
  }
  for (const ObjectChange& change : changes)
    ApplyChange(aNow, aKind, change);
  if (returned && aKind == ObjectKind::Instances) {
    // Entries that are listed as before are not among the changes.
    for (const Departure& departure : departures_.ListBefore(aSet.revision.epoch)) {
      const auto entry = instances_.find(departure.instance.Value());
      if (entry != instances_.end() && !lapsed_.contains(entry->first))
        ConsiderEntry(aNow, entry->first, entry->second);
    }
  }
}

void
FleetKeeper::OnChanges(TimePoint aNow, ObjectKind aKind, const ObjectChanges& aChanges)
{
  const StoreRevision known = Snapshot(aKind).revision;
  const bool follows = aChanges.since.epoch == aChanges.revision.epoch &&
                       aChanges.revision.epoch == known.epoch && aChanges.since <= known &&
                       known <= aChanges.revision;
  if (!follows) {
    hooks_.stateIgnored(aKind, aChanges.revision, known);
    return;
  }
  for (const ObjectChange& change : KnownOf(aKind).Apply(aChanges))
    ApplyChange(aNow, aKind, change);
}

void
FleetKeeper::ApplyChange(TimePoint aNow, ObjectKind aKind, const ObjectChange& aChange)
{
  if (aKind == ObjectKind::Manifest) {
    if (aChange.content)
      ApplyManifest(*aChange.content);
    else
      storeManifestVersion_ = 0;
  }
  if (aKind == ObjectKind::Instances)
    ApplyInstance(aNow, aChange);
  if (aKind == ObjectKind::Evacuations && aChange.content)
    lostEvacuations_.erase(FailureDomainId(aChange.name));
}

uint64_t
FleetKeeper::ManifestVersion() const
{
  return routes_ == nullptr ? 0 : routes_->GetManifest().version;
}

void
FleetKeeper::ApplyManifest(const std::string& aContent)
{
  auto manifest = decoders_.manifest(aContent);
  if (!manifest) {
    hooks_.objectRejected(manifest.error());
    return;
  }
  storeManifestVersion_ = manifest->version;
  if (routes_ != nullptr && manifest->version < ManifestVersion()) {
    hooks_.objectRejected({ { "manifest",
                              fmt::format("version {} is older than version {} in force",
                                          manifest->version,
                                          ManifestVersion()) } });
    return;
  }
  // A store that has lost a version may get another content under its number.
  if (routes_ == nullptr || manifest->version > ManifestVersion() || aContent != manifestContent_)
    PutInForce(std::move(*manifest), aContent);
}

void
FleetKeeper::OnEarlierManifest(const std::string& aContent)
{
  auto manifest = decoders_.manifest(aContent);
  if (!manifest)
    hooks_.objectRejected(manifest.error());
  else if (routes_ == nullptr || manifest->version > ManifestVersion())
    PutInForce(std::move(*manifest), aContent);
}

void
FleetKeeper::PutInForce(Manifest aManifest, const std::string& aContent)
{
  manifestContent_ = aContent;
  if (routes_ != nullptr)
    aManifest.limits = LimitsAfter(aManifest, routes_->GetManifest().limits);
  routes_ =
    std::make_shared<const RouteIndex>(std::make_shared<const Manifest>(std::move(aManifest)));
  hooks_.manifestChanged(routes_->GetManifest());
}

void
FleetKeeper::ApplyInstance(TimePoint aNow, const ObjectChange& aChange)
{
  if (!aChange.content) {
    RemoveInstance(aNow, aChange.name);
    return;
  }
  Entry& entry = instances_[aChange.name];
  entry.removeAt.reset();
  lapsed_.erase(aChange.name);
  if (entry.content == *aChange.content)
    return;
  entry.content = *aChange.content;
  ConsiderEntry(aNow, aChange.name, entry);
}

void
FleetKeeper::ConsiderEntry(TimePoint aNow, const std::string& aName, Entry& aEntry)
{
  instanceList_.reset();
  auto instance = decoders_.instance(aName, aEntry.content, aNow);
  if (!instance) {
    hooks_.objectRejected(instance.error());
    aEntry.instance.reset();
    return;
  }
  const uint64_t epoch = Snapshot(ObjectKind::Instances).revision.epoch;
  // An id has one run at a time, so that the copy is older than the known run.
  const bool isEarlierRun = aEntry.epoch < epoch && aEntry.instance != nullptr &&
                            instance->startTimeMs < aEntry.instance->startTimeMs;
  if (aEntry.epoch != epoch)
    aEntry.firstReport = instance->report;
  aEntry.epoch = epoch;
  if (isEarlierRun || departures_.CheckOutdated(aNow, *instance, epoch)) {
    IgnoreOutdatedEntry(aNow, aName, aEntry, *instance);
    return;
  }
  const auto previous =
    std::exchange(aEntry.instance, std::make_shared<const Instance>(std::move(*instance)));
  if (previous != nullptr && previous->startTimeMs < aEntry.instance->startTimeMs)
    AddDeparture(aNow, *previous);
  if (aEntry.instance->draining)
    AddDeparture(aNow, *aEntry.instance);
  if (previous == nullptr || !IsSameRegistration(*previous, *aEntry.instance))
    hooks_.instanceChanged(*aEntry.instance, aEntry.instance->draining ? "draining" : "registered");
}

void
FleetKeeper::IgnoreOutdatedEntry(TimePoint aNow,
                                 const std::string& aName,
                                 Entry& aEntry,
                                 const Instance& aListed)
{
  hooks_.instanceChanged(aListed, "outdated");
  const bool hasLaterRun = aEntry.instance != nullptr && !aEntry.instance->draining &&
                           aEntry.instance->startTimeMs > aListed.startTimeMs;
  if (!hasLaterRun) {
    aEntry.instance.reset();
    return;
  }
  // The store has lost the entry of that run.
  aEntry.removeAt = outages_.ReregisteredBy().value_or(aNow);
  lapsed_.insert(aName);
}

void
FleetKeeper::AddDeparture(TimePoint aNow, const Instance& aInstance)
{
  departures_.Add(aNow, aInstance, Snapshot(ObjectKind::Instances).revision.epoch);
}

void
FleetKeeper::RemoveInstance(TimePoint aNow, const std::string& aName)
{
  departures_.OnRemoval(BackendId(aName));
  const auto found = instances_.find(aName);
  if (found == instances_.end())
    return;
  Entry& entry = found->second;
  // What the store stated before its return is no loss of an entry.
  const bool isBehind =
    outages_.IsReachable() && Snapshot(ObjectKind::Instances).revision.epoch < epoch_;
  if (!IsStoreSteady(aNow) && !IsStoreSteadyAtPeer(aNow) && !isBehind && entry.instance &&
      !entry.instance->draining) {
    entry.removeAt = outages_.IsReachable() ? *outages_.ReregisteredBy()
                                            : aNow + StoreOutages::kReregistrationTime;
    lapsed_.insert(aName);
    hooks_.instanceChanged(*entry.instance, "lapsed");
    return;
  }
  if (entry.instance) {
    hooks_.instanceChanged(*entry.instance, "gone");
    AddDeparture(aNow, *entry.instance);
  }
  lapsed_.erase(aName);
  instances_.erase(found);
  instanceList_.reset();
}

bool
FleetKeeper::IsStoreSteady(TimePoint aNow) const
{
  return outages_.IsSteady(aNow);
}

bool
FleetKeeper::HasSteadyState(TimePoint aNow) const
{
  return IsStoreSteady(aNow) && epochKnownSince_ &&
         aNow - *epochKnownSince_ >= StoreOutages::kReregistrationTime;
}

bool
FleetKeeper::IsStoreSteadyAtPeer(TimePoint aNow) const
{
  return peerReportedSteadyAt_ && aNow - *peerReportedSteadyAt_ < kPeerReportLifetime;
}

void
FleetKeeper::OnPeerStoreStatus(TimePoint aNow, bool aSteady)
{
  if (aSteady)
    peerReportedSteadyAt_ = aNow;
}

void
FleetKeeper::OnStoreAnswer(TimePoint aAnsweredAt)
{
  outages_.OnAnswer(aAnsweredAt);
}

void
FleetKeeper::OnStoreReachable(TimePoint aNow, bool aReachable)
{
  const auto outage = outages_.OnReachable(aNow, aReachable);
  if (!outage)
    return;
  for (const std::string& name : lapsed_) {
    // Instances cannot register during the outage.
    TimePoint& removeAt = *instances_.at(name).removeAt;
    removeAt = outage->mayHaveLapsed ? *outages_.ReregisteredBy() : removeAt + outage->length;
  }
}

bool
FleetKeeper::OnTick(TimePoint aNow)
{
  // Without an answer of the store since then nothing shows what has been written again.
  const TimePoint answeredAt = outages_.AnsweredAt().value_or(TimePoint{});
  const auto isOver = [answeredAt](const auto& aEntry) { return answeredAt >= aEntry.second; };
  bool changed = std::erase_if(lostEvacuations_, isOver) > 0;
  for (const BackendId& instance : departures_.OnTick(answeredAt)) {
    const auto entry = instances_.find(instance.Value());
    if (entry == instances_.end())
      continue;
    ConsiderEntry(aNow, entry->first, entry->second);
    changed = true;
  }
  return RemoveLapsed(aNow) || changed;
}

bool
FleetKeeper::RemoveLapsed(TimePoint aNow)
{
  // What another VM with a steady store has not named again is gone.
  const bool steadyAtPeer = IsStoreSteadyAtPeer(aNow);
  if (!outages_.IsReachable() && !steadyAtPeer)
    return false;
  bool removed = false;
  for (auto name = lapsed_.begin(); name != lapsed_.end();) {
    const auto entry = instances_.find(*name);
    if (!steadyAtPeer && aNow < *entry->second.removeAt) {
      ++name;
      continue;
    }
    if (entry->second.instance) {
      hooks_.instanceChanged(*entry->second.instance, "gone");
      AddDeparture(aNow, *entry->second.instance);
    }
    instances_.erase(entry);
    instanceList_.reset();
    name = lapsed_.erase(name);
    removed = true;
  }
  return removed;
}

EarlierState
FleetKeeper::MakeEarlierState(TimePoint aNow, uint64_t aEpoch, uint64_t aManifestVersion) const
{
  const uint64_t epoch = std::max(aEpoch, epoch_.value_or(0));
  const auto isBehind = [this, epoch](ObjectKind aKind) {
    return Snapshot(aKind).revision.epoch < epoch;
  };
  EarlierState state{ .departures = departures_.ListBefore(epoch) };
  if ((IsManifestAheadOfStore() || isBehind(ObjectKind::Manifest)) &&
      ManifestVersion() > aManifestVersion)
    state.manifest = manifestContent_;
  if (isBehind(ObjectKind::Evacuations)) {
    for (const auto& [name, content] : Snapshot(ObjectKind::Evacuations).objects)
      state.evacuations[FailureDomainId(name)] = kLostEvacuationTime;
  }
  for (const auto& [domain, until] : lostEvacuations_)
    state.evacuations.try_emplace(domain, std::max(until - aNow, Duration{}));
  return state;
}

void
FleetKeeper::OnEarlierState(TimePoint aNow, const EarlierState& aState)
{
  if (aState.manifest)
    OnEarlierManifest(*aState.manifest);
  for (const Departure& departure : aState.departures)
    OnEarlierDeparture(aNow, departure);
  for (const auto& [domain, remaining] : aState.evacuations) {
    if (!Snapshot(ObjectKind::Evacuations).objects.contains(domain.Value()))
      lostEvacuations_.try_emplace(domain, aNow + remaining);
  }
}

void
FleetKeeper::OnEarlierDeparture(TimePoint aNow, const Departure& aDeparture)
{
  const auto found = instances_.find(aDeparture.instance.Value());
  if (found == instances_.end()) {
    departures_.Add(aNow, aDeparture);
    return;
  }
  Entry& entry = found->second;
  const uint64_t epoch = Snapshot(ObjectKind::Instances).revision.epoch;
  if (aDeparture.epoch == epoch && epoch < epoch_)
    departures_.Add(aNow, aDeparture); // The entry is considered when it is listed again.
  // The store's own order decides within an epoch.
  const bool renewed = entry.instance != nullptr && entry.epoch > aDeparture.epoch &&
                       entry.instance->report > std::max(entry.firstReport, aDeparture.report);
  if (aDeparture.epoch < epoch && !renewed && departures_.Add(aNow, aDeparture))
    ConsiderEntry(aNow, found->first, entry);
}

FleetView
FleetKeeper::BuildView()
{
  if (instanceList_ == nullptr) {
    auto list = std::make_shared<InstanceList>();
    list->reserve(instances_.size());
    for (const auto& [name, entry] : instances_) {
      if (entry.instance)
        list->push_back(entry.instance);
    }
    instanceList_ = std::move(list);
  }
  FleetView view;
  view.routes = routes_;
  view.instances = instanceList_;
  for (const auto& [name, content] : Snapshot(ObjectKind::Evacuations).objects)
    view.evacuated.insert(FailureDomainId(name));
  for (const auto& [domain, until] : lostEvacuations_)
    view.evacuated.insert(domain);
  view.instancesRevision = Snapshot(ObjectKind::Instances).revision;
  return view;
}

} // namespace dfm
