#ifndef DRAGONFLYMOOR_DISPATCH_SERVERPOOL_H
#define DRAGONFLYMOOR_DISPATCH_SERVERPOOL_H

#include "dragonflymoor/Dispatch/PoolOwnership.h"
#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Model/Request.h"
#include "dragonflymoor/Support/Random.h"
#include "dragonflymoor/Support/Time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace dfm {

enum class ServerState
{
  Starting, ///< Slow start.
  Active,
  Draining, ///< Gets nothing new.
  Ejected,
};

/// Lower-case name as shown to operators.
std::string_view
ToString(ServerState aState);

struct ServerPoolOptions
{
  Duration slowStart = 10s; ///< The window grows from 1 to the number of slots.
  uint32_t ejectAfterFailures = 5;
  uint32_t recentRequests = 20; ///< Ejection when over half of this many failed.
  Duration ejectionTime = 5s;   ///< Doubled for each further ejection.
  Duration maxEjectionTime = 60s;
  Duration shedHold = 1s; ///< The window regains one slot in this time after a shed.
};

/// State of one server for the status page.
struct ServerStatus
{
  BackendId id;
  ServerState state = ServerState::Starting;
  uint32_t slots = 0;
  uint32_t window = 0;
  uint32_t inFlight = 0;
};

/// The backend servers of one pool at its owner (section 5 of the design). The own counts are
/// authoritative; reports only tighten. Not thread-safe. Times must never decrease.
class ServerPool
{
public:
  ServerPool(ServerPoolOptions aOptions, uint64_t aSeed);

  /// Replaces the servers. New ones start slowly unless aWarm; removed ones get nothing new and are
  /// forgotten when their last request ends.
  void SetServers(const std::vector<BackendServer>& aServers, bool aWarm, TimePoint aNow);
  /// Servers that a planned drain names; replaces the earlier set.
  void SetDraining(std::set<BackendId> aDraining);
  /// What the ownership of the pool allows.
  void SetPhase(PoolPhase aPhase) { phase_ = aPhase; }

  /// The server with the most free room that is not in aExclude; empty when there is none.
  std::optional<BackendId> Pick(const std::set<BackendId>& aExclude, TimePoint aNow);
  /// True when any server that is not in aExclude could serve now or later: not draining, not
  /// removed.
  bool Servable(const std::set<BackendId>& aExclude) const;

  void OnStarted(const BackendId& aServer, TimePoint aNow);
  void OnEnded(const BackendId& aServer, const AttemptResult& aResult, TimePoint aNow);
  /// Empty when the server gave no report: its window is held.
  void OnLoadReport(const BackendId& aServer,
                    const std::optional<LoadReport>& aReport,
                    TimePoint aNow);

  const BackendServer* Find(const BackendId& aServer) const;
  uint32_t InFlight() const;
  /// Slots of all servers, and the part of them that may be used now.
  uint32_t Slots() const;
  uint32_t Window(TimePoint aNow) const;
  std::vector<ServerStatus> Status(TimePoint aNow) const;

private:
  struct Server
  {
    BackendServer backend;
    uint32_t inFlight = 0;
    TimePoint rampStart; ///< Start of the slow start; its part grows while reports are no obstacle.
    bool ramping = true;
    bool planned = false;  ///< Named by a planned drain.
    bool reported = false; ///< Reported itself as draining.
    bool removed = false;
    uint32_t shedWindow = 0; ///< Bound by shedding.
    TimePoint shedAt;
    uint32_t foreign = 0; ///< In flight in the last report in excess of the own count.
    uint32_t failures = 0;
    std::vector<bool> recent; ///< Ring of the last results; true is a failure.
    size_t recentNext = 0;
    uint32_t ejections = 0;
    std::optional<TimePoint> ejectedUntil;
  };

  bool Ejected(const Server& aServer, TimePoint aNow) const;
  uint32_t WindowOf(const Server& aServer, TimePoint aNow) const;
  uint32_t RampWindow(const Server& aServer, TimePoint aNow) const;
  uint32_t ShedWindow(const Server& aServer, TimePoint aNow) const;
  void OnShed(Server& aServer, TimePoint aNow);
  void OnFailure(Server& aServer, TimePoint aNow);
  void OnSuccess(Server& aServer);
  void Eject(Server& aServer, TimePoint aNow);
  void Restart(Server& aServer, TimePoint aNow) const;

  ServerPoolOptions options_;
  Random random_;
  PoolPhase phase_ = PoolPhase::NotMine;
  std::map<BackendId, Server> servers_;
};

} // namespace dfm

#endif
