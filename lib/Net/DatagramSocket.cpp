#include "dragonflymoor/Net/DatagramSocket.h"

#include "dragonflymoor/Net/Listen.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dfm {

namespace {

constexpr size_t kMaxDatagramBytes = 64UL * 1024;

} // namespace

DatagramSocket::DatagramSocket(asio::io_context& aContext, Received aReceived, Counted aCounted)
  : socket_(aContext)
  , received_(std::move(aReceived))
  , counted_(std::move(aCounted))
{
}

error_code
DatagramSocket::Open(const Endpoint& aListen)
{
  const error_code error = OpenDatagrams(socket_, aListen);
  if (!error)
    asio::co_spawn(socket_.get_executor(), Receive(), asio::detached);
  return error;
}

void
DatagramSocket::Send(const Endpoint& aTo, const DatagramMessage& aMessage)
{
  error_code error;
  const auto address = asio::ip::make_address(aTo.address, error);
  if (!error) {
    const std::string bytes = EncodeDatagram(aMessage);
    socket_.send_to(asio::buffer(bytes), { address, aTo.port }, 0, error);
  }
  if (error)
    counted_("datagrams-unsent", Reason::PeerUnreachable);
}

asio::awaitable<void>
DatagramSocket::Receive()
{
  std::vector<char> bytes(kMaxDatagramBytes);
  asio::ip::udp::endpoint sender;
  for (;;) {
    auto [error, count] =
      co_await socket_.async_receive_from(asio::buffer(bytes), sender, kAwaitTuple);
    if (error == asio::error::operation_aborted)
      co_return;
    // An unreachable receiver of an earlier datagram is reported here.
    if (error)
      continue;
    auto message = DecodeDatagram({ bytes.data(), count });
    if (message)
      received_({ .address = sender.address().to_string(), .port = sender.port() },
                std::move(*message));
    else
      counted_("malformed-datagrams", Reason::PeerFailed);
  }
}

} // namespace dfm
