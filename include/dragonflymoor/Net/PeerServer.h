#ifndef DRAGONFLYMOOR_NET_PEERSERVER_H
#define DRAGONFLYMOOR_NET_PEERSERVER_H

#include "dragonflymoor/Net/CallerExchange.h"
#include "dragonflymoor/Net/FrameConnection.h"
#include <atomic>
#include <functional>
#include <memory>

namespace dfm {

/// Number of an incoming connection of another VM, unique within one process.
using PeerConnectionId = NumericId<struct PeerConnectionTag>;

/// A request that another VM passed on.
class PeerExchange
{
public:
  PeerExchange(VmId aSelf,
               RequestHead aHead,
               RequestId aSenderId,
               PeerConnectionId aConnection,
               RequestPointer aRequest,
               asio::any_io_executor aExecutor,
               std::weak_ptr<FrameConnection> aLink,
               std::shared_ptr<std::atomic<uint32_t>> aUnsent);

  /// With the sender as forwardedBy, the local deadline, and without a local id.
  const RequestHead& Head() const { return head_; }
  RequestId SenderId() const { return senderId_; }
  PeerConnectionId Connection() const { return connection_; }
  const RequestPointer& Request() const { return request_; }

  /// Sends the reply. Safe to call from any thread, once.
  void Finish(FinalAnswer aAnswer) const;

private:
  VmId self_;
  RequestHead head_;
  RequestId senderId_;
  PeerConnectionId connection_;
  RequestPointer request_;
  asio::any_io_executor executor_;
  std::weak_ptr<FrameConnection> link_;
  std::shared_ptr<std::atomic<uint32_t>> unsent_;
};

/// What incoming connections of other VMs report. All are called on the thread of the connection.
struct PeerServerHooks
{
  std::function<void(VmId, StreamMessage)> message;
  std::function<void(std::shared_ptr<PeerExchange>)> request;
  std::function<void(PeerConnectionId, RequestId)> cancelled;
  std::function<void(PeerConnectionId)> closed;
  std::function<void(std::string_view, Reason)> count;
};

/// Incoming connections of other VMs on one traffic thread.
class PeerServer
{
public:
  /// aUnsent counts replies that are not yet written.
  PeerServer(VmId aSelf,
             std::shared_ptr<BodyBudget> aBudget,
             std::shared_ptr<std::atomic<uint32_t>> aUnsent,
             PeerServerHooks aHooks);

  /// Serves a connection until it closes.
  void Serve(tcp::socket aSocket, PeerConnectionId aId);

private:
  using Accepted = tl::expected<void, CodecError>;

  Accepted Receive(const std::weak_ptr<FrameConnection>& aLink,
                   const asio::any_io_executor& aExecutor,
                   PeerConnectionId aId,
                   const std::string& aPayload);
  Accepted ReceiveRequest(const std::weak_ptr<FrameConnection>& aLink,
                          const asio::any_io_executor& aExecutor,
                          PeerConnectionId aId,
                          const VmId& aSender,
                          ForwardRequest aRequest);

  VmId self_;
  std::shared_ptr<BodyBudget> budget_;
  std::shared_ptr<std::atomic<uint32_t>> unsent_;
  PeerServerHooks hooks_;
};

} // namespace dfm

#endif
