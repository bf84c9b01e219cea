#include "dragonflymoor/Dispatch/ServerPool.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>

namespace dfm {

namespace {

constexpr std::array<std::string_view, 4> kStateNames = { "starting",
                                                          "active",
                                                          "draining",
                                                          "ejected" };

/// Status from which an answer counts as a failure of the server.
constexpr int kServerErrorStatus = 500;

/// Half of the slots, but one at least: a server with one slot could not be used otherwise.
uint32_t
HalfOf(uint32_t aSlots)
{
  return std::max(aSlots / 2, 1U);
}

bool
IsFailure(const AttemptResult& aResult)
{
  switch (aResult.end) {
    case AttemptEnd::Answered:
      return aResult.status >= kServerErrorStatus;
    case AttemptEnd::ConnectFailed:
    case AttemptEnd::Failed:
    case AttemptEnd::Crashed:
    case AttemptEnd::TimedOut:
      return true;
    case AttemptEnd::Shed:
    case AttemptEnd::Cancelled:
      return false;
  }
  return false;
}

bool
MayDispatch(PoolPhase aPhase)
{
  return aPhase != PoolPhase::NotMine && aPhase != PoolPhase::RemoteWait;
}

} // namespace

std::string_view
ToString(ServerState aState)
{
  return kStateNames.at(static_cast<size_t>(aState));
}

ServerPool::ServerPool(ServerPoolOptions aOptions, uint64_t aSeed)
  : options_(aOptions)
  , random_(aSeed)
{
}

void
ServerPool::SetServers(const std::vector<BackendServer>& aServers, bool aWarm, TimePoint aNow)
{
  for (auto& [id, server] : servers_)
    server.removed = true;
  for (const BackendServer& backend : aServers) {
    const auto [place, added] = servers_.try_emplace(backend.id);
    Server& server = place->second;
    // A new endpoint under a known name is another process, whose cache is cold.
    if (added || server.backend.endpoint != backend.endpoint) {
      Restart(server, aNow);
      if (aWarm)
        server.ramped = options_.slowStart;
    }
    if (added || server.backend.slots != backend.slots)
      server.shedBound = backend.slots;
    server.backend = backend;
    server.removed = false;
  }
  std::erase_if(servers_, [](const auto& aEntry) {
    return aEntry.second.removed && aEntry.second.inFlight == 0;
  });
}

void
ServerPool::SetDraining(const std::set<BackendId>& aDraining, TimePoint aNow)
{
  for (auto& [id, server] : servers_) {
    const bool planned = aDraining.contains(id);
    if (server.planned && !planned)
      Restart(server, aNow);
    server.planned = planned;
  }
}

void
ServerPool::SetPhase(PoolPhase aPhase, TimePoint aNow)
{
  if (MayDispatch(aPhase) && !MayDispatch(phase_)) {
    ownedSince_ = aNow;
    for (auto& [id, server] : servers_) {
      server.foreign.reset();
      server.leastInFlight = server.inFlight;
    }
  }
  phase_ = aPhase;
}

std::optional<BackendId>
ServerPool::Pick(const std::set<BackendId>& aExclude, TimePoint aNow)
{
  std::optional<BackendId> best;
  uint32_t bestRoom = 0;
  uint64_t ties = 0;
  for (const auto& [id, server] : servers_) {
    const uint32_t window = WindowOf(server, aNow);
    if (window <= server.inFlight || aExclude.contains(id))
      continue;
    const uint32_t room = window - server.inFlight;
    ties = room == bestRoom ? ties + 1 : 1;
    if (room < bestRoom || (room == bestRoom && random_.Below(ties) != 0))
      continue;
    best = id;
    bestRoom = room;
  }
  return best;
}

bool
ServerPool::Servable(const std::set<BackendId>& aExclude) const
{
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& aEntry) {
    return !Gone(aEntry.second) && !aExclude.contains(aEntry.first);
  });
}

void
ServerPool::OnStarted(const BackendId& aServer, TimePoint aNow)
{
  Server& server = servers_.at(aServer);
  Advance(server, aNow);
  ++server.inFlight;
}

void
ServerPool::OnEnded(const BackendId& aServer, const AttemptResult& aResult, TimePoint aNow)
{
  const auto found = servers_.find(aServer);
  assert(found != servers_.end() && found->second.inFlight > 0 && "no request in flight");
  Server& server = found->second;
  Advance(server, aNow);
  --server.inFlight;
  server.leastInFlight = std::min(server.leastInFlight, server.inFlight);
  if (aResult.end == AttemptEnd::Shed) {
    server.shedBound = std::max(1.0, std::min<double>(server.shedBound, server.inFlight));
  } else if (IsFailure(aResult)) {
    OnFailure(server, aNow);
  } else if (aResult.end == AttemptEnd::Answered) {
    server.failures = 0;
    server.recent.push_back(false);
    if (server.ramped >= options_.slowStart)
      server.ejections = 0;
  }
  while (server.recent.size() > options_.recentRequests)
    server.recent.pop_front();
  if (server.removed && server.inFlight == 0)
    servers_.erase(found);
}

void
ServerPool::OnLoadReport(const BackendId& aServer,
                         const std::optional<LoadReport>& aReport,
                         TimePoint aNow)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end())
    return;
  Server& server = found->second;
  Advance(server, aNow);
  server.holding = !aReport;
  if (!aReport)
    return;
  if (server.reported && !aReport->draining)
    Restart(server, aNow);
  server.reported = aReport->draining;
  if (aReport->shedding || !aReport->healthy)
    server.shedBound = std::max(1.0, std::min<double>(server.shedBound, server.backend.slots) - 1);
  // The report is older than the own count. The lowest own count since the last report gives the
  // most that others can have in flight.
  server.foreign = aReport->inFlight - std::min<uint32_t>(aReport->inFlight, server.leastInFlight);
  server.leastInFlight = server.inFlight;
}

void
ServerPool::OnFailure(Server& aServer, TimePoint aNow)
{
  ++aServer.failures;
  aServer.recent.push_back(true);
  const auto failed =
    static_cast<size_t>(std::count(aServer.recent.begin(), aServer.recent.end(), true));
  const bool manyFailed =
    aServer.recent.size() >= options_.recentRequests && failed * 2 > aServer.recent.size();
  if (aServer.failures >= options_.ejectAfterFailures || manyFailed)
    Eject(aServer, aNow);
}

void
ServerPool::Eject(Server& aServer, TimePoint aNow)
{
  if (Ejected(aServer, aNow))
    return;
  size_t servers = 0;
  size_t ejected = 0;
  for (const auto& [id, server] : servers_) {
    servers += server.removed ? 0 : 1;
    ejected += !server.removed && Ejected(server, aNow) ? 1 : 0;
  }
  if ((ejected + 1) * 2 > servers)
    return;
  const Duration time = options_.ejectionTime * (1U << std::min(aServer.ejections, 10U));
  Restart(aServer, aNow);
  aServer.ejectedUntil = aNow + std::min(time, options_.maxEjectionTime);
  aServer.advanced = *aServer.ejectedUntil;
  ++aServer.ejections;
  ++ejections_;
}

void
ServerPool::Restart(Server& aServer, TimePoint aNow)
{
  aServer.ramped = Duration::zero();
  aServer.advanced = aNow;
  aServer.failures = 0;
  aServer.recent.clear();
}

void
ServerPool::Advance(Server& aServer, TimePoint aNow) const
{
  const Duration elapsed = aNow - aServer.advanced;
  if (elapsed <= Duration::zero())
    return;
  aServer.advanced = aNow;
  if (aServer.holding)
    return;
  aServer.ramped = std::min(aServer.ramped + elapsed, options_.slowStart);
  aServer.shedBound = std::min<double>(
    aServer.shedBound + ToSeconds(elapsed) / ToSeconds(options_.shedHold), aServer.backend.slots);
}

bool
ServerPool::Gone(const Server& aServer) const
{
  return aServer.removed || aServer.planned || aServer.reported;
}

bool
ServerPool::Ejected(const Server& aServer, TimePoint aNow) const
{
  return aServer.ejectedUntil && aNow < *aServer.ejectedUntil;
}

uint32_t
ServerPool::WindowOf(const Server& aServer, TimePoint aNow) const
{
  if (!MayDispatch(phase_) || Gone(aServer) || Ejected(aServer, aNow))
    return 0;
  Server advanced = aServer;
  Advance(advanced, aNow);
  const uint32_t slots = aServer.backend.slots;
  const double ramp =
    1 + (slots - 1.0) * (ToSeconds(advanced.ramped) / ToSeconds(options_.slowStart));
  const auto window = static_cast<uint32_t>(std::min(ramp, std::max(1.0, advanced.shedBound)));
  return std::min({ slots, window, OwnershipWindow(aServer, aNow) });
}

uint32_t
ServerPool::OwnershipWindow(const Server& aServer, TimePoint aNow) const
{
  const uint32_t slots = aServer.backend.slots;
  if (phase_ == PoolPhase::Mine)
    return slots;
  if (!aServer.foreign && aNow - ownedSince_ < options_.firstReportWait)
    return 0;
  if (!aServer.foreign)
    return HalfOf(slots);
  const uint32_t free = slots - std::min(slots, *aServer.foreign);
  return phase_ == PoolPhase::HandedOver ? free : std::min(free, HalfOf(slots));
}

const BackendServer*
ServerPool::Find(const BackendId& aServer) const
{
  const auto found = servers_.find(aServer);
  return found == servers_.end() ? nullptr : &found->second.backend;
}

uint32_t
ServerPool::InFlight() const
{
  uint32_t sum = 0;
  for (const auto& [id, server] : servers_)
    sum += server.inFlight;
  return sum;
}

uint32_t
ServerPool::Slots() const
{
  uint32_t sum = 0;
  for (const auto& [id, server] : servers_)
    sum += server.removed ? 0 : server.backend.slots;
  return sum;
}

uint32_t
ServerPool::Window(TimePoint aNow) const
{
  uint32_t sum = 0;
  for (const auto& [id, server] : servers_)
    sum += WindowOf(server, aNow);
  return sum;
}

ServerStatus
ServerPool::StatusOf(const Server& aServer, TimePoint aNow) const
{
  Server advanced = aServer;
  Advance(advanced, aNow);
  ServerState state = ServerState::Active;
  if (Gone(aServer))
    state = ServerState::Draining;
  else if (Ejected(aServer, aNow))
    state = ServerState::Ejected;
  else if (advanced.ramped < options_.slowStart)
    state = ServerState::Starting;
  return ServerStatus{ .id = aServer.backend.id,
                       .state = state,
                       .slots = aServer.backend.slots,
                       .window = WindowOf(aServer, aNow),
                       .inFlight = aServer.inFlight };
}

std::vector<ServerStatus>
ServerPool::Status(TimePoint aNow) const
{
  std::vector<ServerStatus> status;
  status.reserve(servers_.size());
  for (const auto& [id, server] : servers_)
    status.push_back(StatusOf(server, aNow));
  return status;
}

} // namespace dfm
