#include "DaemonProcess.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <deque>

namespace {

using namespace dfm;
using namespace dfm::test;

constexpr size_t kMegabyte = 1024UL * 1024;

/// Memory of the smallest machine, which is the default without a setting.
constexpr size_t kMaxMemory = 112 * kMegabyte;
constexpr size_t kMaxBodyBytes = 32 * kMegabyte;
constexpr unsigned kManyDescriptors = 1024;

/// Clients that nobody controls. All stay connected until the object is destroyed.
class Crowd
{
public:
  /// Each of aCount clients sends aHead, then the bytes that aNextPiece returns for the number of
  /// the piece until it returns none. A client whose connection ends stops.
  void Send(const Endpoint& aCallers,
            unsigned aCount,
            const std::string& aHead,
            const std::function<std::string(size_t)>& aNextPiece)
  {
    for (unsigned i = 0; i < aCount; ++i)
      asio::co_spawn(context_,
                     RunClient(sockets_.emplace_back(context_), aCallers, aHead, aNextPiece),
                     asio::detached);
    // Ends earlier when no client has anything left to send; the others wait for the daemon to
    // read.
    context_.run_for(20s);
  }

private:
  static asio::awaitable<void> RunClient(tcp::socket& aSocket,
                                         Endpoint aCallers,
                                         std::string aHead,
                                         std::function<std::string(size_t)> aNextPiece)
  {
    auto [connectError] = co_await aSocket.async_connect(ToTcp(aCallers), kAwaitTuple);
    error_code error = connectError;
    std::string piece = std::move(aHead);
    for (size_t number = 0; !error && (number == 0 || !piece.empty()); ++number) {
      auto [writeError, bytes] =
        co_await asio::async_write(aSocket, asio::buffer(piece), kAwaitTuple);
      error = writeError;
      piece = aNextPiece(number);
    }
  }

  asio::io_context context_{ 1 };
  std::deque<tcp::socket> sockets_;
};

std::string
Head(const std::string& aFraming)
{
  return "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: crowd\r\n" + aFraming +
         "\r\n\r\n";
}

struct CrowdCase
{
  const char* name;
  unsigned clients;
  std::string head;
  std::function<std::string(size_t)> nextPiece;
};

std::function<std::string(size_t)>
Repeat(std::string aPiece, size_t aCount)
{
  return [piece = std::move(aPiece), aCount](size_t aNumber) {
    return aNumber < aCount ? piece : std::string();
  };
}

void
CheckMemory(const CrowdCase& aCase)
{
  DaemonProcess daemon(kManyDescriptors, kMaxBodyBytes);
  Crowd crowd;
  crowd.Send(daemon.Callers(), aCase.clients, aCase.head, aCase.nextPiece);
  cr_assert(daemon.IsAlive());
  const bool served = daemon.ServesOrdinaryRequest();
  cr_assert(served);
  const size_t peak = daemon.PeakMemory();
  cr_assert(peak > 0 && peak < kMaxMemory, "%s: peak memory %zu", aCase.name, peak);
  cr_assert(daemon.OpenDescriptors() < kManyDescriptors);
}

/// Guards against trailers that are buffered as long as they arrive.
Test(Bodies, BoundsEndlessTrailers)
{
  CheckMemory({ .name = "trailers",
                .clients = 6,
                .head = Head("Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n",
                .nextPiece = Repeat("X-Trailer: " + std::string(64UL * 1024, 't') + "\r\n", 640) });
}

/// Guards against bodies that are each within the limit and together exceed the machine's memory
/// because they never end.
Test(Bodies, BoundsBodiesThatStopShort)
{
  CheckMemory({ .name = "one byte short",
                .clients = 8,
                .head = Head("Content-Length: " + std::to_string(24 * kMegabyte + 1)),
                .nextPiece = Repeat(std::string(kMegabyte, 'b'), 24) });
}

/// As above, for bodies of a length that is not known in advance.
Test(Bodies, BoundsBodiesSentInPieces)
{
  constexpr size_t kPieceBytes = 0x10000;
  CheckMemory({ .name = "without the last chunk",
                .clients = 8,
                .head = Head("Transfer-Encoding: chunked"),
                .nextPiece = Repeat("10000\r\n" + std::string(kPieceBytes, 'p') + "\r\n", 384) });
}

/// Guards against whole bodies that wait together for their instance, each with a copy for its
/// attempt.
Test(Bodies, BoundsWholeBodies)
{
  CheckMemory({ .name = "whole",
                .clients = 8,
                .head = Head("Content-Length: " + std::to_string(24 * kMegabyte)),
                .nextPiece = Repeat(std::string(kMegabyte, 'w'), 24) });
}

/// Guards against callers' connections that take the descriptors which instances and the store
/// need.
Test(Bodies, KeepsDescriptorsBack)
{
  constexpr unsigned kFewDescriptors = 256;
  constexpr size_t kMaxOpen = 224;
  DaemonProcess daemon(kFewDescriptors, kMaxBodyBytes);
  Crowd crowd;
  crowd.Send(daemon.Callers(), 400, "POST /order/1 HTTP/1.1\r\n", Repeat("", 0));
  // The daemon may accept them later than the clients connect.
  size_t open = 0;
  for (int i = 0; i < 200; ++i) {
    open = std::max(open, daemon.OpenDescriptors());
    std::this_thread::sleep_for(10ms);
  }
  cr_assert(daemon.IsAlive());
  cr_assert(open <= kMaxOpen, "%zu open descriptors", open);
  const bool served = daemon.ServesOrdinaryRequest();
  cr_assert(served);
}

/// Guards against bounds that refuse a single large request which is within the limits.
Test(Bodies, ServesOneLargeBody)
{
  DaemonProcess daemon(kManyDescriptors, kMaxBodyBytes);
  Request request(http::verb::post, "/order/1", 11);
  request.set(http::field::host, "shop.example");
  request.set("X-Request-Id", "large");
  request.body() = std::string(kMaxBodyBytes, 'l');
  request.prepare_payload();
  const auto answer = SendAndReceive(daemon.Callers(), request);
  cr_assert(answer && answer->result() == http::status::ok);
  cr_assert(daemon.Instance().ReceivedRequests().back().body().size() == kMaxBodyBytes);
}

} // namespace
