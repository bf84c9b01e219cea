#ifndef DRAGONFLYMOOR_GATEWAY_LOADEXCHANGE_H
#define DRAGONFLYMOOR_GATEWAY_LOADEXCHANGE_H

#include "dragonflymoor/Net/Asio.h"
#include "dragonflymoor/Steering/LoadTopology.h"
#include "dragonflymoor/Steering/PeerMessages.h"
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace dfm {

struct LoadExchangeHooks
{
  std::function<std::vector<InstanceLoad>()> readOwnLoad;
  /// Reads the load of all VMs of the own failure domain.
  std::function<std::vector<InstanceLoad>()> readDomainLoad;
  /// Reads the demand for quotas of this VM, or of its failure domain; empty without quotas.
  std::function<std::optional<QuotaReport>(bool aOfDomain)> readQuotas;
  std::function<void(const PeerEnvelope&)> messageReceived;
};

/// Exchanges messages with other VMs over UDP, mainly load reports along a LoadTopology. Must be
/// used on the thread of its io_context.
class LoadExchange
{
public:
  /// Precondition: every hook is set.
  LoadExchange(asio::io_context& aContext, Vm aSelf, LoadExchangeHooks aHooks);

  /// Binds the socket and starts receiving. All VMs use the same port.
  error_code Open(const Endpoint& aListen);
  /// Replaces the VMs to which messages are sent. aVms may contain this VM; it is skipped.
  void SetReceivers(const std::vector<Vm>& aVms);
  /// Sends load reports to the groups that are due.
  void OnTick(TimePoint aNow);
  /// When the next load report is due; the largest time point without receivers.
  TimePoint NextSendTime() const;
  /// Sends aMessage once to each receiver. A datagram that cannot be sent is logged, not repeated.
  void SendToAll(const PeerMessage& aMessage);

private:
  using UdpEndpoint = asio::ip::udp::endpoint;

  /// VMs that get the same load reports.
  struct ReceiverGroup
  {
    std::vector<UdpEndpoint> endpoints;
    Duration period{};
    bool getsDomainLoad = false; ///< Gets the load of the failure domain, not of this VM alone.
    TimePoint nextSendTime;
    TimePoint lastSendTime;
    std::vector<InstanceLoad> lastSentLoads;
    TimePoint nextQuotaTime;
  };

  asio::awaitable<void> Receive();
  void SetGroup(ReceiverGroup& aGroup, const LoadReceivers& aReceivers, bool aGetsDomainLoad) const;
  /// Sends loads to the group, unless they are unchanged and were sent recently or are empty and no
  /// quotas are due.
  void SendLoads(ReceiverGroup& aGroup, TimePoint aNow);
  void Send(std::string_view aDatagram, const std::vector<UdpEndpoint>& aReceivers);
  /// Whether a report of another failure domain arrived directly from there, so that the VMs of the
  /// own one have to get it from this VM.
  bool MustForward(const PeerEnvelope& aEnvelope, const UdpEndpoint& aSender) const;

  asio::ip::udp::socket socket_;
  Vm self_;
  LoadExchangeHooks hooks_;
  uint16_t port_ = 0;
  std::vector<UdpEndpoint> all_;
  std::set<UdpEndpoint> otherDomains_; ///< The VMs of other failure domains.
  ReceiverGroup sameDomainGroup_;
  ReceiverGroup sameRegionGroup_;
  ReceiverGroup otherRegionsGroup_;
};

} // namespace dfm

#endif
