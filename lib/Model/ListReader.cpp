#include "ListReader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <boost/json/value.hpp>
#include <charconv>
#include <cmath>
#include <fmt/format.h>

namespace dfm {

namespace json = boost::json;

namespace {

constexpr size_t kMaxNameLength = 64;

bool
IsName(std::string_view aText, bool aDotAllowed)
{
  if (aText.empty() || aText.size() > kMaxNameLength)
    return false;
  return std::all_of(aText.begin(), aText.end(), [&](char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
           (aChar >= '0' && aChar <= '9') || aChar == '-' || aChar == '_' ||
           (aDotAllowed && aChar == '.');
  });
}

std::optional<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::string_view host = aText.substr(0, colon);
  const std::string_view port = aText.substr(colon + 1);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed)
    host = host.substr(1, host.size() - 2);

  Endpoint endpoint{ .address = std::string(host) };
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  // inet_pton stops at a zero byte, which would accept trailing bytes.
  if (endpoint.address.find('\0') != std::string::npos)
    return std::nullopt;
  if (inet_pton(bracketed ? AF_INET6 : AF_INET, endpoint.address.c_str(), bytes.data()) != 1)
    return std::nullopt;
  const auto [end, error] = std::from_chars(port.begin(), port.end(), endpoint.port);
  if (error != std::errc{} || end != port.end() || endpoint.port == 0)
    return std::nullopt;
  return endpoint;
}

std::optional<uint64_t>
AsInteger(const json::value& aValue)
{
  if (aValue.is_uint64())
    return aValue.get_uint64();
  if (aValue.is_int64() && aValue.get_int64() >= 0)
    return static_cast<uint64_t>(aValue.get_int64());
  return std::nullopt;
}

std::optional<double>
AsNumber(const json::value& aValue)
{
  if (!aValue.is_number())
    return std::nullopt;
  const double number = aValue.to_number<double>();
  return std::isfinite(number) ? std::optional(number) : std::nullopt;
}

} // namespace

void
FindingSink::Add(std::string aPlace, std::string aMessage)
{
  if (findings_.size() >= kMaxFindings) {
    ++dropped_;
    return;
  }
  findings_.push_back({ .place = std::move(aPlace), .message = std::move(aMessage) });
}

Findings
FindingSink::Take(std::string_view aPlace)
{
  if (dropped_ > 0)
    findings_.push_back({ .place = std::string(aPlace),
                          .message = fmt::format("{} more findings are not shown", dropped_) });
  return std::move(findings_);
}

void
ElementReader::Fail(std::string_view aField, std::string aMessage)
{
  sink_.Add(fmt::format("{}.{}", place_, aField), std::move(aMessage));
}

const json::value*
ElementReader::Find(std::string_view aField)
{
  known_.push_back(aField);
  const json::value* value = object_.if_contains(aField);
  if (value == nullptr)
    Fail(aField, "field is missing");
  return value;
}

std::string
ElementReader::Text(std::string_view aField)
{
  const json::value* value = Find(aField);
  if (value == nullptr)
    return {};
  if (!value->is_string()) {
    Fail(aField, "must be a string");
    return {};
  }
  return std::string(value->get_string());
}

std::string
ElementReader::Name(std::string_view aField, bool aDotAllowed)
{
  const json::value* value = Find(aField);
  if (value == nullptr)
    return {};
  if (value->is_string() && IsName(value->get_string(), aDotAllowed))
    return std::string(value->get_string());
  Fail(aField,
       fmt::format("must be a name of 1 to {} letters, digits, '-'{} or '_'",
                   kMaxNameLength,
                   aDotAllowed ? ", '.'" : ""));
  return {};
}

uint64_t
ElementReader::Integer(std::string_view aField, uint64_t aLow, uint64_t aHigh)
{
  const json::value* value = Find(aField);
  if (value == nullptr)
    return aLow;
  const std::optional<uint64_t> number = AsInteger(*value);
  if (number && *number >= aLow && *number <= aHigh)
    return *number;
  Fail(aField, fmt::format("must be an integer from {} to {}", aLow, aHigh));
  return aLow;
}

double
ElementReader::Number(std::string_view aField, double aLow, double aHigh)
{
  const json::value* value = Find(aField);
  if (value == nullptr)
    return aLow;
  const std::optional<double> number = AsNumber(*value);
  if (number && *number >= aLow && *number <= aHigh)
    return *number;
  Fail(aField, fmt::format("must be a number from {} to {}", aLow, aHigh));
  return aLow;
}

bool
ElementReader::Boolean(std::string_view aField)
{
  const json::value* value = Find(aField);
  if (value == nullptr)
    return false;
  if (value->is_bool())
    return value->get_bool();
  Fail(aField, "must be true or false");
  return false;
}

Endpoint
ElementReader::Address(std::string_view aField)
{
  const json::value* value = Find(aField);
  if (value == nullptr)
    return {};
  if (value->is_string()) {
    if (std::optional<Endpoint> endpoint = ParseEndpoint(value->get_string()))
      return *endpoint;
  }
  Fail(aField, "must be \"ip:port\" or \"[ip]:port\"");
  return {};
}

std::vector<uint64_t>
ElementReader::Integers(std::string_view aField, size_t aCount, uint64_t aHigh)
{
  std::vector<uint64_t> numbers(aCount, 0);
  const json::value* value = Find(aField);
  if (value == nullptr)
    return numbers;
  bool valid = value->is_array() && value->get_array().size() == aCount;
  for (size_t i = 0; valid && i < aCount; ++i) {
    const std::optional<uint64_t> number = AsInteger(value->get_array()[i]);
    valid = number && *number <= aHigh;
    numbers[i] = number.value_or(0);
  }
  if (valid)
    return numbers;
  Fail(aField, fmt::format("must be an array of {} integers from 0 to {}", aCount, aHigh));
  return std::vector<uint64_t>(aCount, 0);
}

void
ElementReader::RejectUnknownFields()
{
  for (const json::key_value_pair& field : object_) {
    const std::string_view name(field.key());
    if (std::find(known_.begin(), known_.end(), name) == known_.end())
      Fail(name.substr(0, kMaxNameLength), "unknown field");
  }
}

} // namespace dfm
