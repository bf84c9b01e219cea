#include "dragonflymoor/Steering/FairShares.h"

namespace dfm {

namespace {

/// Time over which use is compared: a few times as long as a request waits at most, so that what a
/// workspace used just before counts.
constexpr Duration kUseTime = 2s;

} // namespace

void
FairShares::OnStart(TimePoint aNow, const Workspace& aWorkspace)
{
  const auto [meter, isNew] = starts_.try_emplace(aWorkspace.id, DemandMeter(kUseTime));
  meter->second.Add(1, aNow);
}

double
FairShares::UseOf(TimePoint aNow, const Workspace* aWorkspace) const
{
  if (aWorkspace == nullptr)
    return 0;
  const auto meter = starts_.find(aWorkspace->id);
  if (meter == starts_.end())
    return 0;
  const double entitled = aWorkspace->requestsPerSecond > 0 ? aWorkspace->requestsPerSecond : 1;
  return meter->second.PerSecond(aNow) / entitled;
}

} // namespace dfm
