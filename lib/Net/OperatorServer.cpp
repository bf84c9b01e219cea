#include "dragonflymoor/Net/OperatorServer.h"

#include "dragonflymoor/Net/Framing.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>

namespace dfm {

namespace {

namespace json = boost::json;

constexpr auto kIdleTimeout = std::chrono::seconds(60);
/// Limit of the header of a request.
constexpr uint32_t kMaxHeaderBytes = 8192;
/// A control thread that does not answer in this time is reported as such.
constexpr auto kStatusTimeout = std::chrono::seconds(2);

HttpAnswer
Page(http::status aStatus, std::string_view aType, std::string aBody)
{
  HttpAnswer answer(aStatus, 11);
  answer.set(http::field::content_type, aType);
  answer.body() = std::move(aBody);
  return answer;
}

HttpAnswer
Check(bool aGood, std::string_view aGoodText, std::string_view aBadText)
{
  return aGood ? Page(http::status::ok, "text/plain", std::string(aGoodText))
               : Page(http::status::service_unavailable, "text/plain", std::string(aBadText));
}

std::string_view
ToString(MemberState aState)
{
  switch (aState) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Dead:
      return "dead";
    case MemberState::Left:
      return "left";
  }
  return "unknown";
}

json::object
ByRank(const std::array<uint32_t, kRankCount>& aValues)
{
  json::object object;
  for (size_t i = 0; i < kRankCount; ++i)
    object[dfm::ToString(static_cast<Rank>(i))] = aValues[i];
  return object;
}

json::object
Versions(const std::array<ListVersion, kListCount>& aVersions)
{
  json::object object;
  for (size_t i = 0; i < kListCount; ++i)
    object[ObjectName(static_cast<ListName>(i))] = aVersions[i];
  return object;
}

json::object
ToJson(const MemberUpdate& aMember)
{
  return { { "vm", aMember.vm.id.Value() },
           { "region", aMember.vm.region.Value() },
           { "failureDomain", aMember.vm.failureDomain.Value() },
           { "callers", ToText(aMember.vm.callers) },
           { "peers", ToText(aMember.vm.peers) },
           { "incarnation", aMember.incarnation.value },
           { "state", ToString(aMember.state) },
           { "leaving", aMember.leaving },
           { "listVersions", Versions(aMember.listVersions) } };
}

json::object
ToJson(const EngineStatus::Pool& aPool)
{
  return { { "service", aPool.pool.service.Value() },
           { "failureDomain", aPool.pool.failureDomain.Value() },
           { "owner", aPool.owner.Value() },
           { "mine", aPool.mine },
           { "slots", aPool.slots },
           { "inFlight", aPool.inFlight },
           { "queued", ByRank(aPool.queued) } };
}

json::object
ToJson(const EngineStatus::Server& aServer)
{
  return { { "id", aServer.id.Value() },     { "state", aServer.state },
           { "slots", aServer.slots },       { "window", aServer.window },
           { "inFlight", aServer.inFlight }, { "waitingFor", aServer.waitingFor } };
}

json::object
ToJson(const EngineStatus::LinkUse& aLink)
{
  return { { "from", aLink.from.Value() },
           { "to", aLink.to.Value() },
           { "capBytesPerSecond", aLink.capBytesPerSecond },
           { "shareBytesPerSecond", aLink.shareBytesPerSecond },
           { "usedBytesLastSecond", aLink.usedBytesLastSecond } };
}

template<typename T>
json::array
ToJson(const std::vector<T>& aItems)
{
  json::array items;
  for (const T& item : aItems)
    items.push_back(ToJson(item));
  return items;
}

/// A text that arrives while a coroutine waits for it.
struct LateText
{
  explicit LateText(const asio::any_io_executor& aExecutor)
    : timer(aExecutor, kStatusTimeout)
  {
  }

  asio::steady_timer timer;
  std::string text;
};

} // namespace

std::string
StatusJson(const Vm& aSelf, Incarnation aIncarnation, const EngineStatus& aStatus)
{
  const json::object status{ { "vm", aSelf.id.Value() },
                             { "region", aSelf.region.Value() },
                             { "failureDomain", aSelf.failureDomain.Value() },
                             { "incarnation", aIncarnation.value },
                             { "ready", aStatus.ready },
                             { "stopping", aStatus.stopping },
                             { "requestsInFlight", aStatus.requestsInFlight },
                             { "listVersions", Versions(aStatus.listVersions) },
                             { "members", ToJson(aStatus.members) },
                             { "pools", ToJson(aStatus.pools) },
                             { "servers", ToJson(aStatus.servers) },
                             { "links", ToJson(aStatus.links) } };
  return json::serialize(status);
}

OperatorServer::OperatorServer(OperatorPages aPages)
  : pages_(std::move(aPages))
{
}

void
OperatorServer::Serve(tcp::socket aSocket)
{
  const auto executor = aSocket.get_executor();
  asio::co_spawn(executor, Run(std::move(aSocket)), asio::detached);
}

asio::awaitable<void>
OperatorServer::Run(tcp::socket aSocket)
{
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer(MaxUnparsedBytes(kMaxHeaderBytes));
  for (;;) {
    FramedRequestParser<http::empty_body> parser;
    parser.header_limit(kMaxHeaderBytes);
    stream.expires_after(kIdleTimeout);
    auto [readError, received] = co_await http::async_read(stream, buffer, parser, kAwaitTuple);
    if (const auto status = FramingStatus(readError)) {
      HttpAnswer rejection = Page(*status, "text/plain", readError.message() + "\n");
      rejection.keep_alive(false);
      rejection.prepare_payload();
      co_await http::async_write(stream, rejection, kAwaitTuple);
    }
    if (readError)
      co_return;
    const auto& request = parser.get();
    HttpAnswer answer = co_await AnswerTo(stream.get_executor(), std::string(request.target()));
    answer.keep_alive(request.keep_alive());
    answer.prepare_payload();
    stream.expires_after(kIdleTimeout);
    auto [writeError, sent] = co_await http::async_write(stream, answer, kAwaitTuple);
    if (writeError || !request.keep_alive())
      co_return;
  }
}

asio::awaitable<HttpAnswer>
OperatorServer::AnswerTo(asio::any_io_executor aExecutor, std::string aPath)
{
  if (aPath == "/metrics") {
    co_return Page(http::status::ok, "text/plain; version=0.0.4; charset=utf-8", pages_.metrics());
  }
  if (aPath == "/healthz")
    co_return Check(pages_.healthy(), "ok\n", "the control thread makes no progress\n");
  if (aPath == "/readyz")
    co_return Check(pages_.ready(), "ready\n", "not ready\n");
  if (aPath != "/status")
    co_return Page(http::status::not_found, "text/plain", "no such page\n");
  std::string status = co_await Status(aExecutor);
  if (status.empty()) {
    co_return Page(http::status::service_unavailable,
                   "text/plain",
                   "the control thread did not answer within 2 s\n");
  }
  co_return Page(http::status::ok, "application/json", std::move(status));
}

asio::awaitable<std::string>
OperatorServer::Status(asio::any_io_executor aExecutor)
{
  const auto late = std::make_shared<LateText>(aExecutor);
  pages_.status([late, aExecutor](std::string aText) {
    asio::post(aExecutor, [late, text = std::move(aText)]() mutable {
      late->text = std::move(text);
      late->timer.cancel();
    });
  });
  co_await late->timer.async_wait(kAwaitTuple);
  co_return std::move(late->text);
}

} // namespace dfm
