#include "dragonflymoor/Net/Framing.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <charconv>

namespace dfm {

namespace {

class Category : public boost::system::error_category
{
public:
  const char* name() const noexcept override { return "framing"; }

  std::string message(int aValue) const override
  {
    switch (static_cast<FramingError>(aValue)) {
      case FramingError::UnknownCoding:
        return "transfer coding is not understood";
      case FramingError::BadCoding:
        return "bad transfer coding";
      case FramingError::CodingWithLength:
        return "both a transfer coding and a length";
      case FramingError::CodingInOldVersion:
        return "transfer coding in HTTP/1.0";
      case FramingError::BadLength:
        return "bad or unequal lengths";
      case FramingError::FoldedLine:
        return "folded field line";
      case FramingError::BadExtension:
        return "control character in a chunk extension";
      case FramingError::UnexpectedBody:
        return "body in an answer whose status allows none";
      case FramingError::ProtocolSwitch:
        return "unexpected switch of protocols";
      case FramingError::InvalidStatus:
        return "invalid status";
    }
    return "unknown";
  }
};

const Category kCategory;

constexpr std::string_view kBlanks = " \t";

std::string_view
ToView(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::string_view
Trim(std::string_view aText)
{
  const size_t first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos)
    return {};
  return aText.substr(first, aText.find_last_not_of(kBlanks) - first + 1);
}

/// Calls aVisit with each element of the comma-separated list in the fields of a name, which may be
/// empty, until it returns an error. aVisit is not called if there is no such field.
template<typename Visit>
error_code
ForEachElement(const http::fields& aFields, http::field aName, Visit aVisit)
{
  const auto [first, last] = aFields.equal_range(aName);
  for (auto field = first; field != last; ++field) {
    std::string_view rest = ToView(field->value());
    for (;;) {
      const size_t comma = rest.find(',');
      if (const error_code error = aVisit(Trim(rest.substr(0, comma))))
        return error;
      if (comma == std::string_view::npos)
        break;
      rest.remove_prefix(comma + 1);
    }
  }
  return {};
}

bool
IsToken(std::string_view aText)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [&](char aChar) {
    return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'z') ||
           (aChar >= 'A' && aChar <= 'Z') || kMarks.find(aChar) != std::string_view::npos;
  });
}

/// What the fields of a message state about its end.
struct Framing
{
  bool hasCoding = false;
  bool chunked = false;
  bool hasUnknownCoding = false;
  std::optional<uint64_t> length;
  error_code error;
};

error_code
AddCoding(Framing& aFraming, std::string_view aElement)
{
  aFraming.hasCoding = true;
  const size_t end = aElement.find(';');
  const std::string_view name = Trim(aElement.substr(0, end));
  // chunked must be the last coding and has no parameters.
  if (!IsToken(name) || aFraming.chunked)
    return FramingError::BadCoding;
  if (!beast::iequals({ name.data(), name.size() }, "chunked")) {
    aFraming.hasUnknownCoding = true;
    return {};
  }
  if (end != std::string_view::npos)
    return FramingError::BadCoding;
  aFraming.chunked = true;
  return {};
}

error_code
AddLength(Framing& aFraming, std::string_view aElement)
{
  uint64_t length = 0;
  const char* const end = aElement.data() + aElement.size();
  const auto [parsedEnd, error] = std::from_chars(aElement.data(), end, length);
  const bool valid = !aElement.empty() && error == std::errc() && parsedEnd == end;
  if (!valid || (aFraming.length && *aFraming.length != length))
    return FramingError::BadLength;
  aFraming.length = length;
  return {};
}

Framing
ReadFraming(const http::fields& aFields, unsigned aVersion)
{
  Framing framing;
  framing.error =
    ForEachElement(aFields, http::field::transfer_encoding, [&](std::string_view aElement) {
      return AddCoding(framing, aElement);
    });
  if (framing.error)
    return framing;
  framing.error =
    ForEachElement(aFields, http::field::content_length, [&](std::string_view aElement) {
      return AddLength(framing, aElement);
    });
  if (framing.error)
    return framing;
  if (framing.hasCoding && framing.length)
    framing.error = FramingError::CodingWithLength;
  else if (framing.hasCoding && aVersion < 11)
    framing.error = FramingError::CodingInOldVersion;
  else if (framing.hasUnknownCoding)
    framing.error = FramingError::UnknownCoding;
  return framing;
}

} // namespace

error_code
make_error_code(FramingError aError)
{
  return { static_cast<int>(aError), kCategory };
}

error_code
CheckRequestFraming(const http::request_header<>& aHeader)
{
  return ReadFraming(aHeader, aHeader.version()).error;
}

error_code
CheckAnswerFraming(const http::response_header<>& aHeader)
{
  const unsigned status = aHeader.result_int();
  if (status < 100 || status > 599)
    return FramingError::InvalidStatus;
  if (status == 101)
    return FramingError::ProtocolSwitch;
  const Framing framing = ReadFraming(aHeader, aHeader.version());
  if (framing.error)
    return framing.error;
  const bool bodyless = status < 200 || status == 204;
  if (bodyless && (framing.hasCoding || framing.length.value_or(0) > 0))
    return FramingError::UnexpectedBody;
  return {};
}

error_code
CheckFieldLine(std::string_view aName, std::string_view aValue)
{
  // Beast joins folded lines in a buffer of its own, or skips a first line that is blank.
  const char* value = aName.data() + aName.size() + 1;
  while (*value == ' ' || *value == '\t')
    ++value;
  return value == aValue.data() ? error_code() : FramingError::FoldedLine;
}

error_code
CheckChunkExtensions(std::string_view aExtensions)
{
  const bool hasControl = std::any_of(aExtensions.begin(), aExtensions.end(), [](char aChar) {
    const auto byte = static_cast<unsigned char>(aChar);
    return (byte < 0x20 && byte != '\t') || byte == 0x7f;
  });
  return hasControl ? FramingError::BadExtension : error_code();
}

std::string_view
FramingFault(const error_code& aError)
{
  if (aError == FramingError::UnknownCoding)
    return "unknown-coding";
  if (aError == FramingError::BadLength || aError == http::error::bad_content_length ||
      aError == http::error::multiple_content_length)
    return "length";
  if (aError == FramingError::FoldedLine || aError == http::error::bad_line_ending ||
      aError == http::error::bad_field || aError == http::error::bad_value ||
      aError == http::error::bad_reason)
    return "line";
  if (aError == FramingError::BadExtension || aError == http::error::bad_chunk ||
      aError == http::error::bad_chunk_extension)
    return "chunk";
  if (aError == http::error::buffer_overflow)
    return "no-end";
  if (aError == FramingError::UnexpectedBody || aError == FramingError::ProtocolSwitch ||
      aError == FramingError::InvalidStatus)
    return "status";
  const bool coding =
    aError.category() == kCategory || aError == http::error::bad_transfer_encoding;
  return coding ? "coding" : std::string_view();
}

std::optional<http::status>
FramingStatus(const error_code& aError)
{
  if (aError.category() != kCategory)
    return std::nullopt;
  return aError == FramingError::UnknownCoding ? http::status::not_implemented
                                               : http::status::bad_request;
}

} // namespace dfm
