#include "dragonflymoor/Net/Asio.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace dfm {

namespace {

/// Unacknowledged bytes for this long mean that the other machine is gone; membership has declared
/// it dead by then.
constexpr unsigned kUserTimeoutMs = 5000;

} // namespace

asio::ip::address
ToAddress(const Endpoint& aEndpoint)
{
  return asio::ip::make_address(aEndpoint.address);
}

tcp::endpoint
ToTcp(const Endpoint& aEndpoint)
{
  return { ToAddress(aEndpoint), aEndpoint.port };
}

Endpoint
FromTcp(const tcp::endpoint& aEndpoint)
{
  return { .address = aEndpoint.address().to_string(), .port = aEndpoint.port() };
}

std::string
ToText(const Endpoint& aEndpoint)
{
  if (aEndpoint.address.find(':') == std::string::npos)
    return fmt::format("{}:{}", aEndpoint.address, aEndpoint.port);
  return fmt::format("[{}]:{}", aEndpoint.address, aEndpoint.port);
}

error_code
OpenBound(tcp::socket& aSocket,
          const tcp::endpoint& aTarget,
          const std::optional<asio::ip::address>& aSource)
{
  error_code error;
  aSocket.open(aTarget.protocol(), error);
  if (error || !aSource || aSource->is_unspecified() ||
      aSource->is_v4() != aTarget.address().is_v4())
    return error;
  aSocket.bind(tcp::endpoint(*aSource, 0), error);
  return error;
}

void
SetLiveness(tcp::socket& aSocket)
{
  error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  const unsigned timeout = kUserTimeoutMs;
  ::setsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

bool
IsIdleAndOpen(tcp::socket& aSocket)
{
  char byte = 0;
  const ssize_t received =
    ::recv(aSocket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool
IsReset(tcp::socket& aSocket)
{
  pollfd entry{ .fd = aSocket.native_handle(), .events = 0, .revents = 0 };
  return ::poll(&entry, 1, 0) != 0 && (entry.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0;
}

void
ResetConnection(tcp::socket& aSocket)
{
  error_code ignored; // A socket that is not open, or fails, delivers nothing.
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

bool
IsClosedByPeer(const error_code& aError)
{
  return aError == beast::http::error::end_of_stream || aError == asio::error::eof ||
         aError == asio::error::connection_reset || aError == asio::error::broken_pipe;
}

} // namespace dfm
