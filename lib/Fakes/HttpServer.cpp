#include "dragonflymoor/Fakes/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>
#include <sstream>
#include <stdexcept>

namespace dfm::fakes {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

constexpr auto kNoThrow = asio::experimental::as_tuple(asio::use_awaitable);

/// Larger than any legal body, so that a handler sees an oversized one and rejects it itself.
constexpr uint64_t kMaxBodyBytes = 9 << 20;

/// Returns when the client has closed the connection or the socket was closed here.
asio::awaitable<void>
WaitForClose(std::shared_ptr<tcp::socket> aSocket)
{
  const auto [error] = co_await aSocket->async_wait(tcp::socket::wait_read, kNoThrow);
  if (error)
    co_return;
  char byte = 0;
  boost::system::error_code failed;
  const size_t count = aSocket->receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failed);
  if (failed || count == 0)
    co_return;
  // The client sent its next request early; it is read after the answer.
  asio::steady_timer never(aSocket->get_executor(), asio::steady_timer::time_point::max());
  co_await never.async_wait(asio::use_awaitable);
}

asio::awaitable<bool>
WriteAnswer(tcp::socket& aSocket, HttpAnswer& aAnswer)
{
  if (!aAnswer.truncateBodyAt) {
    const auto [error, count] = co_await http::async_write(aSocket, aAnswer.response, kNoThrow);
    co_return !error && aAnswer.response.keep_alive();
  }
  std::ostringstream text;
  text << aAnswer.response.base() << aAnswer.response.body().substr(0, *aAnswer.truncateBodyAt);
  const std::string bytes = text.str();
  co_await asio::async_write(aSocket, asio::buffer(bytes), kNoThrow);
  co_return false;
}

} // namespace

tcp::endpoint
ParseEndpoint(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  uint16_t port = 0;
  boost::system::error_code error;
  asio::ip::address address;
  bool ok = colon != std::string_view::npos;
  if (ok) {
    address = asio::ip::make_address(std::string(aText.substr(0, colon)), error);
    const char* end = aText.data() + aText.size();
    const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
    ok = !error && parsed.ec == std::errc() && parsed.ptr == end;
  }
  if (!ok)
    throw std::runtime_error(fmt::format("\"{}\" is not an endpoint \"ip:port\"", aText));
  return { address, port };
}

HttpAnswer
JsonAnswer(http::status aStatus, std::string aBody)
{
  HttpAnswer answer;
  answer.response.result(aStatus);
  answer.response.set(http::field::content_type, "application/json");
  answer.response.body() = std::move(aBody);
  return answer;
}

HttpServer::HttpServer(asio::io_context& aIo, tcp::endpoint aEndpoint, Handler aHandler)
  : io_(aIo)
  , endpoint_(std::move(aEndpoint))
  , handler_(std::move(aHandler))
{
}

void
HttpServer::Open()
{
  if (acceptor_)
    return;
  try {
    acceptor_ = std::make_shared<tcp::acceptor>(io_, endpoint_, true);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error(fmt::format("cannot listen on {}:{}: {}",
                                         endpoint_.address().to_string(),
                                         endpoint_.port(),
                                         error.code().message()));
  }
  endpoint_ = acceptor_->local_endpoint();
  asio::co_spawn(io_, Accept(acceptor_), asio::detached);
}

void
HttpServer::Close()
{
  boost::system::error_code ignored;
  if (acceptor_)
    acceptor_->close(ignored);
  acceptor_.reset();
  for (const auto& socket : sockets_)
    socket->close(ignored);
}

asio::awaitable<void>
HttpServer::Accept(std::shared_ptr<tcp::acceptor> aAcceptor)
{
  while (aAcceptor->is_open()) {
    auto socket = std::make_shared<tcp::socket>(io_);
    const auto [error] = co_await aAcceptor->async_accept(*socket, kNoThrow);
    if (error)
      continue;
    boost::system::error_code ignored;
    socket->set_option(tcp::no_delay(true), ignored);
    sockets_.insert(socket);
    asio::co_spawn(io_, Serve(socket), asio::detached);
  }
}

asio::awaitable<void>
HttpServer::Serve(std::shared_ptr<tcp::socket> aSocket)
{
  boost::beast::flat_buffer buffer;
  bool open = true;
  while (open) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    const auto [error, count] = co_await http::async_read(*aSocket, buffer, parser, kNoThrow);
    if (error)
      break;
    HttpRequest request = parser.release();
    const bool keepAlive = request.keep_alive();
    const unsigned version = request.version();
    auto result = co_await (Handle(std::move(request)) || WaitForClose(aSocket));
    if (result.index() != 0 || !std::get<0>(result))
      break;
    HttpAnswer answer = std::move(*std::get<0>(result));
    answer.response.version(version);
    answer.response.keep_alive(keepAlive);
    answer.response.prepare_payload();
    open = co_await WriteAnswer(*aSocket, answer);
  }
  boost::system::error_code ignored;
  aSocket->shutdown(tcp::socket::shutdown_both, ignored);
  aSocket->close(ignored);
  sockets_.erase(aSocket);
}

asio::awaitable<std::optional<HttpAnswer>>
HttpServer::Handle(HttpRequest aRequest)
{
  try {
    co_return co_await handler_(std::move(aRequest));
  } catch (const std::exception& error) {
    co_return JsonAnswer(http::status::bad_request,
                         boost::json::serialize(boost::json::object{ { "error", error.what() } }));
  }
}

} // namespace dfm::fakes
