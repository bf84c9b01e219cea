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

/// The objects of one kind that a VM knows, and which of them changed when, for VMs that know an
/// earlier revision.
///
/// Each object that is known at a revision is in the state that it has in the store at that
/// revision or at a later one; so is each name without an object. Whatever is received at a later
/// revision must preserve that, and what is sent to a VM at an earlier revision must bring about
/// the same there. A change is therefore passed on also if it changed nothing here. Not
/// thread-safe.
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

  /// The revision at which each object changed, or a later one, for those that have changed up to
  /// the known revision. What a list has shown of later changes is repeated to this VM.
  ObjectSet set_;
  uint64_t changeCount_ = 0;
  uint64_t removalsSince_ =
    0; ///< All removals between this and the known revision are in removals_.
  /// Names of removed objects, with the revision at which that was learnt.
  std::deque<std::pair<uint64_t, std::string>> removals_;
};

} // namespace dfm

#endif
