#include "HttpClient.h"

#include "dragonflymoor/Net/FinalAnswer.h"
#include <algorithm>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <functional>
#include <optional>
#include <tuple>

namespace dfm::load {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr auto kNoThrow = asio::experimental::as_tuple(asio::use_awaitable);
constexpr Duration kConnectTimeout = 1s;
constexpr uint64_t kMaxAnswerBytes = 16 << 20;
constexpr uint32_t kMaxHeaderBytes = 64 * 1024;

/// Whether the peer has closed the connection or sent something without being asked.
bool
IsStale(tcp::socket& aSocket)
{
  boost::system::error_code error;
  char byte = 0;
  aSocket.non_blocking(true, error);
  aSocket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

} // namespace

std::unique_ptr<beast::tcp_stream>
HttpClient::TakeIdle(const tcp::endpoint& aTo)
{
  auto& streams = idle_[aTo];
  while (!streams.empty()) {
    std::unique_ptr<Stream> stream = std::move(streams.back());
    streams.pop_back();
    if (!IsStale(stream->socket()))
      return stream;
  }
  return nullptr;
}

asio::awaitable<Exchange>
HttpClient::Send(tcp::endpoint aTo, std::shared_ptr<HttpRequest> aRequest, Duration aTimeout)
{
  Exchange exchange;
  std::unique_ptr<Stream> stream = TakeIdle(aTo);
  if (!stream) {
    stream = std::make_unique<Stream>(io_);
    stream->expires_after(std::min(kConnectTimeout, aTimeout));
    const auto [error] = co_await stream->async_connect(aTo, kNoThrow);
    if (error)
      co_return exchange;
    beast::error_code ignored;
    stream->socket().set_option(tcp::no_delay(true), ignored);
  }
  exchange.end = ExchangeEnd::Broken;
  stream->expires_after(aTimeout);
  const auto [writeError, written] = co_await http::async_write(*stream, *aRequest, kNoThrow);
  if (writeError == beast::error::timeout)
    exchange.end = ExchangeEnd::TimedOut;
  if (writeError)
    co_return exchange;
  beast::flat_buffer buffer(MaxUnparsedBytes(kMaxHeaderBytes));
  using Parser = FramedAnswerParser<http::string_body>;
  std::optional<Parser> parser;
  const std::function<void(Parser&)> prepare = [](Parser& aParser) {
    aParser.header_limit(kMaxHeaderBytes);
    aParser.body_limit(kMaxAnswerBytes);
  };
  error_code readError = co_await ReadFinalHeader(*stream, buffer, parser, prepare);
  if (!readError)
    std::tie(readError, std::ignore) =
      co_await http::async_read(*stream, buffer, *parser, kAwaitTuple);
  if (readError == beast::error::timeout)
    exchange.end = ExchangeEnd::TimedOut;
  if (readError)
    co_return exchange;
  exchange.end = ExchangeEnd::Answered;
  exchange.response = parser->release();
  if (exchange.response.keep_alive() && buffer.size() == 0) {
    stream->expires_never();
    idle_[aTo].push_back(std::move(stream));
  }
  co_return exchange;
}

} // namespace dfm::load
