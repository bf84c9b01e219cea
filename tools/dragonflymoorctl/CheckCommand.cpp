#include "CheckCommand.h"

#include "Input.h"
#include "platform/CheckReport.h"
#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <exception>
#include <fmt/format.h>

namespace dfm {

namespace {

namespace json = boost::json;
using platform::CheckFinding;
using platform::CheckReport;

enum CheckExitCode : int
{
  NoErrors = 0,
  StrictWarnings = 1,
  Errors = 2,
};

constexpr size_t kMegabyte = 1024UL * 1024;

std::string_view
ToText(Severity aSeverity)
{
  return aSeverity == Severity::Error ? "error" : "warning";
}

std::string_view
ToText(ChangeKind aKind)
{
  switch (aKind) {
    case ChangeKind::Added:
      return "added";
    case ChangeKind::Removed:
      return "removed";
    case ChangeKind::Changed:
      return "changed";
  }
  return "changed";
}

std::string_view
ToText(ManifestPart aPart)
{
  switch (aPart) {
    case ManifestPart::Route:
      return "route";
    case ManifestPart::Service:
      return "service";
    case ManifestPart::Workspace:
      return "workspace";
    case ManifestPart::Limits:
      return "limits";
    case ManifestPart::Whole:
    case ManifestPart::FailureDomains:
      return "manifest";
  }
  return "manifest";
}

size_t
CountOf(const CheckReport& aReport, Severity aSeverity)
{
  return std::count_if(
    aReport.findings.begin(), aReport.findings.end(), [&](const CheckFinding& aFinding) {
      return aFinding.severity == aSeverity;
    });
}

void
PrintText(const CheckReport& aReport)
{
  for (const CheckFinding& finding : aReport.findings)
    fmt::print("{}: {}: {}\n", ToText(finding.severity), finding.place, finding.message);
  for (const ManifestChange& change : aReport.changes) {
    fmt::print("{} {}{}{}\n",
               ToText(change.kind),
               ToText(change.part),
               change.name.empty() ? "" : " ",
               change.name);
    for (const std::string& effect : change.effects)
      fmt::print("  {}\n", effect);
  }
  fmt::print("errors: {}, warnings: {}, changes: {}\n",
             CountOf(aReport, Severity::Error),
             CountOf(aReport, Severity::Warning),
             aReport.changes.size());
}

void
PrintJson(const CheckReport& aReport)
{
  json::array findings;
  for (const CheckFinding& finding : aReport.findings)
    findings.push_back(json::object{ { "severity", ToText(finding.severity) },
                                     { "place", finding.place },
                                     { "message", finding.message } });
  json::array changes;
  for (const ManifestChange& change : aReport.changes)
    changes.push_back(json::object{ { "kind", ToText(change.kind) },
                                    { "part", ToText(change.part) },
                                    { "name", change.name },
                                    { "effects", json::value_from(change.effects) } });
  fmt::print("{}\n",
             json::serialize(json::object{ { "errors", CountOf(aReport, Severity::Error) },
                                           { "warnings", CountOf(aReport, Severity::Warning) },
                                           { "findings", findings },
                                           { "changes", changes } }));
}

/// Reads "service=rate,..."; nothing when it is malformed.
std::optional<std::map<ServiceId, double>>
ParseRates(std::string aText)
{
  std::map<ServiceId, double> rates;
  while (!aText.empty()) {
    const size_t comma = std::min(aText.find(','), aText.size());
    const std::string item = aText.substr(0, comma);
    aText.erase(0, comma + 1);
    const size_t equals = item.find('=');
    if (equals == std::string::npos || equals == 0)
      return std::nullopt;
    double rate = 0;
    const char* last = item.data() + item.size();
    const auto [end, error] = std::from_chars(item.data() + equals + 1, last, rate);
    if (error != std::errc() || end != last || !(rate >= 0))
      return std::nullopt;
    rates[ServiceId(item.substr(0, equals))] = rate;
  }
  return rates;
}

/// Reads a file into aText; adds a finding when that fails.
void
ReadText(const std::string& aFile, std::string& aText, std::vector<CheckFinding>& aUnread)
{
  auto text = ReadInput(aFile);
  if (text)
    aText = std::move(*text);
  else
    aUnread.push_back({ Severity::Error, aFile, "cannot be read" });
}

int
Check(const CheckArguments& aArguments)
{
  platform::CheckInput input;
  std::vector<CheckFinding> unread;
  ReadText(aArguments.manifest, input.manifest, unread);
  if (!aArguments.against.empty())
    ReadText(aArguments.against, input.inForce.emplace(), unread);
  if (!aArguments.settings.empty()) {
    auto settings = ReadSteeringSettings(aArguments.settings);
    if (settings)
      input.settings = std::move(*settings);
    else
      for (const Finding& finding : settings.error())
        unread.push_back({ Severity::Error, finding.place, finding.message });
  }
  const auto rates = ParseRates(aArguments.neededRates);
  if (rates)
    input.options.neededRates = *rates;
  else
    unread.push_back({ Severity::Error, "--need", "must be service=requests/s,..." });
  if (aArguments.longestWaitSeconds > 0)
    input.options.longestWait = FromSeconds(aArguments.longestWaitSeconds);
  input.options.memoryBytes = aArguments.memoryMegabytes * kMegabyte;

  CheckReport report;
  const bool manifestsRead = std::none_of(unread.begin(), unread.end(), [&](const auto& aFinding) {
    return aFinding.place == aArguments.manifest || aFinding.place == aArguments.against;
  });
  if (manifestsRead)
    report = platform::CheckConfiguration(input);
  report.findings.insert(report.findings.begin(), unread.begin(), unread.end());
  if (aArguments.json)
    PrintJson(report);
  else
    PrintText(report);
  if (CountOf(report, Severity::Error) > 0)
    return Errors;
  return aArguments.strict && !report.findings.empty() ? StrictWarnings : NoErrors;
}

} // namespace

int
RunCheck(const CheckArguments& aArguments)
{
  try {
    return Check(aArguments);
  } catch (const std::exception& error) {
    // The exit code of other faults means warnings here.
    fmt::print(stderr, "error: {}\n", error.what());
    return Errors;
  }
}

} // namespace dfm
