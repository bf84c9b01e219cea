#include "dragonflymoor/Steering/FleetKeeper.h"

#include <fmt/format.h>
#include <set>

namespace dfm {

namespace {

/// The platform promises that live instances are registered again about 2 s after the store
/// returns.
constexpr Duration kRegisterAgainTime = 2200ms;

/// How long another VM's word that the store answers it counts. Without the store this VM asks
/// several times in this span.
constexpr Duration kSteadyElsewhereLife = 1500ms;

/// Changes of one kind that are remembered for other VMs; more than a replacement of all instances
/// of a service brings.
constexpr size_t kMaxHistory = 1024;

} // namespace

std::string_view
ToString(ObjectKind aKind)
{
  switch (aKind) {
    case ObjectKind::Manifest:
      return "manifest";
    case ObjectKind::Instances:
      return "instances";
    case ObjectKind::Evacuations:
      return "evacuations";
  }
  return "unknown";
}

FleetKeeper::FleetKeeper(ObjectDecoders aDecoders, FleetKeeperHooks aHooks)
  : decoders_(std::move(aDecoders))
  , hooks_(std::move(aHooks))
{
}

void
FleetKeeper::OnSet(TimePoint aNow, ObjectKind aKind, const ObjectSet& aSet)
{
  ObjectSet& known = MutableSet(aKind);
  if (aSet.revision < known.revision)
    return;
  std::vector<ObjectChange> changes;
  for (const auto& [name, content] : aSet.objects) {
    const auto found = known.objects.find(name);
    if (found == known.objects.end() || found->second != content)
      changes.push_back({ .name = name, .content = content });
  }
  for (const auto& [name, content] : known.objects) {
    if (!aSet.objects.contains(name))
      changes.push_back({ .name = name });
  }
  OnChanges(aNow, aKind, aSet.revision, changes);
}

void
FleetKeeper::OnChanges(TimePoint aNow,
                       ObjectKind aKind,
                       uint64_t aRevision,
                       const std::vector<ObjectChange>& aChanges)
{
  ObjectSet& set = MutableSet(aKind);
  if (aRevision < set.revision)
    return;
  History& history = histories_[static_cast<size_t>(aKind)];
  if (set.revision == 0)
    history.since = aRevision;
  set.revision = aRevision;
  for (const ObjectChange& change : aChanges) {
    history.names.emplace_back(aRevision, change.name);
    if (history.names.size() > kMaxHistory) {
      history.since = history.names.front().first;
      history.names.pop_front();
    }
    if (change.content)
      set.objects[change.name] = *change.content;
    else
      set.objects.erase(change.name);
    Apply(aNow, aKind, change);
  }
}

std::optional<std::vector<ObjectChange>>
FleetKeeper::ChangesSince(ObjectKind aKind, uint64_t aRevision) const
{
  const History& history = histories_[static_cast<size_t>(aKind)];
  if (aRevision < history.since)
    return std::nullopt;
  const ObjectSet& set = Set(aKind);
  std::set<std::string> names;
  for (const auto& [revision, name] : history.names) {
    if (revision > aRevision)
      names.insert(name);
  }
  std::vector<ObjectChange> changes;
  for (const std::string& name : names) {
    const auto object = set.objects.find(name);
    changes.push_back({ .name = name });
    if (object != set.objects.end())
      changes.back().content = object->second;
  }
  return changes;
}

void
FleetKeeper::Apply(TimePoint aNow, ObjectKind aKind, const ObjectChange& aChange)
{
  if (aKind == ObjectKind::Manifest && aChange.content)
    ApplyManifest(*aChange.content);
  if (aKind == ObjectKind::Instances)
    ApplyInstance(aNow, aChange);
}

void
FleetKeeper::ApplyManifest(std::string_view aContent)
{
  auto manifest = decoders_.manifest(aContent);
  if (!manifest) {
    hooks_.rejected(manifest.error());
    return;
  }
  const uint64_t inForce = routes_ == nullptr ? 0 : routes_->GetManifest().version;
  if (routes_ != nullptr && manifest->version <= inForce) {
    if (manifest->version < inForce)
      hooks_.rejected(
        { { "manifest",
            fmt::format(
              "version {} is older than version {} in force", manifest->version, inForce) } });
    return;
  }
  routes_ =
    std::make_shared<const RouteIndex>(std::make_shared<const Manifest>(std::move(*manifest)));
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
  if (entry.content == *aChange.content)
    return;
  entry.content = *aChange.content;
  auto instance = decoders_.instance(aChange.name, entry.content, aNow);
  if (!instance) {
    hooks_.rejected(instance.error());
    entry.instance.reset();
    return;
  }
  entry.instance = std::move(*instance);
  hooks_.instanceChanged(*entry.instance, entry.instance->draining ? "draining" : "registered");
}

void
FleetKeeper::RemoveInstance(TimePoint aNow, const std::string& aName)
{
  const auto found = instances_.find(aName);
  if (found == instances_.end())
    return;
  Entry& entry = found->second;
  const bool steadyElsewhere =
    steadyElsewhereAt_ && aNow - *steadyElsewhereAt_ < kSteadyElsewhereLife;
  if (!IsStoreSteady(aNow) && !steadyElsewhere && entry.instance && !entry.instance->draining) {
    const TimePoint from = reachable_ ? *regainedAt_ : aNow;
    entry.removeAt = from + kRegisterAgainTime;
    hooks_.instanceChanged(*entry.instance, "lapsed");
    return;
  }
  if (entry.instance)
    hooks_.instanceChanged(*entry.instance, "gone");
  instances_.erase(found);
}

bool
FleetKeeper::IsStoreSteady(TimePoint aNow) const
{
  return reachable_ && (!regainedAt_ || aNow - *regainedAt_ >= kRegisterAgainTime);
}

void
FleetKeeper::OnStoreElsewhere(TimePoint aNow, bool aSteady)
{
  if (aSteady)
    steadyElsewhereAt_ = aNow;
}

void
FleetKeeper::OnStoreReachable(TimePoint aNow, bool aReachable)
{
  if (aReachable && !reachable_) {
    regainedAt_ = aNow;
    for (auto& [name, entry] : instances_) {
      if (entry.removeAt)
        entry.removeAt = aNow + kRegisterAgainTime;
    }
  }
  reachable_ = aReachable;
}

bool
FleetKeeper::OnTick(TimePoint aNow)
{
  if (!reachable_)
    return false;
  const size_t before = instances_.size();
  for (auto entry = instances_.begin(); entry != instances_.end();) {
    if (entry->second.removeAt && aNow >= *entry->second.removeAt) {
      if (entry->second.instance)
        hooks_.instanceChanged(*entry->second.instance, "gone");
      entry = instances_.erase(entry);
    } else {
      ++entry;
    }
  }
  return instances_.size() != before;
}

FleetView
FleetKeeper::View() const
{
  FleetView view;
  view.routes = routes_;
  for (const auto& [name, entry] : instances_) {
    if (entry.instance)
      view.instances.push_back(*entry.instance);
  }
  for (const auto& [name, content] : Set(ObjectKind::Evacuations).objects)
    view.evacuated.insert(FailureDomainId(name));
  view.instancesRevision = Set(ObjectKind::Instances).revision;
  view.evacuationsRevision = Set(ObjectKind::Evacuations).revision;
  return view;
}

} // namespace dfm
