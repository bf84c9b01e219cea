#ifndef DRAGONFLYMOOR_GATEWAY_CALLERFRONT_H
#define DRAGONFLYMOOR_GATEWAY_CALLERFRONT_H

#include "dragonflymoor/Gateway/InstanceClient.h"
#include "dragonflymoor/Gateway/Protocol.h"
#include "dragonflymoor/Metrics/Metrics.h"
#include "dragonflymoor/Steering/Dispatcher.h"
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace dfm {

/// Serves callers over HTTP: reads their requests, submits each to the dispatcher, runs the
/// attempts that the dispatcher starts and writes the answer. Must be used on the traffic thread
/// only.
class CallerFront
{
public:
  CallerFront(asio::io_context& aContext,
              const Protocol& aProtocol,
              Dispatcher& aDispatcher,
              InstanceClient& aInstances,
              Metrics& aMetrics);
  ~CallerFront();

  /// Serves a connection until it closes.
  void Serve(tcp::socket aSocket);
  void SetView(std::shared_ptr<const FleetView> aView) { view_ = std::move(aView); }

  // Called by the dispatcher's hooks.

  void StartAttempt(const InstanceAttempt& aAttempt);
  void RefuseRequest(Ticket aTicket, const RequestRefusal& aRefusal);
  void AbandonAttempt(Ticket aTicket);

  /// Closes connections whose request header or idle time exceeds its time-out. To be called a few
  /// times a second.
  void OnTick(TimePoint aNow);
  /// From now on, each connection is closed after its next answer.
  void BeginStop() { stopping_ = true; }
  /// Closes the connections on which no request has begun to arrive for a moment.
  void CloseIdleConnections(TimePoint aNow);
  /// Number of open connections, idle ones included.
  size_t ConnectionCount() const { return connections_.size(); }
  /// Number of requests whose answer is not yet written.
  size_t UnansweredRequestCount() const { return requests_.size(); }

private:
  struct Connection;
  struct Request;
  using ConnectionPtr = std::shared_ptr<Connection>;
  using RequestPtr = std::shared_ptr<Request>;
  using Answer = http::response<http::string_body>;

  asio::awaitable<void> ServeRequests(ConnectionPtr aConnection);
  /// Reads one request. Returns false when the connection must be closed.
  asio::awaitable<bool> ReadRequest(const ConnectionPtr& aConnection, const RequestPtr& aRequest);
  /// Routes and runs the request. Returns its answer, or null when the caller closed the
  /// connection.
  asio::awaitable<std::shared_ptr<Answer>> ProcessRequest(const ConnectionPtr& aConnection,
                                                          const RequestPtr& aRequest);
  /// Brings the caller's message into the form in which instances get it.
  void PrepareMessage(Request& aRequest) const;
  static RequestSpec MakeSpec(const Request& aRequest);
  asio::awaitable<std::shared_ptr<Answer>> DispatchRequest(const RequestPtr& aRequest);
  asio::awaitable<InstanceExchangeResult> RunAttempt(const RequestPtr& aRequest,
                                                     const InstanceAttempt& aAttempt);
  void WatchForCallerClose(const ConnectionPtr& aConnection, const RequestPtr& aRequest);
  void OnCallerGone(const RequestPtr& aRequest);
  std::shared_ptr<Answer> MakeOwnAnswer(http::status aStatus,
                                        std::string_view aReason,
                                        const Request& aRequest) const;
  /// Returns an answer that says that the request did not run and when to come back.
  std::shared_ptr<Answer> MakeUnavailableAnswer(std::string_view aReason, const Request& aRequest);
  void LogRefusal(const Request& aRequest) const;
  void LogAttempt(const Request& aRequest,
                  const InstanceAttempt& aAttempt,
                  const InstanceExchangeResult& aResult,
                  Verdict aVerdict) const;

  asio::io_context& context_;
  const Protocol& protocol_;
  Dispatcher& dispatcher_;
  InstanceClient& instances_;
  Metrics& metrics_;
  std::shared_ptr<const FleetView> view_;
  std::unordered_set<ConnectionPtr> connections_;
  std::unordered_map<Ticket, RequestPtr> requests_;
  Ticket nextTicket_ = 1;
  bool stopping_ = false;
};

} // namespace dfm

#endif
