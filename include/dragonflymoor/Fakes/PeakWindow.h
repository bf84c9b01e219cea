#ifndef DRAGONFLYMOOR_FAKES_PEAKWINDOW_H
#define DRAGONFLYMOOR_FAKES_PEAKWINDOW_H

#include "dragonflymoor/Support/Time.h"
#include <algorithm>
#include <cstdint>
#include <deque>

namespace dfm::fakes {

/// Largest sum of bytes in any window of one second, and the total.
class PeakWindow
{
public:
  /// Adds bytes. Times must not decrease.
  void Add(TimePoint aTime, uint64_t aBytes)
  {
    while (!recent_.empty() && recent_.front().time <= aTime - kWindow) {
      sum_ -= recent_.front().bytes;
      recent_.pop_front();
    }
    recent_.push_back({ aTime, aBytes });
    sum_ += aBytes;
    total_ += aBytes;
    peak_ = std::max(peak_, sum_);
  }

  uint64_t Peak() const { return peak_; }
  uint64_t Total() const { return total_; }
  /// Forgets peak and total, but not the bytes of the current window.
  void Reset()
  {
    peak_ = 0;
    total_ = 0;
  }

private:
  static constexpr Duration kWindow = 1s;

  struct Entry
  {
    TimePoint time;
    uint64_t bytes;
  };
  std::deque<Entry> recent_;
  uint64_t sum_ = 0;
  uint64_t peak_ = 0;
  uint64_t total_ = 0;
};

} // namespace dfm::fakes

#endif
