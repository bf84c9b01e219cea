#include "dragonflymoor/Settings/SteeringSettings.h"

#include "Section.h"
#include <limits>

namespace dfm {

namespace {

/// Ports between VMs, in their order from the first of the range.
constexpr uint16_t kPeersPort = 0;
constexpr uint16_t kLoadReportsPort = 1;
constexpr uint16_t kPortsNeeded = 2;

constexpr double kMaxSeconds = 3600;

/// The process itself needs about half of the lower bound.
constexpr uint64_t kMinMegabytes = 64;
constexpr uint64_t kMaxMegabytes = 1'000'000;
constexpr uint64_t kMinDescriptors = 128;
constexpr uint64_t kMaxDescriptors = 10'000'000;

struct PortRange
{
  uint16_t first = 0;
};

PortRange
ReadPorts(Section& aRoot, Findings& aFindings)
{
  const json::value* value = aRoot.Require("vmPorts");
  if (value == nullptr)
    return {};
  constexpr uint64_t kMaxPort = std::numeric_limits<uint16_t>::max();
  Section section(*value, aRoot.PlaceOf("vmPorts"), aFindings);
  const uint64_t first = section.Number("first", 0, 1, kMaxPort);
  const uint64_t last = section.Number("last", 0, 1, kMaxPort);
  if (first == 0 || last < first + kPortsNeeded - 1)
    section.Report("last", "must leave at least 2 ports from the first one on");
  section.Finish();
  return { .first = static_cast<uint16_t>(first) };
}

std::map<FailureDomainId, RegionId>
ReadFailureDomains(Section& aRoot)
{
  std::map<FailureDomainId, RegionId> domains;
  const json::value* value = aRoot.Require("failureDomains");
  if (value == nullptr)
    return domains;
  const json::object* object = value->if_object();
  if (object == nullptr) {
    aRoot.Report("failureDomains", "must be an object of regions by failure domain");
    return domains;
  }
  for (const auto& [name, region] : *object) {
    if (const json::string* text = region.if_string())
      domains[FailureDomainId(name)] = RegionId(std::string(*text));
    else
      aRoot.Report("failureDomains", "must name a region for each failure domain");
  }
  return domains;
}

Duration
ReadSeconds(Section& aRoot, std::string_view aField, double aDefault)
{
  return FromSeconds(aRoot.Real(aField, aDefault, 0, kMaxSeconds));
}

} // namespace

Checked<SteeringSettings>
ParseSteeringSettings(std::string_view aText, std::string_view aFile)
{
  const auto value = ParseJson(aText, aFile);
  if (!value)
    return tl::unexpected(Findings{ value.error() });

  Findings findings;
  Section root(*value, RootPlace(aFile), findings);
  SteeringSettings settings;
  settings.self.id = VmId(root.Name("vm"));
  settings.self.region = RegionId(root.Name("region"));
  settings.self.failureDomain = FailureDomainId(root.Name("failureDomain"));
  settings.self.callers = root.Address("callers", root.Require("callers"), true);
  settings.readiness = root.Address("readiness", root.Require("readiness"), true);
  settings.directory = root.Address("directory", root.Require("directory"), true);
  settings.operators = root.Address("operators", root.Require("operators"), true);
  settings.store = root.Address("store", root.Require("store"), false);

  const PortRange ports = ReadPorts(root, findings);
  const std::string address = root.Name("address");
  const auto peersPort = static_cast<uint16_t>(ports.first + kPeersPort);
  settings.self.peers = { .address = address, .port = peersPort };
  settings.loadReports = { .address = address,
                           .port = static_cast<uint16_t>(ports.first + kLoadReportsPort) };
  // All VMs use the same ports; the port of a seed is another interface's.
  for (Endpoint& seed : settings.seeds = root.Addresses("seeds"))
    seed.port = peersPort;
  settings.failureDomains = ReadFailureDomains(root);

  settings.stopTime = ReadSeconds(root, "stopSeconds", 6);
  settings.directoryTtl = ReadSeconds(root, "directoryTtlSeconds", 2);
  settings.retryRatio = root.Real("retryRatio", settings.retryRatio, 0, 1);
  settings.retrySlack = root.Real("retrySlack", settings.retrySlack, 0, 1e6);
  settings.maxShift = root.Real("maxShift", settings.maxShift, 0, 1);
  settings.quotaSlack = root.Real("quotaSlack", settings.quotaSlack, 0, 1e6);
  settings.memoryMegabytes = static_cast<uint32_t>(
    root.Number("memoryMegabytes", settings.memoryMegabytes, kMinMegabytes, kMaxMegabytes));
  settings.maxDescriptors = static_cast<uint32_t>(
    root.Number("maxDescriptors", settings.maxDescriptors, kMinDescriptors, kMaxDescriptors));
  settings.instanceReportPeriod =
    ReadSeconds(root, "instanceReportSeconds", ToSeconds(settings.instanceReportPeriod));
  settings.adaptiveLimits = root.Flag("adaptiveLimits", settings.adaptiveLimits);
  root.Finish();
  if (!findings.empty())
    return tl::unexpected(std::move(findings));
  return settings;
}

Checked<SteeringSettings>
ReadSteeringSettings(const std::string& aFile)
{
  const auto text = ReadFile(aFile);
  if (!text)
    return tl::unexpected(Findings{ text.error() });
  return ParseSteeringSettings(*text, aFile);
}

} // namespace dfm
