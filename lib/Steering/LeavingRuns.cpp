#include "dragonflymoor/Steering/LeavingRuns.h"

#include <algorithm>

namespace dfm {

namespace {

/// More than the instances of the largest fleet that leave within the time of an outage.
constexpr size_t kMaxRuns = 4096;

} // namespace

bool
LeavingRuns::Add(const InstanceRun& aRun)
{
  const auto [known, isNew] = startTimeByInstance_.try_emplace(aRun.instance, aRun.startTimeMs);
  if (!isNew) {
    const bool isLater = known->second < aRun.startTimeMs;
    known->second = std::max(known->second, aRun.startTimeMs);
    return isLater;
  }
  order_.push_back(aRun.instance);
  if (order_.size() > kMaxRuns) {
    startTimeByInstance_.erase(order_.front());
    order_.pop_front();
  }
  return true;
}

bool
LeavingRuns::Contains(const InstanceRun& aRun) const
{
  const auto known = startTimeByInstance_.find(aRun.instance);
  return known != startTimeByInstance_.end() && aRun.startTimeMs <= known->second;
}

} // namespace dfm
