#include "dragonflymoor/Steering/RecentFingerprints.h"

#include <utility>

namespace dfm {

namespace {

constexpr Duration kGenerationTime = 5s;

/// Bounds the memory to about half a megabyte.
constexpr size_t kMaxPerGeneration = 4096;

} // namespace

void
RecentFingerprints::Add(TimePoint aNow, uint64_t aFingerprint)
{
  if (aNow - currentBegan_ >= kGenerationTime || current_.size() >= kMaxPerGeneration) {
    previous_ = std::exchange(current_, {});
    previousBegan_ = std::exchange(currentBegan_, aNow);
  }
  current_.insert(aFingerprint);
}

bool
RecentFingerprints::Contains(TimePoint aNow, uint64_t aFingerprint) const
{
  const auto isIn = [&](const std::unordered_set<uint64_t>& aSet, TimePoint aBegan) {
    return aNow - aBegan < 2 * kGenerationTime && aSet.contains(aFingerprint);
  };
  return isIn(current_, currentBegan_) || isIn(previous_, previousBegan_);
}

} // namespace dfm
