#ifndef DRAGONFLYMOOR_STEERING_FLEETKEEPER_H
#define DRAGONFLYMOOR_STEERING_FLEETKEEPER_H

#include "dragonflymoor/Steering/FleetView.h"
#include "dragonflymoor/Support/Finding.h"
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
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

/// All objects of one kind at one revision of the store, by name, in the store's own encoding.
struct ObjectSet
{
  uint64_t revision = 0;
  std::map<std::string, std::string> objects;

  bool operator==(const ObjectSet&) const = default;
};

/// A change of one object.
struct ObjectChange
{
  std::string name;
  std::optional<std::string> content; ///< Empty when the object was removed.
};

/// Decoding of objects, which only the adapter of the platform knows.
struct ObjectDecoders
{
  std::function<Checked<Manifest>(std::string_view)> manifest;
  /// The time is that at which the object was received.
  std::function<Checked<Instance>(const std::string&, std::string_view, TimePoint)> instance;
};

/// How the keeper reports what it believes.
struct FleetKeeperHooks
{
  std::function<void(const Manifest&)> manifestChanged;
  /// A version that is older than the one in force, or invalid.
  std::function<void(const Findings&)> rejected;
  std::function<void(const Instance&, std::string_view aChange)> instanceChanged;
};

/// Holds what the store, or another VM that reaches it, said of the fleet. A manifest never goes
/// back, whatever it is read from. Instances whose entries lapsed during an outage of the store are
/// kept until they had time to register again. Not thread-safe.
class FleetKeeper
{
public:
  /// Precondition: all functions are set.
  FleetKeeper(ObjectDecoders aDecoders, FleetKeeperHooks aHooks);

  /// The whole of one kind. An older revision than the known one is ignored.
  void OnSet(TimePoint aNow, ObjectKind aKind, const ObjectSet& aSet);
  void OnChanges(TimePoint aNow,
                 ObjectKind aKind,
                 uint64_t aRevision,
                 const std::vector<ObjectChange>& aChanges);
  /// Calls to the store fail, or work again.
  void OnStoreReachable(TimePoint aNow, bool aReachable);
  /// Another VM said whether the store answers it steadily. If it does, the store is not down: what
  /// is missing there is gone, not lapsed.
  void OnStoreElsewhere(TimePoint aNow, bool aSteady);
  /// Whether the store answers this VM, and lapsed entries had time to come back.
  bool IsStoreSteady(TimePoint aNow) const;
  /// Removes instances whose time to register again is over. True when there were any.
  bool OnTick(TimePoint aNow);

  /// What changed in one kind after aRevision, the latest state of each object once; empty when
  /// that is no longer known.
  std::optional<std::vector<ObjectChange>> ChangesSince(ObjectKind aKind, uint64_t aRevision) const;
  const ObjectSet& Set(ObjectKind aKind) const { return sets_[static_cast<size_t>(aKind)]; }
  bool HasManifest() const { return routes_ != nullptr; }
  /// The members of the view that follow from the store.
  FleetView View() const;

private:
  struct Entry
  {
    std::string content;
    std::optional<Instance> instance;  ///< Empty when the content cannot be used.
    std::optional<TimePoint> removeAt; ///< Set while the entry is missing in the store.
  };

  /// Names of objects that changed, with the revision at which that was learnt.
  struct History
  {
    uint64_t since = 0; ///< Changes after this revision are complete.
    std::deque<std::pair<uint64_t, std::string>> names;
  };

  ObjectSet& MutableSet(ObjectKind aKind) { return sets_[static_cast<size_t>(aKind)]; }
  void Apply(TimePoint aNow, ObjectKind aKind, const ObjectChange& aChange);
  void ApplyManifest(std::string_view aContent);
  void ApplyInstance(TimePoint aNow, const ObjectChange& aChange);
  void RemoveInstance(TimePoint aNow, const std::string& aName);

  ObjectDecoders decoders_;
  FleetKeeperHooks hooks_;
  std::array<ObjectSet, kObjectKindCount> sets_;
  std::array<History, kObjectKindCount> histories_;
  std::shared_ptr<const RouteIndex> routes_;
  std::map<std::string, Entry> instances_;
  bool reachable_ = true;
  std::optional<TimePoint> regainedAt_;
  std::optional<TimePoint> steadyElsewhereAt_;
};

} // namespace dfm

#endif
