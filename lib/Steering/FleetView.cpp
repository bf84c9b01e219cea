#include "dragonflymoor/Steering/FleetView.h"

namespace dfm {

InstanceChanges
FindInstanceChanges(const InstanceList& aBefore, const InstanceList& aAfter)
{
  InstanceChanges changes;
  auto before = aBefore.begin();
  for (const std::shared_ptr<const Instance>& instance : aAfter) {
    while (before != aBefore.end() && *before != instance && (*before)->id < instance->id)
      changes.removed.push_back((*before++)->id);
    const bool unchanged = before != aBefore.end() && *before == instance;
    if (!unchanged)
      changes.replaced.push_back(instance);
    if (unchanged || (before != aBefore.end() && (*before)->id == instance->id))
      ++before;
  }
  for (; before != aBefore.end(); ++before)
    changes.removed.push_back((*before)->id);
  return changes;
}

} // namespace dfm
