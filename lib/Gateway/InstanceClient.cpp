#include "dragonflymoor/Gateway/InstanceClient.h"

#include "dragonflymoor/Net/Clock.h"
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

namespace dfm {

namespace {

/// Connecting to another region takes 40 ms. TCP repeats a lost first packet only after 1 s.
constexpr Duration kConnectTimeout = 250ms;

/// A health check waits for a slot like any other request.
constexpr Duration kProbeTimeout = 600ms;

/// Wait beyond the deadline, as the instance's own time-out answer may still be in transit.
constexpr Duration kDeadlineGrace = 100ms;

/// Idle time after which a connection is not reused, unless the instance states a shorter one. Only
/// a fraction of the stated time is used, as the instance may have started to count earlier.
constexpr Duration kMaxIdleTime = 4s;
constexpr double kStatedIdleTimeFraction = 0.6;

/// A request that is not idempotent reuses only connections that were idle for less than this. If
/// the instance closed an idle connection just then, it would be unknown whether the request ran.
constexpr Duration kMaxNonIdempotentIdleTime = 1500ms;

constexpr Duration kIdleCheckPeriod = 500ms;

/// Limit of idle connections to one instance. More connections than the instance has slots are
/// never needed for long.
constexpr size_t kMaxIdleConnections = 16;

/// A connection is closed after this many answers to other requests.
constexpr int kMaxForeignAnswers = 3;

/// Limit of the body of one answer.
constexpr size_t kMaxAnswerBytes = 32UL * 1024 * 1024;

/// How often an answer that waits for memory tries again.
constexpr Duration kMemoryPollPeriod = 20ms;

constexpr size_t kMaxAnswerHeaderBytes = 64UL * 1024;

/// Limit of received bytes that are not parsed yet. Without it a line of a chunked body that never
/// ends would be buffered whole.
constexpr size_t kMaxReadBufferBytes = MaxUnparsedBytes(kMaxAnswerHeaderBytes);

/// The time-out N, in seconds, of a "Keep-Alive: timeout=N" header.
std::optional<Duration>
KeepAliveTimeout(const http::fields& aFields)
{
  const auto value = aFields["Keep-Alive"];
  const std::string_view text(value.data(), value.size());
  constexpr std::string_view kName = "timeout=";
  const size_t at = text.find(kName);
  if (at == std::string_view::npos)
    return std::nullopt;
  unsigned seconds = 0;
  const char* const begin = text.data() + at + kName.size();
  const auto [end, error] = std::from_chars(begin, text.data() + text.size(), seconds);
  if (error != std::errc())
    return std::nullopt;
  return std::chrono::seconds(seconds);
}

/// Outcome of the write, which runs concurrently with the read: an instance may answer before it
/// has read a long body.
struct WriteState
{
  bool done = false;
  error_code error;
  size_t bytes = 0;
};

} // namespace

void
ExchangeControl::Close(CloseReason aReason)
{
  if (closeReason_ != CloseReason::None)
    return;
  closeReason_ = aReason;
  if (socket_ != nullptr)
    ResetConnection(*socket_);
}

InstanceClient::InstanceClient(asio::io_context& aContext,
                               const Protocol& aProtocol,
                               Metrics& aMetrics,
                               std::shared_ptr<MemoryBudget> aBudget,
                               StatementHook aOnStatement)
  : context_(aContext)
  , protocol_(aProtocol)
  , metrics_(aMetrics)
  , onStatement_(std::move(aOnStatement))
  , budget_(std::move(aBudget))
{
}

InstanceClient::Connection::Connection(asio::io_context& aContext)
  : socket(aContext)
  , buffer(kMaxReadBufferBytes)
{
}

InstanceClient::ConnectionPtr
InstanceClient::TakeIdleConnection(const InstanceAttempt& aAttempt)
{
  const auto found = idleConnections_.find(aAttempt.instance);
  if (found == idleConnections_.end())
    return nullptr;
  const TimePoint now = ReadClocks().monotonic;
  auto& connections = found->second;
  while (!connections.empty()) {
    ConnectionPtr connection = std::move(connections.back());
    connections.pop_back();
    const Duration idle = now - connection->idleSince;
    const Duration limit = aAttempt.idempotent
                             ? connection->maxIdleTime
                             : std::min(connection->maxIdleTime, kMaxNonIdempotentIdleTime);
    if (idle >= limit || connection->endpoint != aAttempt.endpoint)
      continue;
    // A connection with unsolicited bytes, or that the instance closed, is not reused.
    if (!IsIdleAndOpen(connection->socket)) {
      metrics_.Count("kept-connections-unusable");
      continue;
    }
    connection->reused = true;
    return connection;
  }
  return nullptr;
}

asio::awaitable<InstanceClient::ConnectionPtr>
InstanceClient::Connect(const Endpoint& aEndpoint, ExchangeControl& aControl, error_code& aError)
{
  auto connection = std::make_shared<Connection>(context_);
  connection->endpoint = aEndpoint;
  const tcp::endpoint target = ToTcp(aEndpoint);
  aControl.socket_ = &connection->socket;
  aControl.connectDeadline_ = ReadClocks().monotonic + kConnectTimeout;
  connection->socket.open(target.protocol(), aError);
  if (aError) {
    aControl.socket_ = nullptr;
    co_return nullptr;
  }
  SetLiveness(connection->socket);
  auto [error] = co_await connection->socket.async_connect(target, kAwaitTuple);
  aControl.connectDeadline_.reset();
  if (error || aControl.GetCloseReason() != ExchangeControl::CloseReason::None) {
    aControl.socket_ = nullptr;
    aError = error ? error : make_error_code(asio::error::operation_aborted);
    co_return nullptr;
  }
  metrics_.Count("instance-connects");
  co_return connection;
}

void
InstanceClient::CountUnframed(const error_code& aError)
{
  if (const std::string_view fault = FramingFault(aError); !fault.empty())
    metrics_.CountKind("unframed-answers", fault);
}

asio::awaitable<bool>
InstanceClient::WaitForMemory(const ExchangeControl& aControl,
                              const MemoryHold& aMemory,
                              size_t aBytes)
{
  MemoryBudget& budget = aMemory.Budget();
  if (budget.TryGrow(aMemory.Id(), aBytes))
    co_return true;
  if (!budget.IsWithinAnswerBound(aMemory.Id(), aBytes))
    co_return false;
  metrics_.Count("answers-paused-for-memory");
  asio::steady_timer timer(context_);
  while (aControl.GetCloseReason() == ExchangeControl::CloseReason::None) {
    // The exchange ends at its deadline.
    budget.Wait(aMemory.Id(), aBytes, TimePoint::max());
    timer.expires_after(kMemoryPollPeriod);
    co_await timer.async_wait(kAwaitTuple);
    if (budget.TryGrow(aMemory.Id(), aBytes))
      co_return true;
    if (!budget.IsWithinAnswerBound(aMemory.Id(), aBytes))
      co_return false;
  }
  co_return false;
}

asio::awaitable<std::string>
InstanceClient::ReadBody(Connection& aConnection,
                         AnswerParser& aParser,
                         const ExchangeControl& aControl,
                         const MemoryHold& aMemory)
{
  bool fits =
    co_await WaitForMemory(aControl, aMemory, aParser.content_length_remaining().value_or(0));
  while (fits && !aParser.is_done()) {
    auto [error, bytes] =
      co_await http::async_read_some(aConnection.socket, aConnection.buffer, aParser, kAwaitTuple);
    if (error) {
      CountUnframed(error);
      co_return error.message();
    }
    fits = co_await WaitForMemory(aControl, aMemory, aParser.get().body().capacity());
  }
  if (fits)
    co_return std::string();
  metrics_.Count("answers-too-large");
  co_return std::string("no memory for the body");
}

asio::awaitable<void>
InstanceClient::Exchange(const ConnectionPtr& aConnection,
                         const std::shared_ptr<InstanceRequest>& aMessage,
                         const std::string& aRequestId,
                         ExchangeControl& aControl,
                         InstanceExchangeResult& aResult,
                         bool& aReusable)
{
  const auto writeState = std::make_shared<WriteState>();
  http::async_write(
    aConnection->socket,
    *aMessage,
    [writeState, keep = aMessage, connection = aConnection](error_code aError, size_t aBytes) {
      writeState->done = true;
      writeState->error = aError;
      writeState->bytes = aBytes;
    });
  aResult.report.kind = AttemptEndReport::Kind::Broken;
  int foreignAnswers = 0;
  int interimAnswers = 0;
  for (;;) {
    AnswerParser parser;
    parser.body_limit(kMaxAnswerBytes);
    parser.header_limit(kMaxAnswerHeaderBytes);
    parser.skip(aMessage->method() == http::verb::head);
    auto [headError, headBytes] = co_await http::async_read_header(
      aConnection->socket, aConnection->buffer, parser, kAwaitTuple);
    if (headError) {
      CountUnframed(headError);
      aResult.error = headError.message();
      const bool nothingRead =
        headBytes == 0 && aConnection->buffer.size() == 0 && foreignAnswers == 0;
      aResult.report.reset = nothingRead && IsClosedByPeer(headError);
      if (nothingRead && writeState->done && writeState->error && writeState->bytes == 0)
        aResult.report.kind = AttemptEndReport::Kind::NotSent;
      co_return;
    }
    if (http::to_status_class(parser.get().result()) == http::status_class::informational) {
      if (++interimAnswers <= kMaxInterimAnswers)
        continue;
      aResult.error = "too many interim answers";
      co_return;
    }
    const auto memory =
      std::make_shared<MemoryHold>(budget_, ReadClocks().monotonic, BytePurpose::Answer);
    budget_->Pin(memory->Id());
    const std::string bodyError = co_await ReadBody(*aConnection, parser, aControl, *memory);
    if (!bodyError.empty()) {
      aResult.error = "answer is incomplete: " + bodyError;
      co_return;
    }
    // The write takes a reset's error from the socket when it meets it first.
    const bool endIsUncertain = parser.need_eof() && ((writeState->done && writeState->error) ||
                                                      IsReset(aConnection->socket));
    if (endIsUncertain) {
      metrics_.Count("answers-reset");
      aResult.error = "answer without a length: connection was reset";
      co_return;
    }
    const bool connectionCloses = parser.need_eof() || !parser.get().keep_alive();
    const AnswerHeaders head = protocol_.readAnswerHeaders(parser.get().result_int(), parser.get());
    // An answer without an id belongs to this request only if the connection has carried no other.
    const bool isOwnAnswer =
      head.requestId == aRequestId || (head.requestId.empty() && !aConnection->reused);
    if (!isOwnAnswer) {
      metrics_.Count("foreign-answers");
      ++foreignAnswers;
      if (connectionCloses || foreignAnswers == kMaxForeignAnswers) {
        aResult.error = "answer belongs to another request";
        co_return;
      }
      continue;
    }
    const auto idle = KeepAliveTimeout(parser.get());
    aConnection->maxIdleTime =
      idle ? std::min(kMaxIdleTime,
                      Duration(static_cast<int64_t>(static_cast<double>(Duration(*idle).count()) *
                                                    kStatedIdleTimeFraction)))
           : kMaxIdleTime;
    aReusable = foreignAnswers == 0 && !connectionCloses && writeState->done &&
                !writeState->error && aConnection->buffer.size() == 0 &&
                aControl.GetCloseReason() == ExchangeControl::CloseReason::None;
    aResult.answer = std::make_shared<InstanceAnswer>(parser.release());
    aResult.memory = memory;
    aResult.report.kind = AttemptEndReport::Kind::Answered;
    co_return;
  }
}

void
InstanceClient::EvaluateAnswer(const std::string& aRequestId, InstanceExchangeResult& aResult) const
{
  using Kind = AttemptEndReport::Kind;
  AttemptEndReport& report = aResult.report;
  report.status = aResult.answer->result_int();
  const AnswerHeaders head = protocol_.readAnswerHeaders(report.status, *aResult.answer);
  report.wrongInstance = head.wrongInstance;
  const bool namesRequest = !aRequestId.empty() && head.requestId == aRequestId;
  if ((namesRequest || head.hasReceipt) && !head.wrongInstance)
    aResult.statement = head.statement;
  if (head.notExecuted) {
    report.kind = Kind::NotExecuted;
    return;
  }
  const bool success = report.status >= 200 && report.status < 300;
  // A status that means "not run" is trusted only with the instance's not-executed header.
  const bool claimsNotRun =
    report.status == 429 || report.status == 503 || report.status == 408 || report.status == 421;
  if ((success && !head.hasReceipt) || claimsNotRun) {
    report.kind = Kind::Broken;
    aResult.error = success ? "answer has a success status but no receipt"
                            : "answer has a refusal status but no not-executed header";
    aResult.answer.reset();
  }
}

asio::awaitable<InstanceExchangeResult>
InstanceClient::SendAttempt(const InstanceAttempt& aAttempt,
                            const std::shared_ptr<InstanceRequest>& aMessage,
                            const std::string& aRequestId,
                            const std::shared_ptr<ExchangeControl>& aControl)
{
  using Kind = AttemptEndReport::Kind;
  const TimePoint started = ReadClocks().monotonic;
  InstanceExchangeResult result;
  aControl->deadline_ = aAttempt.deadline + kDeadlineGrace;
  activeControls_.insert(aControl);
  ConnectionPtr connection = TakeIdleConnection(aAttempt);
  if (connection == nullptr) {
    error_code error;
    connection = co_await Connect(aAttempt.endpoint, *aControl, error);
    if (error)
      result.error = error.message();
  }
  bool reusable = false;
  if (connection == nullptr || aControl->GetCloseReason() != ExchangeControl::CloseReason::None) {
    result.report.kind = Kind::NotSent;
  } else {
    result.reused = connection->reused;
    aControl->socket_ = &connection->socket;
    protocol_.writeAttemptHeaders(
      *aMessage,
      aAttempt.instance,
      std::max(Duration(1ms), aAttempt.deadline - ReadClocks().monotonic));
    co_await Exchange(connection, aMessage, aRequestId, *aControl, result, reusable);
  }
  aControl->socket_ = nullptr;
  activeControls_.erase(aControl);
  const bool hasWholeAnswer = result.answer != nullptr;
  if (hasWholeAnswer)
    EvaluateAnswer(aRequestId, result);
  if (result.statement)
    onStatement_({ .instance = aAttempt.instance, .startTimeMs = aAttempt.startTimeMs },
                 *result.statement);
  if (result.report.kind == Kind::Broken) {
    if (aControl->GetCloseReason() == ExchangeControl::CloseReason::Deadline)
      result.report.kind = Kind::TimedOut;
    else if (aControl->GetCloseReason() == ExchangeControl::CloseReason::Abandoned)
      result.report.kind = Kind::Abandoned;
  }
  result.report.latency = ReadClocks().monotonic - started;
  if (reusable) {
    ReturnConnection(aAttempt.instance, std::move(connection));
  } else if (connection != nullptr && hasWholeAnswer) {
    error_code ignored; // The connection is dropped; a write may still be using it.
    connection->socket.close(ignored);
  } else if (connection != nullptr) {
    ResetConnection(connection->socket);
  }
  co_return result;
}

asio::awaitable<HealthResult>
InstanceClient::CheckHealth(Instance aInstance, std::string aHealthPath)
{
  const auto control = std::make_shared<ExchangeControl>();
  control->deadline_ = ReadClocks().monotonic + kProbeTimeout;
  activeControls_.insert(control);
  HealthResult health;
  error_code error;
  ConnectionPtr connection = co_await Connect(aInstance.endpoint, *control, error);
  if (error == asio::error::connection_refused)
    health.result = ProbeResult::Refused;
  if (connection != nullptr) {
    health.result = ProbeResult::Unanswered;
    const auto message = std::make_shared<InstanceRequest>(http::verb::get, aHealthPath, 11);
    message->set(http::field::host, ToText(aInstance.endpoint));
    message->set(http::field::connection, "close");
    InstanceExchangeResult result;
    bool reusable = false;
    const std::string requestId;
    co_await Exchange(connection, message, requestId, *control, result, reusable);
    if (result.answer != nullptr) {
      const AnswerHeaders head =
        protocol_.readAnswerHeaders(result.answer->result_int(), *result.answer);
      const bool isExpectedInstance =
        head.instanceId.empty() || head.instanceId == aInstance.id.Value();
      if (head.instanceId == aInstance.id.Value())
        onStatement_({ .instance = aInstance.id, .startTimeMs = aInstance.startTimeMs },
                     head.statement);
      health.remainingColdTime = head.remainingColdTime;
      health.result = isExpectedInstance ? ProbeResult::Healthy : ProbeResult::Unhealthy;
      if (result.answer->result() != http::status::ok)
        health.result =
          head.notExecuted && isExpectedInstance ? ProbeResult::Unanswered : ProbeResult::Unhealthy;
    } else if (control->GetCloseReason() == ExchangeControl::CloseReason::None) {
      health.result = ProbeResult::Closed;
    }
  }
  if (connection != nullptr) {
    error_code ignored; // The connection is dropped in any case.
    connection->socket.close(ignored);
  }
  control->socket_ = nullptr;
  activeControls_.erase(control);
  metrics_.Count("health-checks");
  co_return health;
}

void
InstanceClient::ReturnConnection(const BackendId& aInstance, ConnectionPtr aConnection)
{
  auto& connections = idleConnections_[aInstance];
  if (connections.size() >= kMaxIdleConnections)
    return;
  aConnection->idleSince = ReadClocks().monotonic;
  connections.push_back(std::move(aConnection));
}

void
InstanceClient::OnTick(TimePoint aNow)
{
  // Close() does not resume the exchange at once, so the set does not change during the loop.
  for (const auto& control : activeControls_) {
    if (aNow >= control->deadline_)
      control->Close(ExchangeControl::CloseReason::Deadline);
    else if (control->connectDeadline_ && aNow >= *control->connectDeadline_)
      control->Close(ExchangeControl::CloseReason::ConnectTimeout);
  }
  if (aNow < nextIdleCheckTime_)
    return;
  nextIdleCheckTime_ = aNow + kIdleCheckPeriod;
  for (auto& [instance, connections] : idleConnections_) {
    std::erase_if(connections, [aNow](const ConnectionPtr& aConnection) {
      return aNow - aConnection->idleSince >= aConnection->maxIdleTime;
    });
  }
  std::erase_if(idleConnections_, [](const auto& aEntry) { return aEntry.second.empty(); });
}

void
InstanceClient::CloseIdleConnections(const BackendId& aInstance)
{
  idleConnections_.erase(aInstance);
}

} // namespace dfm
