#include "dragonflymoor/Steering/KnownObjects.h"

#include <algorithm>

namespace dfm {

namespace {

/// Removals of one kind that are remembered for other VMs; more than a replacement of all instances
/// of a service brings.
constexpr size_t kMaxRemovals = 1024;

/// Applies aChange to aSet. Returns whether that changed anything.
bool
UpdateObject(ObjectSet& aSet, const ObjectChange& aChange)
{
  if (!aChange.content)
    return aSet.objects.erase(aChange.name) > 0;
  const auto [object, isNew] = aSet.objects.try_emplace(aChange.name, *aChange.content);
  if (isNew)
    return true;
  if (object->second == *aChange.content)
    return false;
  object->second = *aChange.content;
  return true;
}

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

std::vector<ObjectChange>
KnownObjects::ChangesTo(const ObjectSet& aSet) const
{
  std::vector<ObjectChange> changes;
  for (const auto& [name, content] : aSet.objects) {
    const auto found = set_.objects.find(name);
    if (found == set_.objects.end() || found->second != content)
      changes.push_back({ .name = name, .content = content });
  }
  for (const auto& [name, content] : set_.objects) {
    if (!aSet.objects.contains(name))
      changes.push_back({ .name = name });
  }
  return changes;
}

std::vector<ObjectChange>
KnownObjects::Replace(const ObjectSet& aSet)
{
  const StoreRevision known = set_.revision;
  const bool follows = known.number > 0 && known.epoch == aSet.revision.epoch;
  std::vector<ObjectChange> changes = ChangesTo(aSet);
  std::map<std::string, uint64_t> changedAt;
  for (const auto& [name, content] : aSet.objects) {
    const auto stated = aSet.changedAt.find(name);
    const auto previous = set_.changedAt.find(name);
    const bool isKnown = follows && previous != set_.changedAt.end() &&
                         stated != aSet.changedAt.end() && stated->second <= known.number &&
                         set_.objects.at(name) == content;
    if (isKnown) {
      changedAt[name] = previous->second;
      continue;
    }
    // Reports of instances change their entries without a new revision.
    const bool hasRevision =
      stated != aSet.changedAt.end() && (!follows || stated->second > known.number);
    changedAt[name] = hasRevision ? stated->second : aSet.revision.number;
  }
  // Objects that were added and removed since the known revision are not among the changes.
  if (!follows || known.number < aSet.revision.number) {
    removals_.clear();
    removalsSince_ = aSet.revision.number;
  }
  set_ = { .revision = aSet.revision, .objects = aSet.objects, .changedAt = std::move(changedAt) };
  changeCount_ += changes.size();
  return changes;
}

std::vector<ObjectChange>
KnownObjects::Apply(const ObjectChanges& aChanges)
{
  const uint64_t known = set_.revision.number;
  const uint64_t revision = aChanges.revision.number;
  std::vector<ObjectChange> changes = aChanges.changes;
  if (aChanges.names) {
    for (const auto& [name, content] : set_.objects) {
      if (!aChanges.names->contains(name))
        changes.push_back({ .name = name });
    }
    removals_.clear();
    removalsSince_ = revision;
  }
  set_.revision = aChanges.revision;
  for (const ObjectChange& change : changes) {
    const bool isChanged = UpdateObject(set_, change);
    changeCount_ += isChanged ? 1 : 0;
    if (!isChanged && change.revision > 0 && change.revision <= known)
      continue;
    if (change.content) {
      uint64_t& changedAt = set_.changedAt[change.name];
      changedAt = std::max(changedAt, change.revision > 0 ? change.revision : revision);
    } else {
      set_.changedAt.erase(change.name);
      AddRemoval(revision, change.name);
    }
  }
  return changes;
}

void
KnownObjects::AddRemoval(uint64_t aRevision, const std::string& aName)
{
  removals_.emplace_back(aRevision, aName);
  if (removals_.size() > kMaxRemovals) {
    removalsSince_ = removals_.front().first;
    removals_.pop_front();
  }
}

std::optional<ObjectChanges>
KnownObjects::ChangesSince(const StoreRevision& aRevision) const
{
  if (aRevision.number == 0 || aRevision.epoch != set_.revision.epoch)
    return std::nullopt;
  ObjectChanges result{ .since = aRevision, .revision = set_.revision };
  for (const auto& [name, changedAt] : set_.changedAt) {
    if (changedAt > aRevision.number)
      result.changes.push_back({ .name = name, .content = set_.objects.at(name) });
  }
  if (aRevision.number < removalsSince_) {
    if (2 * result.changes.size() > set_.objects.size())
      return std::nullopt;
    result.names.emplace();
    for (const auto& [name, content] : set_.objects)
      result.names->insert(name);
    return result;
  }
  std::set<std::string> removed;
  for (const auto& [revision, name] : removals_) {
    if (revision > aRevision.number && !set_.objects.contains(name))
      removed.insert(name);
  }
  for (const std::string& name : removed)
    result.changes.push_back({ .name = name });
  return result;
}

} // namespace dfm
