#ifndef DRAGONFLYMOOR_GATEWAY_LOADEXCHANGE_H
#define DRAGONFLYMOOR_GATEWAY_LOADEXCHANGE_H

#include "dragonflymoor/Net/Asio.h"
#include "dragonflymoor/Steering/PeerMessages.h"
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <vector>

namespace dfm {

/// Exchanges messages with other VMs over UDP, mainly load reports: the number of requests that a
/// VM has in flight at each instance. VMs of the own region, which share the instances, get reports
/// more often. Must be used on the thread of its io_context.
class LoadExchange
{
public:
  using MessageHandler = std::function<void(const PeerEnvelope&)>;

  LoadExchange(asio::io_context& aContext, Vm aSelf, MessageHandler aMessageHandler);

  /// Binds the socket and starts receiving. All VMs use the same port.
  error_code Open(const Endpoint& aListen);
  /// Replaces the VMs to which messages are sent. aVms may contain this VM; it is skipped.
  void SetReceivers(const std::vector<Vm>& aVms);
  /// Sends load reports to the groups that are due. Calls aReadLoads at most once, and only if a
  /// group is due. To be called every 10 ms.
  void OnTick(TimePoint aNow, const std::function<std::vector<InstanceLoad>()>& aReadLoads);
  /// Sends aMessage once to each receiver. A datagram that cannot be sent is logged, not repeated.
  void SendToAll(const PeerMessage& aMessage);

private:
  /// VMs that get load reports at the same period.
  struct ReceiverGroup
  {
    Duration basePeriod{};               ///< Time between two reports while the receivers are few.
    size_t maxReceiversAtBasePeriod = 1; ///< With more, the period grows in proportion.
    std::vector<asio::ip::udp::endpoint> endpoints;
    Duration period{};
    TimePoint nextSendTime;
    TimePoint lastSendTime;
    std::vector<InstanceLoad> lastSentLoads;
  };

  asio::awaitable<void> Receive();
  ReceiverGroup& GroupFor(const Vm& aVm);
  /// Sends aLoads to the group, unless they are unchanged and were sent recently or are empty.
  void SendLoads(ReceiverGroup& aGroup, TimePoint aNow, const std::vector<InstanceLoad>& aLoads);

  asio::ip::udp::socket socket_;
  Vm self_;
  MessageHandler messageHandler_;
  uint16_t port_ = 0;
  ReceiverGroup sameDomainGroup_;   ///< VMs of the own failure domain.
  ReceiverGroup sameRegionGroup_;   ///< VMs of the other failure domains of the own region.
  ReceiverGroup otherRegionsGroup_; ///< VMs of other regions.
};

} // namespace dfm

#endif
