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

/// Serves callers: reads their requests, hands each to the dispatcher, carries out its attempts and
/// writes the answer. Belongs to the traffic thread.
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

  // Actions of the dispatcher.
  void Start(const InstanceAttempt& aAttempt);
  void Refuse(Ticket aTicket, const RequestRefusal& aRefusal);
  void Abandon(Ticket aTicket);

  /// Closes connections of callers that are too slow or idle. To be called a few times a second.
  void OnTick(TimePoint aNow);
  /// From now on each answer closes its connection.
  void BeginStop() { stopping_ = true; }
  /// Closes the connections that carry no request.
  void CloseIdle();
  /// Requests whose answer is not yet written.
  size_t Unanswered() const { return requests_.size(); }

private:
  struct Connection;
  struct Request;
  using ConnectionPtr = std::shared_ptr<Connection>;
  using RequestPtr = std::shared_ptr<Request>;
  using Answer = http::response<http::string_body>;

  asio::awaitable<void> Run(ConnectionPtr aConnection);
  /// Reads one request; false when the connection ends.
  asio::awaitable<bool> Read(const ConnectionPtr& aConnection, const RequestPtr& aRequest);
  /// The answer; null when the caller has left.
  asio::awaitable<std::shared_ptr<Answer>> AnswerTo(const ConnectionPtr& aConnection,
                                                    const RequestPtr& aRequest);
  asio::awaitable<std::shared_ptr<Answer>> Dispatch(const RequestPtr& aRequest);
  asio::awaitable<InstanceExchange> Execute(const RequestPtr& aRequest,
                                            const InstanceAttempt& aAttempt);
  void WatchCaller(const ConnectionPtr& aConnection, const RequestPtr& aRequest);
  void OnCallerGone(const RequestPtr& aRequest);
  std::shared_ptr<Answer> OwnAnswer(http::status aStatus,
                                    std::string_view aReason,
                                    const Request& aRequest) const;
  void LogRefusal(const Request& aRequest) const;
  void LogAttempt(const Request& aRequest,
                  const InstanceAttempt& aAttempt,
                  const InstanceExchange& aResult,
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
