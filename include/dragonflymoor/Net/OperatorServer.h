#ifndef DRAGONFLYMOOR_NET_OPERATORSERVER_H
#define DRAGONFLYMOOR_NET_OPERATORSERVER_H

#include "dragonflymoor/Engine/Engine.h"
#include "dragonflymoor/Net/Asio.h"
#include "dragonflymoor/Net/Content.h"
#include <functional>
#include <string>

namespace dfm {

/// Sources of the operators' pages. They are called on the threads of the connections.
struct OperatorPages
{
  std::function<std::string()> metrics;
  std::function<bool()> healthy; ///< The control thread makes progress.
  std::function<bool()> ready;   ///< This VM accepts requests.
  /// Gives the state as JSON later, on any thread.
  std::function<void(std::function<void(std::string)>)> status;
};

/// HTTP server for /metrics, /healthz, /readyz and /status. Connections may be on any thread.
class OperatorServer
{
public:
  explicit OperatorServer(OperatorPages aPages);

  /// Serves a connection until it closes. Must be called on the thread of the socket.
  void Serve(tcp::socket aSocket);

private:
  asio::awaitable<void> Run(tcp::socket aSocket);
  asio::awaitable<HttpAnswer> AnswerTo(asio::any_io_executor aExecutor, std::string aPath);
  asio::awaitable<std::string> Status(asio::any_io_executor aExecutor);

  OperatorPages pages_;
};

/// The state of a VM as JSON.
std::string
StatusJson(const Vm& aSelf, Incarnation aIncarnation, const EngineStatus& aStatus);

} // namespace dfm

#endif
