#include "dragonflymoor/Net/Content.h"

#include "dragonflymoor/Net/Framing.h"
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <fmt/format.h>

namespace dfm {

namespace {

/// Settings allow callers' headers of up to this size.
constexpr uint32_t kMaxContentHeaderBytes = 256 * 1024;

constexpr std::string_view kHopByHop[] = {
  "Connection",
  "Keep-Alive",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "Proxy-Connection",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Expect",
  "Content-Length",
};

/// Fields and body after the start line.
void
AppendRest(std::string& aText, const http::fields& aFields, const std::string& aBody)
{
  for (const auto& field : aFields) {
    aText.append(field.name_string());
    aText += ": ";
    aText.append(field.value());
    aText += "\r\n";
  }
  aText += fmt::format("Content-Length: {}\r\n\r\n", aBody.size());
  aText += aBody;
}

template<typename Parser>
Decoded<typename Parser::value_type>
Parse(std::string_view aBytes, std::string_view aName)
{
  Parser parser;
  parser.eager(true);
  parser.header_limit(kMaxContentHeaderBytes);
  parser.body_limit(kMaxAnswerBytes);
  boost::beast::error_code error;
  size_t consumed = 0;
  while (!error && !parser.is_done() && consumed < aBytes.size()) {
    const size_t step =
      parser.put(boost::asio::buffer(aBytes.data() + consumed, aBytes.size() - consumed), error);
    consumed += step;
    if (step == 0)
      break;
  }
  if (error)
    return tl::unexpected(CodecError{ fmt::format("{}: {}", aName, error.message()) });
  if (!parser.is_done() || consumed != aBytes.size())
    return tl::unexpected(CodecError{ fmt::format("{}: length does not match", aName) });
  typename Parser::value_type message = parser.release();
  RemoveHopByHop(message);
  return message;
}

} // namespace

void
RemoveHopByHop(http::fields& aFields)
{
  std::vector<std::string> named;
  const auto [first, last] = aFields.equal_range(http::field::connection);
  for (auto field = first; field != last; ++field) {
    for (const auto& token : http::token_list(field->value()))
      named.emplace_back(token);
  }
  for (const std::string& name : named)
    aFields.erase(name);
  for (const std::string_view name : kHopByHop)
    aFields.erase(name);
}

std::string
EncodeContent(const HttpRequest& aRequest)
{
  std::string text = fmt::format("{} {} HTTP/1.1\r\n",
                                 std::string_view(aRequest.method_string()),
                                 std::string_view(aRequest.target()));
  AppendRest(text, aRequest, aRequest.body());
  return text;
}

std::string
EncodeContent(const HttpAnswer& aAnswer)
{
  std::string text =
    fmt::format("HTTP/1.1 {} {}\r\n", aAnswer.result_int(), std::string_view(aAnswer.reason()));
  AppendRest(text, aAnswer, aAnswer.body());
  return text;
}

uint64_t
EncodedBytes(const HttpRequest& aRequest)
{
  uint64_t bytes = aRequest.body().size() + aRequest.target().size();
  for (const auto& field : aRequest)
    bytes += field.name_string().size() + field.value().size() + 4;
  return bytes;
}

Decoded<HttpRequest>
DecodeRequestContent(std::string_view aBytes)
{
  return Parse<FramedRequestParser<http::string_body>>(aBytes, "request content");
}

Decoded<HttpAnswer>
DecodeAnswerContent(std::string_view aBytes)
{
  return Parse<FramedAnswerParser<http::string_body>>(aBytes, "answer content");
}

} // namespace dfm
