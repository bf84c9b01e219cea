#include "PoolHost.h"

#include "dragonflymoor/Drains/Drains.h"
#include "dragonflymoor/Recovery/RetryPolicy.h"
#include "dragonflymoor/Support/Hash.h"
#include <algorithm>
#include <cassert>

namespace dfm {

namespace {

constexpr Duration kLoadPollPeriod = 500ms;
constexpr Duration kStatePeriod = 250ms;
constexpr Duration kForwarderTime = 2s; ///< How long a forwarder is told the load of a pool.
constexpr Duration kViewTime = 1s;      ///< How long the load that a peer reported is used.
/// Until a server has seen that a connection was closed, its slot is still taken.
constexpr Duration kCancelTime = 50ms;
constexpr double kUnknownLoad = 0.5;
/// Pause after a refusal by a pool of another region, spread so that VMs do not return together.
constexpr Duration kRefusalPauseLow = 100ms;
constexpr Duration kRefusalPauseHigh = 300ms;
constexpr size_t kRivals = 2; ///< Next candidates for a pool that hear its claim.

uint32_t
QueuedSum(const PoolState& aState)
{
  uint32_t sum = 0;
  for (const uint32_t queued : aState.queued)
    sum += queued;
  return sum;
}

} // namespace

PoolHost::PoolHost(EngineContext& aContext, FleetControl& aFleet, PoolHostHooks aHooks)
  : context_(aContext)
  , fleet_(aFleet)
  , hooks_(std::move(aHooks))
  , ownership_(aContext.Self())
{
}

void
PoolHost::OnListsChanged(Now aNow)
{
  const FleetLists& lists = fleet_.Lists();
  sites_.clear();
  for (const BackendServer& server : lists.backends) {
    if (!lists.FindService(server.service))
      continue;
    const PoolId pool{ server.service, server.failureDomain };
    sites_.try_emplace(pool, PoolSite{ pool, server.region });
  }
  std::vector<PoolSite> sites;
  for (const auto& [pool, site] : sites_)
    sites.push_back(site);
  ownership_.SetPools(sites, aNow.monotonic);
  // Servers of the first list have run before this VM started; later ones are new.
  const bool warm = !listsSeen_;
  listsSeen_ = !lists.backends.empty();
  for (auto& [pool, hosted] : hosted_)
    Configure(hosted, aNow, warm);
  OnMembersChanged(aNow);
}

void
PoolHost::OnMembersChanged(Now aNow)
{
  if (fleet_.Joined()) {
    ownership_.SetMembers(
      fleet_.UsableVms(aNow.wall), fleet_.LeavingVms(aNow.wall), aNow.monotonic);
  }
  ++epoch_;
  UpdatePhases(aNow);
}

PoolHost::Hosted&
PoolHost::Host(Now aNow, const PoolSite& aSite)
{
  const auto found = hosted_.find(aSite.pool);
  if (found != hosted_.end())
    return found->second;
  const Service* service = fleet_.Lists().FindService(aSite.pool.service);
  assert(service && "a pool belongs to a service of the list");
  Hosted& hosted = hosted_[aSite.pool];
  hosted.pool = std::make_unique<Pool>(aSite, *service, PoolOptions{}, context_.random.Next());
  Configure(hosted, aNow, true);
  return hosted;
}

void
PoolHost::Configure(Hosted& aHosted, Now aNow, bool aWarm)
{
  const FleetLists& lists = fleet_.Lists();
  const PoolId& id = aHosted.pool->Site().pool;
  if (const Service* service = lists.FindService(id.service))
    aHosted.pool->SetService(*service);
  std::vector<BackendServer> servers;
  for (const BackendServer& server : lists.backends) {
    if (server.service == id.service && server.failureDomain == id.failureDomain)
      servers.push_back(server);
  }
  aHosted.pool->SetServers(servers, aWarm, aNow.monotonic);
  std::unordered_map<PlanId, uint32_t> weights;
  for (const Plan& plan : lists.plans)
    weights[plan.id] = plan.weight;
  aHosted.pool->SetPlanWeights(std::move(weights));
  UpdateDraining(aNow, aHosted, DrainingAt(lists, aNow.wall).servers);
}

void
PoolHost::UpdateDraining(Now aNow, Hosted& aHosted, const std::set<BackendId>& aDraining)
{
  if (aDraining == aHosted.draining)
    return;
  aHosted.draining = aDraining;
  aHosted.pool->SetDraining(aDraining, aNow.monotonic);
}

void
PoolHost::UpdatePhases(Now aNow)
{
  for (const PoolId& pool : ownership_.Mine(aNow.monotonic))
    Host(aNow, sites_.at(pool));
  for (auto& [pool, hosted] : hosted_) {
    const PoolPhase phase = ownership_.Phase(pool, aNow.monotonic);
    if (phase == hosted.phase)
      continue;
    ++epoch_;
    if (hosted.phase == PoolPhase::NotMine)
      hosted.nextPoll = aNow.monotonic; // Nothing is dispatched before the servers' first reports.
    hosted.phase = phase;
    hosted.pool->SetPhase(phase, aNow.monotonic);
    if (phase != PoolPhase::NotMine)
      continue;
    for (const RequestId request : hosted.pool->TakeAll())
      refusals_.push_back({ request, Reason::NotOwner });
  }
}

void
PoolHost::CheckPause(Now aNow)
{
  // Another VM may have taken the pools meanwhile: this VM takes them over anew.
  const bool paused = !fleet_.MayDispatch(aNow.monotonic);
  if (std::exchange(paused_, paused) && !paused)
    ownership_.OnPauseEnded(aNow.monotonic);
}

void
PoolHost::OnTick(Now aNow)
{
  CheckPause(aNow);
  UpdatePhases(aNow);
  FreeCancelledSlots(aNow);
  const std::set<BackendId> draining = DrainingAt(fleet_.Lists(), aNow.wall).servers;
  for (auto& [pool, hosted] : hosted_) {
    if (hosted.phase == PoolPhase::NotMine)
      continue;
    UpdateDraining(aNow, hosted, draining);
    const PoolState state = hosted.pool->State(context_.options.incarnation, aNow.monotonic);
    hosted.remote.OnLoad(
      RemoteAdmission::Load{ .slots = state.slots, .requests = state.inFlight + QueuedSum(state) },
      aNow.monotonic);
    Dispatch(aNow, hosted);
    PollLoads(aNow, hosted);
    SendStates(aNow, hosted);
  }
}

void
PoolHost::Dispatch(Now aNow, Hosted& aHosted)
{
  if (!fleet_.MayDispatch(aNow.monotonic))
    return;
  bool again = true;
  while (again) {
    again = false;
    const Pool::Dispatched dispatched = aHosted.pool->TryDispatch(aNow.monotonic);
    for (const RequestId request : dispatched.expired)
      refusals_.push_back({ request, Reason::DeadlineExceeded });
    for (const RequestId request : dispatched.unservable)
      refusals_.push_back({ request, Reason::NoServer });
    for (const Pool::Start& start : dispatched.started)
      again |= !StartOne(aNow, aHosted, start);
  }
}

bool
PoolHost::StartOne(Now aNow, Hosted& aHosted, const Pool::Start& aStart)
{
  const std::optional<TimePoint> deadline = hooks_.beginAttempt(aNow, aStart.request);
  if (!deadline) {
    aHosted.pool->OnAttemptEnded(
      aStart.request, AttemptResult{ .end = AttemptEnd::Cancelled }, aNow.monotonic);
    return false;
  }
  const AttemptId attempt{ ++lastAttempt_ };
  attempts_[attempt] = { aStart.request, aHosted.pool->Site().pool, aStart.server };
  hooks_.started(aStart.request, attempt, aStart.server.id);
  context_.hooks.startAttempt(attempt, aStart.request, aStart.server, *deadline);
  return true;
}

void
PoolHost::PollLoads(Now aNow, Hosted& aHosted)
{
  if (aNow.monotonic < aHosted.nextPoll)
    return;
  aHosted.nextPoll = aNow.monotonic + kLoadPollPeriod;
  const PoolId& id = aHosted.pool->Site().pool;
  for (const BackendServer& server : fleet_.Lists().backends) {
    if (server.service == id.service && server.failureDomain == id.failureDomain)
      context_.hooks.pollLoad(server);
  }
}

std::vector<VmId>
PoolHost::Rivals(const PoolSite& aSite, Now aNow) const
{
  std::vector<Vm> candidates = fleet_.UsableVms(aNow.wall);
  std::erase_if(candidates, [&](const Vm& aVm) { return aVm.id == context_.Self().id; });
  std::vector<VmId> rivals;
  while (rivals.size() < kRivals) {
    const std::optional<PoolOwner> next = OwnerOf(aSite, candidates);
    if (!next)
      break;
    rivals.push_back(next->vm);
    std::erase_if(candidates, [&](const Vm& aVm) { return aVm.id == next->vm; });
  }
  return rivals;
}

void
PoolHost::SendStates(Now aNow, Hosted& aHosted)
{
  if (aNow.monotonic < aHosted.nextState)
    return;
  aHosted.nextState = aNow.monotonic + kStatePeriod;
  std::erase_if(aHosted.forwarders, [&](const auto& aEntry) {
    return aNow.monotonic - aEntry.second > kForwarderTime;
  });
  std::set<VmId> receivers;
  for (const auto& [vm, last] : aHosted.forwarders)
    receivers.insert(vm);
  for (const VmId& rival : Rivals(aHosted.pool->Site(), aNow))
    receivers.insert(rival);
  const PoolState state = aHosted.pool->State(context_.options.incarnation, aNow.monotonic);
  for (const VmId& receiver : receivers) {
    if (const Vm* vm = fleet_.FindVm(receiver))
      context_.hooks.sendStream(*vm, state);
  }
}

void
PoolHost::OnPoolState(Now aNow, const VmId& aFrom, const PoolState& aState)
{
  const MemberUpdate* member = fleet_.Members().Find(aFrom);
  if (!member || member->incarnation != aState.owner)
    return;
  remoteViews_[aState.pool] = { aState, aNow.monotonic };
  ownership_.OnClaim(aState.pool, member->vm, aNow.monotonic);
  UpdatePhases(aNow);
}

void
PoolHost::OnLoadReport(Now aNow,
                       const BackendId& aBackend,
                       const std::optional<LoadReport>& aReport)
{
  for (auto& [pool, hosted] : hosted_) {
    if (!hosted.pool->Servers().Find(aBackend))
      continue;
    hosted.pool->OnLoadReport(aBackend, aReport, aNow.monotonic);
    if (hosted.phase != PoolPhase::NotMine)
      Dispatch(aNow, hosted);
    return;
  }
}

std::vector<PoolSite>
PoolHost::PoolsOf(const ServiceId& aService) const
{
  std::vector<PoolSite> pools;
  const PoolId first{ aService, FailureDomainId() };
  for (auto i = sites_.lower_bound(first); i != sites_.end() && i->first.service == aService; ++i)
    pools.push_back(i->second);
  return pools;
}

std::optional<VmId>
PoolHost::Owner(const PoolId& aPool, Now aNow) const
{
  return ownership_.Owner(aPool, aNow.monotonic);
}

std::vector<PoolId>
PoolHost::OwnPools(const ServiceId& aService, Now aNow) const
{
  std::vector<PoolId> pools;
  for (const PoolSite& site : PoolsOf(aService)) {
    const auto hosted = hosted_.find(site.pool);
    if (hosted != hosted_.end() && hosted->second.phase != PoolPhase::NotMine &&
        ownership_.Phase(site.pool, aNow.monotonic) != PoolPhase::NotMine)
      pools.push_back(site.pool);
  }
  return pools;
}

std::optional<PoolState>
PoolHost::State(const PoolId& aPool, Now aNow) const
{
  const auto hosted = hosted_.find(aPool);
  if (hosted != hosted_.end() && hosted->second.phase != PoolPhase::NotMine)
    return hosted->second.pool->State(context_.options.incarnation, aNow.monotonic);
  const auto view = remoteViews_.find(aPool);
  if (view == remoteViews_.end() || aNow.monotonic - view->second.heard > kViewTime)
    return std::nullopt;
  return view->second.state;
}

double
PoolHost::Load(const PoolId& aPool, Now aNow) const
{
  const std::optional<PoolState> state = State(aPool, aNow);
  if (!state)
    return kUnknownLoad;
  return (state->inFlight + QueuedSum(*state)) / std::max(1.0, static_cast<double>(state->slots));
}

bool
PoolHost::IsRemote(const PoolId& aPool) const
{
  const auto site = sites_.find(aPool);
  return site != sites_.end() && site->second.region != context_.Self().region;
}

void
PoolHost::NoteRemoteRefusal(Now aNow, const PoolId& aPool)
{
  if (IsRemote(aPool)) {
    refusedUntil_[aPool] =
      aNow.monotonic + context_.random.Between(kRefusalPauseLow, kRefusalPauseHigh);
  }
}

bool
PoolHost::RefusedLately(Now aNow, const PoolId& aPool) const
{
  const auto until = refusedUntil_.find(aPool);
  return until != refusedUntil_.end() && aNow.monotonic < until->second;
}

void
PoolHost::Enqueue(Now aNow,
                  const PoolId& aPool,
                  const RequestHead& aHead,
                  const std::set<BackendId>& aTried)
{
  Hosted& hosted = hosted_.at(aPool);
  assert(hosted.phase != PoolPhase::NotMine && "only the owner of a pool queues requests");
  if (const auto refused = hosted.pool->Enqueue(aHead, aTried, aNow.monotonic))
    refusals_.push_back({ *refused, Reason::QueueFull });
  Dispatch(aNow, hosted);
}

bool
PoolHost::Cancel(const PoolId& aPool, RequestId aId)
{
  const auto hosted = hosted_.find(aPool);
  return hosted != hosted_.end() && hosted->second.pool->Cancel(aId);
}

bool
PoolHost::HasServer(const PoolId& aPool, const std::set<BackendId>& aTried) const
{
  const auto hosted = hosted_.find(aPool);
  return hosted != hosted_.end() && hosted->second.phase != PoolPhase::NotMine &&
         hosted->second.pool->Servers().Servable(aTried);
}

Reason
PoolHost::TryAdmitRemote(const PoolId& aPool)
{
  return hosted_.at(aPool).remote.TryAdmit();
}

void
PoolHost::OnRemoteEnded(const PoolId& aPool)
{
  hosted_.at(aPool).remote.OnEnded();
}

std::optional<EndedAttempt>
PoolHost::OnAttemptEnded(Now aNow, AttemptId aAttempt, const AttemptResult& aResult)
{
  const auto found = attempts_.find(aAttempt);
  if (found == attempts_.end())
    return std::nullopt;
  const Attempt attempt = found->second;
  attempts_.erase(found);
  const bool cancelled =
    aResult.end == AttemptEnd::TimedOut || aResult.end == AttemptEnd::Cancelled;
  if (cancelled)
    cancelled_.push_back({ aNow.monotonic + kCancelTime, attempt, aResult });
  else
    FreeSlot(aNow, attempt, aResult);
  return EndedAttempt{ attempt.request, attempt.pool, attempt.server };
}

void
PoolHost::FreeSlot(Now aNow, const Attempt& aAttempt, const AttemptResult& aResult)
{
  Hosted& hosted = hosted_.at(aAttempt.pool);
  const uint64_t ejections = hosted.pool->Servers().Ejections();
  hosted.pool->OnAttemptEnded(aAttempt.request, aResult, aNow.monotonic);
  if (hosted.pool->Servers().Ejections() > ejections)
    context_.hooks.count("ejections", ReasonOf(aResult.end));
  if (hosted.phase != PoolPhase::NotMine)
    Dispatch(aNow, hosted);
}

void
PoolHost::FreeCancelledSlots(Now aNow)
{
  while (!cancelled_.empty() && cancelled_.front().freeAt <= aNow.monotonic) {
    const CancelledSlot slot = cancelled_.front();
    cancelled_.pop_front();
    FreeSlot(aNow, slot.attempt, slot.result);
  }
}

std::vector<PoolRefusal>
PoolHost::TakeRefusals()
{
  return std::exchange(refusals_, {});
}

void
PoolHost::NoteForwarder(Now aNow, const PoolId& aPool, const VmId& aVm)
{
  const auto hosted = hosted_.find(aPool);
  if (hosted != hosted_.end())
    hosted->second.forwarders[aVm] = aNow.monotonic;
}

void
PoolHost::FillStatus(Now aNow, EngineStatus& aStatus) const
{
  for (const auto& [pool, site] : sites_) {
    EngineStatus::Pool row{ .pool = pool };
    row.owner = Owner(pool, aNow).value_or(VmId());
    const auto hosted = hosted_.find(pool);
    row.mine = hosted != hosted_.end() && hosted->second.phase != PoolPhase::NotMine;
    if (const std::optional<PoolState> state = State(pool, aNow)) {
      row.slots = state->slots;
      row.inFlight = state->inFlight;
      row.queued = state->queued;
    }
    aStatus.pools.push_back(row);
  }
  for (const auto& [pool, hosted] : hosted_) {
    for (const ServerStatus& server : hosted.pool->Servers().Status(aNow.monotonic)) {
      if (hosted.phase == PoolPhase::NotMine && server.inFlight == 0)
        continue;
      EngineStatus::Server row{ .id = server.id,
                                .state = std::string(ToString(server.state)),
                                .slots = server.slots,
                                .window = server.window,
                                .inFlight = server.inFlight };
      if (server.state == ServerState::Draining && server.inFlight > 0)
        row.waitingFor = "requests in flight";
      aStatus.servers.push_back(row);
    }
  }
}

} // namespace dfm
