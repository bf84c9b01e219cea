#include "dragonflymoor/Gateway/PageServer.h"

#include "dragonflymoor/Net/Framing.h"
#include "dragonflymoor/Net/Listen.h"
#include "dragonflymoor/Support/Log.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace dfm {

namespace {

/// Clients repeat their requests every few seconds; a connection that is idle for longer only costs
/// memory.
constexpr auto kIdleTimeout = std::chrono::seconds(30);

/// Pause after a failed accept. The usual cause is a lack of file descriptors, which an immediate
/// retry would meet again.
constexpr auto kAcceptPause = std::chrono::milliseconds(100);

/// Limit of the header of a request.
constexpr uint32_t kMaxHeaderBytes = 8192;

} // namespace

Page
MakePage(http::status aStatus, std::string_view aType, std::string aBody)
{
  Page page(aStatus, 11);
  page.set(http::field::content_type, aType);
  page.body() = std::move(aBody);
  return page;
}

PageServer::PageServer(asio::io_context& aContext, Handler aHandler, UnframedHook aOnUnframed)
  : context_(aContext)
  , handler_(std::move(aHandler))
  , onUnframed_(std::move(aOnUnframed))
  , acceptor_(aContext)
{
}

error_code
PageServer::Listen(const Endpoint& aEndpoint)
{
  return ListenOn(acceptor_, aEndpoint);
}

void
PageServer::Start()
{
  asio::co_spawn(context_, AcceptConnections(shared_from_this()), asio::detached);
}

void
PageServer::Stop()
{
  error_code ignored; // The acceptor is discarded even if closing it fails.
  acceptor_.close(ignored);
}

asio::awaitable<void>
PageServer::AcceptConnections(std::shared_ptr<PageServer> aSelf)
{
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(kAwaitTuple);
    if (error == asio::error::operation_aborted)
      co_return;
    if (error) {
      Log(LogLevel::Warning, "pages", "accept failed", { { "error", error.message() } });
      asio::steady_timer pause(context_, kAcceptPause);
      co_await pause.async_wait(kAwaitTuple);
      continue;
    }
    asio::co_spawn(context_, ServeConnection(aSelf, std::move(socket)), asio::detached);
  }
}

asio::awaitable<void>
PageServer::ServeConnection(std::shared_ptr<PageServer> aSelf, tcp::socket aSocket)
{
  SetLiveness(aSocket);
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer(MaxUnparsedBytes(kMaxHeaderBytes));
  for (;;) {
    FramedRequestParser<http::empty_body> parser;
    parser.header_limit(kMaxHeaderBytes);
    stream.expires_after(kIdleTimeout);
    auto [readError, readBytes] = co_await http::async_read(stream, buffer, parser, kAwaitTuple);
    if (const std::string_view fault = FramingFault(readError); !fault.empty())
      aSelf->onUnframed_(fault);
    if (const auto status = FramingStatus(readError)) {
      Page page = MakePage(*status, "text/plain", readError.message() + "\n");
      page.keep_alive(false);
      page.prepare_payload();
      co_await http::async_write(stream, page, kAwaitTuple);
    }
    if (readError)
      co_return;
    const auto& request = parser.get();
    const auto target = request.target();
    Page page = aSelf->handler_({ target.data(), target.size() });
    page.keep_alive(request.keep_alive());
    page.prepare_payload();
    auto [writeError, writeBytes] = co_await http::async_write(stream, page, kAwaitTuple);
    if (writeError || !page.keep_alive())
      co_return;
  }
}

} // namespace dfm
