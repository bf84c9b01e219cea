#ifndef DRAGONFLYMOOR_NET_ASIO_H
#define DRAGONFLYMOOR_NET_ASIO_H

#include "dragonflymoor/Model/Fleet.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <optional>

namespace dfm {

namespace asio = boost::asio;
namespace beast = boost::beast;

using asio::ip::tcp;
using beast::error_code;

/// Completion token for coroutines that handle errors as values.
constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

/// Precondition: the address is an IP literal. Safe to call from any thread.
asio::ip::address
ToAddress(const Endpoint& aEndpoint);

tcp::endpoint
ToTcp(const Endpoint& aEndpoint);

Endpoint
FromTcp(const tcp::endpoint& aEndpoint);

/// "address:port", with an IPv6 address in brackets.
std::string
ToText(const Endpoint& aEndpoint);

/// Opens a socket for a connection to aTarget, bound to aSource when that address is of the same
/// family and not unspecified.
error_code
OpenBound(tcp::socket& aSocket,
          const tcp::endpoint& aTarget,
          const std::optional<asio::ip::address>& aSource);

/// Sends small messages at once and lets the kernel end a connection whose peer stopped answering.
void
SetLiveness(tcp::socket& aSocket);

/// False when the other side closed the idle connection or sent bytes nobody asked for.
bool
IsIdleAndOpen(tcp::socket& aSocket);

/// Whether the other side has reset the connection, also when an operation has already taken the
/// error from the socket: a read then sees a plain end. An orderly end of the other side is none.
/// Precondition: this side has not shut the socket down.
bool
IsReset(tcp::socket& aSocket);

/// Closes a connection and discards what it has not delivered yet. After an orderly close the
/// kernel delivers a request as soon as the path allows, when its caller has long been told
/// otherwise.
void
ResetConnection(tcp::socket& aSocket);

/// Whether the other side ended a connection, by closing or resetting it, rather than this side or
/// a time-out.
bool
IsClosedByPeer(const error_code& aError);

} // namespace dfm

#endif
