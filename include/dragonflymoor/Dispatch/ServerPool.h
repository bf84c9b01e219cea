#ifndef DRAGONFLYMOOR_DISPATCH_SERVERPOOL_H
#define DRAGONFLYMOOR_DISPATCH_SERVERPOOL_H

#include "dragonflymoor/Dispatch/PoolOwnership.h"
#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Model/Request.h"
#include "dragonflymoor/Support/Random.h"
#include "dragonflymoor/Support/Time.h"
#include <cstdint>
#include <deque>
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
  /// A new owner sends nothing to a server until its first report shows what others have in flight
  /// there, for at most this time; then it uses half of the slots.
  Duration firstReportWait = 500ms;
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
  void SetDraining(const std::set<BackendId>& aDraining, TimePoint aNow);
  /// What the ownership of the pool allows.
  void SetPhase(PoolPhase aPhase, TimePoint aNow);

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
  /// Ejections since the start, of all servers.
  uint64_t Ejections() const { return ejections_; }
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
    bool planned = false;  ///< Named by a planned drain.
    bool reported = false; ///< Reported itself as draining.
    bool removed = false;
    bool holding = false; ///< The last report is missing: the window must not grow.
    TimePoint advanced;   ///< Time to which ramped and shedBound are brought forward.
    Duration ramped{};    ///< Time spent in slow start.
    double shedBound = 0; ///< Bound of the window by shedding.
    /// In flight in the last report beyond the own count; empty without a report since take-over.
    std::optional<uint32_t> foreign;
    uint32_t leastInFlight = 0; ///< Lowest own count since the last report.
    uint32_t failures = 0;      ///< Consecutive failures.
    std::deque<bool> recent;    ///< The last results; true is a failure.
    uint32_t ejections = 0;
    std::optional<TimePoint> ejectedUntil;
  };

  bool Gone(const Server& aServer) const;
  bool Ejected(const Server& aServer, TimePoint aNow) const;
  uint32_t WindowOf(const Server& aServer, TimePoint aNow) const;
  uint32_t OwnershipWindow(const Server& aServer, TimePoint aNow) const;
  ServerStatus StatusOf(const Server& aServer, TimePoint aNow) const;
  void Advance(Server& aServer, TimePoint aNow) const;
  void OnFailure(Server& aServer, TimePoint aNow);
  void Eject(Server& aServer, TimePoint aNow);
  static void Restart(Server& aServer, TimePoint aNow);

  ServerPoolOptions options_;
  Random random_;
  uint64_t ejections_ = 0;
  PoolPhase phase_ = PoolPhase::NotMine;
  TimePoint ownedSince_;
  std::map<BackendId, Server> servers_;
};

} // namespace dfm

#endif
