#include "LinkStream.h"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace dfm::fakes {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

constexpr auto kNoThrow = asio::experimental::as_tuple(asio::use_awaitable);
constexpr size_t kChunkBytes = 64 << 10;
/// Bytes held for one direction; reading stops above it, as a full socket buffer would.
constexpr size_t kMaxHeldBytes = 4 << 20;
constexpr Duration kCutPollInterval = 20ms;

} // namespace

TimePoint
ReadClock()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(now));
}

asio::awaitable<void>
SleepUntil(TimePoint aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_at(std::chrono::steady_clock::time_point(aTime.time_since_epoch()));
  co_await timer.async_wait(asio::use_awaitable);
}

Link::Stream::Stream(Link& aLink, tcp::socket aClient, Path& aForth, Path& aBack)
  : link_(aLink)
  , client_(std::move(aClient))
  , server_(aLink.io_)
  , forth_(aForth)
  , back_(aBack)
  , forthQueue_(aLink.io_)
  , backQueue_(aLink.io_)
{
}

asio::awaitable<void>
Link::Stream::Run(tcp::endpoint aReal)
{
  const auto self = shared_from_this();
  try {
    // The client's connect succeeded without crossing the link: its round trip is waited here.
    co_await SleepUntil(ReadClock() + forth_.delay + back_.delay);
    while (forth_.cut || back_.cut)
      co_await SleepUntil(ReadClock() + kCutPollInterval);
    server_.open(aReal.protocol());
    // The destination sees the sender's address, as it would without the relay.
    server_.bind({ client_.remote_endpoint().address(), 0 });
    co_await server_.async_connect(aReal, asio::use_awaitable);
    client_.set_option(tcp::no_delay(true));
    server_.set_option(tcp::no_delay(true));
    co_await (Read(client_, forth_, forthQueue_) && Write(server_, forth_, forthQueue_) &&
              Read(server_, back_, backQueue_) && Write(client_, back_, backQueue_));
  } catch (const boost::system::system_error&) {
    // A broken connection ends both directions.
  }
  Close();
  link_.streams_.erase(self);
}

void
Link::Stream::Close()
{
  boost::system::error_code ignored;
  client_.close(ignored);
  server_.close(ignored);
  forthQueue_.changed.cancel();
  backQueue_.changed.cancel();
}

asio::awaitable<void>
Link::Stream::WaitForChange(Queue& aQueue)
{
  aQueue.changed.expires_at(asio::steady_timer::time_point::max());
  co_await aQueue.changed.async_wait(kNoThrow);
}

asio::awaitable<void>
Link::Stream::Read(Socket& aFrom, Path& aPath, Queue& aQueue)
{
  std::string buffer(kChunkBytes, '\0');
  while (true) {
    while (aQueue.bytes > kMaxHeldBytes && aFrom.is_open())
      co_await WaitForChange(aQueue);
    const auto [error, count] = co_await aFrom.async_read_some(asio::buffer(buffer), kNoThrow);
    if (error && error != asio::error::eof)
      throw boost::system::system_error(error);
    const TimePoint due = link_.Enter(aPath, count);
    aQueue.chunks.push_back({ due, buffer.substr(0, count) });
    aQueue.bytes += count;
    aQueue.changed.cancel();
    if (error)
      co_return;
  }
}

asio::awaitable<void>
Link::Stream::Write(Socket& aTo, Path& aPath, Queue& aQueue)
{
  while (true) {
    while (aQueue.chunks.empty()) {
      if (!aTo.is_open())
        co_return;
      co_await WaitForChange(aQueue);
    }
    const Chunk chunk = std::move(aQueue.chunks.front());
    aQueue.chunks.pop_front();
    aQueue.bytes -= chunk.data.size();
    aQueue.changed.cancel();
    co_await SleepUntil(chunk.due);
    while (aPath.cut)
      co_await SleepUntil(ReadClock() + kCutPollInterval);
    if (chunk.data.empty()) {
      aTo.shutdown(tcp::socket::shutdown_send);
      co_return;
    }
    co_await asio::async_write(aTo, asio::buffer(chunk.data), asio::use_awaitable);
  }
}

} // namespace dfm::fakes
