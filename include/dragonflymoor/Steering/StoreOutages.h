#ifndef DRAGONFLYMOOR_STEERING_STOREOUTAGES_H
#define DRAGONFLYMOOR_STEERING_STOREOUTAGES_H

#include "dragonflymoor/Support/Time.h"
#include <optional>

namespace dfm {

struct StoreOutagesOptions
{
  /// Period at which a live instance renews its entry in the store.
  Duration instanceReportPeriod = 1500ms;
};

/// When the store answered, and when entries that are missing after an outage or a return of the
/// store are registered again. Not thread-safe.
class StoreOutages
{
public:
  /// The platform promises that live instances are registered again about 2 s after the store
  /// returns.
  static constexpr Duration kReregistrationTime = 2200ms;

  /// What an outage means for entries that are missing.
  struct Outage
  {
    Duration length{};
    bool mayHaveLapsed = false; ///< Entries that are missing may have lapsed in it.
  };

  explicit StoreOutages(StoreOutagesOptions aOptions);

  /// The store answered at aAnsweredAt.
  void OnAnswer(TimePoint aAnsweredAt);
  /// Calls to the store started to fail, or succeed again. An outage counts from the store's last
  /// answer. Returns the outage that ended, if one did.
  std::optional<Outage> OnReachable(TimePoint aNow, bool aReachable);
  /// The store has returned from an older copy.
  void OnReturn(TimePoint aNow) { reregisteredBy_ = aNow + kReregistrationTime; }

  bool IsReachable() const { return reachable_; }
  /// Whether the store is reachable and entries that are missing had time to be registered again.
  bool IsSteady(TimePoint aNow) const;
  /// The store's last answer; empty before the first.
  std::optional<TimePoint> AnsweredAt() const { return answeredAt_; }
  /// When the entries that lapsed in the latest outage, or were lost by a return, are registered
  /// again; empty without either.
  std::optional<TimePoint> ReregisteredBy() const { return reregisteredBy_; }

private:
  /// Whether aAt is in the time in which entries are registered again.
  bool WasReregistering(TimePoint aAt) const;

  StoreOutagesOptions options_;
  bool reachable_ = true;
  std::optional<TimePoint> answeredAt_;
  std::optional<TimePoint> regainedAt_;
  TimePoint outageBegan_;
  /// Length of the latest outages less the time in which the store answered, up to the time in
  /// which an entry can lapse. Short outages in quick succession add up.
  Duration recentOutage_{};
  std::optional<TimePoint> reregisteredBy_;
};

} // namespace dfm

#endif
