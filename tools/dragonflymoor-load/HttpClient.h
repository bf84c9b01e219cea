#ifndef DRAGONFLYMOOR_LOAD_HTTPCLIENT_H
#define DRAGONFLYMOOR_LOAD_HTTPCLIENT_H

#include "dragonflymoor/Fakes/HttpServer.h"
#include "dragonflymoor/Support/Time.h"
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <vector>

namespace dfm::load {

using fakes::HttpRequest;
using fakes::HttpResponse;

/// End of one exchange.
enum class ExchangeEnd
{
  ConnectFailed, ///< Nothing was sent.
  Broken,        ///< The connection ended before the whole answer.
  TimedOut,
  Answered,
};

struct Exchange
{
  ExchangeEnd end = ExchangeEnd::ConnectFailed;
  HttpResponse response; ///< Valid when the end is Answered.
};

/// HTTP/1.1 client that keeps connections. Single-threaded; must outlive its exchanges.
class HttpClient
{
public:
  explicit HttpClient(boost::asio::io_context& aIo)
    : io_(aIo)
  {
  }

  /// Sends the request and waits for the answer. A connection with an outstanding answer is never
  /// used again.
  boost::asio::awaitable<Exchange> Send(boost::asio::ip::tcp::endpoint aTo,
                                        std::shared_ptr<HttpRequest> aRequest,
                                        Duration aTimeout);

private:
  using Stream = boost::beast::tcp_stream;

  std::unique_ptr<Stream> TakeIdle(const boost::asio::ip::tcp::endpoint& aTo);

  boost::asio::io_context& io_;
  std::map<boost::asio::ip::tcp::endpoint, std::vector<std::unique_ptr<Stream>>> idle_;
};

} // namespace dfm::load

#endif
