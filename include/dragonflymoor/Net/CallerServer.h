#ifndef DRAGONFLYMOOR_NET_CALLERSERVER_H
#define DRAGONFLYMOOR_NET_CALLERSERVER_H

#include "dragonflymoor/Engine/Engine.h"
#include "dragonflymoor/Net/CallerExchange.h"
#include "dragonflymoor/Net/CallerRequest.h"
#include "dragonflymoor/Net/Framing.h"
#include "dragonflymoor/Settings/Settings.h"
#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace dfm {

/// Route answers as callers get them, made once from each table that the engine publishes.
struct RouteAnswers
{
  std::map<std::string, std::string, std::less<>> jsonByService;
  bool ready = false;

  static std::shared_ptr<const RouteAnswers> From(const RouteTable& aTable);
};

/// State that the callers' servers of all traffic threads share. Safe to use from any thread.
struct CallerShared
{
  BoundSettings bounds;
  std::shared_ptr<BodyBudget> budget;
  std::atomic<uint32_t> connections{ 0 };
  std::atomic<uint32_t> refusedConnections{ 0 }; ///< Open only until the refusal is read.
  std::atomic<uint32_t> unfinished{ 0 };         ///< Requests whose answer is not yet written.
  std::atomic<bool> stopping{ false };           ///< Answers ask callers to close the connection.
  std::atomic<uint64_t> nextRequest{ 1 };
  std::string requestIdPrefix; ///< Makes request ids unique in the fleet.
};

/// Time limits against slow callers.
struct CallerTimeouts
{
  std::chrono::milliseconds idle{ 60'000 };   ///< Between two requests.
  std::chrono::milliseconds header{ 10'000 }; ///< From the first byte to the end of the headers.
  std::chrono::milliseconds body{ 30'000 };
  std::chrono::milliseconds write{ 30'000 };
};

/// What the callers' server asks of the rest of the daemon. All are called on its thread.
struct CallerHooks
{
  std::function<void(std::shared_ptr<CallerExchange>)> request;
  std::function<void(RequestId)> callerGone;
  std::function<void(std::string_view, Reason)> count;
};

/// HTTP server for callers on one traffic thread; belongs to that thread.
class CallerServer
{
public:
  CallerServer(std::shared_ptr<CallerShared> aShared, CallerTimeouts aTimeouts, CallerHooks aHooks);

  /// Serves a connection until it closes.
  void Serve(tcp::socket aSocket);

  void SetRoutes(std::shared_ptr<const RouteAnswers> aRoutes) { routes_ = std::move(aRoutes); }

private:
  using Parser = FramedRequestParser<http::string_body>;

  /// One connection.
  struct Connection
  {
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
  };

  asio::awaitable<void> Run(tcp::socket aSocket);
  /// False when the connection must be closed.
  asio::awaitable<bool> ServeOne(Connection& aConnection);
  asio::awaitable<bool> ServeRoute(Connection& aConnection, const HttpRequest& aRequest);
  asio::awaitable<bool> ServeService(Connection& aConnection,
                                     HttpRequest aRequest,
                                     BodyReservation aReservation);
  asio::awaitable<bool> SendAnswer(Connection& aConnection,
                                   const RequestHead& aHead,
                                   http::verb aMethod,
                                   FinalAnswer aAnswer,
                                   bool aKeepAlive);
  asio::awaitable<bool> Send(Connection& aConnection,
                             http::response_header<> aHeader,
                             std::string_view aBody,
                             http::verb aMethod,
                             bool aKeepAlive);
  asio::awaitable<bool> Reject(Connection& aConnection,
                               http::status aStatus,
                               std::string aText,
                               Reason aReason,
                               Outcome aOutcome,
                               bool aKeepAlive);
  asio::awaitable<error_code> ReadHeader(Connection& aConnection, Parser& aParser);
  /// Answers a request that could not be read, where an answer is possible.
  asio::awaitable<void> RejectUnread(Connection& aConnection,
                                     const http::request_header<>& aHeader,
                                     error_code aError);
  asio::awaitable<void> Discard(Connection& aConnection);
  /// Answers a connection beyond the bound.
  asio::awaitable<void> Refuse(Connection& aConnection);

  std::shared_ptr<CallerShared> shared_;
  CallerTimeouts timeouts_;
  CallerHooks hooks_;
  std::shared_ptr<const RouteAnswers> routes_;
};

} // namespace dfm

#endif
