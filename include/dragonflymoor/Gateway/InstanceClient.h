#ifndef DRAGONFLYMOOR_GATEWAY_INSTANCECLIENT_H
#define DRAGONFLYMOOR_GATEWAY_INSTANCECLIENT_H

#include "dragonflymoor/Gateway/MemoryBudget.h"
#include "dragonflymoor/Gateway/Protocol.h"
#include "dragonflymoor/Gateway/SharedBody.h"
#include "dragonflymoor/Metrics/Metrics.h"
#include "dragonflymoor/Net/Framing.h"
#include "dragonflymoor/Steering/Dispatcher.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dfm {

/// Copies share the body.
using InstanceRequest = http::request<SharedBody>;
using InstanceAnswer = http::response<http::string_body>;

/// Ends an exchange with an instance from outside of it. Must be used on the thread of the socket.
class ExchangeControl
{
public:
  enum class CloseReason
  {
    None,
    Deadline,
    ConnectTimeout, ///< No connection was established in time.
    Abandoned,
    CallerGone,
  };

  /// Closes the connection; the exchange ends soon afterwards. The first reason counts.
  void Close(CloseReason aReason);
  CloseReason GetCloseReason() const { return closeReason_; }

private:
  friend class InstanceClient;

  tcp::socket* socket_ = nullptr; ///< Null while there is no connection.
  CloseReason closeReason_ = CloseReason::None;
  TimePoint deadline_;
  std::optional<TimePoint> connectDeadline_;
};

/// How an exchange ended, with the answer if there is a usable one.
struct InstanceExchangeResult
{
  AttemptEndReport report;
  std::shared_ptr<InstanceAnswer> answer;
  std::shared_ptr<MemoryHold> memory; ///< Of the answer, pinned; null without an answer.
  /// What the answer states about the instance; empty without an answer that is surely its own.
  std::optional<InstanceStatement> statement;
  std::string error;   ///< For the log.
  bool reused = false; ///< The connection had served other requests before.
};

struct HealthResult
{
  ProbeResult result = ProbeResult::Unreachable;
  /// How long the instance stays cold, as it states.
  Duration remainingColdTime{};
};

/// HTTP client for instances that reuses connections. A connection serves one request at a time. It
/// is reused only if the whole answer, and nothing else, arrived on it. Not thread-safe.
class InstanceClient
{
public:
  /// Called for each answer that is surely the instance's own, before its exchange ends.
  using StatementHook = std::function<void(const InstanceRun&, const InstanceStatement&)>;

  /// Answers are counted in aBudget. Precondition: aBudget is not null and aOnStatement is set.
  InstanceClient(asio::io_context& aContext,
                 const Protocol& aProtocol,
                 Metrics& aMetrics,
                 std::shared_ptr<MemoryBudget> aBudget,
                 StatementHook aOnStatement);

  /// Sends aMessage to the attempt's instance and waits for the whole answer. All referenced
  /// objects must outlive the returned awaitable.
  asio::awaitable<InstanceExchangeResult> SendAttempt(
    const InstanceAttempt& aAttempt,
    const std::shared_ptr<InstanceRequest>& aMessage,
    const std::string& aRequestId,
    const std::shared_ptr<ExchangeControl>& aControl);

  /// Sends a health check to an instance on a new connection.
  asio::awaitable<HealthResult> CheckHealth(Instance aInstance, std::string aHealthPath);

  /// Closes exchanges that passed their deadline, and connections that are idle for too long. To be
  /// called every 50 ms or more often.
  void OnTick(TimePoint aNow);
  /// Closes the idle connections to an instance that was removed.
  void CloseIdleConnections(const BackendId& aInstance);

private:
  struct Connection
  {
    explicit Connection(asio::io_context& aContext);

    tcp::socket socket;
    beast::flat_buffer buffer;
    Endpoint endpoint;
    TimePoint idleSince;
    Duration maxIdleTime{};
    bool reused = false;
  };
  /// Shared, as a write may outlast its exchange.
  using ConnectionPtr = std::shared_ptr<Connection>;

  using AnswerParser = FramedAnswerParser<http::string_body>;

  ConnectionPtr TakeIdleConnection(const InstanceAttempt& aAttempt);
  asio::awaitable<ConnectionPtr> Connect(const Endpoint& aEndpoint,
                                         ExchangeControl& aControl,
                                         error_code& aError);
  /// Counts an answer that could not be framed; does nothing for other errors.
  void CountUnframed(const error_code& aError);
  /// Reads the rest of an answer whose header aParser has, as the memory budget allows. Returns an
  /// error text, which is empty when the answer is complete.
  asio::awaitable<std::string> ReadBody(Connection& aConnection,
                                        AnswerParser& aParser,
                                        const ExchangeControl& aControl,
                                        const MemoryHold& aMemory);
  /// Waits until the answer may occupy aBytes. Returns false when it never may, or when the
  /// exchange was ended.
  asio::awaitable<bool> WaitForMemory(const ExchangeControl& aControl,
                                      const MemoryHold& aMemory,
                                      size_t aBytes);
  asio::awaitable<void> Exchange(const ConnectionPtr& aConnection,
                                 const std::shared_ptr<InstanceRequest>& aMessage,
                                 const std::string& aRequestId,
                                 ExchangeControl& aControl,
                                 InstanceExchangeResult& aResult,
                                 bool& aReusable);
  /// Sets the kind of the report from the status and headers of the answer. Discards an answer that
  /// must not be delivered.
  void EvaluateAnswer(const std::string& aRequestId, InstanceExchangeResult& aResult) const;
  void ReturnConnection(const BackendId& aInstance, ConnectionPtr aConnection);

  asio::io_context& context_;
  const Protocol& protocol_;
  Metrics& metrics_;
  StatementHook onStatement_;
  std::shared_ptr<MemoryBudget> budget_;
  std::map<BackendId, std::vector<ConnectionPtr>> idleConnections_;
  std::set<std::shared_ptr<ExchangeControl>> activeControls_;
  TimePoint nextIdleCheckTime_;
};

} // namespace dfm

#endif
