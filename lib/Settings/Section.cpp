#include "Section.h"

#include "dragonflymoor/Support/ClosestName.h"
#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace dfm {

namespace {

std::optional<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::string_view host = aText.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']'))
    host = host.substr(1, host.size() - 2);
  boost::system::error_code error;
  boost::asio::ip::make_address(std::string(host), error);
  const std::string_view port = aText.substr(colon + 1);
  uint16_t number = 0;
  const auto [end, fault] = std::from_chars(port.data(), port.data() + port.size(), number);
  if (error || fault != std::errc() || end != port.data() + port.size())
    return std::nullopt;
  return Endpoint{ .address = std::string(host), .port = number };
}

} // namespace

Section::Section(const json::value& aValue, std::string aPlace, Findings& aFindings)
  : place_(std::move(aPlace))
  , findings_(aFindings)
  , object_(aValue.if_object())
{
  if (object_ == nullptr)
    findings_.push_back({ place_, "must be an object" });
}

std::string
Section::PlaceOf(std::string_view aField) const
{
  return fmt::format("{}{}{}", place_, place_.ends_with(": ") ? "" : ".", aField);
}

void
Section::Report(std::string_view aField, std::string aMessage)
{
  findings_.push_back({ PlaceOf(aField), std::move(aMessage) });
}

const json::value*
Section::Find(std::string_view aField)
{
  known_.emplace_back(aField);
  return object_ == nullptr ? nullptr : object_->if_contains(aField);
}

const json::value*
Section::Require(std::string_view aField)
{
  const json::value* value = Find(aField);
  if (value == nullptr && object_ != nullptr)
    Report(aField, "is missing");
  return value;
}

std::string
Section::Name(std::string_view aField)
{
  const json::value* value = Require(aField);
  if (value == nullptr)
    return {};
  const json::string* text = value->if_string();
  if (text == nullptr || text->empty())
    Report(aField, "must be a text that is not empty");
  return text == nullptr ? std::string() : std::string(*text);
}

uint64_t
Section::Number(std::string_view aField, uint64_t aDefault, uint64_t aLow, uint64_t aHigh)
{
  const json::value* value = Find(aField);
  if (value == nullptr)
    return aDefault;
  boost::system::error_code error;
  const auto number = value->to_number<uint64_t>(error);
  if (!error && number >= aLow && number <= aHigh)
    return number;
  Report(aField, fmt::format("must be a whole number from {} to {}", aLow, aHigh));
  return aDefault;
}

double
Section::Real(std::string_view aField, double aDefault, double aLow, double aHigh)
{
  const json::value* value = Find(aField);
  if (value == nullptr)
    return aDefault;
  boost::system::error_code error;
  const auto number = value->to_number<double>(error);
  if (!error && number >= aLow && number <= aHigh)
    return number;
  Report(aField, fmt::format("must be a number from {} to {}", aLow, aHigh));
  return aDefault;
}

bool
Section::Flag(std::string_view aField, bool aDefault)
{
  const json::value* value = Find(aField);
  if (value == nullptr)
    return aDefault;
  if (const bool* flag = value->if_bool())
    return *flag;
  Report(aField, "must be true or false");
  return aDefault;
}

Endpoint
Section::Address(std::string_view aField, const json::value* aValue, bool aListen)
{
  if (aValue == nullptr)
    return {};
  const json::string* text = aValue->if_string();
  const auto endpoint = text == nullptr ? std::nullopt : ParseEndpoint(*text);
  if (!endpoint) {
    Report(aField, "must be an IP address and a port, for example \"10.0.0.1:8080\"");
    return {};
  }
  if (!aListen && boost::asio::ip::make_address(endpoint->address).is_unspecified())
    Report(aField, fmt::format("{} can't be reached by others", endpoint->address));
  if (!aListen && endpoint->port == 0)
    Report(aField, "port must not be 0");
  return *endpoint;
}

std::vector<Endpoint>
Section::Addresses(std::string_view aField)
{
  std::vector<Endpoint> endpoints;
  const json::value* value = Find(aField);
  if (value == nullptr)
    return endpoints;
  const json::array* items = value->if_array();
  if (items == nullptr) {
    Report(aField, "must be an array of endpoints");
    return endpoints;
  }
  for (size_t i = 0; i < items->size(); ++i)
    endpoints.push_back(Address(fmt::format("{}[{}]", aField, i), &(*items)[i], false));
  return endpoints;
}

void
Section::Finish()
{
  if (object_ == nullptr)
    return;
  for (const auto& field : *object_) {
    if (std::find(known_.begin(), known_.end(), field.key()) != known_.end())
      continue;
    const std::string_view closest = ClosestName(field.key(), { known_.begin(), known_.end() });
    Report(field.key(),
           closest.empty() ? "is not a known field"
                           : fmt::format("is not a known field. Did you mean {}?", closest));
  }
}

std::string
RootPlace(std::string_view aFile)
{
  return fmt::format("{}: ", aFile);
}

tl::expected<json::value, Finding>
ParseJson(std::string_view aText, std::string_view aFile)
{
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  json::stream_parser parser({}, options);
  boost::system::error_code error;
  size_t consumed = parser.write_some(aText.data(), aText.size(), error);
  if (!error && consumed < aText.size())
    error = json::error::extra_data;
  if (!error)
    parser.finish(error);
  if (!error)
    return parser.release();
  consumed = std::min(consumed, aText.size());
  const std::string_view before = aText.substr(0, consumed);
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const size_t lineStart = before.rfind('\n') + 1; // npos + 1 is 0, the start of the first line
  return tl::unexpected(
    Finding{ fmt::format("{}:{}:{}", aFile, line, consumed - lineStart + 1), error.message() });
}

tl::expected<std::string, Finding>
ReadFile(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::stringstream text;
  if (!file || !(text << file.rdbuf()))
    return tl::unexpected(Finding{ aFile, "can't be read or is empty" });
  return text.str();
}

} // namespace dfm
