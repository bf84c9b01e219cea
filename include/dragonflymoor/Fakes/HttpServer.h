#ifndef DRAGONFLYMOOR_FAKES_HTTPSERVER_H
#define DRAGONFLYMOOR_FAKES_HTTPSERVER_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace dfm::fakes {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Answer of a handler.
struct HttpAnswer
{
  HttpResponse response;
  /// Closes the connection after this many bytes of the body.
  std::optional<size_t> truncateBodyAt;
};

/// Parses "ip:port". Throws std::runtime_error that names the text when it is malformed.
boost::asio::ip::tcp::endpoint
ParseEndpoint(std::string_view aText);

/// Builds an answer with a JSON body.
HttpAnswer
JsonAnswer(boost::beast::http::status aStatus, std::string aBody = "{}");

/// HTTP/1.1 server of the fakes. It uses one thread: the one that runs the io_context. The object
/// must outlive the run of the io_context; Close() lets that run end.
class HttpServer
{
public:
  /// Returns the answer, or nothing to close the connection without one. When the client closes
  /// its connection, the handler is cancelled. An exception gives status 400 with its text.
  using Handler = std::function<boost::asio::awaitable<std::optional<HttpAnswer>>(HttpRequest)>;

  HttpServer(boost::asio::io_context& aIo,
             boost::asio::ip::tcp::endpoint aEndpoint,
             Handler aHandler);

  /// Starts to listen; does nothing when it listens already. Throws when the endpoint is in use.
  void Open();
  /// Stops listening and closes all connections; pending handlers are cancelled.
  void Close();
  /// Port in use, also when the constructor got port 0 and Open was called.
  uint16_t Port() const { return endpoint_.port(); }

private:
  using Socket = boost::asio::ip::tcp::socket;

  boost::asio::awaitable<void> Accept(std::shared_ptr<boost::asio::ip::tcp::acceptor> aAcceptor);
  boost::asio::awaitable<void> Serve(std::shared_ptr<Socket> aSocket);
  boost::asio::awaitable<std::optional<HttpAnswer>> Handle(HttpRequest aRequest);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint endpoint_;
  Handler handler_;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::set<std::shared_ptr<Socket>> sockets_;
};

} // namespace dfm::fakes

#endif
