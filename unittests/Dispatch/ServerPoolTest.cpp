#include "PoolRun.h"
#include <criterion/criterion.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace dfm;
using namespace dfm::test;

namespace {

constexpr uint32_t kSlots = 4;
constexpr size_t kServers = 4;

const ServerStatus&
StatusOf(const std::vector<ServerStatus>& aStatus, const BackendId& aId)
{
  return *std::find_if(
    aStatus.begin(), aStatus.end(), [&](const ServerStatus& aEach) { return aEach.id == aId; });
}

/// A server pool under random results, reports and drains, with what an oracle knows of it.
class Fuzz
{
public:
  Fuzz()
    : pool_(ServerPoolOptions{}, 1)
  {
    for (size_t i = 0; i < kServers; ++i)
      servers_.push_back(MakeServer(i, kSlots));
    pool_.SetServers(servers_, true, now_);
    pool_.SetPhase(PoolPhase::Mine, now_);
  }

  void Step(uint32_t aValue)
  {
    const BackendId server = servers_[aValue % kServers].id;
    const uint32_t detail = aValue / kServers / 8;
    now_ += Duration(1ms) * (detail % 97);
    switch (aValue / kServers % 8) {
      case 0:
        SetDraining(server);
        break;
      case 1:
        Report(server, detail);
        break;
      case 2:
        pool_.OnLoadReport(server, std::nullopt, now_);
        break;
      case 3:
      case 4:
        End(server, detail);
        break;
      default:
        StartOne();
    }
    Check();
  }

private:
  void SetDraining(const BackendId& aServer)
  {
    if (!planned_.erase(aServer))
      planned_.insert(aServer);
    pool_.SetDraining(planned_, now_);
  }

  void Report(const BackendId& aServer, uint32_t aDetail)
  {
    const LoadReport report{ .inFlight = aDetail % 9,
                             .slots = aDetail % 5,
                             .healthy = aDetail % 11 != 0,
                             .shedding = aDetail % 7 == 0,
                             .draining = aDetail % 13 == 0 };
    const uint32_t before = StatusOf(pool_.Status(now_), aServer).window;
    const bool drained = reported_.contains(aServer);
    pool_.OnLoadReport(aServer, report, now_);
    reported_.erase(aServer);
    if (report.draining)
      reported_.insert(aServer);
    if (!drained)
      RC_ASSERT(StatusOf(pool_.Status(now_), aServer).window <= before);
  }

  void StartOne()
  {
    const auto server = pool_.Pick({}, now_);
    if (!server)
      return;
    RC_ASSERT(!planned_.contains(*server) && !reported_.contains(*server));
    pool_.OnStarted(*server, now_);
    ++inFlight_[*server];
  }

  void End(const BackendId& aServer, uint32_t aDetail)
  {
    if (inFlight_[aServer] == 0)
      return;
    --inFlight_[aServer];
    constexpr AttemptEnd kEnds[] = {
      AttemptEnd::Answered, AttemptEnd::Failed, AttemptEnd::Crashed,
      AttemptEnd::Shed,     AttemptEnd::Failed, AttemptEnd::TimedOut
    };
    pool_.OnEnded(aServer, AttemptResult{ .end = kEnds[aDetail % 6], .status = 200 }, now_);
  }

  void Check()
  {
    size_t ejected = 0;
    for (const ServerStatus& status : pool_.Status(now_)) {
      const bool gone = planned_.contains(status.id) || reported_.contains(status.id);
      RC_ASSERT(status.inFlight == inFlight_[status.id] && status.inFlight <= kSlots);
      RC_ASSERT(status.window <= kSlots);
      RC_ASSERT(!gone || (status.window == 0 && status.state == ServerState::Draining));
      ejected += status.state == ServerState::Ejected ? 1 : 0;
    }
    RC_ASSERT(ejected * 2 <= kServers);
  }

  TimePoint now_{ 1h };
  ServerPool pool_;
  std::vector<BackendServer> servers_;
  std::set<BackendId> planned_;
  std::set<BackendId> reported_;
  std::map<BackendId, uint32_t> inFlight_;
};

} // namespace

// Guards against new requests to a draining server, against reports that widen a window, and
// against ejections that take more than half of a pool.
Test(ServerPool, KeepsItsBounds, .timeout = 120)
{
  setenv("RC_PARAMS", "seed=20261204 max_success=2000 max_size=200", 0);
  const bool ok = rc::check("windows, drains and ejections stay within their bounds", [] {
    Fuzz fuzz;
    for (const uint32_t step :
         *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange(0U, 1000000U)))
      fuzz.Step(step);
  });
  cr_assert(ok);
}

// Guards against a cold server that gets its full load at once, and against slow start that goes on
// while the server gives no report.
Test(ServerPool, SlowStartGrowsOnlyWithReports)
{
  TimePoint now(1h);
  ServerPool pool(ServerPoolOptions{}, 1);
  pool.SetServers({ MakeServer(0, 11) }, false, now);
  pool.SetPhase(PoolPhase::Mine, now);
  cr_assert(pool.Window(now) == 1);
  cr_assert(pool.Window(now + 5s) == 6);
  pool.OnLoadReport(BackendId("b0"), std::nullopt, now + 5s);
  cr_assert(pool.Window(now + 60s) == 6, "a missing report holds the window");
  pool.OnLoadReport(BackendId("b0"), LoadReport{}, now + 60s);
  cr_assert(pool.Window(now + 65s) == 11);
}

// Guards against a failing server that keeps its requests, and against one that never returns.
Test(ServerPool, EjectionEndsInSlowStart)
{
  TimePoint now(1h);
  ServerPool pool(ServerPoolOptions{}, 1);
  pool.SetServers({ MakeServer(0, 4), MakeServer(1, 4) }, true, now);
  pool.SetPhase(PoolPhase::Mine, now);
  for (size_t i = 0; i < 5; ++i) {
    pool.OnStarted(BackendId("b0"), now);
    pool.OnEnded(BackendId("b0"), AttemptResult{ .end = AttemptEnd::ConnectFailed }, now);
  }
  cr_assert(pool.Window(now) == 4, "b0 is ejected");
  cr_assert(pool.Pick({ BackendId("b1") }, now + 4999ms) == std::nullopt);
  cr_assert(pool.Window(now + 5s) == 5, "b0 starts again with one slot");
}

// Guards against a request that is sent twice to one server, and against one that waits for ever
// when every server was tried.
Test(Pool, RetriesGoToOtherServers)
{
  const TimePoint now(1h);
  const auto pool = MakePool({ MakeServer(0, 1), MakeServer(1, 1) }, 1);
  const auto enqueue = [&](uint64_t aId, const std::set<BackendId>& aTried) {
    RequestHead head;
    head.id = RequestId{ aId };
    head.deadline = now + 10s;
    return pool->Enqueue(head, aTried, now);
  };
  enqueue(1, { BackendId("b0") });
  enqueue(2, { BackendId("b0") });
  enqueue(3, { BackendId("b0"), BackendId("b1") });
  const Pool::Dispatched first = pool->TryDispatch(now);
  cr_assert(first.started.size() == 1 && first.started[0].server.id == BackendId("b1"));
  cr_assert(first.unservable == std::vector{ RequestId{ 3 } });
  cr_assert(pool->Waiting() == 1, "request 2 waits for b1 although b0 is free");
  pool->OnAttemptEnded(RequestId{ 1 }, AttemptResult{ .end = AttemptEnd::Answered }, now);
  const Pool::Dispatched second = pool->TryDispatch(now);
  cr_assert(second.started.size() == 1 && second.started[0].server.id == BackendId("b1"));
}
