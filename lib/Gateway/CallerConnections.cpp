#include "CallerState.h"
#include "dragonflymoor/Net/Framing.h"
#include "dragonflymoor/Support/Log.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <sys/socket.h>

namespace dfm {

namespace {

constexpr std::string_view kComponent = "caller";

/// Used until the first manifest, which states the limits, is known.
constexpr CallerLimits kDefaultLimits{};

/// A connection that has been idle for less than this is not closed at a stop: its caller may have
/// sent a request already.
constexpr Duration kMinIdleTime = 200ms;

/// Callers send bodies and read answers at this rate at least, in bytes a second, averaged over the
/// time since the first of them and with the idle time-out in hand. Far below any usual link.
constexpr double kMinRate = 1024;

/// How long a rejected request is read and discarded. Closing a socket with unread bytes sends a
/// reset, which may reach the caller before the answer does.
constexpr Duration kDrainTime = 2s;

/// Whether the connection exceeds the time-out or falls below the rate of its phase.
template<typename Connection>
bool
IsOverdue(const Connection& aConnection, const CallerLimits& aLimits, TimePoint aNow)
{
  using Phase = typename Connection::Phase;
  const Duration inPhase = aNow - aConnection.phaseStart;
  switch (aConnection.phase) {
    case Phase::Idle:
      return inPhase >= aLimits.idleTimeout;
    case Phase::Header:
      return inPhase >= aLimits.headerTimeout;
    case Phase::Draining:
      return inPhase >= kDrainTime;
    case Phase::Body:
    case Phase::Writing:
      if (aConnection.waitsForMemory)
        return false;
      return aNow - aConnection.lastProgress >= aLimits.idleTimeout ||
             ToSeconds(inPhase - aLimits.idleTimeout) * kMinRate >
               static_cast<double>(aConnection.phaseBytes);
    case Phase::Answering:
      return false;
  }
  return false;
}

http::status
StatusForReadError(const error_code& aError)
{
  if (const auto status = FramingStatus(aError))
    return *status;
  if (aError == http::error::header_limit)
    return http::status::request_header_fields_too_large;
  if (aError == http::error::body_limit)
    return http::status::payload_too_large;
  return http::status::bad_request;
}

/// Whether a read error is due to an invalid request, which is answered with an error status.
bool
IsProtocolError(const error_code& aError)
{
  if (FramingStatus(aError))
    return true;
  return aError.category() == make_error_code(http::error::bad_method).category() &&
         aError != http::error::end_of_stream && aError != http::error::partial_message;
}

} // namespace

void
CallerFront::Serve(tcp::socket aSocket)
{
  if (connections_.size() >= options_.maxConnections && !CloseLeastUseful(ReadClocks().monotonic)) {
    metrics_.Count("connections-refused");
    return; // The socket closes.
  }
  SetLiveness(aSocket);
  auto connection = std::make_shared<Connection>(std::move(aSocket));
  connection->EnterPhase(Connection::Phase::Idle);
  connections_.insert(connection);
  asio::co_spawn(context_, ServeRequests(std::move(connection)), asio::detached);
}

asio::awaitable<void>
CallerFront::ServeRequests(ConnectionPtr aConnection)
{
  error_code ignored; // The connection ends in any case.
  for (;;) {
    const auto request = std::make_shared<Request>(context_);
    const bool requestRead = co_await ReadRequest(aConnection, request);
    if (!requestRead)
      break;
    const auto answer = co_await ProcessRequest(aConnection, request);
    if (answer == nullptr)
      break;
    answer->keep_alive(request->keepAlive && !stopping_);
    const bool keepAlive = answer->keep_alive();
    // No attempt follows that could need the body.
    request->message.body() = std::make_shared<const SegmentedBytes>();
    const bool written = co_await WriteAnswer(aConnection, request, *answer);
    requests_.erase(request->ticket);
    if (request->route != nullptr)
      metrics_.Observe("request",
                       "route",
                       request->route->name,
                       ToSeconds(ReadClocks().monotonic - request->arrivalTime));
    aConnection->EnterPhase(Connection::Phase::Idle);
    if (!written || !keepAlive) {
      // Closing a socket with unread bytes sends a reset, which may reach the caller before the
      // answer does.
      aConnection->socket.shutdown(tcp::socket::shutdown_send, ignored);
      break;
    }
  }
  aConnection->socket.close(ignored);
  connections_.erase(aConnection);
}

asio::awaitable<bool>
CallerFront::ReadRequest(const ConnectionPtr& aConnection, const RequestPtr& aRequest)
{
  Connection& connection = *aConnection;
  if (connection.buffer.size() == 0) {
    auto [error] = co_await connection.socket.async_wait(tcp::socket::wait_read, kAwaitTuple);
    if (error)
      co_return false;
  }
  connection.EnterPhase(Connection::Phase::Header);
  const CallerLimits limits =
    view_->routes == nullptr ? kDefaultLimits : view_->routes->GetManifest().limits;
  // Bytes of the next request may be there from the time of a higher limit.
  connection.buffer.max_size(
    std::max(connection.buffer.size(), MaxUnparsedBytes(limits.headerBytes) + kReadBytes));
  RequestParser parser;
  parser.header_limit(static_cast<uint32_t>(limits.headerBytes));
  parser.body_limit(limits.bodyBytes);
  auto [headError, headBytes] =
    co_await http::async_read_header(connection.socket, connection.buffer, parser, kAwaitTuple);
  error_code error = headError;
  connection.refused = !error && !options_.memory->CanEverHold(parser.content_length().value_or(0));
  if (!error && !connection.refused &&
      beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    http::response<http::string_body> interim(http::status::continue_, 11);
    auto [writeError, bytes] = co_await http::async_write(connection.socket, interim, kAwaitTuple);
    error = writeError;
  }
  if (!error && !connection.refused && !parser.is_done()) {
    connection.EnterPhase(Connection::Phase::Body);
    connection.memory =
      std::make_shared<MemoryHold>(options_.memory, ReadClocks().monotonic, BytePurpose::Request);
    error = co_await ReadBody(aConnection, parser);
  }
  // From here on the body shares the ownership.
  std::shared_ptr<MemoryHold> memory = std::move(connection.memory);
  if (connection.refused) {
    parser.get().body() = {};
    memory.reset();
    co_await RefuseForMemory(aConnection);
    co_return false;
  }
  if (error) {
    if (IsProtocolError(error))
      co_await AnswerBadRequest(connection, error);
    co_return false;
  }
  TakeRequest(connection, parser, std::move(memory), *aRequest);
  co_return true;
}

asio::awaitable<void>
CallerFront::AnswerBadRequest(Connection& aConnection, error_code aError)
{
  metrics_.Count("bad-requests", Reason::BadRequest);
  if (const std::string_view fault = FramingFault(aError); !fault.empty())
    metrics_.CountKind("unframed-requests", fault);
  Log(LogLevel::Warning, kComponent, "bad request", { { "error", aError.message() } });
  http::response<http::string_body> answer(StatusForReadError(aError), 11);
  answer.keep_alive(false);
  answer.prepare_payload();
  co_await http::async_write(aConnection.socket, answer, kAwaitTuple);
}

void
CallerFront::TakeRequest(Connection& aConnection,
                         RequestParser& aParser,
                         std::shared_ptr<MemoryHold> aMemory,
                         Request& aRequest)
{
  aConnection.EnterPhase(Connection::Phase::Answering);
  ++aConnection.requests;
  if (aMemory != nullptr)
    options_.memory->Pin(aMemory->Id());
  aRequest.keepAlive = aParser.get().keep_alive();
  auto message = aParser.release();
  const auto body = std::make_shared<const StoredBody>(
    StoredBody{ .bytes = std::move(message.body()), .memory = std::move(aMemory) });
  aRequest.message = InstanceRequest(std::move(message.base()),
                                     std::shared_ptr<const SegmentedBytes>(body, &body->bytes));
  aRequest.arrivalTime = ReadClocks().monotonic;
  error_code ignored; // Without a peer the address is unspecified.
  aRequest.callerAddress = aConnection.socket.remote_endpoint(ignored).address().to_string();
}

void
CallerFront::WatchForCallerClose(const ConnectionPtr& aConnection, const RequestPtr& aRequest)
{
  aConnection->socket.async_wait(
    tcp::socket::wait_read,
    [this, aConnection, weak = std::weak_ptr<Request>(aRequest)](error_code aError) {
      const RequestPtr request = weak.lock();
      if (request == nullptr || !requests_.contains(request->ticket))
        return;
      char byte = 0;
      const ssize_t received =
        aError
          ? 0
          : ::recv(
              aConnection->socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
      // A readable byte belongs to a pipelined request. It stays in the socket.
      const bool open = received > 0 || (received < 0 && errno == EAGAIN);
      if (!open)
        OnCallerGone(request);
    });
}

void
CallerFront::OnCallerGone(const RequestPtr& aRequest)
{
  metrics_.Count("requests-cancelled", Reason::CallerGone);
  Log(
    LogLevel::Info,
    kComponent,
    "caller left",
    { { "request", aRequest->head.requestId },
      { "after_ms",
        fmt::format("{:.1f}", ToMilliseconds(ReadClocks().monotonic - aRequest->arrivalTime)) } });
  aRequest->callerGone = true;
  dispatcher_.Cancel(ReadClocks().monotonic, aRequest->ticket);
  requests_.erase(aRequest->ticket);
  if (aRequest->control != nullptr)
    aRequest->control->Close(ExchangeControl::CloseReason::CallerGone);
  aRequest->wakeTimer.cancel();
}

void
CallerFront::OnTick(TimePoint aNow)
{
  const CallerLimits limits =
    view_->routes == nullptr ? kDefaultLimits : view_->routes->GetManifest().limits;
  error_code ignored; // The connection is dropped in any case.
  for (const ConnectionPtr& connection : connections_) {
    if (!IsOverdue(*connection, limits, aNow))
      continue;
    if (connection->phase == Connection::Phase::Writing) {
      // Must not look complete.
      metrics_.Count("answers-unread");
      ResetConnection(connection->socket);
    } else {
      connection->socket.close(ignored);
      connection->memoryTimer.cancel();
    }
  }
  metrics_.SetGauge("caller_connections", static_cast<double>(connections_.size()));
}

void
CallerFront::CloseIdleConnections(TimePoint aNow)
{
  error_code ignored; // The connection is dropped in any case.
  for (const ConnectionPtr& connection : connections_) {
    const bool idle = connection->phase == Connection::Phase::Idle &&
                      aNow - connection->phaseStart >= kMinIdleTime &&
                      connection->socket.available(ignored) == 0;
    if (idle)
      connection->socket.close(ignored);
  }
}

} // namespace dfm
