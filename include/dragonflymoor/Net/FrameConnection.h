#ifndef DRAGONFLYMOOR_NET_FRAMECONNECTION_H
#define DRAGONFLYMOOR_NET_FRAMECONNECTION_H

#include "dragonflymoor/Net/Asio.h"
#include "dragonflymoor/Wire/Framing.h"
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dfm {

/// A connection between two VMs that carries frames in both directions, with a bounded send queue.
/// Belongs to the thread of its socket; owned by its pending operations until it closes.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
  struct Hooks
  {
    /// A payload arrived; an error closes the connection.
    std::function<tl::expected<void, CodecError>(std::string)> payload;
    /// The connection is closed; called once, and no other hook is called after it. The text is
    /// the error of a malformed frame, or empty.
    std::function<void(std::string)> closed;
    /// This many bytes arrived, perhaps of an incomplete frame; may be empty.
    std::function<void(size_t)> received;
  };

  struct Frame
  {
    std::string payload;
    std::function<void()> started; ///< Called before the first byte may leave; may be empty.
    std::function<void()> done;    ///< Called when the frame is sent or dropped; may be empty.
  };

  FrameConnection(tcp::socket aSocket, Hooks aHooks);

  /// Starts reading.
  void Start();

  /// Queues a frame. False, without a call of its functions, when the connection is closed, the
  /// queue is full or the payload too long.
  bool Send(Frame aFrame);

  void Close();

private:
  asio::awaitable<void> Read(std::shared_ptr<FrameConnection> aSelf);
  asio::awaitable<void> Write(std::shared_ptr<FrameConnection> aSelf);
  /// The error of the first malformed frame, or empty.
  std::string Deliver(FrameReader& aReader);
  void CloseWith(std::string aError);
  void ArmWatchdog();

  tcp::socket socket_;
  Hooks hooks_;
  asio::steady_timer watchdog_; ///< Closes the connection when a write makes no progress.
  std::deque<Frame> queue_;
  size_t queuedBytes_ = 0;
  bool writing_ = false;
  bool closed_ = false;
};

} // namespace dfm

#endif
