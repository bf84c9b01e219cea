#ifndef DRAGONFLYMOOR_NET_DATAGRAMSOCKET_H
#define DRAGONFLYMOOR_NET_DATAGRAMSOCKET_H

#include "dragonflymoor/Net/Asio.h"
#include "dragonflymoor/Wire/Codec.h"
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <vector>

namespace dfm {

/// UDP socket for membership messages. Belongs to the thread of its io_context.
class DatagramSocket
{
public:
  using Received = std::function<void(Endpoint, DatagramMessage)>;
  using Counted = std::function<void(std::string_view, Reason)>;

  DatagramSocket(asio::io_context& aContext, Received aReceived, Counted aCounted);

  /// Binds the socket and starts receiving.
  error_code Open(const Endpoint& aListen);

  /// Sends at once or drops the message, as a full socket buffer means that the network is slower.
  void Send(const Endpoint& aTo, const DatagramMessage& aMessage);

private:
  asio::awaitable<void> Receive();

  asio::ip::udp::socket socket_;
  Received received_;
  Counted counted_;
};

} // namespace dfm

#endif
