#include "dragonflymoor/Settings/Settings.h"
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dfm;

namespace {

constexpr std::string_view kComplete = R"({
  // Entry VM of the first failure domain.
  "vm": "vm-1", "region": "gauteng", "failureDomain": "gauteng-a",
  "callers": {"listen": "0.0.0.0:8080", "advertised": "10.0.0.1:8080"},
  "peers": {"listen": "10.0.0.1:7946"},
  "operators": "127.0.0.1:9090",
  "store": "10.0.9.1:2379", "storeRegion": "gauteng",
  "seeds": ["10.0.0.2:7946", "[fd00::3]:7946"],
  "bounds": {"connections": 10, "headerBytes": 4096, "bodyBytes": 1000, "bodyMemoryBytes": 9000},
  "threads": 3, "logLevel": "warning", "probePeriodMs": 500,
})";

/// kComplete with one part replaced, and the only finding that this must give.
struct FaultCase
{
  char from[64];
  char to[64];
  char finding[128];
};

} // namespace

// Guards against a field that is read into the wrong place or not at all.
Test(Settings, ReadsEveryField)
{
  const auto settings = ParseSettings(kComplete, "f.json");
  cr_assert(settings.has_value(), "%s", FormatFindings(settings.error()).c_str());
  const Settings expected{
    .vm = VmId("vm-1"),
    .region = RegionId("gauteng"),
    .failureDomain = FailureDomainId("gauteng-a"),
    .callers = { .listen = { "0.0.0.0", 8080 }, .advertised = { "10.0.0.1", 8080 } },
    .peers = { .listen = { "10.0.0.1", 7946 }, .advertised = { "10.0.0.1", 7946 } },
    .operators = { "127.0.0.1", 9090 },
    .store = { "10.0.9.1", 2379 },
    .storeRegion = RegionId("gauteng"),
    .seeds = { { "10.0.0.2", 7946 }, { "fd00::3", 7946 } },
    .bounds = { .connections = 10,
                .headerBytes = 4096,
                .bodyBytes = 1000,
                .bodyMemoryBytes = 9000 },
    .threads = 3,
    .logLevel = LogLevel::Warning,
    .probePeriod = 500ms,
  };
  cr_assert(*settings == expected);
}

ParameterizedTestParameters(Settings, ReportsEachFaultWithItsPlace)
{
  static FaultCase cases[] = {
    { "\"vm\": \"vm-1\", ", "", "f.json: vm: is missing\n" },
    { "\"vm-1\"", "\"\"", "f.json: vm: must be a text that is not empty\n" },
    { "\"threads\": 3",
      "\"threads\": 0",
      "f.json: threads: must be a whole number from 1 to 256\n" },
    { "\"threads\"",
      "\"treads\"",
      "f.json: treads: is not a known field. Did you mean threads?\n" },
    { "\"headerBytes\"",
      "\"headersBytes\"",
      "f.json: bounds.headersBytes: is not a known field. Did you mean headerBytes?\n" },
    { "\"10.0.0.2:7946\"",
      "\"host:7946\"",
      "f.json: seeds[0]: must be an IP address and a port, for example \"10.0.0.1:8080\"\n" },
    { ", \"advertised\": \"10.0.0.1:8080\"",
      "",
      "f.json: callers.advertised: is missing, which the listen address of all interfaces "
      "needs\n" },
    { "10.0.9.1:2379", "0.0.0.0:2379", "f.json: store: 0.0.0.0 can't be reached by others\n" },
    { "\"warning\"", "\"loud\"", "f.json: logLevel: must be debug, info, warning or error\n" },
    { "\"threads\": 3", "\"threads\" 3", "f.json:10:13: syntax error\n" },
  };
  return cr_make_param_array(FaultCase, cases, sizeof(cases) / sizeof(FaultCase));
}

// Guards against faults that are accepted, or reported without the place to correct.
ParameterizedTest(FaultCase* aCase, Settings, ReportsEachFaultWithItsPlace)
{
  std::string text(kComplete);
  const size_t at = text.find(aCase->from);
  cr_assert(at != std::string::npos);
  text.replace(at, std::string_view(aCase->from).size(), aCase->to);
  const auto settings = ParseSettings(text, "f.json");
  cr_assert(!settings);
  const std::string findings = FormatFindings(settings.error());
  cr_assert(findings == aCase->finding, "%s", findings.c_str());
}

// Guards against a check that stops at the first fault and costs the operator one run for each.
Test(Settings, ReportsAllFaultsTogether)
{
  const auto settings = ParseSettings(R"({"vm": 1, "callers": [], "unknown": 0})", "f.json");
  cr_assert(!settings);
  cr_assert(settings.error().size() == 9, "%s", FormatFindings(settings.error()).c_str());
}
