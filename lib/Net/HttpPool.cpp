#include "dragonflymoor/Net/HttpPool.h"

#include "dragonflymoor/Net/FinalAnswer.h"
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

namespace dfm {

namespace {

/// Servers close idle connections after a few seconds; a request that meets the closing fails.
constexpr auto kMaxIdle = std::chrono::seconds(2);
constexpr size_t kMaxIdleConnections = 16;

using Parser = FramedAnswerParser<http::string_body>;

/// True when the end of the answer can be told from a broken connection.
bool
HasDefiniteEnd(const Parser& aParser)
{
  return !aParser.need_eof();
}

/// Reads one answer after any interim ones. The parser is replaced for each.
asio::awaitable<error_code>
ReadAnswer(HttpConnection& aConnection, std::optional<Parser>& aParser, bool aSkipBody)
{
  const std::function<void(Parser&)> prepare = [aSkipBody](Parser& aPrepared) {
    aPrepared.header_limit(kMaxAnswerHeaderBytes);
    aPrepared.body_limit(kMaxAnswerBytes);
    aPrepared.skip(aSkipBody);
  };
  const error_code headerError =
    co_await ReadFinalHeader(aConnection.stream, aConnection.buffer, aParser, prepare);
  if (headerError)
    co_return headerError;
  if (!HasDefiniteEnd(*aParser))
    co_return http::error::partial_message;
  if (aParser->is_done())
    co_return error_code();
  auto [error, bytes] =
    co_await http::async_read(aConnection.stream, aConnection.buffer, *aParser, kAwaitTuple);
  co_return error;
}

} // namespace

HttpPool::HttpPool(asio::io_context& aContext, std::optional<asio::ip::address> aSource)
  : context_(aContext)
  , source_(std::move(aSource))
{
}

HttpConnectionPointer
HttpPool::TakeIdle(const Endpoint& aEndpoint)
{
  std::vector<HttpConnectionPointer>& idle = idle_[aEndpoint];
  while (!idle.empty()) {
    HttpConnectionPointer connection = std::move(idle.back());
    idle.pop_back();
    const bool fresh = std::chrono::steady_clock::now() - connection->idleSince < kMaxIdle;
    if (fresh && IsIdleAndOpen(connection->stream.socket()))
      return connection;
  }
  return nullptr;
}

asio::awaitable<error_code>
HttpPool::Connect(HttpConnectionPointer aConnection, Endpoint aEndpoint, SteadyTime aDeadline)
{
  const tcp::endpoint target = ToTcp(aEndpoint);
  const error_code openError = OpenBound(aConnection->stream.socket(), target, source_);
  if (openError)
    co_return openError;
  aConnection->stream.expires_at(aDeadline);
  auto [error] = co_await aConnection->stream.async_connect(target, kAwaitTuple);
  if (!error)
    SetLiveness(aConnection->stream.socket());
  co_return error;
}

void
HttpPool::Release(const Endpoint& aEndpoint, HttpConnectionPointer aConnection)
{
  std::vector<HttpConnectionPointer>& idle = idle_[aEndpoint];
  if (idle.size() >= kMaxIdleConnections)
    return;
  aConnection->stream.expires_never();
  aConnection->idleSince = std::chrono::steady_clock::now();
  idle.push_back(std::move(aConnection));
}

asio::awaitable<ExchangeResult>
Exchange(HttpConnectionPointer aConnection,
         http::request_header<> aHeader,
         std::string_view aBody,
         SteadyTime aDeadline)
{
  using Body = http::span_body<const char>;
  http::request<Body> request(std::move(aHeader));
  request.version(11);
  request.body() = beast::span<const char>(aBody.data(), aBody.size());
  request.prepare_payload();
  const bool skipBody = request.method() == http::verb::head;

  ExchangeResult result;
  aConnection->stream.expires_at(aDeadline);
  http::request_serializer<Body> serializer(request);
  auto [writeError, written] =
    co_await http::async_write(aConnection->stream, serializer, kAwaitTuple);
  result.bytesSent = written;
  // A server may answer and close before it has read the whole request, so that only a write that
  // sent nothing ends the exchange here.
  if (writeError && (written == 0 || writeError == beast::error::timeout ||
                     writeError == asio::error::operation_aborted)) {
    result.error = writeError;
    co_return result;
  }
  std::optional<Parser> parser;
  result.error = co_await ReadAnswer(*aConnection, parser, skipBody);
  result.answerStarted = parser->got_some() || aConnection->buffer.size() > 0;
  if (result.error)
    co_return result;
  result.reusable = !writeError && parser->get().keep_alive() && aConnection->buffer.size() == 0;
  result.answer = parser->release();
  co_return result;
}

asio::awaitable<std::optional<HttpAnswer>>
Fetch(HttpPool& aPool, Endpoint aEndpoint, HttpRequest aRequest, std::chrono::milliseconds aTimeout)
{
  const SteadyTime deadline = std::chrono::steady_clock::now() + aTimeout;
  HttpConnectionPointer connection = aPool.TakeIdle(aEndpoint);
  if (connection == nullptr) {
    connection = aPool.Create();
    const error_code error = co_await aPool.Connect(connection, aEndpoint, deadline);
    if (error)
      co_return std::nullopt;
  }
  aRequest.set(http::field::host, ToText(aEndpoint));
  ExchangeResult result = co_await Exchange(connection, aRequest.base(), aRequest.body(), deadline);
  if (result.reusable)
    aPool.Release(aEndpoint, connection);
  co_return std::move(result.answer);
}

} // namespace dfm
