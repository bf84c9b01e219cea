#ifndef DRAGONFLYMOOR_LIB_ENGINE_CLAIMPATH_H
#define DRAGONFLYMOOR_LIB_ENGINE_CLAIMPATH_H

#include "EngineContext.h"
#include "FleetControl.h"
#include "dragonflymoor/Orders/ClaimRouter.h"
#include "dragonflymoor/Orders/ClaimStore.h"
#include <functional>

namespace dfm {

/// The way of a claim to the store: through the VM that batches its shard, or directly. Not
/// thread-safe.
class ClaimPath
{
public:
  /// aDecided reports each claim of Request exactly once, perhaps before Request returns.
  ClaimPath(EngineContext& aContext,
            FleetControl& aFleet,
            std::function<void(Now, ClaimTicket, const ClaimVerdict&)> aDecided);

  void Request(Now aNow, ClaimTicket aTicket, uint64_t aWindow, const Claim& aClaim);
  void OnMembersChanged();
  void OnTick(Now aNow);
  /// False when the message is not about claims.
  bool OnStream(Now aNow, const VmId& aFrom, const StreamMessage& aMessage);
  /// False when the call is another part's.
  bool OnStoreResult(Now aNow, StoreCallId aCall, const StoreResult& aResult);

private:
  ClaimRouterHooks MakeRouterHooks();
  ClaimStoreHooks MakeStoreHooks();

  EngineContext& context_;
  FleetControl& fleet_;
  std::function<void(Now, ClaimTicket, const ClaimVerdict&)> decided_;
  ClaimStore store_;
  ClaimRouter router_;
};

} // namespace dfm

#endif
