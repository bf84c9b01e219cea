#ifndef DRAGONFLYMOOR_NET_CONTENT_H
#define DRAGONFLYMOOR_NET_CONTENT_H

#include "dragonflymoor/Net/BodyBudget.h"
#include "dragonflymoor/Wire/Codec.h"
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace dfm {

namespace http = boost::beast::http;

/// End-to-end content: without hop-by-hop headers and without Content-Length, which each hop
/// derives from the body.
using HttpRequest = http::request<http::string_body>;
using HttpAnswer = http::response<http::string_body>;

/// Bytes of an answer body that are buffered at most.
constexpr uint64_t kMaxAnswerBytes = 8ULL * 1024 * 1024;
/// Bytes of an answer's status line and headers.
constexpr uint32_t kMaxAnswerHeaderBytes = 64 * 1024;

/// A request whose body counts against the budget for as long as anyone refers to it.
struct StoredRequest
{
  HttpRequest message;
  BodyReservation reservation;
};

/// A complete answer of a backend server.
struct StoredAnswer
{
  HttpAnswer message;
  BodyReservation reservation;
};

using RequestPointer = std::shared_ptr<const StoredRequest>;
using AnswerPointer = std::shared_ptr<const StoredAnswer>;

/// Removes headers that concern one connection only: those of RFC 9110 section 7.6.1, those that
/// Connection names, and Content-Length.
void
RemoveHopByHop(http::fields& aFields);

/// Content as an HTTP/1.1 message, the format of ForwardRequest and ForwardReply.
std::string
EncodeContent(const HttpRequest& aRequest);
std::string
EncodeContent(const HttpAnswer& aAnswer);

/// Bytes of a request on a link between VMs, without the frame around it.
uint64_t
EncodedBytes(const HttpRequest& aRequest);

/// Inverse of EncodeContent; bytes of a faulty peer give an error.
Decoded<HttpRequest>
DecodeRequestContent(std::string_view aBytes);
Decoded<HttpAnswer>
DecodeAnswerContent(std::string_view aBytes);

} // namespace dfm

#endif
