#include "Callers.h"

#include "dragonflymoor/Fakes/BackendFleet.h"
#include "dragonflymoor/Fakes/Json.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

namespace dfm::load {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

/// Time after the deadline in which an answer is still awaited.
constexpr Duration kGrace = 1s;
constexpr Duration kRouteTimeout = 1s;
constexpr Duration kRouteRetryInterval = 100ms;
constexpr Duration kResendInterval = 100ms;

asio::awaitable<void>
Sleep(asio::io_context& aIo, Duration aDuration)
{
  asio::steady_timer timer(aIo, aDuration);
  co_await timer.async_wait(asio::use_awaitable);
}

std::string
HeaderOf(const HttpResponse& aResponse, const char* aName)
{
  const auto value = aResponse[aName];
  return { value.data(), value.size() };
}

} // namespace

TimePoint
ReadClock()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(now));
}

FleetCallers::FleetCallers(asio::io_context& aIo, const LoadPlan& aPlan)
  : io_(aIo)
  , plan_(aPlan)
  , client_(aIo)
{
}

void
FleetCallers::Start()
{
  std::set<std::string> services;
  for (const RequestClass& kind : plan_.classes)
    services.insert(kind.service);
  for (size_t site = 0; site < plan_.sites.size(); ++site) {
    for (const std::string& service : services) {
      routes_[{ site, service }] = {};
      asio::co_spawn(io_, KeepRoute(site, service), asio::detached);
    }
  }
}

bool
FleetCallers::HasRoutes() const
{
  return std::none_of(
    routes_.begin(), routes_.end(), [](const auto& aRoute) { return aRoute.second.vms.empty(); });
}

asio::awaitable<void>
FleetCallers::KeepRoute(size_t aSite, std::string aService)
{
  size_t entry = aSite;
  while (true) {
    auto request =
      std::make_shared<HttpRequest>(http::verb::get, "/v1/route?service=" + aService, 11);
    request->set(http::field::host, "fleet");
    const Exchange exchange =
      co_await client_.Send(plan_.sites[entry].entry, request, kRouteTimeout);
    Duration wait = kRouteRetryInterval;
    try {
      if (exchange.end != ExchangeEnd::Answered || exchange.response.result_int() != 200)
        throw std::runtime_error("no route");
      const json::value answer = fakes::ParseJson(exchange.response.body(), "route");
      Route route;
      for (const json::value& vm : answer.as_object().at("vms").as_array())
        route.vms.push_back(fakes::ParseEndpoint(fakes::TextOf(vm.as_object(), "address")));
      fakes::ReadField(answer.as_object(), "keyPrefix", route.keyPrefix);
      if (!route.vms.empty()) {
        wait = std::chrono::milliseconds(answer.at("ttlMs").to_number<int64_t>());
        routes_[{ aSite, aService }] = std::move(route);
      }
      entry = aSite;
    } catch (const std::exception&) {
      // The cached route stays in use; the next VM is asked.
      entry = (entry + 1) % plan_.sites.size();
    }
    co_await Sleep(io_, wait);
  }
}

FleetCallers::Attempt
FleetCallers::Prepare(const Task& aTask, const Route& aRoute) const
{
  const RequestClass& kind = *aTask.kind;
  Attempt attempt;
  attempt.deadline = aTask.arrival + kind.deadline;
  HttpRequest& request = attempt.request;
  request.method(kind.order || kind.bodyBytes > 0 ? http::verb::post : http::verb::get);
  request.target("/v1/s/" + kind.service + kind.path + "/" + aTask.token);
  request.set(http::field::host, "fleet");
  request.set("Dfm-Workspace", kind.workspace);
  request.set("Dfm-Plan", kind.plan);
  if (kind.sendRank)
    request.set("Dfm-Rank", kind.rank);
  if (kind.order) {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    request.set("Idempotency-Key", (plan_.boundKeys ? aRoute.keyPrefix : "") + aTask.token);
    request.set("Dfm-Created", std::to_string(wall / std::chrono::milliseconds(1)));
  }
  request.body().assign(kind.bodyBytes, 'x');
  request.prepare_payload();
  return attempt;
}

asio::awaitable<bool>
FleetCallers::TryVm(const Task& aTask, TcpEndpoint aVm, Attempt& aAttempt)
{
  const Duration left = std::max(aAttempt.deadline - ReadClock(), Duration(1ms));
  auto request = std::make_shared<HttpRequest>(aAttempt.request);
  request->set("Dfm-Deadline-Ms", std::to_string(std::max<int64_t>(left / 1ms, 1)));
  request->set("Dfm-Attempt", std::to_string(aAttempt.copies + 1));
  const Exchange exchange = co_await client_.Send(aVm, request, left + kGrace);
  Result& result = aAttempt.result;
  if (exchange.end != ExchangeEnd::ConnectFailed)
    ++aAttempt.copies;
  if (exchange.end != ExchangeEnd::Answered) {
    // A copy that was refused before this one does not tell what became of this one.
    if (exchange.end != ExchangeEnd::ConnectFailed || aAttempt.copies == 0) {
      result.verdict = Verdict::Lost;
      result.reason = exchange.end == ExchangeEnd::ConnectFailed ? "client-connect-failed"
                      : exchange.end == ExchangeEnd::TimedOut    ? "client-timeout"
                                                                 : "client-connection-broken";
    }
    // The caller of an order decides on a further copy itself; a timeout leaves no time for one.
    const bool repeatable = exchange.end == ExchangeEnd::Broken && !aTask.kind->order;
    co_return exchange.end == ExchangeEnd::ConnectFailed || repeatable;
  }
  const std::string outcome = HeaderOf(exchange.response, "Dfm-Outcome");
  result.reason = HeaderOf(exchange.response, "Dfm-Reason");
  result.verdict = outcome == "answered"  ? Verdict::Answered
                   : outcome == "not-run" ? Verdict::NotRun
                                          : Verdict::Unknown;
  if (outcome.empty())
    result.reason = fmt::format("no-outcome-status-{}", exchange.response.result_int());
  if (result.verdict == Verdict::Answered)
    result.wrong = !fakes::IsAnswerTo(aTask.token, exchange.response.body());
  co_return result.verdict == Verdict::NotRun &&
    (result.reason == "not-ready" || result.reason == "stopping");
}

asio::awaitable<Result>
FleetCallers::Ask(Task aTask)
{
  const Route route = routes_[{ aTask.site, aTask.kind->service }];
  Attempt attempt = Prepare(aTask, route);
  Result& result = attempt.result;
  size_t next = 0;
  for (uint32_t resend = 0; resend <= plan_.resend; ++resend) {
    bool more = true;
    for (size_t tried = 0; more && tried < route.vms.size(); ++tried) {
      if (tried > 0)
        ++result.failovers;
      more = co_await TryVm(aTask, route.vms[next % route.vms.size()], attempt);
      ++next;
    }
    const bool open = result.verdict == Verdict::Unknown || result.verdict == Verdict::Lost;
    if (!aTask.kind->order || !open || resend == plan_.resend)
      break;
    ++result.resends;
    attempt.deadline = ReadClock() + aTask.kind->deadline;
    co_await Sleep(io_, kResendInterval);
  }
  result.latency = ReadClock() - aTask.arrival;
  co_return result;
}

} // namespace dfm::load
