#include "dragonflymoor/Fakes/BackendFleet.h"
#include "dragonflymoor/Fakes/Link.h"
#include "dragonflymoor/Fakes/PeakWindow.h"
#include "dragonflymoor/Fakes/Platform.h"
#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <criterion/criterion.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <rapidcheck.h>
#include <thread>
#include <unistd.h>

using namespace dfm;
using namespace dfm::fakes;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

/// Loopback address that no other test process uses at the same time.
std::string
TestAddress(int aHost)
{
  const int pid = getpid();
  return fmt::format("127.{}.{}.{}", 100 + pid / 250 % 100, pid % 250, aHost);
}

/// Writes a file that is removed at the end of the test process.
std::string
WriteTempFile(const std::string& aText)
{
  struct Directory
  {
    std::filesystem::path path =
      std::filesystem::temp_directory_path() / fmt::format("dfm-fakes-test-{}", getpid());
    int files = 0;
    Directory() { std::filesystem::create_directory(path); }
    ~Directory() { std::filesystem::remove_all(path); }
  };
  static Directory directory;
  std::string path = directory.path / std::to_string(++directory.files);
  std::ofstream(path) << aText;
  return path;
}

/// Runs a fake on its own thread until the end of the scope.
template<typename Fake, typename Options>
class Running
{
public:
  explicit Running(const Options& aOptions)
    : fake(io_, aOptions)
  {
    fake.Start();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Running()
  {
    asio::post(io_, [this] { fake.Stop(); });
    thread_.join();
  }
  Running(const Running&) = delete;
  Running& operator=(const Running&) = delete;

private:
  asio::io_context io_;
  std::thread thread_;

public:
  Fake fake;
};

/// Sends one request on a connection of its own; status 0 when there was no answer.
HttpResponse
Send(const std::string& aAddress,
     uint16_t aPort,
     http::verb aVerb,
     const std::string& aTarget,
     const std::string& aBody = "",
     const std::map<std::string, std::string>& aHeaders = {})
{
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect({ asio::ip::make_address(aAddress), aPort });
  HttpRequest request(aVerb, aTarget, 11);
  for (const auto& [name, value] : aHeaders)
    request.set(name, value);
  request.body() = aBody;
  request.prepare_payload();
  http::write(socket, request);
  boost::beast::flat_buffer buffer;
  HttpResponse response;
  boost::system::error_code error;
  http::read(socket, buffer, response, error);
  if (error)
    response.result(0U);
  return response;
}

std::string
OneBackend(const std::string& aAddress, int aSlots)
{
  return WriteTempFile(fmt::format(R"({{"backends": [{{"id": "s1", "service": "orders",
    "region": "r1", "failureDomain": "d1", "endpoint": "{}:0", "slots": {}}}]}})",
                                   aAddress,
                                   aSlots));
}

BackendFleetOptions
FleetOptions(const std::string& aAddress, int aSlots, const std::string& aSettings)
{
  return { .control = ParseEndpoint(aAddress + ":0"),
           .backendsFile = OneBackend(aAddress, aSlots),
           .settingsFile = WriteTempFile(aSettings),
           .seed = 1 };
}

} // namespace

// Guards against a fake store that lets a conditional write through after a conflict, or that
// undoes a write whose answer is lost: tests of the store client would then prove nothing.
Test(Platform, VersionsConflictsAndLostAnswers, .timeout = 30)
{
  const std::string address = TestAddress(1);
  Running<Platform, PlatformOptions> platform(PlatformOptions{
    .listen = ParseEndpoint(address + ":0"), .control = std::nullopt, .directory = "" });
  const uint16_t port = platform.fake.Port();
  const auto put = [&](const std::string& aBody, const char* aHeader, const std::string& aValue) {
    return Send(address, port, http::verb::put, "/objects/a/b", aBody, { { aHeader, aValue } });
  };
  const auto created = put("1", "If-None-Match", "*");
  cr_assert(created.result_int() == 201);
  const std::string first(created[http::field::etag]);
  cr_assert(put("2", "If-None-Match", "*").result_int() == 412);

  auto watch = std::async(std::launch::async, [&] {
    const std::string version = first.substr(1, first.size() - 2);
    return Send(address, port, http::verb::get, "/objects/a/b?watch=" + version);
  });
  Send(address, port, http::verb::post, "/fault", R"({"loseAnswers": 1})");
  cr_assert(put("3", "If-Match", first).result_int() == 0);
  cr_assert(watch.get().body() == "3");
  const auto conflict = put("4", "If-Match", first);
  cr_assert(conflict.result_int() == 412);
  cr_assert(put("4", "If-Match", std::string(conflict[http::field::etag])).result_int() == 200);
  cr_assert(Send(address, port, http::verb::get, "/objects/a/b").body() == "4");
}

// Guards against an overrun or double run that the counters miss, and against a slot that stays
// taken after its client left.
Test(BackendFleet, CountsOverrunsAndDoubleRuns, .timeout = 30)
{
  const std::string address = TestAddress(2);
  Running<BackendFleet, BackendFleetOptions> running(
    FleetOptions(address, 1, R"({"default": {"serviceMs": 200, "distribution": "fixed"}})"));
  const uint16_t port = running.fake.InstancePort(0);
  const std::map<std::string, std::string> key = { { "Idempotency-Key", "k" } };
  {
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect({ asio::ip::make_address(address), port });
    asio::write(socket, asio::buffer(std::string("GET /x/gone HTTP/1.1\r\nHost: a\r\n\r\n")));
    std::this_thread::sleep_for(50ms);
    const auto shed = Send(address, port, http::verb::get, "/x/token");
    cr_assert(shed.result_int() == 503 && shed["Dfm-Shed"] == "1");
  }
  std::this_thread::sleep_for(50ms);
  const auto answer = Send(address, port, http::verb::get, "/x/token", "", key);
  cr_assert(answer.result_int() == 200, "the cancelled request kept its slot");
  cr_assert(IsAnswerTo("token", answer.body()));
  Send(address, port, http::verb::get, "/x/again", "", key);
  const auto stats = Send(address, running.fake.ControlPort(), http::verb::get, "/stats").body();
  cr_assert(stats.find(R"("overruns":1,"keys":1,"doubleRuns":1)") != std::string::npos,
            "%s",
            stats.c_str());
}

// Guards against a check of answers that accepts a truncated or foreign answer.
Test(BackendFleet, AnswerCheckDetectsForeignAndCutAnswers)
{
  const bool ok = rc::check([] {
    const auto bytes = *rc::gen::inRange<size_t>(0, 200000);
    const std::string body = MakeAnswerBody("/path/t1?q=/t2", bytes);
    RC_ASSERT(IsAnswerTo("t1", body));
    RC_ASSERT(!IsAnswerTo("t2", body));
    RC_ASSERT(!IsAnswerTo("t1", std::string_view(body).substr(0, body.size() - 1)));
    std::string changed = body;
    changed[*rc::gen::inRange<size_t>(0, body.size())] ^= 1;
    RC_ASSERT(!IsAnswerTo("t1", changed));
  });
  cr_assert(ok);
}

// Guards against a relay that reorders or loses bytes, skips its delay, or does not count.
Test(Link, DelaysAndCountsBytesInOrder, .timeout = 30)
{
  const std::string sender = TestAddress(10);
  const std::string advertised = TestAddress(11) + ":7400";
  const std::string real = TestAddress(12) + ":7400";
  const std::string config = WriteTempFile(fmt::format(
    R"({{"control": "{0}:0", "sources": {{"{0}": "a", "{4}": "b"}},
    "destinations": [{{"advertised": "{1}", "real": "{2}", "region": "b"}},
                     {{"advertised": "{3}", "real": "{0}:7400", "region": "a"}}],
    "links": [{{"from": "a", "to": "b", "delayMs": 50, "capBytesPerSecond": 20000000}},
              {{"from": "b", "to": "a", "delayMs": 50}}]}})",
    sender,
    advertised,
    real,
    TestAddress(13) + ":7400",
    TestAddress(12)));
  Running<Link, LinkOptions> running(LinkOptions{ .configFile = config });

  asio::io_context io;
  tcp::acceptor acceptor(io, ParseEndpoint(real));
  tcp::socket client(io);
  client.open(tcp::v4());
  client.bind({ asio::ip::make_address(sender), 0 });
  client.connect(ParseEndpoint(advertised));
  tcp::socket server = acceptor.accept();
  cr_assert(server.remote_endpoint().address() == client.local_endpoint().address());

  std::string sent(3 << 20, '\0');
  for (size_t i = 0; i < sent.size(); ++i)
    sent[i] = static_cast<char>(i * 2654435761U >> 13);
  const auto start = std::chrono::steady_clock::now();
  std::thread writer([&] {
    asio::write(client, asio::buffer(sent));
    client.shutdown(tcp::socket::shutdown_send);
  });
  std::string received;
  boost::system::error_code end;
  asio::read(server, asio::dynamic_buffer(received), end);
  writer.join();
  cr_assert(received == sent);
  // 3 MiB at 20 MB/s take 157 ms, and the delay is 50 ms.
  cr_assert(std::chrono::steady_clock::now() - start >= 200ms);

  const std::string stats =
    Send(sender, running.fake.ControlPort(), http::verb::get, "/stats").body();
  cr_assert(stats.find(R"("peakBytesPerSecond":3145728,"bytes":3145728)") != std::string::npos,
            "%s",
            stats.c_str());
}

// Guards against datagrams whose receiver cannot answer: it must see the advertised endpoint of
// the sender. Also checks that a cut drops datagrams.
Test(Link, DatagramsCarryTheAdvertisedSender, .timeout = 30)
{
  const std::string aReal = TestAddress(20) + ":7400";
  const std::string aAdvertised = TestAddress(21) + ":7400";
  const std::string bReal = TestAddress(22) + ":7400";
  const std::string bAdvertised = TestAddress(23) + ":7400";
  const std::string config = WriteTempFile(fmt::format(
    R"({{"control": "{0}:0", "sources": {{"{0}": "a", "{1}": "b"}},
    "destinations": [{{"advertised": "{2}", "real": "{0}:7400", "region": "a"}},
                     {{"advertised": "{3}", "real": "{1}:7400", "region": "b"}}],
    "links": [{{"from": "a", "to": "b", "delayMs": 5}}, {{"from": "b", "to": "a"}}]}})",
    TestAddress(20),
    TestAddress(22),
    aAdvertised,
    bAdvertised));
  Running<Link, LinkOptions> running(LinkOptions{ .configFile = config });

  const auto toUdp = [](const std::string& aText) {
    const tcp::endpoint endpoint = ParseEndpoint(aText);
    return udp::endpoint(endpoint.address(), endpoint.port());
  };
  asio::io_context io;
  udp::socket a(io, toUdp(aReal));
  udp::socket b(io, toUdp(bReal));
  const uint16_t control = running.fake.ControlPort();
  const std::string cut = R"({"from": "a", "to": "b", "cut": true})";
  Send(TestAddress(20), control, http::verb::post, "/fault", cut);
  a.send_to(asio::buffer(std::string("dropped")), toUdp(bAdvertised));
  std::this_thread::sleep_for(50ms);
  const std::string restore = R"({"from": "a", "to": "b", "cut": false})";
  Send(TestAddress(20), control, http::verb::post, "/fault", restore);
  a.send_to(asio::buffer(std::string("ping")), toUdp(bAdvertised));
  std::string text(16, '\0');
  udp::endpoint source;
  text.resize(b.receive_from(asio::buffer(text), source));
  cr_assert(text == "ping" && source == toUdp(aAdvertised));
  b.send_to(asio::buffer(std::string("pong")), source);
  text.resize(16);
  text.resize(a.receive_from(asio::buffer(text), source));
  cr_assert(text == "pong" && source == toUdp(bAdvertised));
}

// Guards against a peak that is measured in fixed seconds and misses a burst across two of them.
Test(PeakWindow, EqualsTheLargestSlidingWindow)
{
  const bool ok = rc::check([] {
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 400000), rc::gen::inRange(0, 1000)));
    PeakWindow window;
    std::vector<std::pair<TimePoint, uint64_t>> events;
    TimePoint now{};
    for (const auto& [gap, bytes] : steps) {
      now += Duration(gap);
      window.Add(now, static_cast<uint64_t>(bytes));
      events.emplace_back(now, static_cast<uint64_t>(bytes));
    }
    uint64_t expected = 0;
    for (const auto& [end, unused] : events) {
      uint64_t sum = 0;
      for (const auto& [time, bytes] : events)
        sum += time <= end && time > end - 1s ? bytes : 0;
      expected = std::max(expected, sum);
    }
    RC_ASSERT(window.Peak() == expected);
  });
  cr_assert(ok);
}
