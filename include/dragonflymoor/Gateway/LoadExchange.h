#ifndef DRAGONFLYMOOR_GATEWAY_LOADEXCHANGE_H
#define DRAGONFLYMOOR_GATEWAY_LOADEXCHANGE_H

#include "dragonflymoor/Net/Asio.h"
#include "dragonflymoor/Steering/PeerMessages.h"
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <vector>

namespace dfm {

/// Tells other VMs over UDP what this VM has in flight, and receives the same from them. VMs of the
/// own region, with which the instances are shared, hear it more often. Belongs to the thread of
/// its io_context.
class LoadExchange
{
public:
  using Received = std::function<void(const PeerEnvelope&)>;

  LoadExchange(asio::io_context& aContext, Vm aSelf, Received aReceived);

  /// Binds the socket and starts receiving. All VMs use the same port.
  error_code Open(const Endpoint& aListen);
  void SetVms(const std::vector<Vm>& aVms);
  /// Sends the load to the VMs that are due. To be called every 10 ms.
  void OnTick(TimePoint aNow, const std::function<std::vector<InstanceLoad>()>& aLoads);
  void SendToAll(const PeerMessage& aMessage);

private:
  /// VMs that hear the load equally often.
  struct Group
  {
    Duration basePeriod{};        ///< Between two reports, with few receivers.
    size_t fullRateReceivers = 1; ///< With more the period grows in proportion.
    std::vector<asio::ip::udp::endpoint> targets;
    Duration period{};
    TimePoint nextAt;
    TimePoint sentAt;
    std::vector<InstanceLoad> sent;
  };

  asio::awaitable<void> Receive();
  Group& GroupOf(const Vm& aVm);
  void SendTo(Group& aGroup, TimePoint aNow, const std::vector<InstanceLoad>& aLoads);

  asio::ip::udp::socket socket_;
  Vm self_;
  Received received_;
  uint16_t port_ = 0;
  Group domain_; ///< VMs of the own failure domain.
  Group region_; ///< Of the others in the own region.
  Group away_;   ///< Of other regions.
};

} // namespace dfm

#endif
