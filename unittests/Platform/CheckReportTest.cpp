#include "platform/CheckReport.h"

#include "platform/Objects.h"
#include <array>
#include <boost/json.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>
#include <rapidcheck.h>
#include <set>

namespace {

using namespace dfm;
using namespace dfm::platform;
namespace json = boost::json;

/// Without a finding.
const std::string kManifest = R"({
  "version": "0000002a",
  "routes": [
    {"name": "reads", "host": "a.example", "path_prefix": "/", "route_type": "idempotent",
     "timeout_s": 2, "goal_s": 0.5, "attempts": 2, "backend": "reader", "public": true},
    {"name": "posts", "host": "a.example", "path_prefix": "/posts/", "route_type": "upload",
     "timeout_s": 2, "home_regions": ["north"],
     "split": [{"backend": "poster", "weight": 9}, {"backend": "reader", "weight": 1}]}],
  "services": [{"name": "reader", "health_path": "/healthz"},
               {"name": "poster", "health_path": "/healthz"}],
  "tenants": [
    {"name": "karoo", "api_keys": ["secret-karoo-1", "secret-karoo-2"], "rate_per_s": 5, "burst": 9},
    {"name": "knysna", "api_keys": ["secret-knysna"], "rate_per_s": 2,
     "home_regions": ["north", "south"]}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout_s": 3,
             "idle_timeout_s": 15}})";

const std::vector<std::string> kKeys{ "secret-karoo-1", "secret-karoo-2", "secret-knysna" };

SteeringSettings
MakeSettings()
{
  return { .self = { .region = RegionId("north"), .failureDomain = FailureDomainId("north-a") },
           .failureDomains = { { FailureDomainId("north-a"), RegionId("north") },
                               { FailureDomainId("south-a"), RegionId("south") } },
           .retryRatio = 0.2 };
}

CheckInput
MakeInput(std::string aManifest)
{
  return { .manifest = std::move(aManifest),
           .settings = MakeSettings(),
           .options = { .longestWait = 10s,
                        .memoryBytes = 1'000'000,
                        .neededRates = { { ServiceId("poster"), 6 } } } };
}

/// kManifest with aValue (JSON; empty: nothing) at aPointer.
std::string
Changed(std::string_view aPointer, std::string_view aValue)
{
  json::value manifest = json::parse(kManifest);
  const size_t slash = aPointer.rfind('/');
  const std::string_view field = aPointer.substr(slash + 1);
  json::value& parent = slash == 0 ? manifest : manifest.at_pointer(aPointer.substr(0, slash));
  if (json::object* object = parent.if_object(); object != nullptr && aValue.empty())
    object->erase(field);
  else if (object != nullptr)
    (*object)[field] = json::parse(aValue);
  else if (const size_t index = std::stoul(std::string(field)); index < parent.as_array().size())
    parent.as_array()[index] = json::parse(aValue);
  else
    parent.as_array().push_back(json::parse(aValue));
  return json::serialize(manifest);
}

std::string
TextOf(const CheckReport& aReport)
{
  std::string text;
  for (const CheckFinding& finding : aReport.findings)
    text += finding.place + ": " + finding.message + "\n";
  for (const ManifestChange& change : aReport.changes) {
    text += change.name + "\n";
    for (const std::string& effect : change.effects)
      text += effect + "\n";
  }
  return text;
}

constexpr Severity kError = Severity::Error;
constexpr Severity kWarning = Severity::Warning;

struct FindingRow
{
  const char* pointer;
  const char* value;
  Severity severity;
  const char* place;
  const char* message; ///< A part of it.
};

const FindingRow kFindingRows[] = {
  { "/version", "", kError, "manifest.version", "non-empty" },
  { "/version", "\"xyz\"", kError, "manifest.version", "hexadecimal" },
  { "/routes", "3", kError, "manifest.routes", "array" },
  { "/services", "", kError, "manifest.services", "array" },
  { "/tenants", "{}", kError, "manifest.tenants", "array" },
  { "/tenants", "null", kError, "manifest.tenants", "null is read as an empty one" },
  { "/tenants", "[]", kWarning, "manifest.tenants", "all callers get 401" },
  { "/limits/idle_timeout_s", "-1", kError, "manifest.limits.idle_timeout_s", "number" },
  { "/routes/0", "7", kError, "manifest.routes[0]", "object" },
  { "/routes/1/path_prefix", "\"posts/\"", kError, "manifest.routes[1].path_prefix", "slash" },
  { "/routes/0/host", "", kError, "manifest.routes[0].host", "non-empty" },
  { "/routes/1/split/1", "5", kError, "manifest.routes[1].split[1]", "object" },
  { "/routes/1/split/1/weight", "-5", kError, "manifest.routes[1].split[1].weight", "number" },
  { "/routes/1/timeout_s", "0", kError, "manifest.routes[1].timeout_s", "above 0" },
  { "/routes/1/split/0/backend",
    "\"x\"",
    kError,
    "manifest.routes[1].backend",
    "x is not declared" },
  { "/services/1/name", "", kError, "manifest.services[1].name", "non-empty" },
  { "/tenants/1/api_keys", "[5]", kError, "manifest.tenants[1].api_keys", "strings" },
  { "/tenants/1/rate_per_s", "\"a\"", kError, "manifest.tenants[1].rate_per_s", "number" },
  { "/routes/1/route_type",
    "\"uplaod\"",
    kWarning,
    "manifest.routes[1].route_type",
    "mean upload?" },
  { "/routes/1/route_type", "\"s\"", kWarning, "manifest.routes[1].route_type", "is unknown" },
  { "/routes/1/path_prefix",
    "\"/\"",
    kWarning,
    "manifest.routes[1].path_prefix",
    "by route reads" },
  { "/routes/1/name", "\"reads\"", kWarning, "manifest.routes[1].name", "two routes" },
  { "/routes/1/host", "\"*.example\"", kWarning, "manifest.routes[1].host", "no host name" },
  { "/routes/0/goal_s", "2.5", kWarning, "manifest.routes[0].goal_s", "2.5 s is above" },
  { "/routes/0/goal_s", "0", kWarning, "manifest.routes[0].goal_s", "no answer" },
  { "/routes/0/timeout_s", "11", kWarning, "manifest.routes[0].timeout_s", "10 s that callers" },
  { "/routes/0/attempts", "4", kWarning, "manifest.routes[0].attempts", "3 repeats" },
  { "/routes/0/home_regions", "[\"east\"]", kWarning, "manifest.routes[0].home_regions", "east" },
  { "/routes/0/home_regions", "null", kError, "manifest.routes[0].home_regions", "array" },
  { "/tenants/1/home_regions", "null", kError, "manifest.tenants[1].home_regions", "array" },
  { "/routes/1/split/1/weight",
    "0",
    kWarning,
    "manifest.routes[1].split[1].weight",
    "reader gets" },
  { "/routes/1/backend", "\"reader\"", kWarning, "manifest.routes[1].backend", "beside split" },
  { "/routes/1/timeout", "2", kWarning, "manifest.routes[1].timeout", "mean timeout_s?" },
  { "/routes/1/split/0/wieght",
    "2",
    kWarning,
    "manifest.routes[1].split[0].wieght",
    "mean weight?" },
  { "/tenant", "[]", kWarning, "manifest.tenant", "mean tenants?" },
  { "/colour", "1", kWarning, "manifest.colour", "is unknown; it has no effect" },
  { "/services/2",
    R"({"name": "spare", "health_path": "/"})",
    kWarning,
    "manifest.services[2].name",
    "not used" },
  { "/services/2",
    R"({"name": "reader", "health_path": "/"})",
    kWarning,
    "manifest.services[0].name",
    "declared again in manifest.services[2]" },
  { "/tenants/1/api_keys/0",
    "\"secret-karoo-2\"",
    kWarning,
    "manifest.tenants[1].api_keys",
    "workspace karoo has too" },
  { "/tenants/0/api_keys/0",
    "\"secret-karoo-2\"",
    kWarning,
    "manifest.tenants[0].api_keys",
    "twice" },
  { "/tenants/1/api_keys", "[]", kWarning, "manifest.tenants[1].api_keys", "are empty" },
  { "/tenants/1/name", "\"karoo\"", kWarning, "manifest.tenants[1].name", "two workspaces" },
  { "/tenants/1/home_regions",
    "[\"south\"]",
    kWarning,
    "manifest.tenants[1].home_regions",
    "in common with the homes of route posts" },
  { "/tenants/1/rate_per_s", "0.1", kWarning, "manifest.tenants[1].rate_per_s", "less than one" },
  { "/tenants/1/rate_per_s", "0.5", kWarning, "manifest.services[1]", "allow 5.5 requests/s" },
  { "/tenants/0/rate_per_s", "0", kWarning, "manifest.tenants[0].burst", "without a rate" },
  { "/limits", "null", kError, "manifest.limits", "object" },
  { "/limits/max_body_bytes",
    "1000000",
    kWarning,
    "manifest.limits.max_body_bytes",
    "1016384 bytes" },
};

/// Guards against a finding of a valid manifest, in the form of the store or alone.
Test(CheckReport, FindsNothingInAValidManifest)
{
  cr_assert(CheckConfiguration(MakeInput(kManifest)) == CheckReport{});
  cr_assert(CheckConfiguration(MakeInput(fmt::format(R"({{"spec": {}}})", kManifest))) ==
            CheckReport{});
}

/// Guards against a fault that is not found, or is found at another place or as less than it is.
Test(CheckReport, FindsFaultsAtTheirPlaces)
{
  for (const FindingRow& row : kFindingRows) {
    const CheckReport report = CheckConfiguration(MakeInput(Changed(row.pointer, row.value)));
    const bool found = std::any_of(
      report.findings.begin(), report.findings.end(), [&](const CheckFinding& aFinding) {
        return aFinding.severity == row.severity && aFinding.place == row.place &&
               aFinding.message.find(row.message) != std::string::npos;
      });
    cr_expect(found, "%s %s: %s", row.pointer, row.value, TextOf(report).c_str());
  }
}

/// Guards against a syntax error that an operator has to search, also in a manifest without "spec".
Test(CheckReport, LocatesSyntaxErrors)
{
  static const std::pair<const char*, const char*> kRows[] = {
    { "", "line 1, column 1" },
    { "{\"version\": \"1\",\n  \"routes\": [tru]}", "line 2, column 14" },
    { "{\"spec\": {}}\n\n x", "line 3, column 2" },
    { "{\"version\": \"1\"", "line 1, column 16" },
  };
  for (const auto& [text, position] : kRows) {
    const std::string report = TextOf(CheckConfiguration(MakeInput(text)));
    cr_expect(report.find(position) != std::string::npos, "%s", report.c_str());
  }
}

/// Guards against a tool that passes what the daemon rejects or serves as invalid, and against an
/// error that the daemon does not know.
Test(CheckReport, ReportsAsErrorsWhatTheDaemonReports)
{
  for (const FindingRow& row : kFindingRows) {
    const std::string text = Changed(row.pointer, row.value);
    const auto manifest = DecodeManifest(fmt::format(R"({{"spec": {}}})", text));
    std::set<Finding> expected;
    for (const Finding& problem : manifest ? manifest->problems : manifest.error()) {
      if (problem.message != kUnknownRouteType)
        expected.insert(problem);
    }
    std::set<Finding> errors;
    for (const CheckFinding& finding : CheckConfiguration(MakeInput(text)).findings) {
      if (finding.severity == Severity::Error)
        errors.insert({ finding.place, finding.message });
    }
    cr_expect(errors == expected, "%s %s", row.pointer, row.value);
    cr_expect(errors.empty() == (row.severity == Severity::Warning), "%s", row.pointer);
  }
}

struct ChangeRow
{
  const char* pointer;
  const char* value;
  ChangeKind kind;
  const char* name;
  const char* effect; ///< A part of it.
};

/// Guards against a change for callers that an operator does not see before it is in force.
Test(CheckReport, TellsWhatChangesForCallers)
{
  using enum ChangeKind;
  static const ChangeRow kRows[] = {
    { "/routes/1/timeout_s", "3", Changed, "a.example/posts/", "time-out: 2 s -> 3 s" },
    { "/routes/1/timeout_s", "-3", Changed, "a.example/posts/", "refused with 503" },
    { "/routes/1/home_regions", "[]", Changed, "a.example/posts/", "north -> all regions" },
    { "/routes/1/split/1/weight", "0", Changed, "a.example/posts/", "reader 10 % -> poster 100 %" },
    { "/routes/1/route_type", "\"idempotent\"", Changed, "a.example/posts/", "more than once" },
    { "/routes/0/public", "false", Changed, "a.example/", "need a key" },
    { "/routes/0/host", "\"A.EXAMPLE\"", Changed, "", "" },
    { "/routes/1/path_prefix", "\"/p/\"", Added, "a.example/p/", "route reads (reader 100 %) ->" },
    { "/routes/1/path_prefix", "\"/p/\"", Removed, "a.example/posts/", "-> route reads" },
    { "/routes/1/path_prefix", "null", Changed, "", "all requests to host a.example get 503" },
    { "/routes/1/host", "5", Changed, "", "/posts/ of all hosts get 503" },
    { "/services/1/max_conns", "9", Changed, "poster", "connections of an instance: 0 -> 9" },
    { "/tenants/1/name", "\"george\"", Added, "george", "keys added: 1" },
    { "/tenants/1/name", "\"george\"", Removed, "knysna", "keys withdrawn: 1; callers with them" },
    { "/tenants/0/rate_per_s", "0", Changed, "karoo", "5 requests/s -> no limit" },
    { "/tenants/0/api_keys/1", "\"secret-3\"", Changed, "karoo", "keys withdrawn: 1" },
    { "/tenants/0/priority", "1", Changed, "karoo", "that of the route -> 1" },
    { "/tenants", "", Changed, "", "need no key on any route" },
    { "/tenants", "[]", Changed, "", "no workspace is left: all callers get 401" },
    { "/tenants", "[]", Removed, "knysna", "callers with them get 401" },
    { "/tenants", "null", Changed, "", "no workspace is left: all callers get 401" },
    { "/limits/max_body_bytes", "5", Changed, "", "bytes of a body: 1000 -> 5" },
  };
  for (const ChangeRow& row : kRows) {
    CheckInput input = MakeInput(::Changed(row.pointer, row.value));
    input.inForce = kManifest;
    const CheckReport report = CheckConfiguration(input);
    const std::string text = TextOf(report);
    const bool found =
      std::any_of(report.changes.begin(), report.changes.end(), [&](const ManifestChange& aChange) {
        return aChange.kind == row.kind && aChange.name == row.name &&
               std::any_of(
                 aChange.effects.begin(), aChange.effects.end(), [&](const std::string& aEffect) {
                   return aEffect.find(row.effect) != std::string::npos;
                 });
      });
    cr_expect(found == (*row.effect != '\0'), "%s %s: %s", row.pointer, row.value, text.c_str());
    for (const std::string& key : kKeys)
      cr_expect(text.find(key) == std::string::npos);
  }
}

/// Guards against an edit that opens something by leaving it out, and that an operator does not see
/// before it is in force.
Test(CheckReport, WarnsOfWhatAnEditOpens)
{
  static const std::array<const char*, 3> kRows[] = {
    { "/tenants", "", "manifest.tenants" },
    { "/limits", "", "manifest.limits" },
    { "/limits/max_body_bytes", "null", "manifest.limits" },
  };
  for (const auto& [pointer, value, place] : kRows) {
    CheckInput input = MakeInput(Changed(pointer, value));
    input.inForce = kManifest;
    const CheckReport report = CheckConfiguration(input);
    cr_expect(std::any_of(report.findings.begin(),
                          report.findings.end(),
                          [&place = place](const CheckFinding& aFinding) {
                            return aFinding.severity == kWarning && aFinding.place == place;
                          }),
              "%s: %s",
              pointer,
              TextOf(report).c_str());
    cr_assert(CheckConfiguration({ .manifest = kManifest, .inForce = kManifest }) == CheckReport{});
  }
}

/// Guards against a version that the daemon ignores after the check has passed it.
Test(CheckReport, ComparesVersions)
{
  const std::pair<const char*, bool> kRows[] = { { "\"29\"", true },
                                                 { "\"2a\"", false },
                                                 { "\"2b\"", false } };
  for (const auto& [version, rejected] : kRows) {
    CheckInput input = MakeInput(Changed("/version", version));
    input.inForce = kManifest;
    cr_assert(CheckConfiguration(input).findings.empty() != rejected);
  }
  CheckInput input = MakeInput(Changed("/routes/0/timeout_s", "3"));
  input.inForce = kManifest;
  cr_assert(CheckConfiguration(input).findings.at(0).place == "manifest.version");
}

/// Places at which an operator may paste a key by mistake.
constexpr const char* kNamePointers[] = { "/version",
                                          "/secret-karoo-1",
                                          "/tenants/0/secret-karoo-1",
                                          "/routes/0/secret-karoo-1",
                                          "/routes/0/name",
                                          "/routes/1/name",
                                          "/routes/1/host",
                                          "/routes/1/backend",
                                          "/routes/1/route_type",
                                          "/routes/1/split/0/backend",
                                          "/services/1/name",
                                          "/services/1/health_path",
                                          "/tenants/0/name",
                                          "/tenants/1/api_keys",
                                          "/tenants/1/home_regions/0" };

/// Guards against keys in terminals, logs of scripts and tickets.
Test(CheckReport, ShowsNoKey)
{
  for (const char* pointer : kNamePointers) {
    for (const char* key : { "secret-karoo-1", "x secret-karoo-1\\u0007" }) {
      CheckInput input = MakeInput(Changed(pointer, fmt::format("\"{}\"", key)));
      input.inForce = kManifest;
      const std::string text = TextOf(CheckConfiguration(input));
      cr_expect(text.find("secret-karoo-1") == std::string::npos, "%s", pointer);
      cr_expect(text.find('\a') == std::string::npos, "%s", pointer);
      std::swap(input.manifest, *input.inForce);
      cr_expect(TextOf(CheckConfiguration(input)).find("secret-karoo-1") == std::string::npos);
    }
  }
}

/// Pieces of text that change the structure or the values of a manifest.
const std::vector<std::string> kPieces{ "",
                                        "{",
                                        "}",
                                        "[",
                                        "]",
                                        ",",
                                        ":",
                                        "\"",
                                        "\\",
                                        "null",
                                        "true",
                                        "-1",
                                        "1e400",
                                        "0",
                                        "[[[[",
                                        "{}",
                                        "[]",
                                        "\"x\"",
                                        "\n",
                                        "\"\":",
                                        "\"spec\":",
                                        "\x80",
                                        "secret-karoo-1" };

std::string
Mutate(std::string aText)
{
  const int changes = *rc::gen::inRange(0, 4);
  for (int i = 0; i < changes; ++i) {
    const size_t at = *rc::gen::inRange<size_t>(0, aText.size() + 1);
    const size_t length = *rc::gen::weightedOneOf<size_t>(
      { { 6, rc::gen::inRange<size_t>(0, 8) }, { 1, rc::gen::inRange<size_t>(0, 300) } });
    aText.replace(at, std::min(length, aText.size() - at), *rc::gen::elementOf(kPieces));
  }
  return aText;
}

/// The keys that the daemon would accept. Short ones may also be parts of the tool's own words.
std::vector<std::string>
KeysInForce(const std::string& aManifest)
{
  std::vector<std::string> keys;
  const auto manifest = DecodeManifest(fmt::format(R"({{"spec": {}}})", aManifest));
  for (const Workspace& workspace : manifest ? manifest->workspaces : std::vector<Workspace>()) {
    std::copy_if(workspace.keys.begin(),
                 workspace.keys.end(),
                 std::back_inserter(keys),
                 [](const std::string& aKey) { return aKey.size() > 6; });
  }
  return keys;
}

/// Guards against an input that ends the tool, and against keys in its output.
Test(CheckReport, SurvivesAnyInput)
{
  const bool holds = rc::check("mutated and arbitrary text", [] {
    CheckInput input = MakeInput(
      *rc::gen::weightedOneOf<std::string>({ { 9, rc::gen::exec([] { return Mutate(kManifest); }) },
                                             { 1, rc::gen::arbitrary<std::string>() } }));
    input.inForce = Mutate(kManifest);
    if (*rc::gen::arbitrary<bool>())
      input.settings.reset();
    const std::string text = TextOf(CheckConfiguration(input));
    for (const std::string& manifest : { input.manifest, *input.inForce }) {
      for (const std::string& key : KeysInForce(manifest))
        RC_ASSERT(text.find(key) == std::string::npos);
    }
  });
  cr_assert(holds);
}

/// Guards against deeply nested or very long text that exhausts the stack or the time.
Test(CheckReport, SurvivesDeepAndLongInput)
{
  for (const char* piece : { "[", "{\"spec\":", "{\"routes\":[", "\"", "[0," }) {
    std::string text;
    while (text.size() < 1'000'000)
      text += piece;
    cr_expect(not CheckConfiguration(MakeInput(text)).findings.empty());
  }
}

} // namespace
