#include "dragonflymoor/Settings/SteeringSettings.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string>

namespace {

using namespace dfm;

const std::string kGood = R"({
  "vm": "edge-1", "region": "north", "failureDomain": "north-a",
  "failureDomains": {"north-a": "north", "south-a": "south"},
  "address": "10.1.0.34",
  "callers": "10.1.0.34:8548", "readiness": "10.1.0.34:8542", "directory": "10.1.0.34:8546",
  "operators": "10.1.0.34:9464",
  "vmPorts": {"first": 7540, "last": 7555},
  "seeds": ["10.2.0.34:8544"],
  "store": "10.200.1.7:8541",
  "stopSeconds": 6, "directoryTtlSeconds": 1, "retryRatio": 0.2, "retrySlack": 58, "maxShift": 0.1,
  "memoryMegabytes": 260, "maxDescriptors": 2870, // a comment
  "adaptiveLimits": true
})";

std::string
Replaced(const std::string& aFrom, const std::string& aTo)
{
  std::string text = kGood;
  text.replace(text.find(aFrom), aFrom.size(), aTo);
  return text;
}

/// A setting was read as another one, or a seed kept the port of another interface.
Test(SteeringSettings, ReadsTheTemplate)
{
  const auto settings = ParseSteeringSettings(kGood, "f");
  cr_assert(settings.has_value());
  cr_assert(settings->self.id == VmId("edge-1") && settings->self.callers.port == 8548);
  cr_assert(settings->self.peers.port == 7540 && settings->loadReports.port == 7541);
  cr_assert(settings->seeds.size() == 1 && settings->seeds[0].port == 7540);
  cr_assert(settings->failureDomains.at(FailureDomainId("south-a")) == RegionId("south"));
  cr_assert(settings->stopTime == 6s && settings->retrySlack == 58 && settings->maxShift == 0.1);
  cr_assert(settings->adaptiveLimits);
  cr_assert(settings->memoryMegabytes == 260 && settings->maxDescriptors == 2870);
}

/// Broken settings were accepted, or the finding did not name its place.
Test(SteeringSettings, RefusesBrokenSettings)
{
  struct Case
  {
    std::string from;
    std::string to;
    std::string place;
  };
  const Case cases[] = {
    { "\"vm\": \"edge-1\",", "", "f: vm" },
    { "10.1.0.34:8548", "nowhere", "f: callers" },
    { "\"last\": 7555", "\"last\": 7540", "f: vmPorts.last" },
    { "\"stopSeconds\": 6", "\"stopSeconds\": \"six\"", "f: stopSeconds" },
    { "\"adaptiveLimits\": true", "\"adaptiveLimits\": 1", "f: adaptiveLimits" },
    { "\"retryRatio\": 0.2", "\"retryRatio\": 2", "f: retryRatio" },
    { "\"memoryMegabytes\": 260", "\"memoryMegabytes\": 1", "f: memoryMegabytes" },
    { "\"maxDescriptors\": 2870", "\"maxDescriptors\": 1", "f: maxDescriptors" },
    { "\"south\"", "7", "f: failureDomains" },
    { "\"seeds\": [", "\"unknown\": 1, \"seeds\": [", "f: unknown" },
  };
  for (const Case& settingsCase : cases) {
    const auto settings = ParseSteeringSettings(Replaced(settingsCase.from, settingsCase.to), "f");
    cr_assert(not settings.has_value());
    cr_assert(settings.error().front().place == settingsCase.place);
  }
  cr_assert(not ParseSteeringSettings("{", "f").has_value());
}

} // namespace
