#ifndef DRAGONFLYMOOR_STEERING_CONCURRENCYLIMIT_H
#define DRAGONFLYMOOR_STEERING_CONCURRENCYLIMIT_H

#include "dragonflymoor/Steering/InstanceStatement.h"
#include "dragonflymoor/Support/Time.h"
#include <array>
#include <cstdint>
#include <optional>

namespace dfm {

/// How many requests of all VMs together one instance handles well: its slots, divided by how much
/// slower it is at present than usual. Answers the load pattern in which instances of one service
/// differ in speed, and some slow down by a factor of 2.5 to 12 for 0.6 to 9 s, or long before
/// their slots are full. Latencies are compared with the instance's own earlier ones of the same
/// kind only. Without new evidence the limit returns to the slots, so that no probes are needed. No
/// I/O, no clock. Not thread-safe.
class ConcurrencyLimit
{
public:
  /// Precondition: aSlots is positive. The limit begins with the slots.
  explicit ConcurrencyLimit(unsigned aSlots)
    : slots_(aSlots)
  {
  }

  /// Properties of an answer that decide with which others it is compared.
  struct Answer
  {
    Duration latency{};
    uint64_t kind = 0; ///< Hash of the kind of request.
    bool warm = false; ///< The instance served the same object a moment ago.
    /// Requests of all VMs that were known at the instance when the request was sent, this one
    /// included. What waits behind the slots explains a part of the latency.
    unsigned knownInFlight = 1;
  };

  /// A request was answered. aUsualSlowness is the moving mean of the values that this function
  /// returns for all instances of the service: when all become slower by the same factor, as with
  /// many cold objects, none is limited. Returns how many times longer than usual the answer took;
  /// 1 while the usual latency of its kind is unknown. aNow must not decrease between calls.
  double OnAnswer(TimePoint aNow, const Answer& aAnswer, double aUsualSlowness);
  /// The instance stated aLoad. To be called before OnAnswer for the same answer. A load without a
  /// speed changes nothing.
  void OnStatedLoad(TimePoint aNow, const StatedLoad& aLoad);

  /// Requests of all VMs that may be in flight at aNow: from 1 to the slots.
  unsigned Limit(TimePoint aNow) const;
  /// How many times slower than usual the instance is at aNow, at least 1.
  double Slowness(TimePoint aNow) const;

private:
  /// A measure of slowness, and when it was taken.
  struct Evidence
  {
    double slowness = 1;
    TimePoint takenAt;
    Duration hold{}; ///< How long it counts in full.

    double At(TimePoint aNow) const;
  };
  /// The usual latency of one kind of request, warm or not.
  struct Reference
  {
    uint64_t kind = 0;
    bool warm = false;
    unsigned answers = 0; ///< Bounded.
    double seconds = 0;
    TimePoint updatedAt;
  };
  Reference& ReferenceFor(const Answer& aAnswer);
  static void UpdateReference(TimePoint aNow, Reference& aReference, double aSeconds);

  unsigned slots_;
  Evidence fromLatency_;
  std::optional<TimePoint> lastAnswer_;
  Duration meanInterval_{};        ///< Between two answers that could be judged.
  std::optional<Evidence> stated_; ///< By the instance's latest statement of its speed.
  /// The entry that was updated longest ago is replaced when there is no room for another kind.
  std::array<Reference, 6> references_{};
};

} // namespace dfm

#endif
