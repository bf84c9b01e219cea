#ifndef DRAGONFLYMOOR_GATEWAY_CALLERFRONT_H
#define DRAGONFLYMOOR_GATEWAY_CALLERFRONT_H

#include "dragonflymoor/Gateway/InstanceClient.h"
#include "dragonflymoor/Gateway/Protocol.h"
#include "dragonflymoor/Metrics/Metrics.h"
#include "dragonflymoor/Net/Framing.h"
#include "dragonflymoor/Steering/Dispatcher.h"
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace dfm {

struct CallerFrontOptions
{
  std::shared_ptr<MemoryBudget> memory; ///< Must not be null.
  size_t maxConnections = SIZE_MAX;     ///< Callers' connections at once.
};

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
              Metrics& aMetrics,
              CallerFrontOptions aOptions);
  ~CallerFront();

  /// Serves a connection until it closes. At the bound of connections, one that makes no progress
  /// is closed in its favour, or else it is closed at once.
  void Serve(tcp::socket aSocket);
  void SetView(std::shared_ptr<const FleetView> aView) { view_ = std::move(aView); }

  // Called by the dispatcher's hooks.

  void StartAttempt(const InstanceAttempt& aAttempt);
  void RefuseRequest(Ticket aTicket, const RequestRefusal& aRefusal);
  void AbandonAttempt(Ticket aTicket);

  /// Closes connections whose request header or idle time exceeds its time-out. To be called a few
  /// times a second.
  void OnTick(TimePoint aNow);
  /// Lets requests that wait for memory go on, and takes memory back where the budget says so. To
  /// be called every 50 ms or more often.
  void OnMemoryTick(TimePoint aNow);
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
  using RequestParser = FramedRequestParser<SegmentedBody>;

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
  asio::awaitable<void> AnswerBadRequest(Connection& aConnection, error_code aError);
  /// Moves the message that the parser has read whole into aRequest. aMemory is that of its body;
  /// null without one.
  void TakeRequest(Connection& aConnection,
                   RequestParser& aParser,
                   std::shared_ptr<MemoryHold> aMemory,
                   Request& aRequest);
  /// Reads the body of a request whose head has arrived, as the memory budget allows. Sets
  /// Connection::refused when there is no memory for it; the error is then of no meaning.
  asio::awaitable<error_code> ReadBody(const ConnectionPtr& aConnection, RequestParser& aParser);
  /// Waits until aBytes are available for the connection's request. Returns false when it is
  /// refused or closed.
  asio::awaitable<bool> WaitForMemory(const ConnectionPtr& aConnection,
                                      size_t aBytes,
                                      TimePoint aGiveUp);
  /// Answers that the request did not run, and closes the connection without resetting it.
  asio::awaitable<void> RefuseForMemory(const ConnectionPtr& aConnection);
  /// Writes an answer; returns whether all of it was written.
  asio::awaitable<bool> WriteAnswer(const ConnectionPtr& aConnection,
                                    const RequestPtr& aRequest,
                                    Answer& aAnswer);
  /// Closes the connection that has made no progress for the longest. Returns false when each makes
  /// progress.
  bool CloseLeastUseful(TimePoint aNow);
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
  CallerFrontOptions options_;
  std::shared_ptr<const FleetView> view_;
  std::unordered_set<ConnectionPtr> connections_;
  std::unordered_map<Ticket, RequestPtr> requests_;
  Ticket nextTicket_ = 1;
  bool stopping_ = false;
};

} // namespace dfm

#endif
