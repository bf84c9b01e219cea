#ifndef DRAGONFLYMOOR_MEMBERSHIP_PAUSEDETECTOR_H
#define DRAGONFLYMOOR_MEMBERSHIP_PAUSEDETECTOR_H

#include "dragonflymoor/Support/Time.h"
#include <optional>

namespace dfm {

struct PauseDetectorOptions
{
  Duration longestStep = 500ms; ///< A longer step between two ticks is a pause.
  Duration aloneWait = 2s;      ///< After a pause, wait at most this long for a peer.
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

  /// A tick of the control loop. Returns true when a pause was detected just now.
  bool OnTick(TimePoint aNow);

  /// A peer acknowledged a probe that was sent at the given time. Only probes sent after the pause
  /// count, because older acknowledgements may have waited in the socket.
  void OnAck(TimePoint aProbeSentAt);

  /// Checked at the moment of each dispatch; false also when the last tick is too old.
  bool MayDispatch(TimePoint aNow) const;

private:
  PauseDetectorOptions options_;
  std::optional<TimePoint> lastTick_;
  std::optional<TimePoint> resumedAt_; ///< Set while an acknowledgement is awaited.
};

} // namespace dfm

#endif
