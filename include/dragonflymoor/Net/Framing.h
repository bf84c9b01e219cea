#ifndef DRAGONFLYMOOR_NET_FRAMING_H
#define DRAGONFLYMOOR_NET_FRAMING_H

#include "dragonflymoor/Net/Asio.h"
#include <boost/beast/http/parser.hpp>
#include <optional>
#include <string_view>

namespace dfm {

namespace http = beast::http;

/// Why it cannot be told where a message ends (RFC 9112, section 6). Parsers that disagree about it
/// allow request smuggling: a second request hidden in the body of the first.
enum class FramingError
{
  UnknownCoding = 1,  ///< A transfer coding other than chunked.
  BadCoding,          ///< Transfer-Encoding is malformed, or chunked is not last or is repeated.
  CodingWithLength,   ///< Transfer-Encoding beside Content-Length.
  CodingInOldVersion, ///< Transfer-Encoding in HTTP/1.0.
  BadLength,          ///< Content-Length is malformed or states unequal lengths.
  FoldedLine,         ///< A field line is continued on the next line.
  BadExtension,       ///< A chunk extension contains a control character.
  UnexpectedBody,     ///< An answer whose status allows no body states one.
  ProtocolSwitch,     ///< Status 101: what follows is not HTTP. No program here asks for it.
  InvalidStatus,      ///< The status of an answer is not from 100 to 599.
};

/// Safe to call from any thread.
error_code
make_error_code(FramingError aError);

/// Decides whether the end of a request is certain from its fields. Returns no error or one of
/// FramingError. Fields whose names or values contain control characters are not expected, as the
/// parser rejects them. Safe to call from any thread.
error_code
CheckRequestFraming(const http::request_header<>& aHeader);

/// As CheckRequestFraming, for an answer to a request of any method. An answer without a length
/// that ends when the connection closes is valid.
error_code
CheckAnswerFraming(const http::response_header<>& aHeader);

/// Checks a field line for obsolete folding, which Beast replaces by a space without an error.
/// Precondition: aName lies in the bytes received, followed by a colon and the rest of the line;
/// aValue is the value that Beast read from it. Safe to call from any thread.
error_code
CheckFieldLine(std::string_view aName, std::string_view aValue);

/// Checks the extensions of a chunk. Beast accepts any byte in a quoted value, where another parser
/// may see the end of the line. Safe to call from any thread.
error_code
CheckChunkExtensions(std::string_view aExtensions);

/// Kind of fault for metrics, if aError says that a message could not be framed: an error of
/// FramingError, or one of Beast for a length, coding, line, chunk or too many bytes without an
/// end. Empty for every other error. Safe to call from any thread.
std::string_view
FramingFault(const error_code& aError);

/// The status for a request that was rejected with an error of FramingError: 501 for a coding that
/// is not understood, else 400. Nothing for every other error. Safe to call from any thread.
std::optional<http::status>
FramingStatus(const error_code& aError);

/// Bound on interim answers (1xx) to one request.
constexpr int kMaxInterimAnswers = 16;

/// Bound on received bytes that are not parsed yet, for the buffer of a connection whose headers
/// are bounded by aHeaderBytes. The parser waits for the whole of a chunk-size line with its
/// extensions and for all trailers, which no other limit bounds.
constexpr size_t
MaxUnparsedBytes(size_t aHeaderBytes)
{
  return 2 * aHeaderBytes;
}

/// Parser for all messages that the programs read: Beast's, with the checks above made before
/// anything of the message is used. Trailers are checked and discarded: Beast would add them to the
/// header, where a field counts that was not there when the header was checked. The buffer that it
/// reads from must be bounded (MaxUnparsedBytes). After an error the connection must not be read
/// any further. on_chunk_header has no effect. Not thread-safe.
template<bool isRequest, class Body>
class FramedParser : public http::parser<isRequest, Body>
{
private:
  void on_field_impl(http::field aName,
                     beast::string_view aNameText,
                     beast::string_view aValue,
                     error_code& aError) override
  {
    aError =
      CheckFieldLine({ aNameText.data(), aNameText.size() }, { aValue.data(), aValue.size() });
    if (!aError && !inTrailers_)
      this->get().insert(aName, aNameText, aValue);
  }

  void on_header_impl(error_code& aError) override
  {
    if constexpr (isRequest)
      aError = CheckRequestFraming(this->get());
    else
      aError = CheckAnswerFraming(this->get());
  }

  void on_chunk_header_impl(uint64_t aSize,
                            beast::string_view aExtensions,
                            error_code& aError) override
  {
    inTrailers_ = aSize == 0;
    aError = CheckChunkExtensions({ aExtensions.data(), aExtensions.size() });
  }

  bool inTrailers_ = false;
};

template<class Body>
using FramedRequestParser = FramedParser<true, Body>;
template<class Body>
using FramedAnswerParser = FramedParser<false, Body>;

} // namespace dfm

template<>
struct boost::system::is_error_code_enum<dfm::FramingError> : std::true_type
{
};

#endif
