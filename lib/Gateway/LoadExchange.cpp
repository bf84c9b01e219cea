#include "dragonflymoor/Gateway/LoadExchange.h"

#include "dragonflymoor/Net/Listen.h"
#include "dragonflymoor/Support/Log.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>

namespace dfm {

namespace {

/// How often the load goes to VMs of the own region: a third of the time that the shortest requests
/// take, so that most slots that become free are seen in time.
constexpr Duration kRegionPeriod = 25ms;

/// How often the load goes to VMs of other regions, which only compare regions.
constexpr Duration kAwayPeriod = 100ms;

/// Up to this many receivers the periods hold; with more they grow in proportion, so that the bytes
/// sent by one VM stay the same. Bytes between failure domains of a region are priced, and most
/// requests stay in one, so that the others may hear of them later.
constexpr size_t kDomainReceivers = 6;
constexpr size_t kRegionReceivers = 2;
constexpr size_t kAwayReceivers = 6;

/// Life of a report in periods: two lost ones in a row do not end it. At least the other value,
/// which leaves time for the repetition of an unchanged load.
constexpr int kLifePeriods = 3;
constexpr Duration kShortestLife = 1s;

/// A load that did not change is repeated after this time: datagrams get lost, and receivers forget
/// a load after a second.
constexpr Duration kRepeatPeriod = 300ms;

constexpr size_t kMaxDatagram = 64UL * 1024;

} // namespace

LoadExchange::LoadExchange(asio::io_context& aContext, Vm aSelf, Received aReceived)
  : socket_(aContext)
  , self_(std::move(aSelf))
  , received_(std::move(aReceived))
  , domain_{ .basePeriod = kRegionPeriod, .fullRateReceivers = kDomainReceivers }
  , region_{ .basePeriod = kRegionPeriod, .fullRateReceivers = kRegionReceivers }
  , away_{ .basePeriod = kAwayPeriod, .fullRateReceivers = kAwayReceivers }
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

LoadExchange::Group&
LoadExchange::GroupOf(const Vm& aVm)
{
  if (aVm.region != self_.region)
    return away_;
  return aVm.failureDomain == self_.failureDomain ? domain_ : region_;
}

void
LoadExchange::SetVms(const std::vector<Vm>& aVms)
{
  for (Group* group : { &domain_, &region_, &away_ })
    group->targets.clear();
  for (const Vm& vm : aVms) {
    if (vm.id != self_.id)
      GroupOf(vm).targets.emplace_back(ToAddress(vm.peers), port_);
  }
  for (Group* group : { &domain_, &region_, &away_ }) {
    const size_t receivers = std::max(group->targets.size(), group->fullRateReceivers);
    group->period = group->basePeriod * receivers / group->fullRateReceivers;
  }
}

void
LoadExchange::OnTick(TimePoint aNow, const std::function<std::vector<InstanceLoad>()>& aLoads)
{
  std::optional<std::vector<InstanceLoad>> loads;
  for (Group* group : { &domain_, &region_, &away_ }) {
    if (aNow < group->nextAt || group->targets.empty())
      continue;
    if (!loads)
      loads = aLoads();
    SendTo(*group, aNow, *loads);
  }
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
  const std::string bytes = EncodePeer(
    self_.id,
    PeerLoad{ .loads = aLoads, .life = std::max(kShortestLife, kLifePeriods * aGroup.period) });
  error_code ignored; // A lost report is repeated soon.
  for (const auto& target : aGroup.targets)
    socket_.send_to(asio::buffer(bytes), target, 0, ignored);
}

void
LoadExchange::SendToAll(const PeerMessage& aMessage)
{
  const std::string bytes = EncodePeer(self_.id, aMessage);
  for (const Group* group : { &domain_, &region_, &away_ }) {
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
