#include "dragonflymoor/Engine/Engine.h"

#include "EngineContext.h"
#include "FleetControl.h"
#include "RequestFlow.h"
#include "dragonflymoor/Drains/Drains.h"
#include "dragonflymoor/Orders/Key.h"
#include "dragonflymoor/Routing/RouteTableBuilder.h"
#include <cassert>

namespace dfm {

namespace {

/// Time after the end of cached route answers in which a stopping VM still serves.
constexpr Duration kStopGrace = 1s;
/// A longer step between two ticks lets requests pile up in the sockets.
constexpr Duration kLongStep = 100ms;
/// Shortest time between two route tables.
constexpr Duration kRoutePeriod = 100ms;

bool
AllSet(const EngineHooks& aHooks)
{
  return aHooks.startAttempt && aHooks.cancelAttempt && aHooks.forward && aHooks.cancelForward &&
         aHooks.reply && aHooks.forgetAnswer && aHooks.sendStream && aHooks.sendDatagram &&
         aHooks.callStore && aHooks.listVms && aHooks.pollLoad && aHooks.publishRoutes &&
         aHooks.stopped && aHooks.count;
}

} // namespace

struct Engine::Impl
{
  Impl(EngineOptions aOptions, EngineHooks aHooks)
    : context(std::move(aOptions), std::move(aHooks))
    , fleet(context, MakeFleetHooks())
    , flow(context, fleet)
  {
  }

  FleetControlHooks MakeFleetHooks()
  {
    return { .listsChanged = [this](Now aNow) { flow.OnListsChanged(aNow); },
             .membersChanged = [this](Now aNow) { flow.OnMembersChanged(aNow); },
             .memberGone = [this](Now aNow, const VmId& aVm) { flow.OnMemberGone(aNow, aVm); },
             .memberJoined = [this](Now aNow, const Vm& aVm) { flow.OnMemberJoined(aNow, aVm); } };
  }

  void PublishRoutes(Now aNow);
  void DelayStopAfterPause(Now aNow);
  void CheckStop(Now aNow);
  void BeginStop(Now aNow);

  EngineContext context;
  FleetControl fleet;
  RequestFlow flow;
  TimePoint nextRoutes;
  std::optional<uint64_t> routeEpoch;
  bool routesSettled = false;      ///< No member is left out because it has just started.
  std::optional<TimePoint> stopAt; ///< Set while stopping: when callers' cached answers have ended.
  bool stopReported = false;
  Now lastNow;
};

void
Engine::Impl::PublishRoutes(Now aNow)
{
  const uint64_t epoch = flow.Pools().Epoch();
  const bool serving = fleet.Serving(aNow.monotonic);
  if (aNow.monotonic < nextRoutes || (routeEpoch == epoch && routesSettled) || !serving)
    return;
  nextRoutes = aNow.monotonic + kRoutePeriod;
  routeEpoch = epoch;
  RouteInputs inputs;
  inputs.region = context.Self().region;
  inputs.failureDomain = context.Self().failureDomain;
  inputs.regionsByLatency = fleet.Members().RegionsByLatency();
  inputs.vms = fleet.ServingVms(aNow.wall);
  routesSettled = inputs.vms.size() == fleet.UsableVms(aNow.wall).size();
  if (inputs.vms.empty())
    inputs.vms = fleet.UsableVms(aNow.wall);
  const std::set<VmId> leaving = fleet.LeavingVms(aNow.wall);
  for (const MemberUpdate& member : fleet.Members().LiveMembers()) {
    if (leaving.contains(member.vm.id))
      inputs.leavingVms.push_back(member.vm);
  }
  inputs.ownerOf = [&](const PoolId& aPool) { return flow.Pools().Owner(aPool, aNow); };
  inputs.ttl = context.options.routeTtl;
  inputs.keyPrefix = BoundKeyPrefix(context.SelfInstance());
  context.hooks.publishRoutes(
    std::make_shared<const RouteTable>(BuildRouteTable(fleet.Lists(), inputs)));
}

void
Engine::Impl::BeginStop(Now aNow)
{
  if (stopAt)
    return;
  stopAt = aNow.monotonic + context.options.routeTtl + kStopGrace;
  fleet.SetLeaving(aNow);
}

void
Engine::Impl::DelayStopAfterPause(Now aNow)
{
  // Requests that arrived during a pause of the process are still to be read.
  if (stopAt && aNow.monotonic - lastNow.monotonic > kLongStep)
    stopAt = std::max(*stopAt, aNow.monotonic + kStopGrace);
}

void
Engine::Impl::CheckStop(Now aNow)
{
  if (!stopAt && IsDraining(fleet.Lists(), context.Self(), aNow.wall))
    BeginStop(aNow);
  if (!stopAt || aNow.monotonic < *stopAt || stopReported)
    return;
  flow.RefuseNew();
  if (flow.InFlight() > 0)
    return;
  stopReported = true;
  fleet.Leave(aNow);
  context.hooks.stopped();
}

Engine::Engine(EngineOptions aOptions, EngineHooks aHooks)
{
  assert(AllSet(aHooks) && "every hook must be set");
  impl_ = std::make_unique<Impl>(std::move(aOptions), std::move(aHooks));
}

Engine::~Engine() = default;

void
Engine::Start(Now aNow)
{
  impl_->lastNow = aNow;
  impl_->fleet.Start(aNow);
}

void
Engine::OnTick(Now aNow)
{
  impl_->DelayStopAfterPause(aNow);
  impl_->lastNow = aNow;
  impl_->fleet.OnTick(aNow);
  impl_->flow.OnTick(aNow);
  impl_->PublishRoutes(aNow);
  impl_->CheckStop(aNow);
}

void
Engine::OnRequest(Now aNow, const RequestHead& aHead)
{
  impl_->flow.OnRequest(aNow, aHead);
}

void
Engine::OnRequestCancelled(Now aNow, RequestId aId)
{
  impl_->flow.OnRequestCancelled(aNow, aId);
}

void
Engine::OnAttemptEnded(Now aNow, AttemptId aAttempt, const AttemptResult& aResult)
{
  impl_->flow.OnAttemptEnded(aNow, aAttempt, aResult);
}

void
Engine::OnForwardReply(Now aNow, RequestId aId, const ForwardReply& aReply)
{
  impl_->flow.OnForwardReply(aNow, aId, aReply);
}

void
Engine::OnForwardFailed(Now aNow, RequestId aId, bool aSent)
{
  impl_->flow.OnForwardFailed(aNow, aId, aSent);
}

void
Engine::OnStream(Now aNow, const VmId& aFrom, const StreamMessage& aMessage)
{
  if (!impl_->fleet.OnStream(aNow, aFrom, aMessage))
    impl_->flow.OnStream(aNow, aFrom, aMessage);
}

void
Engine::OnDatagram(Now aNow, const Endpoint& aFrom, const DatagramMessage& aMessage)
{
  impl_->fleet.OnDatagram(aNow, aFrom, aMessage);
}

void
Engine::OnStoreResult(Now aNow, StoreCallId aCall, const StoreResult& aResult)
{
  if (!impl_->fleet.OnStoreResult(aNow, aCall, aResult))
    impl_->flow.OnStoreResult(aNow, aCall, aResult);
}

void
Engine::OnVmList(Now aNow, const std::optional<std::vector<PlatformVm>>& aVms)
{
  impl_->fleet.OnVmList(aNow, aVms);
}

void
Engine::OnLoadReport(Now aNow, const BackendId& aBackend, const std::optional<LoadReport>& aReport)
{
  impl_->flow.OnLoadReport(aNow, aBackend, aReport);
}

void
Engine::BeginStop(Now aNow)
{
  impl_->BeginStop(aNow);
}

EngineStatus
Engine::Status() const
{
  const Now now = impl_->lastNow;
  EngineStatus status;
  status.ready = impl_->fleet.Serving(now.monotonic);
  status.stopping = impl_->stopAt.has_value();
  status.members = impl_->fleet.Members().Members();
  status.members.push_back(impl_->fleet.Members().Self());
  status.listVersions = impl_->fleet.Lists().versions;
  impl_->flow.FillStatus(now, status);
  return status;
}

} // namespace dfm
