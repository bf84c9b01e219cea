#ifndef DRAGONFLYMOOR_SUPPORT_TRANSFERDEADLINE_H
#define DRAGONFLYMOOR_SUPPORT_TRANSFERDEADLINE_H

#include "dragonflymoor/Support/Time.h"
#include <algorithm>
#include <cstddef>

namespace dfm {

/// Limits the wait for a message of unknown size. A transfer may take as long as its size needs,
/// but must neither fall silent nor become slower than kMinBytesPerSecond. Not thread-safe.
class TransferDeadline
{
public:
  /// A link of 10 Mbit/s that 34 transfers share gives each of them four times as much.
  static constexpr double kMinBytesPerSecond = 8192;

  /// aMaxSilence is the longest time without a byte, the wait for the first one included.
  TransferDeadline(TimePoint aStart, Duration aMaxSilence)
    : start_(aStart)
    , lastProgress_(aStart)
    , maxSilence_(aMaxSilence)
  {
  }

  void OnBytes(TimePoint aNow, size_t aBytes)
  {
    lastProgress_ = aNow;
    bytes_ += aBytes;
  }

  /// Time that is left at aNow. The transfer is to be given up when it is not positive.
  Duration Remaining(TimePoint aNow) const
  {
    const Duration allowed = FromSeconds(static_cast<double>(bytes_) / kMinBytesPerSecond);
    return std::min(lastProgress_, start_ + allowed) + maxSilence_ - aNow;
  }

private:
  TimePoint start_;
  TimePoint lastProgress_;
  Duration maxSilence_;
  size_t bytes_ = 0;
};

} // namespace dfm

#endif
