#ifndef DRAGONFLYMOOR_NET_PEERLINKS_H
#define DRAGONFLYMOOR_NET_PEERLINKS_H

#include "dragonflymoor/Net/Content.h"
#include "dragonflymoor/Net/FrameConnection.h"
#include <chrono>
#include <functional>
#include <memory>
#include <unordered_map>

namespace dfm {

/// What outgoing links report. All are called on the thread of the links.
struct PeerLinkHooks
{
  std::function<void(RequestId, ForwardReply, AnswerPointer)> forwardReply;
  /// The last argument tells whether any byte of the request may have left.
  std::function<void(RequestId, bool)> forwardFailed;
  std::function<void(std::string_view, Reason)> count;
};

class PeerLink;

/// Connections to other VMs, opened on demand, one for each VM. Requests and other messages travel
/// on them; the replies to forwarded requests come back on the same connection, so that a broken
/// connection ends exactly the requests that it carried. Belongs to one traffic thread.
class PeerLinks
{
public:
  /// aSource is the address that connections are bound to.
  PeerLinks(asio::io_context& aContext,
            VmId aSelf,
            asio::ip::address aSource,
            std::shared_ptr<BodyBudget> aBudget,
            PeerLinkHooks aHooks);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// Sends a message, or drops it when the VM can't be reached or does not keep up.
  void Send(const Vm& aTo, const StreamMessage& aMessage);

  /// Passes a request on. Exactly one forwardReply or forwardFailed follows, unless it is cancelled
  /// before.
  void Forward(const Vm& aTo,
               RequestId aId,
               const RequestHead& aHead,
               const RequestPointer& aRequest);

  void CancelForward(const Vm& aTo, RequestId aId);

private:
  PeerLink& LinkTo(const Vm& aTo);

  asio::io_context& context_;
  VmId self_;
  asio::ip::address source_;
  std::shared_ptr<BodyBudget> budget_;
  PeerLinkHooks hooks_;
  std::unordered_map<VmId, std::shared_ptr<PeerLink>> links_;
};

} // namespace dfm

#endif
