#include "dragonflymoor/Gateway/InstanceClient.h"

#include "dragonflymoor/Net/Clock.h"
#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

namespace dfm {

namespace {

/// A connect to another region takes 40 ms; a lost first packet is repeated only after a second.
constexpr Duration kConnectTimeout = 250ms;

/// A health check waits for a slot like any other request.
constexpr Duration kProbeTimeout = 600ms;

/// After the deadline the instance's own answer to it may still be on its way.
constexpr Duration kDeadlineGrace = 100ms;

/// Idle time after which a connection is not used again, unless the instance states a shorter one.
/// Part of the stated time, as the instance may count from an earlier moment.
constexpr Duration kIdleLimit = 4s;
constexpr double kIdleShare = 0.6;

/// A request that must not run twice goes only on connections that were used this recently: an
/// instance that closes an idle connection at the same moment leaves open whether it ran.
constexpr Duration kUnsafeIdleLimit = 1500ms;

constexpr Duration kIdleCheckPeriod = 500ms;

/// Most idle connections to one instance; more than it has slots are never needed for long.
constexpr size_t kMaxIdle = 16;

/// Answers to other requests that are read past on one connection before it is given up.
constexpr int kMaxForeignAnswers = 3;

constexpr size_t kMaxAnswerBytes = 64UL * 1024 * 1024;
constexpr size_t kMaxAnswerHeaderBytes = 64UL * 1024;

/// Seconds of "Keep-Alive: timeout=N".
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

/// Outcome of the write, which goes on beside the read: an instance may answer before it has read a
/// long body.
struct WriteState
{
  bool done = false;
  error_code error;
  size_t bytes = 0;
};

} // namespace

void
ExchangeControl::Close(End aReason)
{
  if (reason_ != End::None)
    return;
  reason_ = aReason;
  error_code ignored; // The socket is given up in any case.
  if (socket_ != nullptr)
    socket_->close(ignored);
}

InstanceClient::InstanceClient(asio::io_context& aContext,
                               const Protocol& aProtocol,
                               Metrics& aMetrics)
  : context_(aContext)
  , protocol_(aProtocol)
  , metrics_(aMetrics)
{
}

InstanceClient::ConnectionPtr
InstanceClient::TakeIdle(const InstanceAttempt& aAttempt)
{
  const auto found = idle_.find(aAttempt.instance);
  if (found == idle_.end())
    return nullptr;
  const TimePoint now = ReadClocks().monotonic;
  auto& connections = found->second;
  while (!connections.empty()) {
    ConnectionPtr connection = std::move(connections.back());
    connections.pop_back();
    const Duration idle = now - connection->idleSince;
    const Duration limit = aAttempt.idempotent ? connection->idleLimit
                                               : std::min(connection->idleLimit, kUnsafeIdleLimit);
    if (idle >= limit || connection->endpoint != aAttempt.endpoint)
      continue;
    // Bytes that nobody asked for, or a close, end the use of the connection.
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
InstanceClient::Connect(const Endpoint& aEndpoint, ExchangeControl& aControl, std::string& aError)
{
  auto connection = std::make_shared<Connection>(context_);
  connection->endpoint = aEndpoint;
  const tcp::endpoint target = ToTcp(aEndpoint);
  aControl.socket_ = &connection->socket;
  aControl.connectDeadline_ = ReadClocks().monotonic + kConnectTimeout;
  error_code openError;
  connection->socket.open(target.protocol(), openError);
  if (openError) {
    aControl.socket_ = nullptr;
    aError = openError.message();
    co_return nullptr;
  }
  SetLiveness(connection->socket);
  auto [error] = co_await connection->socket.async_connect(target, kAwaitTuple);
  aControl.connectDeadline_.reset();
  if (error || aControl.Reason() != ExchangeControl::End::None) {
    aControl.socket_ = nullptr;
    aError = error ? error.message() : "closed";
    co_return nullptr;
  }
  metrics_.Count("instance-connects");
  co_return connection;
}

asio::awaitable<void>
InstanceClient::Exchange(const ConnectionPtr& aConnection,
                         const std::shared_ptr<InstanceRequest>& aMessage,
                         const std::string& aRequestId,
                         ExchangeControl& aControl,
                         InstanceExchange& aResult,
                         bool& aReusable)
{
  const auto write = std::make_shared<WriteState>();
  http::async_write(
    aConnection->socket,
    *aMessage,
    [write, keep = aMessage, connection = aConnection](error_code aError, size_t aBytes) {
      write->done = true;
      write->error = aError;
      write->bytes = aBytes;
    });
  aResult.report.kind = AttemptEndReport::Kind::Broken;
  for (int foreign = 0;; ++foreign) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxAnswerBytes);
    parser.header_limit(kMaxAnswerHeaderBytes);
    parser.skip(aMessage->method() == http::verb::head);
    auto [headError, headBytes] = co_await http::async_read_header(
      aConnection->socket, aConnection->buffer, parser, kAwaitTuple);
    if (headError) {
      aResult.error = headError.message();
      const bool nothingRead = headBytes == 0 && aConnection->buffer.size() == 0 && foreign == 0;
      aResult.report.reset = nothingRead;
      if (nothingRead && write->done && write->error && write->bytes == 0)
        aResult.report.kind = AttemptEndReport::Kind::NotSent;
      co_return;
    }
    auto [bodyError, bodyBytes] =
      co_await http::async_read(aConnection->socket, aConnection->buffer, parser, kAwaitTuple);
    if (bodyError) {
      aResult.error = "answer is incomplete: " + bodyError.message();
      co_return;
    }
    const bool closes = parser.need_eof() || !parser.get().keep_alive();
    const AnswerHeaders head = protocol_.readAnswerHeaders(parser.get().result_int(), parser.get());
    // An answer without an id can only be this request's when no other was ever sent here.
    const bool own =
      head.requestId == aRequestId || (head.requestId.empty() && !aConnection->reused);
    if (!own) {
      metrics_.Count("foreign-answers");
      if (closes || foreign + 1 == kMaxForeignAnswers) {
        aResult.error = "answer belongs to another request";
        co_return;
      }
      continue;
    }
    const auto idle = KeepAliveTimeout(parser.get());
    aConnection->idleLimit =
      idle ? std::min(kIdleLimit,
                      Duration(static_cast<int64_t>(static_cast<double>(Duration(*idle).count()) *
                                                    kIdleShare)))
           : kIdleLimit;
    aReusable = foreign == 0 && !closes && write->done && !write->error &&
                aConnection->buffer.size() == 0 && aControl.Reason() == ExchangeControl::End::None;
    aResult.answer = std::make_shared<InstanceAnswer>(parser.release());
    aResult.report.kind = AttemptEndReport::Kind::Answered;
    co_return;
  }
}

void
InstanceClient::Judge(InstanceExchange& aResult) const
{
  using Kind = AttemptEndReport::Kind;
  AttemptEndReport& report = aResult.report;
  report.status = aResult.answer->result_int();
  const AnswerHeaders head = protocol_.readAnswerHeaders(report.status, *aResult.answer);
  report.wrongInstance = head.wrongInstance;
  if (head.notExecuted) {
    report.kind = Kind::NotExecuted;
    return;
  }
  const bool success = report.status >= 200 && report.status < 300;
  // A status that promises "not run" is true only with the instance's statement.
  const bool falsePromise =
    report.status == 429 || report.status == 503 || report.status == 408 || report.status == 421;
  if ((success && !head.hasReceipt) || falsePromise) {
    report.kind = Kind::Broken;
    aResult.error = success ? "success without a receipt" : "refusal without the statement";
    aResult.answer.reset();
  }
}

asio::awaitable<InstanceExchange>
InstanceClient::Run(const InstanceAttempt& aAttempt,
                    const std::shared_ptr<InstanceRequest>& aMessage,
                    const std::string& aRequestId,
                    const std::shared_ptr<ExchangeControl>& aControl)
{
  using Kind = AttemptEndReport::Kind;
  const TimePoint started = ReadClocks().monotonic;
  InstanceExchange result;
  aControl->deadline_ = aAttempt.deadline + kDeadlineGrace;
  controls_.insert(aControl);
  ConnectionPtr connection = TakeIdle(aAttempt);
  if (connection == nullptr) {
    std::string error;
    connection = co_await Connect(aAttempt.endpoint, *aControl, error);
    result.error = error;
  }
  bool reusable = false;
  if (connection == nullptr || aControl->Reason() != ExchangeControl::End::None) {
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
  controls_.erase(aControl);
  if (result.answer != nullptr)
    Judge(result);
  if (result.report.kind == Kind::Broken) {
    if (aControl->Reason() == ExchangeControl::End::Deadline)
      result.report.kind = Kind::TimedOut;
    else if (aControl->Reason() == ExchangeControl::End::Abandoned)
      result.report.kind = Kind::Abandoned;
  }
  result.report.latency = ReadClocks().monotonic - started;
  if (reusable) {
    GiveBack(aAttempt.instance, std::move(connection));
  } else if (connection != nullptr) {
    error_code ignored; // The connection is given up; a write may still be using it.
    connection->socket.close(ignored);
  }
  co_return result;
}

asio::awaitable<HealthResult>
InstanceClient::Probe(Instance aInstance, std::string aHealthPath)
{
  const auto control = std::make_shared<ExchangeControl>();
  control->deadline_ = ReadClocks().monotonic + kProbeTimeout;
  controls_.insert(control);
  HealthResult health;
  std::string error;
  ConnectionPtr connection = co_await Connect(aInstance.endpoint, *control, error);
  if (connection != nullptr) {
    health.result = ProbeResult::Unanswered;
    const auto message = std::make_shared<InstanceRequest>(http::verb::get, aHealthPath, 11);
    message->set(http::field::host, ToText(aInstance.endpoint));
    message->set(http::field::connection, "close");
    InstanceExchange result;
    bool reusable = false;
    const std::string requestId;
    co_await Exchange(connection, message, requestId, *control, result, reusable);
    if (result.answer != nullptr) {
      const AnswerHeaders head =
        protocol_.readAnswerHeaders(result.answer->result_int(), *result.answer);
      const bool right = head.instanceId.empty() || head.instanceId == aInstance.id.Value();
      health.remainingColdTime = head.remainingColdTime;
      health.result = right ? ProbeResult::Healthy : ProbeResult::Unhealthy;
      if (result.answer->result() != http::status::ok)
        health.result =
          head.notExecuted && right ? ProbeResult::Unanswered : ProbeResult::Unhealthy;
    } else if (control->Reason() == ExchangeControl::End::None) {
      health.result = ProbeResult::Unreachable;
    }
  }
  if (connection != nullptr) {
    error_code ignored; // As above.
    connection->socket.close(ignored);
  }
  control->socket_ = nullptr;
  controls_.erase(control);
  metrics_.Count("health-checks");
  co_return health;
}

void
InstanceClient::GiveBack(const BackendId& aInstance, ConnectionPtr aConnection)
{
  auto& connections = idle_[aInstance];
  if (connections.size() >= kMaxIdle)
    return;
  aConnection->idleSince = ReadClocks().monotonic;
  connections.push_back(std::move(aConnection));
}

void
InstanceClient::OnTick(TimePoint aNow)
{
  // Closing may end an exchange only later, so the set does not change here.
  for (const auto& control : controls_) {
    if (aNow >= control->deadline_)
      control->Close(ExchangeControl::End::Deadline);
    else if (control->connectDeadline_ && aNow >= *control->connectDeadline_)
      control->Close(ExchangeControl::End::Connect);
  }
  if (aNow < nextIdleCheck_)
    return;
  nextIdleCheck_ = aNow + kIdleCheckPeriod;
  for (auto& [instance, connections] : idle_) {
    std::erase_if(connections, [aNow](const ConnectionPtr& aConnection) {
      return aNow - aConnection->idleSince >= aConnection->idleLimit;
    });
  }
}

void
InstanceClient::KeepOnly(const std::set<BackendId>& aInstances)
{
  std::erase_if(idle_, [&](const auto& aEntry) { return !aInstances.contains(aEntry.first); });
}

} // namespace dfm
