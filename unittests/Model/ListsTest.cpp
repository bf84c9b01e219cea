#include "dragonflymoor/Model/Lists.h"
#include "dragonflymoor/Support/Random.h"
#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace dfm;

namespace {

// Runs in CI are repeatable; RC_PARAMS in the environment takes precedence.
[[maybe_unused]] const int kSeed = setenv("RC_PARAMS", "seed=20261204 max_success=5000", 0);

constexpr const char* kExamples[kListCount] = {
  R"({"plans": [{"id": "gold", "workspace": "karoo", "weight": 3}]})",
  R"({"limits": [{"plan": "gold", "service": "lookup", "requestsPerSecond": 12.5,
      "maxInFlight": 40}]})",
  R"({"drains": [{"target": "failure-domain", "name": "jhb-1", "startsAt": 1700000000000}]})",
  R"({"services": [{"id": "lookup", "rank": "urgent", "idempotent": true, "deadlineMs": 200,
      "expectedMs": 4.5, "expectedAnswerBytes": 2000, "guaranteedPercent": [70, 20, 10]}]})",
  R"({"backends": [{"id": "b1", "service": "lookup", "region": "jhb", "failureDomain": "jhb-1",
      "endpoint": "10.0.0.1:80", "slots": 8}]})",
  R"({"links": [{"from": "jhb", "to": "cpt", "capBytesPerSecond": 35000000}]})",
  R"(// comment
     {"vms": [{"id": "vm1", "region": "jhb", "failureDomain": "jhb-1", "callers": "10.0.0.1:80",
      "peers": "[fd00::1]:81"}]})",
};

struct BadList
{
  ListName list;
  char text[220];
  char finding[120];
};

FleetLists
ExampleLists()
{
  FleetLists lists;
  for (size_t i = 0; i < kListCount; ++i)
    lists = ReplaceList(lists, static_cast<ListName>(i), i + 1, kExamples[i]).value();
  return lists;
}

/// Replaces the value of one field by a value of another type.
std::string
ReplaceValue(std::string aText, Random& aRandom)
{
  static constexpr std::string_view kValues[] = { "null", "{}", "[]",  "[{}]",   "[1, 2]", "\"x\"",
                                                  "true", "-1", "1.5", "1e9999", "\"\"" };
  const size_t colon = aText.find(": ", aRandom.Below(aText.size()));
  if (colon == std::string::npos)
    return aText;
  size_t end = colon + 2;
  int depth = 0;
  while (end < aText.size() && (depth > 0 || std::string_view(",]}").find(aText[end]) > 2)) {
    depth += aText[end] == '[' || aText[end] == '{' ? 1 : 0;
    depth -= aText[end] == ']' || aText[end] == '}' ? 1 : 0;
    ++end;
  }
  return aText.replace(colon + 2, end - colon - 2, kValues[aRandom.Below(std::size(kValues))]);
}

std::string
Mutate(std::string aText, Random& aRandom)
{
  if (aRandom.Below(2) == 0)
    aText = ReplaceValue(std::move(aText), aRandom);
  if (aRandom.Below(4) == 0)
    return aText;
  static constexpr std::string_view kSplices[] = { "[[[[[[[[[[", "{", "]", "\"",   "null", "-1",
                                                   "1e999",      "0", ",", "\\u0", "/*",   "\0" };
  for (uint64_t i = aRandom.Below(6) + 1; i > 0; --i) {
    const size_t at = aRandom.Below(aText.size() + 1);
    switch (aRandom.Below(4)) {
      case 0:
        aText.insert(at, kSplices[aRandom.Below(std::size(kSplices))]);
        break;
      case 1:
        aText.erase(at, aRandom.Below(10));
        break;
      case 2:
        aText.insert(at, aText.substr(at, aRandom.Below(80)));
        break;
      default:
        if (at < aText.size())
          aText[at] = static_cast<char>(aRandom.Below(256));
    }
  }
  return aText;
}

} // namespace

ParameterizedTestParameters(Lists, RefusesBadContent)
{
  static BadList cases[] = {
    { ListName::Plans, "", "config/plans: is not valid JSON: incomplete JSON" },
    { ListName::Plans, "[]", "config/plans: must be an object with the array \"plans\"" },
    { ListName::Plans, "{\"plans\": [], \"x\": 1}", "config/plans: must be an object with the" },
    { ListName::Plans, "{\"plans\": [7]}", "config/plans: plans[0]: must be an object" },
    { ListName::Plans,
      R"({"plans": [{"id": "a", "workspace": "w", "weight": 0}]})",
      "config/plans: plans[0].weight: must be an integer from 1 to 1000000" },
    { ListName::Plans,
      R"({"plans": [{"id": "a b", "workspace": "w", "weight": 1}]})",
      "config/plans: plans[0].id: must be a name of 1 to 64" },
    { ListName::Plans,
      R"({"plans": [{"id": "a", "workspace": "w", "weight": 1, "wieght": 2}]})",
      "config/plans: plans[0].wieght: unknown field" },
    { ListName::Plans,
      R"({"plans": [{"id": "a", "workspace": "w", "weight": 1},
                    {"id": "a", "workspace": "v", "weight": 1}]})",
      "config/plans: plans[1].id: duplicate of element 0" },
    { ListName::Limits,
      R"({"limits": [{"plan": "a", "service": "s", "requestsPerSecond": -1, "maxInFlight": 1}]})",
      "config/limits: limits[0].requestsPerSecond: must be a number" },
    { ListName::Drains,
      R"({"drains": [{"target": "rack", "name": "r", "startsAt": 1}]})",
      "config/drains: drains[0].target: must be backend-server, vm or failure-domain" },
    { ListName::Services,
      R"({"services": [{"id": "s", "rank": "bulk", "idempotent": true,
                        "guaranteedPercent": [70, 20, 11]}]})",
      "fleet/services: services[0].guaranteedPercent: sum is 101" },
    { ListName::Services,
      R"({"services": [{"id": "s", "rank": "bulk", "idempotent": true, "deadlineMs": 5}]})",
      "fleet/services: services[0].expectedMs: must be at most deadlineMs" },
    { ListName::Backends,
      R"({"backends": [{"id": "b", "service": "s", "region": "r", "failureDomain": "d",
                        "endpoint": "host:80", "slots": 1}]})",
      "fleet/backends: backends[0].endpoint: must be \"ip:port\"" },
    { ListName::Links,
      R"({"links": [{"from": "a", "to": "a", "capBytesPerSecond": 1}]})",
      "fleet/links: links[0].to: must differ" },
    { ListName::Roster,
      R"({"vms": [{"id": "a.b", "region": "r", "failureDomain": "d", "callers": "1.2.3.4:1",
                   "peers": "1.2.3.4:2"}]})",
      "fleet/roster: vms[0].id: must be a name" },
  };
  return cr_make_param_array(BadList, cases, std::size(cases));
}

// Guards against content that is taken although a field is wrong, and findings without a place.
ParameterizedTest(BadList* aCase, Lists, RefusesBadContent)
{
  const auto lists = ReplaceList(FleetLists{}, aCase->list, 1, aCase->text);
  cr_assert(!lists.has_value());
  const std::string findings = FormatFindings(lists.error());
  cr_assert(findings.find(aCase->finding) != std::string::npos, "%s", findings.c_str());
}

// Guards against a list that changes when a tool reads and writes it.
Test(Lists, SerialisedListsParseToTheSame)
{
  const FleetLists lists = ExampleLists();
  cr_assert(lists.services[0].expectedTime == 4500us);
  cr_assert(lists.roster[0].peers == (Endpoint{ .address = "fd00::1", .port = 81 }));
  FleetLists again;
  for (size_t i = 0; i < kListCount; ++i) {
    const auto list = static_cast<ListName>(i);
    again = ReplaceList(again, list, i + 1, SerialiseList(lists, list)).value();
    cr_assert(ParseObjectName(ObjectName(list)) == list);
  }
  cr_assert(again == lists);
}

// Guards against references that lead nowhere.
Test(Lists, FindsDanglingReferences)
{
  FleetLists lists = ExampleLists();
  cr_assert(CheckReferences(lists).empty());
  lists.plans.clear();
  lists.backends[0].region = RegionId("cpt");
  lists.drains[0].target = DrainTarget::Vm;
  const std::string findings = FormatFindings(CheckReferences(lists));
  for (const char* expected :
       { "config/limits: limits[0].plan: plan gold does not exist",
         "fleet/backends: backends[0].region: failure domain jhb-1 lies in jhb",
         "config/drains: drains[0].name: vm jhb-1 does not exist" })
    cr_assert(findings.find(expected) != std::string::npos, "%s", findings.c_str());
}

// Guards against a message of 100,000 lines for a large broken list.
Test(Lists, BoundsTheNumberOfFindings)
{
  std::string text = "{\"plans\": [{}";
  for (int i = 0; i < 1000; ++i)
    text += ",{}";
  const auto plans = ParsePlans(text + "]}", "config/plans");
  cr_assert(plans.error().size() == 101);
  cr_assert(plans.error().back().message == "2903 more findings are not shown");
}

// Guards against a crash on any bytes that the store or a peer may deliver, and against content
// that is accepted but can't be written back.
Test(Lists, MutatedInputNeverCrashes)
{
  const bool ok = rc::check([](uint64_t aSeed) {
    Random random(aSeed);
    const auto list = static_cast<ListName>(random.Below(kListCount));
    const std::string text = Mutate(kExamples[static_cast<size_t>(list)], random);
    const auto parsed = ReplaceList(FleetLists{}, list, 1, text);
    RC_CLASSIFY(parsed.has_value(), "accepted");
    if (!parsed) {
      RC_ASSERT(!parsed.error().empty());
      return;
    }
    RC_ASSERT(ReplaceList(FleetLists{}, list, 1, SerialiseList(*parsed, list)).value() == *parsed);
  });
  cr_assert(ok);
}
