#ifndef DRAGONFLYMOOR_STEERING_DEPARTURES_H
#define DRAGONFLYMOOR_STEERING_DEPARTURES_H

#include "dragonflymoor/Steering/FleetView.h"
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace dfm {

/// A run of an instance that is leaving or gone.
struct Departure
{
  BackendId instance;
  uint64_t startTimeMs = 0; ///< Of the run.
  uint64_t report = 0;      ///< The last known report of the run.
  uint64_t epoch = 0;       ///< Of the store that stated the departure.

  auto operator<=>(const Departure&) const = default;
};

struct DeparturesOptions
{
  /// Period at which a live instance renews its entry in the store.
  Duration instanceReportPeriod = 1500ms;
};

/// Remembers the runs of instances that have left. A store that returned from an older copy lists
/// them again, as usable, until their entries lapse. Within an epoch of the store its own order
/// decides: an entry that it lists again is in use again. Not thread-safe.
class Departures
{
public:
  explicit Departures(DeparturesOptions aOptions);

  /// The store of aEpoch stated that the run is leaving or gone.
  void Add(TimePoint aNow, const Instance& aInstance, uint64_t aEpoch);
  /// Another VM knows of a departure. Returns whether it is new to this VM.
  bool Add(TimePoint aNow, const Departure& aDeparture);

  /// Whether the store of aEpoch lists aEntry only because its copy is older than the departure of
  /// this run. Forgets the departure of a run that is in use: it has been renewed in aEpoch, or the
  /// departure was stated in aEpoch and the store lists it again.
  bool CheckOutdated(TimePoint aNow, const Instance& aEntry, uint64_t aEpoch);

  /// Whether the entries are to be listed to see which of the outdated ones have been renewed: not
  /// every renewal is announced, and the entries of dead instances have lapsed by now.
  bool MustList(TimePoint aNow) const;
  /// The entry of the instance is no longer listed.
  void OnRemoval(const BackendId& aInstance);
  /// All entries were listed.
  void OnList(TimePoint aNow);

  /// Forgets the departures that were learnt more than a minute before aStoreAnsweredAt. Returns
  /// the instances whose entries were outdated by these; the caller considers them again.
  std::vector<BackendId> OnTick(TimePoint aStoreAnsweredAt);

  /// The remembered departures that a copy from before aEpoch may not know, for other VMs.
  std::vector<Departure> ListBefore(uint64_t aEpoch) const;

private:
  Duration TimeToLapse() const;

  /// An entry that is listed although its run has left.
  struct OutdatedEntry
  {
    uint64_t epoch = 0;
    uint64_t firstReport = 0; ///< The first one seen in this epoch.
    TimePoint listAt;
  };
  struct Known
  {
    Departure departure;
    TimePoint learntAt;
    std::optional<OutdatedEntry> outdated;
  };

  DeparturesOptions options_;
  std::map<BackendId, Known> known_;
};

} // namespace dfm

#endif
