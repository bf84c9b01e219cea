#ifndef DRAGONFLYMOOR_STEERING_RECENTFINGERPRINTS_H
#define DRAGONFLYMOOR_STEERING_RECENTFINGERPRINTS_H

#include "dragonflymoor/Support/Time.h"
#include <cstdint>
#include <unordered_set>

namespace dfm {

/// Remembers fingerprints of requests for some seconds, in two generations of bounded size. Not
/// thread-safe.
class RecentFingerprints
{
public:
  /// Remembers aFingerprint for 5 to 10 s, or for less when thousands of others follow.
  void Add(TimePoint aNow, uint64_t aFingerprint);
  bool Contains(TimePoint aNow, uint64_t aFingerprint) const;

private:
  std::unordered_set<uint64_t> current_;
  std::unordered_set<uint64_t> previous_;
  TimePoint currentBegan_;
  TimePoint previousBegan_;
};

} // namespace dfm

#endif
