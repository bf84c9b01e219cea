#ifndef DRAGONFLYMOOR_STEERING_OBJECTCOUNTER_H
#define DRAGONFLYMOOR_STEERING_OBJECTCOUNTER_H

#include <cstddef>
#include <cstdint>
#include <unordered_set>

namespace dfm {

/// Estimates how many objects the requests of a service concern, from a sample of the requests: the
/// more often keys repeat, the fewer objects there are. Not thread-safe.
class ObjectCounter
{
public:
  void OnRequest(uint64_t aKey);

  /// 0 while the sample is too small to tell.
  double EstimatedCount() const { return estimate_; }

private:
  std::unordered_set<uint64_t> keys_;
  size_t requests_ = 0;
  double estimate_ = 0;
};

} // namespace dfm

#endif
