#include "../Net/TestServers.h"
#include "dragonflymoor/Operator/FleetStatus.h"
#include "dragonflymoor/Operator/HttpClient.h"
#include "dragonflymoor/Operator/ListEditor.h"
#include "dragonflymoor/Operator/ListElement.h"
#include "dragonflymoor/Operator/TextDiff.h"
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <rapidcheck.h>

using namespace dfm;

namespace {

// Fixed for CI; the environment variable RC_PARAMS takes precedence.
constexpr const char* kRapidcheckParameters = "seed=20261204 max_success=500";

std::string
PlansText(uint32_t aWeight)
{
  return fmt::format("{{\"plans\": [{{\"id\": \"p\", \"workspace\": \"w\", \"weight\": {}}}]}}",
                     aWeight);
}

/// Object store in memory that can lose answers, before or after a write took effect.
struct FakeStore
{
  enum class Fault
  {
    None,
    AnswerLost,
    CallLost,
  };
  std::map<std::string, ListText> objects;
  std::vector<std::pair<ListVersion, std::string>> history; ///< Replaced version and new text.
  ListVersion version = 0;
  std::vector<Fault> faults; ///< For the next puts, last one first.
  std::function<void()> beforePut;

  StoreResult Call(const StoreCall& aCall)
  {
    ListText& object = objects[aCall.object];
    if (aCall.kind == StoreCall::Kind::Get) {
      return { .status = object.version == 0 ? StoreStatus::NotFound : StoreStatus::Ok,
               .version = object.version,
               .content = object.text };
    }
    if (beforePut)
      std::exchange(beforePut, nullptr)();
    Fault fault = Fault::None;
    if (!faults.empty()) {
      fault = faults.back();
      faults.pop_back();
    }
    if (fault == Fault::CallLost)
      return {};
    if (object.version != aCall.expectedVersion)
      return fault == Fault::None ? StoreResult{ .status = StoreStatus::Conflict } : StoreResult{};
    history.emplace_back(object.version, aCall.content);
    object = ListText{ .version = ++version, .text = aCall.content };
    return fault == Fault::None ? StoreResult{ .status = StoreStatus::Ok, .version = version }
                                : StoreResult{};
  }

  ListEditor Editor()
  {
    return ListEditor({ .callStore = [this](const StoreCall& aCall) { return Call(aCall); },
                        .wait = [](Duration) {},
                        .progress = [](const std::string&) {} });
  }
};

struct WriteCase
{
  FakeStore::Fault fault;
  bool otherOperator;
  bool dryRun;
  bool valid;
  WriteStatus expected;
  size_t writes; ///< Changes that the store saw, by anybody.
};

} // namespace

ParameterizedTestParameters(ListEditor, Outcomes)
{
  using enum FakeStore::Fault;
  static WriteCase cases[] = {
    { None, false, false, true, WriteStatus::Written, 1 },
    { AnswerLost, false, false, true, WriteStatus::Written, 1 },
    { CallLost, false, false, true, WriteStatus::Written, 1 },
    { None, true, false, true, WriteStatus::Conflict, 1 },
    { CallLost, true, false, true, WriteStatus::Conflict, 1 },
    { None, false, true, true, WriteStatus::Checked, 0 },
    { None, false, false, false, WriteStatus::Refused, 0 },
  };
  return cr_make_param_array(WriteCase, cases, sizeof(cases) / sizeof(WriteCase));
}

// Guards against a lost update, a write that is reported wrongly, and an invalid list in the store.
ParameterizedTest(WriteCase* aCase, ListEditor, Outcomes)
{
  FakeStore store;
  ListEditor editor = store.Editor();
  if (aCase->fault != FakeStore::Fault::None)
    store.faults = { aCase->fault };
  if (aCase->otherOperator) {
    store.beforePut = [&] {
      const auto faults = std::exchange(store.faults, {});
      StoreCall put;
      put.kind = StoreCall::Kind::Put;
      put.object = ObjectName(ListName::Plans);
      put.content = PlansText(9);
      store.Call(put);
      store.faults = faults;
    };
  }
  const std::string text = aCase->valid ? PlansText(1) : "{\"plans\": [{\"id\": 7}]}";
  const auto result = editor.Write(ListName::Plans, ListText{}, text, aCase->dryRun);
  cr_assert(result.status == aCase->expected);
  cr_assert(store.history.size() == aCase->writes);
  cr_assert(result.findings.empty() == aCase->valid);
}

// Guards against a change that leaves a reference to a plan that no longer exists.
Test(ListEditor, RefusesBrokenReferences)
{
  FakeStore store;
  store.objects["config/plans"] = ListText{ 1, PlansText(1) };
  store.objects["fleet/services"] =
    ListText{ 2, R"({"services": [{"id": "s", "rank": "bulk", "idempotent": true, "deadlineMs": 9,
      "expectedMs": 1, "expectedAnswerBytes": 1, "guaranteedPercent": [70, 20, 10]}]})" };
  store.objects["config/limits"] = ListText{
    3, R"({"limits": [{"plan": "p", "service": "s", "requestsPerSecond": 1, "maxInFlight": 1}]})"
  };
  ListEditor editor = store.Editor();
  cr_assert(editor.LoadAll().has_value());
  const auto base = *editor.Load(ListName::Plans);
  const auto result = editor.Write(ListName::Plans, base, "{\"plans\": []}", false);
  cr_assert(result.status == WriteStatus::Refused);
  cr_assert(!result.findings.empty() && store.history.empty());
}

// Guards against two operators who overwrite each other, whatever answers are lost.
Test(ListEditor, NeverOverwritesWhatItHasNotRead)
{
  setenv("RC_PARAMS", kRapidcheckParameters, 0);
  cr_assert(rc::check([](const std::vector<std::pair<bool, uint8_t>>& aSteps) {
    FakeStore store;
    ListText seen[2];
    uint32_t weight = 1;
    for (const auto& [who, fault] : aSteps) {
      if (fault % 4 == 3) {
        seen[who ? 1 : 0] = store.Editor().Load(ListName::Plans).value();
        continue;
      }
      store.faults = { static_cast<FakeStore::Fault>(fault % 3) };
      const std::string text = PlansText(++weight);
      const size_t before = store.history.size();
      ListText& base = seen[who ? 1 : 0];
      const auto result = store.Editor().Write(ListName::Plans, base, text, false);
      const bool changed = store.history.size() > before;
      RC_ASSERT(changed == (result.status == WriteStatus::Written));
      RC_ASSERT(!changed || store.history.back() == std::pair(base.version, text));
      RC_ASSERT(changed || store.objects["config/plans"].version != base.version);
    }
  }));
}

// Guards against an edited text whose base is taken for another version or list.
Test(ListEditor, VersionLineRoundTrips)
{
  std::string text = VersionLine(ListName::Limits, 42) + "{}\n";
  cr_assert(!TakeVersionLine(ListName::Plans, text));
  cr_assert(TakeVersionLine(ListName::Limits, text) == 42U);
  cr_assert(text == "{}\n" && !TakeVersionLine(ListName::Limits, text));
}

// Guards against a difference that leaves out or invents lines.
Test(TextDiff, ShowsExactlyTheChangedLines)
{
  cr_assert(DiffLines("a\nb\nc\n", "a\nb\nc\n").empty());
  cr_assert(DiffLines("a\nb\nc\nd\n", "a\nx\nc\nd\ne\n") == "- b\n+ x\n+ e\n");
  cr_assert(rc::check([](const std::vector<bool>& aOld, const std::vector<bool>& aNew) {
    const auto lines = [](const std::vector<bool>& aBits) {
      std::string text;
      for (const bool bit : aBits)
        text += bit ? "x\n" : "y\n";
      return text;
    };
    const std::string diff = DiffLines(lines(aOld), lines(aNew));
    const auto count = [&](char aMark) {
      size_t number = 0;
      for (size_t i = 0; i < diff.size(); i += 4)
        number += diff[i] == aMark ? 1 : 0;
      return number;
    };
    RC_ASSERT(aOld.size() + count('+') == aNew.size() + count('-'));
    RC_ASSERT((lines(aOld) == lines(aNew)) == diff.empty());
  }));
}

// Guards against a change of one element that loses or alters others.
Test(ListElement, ChangesOnlyItsElement)
{
  const ListText base{ 4, R"({"plans": [ // the members' tills
    {"id": "a", "workspace": "w", "weight": 2}, {"id": "b", "workspace": "w", "weight": 3}]})" };
  const auto changed =
    ChangeElement(ListName::Plans, base, { .name = "b", .fields = { "weight=7" } });
  cr_assert(FindElement(ListName::Plans, *changed, "a") ==
            R"({"id":"a","workspace":"w","weight":2})");
  cr_assert(FindElement(ListName::Plans, *changed, "b") ==
            R"({"id":"b","workspace":"w","weight":7})");
  cr_assert(!ChangeElement(ListName::Plans, base, { .name = "c", .fields = { "weight=7" } }));
  cr_assert(!ChangeElement(ListName::Plans, base, { .name = "b", .fields = { "weight=-1" } }));
  cr_assert(!ChangeElement(ListName::Plans, base, { .name = "c", .remove = true }));
  const auto removed = ChangeElement(ListName::Plans, base, { .name = "a", .remove = true });
  cr_assert(!FindElement(ListName::Plans, *removed, "a"));
  const auto limit =
    ChangeElement(ListName::Limits,
                  ListText{},
                  { .name = "a/s", .fields = { "requestsPerSecond=5", "maxInFlight=2" } });
  cr_assert(limit && FindElement(ListName::Limits, *limit, "a/s"));
}

// Guards against a drain that is reported as finished while requests run or a VM is unknown.
Test(FleetStatus, DrainProgressWaitsForTheLastRequest)
{
  const auto page = [](const char* aState, int aInFlight) {
    return fmt::format(
      R"({{"vm": "v1", "region": "r", "failureDomain": "f", "ready": true, "stopping": false,
        "requestsInFlight": 0, "listVersions": {{}},
        "members": [{{"vm": "v2", "state": "alive", "leaving": true}}],
        "pools": [{{"service": "s", "failureDomain": "f", "owner": "v1", "mine": true, "slots": 8,
                   "inFlight": {1}, "queued": {{"urgent": 1}}}}],
        "servers": [{{"id": "b1", "state": "{0}", "slots": 8, "inFlight": {1}, "waitingFor": ""}}],
        "links": []}})",
      aState,
      aInFlight);
  };
  FleetLists lists;
  lists.backends = { { .id = BackendId("b1"),
                       .service = ServiceId("s"),
                       .region = RegionId("r"),
                       .failureDomain = FailureDomainId("f") } };
  lists.roster.resize(2);
  lists.roster[0].id = VmId("v2");
  lists.roster[0].failureDomain = FailureDomainId("f");
  lists.roster[1].id = VmId("v3");
  lists.roster[1].failureDomain = FailureDomainId("other");
  const Drain server{ .target = DrainTarget::BackendServer, .name = "b1" };
  const Drain domain{ .target = DrainTarget::FailureDomain, .name = "f" };
  const FleetStatus busy{ *ParseVmStatus(page("draining", 3), "p") };
  const FleetStatus idle{ *ParseVmStatus(page("draining", 0), "p") };
  const FleetStatus active{ *ParseVmStatus(page("active", 0), "p") };
  cr_assert(!ProgressOf(lists, server, busy).Done());
  cr_assert(ProgressOf(lists, server, idle).Done());
  cr_assert(!ProgressOf(lists, server, active).Done());
  cr_assert(!ProgressOf(lists, server, {}).Done());
  cr_assert(!ProgressOf(lists, domain, idle).Done(), "the VM v2 is still alive");
  const auto use = MeanUse(lists, { busy, idle });
  cr_assert(use && use->size() == 1 && use->front().slotsInUse == 1.5);
  cr_assert(!MeanUse(lists, { busy, {} }), "an unknown use is not zero");
  cr_assert(!ParseVmStatus("{\"vm\": 1}", "p") && !ParseVmStatus("[", "p"));
}

Test(HttpClient, EndpointsAreIpAddresses)
{
  cr_assert(ParseEndpoint("192.0.2.1:80") == (Endpoint{ "192.0.2.1", 80 }));
  cr_assert(ParseEndpoint("[2001:db8::1]:80") == (Endpoint{ "2001:db8::1", 80 }));
  for (const char* text : { "", "host:80", "192.0.2.1", "192.0.2.1:0", "192.0.2.1:x", "::1:80" })
    cr_assert(!ParseEndpoint(text), "%s", text);
}

// Guards against a reason that operators meet in counters and headers but not in their manual.
// Guards against an operator's tool that shows what is no answer, or only announces one.
Test(HttpClient, ReturnsOnlyFinalAnswers)
{
  struct Case
  {
    const char* answer;
    std::optional<std::string> page;
  };
  const Case cases[] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok" },
    { "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok" },
    { "HTTP/1.1 200 OK\r\n\r\nends with the connection", "ends with the connection" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", std::nullopt },
    { "HTTP/1.1 000 OK\r\n\r\nok", std::nullopt },
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", std::nullopt },
    { "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\nok", std::nullopt },
  };
  for (const Case& testCase : cases) {
    TestServer server([&](const HttpRequest&) -> TestServer::Action {
      return { .bytes = testCase.answer, .close = true };
    });
    const auto page = FetchPage(server.Address(), "/metrics", 20s);
    cr_assert(page == testCase.page, "%s: %s", testCase.answer, page.value_or("nothing").c_str());
  }
}

Test(Manual, ExplainsEveryReason)
{
  std::ifstream file(DFM_SOURCE_DIR "/docs/operators.md");
  const std::string manual(std::istreambuf_iterator<char>(file), {});
  for (size_t i = 0; i < kReasonCount; ++i) {
    const auto row = fmt::format("\n| `{}` | ", ToString(static_cast<Reason>(i)));
    cr_assert(manual.find(row) != std::string::npos, "%s", row.c_str());
  }
}
