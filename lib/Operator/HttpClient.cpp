#include "dragonflymoor/Operator/HttpClient.h"

#include "dragonflymoor/Net/FinalAnswer.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <fmt/format.h>
#include <functional>

namespace dfm {

namespace {

constexpr uint64_t kMaxBodyBytes = 16ULL * 1024 * 1024;
constexpr uint32_t kMaxHeaderBytes = 64 * 1024;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number number = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (error != std::errc() || end != aText.data() + aText.size() || aText.empty())
    return std::nullopt;
  return number;
}

asio::awaitable<Response>
Talk(Endpoint aServer, Request aRequest, Duration aTimeout)
{
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(aTimeout);
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(aServer.address), aServer.port);
  co_await stream.async_connect(endpoint, asio::use_awaitable);
  co_await http::async_write(stream, aRequest, asio::use_awaitable);
  beast::flat_buffer buffer(MaxUnparsedBytes(kMaxHeaderBytes));
  using Parser = FramedAnswerParser<http::string_body>;
  std::optional<Parser> parser;
  const std::function<void(Parser&)> prepare = [](Parser& aParser) {
    aParser.header_limit(kMaxHeaderBytes);
    aParser.body_limit(kMaxBodyBytes);
  };
  const error_code error = co_await ReadFinalHeader(stream, buffer, parser, prepare);
  if (error)
    throw boost::system::system_error(error);
  co_await http::async_read(stream, buffer, *parser, asio::use_awaitable);
  co_return parser->release();
}

/// Empty when the exchange did not end with a complete answer in time.
std::optional<Response>
Exchange(const Endpoint& aServer, Request aRequest, Duration aTimeout)
{
  aRequest.set(http::field::host, fmt::format("{}:{}", aServer.address, aServer.port));
  aRequest.prepare_payload();
  std::optional<Response> response;
  asio::io_context io;
  asio::co_spawn(io,
                 Talk(aServer, std::move(aRequest), aTimeout),
                 [&](const std::exception_ptr& aError, Response aResponse) {
                   if (!aError)
                     response = std::move(aResponse);
                 });
  io.run();
  return response;
}

uint64_t
VersionOf(const Response& aResponse)
{
  std::string_view tag = aResponse[http::field::etag];
  if (tag.size() >= 2 && tag.front() == '"' && tag.back() == '"')
    tag = tag.substr(1, tag.size() - 2);
  return ParseNumber<uint64_t>(tag).value_or(0);
}

Request
MakeRequest(const StoreCall& aCall)
{
  Request request(http::verb::get, "/objects/" + aCall.object, 11);
  if (aCall.kind != StoreCall::Kind::Put)
    return request;
  request.method(http::verb::put);
  if (aCall.expectedVersion == 0)
    request.set(http::field::if_none_match, "*");
  else
    request.set(http::field::if_match, fmt::format("\"{}\"", aCall.expectedVersion));
  request.body() = aCall.content;
  return request;
}

} // namespace

std::optional<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::string_view address = aText.substr(0, colon);
  const bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
  if (bracketed)
    address = address.substr(1, address.size() - 2);
  boost::system::error_code error;
  const auto parsed = asio::ip::make_address(std::string(address), error);
  const auto port = ParseNumber<uint16_t>(aText.substr(colon + 1));
  if (error || parsed.is_v6() != bracketed || !port || *port == 0)
    return std::nullopt;
  return Endpoint{ .address = std::string(address), .port = *port };
}

std::optional<std::string>
FetchPage(const Endpoint& aServer, const std::string& aTarget, Duration aTimeout)
{
  auto response = Exchange(aServer, Request(http::verb::get, aTarget, 11), aTimeout);
  if (!response || response->result() != http::status::ok)
    return std::nullopt;
  return std::move(response->body());
}

StoreResult
CallStore(const Endpoint& aStore, const StoreCall& aCall, Duration aTimeout)
{
  StoreResult result;
  auto response = Exchange(aStore, MakeRequest(aCall), aTimeout);
  if (!response)
    return result;
  switch (response->result()) {
    case http::status::ok:
    case http::status::created:
      result.version = VersionOf(*response);
      // Without a version, nothing can be updated conditionally.
      result.status = result.version == 0 ? StoreStatus::NoAnswer : StoreStatus::Ok;
      result.content = std::move(response->body());
      return result;
    case http::status::precondition_failed:
      result.status = StoreStatus::Conflict;
      return result;
    case http::status::not_found:
      result.status = StoreStatus::NotFound;
      return result;
    default:
      return result;
  }
}

} // namespace dfm
