#ifndef DRAGONFLYMOOR_GATEWAY_PAGESERVER_H
#define DRAGONFLYMOOR_GATEWAY_PAGESERVER_H

#include "dragonflymoor/Gateway/Protocol.h"
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace dfm {

using Page = http::response<http::string_body>;

/// Creates an HTTP/1.1 response with the given content type and body. Safe to call from any thread.
Page
MakePage(http::status aStatus, std::string_view aType, std::string aBody);

/// HTTP server that answers GET requests from memory: readiness, directory, metrics. Must be used
/// on the thread of its io_context.
class PageServer : public std::enable_shared_from_this<PageServer>
{
public:
  /// Creates the response to a request for aTarget, the request target with its query.
  using Handler = std::function<Page(std::string_view aTarget)>;
  /// Called with the kind of fault (FramingFault) of each request that cannot be framed.
  using UnframedHook = std::function<void(std::string_view aFault)>;

  PageServer(asio::io_context& aContext, Handler aHandler, UnframedHook aOnUnframed);

  /// Binds the port. Connections are accepted only after Start().
  error_code Listen(const Endpoint& aEndpoint);
  void Start();
  /// Stops accepting connections. Open connections are still served.
  void Stop();

private:
  asio::awaitable<void> AcceptConnections(std::shared_ptr<PageServer> aSelf);
  asio::awaitable<void> ServeConnection(std::shared_ptr<PageServer> aSelf, tcp::socket aSocket);

  asio::io_context& context_;
  Handler handler_;
  UnframedHook onUnframed_;
  tcp::acceptor acceptor_;
};

} // namespace dfm

#endif
