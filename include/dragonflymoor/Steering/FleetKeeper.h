#ifndef DRAGONFLYMOOR_STEERING_FLEETKEEPER_H
#define DRAGONFLYMOOR_STEERING_FLEETKEEPER_H

#include "dragonflymoor/Steering/Departures.h"
#include "dragonflymoor/Steering/FleetView.h"
#include "dragonflymoor/Steering/KnownObjects.h"
#include "dragonflymoor/Steering/StoreOutages.h"
#include "dragonflymoor/Support/Finding.h"
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dfm {

/// What a VM knows from earlier epochs of the store and the store's present copy may lack. VMs that
/// start, or that learn of a return of the store, ask others for it.
struct EarlierState
{
  /// The one in force, if the store lacks it and it is later than the asker's.
  std::optional<std::string> manifest;
  std::vector<Departure> departures;
  /// Evacuations that count although the store lacks them, with the time for which they still do.
  std::map<FailureDomainId, Duration> evacuations;

  auto operator<=>(const EarlierState&) const = default;
};

/// Decoding of objects, which only the adapter of the platform knows.
struct ObjectDecoders
{
  std::function<Checked<Manifest>(std::string_view)> manifest;
  /// The time is that at which the object was received.
  std::function<Checked<Instance>(const std::string&, std::string_view, TimePoint)> instance;
};

/// Notifications of changes in the fleet state.
struct FleetKeeperHooks
{
  std::function<void(const Manifest&)> manifestChanged;
  /// A version that is older than the one in force, or invalid.
  std::function<void(const Findings&)> objectRejected;
  /// More than the report number and the rest of the cold time changed.
  std::function<void(const Instance&, std::string_view aChange)> instanceChanged;
  /// A list or changes at aReceived were dropped: they are older than aKnown, at which this VM
  /// knows the kind, or do not follow on it.
  std::function<void(ObjectKind, const StoreRevision& aReceived, const StoreRevision& aKnown)>
    stateIgnored = [](ObjectKind, const StoreRevision&, const StoreRevision&) {};
  /// The store has returned from an older copy in the epoch aEpoch.
  std::function<void(uint64_t aKnownEpoch, uint64_t aEpoch)> storeReturned = [](uint64_t,
                                                                                uint64_t) {};
  /// A kind was read again after a return; aDifferences objects differ from those known before.
  std::function<
    void(ObjectKind, const StoreRevision& aKnown, const StoreRevision& aRead, size_t aDifferences)>
    kindReadAgain = [](ObjectKind, const StoreRevision&, const StoreRevision&, size_t) {};
};

struct FleetKeeperOptions
{
  /// Period at which a live instance renews its entry in the store.
  Duration instanceReportPeriod = 1500ms;
};

/// Holds the fleet state read from the store, or from another VM that reaches the store. States are
/// ordered by epoch and revision. After a return of the store from an older copy, what this VM knew
/// holds beside the copy: the manifest is never replaced by an older version, whichever source that
/// comes from, instances that have left are not used, and those that the copy lacks are kept until
/// they had time to register again, as after an outage in which entries lapsed. Not thread-safe.
class FleetKeeper
{
public:
  /// Precondition: all functions are set.
  FleetKeeper(ObjectDecoders aDecoders, FleetKeeperHooks aHooks, FleetKeeperOptions aOptions = {});

  /// A source that this VM believes states the epoch of the store. A rise is a return of the store:
  /// all kinds are to be read again. A lower epoch is ignored.
  void OnStoreEpoch(TimePoint aNow, uint64_t aEpoch);
  /// Empty until a source has stated it.
  std::optional<uint64_t> Epoch() const { return epoch_; }
  /// Whether the objects of a kind are to be listed: they are unknown, of an earlier epoch, or
  /// changes of them may not have been announced.
  bool MustList(TimePoint aNow, ObjectKind aKind) const;

  /// Replaces all objects of one kind. A revision older than the known one, or of an earlier epoch
  /// than the store's, is ignored.
  void OnSnapshot(TimePoint aNow, ObjectKind aKind, const ObjectSet& aSet);
  /// Applies changes that follow on what is known. Others are ignored: those up to an older
  /// revision, and those of another epoch.
  void OnChanges(TimePoint aNow, ObjectKind aKind, const ObjectChanges& aChanges);
  /// The store answered this VM, or the one that serves it, at aAnsweredAt.
  void OnStoreAnswer(TimePoint aAnsweredAt);
  /// Calls to the store started to fail, or succeed again. An outage counts from the store's last
  /// answer. Entries can have lapsed only if the outage was long enough for that.
  void OnStoreReachable(TimePoint aNow, bool aReachable);
  /// Another VM reported whether its store state is steady. If so, the store is not down: entries
  /// missing there are gone, not lapsed.
  void OnPeerStoreStatus(TimePoint aNow, bool aSteady);
  /// Whether the store answers this VM and, after an outage in which entries may have lapsed, has
  /// done so long enough for them to be registered again.
  bool IsStoreSteady(TimePoint aNow) const;
  /// Whether this VM can tell others that entries missing here are gone: the store is steady, and
  /// this VM has known it for long enough to have noticed a return or an outage.
  bool HasSteadyState(TimePoint aNow) const;
  /// Whether another VM reported so recently.
  bool IsStoreSteadyAtPeer(TimePoint aNow) const;
  /// Whether instances are kept whose entries are missing. Another VM may know from a steady store
  /// that they are gone.
  bool HasLapsedEntries() const { return !lapsed_.empty(); }
  /// Ends what holds for a limited time. True when that changes the view.
  bool OnTick(TimePoint aNow);

  /// What changed in one kind after aRevision, the latest state of each object once; empty for a VM
  /// that is to get all objects.
  std::optional<ObjectChanges> ChangesSince(ObjectKind aKind, const StoreRevision& aRevision) const
  {
    return KnownOf(aKind).ChangesSince(aRevision);
  }
  /// Number of changes of one kind so far. Calls between which it stays the same see the same
  /// objects, also when the revision moves.
  uint64_t ChangeCount(ObjectKind aKind) const { return KnownOf(aKind).ChangeCount(); }
  const ObjectSet& Snapshot(ObjectKind aKind) const { return KnownOf(aKind).Set(); }
  bool HasManifest() const { return routes_ != nullptr; }
  /// Version of the manifest in force, 0 without one.
  uint64_t ManifestVersion() const;
  /// Whether the store lacks the manifest in force: it has an older one, or none.
  bool IsManifestAheadOfStore() const { return storeManifestVersion_ < ManifestVersion(); }

  /// What this VM knows from earlier epochs, for a VM that knows aEpoch of the store and the
  /// manifest aManifestVersion. This VM may be behind in the epoch.
  EarlierState MakeEarlierState(TimePoint aNow, uint64_t aEpoch, uint64_t aManifestVersion) const;
  /// Another VM told what it knows from earlier epochs.
  void OnEarlierState(TimePoint aNow, const EarlierState& aState);

  /// Builds the view, filling only the members that are derived from the store. The list of
  /// instances is the one of the previous view unless an instance has changed since then.
  FleetView BuildView();

private:
  struct Entry
  {
    std::string content;
    std::shared_ptr<const Instance> instance; ///< Null when the content cannot be used.
    std::optional<TimePoint> removeAt;        ///< Set while the entry is missing in the store.
    uint64_t epoch = 0;                       ///< In which the content was read.
    uint64_t firstReport = 0;                 ///< The first report that was read in this epoch.
  };

  KnownObjects& KnownOf(ObjectKind aKind) { return known_[static_cast<size_t>(aKind)]; }
  const KnownObjects& KnownOf(ObjectKind aKind) const { return known_[static_cast<size_t>(aKind)]; }
  void ApplyChange(TimePoint aNow, ObjectKind aKind, const ObjectChange& aChange);
  void ApplyManifest(const std::string& aContent);
  /// Another VM sent the manifest that it has in force.
  void OnEarlierManifest(const std::string& aContent);
  void OnEarlierDeparture(TimePoint aNow, const Departure& aDeparture);
  void PutInForce(Manifest aManifest, const std::string& aContent);
  void ApplyInstance(TimePoint aNow, const ObjectChange& aChange);
  /// Decodes an entry and puts it in force unless it is outdated.
  void ConsiderEntry(TimePoint aNow, const std::string& aName, Entry& aEntry);
  void IgnoreOutdatedEntry(TimePoint aNow,
                           const std::string& aName,
                           Entry& aEntry,
                           const Instance& aListed);
  void RemoveInstance(TimePoint aNow, const std::string& aName);
  void AddDeparture(TimePoint aNow, const Instance& aInstance);
  /// Removes instances whose time to register again is over. True when there were any.
  bool RemoveLapsed(TimePoint aNow);

  ObjectDecoders decoders_;
  FleetKeeperHooks hooks_;
  std::array<KnownObjects, kObjectKindCount> known_;
  std::optional<uint64_t> epoch_;
  std::optional<TimePoint> epochKnownSince_; ///< When the first epoch became known.
  std::shared_ptr<const RouteIndex> routes_;
  std::string manifestContent_;       ///< Of the manifest in force.
  uint64_t storeManifestVersion_ = 0; ///< Of the last valid manifest of the store; 0 without one.
  Departures departures_;
  /// Evacuations that a return of the store has lost, with the time until which they count.
  std::map<FailureDomainId, TimePoint> lostEvacuations_;
  std::map<std::string, Entry> instances_;
  std::set<std::string> lapsed_; ///< Names of the entries that have a removal time.
  /// The usable instances, for views; null after one has changed.
  std::shared_ptr<const InstanceList> instanceList_;
  StoreOutages outages_;
  std::optional<TimePoint> peerReportedSteadyAt_;
};

} // namespace dfm

#endif
