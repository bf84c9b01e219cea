#ifndef DRAGONFLYMOOR_GATEWAY_STATECLIENT_H
#define DRAGONFLYMOOR_GATEWAY_STATECLIENT_H

#include "dragonflymoor/Net/FrameConnection.h"
#include "dragonflymoor/Steering/PeerMessages.h"
#include "dragonflymoor/Support/TransferDeadline.h"
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

namespace dfm {

/// Connects to the peer port of another VM. Returns nothing when the VM does not accept the
/// connection within aTimeout. aContext must outlive the returned awaitable.
asio::awaitable<std::optional<tcp::socket>>
ConnectToPeer(asio::io_context& aContext, Endpoint aPeer, Duration aTimeout);

/// Asks other VMs for the fleet state, one request at a time. The connection to the VM that
/// answered last is kept, as a VM asks the same one several times a second. Not thread-safe.
class StateClient
{
public:
  explicit StateClient(asio::io_context& aContext);
  /// Closes the kept connection.
  ~StateClient();
  StateClient(const StateClient&) = delete;
  StateClient& operator=(const StateClient&) = delete;

  /// Sends a request, encoded by EncodePeer, and waits for the reply. Returns nothing when aPeer
  /// cannot be reached, sends nothing for some time or very slowly while the reply is incomplete,
  /// or sends anything else. Otherwise a reply may take as long as its size needs. Precondition: no
  /// other request waits. The client must outlive the returned awaitable.
  asio::awaitable<std::optional<PeerEnvelope>> Request(Endpoint aPeer, std::string aRequest);

private:
  /// A connection and the request that waits for its answer. Shared with the connection's hooks,
  /// which may be called after the client has moved on to another connection.
  struct Link
  {
    explicit Link(asio::io_context& aContext)
      : answered(aContext)
    {
    }

    Endpoint peer;
    std::shared_ptr<FrameConnection> connection; ///< Null once it is closed.
    std::optional<PeerEnvelope> reply;
    bool waiting = false;
    std::optional<TransferDeadline> deadline; ///< Of the present request.
    asio::steady_timer answered;              ///< Cancelled when the wait for the reply ends early.
  };

  asio::awaitable<bool> Connect(Endpoint aPeer);
  /// Sends aRequest over the link and waits for the reply, with a TransferDeadline of aMaxSilence.
  /// Returns nothing without a reply; the link is closed then, so that a late reply is never taken
  /// for that of another request.
  asio::awaitable<std::optional<PeerEnvelope>> Exchange(std::string aRequest, Duration aMaxSilence);
  void Close();

  asio::io_context& context_;
  std::shared_ptr<Link> link_; ///< Null while there is no connection.
};

} // namespace dfm

#endif
