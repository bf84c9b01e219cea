#include "dragonflymoor/Settings/Settings.h"

#include "Section.h"
#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>
#include <limits>

namespace dfm {

namespace {

/// Frames between VMs hold at most 9 MB; a body up to this size fits with its headers.
constexpr uint64_t kMaxBodyBytes = 8ULL * 1024 * 1024;
constexpr uint64_t kMaxHeaderBytes = 256ULL * 1024;
constexpr uint64_t kMaxThreads = 256;

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
  settings.seeds = root.Addresses("seeds");
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
  const auto text = ReadFile(aFile);
  if (!text)
    return tl::unexpected(Findings{ text.error() });
  return ParseSettings(*text, aFile);
}

} // namespace dfm
