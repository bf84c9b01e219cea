#include "ClaimPath.h"

#include <utility>

namespace dfm {

ClaimPath::ClaimPath(EngineContext& aContext,
                     FleetControl& aFleet,
                     std::function<void(Now, ClaimTicket, const ClaimVerdict&)> aDecided)
  : context_(aContext)
  , fleet_(aFleet)
  , decided_(std::move(aDecided))
  , store_({}, MakeStoreHooks())
  , router_({ .self = aContext.SelfInstance(), .storeRegion = aContext.options.storeRegion },
            MakeRouterHooks(),
            aContext.random.Next())
{
}

ClaimRouterHooks
ClaimPath::MakeRouterHooks()
{
  return { .sendRequest =
             [this](const Vm& aVm, const ClaimRequest& aRequest) {
               context_.hooks.sendStream(aVm, aRequest);
             },
           .sendReply =
             [this](const VmId& aVm, const ClaimReply& aReply) {
               if (const Vm* vm = fleet_.FindVm(aVm))
                 context_.hooks.sendStream(*vm, aReply);
             },
           .submit =
             [this](Now aNow, ClaimTicket aTicket, uint64_t aWindow, const Claim& aClaim) {
               store_.Submit(aNow, aTicket, aWindow, aClaim);
             },
           .decided = [this](Now aNow,
                             ClaimTicket aTicket,
                             const ClaimVerdict& aVerdict) { decided_(aNow, aTicket, aVerdict); } };
}

ClaimStoreHooks
ClaimPath::MakeStoreHooks()
{
  return { .callStore = [this](const StoreCall& aCall) { return context_.CallStore(aCall); },
           .decided =
             [this](Now aNow, ClaimTicket aTicket, const ClaimVerdict& aVerdict) {
               router_.OnSubmitted(aNow, aTicket, aVerdict);
             },
           .deletesShard = [this](uint32_t aShard) { return router_.BatchesShard(aShard); },
           .count = [this](std::string_view aName) { context_.hooks.count(aName, Reason::None); } };
}

void
ClaimPath::Request(Now aNow, ClaimTicket aTicket, uint64_t aWindow, const Claim& aClaim)
{
  router_.RequestClaim(aNow, aTicket, aWindow, aClaim);
}

void
ClaimPath::OnMembersChanged()
{
  router_.SetMembers(fleet_.Members().LiveNotLeaving());
}

void
ClaimPath::OnTick(Now aNow)
{
  router_.OnTick(aNow);
  store_.OnTick(aNow);
}

bool
ClaimPath::OnStream(Now aNow, const VmId& aFrom, const StreamMessage& aMessage)
{
  if (const auto* request = std::get_if<ClaimRequest>(&aMessage))
    router_.OnClaimRequest(aNow, aFrom, *request);
  else if (const auto* reply = std::get_if<ClaimReply>(&aMessage))
    router_.OnClaimReply(aNow, aFrom, *reply);
  else
    return false;
  return true;
}

bool
ClaimPath::OnStoreResult(Now aNow, StoreCallId aCall, const StoreResult& aResult)
{
  return store_.OnStoreResult(aNow, aCall, aResult);
}

} // namespace dfm
