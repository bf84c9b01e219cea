#include "dragonflymoor/Settings/Settings.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <limits>
#include <optional>
#include <sstream>

namespace dfm {

namespace {

namespace json = boost::json;

/// Frames between VMs hold at most 9 MB; a body up to this size fits with its headers.
constexpr uint64_t kMaxBodyBytes = 8ULL * 1024 * 1024;
constexpr uint64_t kMaxHeaderBytes = 256ULL * 1024;
constexpr uint64_t kMaxThreads = 256;

/// Fields of one object of the settings. Each field that is read counts as known; Finish reports
/// the others.
class Section
{
public:
  Section(const json::value& aValue, std::string aPlace, Findings& aFindings)
    : place_(std::move(aPlace))
    , findings_(aFindings)
    , object_(aValue.if_object())
  {
    if (object_ == nullptr)
      findings_.push_back({ place_, "must be an object" });
  }

  std::string PlaceOf(std::string_view aField) const
  {
    return fmt::format("{}{}{}", place_, place_.ends_with(": ") ? "" : ".", aField);
  }

  void Report(std::string_view aField, std::string aMessage)
  {
    findings_.push_back({ PlaceOf(aField), std::move(aMessage) });
  }

  const json::value* Find(std::string_view aField)
  {
    known_.emplace_back(aField);
    return object_ == nullptr ? nullptr : object_->if_contains(aField);
  }

  const json::value* Require(std::string_view aField)
  {
    const json::value* value = Find(aField);
    if (value == nullptr && object_ != nullptr)
      Report(aField, "is missing");
    return value;
  }

  std::string Name(std::string_view aField)
  {
    const json::value* value = Require(aField);
    if (value == nullptr)
      return {};
    const json::string* text = value->if_string();
    if (text == nullptr || text->empty())
      Report(aField, "must be a text that is not empty");
    return text == nullptr ? std::string() : std::string(*text);
  }

  uint64_t Number(std::string_view aField, uint64_t aDefault, uint64_t aLow, uint64_t aHigh)
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

  Endpoint Address(std::string_view aField, const json::value* aValue, bool aListen)
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

  void Finish()
  {
    if (object_ == nullptr)
      return;
    for (const auto& field : *object_) {
      if (std::find(known_.begin(), known_.end(), field.key()) == known_.end())
        Report(field.key(), "is not a known field");
    }
  }

private:
  static std::optional<Endpoint> ParseEndpoint(std::string_view aText)
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

  std::string place_;
  Findings& findings_;
  const json::object* object_;
  std::vector<std::string> known_;
};

/// Name of the place of a field of the root object.
std::string
RootPlace(std::string_view aFile)
{
  return fmt::format("{}: ", aFile);
}

ListenSettings
ReadListen(Section& aRoot, std::string_view aField, Findings& aFindings)
{
  const json::value* value = aRoot.Require(aField);
  if (value == nullptr)
    return {};
  Section section(*value, aRoot.PlaceOf(aField), aFindings);
  ListenSettings listen;
  listen.listen = section.Address("listen", section.Require("listen"), true);
  const json::value* advertised = section.Find("advertised");
  if (advertised != nullptr) {
    listen.advertised = section.Address("advertised", advertised, false);
  } else {
    listen.advertised = listen.listen;
    if (!listen.listen.address.empty() &&
        boost::asio::ip::make_address(listen.listen.address).is_unspecified())
      section.Report("advertised", "is missing, which the listen address of all interfaces needs");
  }
  section.Finish();
  return listen;
}

BoundSettings
ReadBounds(Section& aRoot, Findings& aFindings)
{
  BoundSettings bounds;
  const json::value* value = aRoot.Find("bounds");
  if (value == nullptr)
    return bounds;
  Section section(*value, aRoot.PlaceOf("bounds"), aFindings);
  bounds.connections =
    static_cast<uint32_t>(section.Number("connections", bounds.connections, 1, 1'000'000));
  bounds.headerBytes =
    static_cast<uint32_t>(section.Number("headerBytes", bounds.headerBytes, 1024, kMaxHeaderBytes));
  bounds.bodyBytes =
    static_cast<uint32_t>(section.Number("bodyBytes", bounds.bodyBytes, 0, kMaxBodyBytes));
  bounds.bodyMemoryBytes = section.Number("bodyMemoryBytes",
                                          bounds.bodyMemoryBytes,
                                          bounds.bodyBytes,
                                          std::numeric_limits<int64_t>::max());
  section.Finish();
  return bounds;
}

std::vector<Endpoint>
ReadSeeds(Section& aRoot)
{
  std::vector<Endpoint> seeds;
  const json::value* value = aRoot.Find("seeds");
  if (value == nullptr)
    return seeds;
  const json::array* items = value->if_array();
  if (items == nullptr) {
    aRoot.Report("seeds", "must be an array of peer endpoints");
    return seeds;
  }
  for (size_t i = 0; i < items->size(); ++i)
    seeds.push_back(aRoot.Address(fmt::format("seeds[{}]", i), &(*items)[i], false));
  return seeds;
}

LogLevel
ReadLogLevel(Section& aRoot)
{
  const json::value* value = aRoot.Find("logLevel");
  if (value == nullptr)
    return LogLevel::Info;
  const json::string* name = value->if_string();
  constexpr std::string_view kNames[] = { "debug", "info", "warning", "error" };
  for (size_t i = 0; name != nullptr && i < std::size(kNames); ++i) {
    if (*name == kNames[i])
      return static_cast<LogLevel>(i);
  }
  aRoot.Report("logLevel", "must be debug, info, warning or error");
  return LogLevel::Info;
}

/// The JSON value, or the place of the syntax error.
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

} // namespace

Checked<Settings>
ParseSettings(std::string_view aText, std::string_view aFile)
{
  const auto value = ParseJson(aText, aFile);
  if (!value)
    return tl::unexpected(Findings{ value.error() });

  Findings findings;
  Section root(*value, RootPlace(aFile), findings);
  Settings settings;
  settings.vm = VmId(root.Name("vm"));
  settings.region = RegionId(root.Name("region"));
  settings.failureDomain = FailureDomainId(root.Name("failureDomain"));
  settings.callers = ReadListen(root, "callers", findings);
  settings.peers = ReadListen(root, "peers", findings);
  settings.operators = root.Address("operators", root.Require("operators"), true);
  settings.store = root.Address("store", root.Require("store"), false);
  settings.storeRegion = RegionId(root.Name("storeRegion"));
  settings.seeds = ReadSeeds(root);
  settings.bounds = ReadBounds(root, findings);
  settings.threads =
    static_cast<uint32_t>(root.Number("threads", settings.threads, 1, kMaxThreads));
  settings.logLevel = ReadLogLevel(root);
  settings.probePeriod = std::chrono::milliseconds(root.Number("probePeriodMs", 200, 20, 60'000));
  root.Finish();
  if (!findings.empty())
    return tl::unexpected(std::move(findings));
  return settings;
}

Checked<Settings>
ReadSettings(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::stringstream text;
  if (!file || !(text << file.rdbuf()))
    return tl::unexpected(Findings{ { aFile, "can't be read or is empty" } });
  return ParseSettings(text.str(), aFile);
}

} // namespace dfm
