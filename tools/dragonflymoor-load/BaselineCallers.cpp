#include "Callers.h"

#include "dragonflymoor/Fakes/BackendFleet.h"
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace dfm::load {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Share of the deadline that one try may take, as a client with retries sets it.
constexpr int kTriesInDeadline = 2;
/// Start line and headers of a request or an answer, about.
constexpr uint64_t kHeaderBytes = 200;

} // namespace

BaselineCallers::BaselineCallers(asio::io_context& aIo, const LoadPlan& aPlan)
  : io_(aIo)
  , plan_(aPlan)
  , client_(aIo)
  , random_(aPlan.seed)
{
}

void
BaselineCallers::Count(const std::string& aFrom, const std::string& aTo, uint64_t aBytes)
{
  links_[{ aFrom, aTo }].Add(ReadClock(), aBytes);
}

asio::awaitable<Verdict>
BaselineCallers::TryServer(const Task& aTask, Result& aResult, Duration aTimeout)
{
  const RequestClass& kind = *aTask.kind;
  const auto& servers = plan_.serversByService.at(kind.service);
  const BaselineServer& server = servers[random_.Below(servers.size())];
  const std::string& region = plan_.sites[aTask.site].region;
  const bool remote = server.region != region;
  auto request = std::make_shared<HttpRequest>(kind.order || kind.bodyBytes > 0 ? http::verb::post
                                                                                : http::verb::get,
                                               kind.path + "/" + aTask.token,
                                               11);
  request->set(http::field::host, "server");
  if (kind.order)
    request->set("Idempotency-Key", aTask.token);
  request->body().assign(kind.bodyBytes, 'x');
  request->prepare_payload();
  Count(region, server.region, kHeaderBytes + kind.bodyBytes);
  if (remote) {
    asio::steady_timer delay(io_, 2 * plan_.regionDelay);
    co_await delay.async_wait(asio::use_awaitable);
  }
  const Exchange exchange = co_await client_.Send(server.endpoint, request, aTimeout);
  if (exchange.end == ExchangeEnd::ConnectFailed) {
    aResult.reason = "client-connect-failed";
    co_return Verdict::NotRun;
  }
  if (exchange.end != ExchangeEnd::Answered) {
    aResult.reason =
      exchange.end == ExchangeEnd::TimedOut ? "client-timeout" : "client-connection-broken";
    co_return Verdict::Lost;
  }
  Count(server.region, region, kHeaderBytes + exchange.response.body().size());
  if (exchange.response.result_int() != 200) {
    aResult.reason = "server-shed";
    co_return Verdict::NotRun;
  }
  aResult.wrong = !fakes::IsAnswerTo(aTask.token, exchange.response.body());
  co_return Verdict::Answered;
}

asio::awaitable<Result>
BaselineCallers::Ask(Task aTask)
{
  Result result;
  const TimePoint deadline = aTask.arrival + aTask.kind->deadline;
  bool ran = false;
  for (uint32_t tries = 0; tries <= plan_.retries; ++tries) {
    const Duration left = deadline - ReadClock();
    if (left <= Duration(0))
      break;
    result.resends = tries;
    const Duration timeout = std::min(left, aTask.kind->deadline / kTriesInDeadline);
    const Verdict verdict = co_await TryServer(aTask, result, timeout);
    ran = ran || verdict == Verdict::Lost;
    // A refusal after a try without an answer does not tell whether that try ran.
    result.verdict = verdict == Verdict::NotRun && ran ? Verdict::Lost : verdict;
    if (verdict == Verdict::Answered)
      break;
  }
  result.latency = ReadClock() - aTask.arrival;
  co_return result;
}

} // namespace dfm::load
