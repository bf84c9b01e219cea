#ifndef DRAGONFLYMOOR_MEMBERSHIP_PAUSEDETECTOR_H
#define DRAGONFLYMOOR_MEMBERSHIP_PAUSEDETECTOR_H

#include "dragonflymoor/Support/Time.h"
#include <optional>

namespace dfm {

struct PauseDetectorOptions
{
  Duration maxTickInterval = 500ms; ///< A longer interval between two ticks counts as a pause.
  Duration maxAckWait = 2s;         ///< After a pause, longest wait for an acknowledgement.
};

/// Tells whether this VM may dispatch (design section 3, guard 1): a process that was paused may
/// still believe that it owns pools that moved meanwhile. Not thread-safe.
class PauseDetector
{
public:
  explicit PauseDetector(PauseDetectorOptions aOptions = {})
    : options_(aOptions)
  {
  }

  /// Called on each tick of the control loop. Returns true if this call detected a pause.
  bool OnTick(TimePoint aNow);

  /// A peer acknowledged a probe that was sent at the given time. Only probes sent after the pause
  /// count, because older acknowledgements may have waited in the socket.
  void OnAck(TimePoint aProbeSentAt);

  /// Must be checked right before each dispatch. False while an acknowledgement is awaited after a
  /// pause, before the first tick, and when the last tick is older than maxTickInterval.
  bool MayDispatch(TimePoint aNow) const;

private:
  PauseDetectorOptions options_;
  std::optional<TimePoint> lastTickAt_;
  std::optional<TimePoint> resumedAt_; ///< Set while an acknowledgement is awaited.
};

} // namespace dfm

#endif
