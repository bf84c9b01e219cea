#include "PoolRun.h"
#include <criterion/criterion.h>
#include <functional>

using namespace dfm;
using namespace dfm::test;

namespace {

// The trial of section 3 of the design: ways to select a server, compared with this code.

constexpr uint64_t kSeed = 20261204;
constexpr size_t kVms = 9;
constexpr size_t kServers = 12;
constexpr uint32_t kSlots = 8;
constexpr Duration kRun = 30s;
constexpr Duration kReportPeriod = 200ms;
constexpr Duration kRetryDelay = 1ms; ///< Until a rejection has come back.
const double kCapacity = kSlots * kServers / ToSeconds(kMeanTime);

struct Row
{
  double rejectedPerRequest = 0;
  double servedPart = 0;
  double p99 = 0;
};

/// Every VM sends at once to a server of its choice; a full server rejects, and the VM tries
/// another one until the deadline. Reports of the servers are up to 200 ms old.
Row
RunWithoutOwner(double aLoad, bool aTwoChoices)
{
  struct Event
  {
    TimePoint at;
    int kind = 0; ///< 0 a new request, 1 a try, 2 an end, 3 a report.
    TimePoint arrived;
    size_t server = 0;
    bool operator<(const Event& aOther) const { return at > aOther.at; }
  };
  Random random(kSeed);
  std::priority_queue<Event> events;
  std::array<uint32_t, kServers> inFlight{};
  std::array<uint32_t, kServers> reported{};
  StreamResult result;
  uint64_t rejected = 0;
  const auto exponential = [&](double aMean) {
    return FromSeconds(-std::log(1 - random.Unit()) * aMean);
  };
  events.push(Event{ .at = TimePoint(), .kind = 0, .arrived = {} });
  events.push(Event{ .at = TimePoint(), .kind = 3, .arrived = {} });
  while (events.top().at < TimePoint() + kRun) {
    const Event event = events.top();
    events.pop();
    switch (event.kind) {
      case 0:
        ++result.offered;
        events.push(Event{ .at = event.at, .kind = 1, .arrived = event.at });
        events.push(
          Event{ .at = event.at + exponential(1 / (aLoad * kCapacity)), .kind = 0, .arrived = {} });
        break;
      case 1: {
        size_t server = random.Below(kServers);
        const size_t second = random.Below(kServers);
        if (aTwoChoices && reported.at(second) < reported.at(server))
          server = second;
        if (inFlight.at(server) < kSlots) {
          ++inFlight.at(server);
          events.push(Event{ .at = event.at + exponential(ToSeconds(kMeanTime)),
                             .kind = 2,
                             .arrived = event.arrived,
                             .server = server });
        } else {
          ++rejected;
          if (event.at + kRetryDelay < event.arrived + kDeadline - kMeanTime)
            events.push(Event{ .at = event.at + kRetryDelay, .kind = 1, .arrived = event.arrived });
        }
        break;
      }
      case 2:
        --inFlight.at(event.server);
        ++result.served;
        result.latencies.push_back(ToSeconds(event.at - event.arrived));
        break;
      default:
        reported = inFlight;
        events.push(Event{ .at = event.at + kReportPeriod, .kind = 3, .arrived = {} });
    }
  }
  return Row{ .rejectedPerRequest = double(rejected) / double(result.offered),
              .servedPart = result.ServedPart(),
              .p99 = result.Percentile(0.99) };
}

Row
RunPools(double aLoad, std::vector<std::unique_ptr<Pool>> aPools)
{
  PoolRun run(std::move(aPools), { { Rank::Urgent, "a", aLoad * kCapacity } }, kSeed);
  run.Run(kRun, 0s);
  return Row{ .rejectedPerRequest = 0,
              .servedPart = run.results[0].ServedPart(),
              .p99 = run.results[0].Percentile(0.99) };
}

/// Each VM has a fixed part of all slots: 96 slots for 9 VMs are 10 or 11 for each.
Row
RunSplit(double aLoad)
{
  std::vector<std::vector<BackendServer>> parts(kVms);
  for (size_t slot = 0; slot < kServers * kSlots; ++slot) {
    std::vector<BackendServer>& part = parts[slot % kVms];
    const size_t server = slot / kSlots;
    if (!part.empty() && part.back().id == MakeServer(server, 1).id)
      ++part.back().slots;
    else
      part.push_back(MakeServer(server, 1));
  }
  std::vector<std::unique_ptr<Pool>> pools;
  pools.reserve(parts.size());
  for (const auto& part : parts)
    pools.push_back(MakePool(part, kSeed));
  return RunPools(aLoad, std::move(pools));
}

/// One owner for each pool of two servers.
Row
RunOwners(double aLoad)
{
  std::vector<std::unique_ptr<Pool>> pools;
  for (size_t i = 0; i < kServers; i += 2)
    pools.push_back(MakePool({ MakeServer(i, kSlots), MakeServer(i + 1, kSlots) }, kSeed));
  return RunPools(aLoad, std::move(pools));
}

} // namespace

// Guards the choice of one owner for each pool: no attempt is rejected, and more requests are
// served in time than with slots split between the VMs.
Test(SelectionTrial, OneOwnerRejectsNothing, .timeout = 250)
{
  const std::pair<const char*, std::function<Row(double)>> ways[] = {
    { "random server", [](double aLoad) { return RunWithoutOwner(aLoad, false); } },
    { "two choices, old reports", [](double aLoad) { return RunWithoutOwner(aLoad, true); } },
    { "split between VMs", RunSplit },
    { "one owner per pool", RunOwners },
  };
  for (const double load : { 0.8, 0.9, 0.95 }) {
    std::vector<Row> rows;
    for (const auto& [name, run] : ways) {
      rows.push_back(run(load));
      cr_log_info(
        "load %.2f, %-25s rejected attempts per request %.3f, served %.2f %%, p99 %.0f ms",
        load,
        name,
        rows.back().rejectedPerRequest,
        100 * rows.back().servedPart,
        1000 * rows.back().p99);
    }
    cr_assert(rows[0].rejectedPerRequest > 0.1 && rows[3].rejectedPerRequest == 0);
    cr_assert(rows[3].servedPart >= rows[2].servedPart);
    cr_assert(rows[3].servedPart > 0.99);
  }
}
