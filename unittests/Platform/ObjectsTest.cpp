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

/// Guards against an invalid manifest that comes into force.
Test(Objects, RefusesInvalidManifests)
{
  using Change = std::function<void(json::object&)>;
  static const Change kChanges[] = {
    [](json::object& aSpec) { aSpec.erase("version"); },
    [](json::object& aSpec) { aSpec["version"] = "xyz"; },
    [](json::object& aSpec) { aSpec["version"] = 7; },
    [](json::object& aSpec) { aSpec.erase("routes"); },
    [](json::object& aSpec) { aSpec["routes"] = 3; },
    [](json::object& aSpec) { aSpec["routes"].at(0).as_object().erase("host"); },
    [](json::object& aSpec) { aSpec["routes"].at(0).as_object()["path_prefix"] = "a"; },
    [](json::object& aSpec) { aSpec["routes"].at(0).as_object()["route_type"] = "other"; },
    [](json::object& aSpec) { aSpec["routes"].at(0).as_object()["timeout_s"] = -1; },
    [](json::object& aSpec) { aSpec["routes"].at(0).as_object()["timeout_s"] = 1e9; },
    [](json::object& aSpec) { aSpec["routes"].at(0).as_object()["split"] = json::array(); },
    [](json::object& aSpec) {
      aSpec["routes"].at(0).at("split").at(0).as_object().erase("weight");
    },
    [](json::object& aSpec) { aSpec["routes"].at(0).at("split").at(0).as_object()["weight"] = -5; },
    [](json::object& aSpec) {
      aSpec["routes"].at(0).at("split").at(0).as_object()["backend"] = "unknown";
    },
    [](json::object& aSpec) { aSpec["limits"] = "none"; },
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
