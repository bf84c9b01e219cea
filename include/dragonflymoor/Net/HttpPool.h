#ifndef DRAGONFLYMOOR_NET_HTTPPOOL_H
#define DRAGONFLYMOOR_NET_HTTPPOOL_H

#include "dragonflymoor/Net/Asio.h"
#include "dragonflymoor/Net/Content.h"
#include "dragonflymoor/Net/Framing.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <vector>

namespace dfm {

/// Point in time for socket operations.
using SteadyTime = std::chrono::steady_clock::time_point;

/// A connection to an HTTP server, used for one request at a time.
struct HttpConnection
{
  explicit HttpConnection(asio::io_context& aContext)
    : stream(aContext)
    , buffer(MaxUnparsedBytes(kMaxAnswerHeaderBytes))
  {
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  SteadyTime idleSince;
};

using HttpConnectionPointer = std::shared_ptr<HttpConnection>;

/// Idle connections to HTTP servers, by endpoint. Belongs to the thread of its io_context.
class HttpPool
{
public:
  /// aSource is the address that connections are bound to.
  HttpPool(asio::io_context& aContext, std::optional<asio::ip::address> aSource);

  /// An idle connection that is still open, or null.
  HttpConnectionPointer TakeIdle(const Endpoint& aEndpoint);

  /// A connection that is not connected yet.
  HttpConnectionPointer Create() { return std::make_shared<HttpConnection>(context_); }

  asio::awaitable<error_code> Connect(HttpConnectionPointer aConnection,
                                      Endpoint aEndpoint,
                                      SteadyTime aDeadline);

  /// Gives a connection back after a complete answer. Precondition: no answer is outstanding.
  void Release(const Endpoint& aEndpoint, HttpConnectionPointer aConnection);

  asio::io_context& Context() { return context_; }

private:
  asio::io_context& context_;
  std::optional<asio::ip::address> source_;
  std::map<Endpoint, std::vector<HttpConnectionPointer>> idle_;
};

/// How an exchange on a connection ended.
struct ExchangeResult
{
  error_code error;
  size_t bytesSent = 0;
  bool answerStarted = false; ///< At least one byte of the answer arrived.
  bool reusable = false;
  std::optional<HttpAnswer> answer; ///< Set when the answer is complete.
};

/// Sends a request and reads its answer, of which an end that only the closing of the connection
/// marks counts as truncated. Precondition: the connection is connected and idle; aBody stays valid
/// until the end.
asio::awaitable<ExchangeResult>
Exchange(HttpConnectionPointer aConnection,
         http::request_header<> aHeader,
         std::string_view aBody,
         SteadyTime aDeadline);

/// Takes an idle connection or connects, and exchanges one request without content of callers; for
/// the store, the platform and load reports. Empty when no complete answer came in time.
asio::awaitable<std::optional<HttpAnswer>>
Fetch(HttpPool& aPool,
      Endpoint aEndpoint,
      HttpRequest aRequest,
      std::chrono::milliseconds aTimeout);

} // namespace dfm

#endif
