#ifndef DRAGONFLYMOOR_STEERING_OBJECTCOUNTER_H
#define DRAGONFLYMOOR_STEERING_OBJECTCOUNTER_H

#include <cstddef>
#include <cstdint>
#include <unordered_set>

namespace dfm {

/// Estimates the number of distinct objects that a service's requests refer to, from a sample of
/// the requests: the more often keys repeat, the fewer objects there are. Not thread-safe.
class ObjectCounter
{
public:
  void OnRequest(uint64_t aKey);

  /// Estimated number of objects, or 0 while the sample is too small for an estimate.
  double EstimatedCount() const { return estimate_; }

private:
  std::unordered_set<uint64_t> sampledKeys_;
  size_t sampledRequests_ = 0;
  double estimate_ = 0;
};

} // namespace dfm

#endif
