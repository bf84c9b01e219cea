#ifndef DRAGONFLYMOOR_LIB_FAKES_LINKSTREAM_H
#define DRAGONFLYMOOR_LIB_FAKES_LINKSTREAM_H

#include "dragonflymoor/Fakes/Link.h"
#include <boost/asio/awaitable.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dfm::fakes {

/// Time of the monotonic clock.
TimePoint
ReadClock();

boost::asio::awaitable<void>
SleepUntil(TimePoint aTime);

/// One TCP connection through a Link: each direction is read, held for its delay and written by
/// two coroutines with a queue between them, so that bytes keep their order.
class Link::Stream : public std::enable_shared_from_this<Stream>
{
public:
  Stream(Link& aLink, boost::asio::ip::tcp::socket aClient, Path& aForth, Path& aBack);

  /// Connects to the endpoint and relays until both directions have ended.
  boost::asio::awaitable<void> Run(boost::asio::ip::tcp::endpoint aReal);
  void Close();
  bool Uses(const Path& aPath) const { return &aPath == &forth_ || &aPath == &back_; }

private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Chunk
  {
    TimePoint due;
    std::string data; ///< Empty at the end of the stream.
  };

  struct Queue
  {
    explicit Queue(boost::asio::io_context& aIo)
      : changed(aIo)
    {
    }
    std::deque<Chunk> chunks;
    size_t bytes = 0;
    boost::asio::steady_timer changed; ///< Cancelled on every change of the queue.
  };

  boost::asio::awaitable<void> Read(Socket& aFrom, Path& aPath, Queue& aQueue);
  boost::asio::awaitable<void> Write(Socket& aTo, Path& aPath, Queue& aQueue);
  boost::asio::awaitable<void> WaitForChange(Queue& aQueue);

  Link& link_;
  Socket client_;
  Socket server_;
  Path& forth_;
  Path& back_;
  Queue forthQueue_;
  Queue backQueue_;
};

} // namespace dfm::fakes

#endif
