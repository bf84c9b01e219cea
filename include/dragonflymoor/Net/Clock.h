#ifndef DRAGONFLYMOOR_NET_CLOCK_H
#define DRAGONFLYMOOR_NET_CLOCK_H

#include "dragonflymoor/Support/Time.h"

namespace dfm {

/// Reads both clocks. The monotonic one runs while the machine is suspended, so that a pause is
/// seen as a long step. Safe to call from any thread.
Now
ReadClocks();

} // namespace dfm

#endif
