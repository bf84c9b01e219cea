#include "dragonflymoor/Gateway/LoadExchange.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <optional>

namespace {

using namespace dfm;
using UdpSocket = asio::ip::udp::socket;

constexpr Duration kWait = 10s;

/// VMs share the port and differ in the address, as on the users' platform.
Vm
MakeVm(const char* aId, const char* aDomain, const char* aAddress)
{
  return { .id = VmId(aId),
           .region = RegionId("north"),
           .failureDomain = FailureDomainId(aDomain),
           .peers = { .address = aAddress, .port = 1 } };
}

/// Guards against a report that the VMs of a failure domain forward to each other again and again:
/// a VM that did not know the relay of its domain yet took the relay's copy for one from outside,
/// and its link was full with the copies that it sent.
Test(LoadExchange, ForwardsOnlyWhatArrivesFromOtherDomains)
{
  struct Case
  {
    const char* name;
    const char* senderAddress;
    bool forwarded;
  };
  const Case cases[] = {
    { "relay of another domain", "127.0.0.3", true },
    { "known VM of the own domain", "127.0.0.2", false },
    { "unknown VM", "127.0.0.4", false },
  };
  const Vm self = MakeVm("vm-1", "north-a", "127.0.0.1");
  const Vm neighbour = MakeVm("vm-2", "north-a", "127.0.0.2");
  const Vm other = MakeVm("vm-3", "north-b", "127.0.0.3");
  for (const Case& testCase : cases) {
    asio::io_context context{ 1 };
    UdpSocket receiver(context, { asio::ip::make_address(neighbour.peers.address), 0 });
    const uint16_t port = receiver.local_endpoint().port();
    size_t received = 0;
    LoadExchange exchange(context,
                          self,
                          { .readOwnLoad = [] { return std::vector<InstanceLoad>(); },
                            .readDomainLoad = [] { return std::vector<InstanceLoad>(); },
                            .readQuotas = [](bool) { return std::optional<QuotaReport>(); },
                            .messageReceived = [&](const PeerEnvelope&) { ++received; } });
    const error_code openError = exchange.Open({ .address = self.peers.address, .port = port });
    cr_assert(openError == error_code());
    exchange.SetReceivers({ self, neighbour, other });

    std::optional<UdpSocket> ownSocket;
    UdpSocket* sender = &receiver;
    if (testCase.senderAddress != neighbour.peers.address) {
      ownSocket.emplace(
        context, asio::ip::udp::endpoint(asio::ip::make_address(testCase.senderAddress), port));
      sender = &*ownSocket;
    }
    const PeerLoad load{ .domain = other.failureDomain,
                         .loads = { { .instance = 7, .inFlight = 1 } },
                         .life = 1s };
    const std::string datagram = EncodePeer(other.id, load);
    sender->send_to(asio::buffer(datagram), { asio::ip::make_address(self.peers.address), port });
    const auto until = std::chrono::steady_clock::now() + kWait;
    while (received == 0 && std::chrono::steady_clock::now() < until)
      context.run_one_for(100ms);
    cr_assert(received == 1, "%s", testCase.name);
    // The exchange forwards a report before it passes it on, and loopback delivers at once.
    const bool forwarded = receiver.available() > 0;
    cr_assert(forwarded == testCase.forwarded, "%s", testCase.name);
  }
}

} // namespace
