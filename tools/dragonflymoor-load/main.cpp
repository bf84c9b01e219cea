#include "Load.h"
#include "dragonflymoor/Fakes/Json.h"
#include "dragonflymoor/Fakes/Run.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <optional>

DEFINE_string(plan, "", "JSON file with sites, classes of requests and phases");
DEFINE_string(output, "text", "text or json");
DEFINE_bool(baseline, false, "send to random backend servers, with up to 5 retries and no ranks");
DEFINE_string(backends, "", "list fleet/backends, for --baseline");
DEFINE_string(backend_control, "", "control endpoint of fake-backend; checks the runs of orders");
DEFINE_bool(check, false, "end with status 1 on a wrong answer, lost request or false outcome");

using namespace dfm;
using namespace dfm::load;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration kRouteWait = 20s;
constexpr Duration kPollInterval = 50ms;

asio::awaitable<void>
WaitForRoutes(asio::io_context& aIo, FleetCallers& aCallers)
{
  const TimePoint end = ReadClock() + kRouteWait;
  aCallers.Start();
  while (!aCallers.HasRoutes()) {
    if (ReadClock() > end)
      throw std::runtime_error("a site has no route for a service");
    asio::steady_timer timer(aIo, kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<std::map<std::string, uint64_t>>
ReadRuns(asio::io_context& aIo, std::string aControl)
{
  HttpClient client(aIo);
  auto request = std::make_shared<HttpRequest>(boost::beast::http::verb::get, "/stats?keys=1", 11);
  request->set(boost::beast::http::field::host, "control");
  const Exchange exchange =
    co_await client.Send(fakes::ParseEndpoint(aControl), request, Duration(10s));
  if (exchange.end != ExchangeEnd::Answered)
    throw std::runtime_error("no answer from " + aControl);
  std::map<std::string, uint64_t> runs;
  const json::value stats = fakes::ParseJson(exchange.response.body(), "stats");
  for (const json::value& instance : stats.at("instances").as_array()) {
    for (const auto& entry : instance.at("runsByKey").as_object())
      runs[entry.key()] += entry.value().to_number<uint64_t>();
  }
  co_return runs;
}

asio::awaitable<json::object>
RunLoad(asio::io_context& aIo,
        const LoadPlan& aPlan,
        FleetCallers& aFleet,
        BaselineCallers& aBaseline)
{
  Callers* callers = &aBaseline;
  if (!FLAGS_baseline) {
    co_await WaitForRoutes(aIo, aFleet);
    callers = &aFleet;
  }
  Load load(aPlan, *callers);
  co_await load.Run([](const Phase& aPhase) { fmt::print(stderr, "phase {}\n", aPhase.name); });
  json::object report = load.ToJson();
  if (!FLAGS_backend_control.empty()) {
    const auto runs = co_await ReadRuns(aIo, FLAGS_backend_control);
    report["orders"] = load.CheckOrders(runs);
  }
  json::array links;
  for (const auto& [names, window] : aBaseline.Links()) {
    links.push_back(json::object{ { "from", names.first },
                                  { "to", names.second },
                                  { "peakBytesPerSecond", window.Peak() },
                                  { "bytes", window.Total() } });
  }
  if (FLAGS_baseline)
    report["links"] = std::move(links);
  co_return report;
}

void
PrintRow(const std::string& aName, const json::object& aRow)
{
  const auto count = [&](const char* aKey) { return aRow.at(aKey).to_number<uint64_t>(); };
  const auto ms = [&](const char* aKey) { return aRow.at(aKey).to_number<double>(); };
  std::string reasons;
  for (const auto& reason : aRow.at("reasons").as_object())
    reasons +=
      fmt::format(" {}={}", std::string_view(reason.key()), reason.value().to_number<uint64_t>());
  fmt::print("  {:<28}{:>8}{:>9}{:>8}{:>8}{:>6}{:>9.1f}{:>9.1f}{:>9.1f} {}\n",
             aName,
             count("sent"),
             count("answered"),
             count("notRun"),
             count("unknown"),
             count("lost"),
             ms("p50Ms"),
             ms("p99Ms"),
             ms("p999Ms"),
             reasons);
}

void
PrintText(const json::object& aReport)
{
  for (const json::value& phase : aReport.at("phases").as_array()) {
    fmt::print("phase {}\n", std::string_view(phase.at("phase").as_string()));
    fmt::print("  {:<28}{:>8}{:>9}{:>8}{:>8}{:>6}{:>9}{:>9}{:>9}  refusals\n",
               "rank service plan",
               "sent",
               "answered",
               "not-run",
               "unknown",
               "lost",
               "p50 ms",
               "p99 ms",
               "p99.9 ms");
    for (const json::value& row : phase.at("classes").as_array()) {
      const json::object& object = row.as_object();
      PrintRow(fmt::format("{} {} {}",
                           fakes::TextOf(object, "rank"),
                           fakes::TextOf(object, "service"),
                           fakes::TextOf(object, "plan")),
               object);
    }
    for (const auto& rank : phase.at("ranks").as_object())
      PrintRow(fmt::format("all {}", std::string_view(rank.key())), rank.value().as_object());
  }
  if (const auto* orders = aReport.if_contains("orders"))
    fmt::print("orders {}\n", json::serialize(*orders));
  if (const auto* links = aReport.if_contains("links"))
    fmt::print("links {}\n", json::serialize(*links));
}

/// Whether no answer was wrong, no request lost, and no order got a false outcome.
bool
Holds(const json::object& aReport)
{
  uint64_t faults = 0;
  for (const json::value& phase : aReport.at("phases").as_array()) {
    faults += phase.at("all").at("wrong").to_number<uint64_t>();
    faults += phase.at("all").at("lost").to_number<uint64_t>();
  }
  if (const auto* orders = aReport.if_contains("orders")) {
    for (const char* key : { "doubleRuns", "falseNotRun", "answeredWithoutRun" })
      faults += orders->at(key).to_number<uint64_t>();
  }
  return faults == 0;
}

int
RunTool()
{
  if (FLAGS_output != "text" && FLAGS_output != "json")
    throw std::runtime_error("--output must be text or json");
  if (FLAGS_baseline && FLAGS_backends.empty())
    throw std::runtime_error("--baseline needs --backends");
  const LoadPlan plan = ReadLoadPlan(FLAGS_plan, FLAGS_baseline ? FLAGS_backends : "");
  asio::io_context io;
  FleetCallers fleet(io, plan);
  BaselineCallers baseline(io, plan);
  std::optional<json::object> report;
  std::exception_ptr failed;
  asio::co_spawn(
    io, RunLoad(io, plan, fleet, baseline), [&](std::exception_ptr aError, json::object aReport) {
      failed = std::move(aError);
      report = std::move(aReport);
      io.stop();
    });
  io.run();
  if (failed)
    std::rethrow_exception(failed);
  if (FLAGS_output == "json")
    fmt::print("{}\n", json::serialize(*report));
  else
    PrintText(*report);
  return FLAGS_check && !Holds(*report) ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aValues)
{
  gflags::SetUsageMessage("open-loop load on a fleet, with a check of every answer");
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  fakes::RaiseDescriptorLimit();
  try {
    return RunTool();
  } catch (const std::exception& error) {
    fmt::print(stderr, "dragonflymoor-load: {}\n", error.what());
    return 1;
  }
}
