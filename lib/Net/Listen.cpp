#include "dragonflymoor/Net/Listen.h"

namespace dfm {

error_code
ListenOn(tcp::acceptor& aAcceptor, const Endpoint& aEndpoint)
{
  const tcp::endpoint endpoint = ToTcp(aEndpoint);
  error_code error;
  aAcceptor.open(endpoint.protocol(), error);
  if (!error)
    aAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    aAcceptor.bind(endpoint, error);
  if (!error)
    aAcceptor.listen(asio::socket_base::max_listen_connections, error);
  return error;
}

error_code
OpenDatagrams(asio::ip::udp::socket& aSocket, const Endpoint& aEndpoint)
{
  const asio::ip::udp::endpoint endpoint(ToAddress(aEndpoint), aEndpoint.port);
  error_code error;
  aSocket.open(endpoint.protocol(), error);
  if (!error)
    aSocket.bind(endpoint, error);
  if (!error)
    aSocket.non_blocking(true, error);
  return error;
}

} // namespace dfm
