#ifndef DRAGONFLYMOOR_STEERING_KNOWNOBJECTS_H
#define DRAGONFLYMOOR_STEERING_KNOWNOBJECTS_H

#include "dragonflymoor/Steering/StoreRevision.h"
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dfm {

/// Kinds of objects in the platform's store that decide how requests are steered.
enum class ObjectKind : uint8_t
{
  Manifest,
  Instances,
  Evacuations, ///< Objects are named after the failure domain.
};

constexpr size_t kObjectKindCount = 3;

std::string_view
ToString(ObjectKind aKind);

/// All objects of one kind, by name, in the store's own encoding. Each is in its state at the
/// revision of the set or at a later one: a list of several pages may show changes that were made
/// after its first page.
struct ObjectSet
{
  StoreRevision revision;
  std::map<std::string, std::string> objects;
  /// Revisions of the last changes of objects, or later ones. The source need not state them.
  std::map<std::string, uint64_t> changedAt;

  bool operator==(const ObjectSet&) const = default;
};

/// A change of one object.
struct ObjectChange
{
  std::string name;
  std::optional<std::string> content; ///< Empty when the object was removed.
  uint64_t revision = 0;              ///< Of the change; 0 when the source does not state it.
};

/// Changes of the objects of one kind that were made after one revision and up to another of the
/// same epoch. Some may be later.
struct ObjectChanges
{
  StoreRevision since;
  StoreRevision revision;
  std::vector<ObjectChange> changes;
  /// Names of all objects, when removals may be missing among the changes.
  std::optional<std::set<std::string>> names;
};

/// The objects of one kind that a VM knows, and when each of them changed, for VMs that know an
/// earlier revision.
///
/// Invariant: each object, and each name without an object, is in the state that it has in the
/// store at the known revision or at a later one. The changes since an earlier revision bring a VM
/// at that revision, which may know some later changes, into such a state too. They therefore
/// contain changes that were none to the objects known here. Not thread-safe.
class KnownObjects
{
public:
  const ObjectSet& Set() const { return set_; }
  const StoreRevision& Revision() const { return set_.revision; }

  /// Replaces all objects. Returns the changes that lead to them.
  /// Precondition: the revision of aSet is not older than the known one.
  std::vector<ObjectChange> Replace(const ObjectSet& aSet);

  /// Returns the changes with the removals that follow from the names.
  /// Precondition: aChanges are of the known epoch. They begin at the known revision or before, and
  /// end there or later.
  std::vector<ObjectChange> Apply(const ObjectChanges& aChanges);

  /// What changed after aRevision, the latest state of each object once; empty for a VM that is to
  /// get all objects.
  std::optional<ObjectChanges> ChangesSince(const StoreRevision& aRevision) const;

  /// Number of changes so far. Calls between which it stays the same see the same objects, also
  /// when the revision moves.
  uint64_t ChangeCount() const { return changeCount_; }

private:
  /// The changes that lead from the known objects to aSet.
  std::vector<ObjectChange> ChangesTo(const ObjectSet& aSet) const;
  void AddRemoval(uint64_t aRevision, const std::string& aName);

  /// Has for each object the revision of its last change up to the known revision, or a later one.
  /// Changes after the known revision are received again.
  ObjectSet set_;
  uint64_t changeCount_ = 0;
  /// All removals after this revision and up to the known one are in removals_.
  uint64_t removalsSince_ = 0;
  /// Names of removed objects, with the revision at which that was learnt.
  std::deque<std::pair<uint64_t, std::string>> removals_;
};

} // namespace dfm

#endif
