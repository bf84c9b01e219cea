#include "TestServers.h"
#include "dragonflymoor/Net/BackendClient.h"
#include "dragonflymoor/Net/Clock.h"
#include "dragonflymoor/Net/PlatformClient.h"
#include <boost/asio/steady_timer.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dfm;

namespace {

constexpr char kLoad[] = "{\"inFlight\": 1, \"slots\": 8, \"healthy\": true, \"shedding\": false, "
                         "\"draining\": false, \"process\": \"p1\"}";
constexpr char kLoadOfSuccessor[] =
  "{\"inFlight\": 0, \"slots\": 8, \"healthy\": true, \"shedding\": false, "
  "\"draining\": false, \"process\": \"p2\"}";

struct AttemptCase
{
  char answer[160]; ///< Bytes that the server sends; it closes the connection afterwards.
  bool listenerCloses;
  bool processChanges;
  AttemptEnd end;
};

Attempt
MakeAttempt(const Endpoint& aServer, uint64_t aId = 1, const std::string& aPath = "/x")
{
  auto request = std::make_shared<StoredRequest>();
  request->message = HttpRequest(http::verb::post, aPath, 11);
  request->message.body() = "body";
  Attempt attempt{ .id = { aId }, .requestId = "vm-1", .request = std::move(request) };
  attempt.server = { .id = BackendId("s1"), .endpoint = aServer };
  attempt.deadline = ReadClocks().monotonic + 50s;
  return attempt;
}

/// A backend client and the thread it belongs to, which is the thread of the test.
struct ClientFixture
{
  asio::io_context context;
  HttpPool pool{ context, asio::ip::make_address("127.0.0.1") };
  std::shared_ptr<BodyBudget> budget = std::make_shared<BodyBudget>(1000);
  BackendClient client{ pool, budget, std::make_shared<ProcessIdentities>() };

  void Run()
  {
    context.restart();
    context.run();
  }

  AttemptOutcome Outcome(Attempt aAttempt)
  {
    std::optional<AttemptOutcome> outcome;
    client.Start(std::move(aAttempt), [&](const AttemptOutcome& aOutcome) { outcome = aOutcome; });
    Run();
    cr_assert(outcome.has_value());
    return *outcome;
  }
};

} // namespace

ParameterizedTestParameters(BackendClient, ClassifiesEnds)
{
  static AttemptCase cases[] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, false, AttemptEnd::Answered },
    { "HTTP/1.1 500 Oh\r\nContent-Length: 2\r\n\r\nno", false, false, AttemptEnd::Answered },
    { "HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 204 None\r\n\r\n", false, false, AttemptEnd::Answered },
    { "HTTP/1.1 503 Busy\r\nDfm-Shed: 1\r\nContent-Length: 0\r\n\r\n",
      false,
      false,
      AttemptEnd::Shed },
    { "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", false, false, AttemptEnd::Failed },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
      false,
      false,
      AttemptEnd::Failed },
    { "HTTP/1.1 200 OK\r\n\r\nends with the connection", false, false, AttemptEnd::Failed },
    { "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\nok", false, false, AttemptEnd::Failed },
    { "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok", false, false, AttemptEnd::Failed },
    { "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok", false, false, AttemptEnd::Failed },
    { "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\nok",
      false,
      false,
      AttemptEnd::Failed },
    { "not HTTP\r\n\r\n", true, true, AttemptEnd::Failed },
    { "", false, false, AttemptEnd::Failed },
    { "", false, true, AttemptEnd::Crashed },
    { "", true, false, AttemptEnd::Crashed },
  };
  return cr_make_param_array(AttemptCase, cases, sizeof(cases) / sizeof(AttemptCase));
}

// Guards against a truncated answer that counts as complete, a refusal that counts as an answer,
// and a crash that is blamed on a request whose server still runs.
ParameterizedTest(AttemptCase* aCase, BackendClient, ClassifiesEnds)
{
  std::atomic<bool> crashed = false;
  TestServer server([&](const HttpRequest& aRequest) -> TestServer::Action {
    if (aRequest.target() == "/load")
      return { .bytes = TestServer::Answer(200, crashed ? kLoadOfSuccessor : kLoad) };
    crashed = aCase->processChanges;
    return { .bytes = aCase->answer, .close = true, .closeListener = aCase->listenerCloses };
  });
  ClientFixture fixture;
  std::optional<LoadReport> report;
  fixture.client.PollLoad({ .id = BackendId("s1"), .endpoint = server.Address() },
                          [&](const std::optional<LoadReport>& aReport) { report = aReport; });
  fixture.Run();
  cr_assert(report.has_value());
  cr_assert(report->inFlight == 1 && report->slots == 8);
  const AttemptOutcome outcome = fixture.Outcome(MakeAttempt(server.Address()));
  cr_assert(outcome.result.end == aCase->end, "%d", static_cast<int>(outcome.result.end));
  cr_assert((outcome.answer != nullptr) == (aCase->end == AttemptEnd::Answered));
}

// Guards against answers of a cancelled request that reach the next request on the connection.
Test(BackendClient, DoesNotReuseAConnectionWithAnOutstandingAnswer)
{
  TestServer server([](const HttpRequest& aRequest) -> TestServer::Action {
    if (aRequest.target() == "/never")
      return {};
    return { .bytes = TestServer::Answer(200, std::string(aRequest.target())) };
  });
  ClientFixture fixture;
  // A completed exchange leaves a connection that may be reused.
  fixture.Outcome(MakeAttempt(server.Address(), 1, "/first"));
  fixture.client.Start(MakeAttempt(server.Address(), 2, "/never"),
                       [](const AttemptOutcome& aOutcome) {
                         cr_assert(aOutcome.result.end == AttemptEnd::Cancelled);
                       });
  asio::steady_timer poll(fixture.context);
  std::function<void()> cancelWhenSent = [&] {
    if (server.Requests() == 2) {
      fixture.client.Cancel({ 2 });
      return;
    }
    poll.expires_after(std::chrono::milliseconds(1));
    poll.async_wait([&](error_code) { cancelWhenSent(); });
  };
  cancelWhenSent();
  fixture.Run();
  cr_assert(server.Connections() == 1);
  const AttemptOutcome outcome = fixture.Outcome(MakeAttempt(server.Address(), 3, "/third"));
  cr_assert(outcome.answer != nullptr);
  cr_assert(outcome.answer->message.body() == "/third");
  cr_assert(server.Connections() == 2);
}

// Guards against attempts that hang with a silent server, and against memory that is not returned.
Test(BackendClient, EndsAtTheDeadlineAndReturnsItsMemory)
{
  TestServer server([](const HttpRequest& aRequest) -> TestServer::Action {
    if (aRequest.target() == "/never")
      return {};
    return { .bytes = TestServer::Answer(200, "0123456789") };
  });
  ClientFixture fixture;
  Attempt attempt = MakeAttempt(server.Address(), 1, "/never");
  attempt.deadline = ReadClocks().monotonic + 100ms;
  cr_assert(fixture.Outcome(std::move(attempt)).result.end == AttemptEnd::TimedOut);
  {
    const AttemptOutcome outcome = fixture.Outcome(MakeAttempt(server.Address(), 2));
    cr_assert(outcome.result.answerBytes == 10);
    cr_assert(fixture.budget->Used() == 10);
  }
  cr_assert(fixture.budget->Used() == 0);
}

// Guards against a refused connection that is reported as if the request might have run.
Test(BackendClient, RefusedConnectionSentNothing)
{
  asio::io_context context;
  tcp::acceptor unused(context, { asio::ip::make_address("127.0.0.1"), 0 });
  const Endpoint endpoint = FromTcp(unused.local_endpoint());
  unused.close();
  ClientFixture fixture;
  cr_assert(fixture.Outcome(MakeAttempt(endpoint)).result.end == AttemptEnd::ConnectFailed);
}

namespace {

struct StoreCase
{
  StoreCall::Kind kind;
  uint64_t expected;
  char answer[96];
  char request[96]; ///< Request line and condition as the server sees them.
  StoreStatus status;
  uint64_t version;
};

} // namespace

ParameterizedTestParameters(PlatformClient, SpeaksTheStoreProtocol)
{
  using Kind = StoreCall::Kind;
  static StoreCase cases[] = {
    { Kind::Get,
      0,
      "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 1\r\n\r\nx",
      "GET /objects/claims/1/2 - -",
      StoreStatus::Ok,
      7 },
    { Kind::Get,
      0,
      "HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n",
      "GET /objects/claims/1/2 - -",
      StoreStatus::NotFound,
      0 },
    { Kind::Put,
      0,
      "HTTP/1.1 201 Created\r\nETag: \"1\"\r\nContent-Length: 0\r\n\r\n",
      "PUT /objects/claims/1/2 - *",
      StoreStatus::Ok,
      1 },
    { Kind::Put,
      7,
      "HTTP/1.1 412 No\r\nETag: \"9\"\r\nContent-Length: 0\r\n\r\n",
      "PUT /objects/claims/1/2 \"7\" -",
      StoreStatus::Conflict,
      9 },
    { Kind::Put,
      7,
      "HTTP/1.1 200 OK\r\nETag: \"8\"\r\nContent-Length: 9\r\n\r\n",
      "PUT /objects/claims/1/2 \"7\" -",
      StoreStatus::NoAnswer,
      0 },
    { Kind::Put,
      7,
      "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",
      "PUT /objects/claims/1/2 \"7\" -",
      StoreStatus::NoAnswer,
      0 },
    { Kind::Delete,
      7,
      "HTTP/1.1 204 Gone\r\n\r\n",
      "DELETE /objects/claims/1/2 \"7\" -",
      StoreStatus::Ok,
      0 },
    { Kind::Watch,
      7,
      "HTTP/1.1 304 Same\r\n\r\n",
      "GET /objects/claims/1/2?watch=7 - -",
      StoreStatus::NotFound,
      0 },
  };
  return cr_make_param_array(StoreCase, cases, sizeof(cases) / sizeof(StoreCase));
}

// Guards against unconditional writes, and against a write counted as done or undone without proof.
ParameterizedTest(StoreCase* aCase, PlatformClient, SpeaksTheStoreProtocol)
{
  std::string seen;
  const auto condition = [](const HttpRequest& aRequest, http::field aField) {
    return aRequest.count(aField) == 0 ? std::string("-") : std::string(aRequest[aField]);
  };
  TestServer server([&](const HttpRequest& aRequest) -> TestServer::Action {
    seen = std::string(aRequest.method_string()) + " " + std::string(aRequest.target()) + " " +
           condition(aRequest, http::field::if_match) + " " +
           condition(aRequest, http::field::if_none_match);
    return { .bytes = aCase->answer, .close = true };
  });
  asio::io_context context;
  HttpPool pool(context, std::nullopt);
  PlatformClient client(pool, server.Address());
  StoreCall call{ .kind = aCase->kind, .object = "claims/1/2", .expectedVersion = aCase->expected };
  std::optional<StoreResult> result;
  client.Call(call, [&](StoreResult aResult) { result = std::move(aResult); });
  context.run();
  cr_assert(seen == aCase->request, "%s", seen.c_str());
  cr_assert(result->status == aCase->status);
  cr_assert(result->version == aCase->version);
}

// Guards against a list of VMs that is used although part of it is unreadable.
Test(PlatformClient, ReadsTheWholeListOfVmsOrNothing)
{
  const std::string good =
    "{\"id\": \"a\", \"region\": \"r\", \"failureDomain\": \"f\", \"callers\": "
    "\"10.0.0.1:80\", \"peers\": \"[fd00::1]:81\", \"leaving\": true}";
  const auto vms = ParseVmList("{\"vms\": [" + good + "]}");
  cr_assert(vms.has_value());
  cr_assert(vms->size() == 1);
  cr_assert(vms->front().leaving);
  const Endpoint peers{ .address = "fd00::1", .port = 81 };
  cr_assert(vms->front().vm.peers == peers);
  cr_assert(!ParseVmList("{\"vms\": [" + good + ", {\"id\": \"b\"}]}"));
  cr_assert(!ParseVmList("{}"));
}
