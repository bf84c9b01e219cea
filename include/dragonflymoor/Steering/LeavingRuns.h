#ifndef DRAGONFLYMOOR_STEERING_LEAVINGRUNS_H
#define DRAGONFLYMOOR_STEERING_LEAVINGRUNS_H

#include "dragonflymoor/Steering/InstanceStatement.h"
#include <deque>
#include <map>

namespace dfm {

/// Runs of instances that stated to this VM that they leave. What the store says does not end such
/// a statement: an entry may be older than it, or lapse and come back. Bounded; the earliest
/// statement is dropped first. Not thread-safe.
class LeavingRuns
{
public:
  /// aRun stated that it leaves. True when that was not known.
  bool Add(const InstanceRun& aRun);

  /// Whether aRun, or a later run of its instance, stated that it leaves.
  bool Contains(const InstanceRun& aRun) const;

private:
  std::map<BackendId, uint64_t> startTimeByInstance_; ///< Of the latest run that leaves.
  std::deque<BackendId> order_;                       ///< In order of their first statements.
};

} // namespace dfm

#endif
