#include "dragonflymoor/Net/Daemon.h"
#include "StubEngine.h"
#include "TestServers.h"
#include "dragonflymoor/Net/Control.h"
#include "dragonflymoor/Wire/Framing.h"
#include <boost/asio/ip/udp.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dfm;

namespace {

Settings
MakeSettings(const std::string& aVm)
{
  const Endpoint any{ .address = "127.0.0.1", .port = 0 };
  Settings settings;
  settings.vm = VmId(aVm);
  settings.region = RegionId("gauteng");
  settings.failureDomain = FailureDomainId("gauteng-a");
  settings.callers = { .listen = any, .advertised = any };
  settings.peers = { .listen = any, .advertised = any };
  settings.operators = any;
  settings.store = { .address = "127.0.0.1", .port = 1 };
  settings.logLevel = LogLevel::Error;
  settings.bounds.headerBytes = 2048;
  settings.bounds.bodyBytes = 1000;
  return settings;
}

/// A daemon with the stub engine on a thread of its own.
class RunningDaemon
{
public:
  RunningDaemon(const Settings& aSettings, StubPlan aPlan)
  {
    SetLogLevel(LogLevel::Error);
    SetStubPlan(aSettings.vm, std::move(aPlan));
    auto daemon = Daemon::Create(aSettings);
    cr_assert(daemon.has_value());
    daemon_ = std::move(*daemon);
    thread_ = std::thread([this] { daemon_->Run(); });
  }

  ~RunningDaemon() { Stop(); }

  RunningDaemon(const RunningDaemon&) = delete;
  RunningDaemon& operator=(const RunningDaemon&) = delete;

  void Stop()
  {
    if (!thread_.joinable())
      return;
    daemon_->BeginStop();
    thread_.join();
  }

  Daemon& operator*() { return *daemon_; }
  const Vm& Self() const { return daemon_->Self(); }

  std::string Page(const std::string& aPath)
  {
    TestCaller caller(daemon_->Operators());
    return caller.Ask(HttpRequest(http::verb::get, aPath, 11)).body();
  }

private:
  std::unique_ptr<Daemon> daemon_;
  std::thread thread_;
};

StubPlan
ToBackend(const TestServer& aServer)
{
  return { .backend = BackendServer{ .id = BackendId("s1"), .endpoint = aServer.Address() } };
}

/// Answers with what it got: method, target, body and some headers.
TestServer::Action
Echo(const HttpRequest& aRequest)
{
  const std::string text = std::string(aRequest.method_string()) + " " +
                           std::string(aRequest.target()) + " " + aRequest.body() + " " +
                           std::string(aRequest["X-Custom"]) + " " + std::string(aRequest["X-Hop"]);
  return { .bytes = TestServer::Answer(
             201, text, "X-Shelf: 12\r\nX-Out: 1\r\nConnection: keep-alive, x-out\r\n") };
}

} // namespace

// Guards against requests or answers that lose parts on the way through one VM.
Test(Daemon, PassesRequestsAndAnswersOnUnchanged)
{
  TestServer server(Echo);
  RunningDaemon daemon(MakeSettings("echo"), ToBackend(server));
  TestCaller caller(daemon.Self().callers);
  for (const std::string body : { "one", "two", "three" }) {
    HttpRequest request = ServiceRequest("/shelf?id=4", body);
    request.set("X-Custom", "7");
    request.set("X-Hop", "8");
    request.set(http::field::connection, "x-hop");
    const HttpAnswer answer = caller.Ask(request);
    cr_assert(answer.result_int() == 201);
    cr_assert(answer.body() == "POST /shelf?id=4 " + body + " 7 ", "%s", answer.body().c_str());
    cr_assert(answer["Dfm-Outcome"] == "answered");
    cr_assert(answer["X-Shelf"] == "12");
    cr_assert(answer.count("X-Out") == 0);
    cr_assert(answer["Dfm-Request-Id"].starts_with("echo-"));
  }
}

// Guards against a caller that gets the answer of another caller.
Test(Daemon, EachCallerGetsItsOwnAnswer)
{
  TestServer server(Echo);
  RunningDaemon daemon(MakeSettings("own"), ToBackend(server));
  std::atomic<int> right = 0;
  std::vector<std::thread> callers;
  callers.reserve(8);
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&, i] {
      TestCaller caller(daemon.Self().callers);
      for (int k = 0; k < 50; ++k) {
        const std::string body = std::to_string(i) + "-" + std::to_string(k);
        const HttpAnswer answer = caller.Ask(ServiceRequest("/x", body));
        right += answer.body() == "POST /x " + body + "  " ? 1 : 0;
      }
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  cr_assert(right == 400);
}

namespace {

struct RawCase
{
  char request[400];
  int status;
  char body[80];
};

} // namespace

ParameterizedTestParameters(Daemon, AnswersWithoutABackend)
{
  static RawCase cases[] = {
    { "GET /v1/route?service=lookup HTTP/1.1\r\n\r\n", 200, "" },
    { "GET /v1/route?service=no HTTP/1.1\r\n\r\n",
      400,
      "parameter service: \"no\" does not exist\n" },
    { "POST /v1/route HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
      405,
      "route answers are read with GET\n" },
    { "GET /v2 HTTP/1.1\r\n\r\n", 404, "no such path\n" },
    { "GET /v1/s/lookup/x HTTP/1.1\r\n\r\n", 400, "header Dfm-Workspace is missing\n" },
    { "GET /v1/s/lookup/x HTTP/1.1\r\nDfm-Workspace: k\r\nDfm-Plan: p\r\n\r\n",
      503,
      "not-run: no-server\n" },
    { "POST /v1/s/x HTTP/1.1\r\nContent-Length: 1001\r\n\r\n",
      413,
      "the body is longer than 1000 bytes\n" },
    { "no HTTP at all\r\n\r\n", 400, "malformed request: bad version\n" },
    { "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
      400,
      "malformed request: multiple Content-Length\n" },
  };
  return cr_make_param_array(RawCase, cases, sizeof(cases) / sizeof(RawCase));
}

// Guards against wrong statuses and texts, and against callers left without any answer.
ParameterizedTest(RawCase* aCase, Daemon, AnswersWithoutABackend)
{
  RunningDaemon daemon(MakeSettings("raw"), {});
  TestCaller caller(daemon.Self().callers);
  caller.SendBytes(aCase->request);
  const HttpAnswer answer = caller.Receive();
  cr_assert(static_cast<int>(answer.result_int()) == aCase->status, "%u", answer.result_int());
  if (aCase->status == 200) {
    const std::string expected =
      "{\"vms\":[{\"address\":\"127.0.0.1:" + std::to_string(daemon.Self().callers.port) +
      "\",\"vm\":\"raw\"}],\"ttlMs\":2000,\"keyPrefix\":\"b.x.1.\"}";
    cr_assert(answer.body() == expected, "%s", answer.body().c_str());
    return;
  }
  cr_assert(answer.body() == aCase->body, "%s", answer.body().c_str());
  const bool unread = answer.body().starts_with("malformed");
  cr_assert(answer["Dfm-Outcome"] == (unread ? "unknown" : "not-run"));
}

// Guards against headers without end that fill the memory.
Test(Daemon, RefusesOversizedHeaders)
{
  RunningDaemon daemon(MakeSettings("headers"), {});
  TestCaller caller(daemon.Self().callers);
  caller.SendBytes("GET /v1/route HTTP/1.1\r\nX-Long: " + std::string(4000, 'x') + "\r\n\r\n");
  cr_assert(caller.Receive().result_int() == 431);
}

// Guards against connections beyond the bound that take the memory of the others.
Test(Daemon, RefusesConnectionsBeyondTheBound)
{
  Settings settings = MakeSettings("connections");
  settings.bounds.connections = 1;
  RunningDaemon daemon(settings, {});
  TestCaller first(daemon.Self().callers);
  cr_assert(first.Ask(HttpRequest(http::verb::get, "/v2", 11)).result_int() == 404);
  TestCaller second(daemon.Self().callers);
  cr_assert(second.Receive().result_int() == 503);
  cr_assert(first.Ask(HttpRequest(http::verb::get, "/v2", 11)).result_int() == 404);
}

namespace {

struct SlowCase
{
  char bytes[80]; ///< What the caller sends before it falls silent.
};

} // namespace

ParameterizedTestParameters(CallerServer, ClosesSlowConnections)
{
  static SlowCase cases[] = {
    { "" },
    { "GET /v1/route HTT" },
    { "POST /v1/s/x HTTP/1.1\r\nContent-Length: 5\r\n\r\nab" },
  };
  return cr_make_param_array(SlowCase, cases, sizeof(cases) / sizeof(SlowCase));
}

// Guards against callers that hold connections and memory by sending nothing.
ParameterizedTest(SlowCase* aCase, CallerServer, ClosesSlowConnections)
{
  using std::chrono::milliseconds;
  auto shared = std::make_shared<CallerShared>();
  shared->budget = std::make_shared<BodyBudget>(1000);
  CallerHooks hooks;
  hooks.count = [](std::string_view, Reason) {};
  asio::io_context context;
  const CallerTimeouts timeouts{ .idle = milliseconds(50),
                                 .header = milliseconds(50),
                                 .body = milliseconds(50) };
  CallerServer server(shared, timeouts, hooks);
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  acceptor.async_accept([&](error_code, tcp::socket aSocket) { server.Serve(std::move(aSocket)); });
  TestCaller caller(FromTcp(acceptor.local_endpoint()));
  caller.SendBytes(aCase->bytes);
  context.run();
  cr_assert(caller.IsClosed());
  cr_assert(shared->connections == 0);
  cr_assert(shared->budget->Used() == 0);
}

// Guards against kept answers that grow without bound, and against the loss of the newest ones.
Test(KeptAnswers, DropsTheOldestBeyondTheBound)
{
  KeptAnswers kept(25);
  for (uint64_t id = 1; id <= 3; ++id) {
    auto answer = std::make_shared<StoredAnswer>();
    answer->message.body() = "0123456789";
    kept.Keep({ id }, std::move(answer));
  }
  cr_assert(kept.Find({ 1 }) == nullptr);
  cr_assert(kept.Find({ 2 }) != nullptr);
  cr_assert(kept.Find({ 3 }) != nullptr);
  kept.Forget({ 2 });
  cr_assert(kept.Find({ 2 }) == nullptr);
}

// Guards against bodies that together take more memory than the VM has.
Test(Daemon, RefusesBodiesBeyondTheMemory)
{
  Settings settings = MakeSettings("memory");
  settings.bounds.bodyMemoryBytes = 1000;
  RunningDaemon daemon(settings, {});
  TestCaller slow(daemon.Self().callers);
  slow.SendBytes("POST /v1/s/x/ HTTP/1.1\r\nContent-Length: 600\r\n\r\n");
  cr_assert(Eventually(
    [&] { return daemon.Page("/metrics").find("body_memory_bytes 600\n") != std::string::npos; }));
  TestCaller caller(daemon.Self().callers);
  const HttpAnswer refused = caller.Ask(ServiceRequest("/x", std::string(600, 'x')));
  cr_assert(refused.result_int() == 503);
  cr_assert(refused["Retry-After"] == "1");
  slow.Close();
  cr_assert(Eventually(
    [&] { return daemon.Page("/metrics").find("body_memory_bytes 0\n") != std::string::npos; }));
}

// Guards against requests and replies that lose parts between two VMs.
Test(Daemon, PassesRequestsOnToAnotherVm)
{
  TestServer server(Echo);
  RunningDaemon owner(MakeSettings("owner"), ToBackend(server));
  RunningDaemon entry(MakeSettings("entry"), { .peer = owner.Self() });
  TestCaller caller(entry.Self().callers);
  for (const std::string body : { "one", "two" }) {
    HttpRequest request = ServiceRequest("/shelf", body);
    request.set("X-Custom", "7");
    const HttpAnswer answer = caller.Ask(request);
    cr_assert(answer.result_int() == 201);
    cr_assert(answer.body() == "POST /shelf " + body + " 7 ");
    cr_assert(answer["Dfm-Outcome"] == "answered");
    cr_assert(answer["X-Shelf"] == "12");
  }
  cr_assert(caller.Ask(ServiceRequest("/shelf")).body() == "GET /shelf   ");
}

// Guards against a rejection that claims "not run" after the request has left, and the reverse.
Test(Daemon, TellsUnreachablePeersFromBrokenLinks)
{
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  const Vm peer{ .id = VmId("peer"), .peers = FromTcp(acceptor.local_endpoint()) };
  RunningDaemon entry(MakeSettings("links"), { .peer = peer });
  TestCaller caller(entry.Self().callers);
  caller.Send(ServiceRequest("/x"));
  {
    tcp::socket link = acceptor.accept();
    char byte = 0;
    link.read_some(asio::buffer(&byte, 1));
  }
  const HttpAnswer broken = caller.Receive();
  cr_assert(broken["Dfm-Outcome"] == "unknown");
  cr_assert(broken.result_int() == 502);
  acceptor.close();
  const HttpAnswer refused = caller.Ask(ServiceRequest("/x"));
  cr_assert(refused["Dfm-Outcome"] == "not-run");
  cr_assert(refused.result_int() == 503);
}

// Guards against a malformed frame that is ignored, with everything after it misread.
Test(Daemon, ClosesLinksAfterAMalformedFrame)
{
  RunningDaemon daemon(MakeSettings("frames"), {});
  TestCaller good(daemon.Self().peers);
  const std::string payload = EncodeStream(VmId("a"), CrashReport{ .reportId = 1 });
  const auto header = FrameHeader(payload.size());
  good.SendBytes(std::string(header.begin(), header.end()) + payload);
  cr_assert(Eventually([] { return StubEvents(VmId("frames"), "stream") == 1; }));
  TestCaller bad(daemon.Self().peers);
  bad.SendBytes(std::string("\x04\0\0\0abcd", 8));
  cr_assert(bad.IsClosed());
  cr_assert(Eventually([&] {
    const std::string metrics = daemon.Page("/metrics");
    return metrics.find("malformed_frames_total{reason=\"peer-failed\"} 1\n") != std::string::npos;
  }));
}

// Guards against datagrams that do not arrive, or a malformed one that stops the receiver.
Test(Daemon, ReceivesDatagramsAfterAMalformedOne)
{
  RunningDaemon receiver(MakeSettings("receiver"), {});
  {
    asio::io_context context;
    asio::ip::udp::socket socket(context, asio::ip::udp::v4());
    socket.send_to(asio::buffer("noise"),
                   { asio::ip::make_address("127.0.0.1"), receiver.Self().peers.port });
  }
  Settings settings = MakeSettings("sender");
  settings.seeds = { receiver.Self().peers };
  RunningDaemon sender(settings, {});
  cr_assert(Eventually([] { return StubEvents(VmId("receiver"), "datagram") == 1; }));
  cr_assert(Eventually([] { return StubEvents(VmId("sender"), "datagram") == 1; }));
}

// Guards against backend work that goes on for callers that are gone, on this VM and the next.
Test(Daemon, CancelsRequestsOfCallersThatAreGone)
{
  TestServer server([](const HttpRequest&) { return TestServer::Action(); });
  RunningDaemon owner(MakeSettings("cancel-owner"), ToBackend(server));
  RunningDaemon entry(MakeSettings("cancel-entry"), { .peer = owner.Self() });
  auto direct = std::make_unique<TestCaller>(owner.Self().callers);
  direct->Send(ServiceRequest("/x"));
  cr_assert(Eventually([&] { return server.Requests() == 1; }));
  direct.reset();
  cr_assert(Eventually([] { return StubEvents(VmId("cancel-owner"), "attempt-cancelled") == 1; }));
  auto remote = std::make_unique<TestCaller>(entry.Self().callers);
  remote->Send(ServiceRequest("/x"));
  cr_assert(Eventually([&] { return server.Requests() == 2; }));
  remote.reset();
  cr_assert(Eventually([] { return StubEvents(VmId("cancel-entry"), "cancelled") == 1; }));
}

// Guards against a repeated order that is answered without the answer of its first copy.
Test(Daemon, RepeatsTheRememberedAnswer)
{
  std::atomic<int> runs = 0;
  TestServer server([&](const HttpRequest&) -> TestServer::Action {
    return { .bytes = TestServer::Answer(200, "order " + std::to_string(++runs)) };
  });
  RunningDaemon daemon(MakeSettings("orders"), ToBackend(server));
  TestCaller caller(daemon.Self().callers);
  HttpRequest request = ServiceRequest("/order", "x");
  request.set("Idempotency-Key", "k1");
  request.set("Dfm-Created", "1000");
  cr_assert(caller.Ask(request).body() == "order 1");
  cr_assert(caller.Ask(request).body() == "order 1");
  request.set("Idempotency-Key", "k2");
  cr_assert(caller.Ask(request).body() == "order 2");
}

// Guards against a planned stop that interrupts a request in flight.
Test(Daemon, GracefulStopFinishesRequestsInFlight)
{
  std::atomic<bool> release = false;
  const std::string body(900'000, 'x');
  TestServer server([&](const HttpRequest&) -> TestServer::Action {
    Eventually([&] { return release.load(); });
    return { .bytes = TestServer::Answer(200, body) };
  });
  RunningDaemon daemon(MakeSettings("stop"), ToBackend(server));
  TestCaller caller(daemon.Self().callers);
  caller.Send(ServiceRequest("/x"));
  cr_assert(Eventually([&] { return server.Requests() == 1; }));
  std::thread stopper([&] { daemon.Stop(); });
  cr_assert(Eventually([&] { return daemon.Page("/readyz") == "not ready\n"; }));
  release = true;
  const HttpAnswer answer = caller.Receive();
  cr_assert(answer.body() == body);
  cr_assert(!answer.keep_alive());
  stopper.join();
}

// Guards against operators' pages that are missing or unreadable.
Test(Daemon, ServesTheOperatorsPages)
{
  RunningDaemon daemon(MakeSettings("pages"), {});
  cr_assert(Eventually([&] { return daemon.Page("/readyz") == "ready\n"; }));
  cr_assert(daemon.Page("/healthz") == "ok\n");
  cr_assert(daemon.Page("/metrics").find("dragonflymoor_ready 1\n") != std::string::npos);
  cr_assert(daemon.Page("/status").starts_with("{\"vm\":\"pages\",\"region\":\"gauteng\""));
  cr_assert(daemon.Page("/other") == "no such page\n");
}

// Guards against a daemon that starts without one of its ports.
Test(Daemon, ReportsPortsThatAreInUse)
{
  RunningDaemon first(MakeSettings("first"), {});
  Settings settings = MakeSettings("second");
  settings.callers.listen = first.Self().callers;
  settings.peers.listen = first.Self().peers;
  const auto second = Daemon::Create(settings);
  cr_assert(!second);
  cr_assert(second.error().size() == 2, "%s", FormatFindings(second.error()).c_str());
  cr_assert(second.error()[0].place == "callers.listen");
  cr_assert(second.error()[1].place == "peers.listen");
}
