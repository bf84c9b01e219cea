#include "../Net/FramingCases.h"
#include "GatewayFixture.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>

namespace {

using namespace dfm;
using namespace dfm::test;

struct ServingFixture : GatewayFixture
{
  ServingFixture()
  {
    Store().Put(
      "config",
      "main",
      ManifestSpec(
        7,
        { { .service = "any" },
          { .name = "order", .prefix = "/order/", .service = "any", .idempotent = false } }));
    Store().Put("servers", instance.Id(), InstanceSpec(instance, "any"));
    Start();
    const bool served = WaitUntil([this] {
      const auto answer = Send(http::verb::get, "/read/1", "first");
      return answer && answer->result() == http::status::ok;
    });
    cr_assert(served);
  }

  size_t CountReceived(const std::string& aRequestId)
  {
    size_t count = 0;
    for (const Request& request : instance.ReceivedRequests())
      count += request["X-Request-Id"] == aRequestId ? 1 : 0;
    return count;
  }

  StandInInstance instance{ "i-1" };
};

/// Sends the pieces one after the other and returns what arrives until the other side closes.
std::string
SendPieces(const Endpoint& aEndpoint, const std::vector<std::string>& aPieces, Duration aPause = {})
{
  asio::io_context context;
  tcp::socket socket(context);
  error_code error;
  socket.connect(ToTcp(aEndpoint), error);
  socket.set_option(tcp::no_delay(true), error);
  for (const std::string& piece : aPieces) {
    asio::write(socket, asio::buffer(piece), error);
    std::this_thread::sleep_for(aPause);
  }
  std::string received;
  asio::read(socket, asio::dynamic_buffer(received), error);
  return received;
}

size_t
CountAnswers(std::string_view aBytes)
{
  size_t count = 0;
  for (size_t at = aBytes.find("HTTP/1.1 "); at != std::string_view::npos;
       at = aBytes.find("HTTP/1.1 ", at + 1))
    ++count;
  return count;
}

/// Guards against requests hidden in others: callers could run requests that another system has not
/// seen, and get answers that belong to the next request on a shared connection.
Test(Framing, GatewayRunsNoHiddenRequest)
{
  ServingFixture fixture;
  for (const FramingCase& testCase : FramingCases()) {
    const size_t outerBefore = fixture.CountReceived("outer");
    const std::string received =
      SendPieces(fixture.Settings().self.callers, { RequestBytes(testCase) });
    const std::string line = "HTTP/1.1 " + std::to_string(testCase.status) + " ";
    cr_assert(received.starts_with(line) && CountAnswers(received) == 1,
              "%s: the hidden request %s; received: %s",
              testCase.name.data(),
              testCase.hidden.data(),
              received.c_str());
    cr_assert(fixture.CountReceived("hidden") == 0, "%s", testCase.name.data());
    const size_t outer = fixture.CountReceived("outer") - outerBefore;
    cr_assert(outer == (testCase.status == 200 ? 1 : 0), "%s", testCase.name.data());
  }
  const auto metrics = fixture.Get(fixture.Settings().operators, "/metrics");
  cr_assert(metrics && metrics->body().find("unframed_requests_total{reason=\"unknown-coding\"}") !=
                         std::string::npos);
}

/// Guards against trailers that become fields of the request, among them its id and its deadline.
Test(Framing, TrailersAreNoFields)
{
  ServingFixture fixture;
  const std::string received =
    SendPieces(fixture.Settings().self.callers,
               { "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n"
                 "X-Request-Id: id\r\nX-Deadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "2\r\nhi\r\n0\r\nX-Trailer: 1\r\nX-Request-Id: other\r\n\r\n" });
  cr_assert(received.starts_with("HTTP/1.1 200 "));
  const Request request = fixture.instance.ReceivedRequests().back();
  cr_assert(request.body() == "hi" && request.count("X-Trailer") == 0);
  cr_assert(request.count("X-Request-Id") == 1 && request["X-Request-Id"] == "id");
}

/// Guards against a failed assertion of Beast, which any client could cause: an empty chunked body
/// whose last line arrives byte by byte.
Test(Framing, SurvivesALastChunkInPieces)
{
  ServingFixture fixture;
  const std::string head = "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n"
                           "X-Request-Id: id\r\nX-Deadline-Ms: 2000\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  const std::string received =
    SendPieces(fixture.Settings().self.callers, { head, "0\r\n", "\r", "\n" }, 100ms);
  cr_assert(received.starts_with("HTTP/1.1 200 "), "%s", received.c_str());
}

/// Guards against a client that lets the VM buffer bytes without end, and against pages that are
/// read differently from requests.
Test(Framing, EveryPortBoundsAndRejects)
{
  ServingFixture fixture;
  const SteeringSettings& settings = fixture.Settings();
  const std::string chunked = "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
                              "X-Request-Id: id\r\nX-Deadline-Ms: 60000\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n";
  constexpr size_t kPieceBytes = 64UL * 1024;
  constexpr int kPieces = 1024;
  for (const Endpoint& endpoint :
       { settings.self.callers, settings.readiness, settings.directory, settings.operators }) {
    const std::string hidden =
      SendPieces(endpoint,
                 { "GET / HTTP/1.1\r\nHost: vm\r\nTransfer-Encoding: gzip\r\n\r\n"
                   "GET / HTTP/1.1\r\nHost: vm\r\n\r\n" });
    cr_assert(hidden.starts_with("HTTP/1.1 501 ") && CountAnswers(hidden) == 1,
              "port %u: %s",
              endpoint.port,
              hidden.c_str());
    for (const char* const start :
         { "", "0\r\nX-Long: ", "0\r\nX-A: b\r\nX-Long: ", "5;name=", "0000" }) {
      const std::string filler(kPieceBytes, *start == '0' && start[1] == '0' ? '0' : 'x');
      asio::io_context context;
      tcp::socket socket(context);
      error_code error;
      socket.connect(ToTcp(endpoint), error);
      asio::write(socket, asio::buffer(*start == '\0' ? std::string() : chunked + start), error);
      int sent = 0;
      for (; sent < kPieces && !error; ++sent)
        asio::write(socket, asio::buffer(filler), error);
      cr_assert(error.failed(), "port %u took %d pieces after %s", endpoint.port, sent, start);
    }
  }
  const auto answer = fixture.Send(http::verb::get, "/read/1", "next");
  cr_assert(answer && answer->result() == http::status::ok);
}

struct AnswerCase
{
  std::string_view name;
  std::string_view head; ///< Status line and fields.
  std::string_view hidden;
};

/// Guards against an instance's answer that hides a second one, which the next request on the
/// connection would get.
Test(Framing, UnframedAnswersAreBroken)
{
  constexpr std::string_view kHidden = "is the answer to the next request on the connection";
  constexpr std::string_view kCut = "is a part of the answer or not, by the parser";
  const AnswerCase cases[] = {
    { "coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n", kCut },
    { "coding and length",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 0\r\n",
      kHidden },
    { "chunked not last", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n", kCut },
    { "unequal lengths", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Length: 5\r\n", kHidden },
    { "folded length", "HTTP/1.1 200 OK\r\nContent-Length:\r\n 0\r\n", kHidden },
    { "bare LF", "HTTP/1.1 200 OK\r\nX-A: b\nContent-Length: 0\r\n", kHidden },
    { "coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", kCut },
    { "length with status 204", "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n", kHidden },
    { "other protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n", kHidden },
    { "blank in a name", "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 0\r\n", kHidden },
    { "blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n", kHidden },
    { "control byte in a name", "HTTP/1.1 200 OK\r\nX\x01: b\r\nContent-Length: 0\r\n", kHidden },
  };
  ServingFixture fixture;
  for (const AnswerCase& testCase : cases) {
    std::atomic<int> runs = 0;
    fixture.instance.SetBehaviour([&](const Request& aRequest) {
      Reaction reaction = fixture.instance.SuccessReaction(aRequest);
      if (runs++ > 0)
        return reaction;
      const std::string id(aRequest["X-Request-Id"]);
      reaction.bytesBeforeAnswer = std::string(testCase.head) +
                                   "X-Server-Stamp: s\r\nX-Request-Id: " + id + "\r\n\r\n0\r\n\r\n";
      return reaction;
    });
    const std::string name(testCase.name);
    const auto order = fixture.Send(http::verb::post, "/order/1", "order " + name);
    cr_assert(order && order->result() == http::status::bad_gateway,
              "%s: a second answer %s",
              name.c_str(),
              testCase.hidden.data());
    const auto next = fixture.Send(http::verb::get, "/read/2", "read " + name);
    cr_assert(next && next->body().starts_with("/read/2 from "), "%s", name.c_str());
  }
}

/// Guards against callers that get an answer whose status no instance may send.
Test(Framing, AnswersWithAnInvalidStatusAreBroken)
{
  ServingFixture fixture;
  for (const std::string status : { "000", "001", "099", "600", "700", "999" }) {
    for (const std::string framing : { "Content-Length: 4\r\n", "Connection: close\r\n" }) {
      const std::string head = fmt::format("HTTP/1.1 {} Odd\r\n{}", status, framing);
      fixture.instance.Server().SetEarlyHandler([&head](const http::request_header<>& aHeader) {
        const std::string id(aHeader["X-Request-Id"]);
        return std::optional(EarlyAnswer{
          .bytes = fmt::format("{}X-Server-Stamp: s\r\nX-Request-Id: {}\r\n\r\npart", head, id) });
      });
      const auto answer = fixture.Send(http::verb::post, "/order/1", status + framing.front());
      cr_assert(answer && answer->result() == http::status::bad_gateway,
                "%s, %s: status %u",
                status.c_str(),
                framing.c_str(),
                answer ? answer->result_int() : 0);
      fixture.instance.Server().SetEarlyHandler({});
    }
  }
}

/// Guards against callers that get a part of an answer as the whole: the instance sends an answer
/// without a length and resets the connection while it still receives the request.
Test(Framing, AnswerThatEndsInAResetDuringTheUploadIsBroken)
{
  using End = EarlyAnswer::End;
  // More than the buffers of two sockets take.
  constexpr size_t kUploadBytes = 8UL * 1024 * 1024;
  struct Case
  {
    std::string name;
    End end;
    Duration delay;
    std::string framing;
    http::status expected;
    size_t bodyBytes = kUploadBytes;
  };
  const Case cases[] = {
    { "reset at once", End::Reset, 0ms, "", http::status::bad_gateway },
    { "reset later", End::Reset, 150ms, "", http::status::bad_gateway },
    { "closed at once", End::Close, 0ms, "", http::status::bad_gateway },
    { "closed later", End::Close, 150ms, "", http::status::bad_gateway },
    { "ended", End::Clean, 0ms, "", http::status::ok },
    { "ended later", End::Clean, 150ms, "", http::status::ok },
    { "reset, with a length", End::Reset, 150ms, "Content-Length: 4\r\n", http::status::ok },
    { "reset, short", End::Reset, 150ms, "Content-Length: 9\r\n", http::status::bad_gateway },
    { "reset after the request", End::Reset, 150ms, "", http::status::bad_gateway, 4 },
    { "ended after the request", End::Clean, 0ms, "", http::status::ok, 4 },
  };
  constexpr size_t kRequests = 12;
  ServingFixture fixture;
  json::value manifest = ManifestSpec(
    8,
    { { .service = "any" },
      { .name = "order", .prefix = "/order/", .service = "any", .idempotent = false } });
  manifest.as_object()["limits"].as_object()["max_body_bytes"] = kUploadBytes;
  fixture.Store().Put("config", "main", manifest);
  const bool accepted = GatewayFixture::WaitUntil([&] {
    const auto answer =
      fixture.Send(http::verb::post, "/order/1", "id", std::string(kUploadBytes, 'u'));
    return answer && answer->result() == http::status::ok;
  });
  cr_assert(accepted);
  for (const Case& testCase : cases) {
    fixture.instance.Server().SetEarlyHandler([&](const http::request_header<>& aHeader) {
      return std::optional(EarlyAnswer{
        .bytes = "HTTP/1.1 200 OK\r\n" + testCase.framing + "X-Server-Stamp: s\r\nX-Request-Id: " +
                 std::string(aHeader["X-Request-Id"]) + "\r\n\r\npart",
        .delay = testCase.delay,
        .end = testCase.end });
    });
    for (size_t i = 0; i < kRequests; ++i) {
      const auto answer = fixture.Send(http::verb::post,
                                       "/order/1",
                                       testCase.name + std::to_string(i),
                                       std::string(testCase.bodyBytes, 'u'));
      cr_assert(answer && answer->result() == testCase.expected,
                "%s, request %zu: status %u",
                testCase.name.c_str(),
                i,
                answer ? answer->result_int() : 0);
    }
  }
}

} // namespace
