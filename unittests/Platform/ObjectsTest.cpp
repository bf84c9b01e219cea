#include "platform/Objects.h"
#include "platform/Requests.h"

#include <boost/json.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <functional>

namespace {

using namespace dfm;
using namespace dfm::platform;
namespace json = boost::json;

const std::map<FailureDomainId, RegionId> kRegionByDomain{ { FailureDomainId("north-a"),
                                                             RegionId("north") } };

json::value
ValidManifest()
{
  return json::parse(R"({"spec": {
    "version": "0000000c",
    "routes": [{"name": "r", "host": "shop.example", "path_prefix": "/a/",
                "route_type": "idempotent", "timeout_s": 1.5, "goal_s": 0.2, "priority": 1,
                "split": [{"backend": "s1", "weight": 90}, {"backend": "s2", "weight": 10}],
                "attempts": 2, "sticky": true, "home_regions": ["north"]}],
    "services": [{"name": "s1", "health_path": "/healthz", "max_conns": 330,
                  "cold_start_s": 3.0, "cold_per_s": 22.0},
                 {"name": "s2", "health_path": "/healthz"}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout_s": 3,
               "idle_timeout_s": 15}}})");
}

json::value
ValidInstance()
{
  return json::parse(R"({"spec": {"addr": "10.1.2.3:8080", "born": 1777881951360,
    "info": {"backend": "s1", "version": "v1", "zone": "north-a", "slots": 9},
    "status": {"state": "ready", "seq": 4, "cold_left_s": 1.5}}})");
}

/// Guards against a field of the manifest that is read as another one.
Test(Objects, DecodesAManifest)
{
  const auto manifest = DecodeManifest(json::serialize(ValidManifest()));
  cr_assert(manifest.has_value());
  cr_assert(manifest->version == 12 && manifest->routes.size() == 1);
  const Route& route = manifest->routes[0];
  cr_assert(route.idempotent && route.sticky && route.priority == 1 && route.maxAttempts == 2);
  cr_assert(route.timeout == 1500ms && route.goal == 200ms);
  cr_assert(route.parts.size() == 2 && route.parts[0].weight == 90);
  cr_assert(route.homeRegions.size() == 1 && route.homeRegions[0] == RegionId("north"));
  cr_assert(manifest->services.at(ServiceId("s1")).coldRequestsPerSecond == 22);
  cr_assert(manifest->limits.bodyBytes == 1000 && manifest->limits.idleTimeout == 15s);
}

/// Guards against a manifest without its main parts that comes into force.
Test(Objects, RefusesInvalidManifests)
{
  using Change = std::function<void(json::object&)>;
  static const Change kChanges[] = {
    [](json::object& aSpec) { aSpec.erase("version"); },
    [](json::object& aSpec) { aSpec["version"] = "xyz"; },
    [](json::object& aSpec) { aSpec["version"] = 7; },
    [](json::object& aSpec) { aSpec.erase("routes"); },
    [](json::object& aSpec) { aSpec["routes"] = 3; },
    [](json::object& aSpec) { aSpec["routes"] = nullptr; },
    [](json::object& aSpec) { aSpec["routes"].as_array().push_back(nullptr); },
    [](json::object& aSpec) { aSpec["routes"].as_array().push_back(json::object{}); },
    [](json::object& aSpec) { aSpec["services"] = 3; },
    [](json::object& aSpec) { aSpec["tenants"] = "all"; },
  };
  for (const Change& change : kChanges) {
    json::value manifest = ValidManifest();
    change(manifest.as_object()["spec"].as_object());
    const auto decoded = DecodeManifest(json::serialize(manifest));
    cr_assert(not decoded.has_value());
    cr_assert(not decoded.error().empty());
  }
  cr_assert(not DecodeManifest("{\"spec\": {\"version\"").has_value());
  cr_assert(not DecodeManifest("[]").has_value());
}

/// A second route, service and workspace beside those of ValidManifest(); one of them is invalid in
/// each row of the tests.
json::value
ManifestWithSecondParts()
{
  json::value manifest = ValidManifest();
  json::object& spec = manifest.as_object()["spec"].as_object();
  spec["routes"].as_array().push_back(json::parse(
    R"({"name": "second", "host": "shop.example", "path_prefix": "/a/b/",
        "route_type": "non_idempotent", "timeout_s": 1, "backend": "s3"})"));
  spec["services"].as_array().push_back(
    json::parse(R"({"name": "s3", "health_path": "/healthz"})"));
  spec["tenants"] = json::parse(R"([
    {"name": "w1", "api_keys": ["key-1", "key-2"], "priority": 0, "rate_per_s": 8, "burst": 4,
     "home_regions": ["north"]},
    {"name": "w2", "api_keys": ["key-3"]}])");
  return manifest;
}

struct InvalidPart
{
  const char* place; ///< Of the finding.
  std::function<void(json::object&)> change;
};

/// Guards against one invalid part that puts the whole manifest out of force, and against requests
/// of an invalid route that reach another service through a shorter prefix, also when the host or
/// the prefix of the route cannot be read.
Test(Objects, InvalidPartsLeaveTheOthersInForce)
{
  const auto secondRoute = [](json::object& aSpec) -> json::object& {
    return aSpec["routes"].at(1).as_object();
  };
  const std::vector<InvalidPart> kRouteRows{
    { "timeout_s", [&](json::object& aSpec) { secondRoute(aSpec)["timeout_s"] = -1; } },
    { "timeout_s", [&](json::object& aSpec) { secondRoute(aSpec)["timeout_s"] = 1e9; } },
    { "split", [&](json::object& aSpec) { secondRoute(aSpec)["split"] = json::array(); } },
    { "split[0].weight",
      [&](json::object& aSpec) {
        secondRoute(aSpec)["split"] = json::parse(R"([{"backend": "s3"}])");
      } },
    { "split[0].weight",
      [&](json::object& aSpec) {
        secondRoute(aSpec)["split"] = json::parse(R"([{"backend": "s3", "weight": -5}])");
      } },
    { "backend", [&](json::object& aSpec) { secondRoute(aSpec)["backend"] = "unknown"; } },
    { "route_type", [&](json::object& aSpec) { secondRoute(aSpec).erase("route_type"); } },
    { "home_regions", [&](json::object& aSpec) { secondRoute(aSpec)["home_regions"] = nullptr; } },
    { "home_regions", [&](json::object& aSpec) { secondRoute(aSpec)["home_regions"] = "north"; } },
    { "public", [&](json::object& aSpec) { secondRoute(aSpec)["public"] = "false"; } },
    { "attempts", [&](json::object& aSpec) { secondRoute(aSpec)["attempts"] = nullptr; } },
    { "backend", [](json::object& aSpec) { aSpec["services"].at(2).as_object().erase("name"); } },
  };
  for (const InvalidPart& row : kRouteRows) {
    json::value value = ManifestWithSecondParts();
    row.change(value.as_object()["spec"].as_object());
    const auto manifest = DecodeManifest(json::serialize(value));
    cr_assert(manifest.has_value());
    cr_assert(std::any_of(
      manifest->problems.begin(), manifest->problems.end(), [&row](const Finding& aFinding) {
        return aFinding.place.ends_with(row.place);
      }));
    const RouteIndex routes(std::make_shared<const Manifest>(*manifest));
    cr_assert(not routes.Find("shop.example", "/a/x")->invalid);
    cr_assert(routes.Find("shop.example", "/a/b/x")->invalid);
  }
  const std::vector<InvalidPart> kUnplacedRows{
    { "host", [&](json::object& aSpec) { secondRoute(aSpec).erase("host"); } },
    { "host", [&](json::object& aSpec) { secondRoute(aSpec)["host"] = nullptr; } },
    { "host", [&](json::object& aSpec) { secondRoute(aSpec)["host"] = ""; } },
    { "path_prefix", [&](json::object& aSpec) { secondRoute(aSpec).erase("path_prefix"); } },
    { "path_prefix", [&](json::object& aSpec) { secondRoute(aSpec)["path_prefix"] = 7; } },
    { "path_prefix", [&](json::object& aSpec) { secondRoute(aSpec)["path_prefix"] = "a/b/"; } },
  };
  for (const InvalidPart& row : kUnplacedRows) {
    json::value value = ManifestWithSecondParts();
    row.change(value.as_object()["spec"].as_object());
    const auto manifest = DecodeManifest(json::serialize(value));
    cr_assert(manifest.has_value());
    cr_assert(manifest->problems.at(0).place.ends_with(row.place));
    const RouteIndex routes(std::make_shared<const Manifest>(*manifest));
    cr_assert(routes.Find("shop.example", "/a/b/x")->invalid);
    const bool hostIsKnown = std::string_view(row.place) == "path_prefix";
    cr_assert(routes.Find("shop.example", "/a/x")->invalid == hostIsKnown);
    const Route* other = routes.Find("other.example", "/a/b/x");
    cr_assert(hostIsKnown ? other == nullptr : other->invalid);
  }
}

struct LimitRow
{
  const char* field;
  UnstatedLimits unstated;
  CallerLimits limits; ///< That hold when it is not stated, after those of ValidManifest().
};

/// Guards against a limit that is missing or invalid and raises a limit in force, its own or one
/// that is stated.
Test(Objects, LimitsThatAreNotStatedRaiseNone)
{
  const CallerLimits inForce = DecodeManifest(json::serialize(ValidManifest()))->limits;
  const CallerLimits stated{
    .headerBytes = 20'000, .bodyBytes = 2'000, .headerTimeout = 4s, .idleTimeout = 20s
  };
  const auto with = [&stated](const std::function<void(CallerLimits&)>& aChange) {
    CallerLimits limits = stated;
    aChange(limits);
    return limits;
  };
  const std::vector<LimitRow> kRows{
    { "max_header_bytes", { .headerBytes = true }, with([](CallerLimits& aLimits) {
        aLimits.headerBytes = 16'384;
      }) },
    { "max_body_bytes", { .bodyBytes = true }, with([](CallerLimits& aLimits) {
        aLimits.bodyBytes = 1'000;
      }) },
    { "header_timeout_s", { .headerTimeout = true }, with([](CallerLimits& aLimits) {
        aLimits.headerTimeout = 3s;
      }) },
    { "idle_timeout_s", { .idleTimeout = true }, with([](CallerLimits& aLimits) {
        aLimits.idleTimeout = 15s;
      }) },
  };
  for (const LimitRow& row : kRows) {
    for (const char* form : { "", "null", "\"\"", "-1", "{}" }) {
      json::value value = ValidManifest();
      json::object& spec = value.as_object()["spec"].as_object();
      json::object limits{ { "max_header_bytes", 20'000 },
                           { "max_body_bytes", 2'000 },
                           { "header_timeout_s", 4 },
                           { "idle_timeout_s", 20 } };
      if (*form == '\0')
        limits.erase(row.field);
      else
        limits[row.field] = json::parse(form);
      spec["limits"] = limits;
      const auto manifest = DecodeManifest(json::serialize(value));
      cr_assert(manifest.has_value() && manifest->unstatedLimits == row.unstated);
      cr_assert(manifest->problems.at(0).place.ends_with(row.field));
      cr_assert(LimitsAfter(*manifest, inForce) == row.limits);
    }
  }
  for (const char* form : { "", "null", "{}", "[]", "\"none\"" }) {
    json::value value = ValidManifest();
    json::object& spec = value.as_object()["spec"].as_object();
    if (*form == '\0')
      spec.erase("limits");
    else
      spec["limits"] = json::parse(form);
    const auto manifest = DecodeManifest(json::serialize(value));
    cr_assert(manifest.has_value() && LimitsAfter(*manifest, inForce) == inForce);
    cr_assert(manifest->problems.empty() == (*form == '\0'));
  }
}

struct RouteTypeRow
{
  const char* type;
  bool idempotent;
  bool reported;
};

/// Guards against a request of a type that this version does not know that is repeated, or refused.
Test(Objects, UnknownRouteTypesRunAtMostOnce)
{
  static const RouteTypeRow kRows[] = { { "idempotent", true, false },
                                        { "non_idempotent", false, false },
                                        { "upload", false, false },
                                        { "stream", false, true },
                                        { "Idempotent", false, true } };
  for (const RouteTypeRow& row : kRows) {
    json::value value = ValidManifest();
    value.as_object()["spec"].as_object()["routes"].at(0).as_object()["route_type"] = row.type;
    const auto manifest = DecodeManifest(json::serialize(value));
    cr_assert(manifest.has_value());
    cr_assert(manifest->routes.at(0).idempotent == row.idempotent);
    cr_assert(not manifest->routes.at(0).invalid);
    cr_assert(manifest->problems.empty() != row.reported);
  }
}

/// Guards against fields of a workspace that are misread, and against an invalid workspace that
/// others pay for.
Test(Objects, DecodesWorkspaces)
{
  json::value value = ManifestWithSecondParts();
  auto manifest = DecodeManifest(json::serialize(value));
  cr_assert(manifest.has_value() && manifest->problems.empty());
  const Workspace expected{ .id = WorkspaceId("w1"),
                            .keys = { "key-1", "key-2" },
                            .priority = 0,
                            .requestsPerSecond = 8,
                            .burst = 4,
                            .homeRegions = { RegionId("north") } };
  cr_assert(manifest->workspaces.at(0) == expected);
  cr_assert(not manifest->workspaces.at(1).priority.has_value());

  json::object& first =
    value.as_object()["spec"].as_object()["tenants"].as_array().at(0).as_object();
  for (const auto& [field, invalid] :
       std::vector<std::pair<std::string, json::value>>{ { "name", 5 },
                                                         { "api_keys", json::array{ "" } },
                                                         { "rate_per_s", -1 },
                                                         { "home_regions", json::array{ 7 } },
                                                         { "home_regions", json::array{ "" } },
                                                         { "home_regions", nullptr },
                                                         { "home_regions", "north" },
                                                         { "rate_per_s", nullptr },
                                                         { "burst", nullptr },
                                                         { "api_keys", nullptr },
                                                         { "priority", "high" } }) {
    const json::value valid = first[field];
    first[field] = invalid;
    manifest = DecodeManifest(json::serialize(value));
    cr_assert(manifest.has_value());
    cr_assert(manifest->workspaces.at(0).invalid);
    cr_assert(not manifest->workspaces.at(1).invalid);
    first[field] = valid;
  }
}

/// Guards against a manifest that contains the list of workspaces, in any form, and needs no keys.
Test(Objects, OnlyAMissingListOfWorkspacesNeedsNoKeys)
{
  json::value value = ValidManifest();
  json::object& spec = value.as_object()["spec"].as_object();
  spec.erase("tenants");
  cr_assert(not DecodeManifest(json::serialize(value))->needsKeys);
  for (const char* list : { "[]", "null", "[null]", "[{}]", "[[]]" }) {
    spec["tenants"] = json::parse(list);
    const auto manifest = DecodeManifest(json::serialize(value));
    cr_assert(manifest.has_value() && manifest->needsKeys);
    cr_assert(manifest->problems.empty() == (std::string(list) == "[]"));
  }
}

/// Guards against an entry of another writer that is taken for an instance.
Test(Objects, DecodesOnlyValidInstances)
{
  const TimePoint now{ 10s };
  const auto instance =
    DecodeInstance(kRegionByDomain, "i-1", json::serialize(ValidInstance()), now);
  cr_assert(instance.has_value());
  cr_assert(instance->id == BackendId("i-1") && instance->service == ServiceId("s1"));
  cr_assert(instance->region == RegionId("north") && instance->slots == 9);
  cr_assert(instance->endpoint.port == 8080 && !instance->draining);
  cr_assert(instance->coldUntil == now + 1500ms && instance->startTimeMs == 1777881951360);

  using Change = std::function<void(json::object&)>;
  static const Change kChanges[] = {
    [](json::object& aSpec) { aSpec.erase("addr"); },
    [](json::object& aSpec) { aSpec["addr"] = "nowhere"; },
    [](json::object& aSpec) { aSpec["addr"] = "999.1.2.3:80"; },
    [](json::object& aSpec) { aSpec["addr"] = "10.1:80"; },
    [](json::object& aSpec) { aSpec["addr"] = 5; },
    [](json::object& aSpec) { aSpec.erase("info"); },
    [](json::object& aSpec) { aSpec["info"].as_object()["zone"] = "unknown"; },
    [](json::object& aSpec) { aSpec["info"].as_object()["slots"] = "nine"; },
    [](json::object& aSpec) { aSpec["info"].as_object()["slots"] = 0; },
    [](json::object& aSpec) { aSpec["status"].as_object()["state"] = "asleep"; },
    [](json::object& aSpec) { aSpec["status"].as_object()["cold_left_s"] = "long"; },
    [](json::object& aSpec) { aSpec["born"] = "today"; },
  };
  for (const Change& change : kChanges) {
    json::value entry = ValidInstance();
    change(entry.as_object()["spec"].as_object());
    cr_assert(not DecodeInstance(kRegionByDomain, "i-1", json::serialize(entry), now).has_value());
  }
  cr_assert(not DecodeInstance(kRegionByDomain, "i-1", "\xff\x00", now).has_value());
}

/// Guards against a VM's entry that is decoded differently from how it was encoded.
Test(Objects, VmEntriesRoundTrip)
{
  const Vm vm{ .id = VmId("vm-1"),
               .region = RegionId("north"),
               .failureDomain = FailureDomainId("north-a"),
               .callers = { "10.0.0.1", 80 },
               .peers = { "10.0.0.1", 7400 } };
  const auto decoded = DecodeVm("vm-1", "{\"spec\":" + EncodeVm(vm) + "}");
  cr_assert(decoded.has_value() && *decoded == vm);
  cr_assert(not DecodeVm("vm-1", "{\"spec\":{}}").has_value());
}

/// Guards against headers and queries of the platform that are misread.
Test(Requests, ReadsHeadersAndQueries)
{
  const Protocol protocol = MakeProtocol();
  http::fields fields;
  fields.set("x-request-id", "id-1");
  fields.set("X-Deadline-Ms", "1200");
  const CallerHeaders caller = protocol.readCallerHeaders(fields);
  cr_assert(caller.requestId == "id-1" && !caller.affinityKey && caller.timeout == 1200ms);
  fields.set("X-Deadline-Ms", "soon");
  cr_assert(not protocol.readCallerHeaders(fields).timeout.has_value());
  cr_assert(protocol.readAnswerHeaders(421, fields).wrongInstance);
  cr_assert(protocol.readAnswerHeaders(421, fields).notExecuted);
  cr_assert(not protocol.readAnswerHeaders(503, fields).notExecuted);
  const auto query =
    protocol.parseDirectoryQuery("/resolve?name=a.example&region=north&zone=north%2Da");
  cr_assert(query && query->host == "a.example" && query->region == RegionId("north"));
  cr_assert(query->failureDomain == FailureDomainId("north-a"));
  cr_assert(not protocol.parseDirectoryQuery("/other?name=a").has_value());
  cr_assert(protocol.formatDirectoryAnswer({ { "10.0.0.1", 80 } }, 1s) ==
            R"({"addrs":["10.0.0.1:80"],"ttl_s":1E0})");
}

} // namespace
