#ifndef DRAGONFLYMOOR_GATEWAY_INSTANCECLIENT_H
#define DRAGONFLYMOOR_GATEWAY_INSTANCECLIENT_H

#include "dragonflymoor/Gateway/Protocol.h"
#include "dragonflymoor/Metrics/Metrics.h"
#include "dragonflymoor/Steering/Dispatcher.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dfm {

using InstanceRequest = http::request<http::string_body>;
using InstanceAnswer = http::response<http::string_body>;

/// Lets others end an exchange with an instance. Belongs to the thread of its socket.
class ExchangeControl
{
public:
  enum class End
  {
    None,
    Deadline,
    Connect, ///< No connection was opened in time.
    Abandoned,
    CallerGone,
  };

  /// Closes the connection; the exchange ends soon afterwards. The first reason counts.
  void Close(End aReason);
  End Reason() const { return reason_; }

private:
  friend class InstanceClient;

  tcp::socket* socket_ = nullptr; ///< Null while there is no connection.
  End reason_ = End::None;
  TimePoint deadline_;
  std::optional<TimePoint> connectDeadline_;
};

/// The end of an exchange, with the answer if there is a usable one.
struct InstanceExchange
{
  AttemptEndReport report;
  std::shared_ptr<InstanceAnswer> answer;
  std::string error;   ///< For the log.
  bool reused = false; ///< On a connection that served requests before.
};

struct HealthResult
{
  ProbeResult result = ProbeResult::Unreachable;
  /// How long the instance stays cold, as it states.
  Duration remainingColdTime{};
};

/// HTTP client for instances, with kept connections. A connection serves one request at a time and
/// is not used again unless exactly the whole answer arrived on it. Not thread-safe.
class InstanceClient
{
public:
  InstanceClient(asio::io_context& aContext, const Protocol& aProtocol, Metrics& aMetrics);

  /// Sends aMessage to the attempt's instance and waits for the whole answer. All referenced
  /// objects must live until the end.
  asio::awaitable<InstanceExchange> Run(const InstanceAttempt& aAttempt,
                                        const std::shared_ptr<InstanceRequest>& aMessage,
                                        const std::string& aRequestId,
                                        const std::shared_ptr<ExchangeControl>& aControl);

  /// Asks an instance for its health on a new connection.
  asio::awaitable<HealthResult> Probe(Instance aInstance, std::string aHealthPath);

  /// Ends exchanges whose time is over, and idle connections. To be called every 10 ms.
  void OnTick(TimePoint aNow);
  /// Drops the connections to all other instances.
  void KeepOnly(const std::set<BackendId>& aInstances);

private:
  struct Connection
  {
    explicit Connection(asio::io_context& aContext)
      : socket(aContext)
    {
    }

    tcp::socket socket;
    beast::flat_buffer buffer;
    Endpoint endpoint;
    TimePoint idleSince;
    Duration idleLimit{};
    bool reused = false;
  };
  /// Shared with a write that may outlast the exchange.
  using ConnectionPtr = std::shared_ptr<Connection>;

  ConnectionPtr TakeIdle(const InstanceAttempt& aAttempt);
  asio::awaitable<ConnectionPtr> Connect(const Endpoint& aEndpoint,
                                         ExchangeControl& aControl,
                                         std::string& aError);
  asio::awaitable<void> Exchange(const ConnectionPtr& aConnection,
                                 const std::shared_ptr<InstanceRequest>& aMessage,
                                 const std::string& aRequestId,
                                 ExchangeControl& aControl,
                                 InstanceExchange& aResult,
                                 bool& aReusable);
  /// Decides what the answer of a request says.
  void Judge(InstanceExchange& aResult) const;
  void GiveBack(const BackendId& aInstance, ConnectionPtr aConnection);

  asio::io_context& context_;
  const Protocol& protocol_;
  Metrics& metrics_;
  std::map<BackendId, std::vector<ConnectionPtr>> idle_;
  std::set<std::shared_ptr<ExchangeControl>> controls_;
  TimePoint nextIdleCheck_;
};

} // namespace dfm

#endif
