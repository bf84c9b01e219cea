#ifndef DRAGONFLYMOOR_STEERING_FAIRSHARES_H
#define DRAGONFLYMOOR_STEERING_FAIRSHARES_H

#include "dragonflymoor/Shares/TokenBucket.h"
#include "dragonflymoor/Steering/Manifest.h"
#include <unordered_map>

namespace dfm {

/// Tells how much of the service that is short each workspace has used lately, in proportion to
/// what it may use, so that among waiting requests of equal rank those of the workspace with the
/// least use start first. Answers one workspace whose requests, within its quota, would fill the
/// queue before those of the others. No I/O, no clock. Not thread-safe.
class FairShares
{
public:
  /// A request of aWorkspace started.
  void OnStart(TimePoint aNow, const Workspace& aWorkspace);
  /// Requests that started lately, as part of the quota of aWorkspace. Without a quota all
  /// workspaces count alike. 0 for a null workspace, whose requests thus start first.
  double UseOf(TimePoint aNow, const Workspace* aWorkspace) const;

private:
  std::unordered_map<WorkspaceId, DemandMeter> starts_;
};

} // namespace dfm

#endif
