#include "dragonflymoor/Net/CallerServer.h"

#include "dragonflymoor/Net/Clock.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <fmt/format.h>

namespace dfm {

namespace {

namespace json = boost::json;

constexpr std::string_view kRoutePath = "/v1/route";
/// One read of a connection that waits for its next request.
constexpr size_t kReadBytes = 4096;
/// Closing a socket with unread bytes resets the connection, and the caller may lose the answer
/// that says why. So much is read and dropped before.
constexpr size_t kDiscardBytes = 1024UL * 1024;
constexpr auto kDiscardTime = std::chrono::seconds(1);

/// Value of the query parameter service; empty when the target is not a route request.
std::optional<std::string>
RouteService(std::string_view aTarget)
{
  const auto target = boost::urls::parse_origin_form(aTarget);
  if (!target || target->encoded_path() != kRoutePath)
    return std::nullopt;
  for (const auto& parameter : target->params()) {
    if (parameter.key == "service")
      return parameter.value;
  }
  return std::string();
}

/// Counts a connection for as long as it is open.
class ConnectionCount
{
public:
  explicit ConnectionCount(std::atomic<uint32_t>& aCount)
    : count_(&aCount)
    , before_(aCount.fetch_add(1))
  {
  }
  ~ConnectionCount() { Release(); }
  ConnectionCount(const ConnectionCount&) = delete;
  ConnectionCount& operator=(const ConnectionCount&) = delete;

  uint32_t Before() const { return before_; }

  void Release()
  {
    if (count_ != nullptr)
      count_->fetch_sub(1);
    count_ = nullptr;
  }

private:
  std::atomic<uint32_t>* count_;
  const uint32_t before_;
};

} // namespace

std::shared_ptr<const RouteAnswers>
RouteAnswers::From(const RouteTable& aTable)
{
  auto answers = std::make_shared<RouteAnswers>();
  answers->ready = aTable.ready;
  const auto ttl = std::chrono::duration_cast<std::chrono::milliseconds>(aTable.ttl).count();
  for (const RouteTable::Row& row : aTable.rows) {
    json::array vms;
    for (const RouteEntry& entry : row.entries) {
      vms.push_back({ { "address", ToText(entry.endpoint) }, { "vm", entry.vm.Value() } });
    }
    const json::object answer{ { "vms", std::move(vms) },
                               { "ttlMs", ttl },
                               { "keyPrefix", aTable.keyPrefix } };
    answers->jsonByService[row.service.Value()] = json::serialize(answer);
  }
  return answers;
}

CallerServer::CallerServer(std::shared_ptr<CallerShared> aShared,
                           CallerTimeouts aTimeouts,
                           CallerHooks aHooks)
  : shared_(std::move(aShared))
  , timeouts_(aTimeouts)
  , hooks_(std::move(aHooks))
  , routes_(std::make_shared<RouteAnswers>())
{
}

void
CallerServer::Serve(tcp::socket aSocket)
{
  const auto executor = aSocket.get_executor();
  asio::co_spawn(executor, Run(std::move(aSocket)), asio::detached);
}

asio::awaitable<void>
CallerServer::Run(tcp::socket aSocket)
{
  ConnectionCount count(shared_->connections);
  error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  // Headers may arrive with bytes of the body behind them.
  const size_t bufferBytes = shared_->bounds.headerBytes + 2 * kReadBytes;
  Connection connection{ beast::tcp_stream(std::move(aSocket)), beast::flat_buffer(bufferBytes) };
  if (count.Before() >= shared_->bounds.connections) {
    count.Release();
    co_await Refuse(connection);
  } else {
    bool open = true;
    while (open)
      open = co_await ServeOne(connection);
  }
  connection.stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

asio::awaitable<void>
CallerServer::Refuse(Connection& aConnection)
{
  hooks_.count("connections-refused", Reason::None);
  // Refused connections are bounded too; beyond that they are closed without a word.
  const ConnectionCount refused(shared_->refusedConnections);
  if (refused.Before() >= shared_->bounds.connections)
    co_return;
  co_await Reject(aConnection,
                  http::status::service_unavailable,
                  "too many connections",
                  Reason::QueueFull,
                  Outcome::Unknown,
                  false);
  co_await Discard(aConnection);
}

asio::awaitable<error_code>
CallerServer::ReadHeader(Connection& aConnection, Parser& aParser)
{
  if (aConnection.buffer.size() == 0) {
    aConnection.stream.expires_after(timeouts_.idle);
    auto [error, bytes] = co_await aConnection.stream.async_read_some(
      aConnection.buffer.prepare(kReadBytes), kAwaitTuple);
    if (error)
      co_return error;
    aConnection.buffer.commit(bytes);
  }
  aConnection.stream.expires_after(timeouts_.header);
  auto [error, bytes] =
    co_await http::async_read_header(aConnection.stream, aConnection.buffer, aParser, kAwaitTuple);
  co_return error;
}

asio::awaitable<bool>
CallerServer::ServeOne(Connection& aConnection)
{
  Parser parser;
  parser.header_limit(shared_->bounds.headerBytes);
  parser.body_limit(shared_->bounds.bodyBytes);
  const error_code headerError = co_await ReadHeader(aConnection, parser);
  if (headerError) {
    co_await RejectUnread(aConnection, parser.get(), headerError);
    co_return false;
  }
  // A chunked body does not tell its length before.
  const uint64_t reserve = parser.content_length().value_or(
    parser.chunked() ? uint64_t{ shared_->bounds.bodyBytes } : uint64_t{ 0 });
  if (!shared_->budget->TryReserve(reserve)) {
    hooks_.count("requests-refused", Reason::QueueFull);
    co_await Reject(aConnection,
                    http::status::service_unavailable,
                    "no memory for the body",
                    Reason::QueueFull,
                    RefusalOutcome(parser.get()),
                    false);
    co_await Discard(aConnection);
    co_return false;
  }
  BodyReservation reservation(shared_->budget, reserve);
  aConnection.stream.expires_after(timeouts_.body);
  if (parser.get()[http::field::expect] == "100-continue") {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(aConnection.stream, asio::buffer(kContinue), kAwaitTuple);
  }
  if (!parser.is_done()) {
    auto [error, bytes] =
      co_await http::async_read(aConnection.stream, aConnection.buffer, parser, kAwaitTuple);
    if (error) {
      co_await RejectUnread(aConnection, parser.get(), error);
      co_return false;
    }
  }
  HttpRequest request = parser.release();
  if (IsServiceTarget(request.target())) {
    const bool open =
      co_await ServeService(aConnection, std::move(request), std::move(reservation));
    co_return open;
  }
  const bool open = co_await ServeRoute(aConnection, request);
  co_return open;
}

asio::awaitable<void>
CallerServer::RejectUnread(Connection& aConnection,
                           const http::request_header<>& aHeader,
                           error_code aError)
{
  http::status status = http::status::bad_request;
  Outcome outcome = Outcome::Unknown; // Headers that could not be read may name an order.
  std::string text = fmt::format("malformed request: {}", aError.message());
  if (!FramingFault(aError).empty())
    hooks_.count("unframed-requests", Reason::BadRequest);
  if (const auto framingStatus = FramingStatus(aError)) {
    status = *framingStatus;
  } else if (aError == http::error::header_limit || aError == http::error::buffer_overflow) {
    status = http::status::request_header_fields_too_large;
    text = fmt::format("headers are longer than {} bytes", shared_->bounds.headerBytes);
  } else if (aError == http::error::body_limit) {
    status = http::status::payload_too_large;
    text = fmt::format("the body is longer than {} bytes", shared_->bounds.bodyBytes);
    outcome = RefusalOutcome(aHeader);
  } else if (aError == beast::error::timeout) {
    // Nothing can be sent on a connection whose time is over.
    hooks_.count("caller-timeouts", Reason::None);
    co_return;
  } else if (aError.category() != error_code(http::error::bad_method).category() ||
             aError == http::error::end_of_stream || aError == http::error::partial_message) {
    // The caller closed the connection, or it broke.
    co_return;
  }
  hooks_.count("requests-refused", Reason::BadRequest);
  co_await Reject(aConnection, status, std::move(text), Reason::BadRequest, outcome, false);
  co_await Discard(aConnection);
}

asio::awaitable<void>
CallerServer::Discard(Connection& aConnection)
{
  error_code ignored;
  aConnection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  aConnection.stream.expires_after(kDiscardTime);
  aConnection.buffer.clear();
  for (size_t left = kDiscardBytes; left > 0;) {
    auto [error, bytes] = co_await aConnection.stream.async_read_some(
      aConnection.buffer.prepare(kReadBytes), kAwaitTuple);
    if (error)
      co_return;
    left -= std::min(left, bytes);
  }
}

asio::awaitable<bool>
CallerServer::ServeRoute(Connection& aConnection, const HttpRequest& aRequest)
{
  const bool keepAlive = aRequest.keep_alive();
  const auto service = RouteService(aRequest.target());
  if (!service) {
    co_return co_await Reject(aConnection,
                              http::status::not_found,
                              "no such path",
                              Reason::BadRequest,
                              Outcome::NotRun,
                              keepAlive);
  }
  if (aRequest.method() != http::verb::get) {
    co_return co_await Reject(aConnection,
                              http::status::method_not_allowed,
                              "route answers are read with GET",
                              Reason::BadRequest,
                              Outcome::NotRun,
                              keepAlive);
  }
  const std::shared_ptr<const RouteAnswers> routes = routes_;
  if (!routes->ready) {
    co_return co_await Reject(aConnection,
                              http::status::service_unavailable,
                              "not ready",
                              Reason::NotReady,
                              Outcome::NotRun,
                              keepAlive);
  }
  const auto found = routes->jsonByService.find(*service);
  if (found == routes->jsonByService.end()) {
    co_return co_await Reject(aConnection,
                              http::status::bad_request,
                              fmt::format("parameter service: \"{}\" does not exist", *service),
                              Reason::UnknownService,
                              Outcome::NotRun,
                              keepAlive);
  }
  hooks_.count("route-answers", Reason::None);
  http::response<http::empty_body> answer(http::status::ok, 11);
  answer.set(http::field::content_type, "application/json");
  co_return co_await Send(aConnection, answer.base(), found->second, http::verb::get, keepAlive);
}

asio::awaitable<bool>
CallerServer::ServeService(Connection& aConnection,
                           HttpRequest aRequest,
                           BodyReservation aReservation)
{
  const bool keepAlive = aRequest.keep_alive();
  const http::verb method = aRequest.method();
  auto parsed = ParseCallerRequest(aRequest, ReadClocks().monotonic);
  if (!parsed) {
    hooks_.count("requests-refused", Reason::BadRequest);
    co_return co_await Reject(aConnection,
                              http::status::bad_request,
                              std::move(parsed.error()),
                              Reason::BadRequest,
                              RefusalOutcome(aRequest),
                              keepAlive);
  }
  auto stored = std::make_shared<StoredRequest>();
  stored->message = std::move(aRequest);
  stored->message.target(parsed->target);
  RemoveHopByHop(stored->message);
  stored->reservation = std::move(aReservation);
  RequestHead& head = parsed->head;
  head.id = { shared_->nextRequest.fetch_add(1) };
  head.fingerprint = Fingerprint(head.service, stored->message);
  head.requestBytes = EncodedBytes(stored->message);

  shared_->unfinished.fetch_add(1);
  auto exchange =
    std::make_shared<CallerExchange>(aConnection.stream.get_executor(), head, std::move(stored));
  hooks_.request(exchange);
  aConnection.stream.expires_never();
  std::optional<FinalAnswer> answer = co_await exchange->Wait(aConnection.stream.socket());
  bool open = false;
  if (answer)
    open = co_await SendAnswer(aConnection, head, method, std::move(*answer), keepAlive);
  else
    hooks_.callerGone(head.id);
  shared_->unfinished.fetch_sub(1);
  co_return open;
}

asio::awaitable<bool>
CallerServer::SendAnswer(Connection& aConnection,
                         const RequestHead& aHead,
                         http::verb aMethod,
                         FinalAnswer aAnswer,
                         bool aKeepAlive)
{
  http::response<http::string_body> refusal;
  const HttpAnswer* source = &refusal;
  if (aAnswer.answer != nullptr && aAnswer.outcome == Outcome::Answered)
    source = &aAnswer.answer->message;
  else
    refusal = RefusalAnswer(aAnswer, aHead);
  http::response_header<> header = source->base();
  SetOutcomeHeaders(header, aAnswer);
  header.set("Dfm-Request-Id", fmt::format("{}{}", shared_->requestIdPrefix, aHead.id.value));
  co_return co_await Send(aConnection, std::move(header), source->body(), aMethod, aKeepAlive);
}

asio::awaitable<bool>
CallerServer::Send(Connection& aConnection,
                   http::response_header<> aHeader,
                   std::string_view aBody,
                   http::verb aMethod,
                   bool aKeepAlive)
{
  using Body = http::span_body<const char>;
  const bool keepAlive = aKeepAlive && !shared_->stopping.load();
  http::response<Body> response(std::move(aHeader));
  response.version(11);
  response.body() = beast::span<const char>(aBody.data(), aBody.size());
  response.keep_alive(keepAlive);
  // The backend server did not say how long the answer to GET would have been.
  if (aMethod != http::verb::head)
    response.prepare_payload();
  http::response_serializer<Body> serializer(response);
  aConnection.stream.expires_after(timeouts_.write);
  auto [error, bytes] = co_await http::async_write(aConnection.stream, serializer, kAwaitTuple);
  co_return !error && keepAlive;
}

asio::awaitable<bool>
CallerServer::Reject(Connection& aConnection,
                     http::status aStatus,
                     std::string aText,
                     Reason aReason,
                     Outcome aOutcome,
                     bool aKeepAlive)
{
  FinalAnswer answer{ .outcome = aOutcome, .reason = aReason };
  if (aStatus == http::status::service_unavailable)
    answer.retryAfter = 1s;
  http::response<http::empty_body> response(aStatus, 11);
  response.set(http::field::content_type, "text/plain");
  SetOutcomeHeaders(response, answer);
  aText += '\n';
  co_return co_await Send(aConnection, response.base(), aText, http::verb::get, aKeepAlive);
}

} // namespace dfm
