#include "dragonflymoor/Gateway/LoadExchange.h"

#include "dragonflymoor/Net/Listen.h"
#include "dragonflymoor/Support/Log.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dfm {

namespace {

/// How often the load goes to VMs of the own region: a third of the time that the shortest requests
/// take, so that most slots that become free are seen in time.
constexpr Duration kOwnPeriod = 25ms;

/// How often the load goes to VMs of other regions, which only compare regions.
constexpr Duration kOthersPeriod = 100ms;

/// Up to this many receivers the periods hold; with more they grow in proportion, so that the bytes
/// sent by one VM stay the same.
constexpr size_t kFullRateReceivers = 6;

/// A load that did not change is repeated after this time: datagrams get lost, and receivers forget
/// a load after a second.
constexpr Duration kRepeatPeriod = 300ms;

constexpr size_t kMaxDatagram = 64UL * 1024;

Duration
Stretch(Duration aPeriod, size_t aReceivers)
{
  return aPeriod * std::max(aReceivers, kFullRateReceivers) / kFullRateReceivers;
}

} // namespace

LoadExchange::LoadExchange(asio::io_context& aContext, Vm aSelf, Received aReceived)
  : socket_(aContext)
  , self_(std::move(aSelf))
  , received_(std::move(aReceived))
{
}

error_code
LoadExchange::Open(const Endpoint& aListen)
{
  port_ = aListen.port;
  const error_code error = OpenDatagrams(socket_, aListen);
  if (!error)
    asio::co_spawn(socket_.get_executor(), Receive(), asio::detached);
  return error;
}

void
LoadExchange::SetVms(const std::vector<Vm>& aVms)
{
  own_.targets.clear();
  others_.targets.clear();
  for (const Vm& vm : aVms) {
    if (vm.id == self_.id)
      continue;
    Group& group = vm.region == self_.region ? own_ : others_;
    group.targets.emplace_back(ToAddress(vm.peers), port_);
  }
  own_.period = Stretch(kOwnPeriod, own_.targets.size());
  others_.period = Stretch(kOthersPeriod, others_.targets.size());
}

void
LoadExchange::OnTick(TimePoint aNow, const std::function<std::vector<InstanceLoad>()>& aLoads)
{
  const bool ownDue = aNow >= own_.nextAt && !own_.targets.empty();
  const bool othersDue = aNow >= others_.nextAt && !others_.targets.empty();
  if (!ownDue && !othersDue)
    return;
  const std::vector<InstanceLoad> loads = aLoads();
  if (ownDue)
    SendTo(own_, aNow, loads);
  if (othersDue)
    SendTo(others_, aNow, loads);
}

void
LoadExchange::SendTo(Group& aGroup, TimePoint aNow, const std::vector<InstanceLoad>& aLoads)
{
  aGroup.nextAt = aNow + aGroup.period;
  const bool unchanged = aLoads == aGroup.sent;
  if (unchanged && (aLoads.empty() || aNow - aGroup.sentAt < kRepeatPeriod))
    return;
  aGroup.sent = aLoads;
  aGroup.sentAt = aNow;
  const std::string bytes = EncodePeer(self_.id, PeerLoad{ .loads = aLoads });
  error_code ignored; // A lost report is repeated soon.
  for (const auto& target : aGroup.targets)
    socket_.send_to(asio::buffer(bytes), target, 0, ignored);
}

void
LoadExchange::SendToAll(const PeerMessage& aMessage)
{
  const std::string bytes = EncodePeer(self_.id, aMessage);
  for (const Group* group : { &own_, &others_ }) {
    for (const auto& target : group->targets) {
      error_code error;
      socket_.send_to(asio::buffer(bytes), target, 0, error);
      if (error)
        Log(LogLevel::Warning, "peers", "datagram not sent", { { "error", error.message() } });
    }
  }
}

asio::awaitable<void>
LoadExchange::Receive()
{
  std::vector<char> bytes(kMaxDatagram);
  asio::ip::udp::endpoint sender;
  for (;;) {
    auto [error, count] =
      co_await socket_.async_receive_from(asio::buffer(bytes), sender, kAwaitTuple);
    if (error == asio::error::operation_aborted)
      co_return;
    // An unreachable receiver of an earlier datagram is reported here.
    if (error)
      continue;
    const auto message = DecodePeer({ bytes.data(), count });
    if (message)
      received_(*message);
    else
      Log(
        LogLevel::Warning, "peers", "malformed datagram", { { "error", message.error().message } });
  }
}

} // namespace dfm
