#include "dragonflymoor/Net/FrameConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace dfm {

namespace {

/// Three frames of full length; a peer that is further behind does not keep up.
constexpr size_t kMaxQueuedBytes = 3 * kMaxFrameBytes;
/// Memory of a queued frame besides its payload, so that many short frames are bounded too.
constexpr size_t kFrameOverheadBytes = 128;
/// Longest time in which no byte of a frame leaves.
constexpr auto kWriteTimeout = std::chrono::seconds(5);
constexpr size_t kReadBytes = 16UL * 1024;
constexpr size_t kWriteBytes = 64UL * 1024;

} // namespace

FrameConnection::FrameConnection(tcp::socket aSocket, Hooks aHooks)
  : socket_(std::move(aSocket))
  , hooks_(std::move(aHooks))
  , watchdog_(socket_.get_executor())
{
}

void
FrameConnection::Start()
{
  SetLiveness(socket_);
  asio::co_spawn(socket_.get_executor(), Read(shared_from_this()), asio::detached);
}

bool
FrameConnection::Send(Frame aFrame)
{
  const size_t bytes = aFrame.payload.size() + kFrameOverheadBytes;
  if (closed_ || aFrame.payload.size() > kMaxFrameBytes || queuedBytes_ + bytes > kMaxQueuedBytes)
    return false;
  queuedBytes_ += bytes;
  queue_.push_back(std::move(aFrame));
  if (!writing_) {
    writing_ = true;
    asio::co_spawn(socket_.get_executor(), Write(shared_from_this()), asio::detached);
  }
  return true;
}

void
FrameConnection::Close()
{
  CloseWith({});
}

void
FrameConnection::CloseWith(std::string aError)
{
  if (closed_)
    return;
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
  watchdog_.cancel();
  // The frame in the front is finished by Write when a write is under way.
  const size_t first = writing_ ? 1 : 0;
  for (size_t i = first; i < queue_.size(); ++i) {
    if (queue_[i].done)
      queue_[i].done();
  }
  queue_.resize(std::min(first, queue_.size()));
  const auto closed = std::move(hooks_.closed);
  if (closed)
    closed(std::move(aError));
}

std::string
FrameConnection::Deliver(FrameReader& aReader)
{
  while (!closed_) {
    auto next = aReader.Next();
    if (!next)
      return next.error().message;
    if (!*next)
      return {};
    const auto accepted = hooks_.payload(std::move(**next));
    if (!accepted)
      return accepted.error().message;
  }
  return {};
}

asio::awaitable<void>
FrameConnection::Read([[maybe_unused]] std::shared_ptr<FrameConnection> aSelf)
{
  FrameReader reader;
  std::vector<char> bytes(kReadBytes);
  while (!closed_) {
    auto [error, count] = co_await socket_.async_read_some(asio::buffer(bytes), kAwaitTuple);
    if (error)
      break;
    if (hooks_.received)
      hooks_.received(count);
    reader.Append({ bytes.data(), count });
    std::string fault = Deliver(reader);
    if (!fault.empty())
      CloseWith(std::move(fault));
  }
  CloseWith({});
}

void
FrameConnection::ArmWatchdog()
{
  watchdog_.expires_after(kWriteTimeout);
  watchdog_.async_wait([weak = weak_from_this()](error_code aError) {
    const auto self = weak.lock();
    // The expiry has moved when a write ended while this handler was already queued.
    if (aError || self == nullptr || self->watchdog_.expiry() > std::chrono::steady_clock::now())
      return;
    self->CloseWith({});
  });
}

asio::awaitable<void>
FrameConnection::Write([[maybe_unused]] std::shared_ptr<FrameConnection> aSelf)
{
  bool failed = false;
  while (!closed_ && !failed && !queue_.empty()) {
    // The front stays in the queue while it is written: a deque keeps its address.
    Frame& frame = queue_.front();
    if (frame.started)
      frame.started();
    const auto header = FrameHeader(frame.payload.size());
    const std::array<asio::const_buffer, 2> buffers{ asio::buffer(header),
                                                     asio::buffer(frame.payload) };
    // Called before the first byte and after each part that was sent.
    const auto onProgress = [this](const error_code& aError, size_t) {
      ArmWatchdog();
      return aError ? size_t{ 0 } : kWriteBytes;
    };
    auto [error, count] = co_await asio::async_write(socket_, buffers, onProgress, kAwaitTuple);
    watchdog_.expires_at(asio::steady_timer::time_point::max());
    queuedBytes_ -= frame.payload.size() + kFrameOverheadBytes;
    const auto done = std::move(frame.done);
    queue_.pop_front();
    if (done)
      done();
    failed = static_cast<bool>(error);
  }
  writing_ = false;
  if (failed)
    CloseWith({});
}

} // namespace dfm
