#ifndef DRAGONFLYMOOR_NET_LISTEN_H
#define DRAGONFLYMOOR_NET_LISTEN_H

#include "dragonflymoor/Net/Asio.h"
#include <boost/asio/ip/udp.hpp>

namespace dfm {

/// Opens a listening socket. Precondition: the address is an IP literal.
error_code
ListenOn(tcp::acceptor& aAcceptor, const Endpoint& aEndpoint);

/// Opens a socket for datagrams that never blocks a send. Precondition: the address is an IP
/// literal.
error_code
OpenDatagrams(asio::ip::udp::socket& aSocket, const Endpoint& aEndpoint);

} // namespace dfm

#endif
