#include "dragonflymoor/Gateway/CallerFront.h"

#include "dragonflymoor/Net/Clock.h"
#include "dragonflymoor/Support/Hash.h"
#include "dragonflymoor/Support/Log.h"
#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
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

/// Hop-by-hop headers, besides those that the "Connection" header names.
constexpr std::array kConnectionHeaders{
  http::field::connection, http::field::keep_alive, http::field::proxy_connection,
  http::field::te,         http::field::trailer,    http::field::transfer_encoding,
  http::field::upgrade,
};

std::string_view
ToStringView(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

void
RemoveConnectionHeaders(http::fields& aFields)
{
  const std::string connectionTokens(ToStringView(aFields[http::field::connection]));
  for (const auto name : kConnectionHeaders)
    aFields.erase(name);
  for (const auto& token : http::token_list(connectionTokens)) {
    // A caller must not remove the headers that delimit and address the message.
    if (!beast::iequals(token, "content-length") && !beast::iequals(token, "host"))
      aFields.erase(token);
  }
}

double
ToMilliseconds(Duration aDuration)
{
  return ToSeconds(aDuration) * 1000;
}

http::status
StatusForReadError(const error_code& aError)
{
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
  return aError.category() == make_error_code(http::error::bad_method).category() &&
         aError != http::error::end_of_stream && aError != http::error::partial_message;
}

std::string_view
ToString(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::Deliver:
      return "deliver";
    case Verdict::Retry:
      return "retry";
    case Verdict::Refuse:
      return "refuse";
    case Verdict::Fail:
      return "fail";
  }
  return "unknown";
}

} // namespace

/// A caller's connection.
struct CallerFront::Connection
{
  enum class Phase
  {
    Idle,      ///< No byte of the next request has arrived.
    Header,    ///< The header is arriving.
    Body,      ///< The header is complete, the body is arriving.
    Answering, ///< A whole request has arrived.
  };

  explicit Connection(tcp::socket aSocket)
    : socket(std::move(aSocket))
  {
  }

  tcp::socket socket;
  beast::flat_buffer buffer;
  Phase phase = Phase::Idle;
  TimePoint phaseStart; ///< When the current phase began.

  void EnterPhase(Phase aPhase)
  {
    phase = aPhase;
    phaseStart = ReadClocks().monotonic;
  }
};

/// A caller's request from its arrival to its answer.
struct CallerFront::Request
{
  explicit Request(asio::io_context& aContext)
    : wakeTimer(aContext)
  {
  }

  Ticket ticket = 0;
  http::request<http::string_body> message;
  CallerHeaders head;
  std::string callerAddress;
  bool keepAlive = false;
  TimePoint arrivalTime;
  TimePoint deadline;
  std::shared_ptr<const RouteIndex> routes;
  const Route* route = nullptr;
  asio::steady_timer wakeTimer; ///< Cancelled when `attempt`, `refusal` or `callerGone` is set.
  std::optional<InstanceAttempt> attempt;
  std::optional<RequestRefusal> refusal;
  bool callerGone = false;
  std::shared_ptr<ExchangeControl> control; ///< Of the attempt in flight; null without one.
};

CallerFront::CallerFront(asio::io_context& aContext,
                         const Protocol& aProtocol,
                         Dispatcher& aDispatcher,
                         InstanceClient& aInstances,
                         Metrics& aMetrics)
  : context_(aContext)
  , protocol_(aProtocol)
  , dispatcher_(aDispatcher)
  , instances_(aInstances)
  , metrics_(aMetrics)
  , view_(std::make_shared<FleetView>())
{
}

CallerFront::~CallerFront() = default;

void
CallerFront::Serve(tcp::socket aSocket)
{
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
    auto [error, bytes] = co_await http::async_write(aConnection->socket, *answer, kAwaitTuple);
    requests_.erase(request->ticket);
    if (request->route != nullptr)
      metrics_.Observe("request",
                       "route",
                       request->route->name,
                       ToSeconds(ReadClocks().monotonic - request->arrivalTime));
    aConnection->EnterPhase(Connection::Phase::Idle);
    if (error || !keepAlive) {
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
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<uint32_t>(limits.headerBytes));
  parser.body_limit(limits.bodyBytes);
  auto [headError, headBytes] =
    co_await http::async_read_header(connection.socket, connection.buffer, parser, kAwaitTuple);
  error_code error = headError;
  if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    http::response<http::string_body> interim(http::status::continue_, 11);
    auto [writeError, bytes] = co_await http::async_write(connection.socket, interim, kAwaitTuple);
    error = writeError;
  }
  if (!error && !parser.is_done()) {
    connection.EnterPhase(Connection::Phase::Body);
    auto [bodyError, bodyBytes] =
      co_await http::async_read(connection.socket, connection.buffer, parser, kAwaitTuple);
    error = bodyError;
  }
  if (error) {
    if (IsProtocolError(error)) {
      metrics_.Count("bad-requests", Reason::BadRequest);
      Log(LogLevel::Warning, kComponent, "bad request", { { "error", error.message() } });
      http::response<http::string_body> answer(StatusForReadError(error), 11);
      answer.keep_alive(false);
      answer.prepare_payload();
      co_await http::async_write(connection.socket, answer, kAwaitTuple);
    }
    co_return false;
  }
  connection.EnterPhase(Connection::Phase::Answering);
  aRequest->keepAlive = parser.get().keep_alive();
  aRequest->message = parser.release();
  aRequest->arrivalTime = ReadClocks().monotonic;
  error_code ignored; // Without a peer the address is unspecified.
  aRequest->callerAddress = connection.socket.remote_endpoint(ignored).address().to_string();
  co_return true;
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

std::shared_ptr<CallerFront::Answer>
CallerFront::MakeOwnAnswer(http::status aStatus,
                           std::string_view aReason,
                           const Request& aRequest) const
{
  auto answer = std::make_shared<Answer>(aStatus, 11);
  answer->set(http::field::content_type, "text/plain");
  answer->body() = fmt::format("{}\n", aReason);
  answer->prepare_payload();
  metrics_.Count(fmt::format("own-answers-{}", static_cast<unsigned>(aStatus)));
  Log(LogLevel::Info,
      kComponent,
      "own answer",
      { { "request", aRequest.head.requestId },
        { "status", std::to_string(static_cast<unsigned>(aStatus)) },
        { "reason", std::string(aReason) },
        { "manifest",
          std::to_string(aRequest.routes == nullptr ? 0 : aRequest.routes->GetManifest().version) },
        { "after_ms",
          fmt::format("{:.1f}", ToMilliseconds(ReadClocks().monotonic - aRequest.arrivalTime)) } });
  return answer;
}

asio::awaitable<std::shared_ptr<CallerFront::Answer>>
CallerFront::ProcessRequest(const ConnectionPtr& aConnection, const RequestPtr& aRequest)
{
  Request& request = *aRequest;
  request.ticket = nextTicket_++;
  requests_[request.ticket] = aRequest;
  request.head = protocol_.readCallerHeaders(request.message);
  request.routes = view_->routes;
  metrics_.Count("requests");
  if (request.routes == nullptr) {
    auto answer = MakeOwnAnswer(http::status::service_unavailable, "no manifest is known", request);
    answer->set(http::field::retry_after,
                fmt::format("{:.2f}", ToSeconds(dispatcher_.RetryAfter())));
    co_return answer;
  }
  const std::string_view target = ToStringView(request.message.target());
  request.route = request.routes->Find(ToStringView(request.message[http::field::host]),
                                       target.substr(0, target.find('?')));
  if (request.route == nullptr)
    co_return MakeOwnAnswer(http::status::not_found, "no route", request);
  request.deadline = request.arrivalTime + request.route->timeout;
  if (request.head.timeout)
    request.deadline = std::min(request.deadline, request.arrivalTime + *request.head.timeout);
  WatchForCallerClose(aConnection, aRequest);
  co_return co_await DispatchRequest(aRequest);
}

asio::awaitable<std::shared_ptr<CallerFront::Answer>>
CallerFront::DispatchRequest(const RequestPtr& aRequest)
{
  Request& request = *aRequest;
  RemoveConnectionHeaders(request.message);
  request.message.erase(http::field::expect);
  if (request.message.has_content_length() || !request.message.body().empty())
    request.message.content_length(request.message.body().size());
  request.message.version(11);

  const uint64_t bodyHash = HashBytes(request.message.body());
  const std::string fingerprintInput = fmt::format("{} {} {} {} {}",
                                                   ToStringView(request.message.method_string()),
                                                   ToStringView(request.message[http::field::host]),
                                                   ToStringView(request.message.target()),
                                                   request.callerAddress,
                                                   bodyHash);
  RequestSpec spec{ .routes = request.routes,
                    .route = request.route,
                    .arrived = request.arrivalTime,
                    .deadline = request.deadline,
                    .fingerprint = HashBytes(fingerprintInput) };
  if (request.head.affinityKey)
    spec.affinity = HashBytes(*request.head.affinityKey);
  dispatcher_.Submit(ReadClocks().monotonic, request.ticket, std::move(spec));

  for (;;) {
    if (!request.attempt && !request.refusal && !request.callerGone) {
      request.wakeTimer.expires_at(asio::steady_timer::time_point::max());
      co_await request.wakeTimer.async_wait(kAwaitTuple);
      continue;
    }
    if (request.callerGone)
      co_return nullptr;
    if (request.refusal) {
      LogRefusal(request);
      auto answer = MakeOwnAnswer(
        http::status::service_unavailable, dfm::ToString(request.refusal->reason), request);
      answer->set(http::field::retry_after,
                  fmt::format("{:.2f}", ToSeconds(request.refusal->retryAfter)));
      co_return answer;
    }
    const InstanceAttempt attempt = *request.attempt;
    request.attempt.reset();
    const InstanceExchangeResult result = co_await RunAttempt(aRequest, attempt);
    if (request.callerGone)
      co_return nullptr;
    const Verdict verdict =
      dispatcher_.OnAttemptEnd(ReadClocks().monotonic, request.ticket, result.report);
    LogAttempt(request, attempt, result, verdict);
    switch (verdict) {
      case Verdict::Retry:
        metrics_.Count("retries");
        continue;
      case Verdict::Deliver: {
        RemoveConnectionHeaders(*result.answer);
        result.answer->version(11);
        const bool bodyless = request.message.method() == http::verb::head;
        if (!bodyless)
          result.answer->prepare_payload();
        co_return result.answer;
      }
      case Verdict::Refuse: {
        auto answer =
          MakeOwnAnswer(http::status::service_unavailable, "refused by the instance", request);
        const Duration delay = dispatcher_.OnRefusedCaller(
          ReadClocks().monotonic, attempt.service, *request.route, request.deadline);
        answer->set(http::field::retry_after, fmt::format("{:.2f}", ToSeconds(delay)));
        co_return answer;
      }
      case Verdict::Fail: {
        const bool timedOut = result.report.kind == AttemptEndReport::Kind::TimedOut;
        co_return MakeOwnAnswer(timedOut ? http::status::gateway_timeout
                                         : http::status::bad_gateway,
                                dfm::ToString(result.report.kind),
                                request);
      }
    }
  }
}

asio::awaitable<InstanceExchangeResult>
CallerFront::RunAttempt(const RequestPtr& aRequest, const InstanceAttempt& aAttempt)
{
  // Each attempt has its own copy, as the write of the previous attempt may not have ended.
  const auto message = std::make_shared<InstanceRequest>(aRequest->message);
  aRequest->control = std::make_shared<ExchangeControl>();
  InstanceExchangeResult result =
    co_await instances_.SendAttempt(aAttempt, message, aRequest->head.requestId, aRequest->control);
  aRequest->control.reset();
  co_return result;
}

void
CallerFront::LogAttempt(const Request& aRequest,
                        const InstanceAttempt& aAttempt,
                        const InstanceExchangeResult& aResult,
                        Verdict aVerdict) const
{
  metrics_.Count(fmt::format("attempts-{}", dfm::ToString(aResult.report.kind)));
  metrics_.Observe(
    "attempt", "service", aAttempt.service.Value(), ToSeconds(aResult.report.latency));
  metrics_.Observe("slot_wait", "service", aAttempt.service.Value(), ToSeconds(aAttempt.waited));
  Log(LogLevel::Info,
      kComponent,
      "attempt",
      { { "request", aRequest.head.requestId },
        { "route", aRequest.route->name },
        { "service", aAttempt.service.Value() },
        { "instance", aAttempt.instance.Value() },
        { "number", std::to_string(aAttempt.number) },
        { "key", aRequest.head.affinityKey.value_or("-") },
        { "manifest", std::to_string(aRequest.routes->GetManifest().version) },
        { "instances_revision", std::to_string(view_->instancesRevision) },
        { "own", std::to_string(aAttempt.ownInFlight) },
        { "busy", std::to_string(aAttempt.knownInFlight) },
        { "slots", std::to_string(aAttempt.slots) },
        { "spilled", aAttempt.spilled ? "1" : "0" },
        { "waited_ms", fmt::format("{:.1f}", ToMilliseconds(aAttempt.waited)) },
        { "latency_ms", fmt::format("{:.1f}", ToMilliseconds(aResult.report.latency)) },
        { "reused", aResult.reused ? "1" : "0" },
        { "end", std::string(dfm::ToString(aResult.report.kind)) },
        { "status", std::to_string(aResult.report.status) },
        { "error", aResult.error },
        { "verdict", std::string(ToString(aVerdict)) } });
}

void
CallerFront::LogRefusal(const Request& aRequest) const
{
  const RequestRefusal& refusal = *aRequest.refusal;
  Log(LogLevel::Info,
      kComponent,
      "refused",
      { { "request", aRequest.head.requestId },
        { "route", aRequest.route->name },
        { "service", refusal.service.Value() },
        { "reason", std::string(dfm::ToString(refusal.reason)) },
        { "manifest", std::to_string(aRequest.routes->GetManifest().version) },
        { "instances_revision", std::to_string(view_->instancesRevision) },
        { "instances", std::to_string(refusal.instances) },
        { "slots", std::to_string(refusal.slots) },
        { "busy", std::to_string(refusal.knownInFlight) },
        { "waiting", std::to_string(refusal.waiting) },
        { "waited_ms", fmt::format("{:.1f}", ToMilliseconds(refusal.waited)) },
        { "retry_after_ms", fmt::format("{:.1f}", ToMilliseconds(refusal.retryAfter)) } });
}

void
CallerFront::StartAttempt(const InstanceAttempt& aAttempt)
{
  const auto found = requests_.find(aAttempt.ticket);
  if (found == requests_.end())
    return;
  found->second->attempt = aAttempt;
  found->second->wakeTimer.cancel();
}

void
CallerFront::RefuseRequest(Ticket aTicket, const RequestRefusal& aRefusal)
{
  const auto found = requests_.find(aTicket);
  if (found == requests_.end())
    return;
  found->second->refusal = aRefusal;
  found->second->wakeTimer.cancel();
}

void
CallerFront::AbandonAttempt(Ticket aTicket)
{
  const auto found = requests_.find(aTicket);
  if (found != requests_.end() && found->second->control != nullptr)
    found->second->control->Close(ExchangeControl::CloseReason::Abandoned);
}

void
CallerFront::OnTick(TimePoint aNow)
{
  const CallerLimits limits =
    view_->routes == nullptr ? kDefaultLimits : view_->routes->GetManifest().limits;
  error_code ignored; // The connection is dropped in any case.
  for (const ConnectionPtr& connection : connections_) {
    if (connection->phase == Connection::Phase::Answering)
      continue;
    const Duration limit =
      connection->phase == Connection::Phase::Header ? limits.headerTimeout : limits.idleTimeout;
    if (aNow - connection->phaseStart >= limit)
      connection->socket.close(ignored);
  }
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
