#include "dragonflymoor/Gateway/LoadExchange.h"

#include "dragonflymoor/Net/Listen.h"
#include "dragonflymoor/Support/Log.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>

namespace dfm {

namespace {

/// Period of load reports to VMs of the own region: a third of the duration of the shortest
/// requests, so that most slots that become free are seen in time.
constexpr Duration kSameRegionPeriod = 25ms;

/// Period of load reports to VMs of other regions, which only compare regions.
constexpr Duration kOtherRegionsPeriod = 100ms;

/// The base periods hold up to this many receivers. With more, the periods grow in proportion, so
/// that one VM sends the same number of bytes. Bytes between failure domains of a region are
/// priced, and most requests stay in one failure domain, so the other domains may get reports
/// later.
constexpr size_t kDomainReceivers = 6;
constexpr size_t kRegionReceivers = 2;
constexpr size_t kOtherRegionsReceivers = 6;

/// How long a report is valid, in periods, so that two lost reports in a row do not expire it. It
/// is at least kMinReportLife, which leaves time for the repetition of an unchanged load.
constexpr int kReportLifePeriods = 3;
constexpr Duration kMinReportLife = 1s;

/// An unchanged load is sent again after this time, as datagrams get lost and receivers discard a
/// load after 1 s.
constexpr Duration kRepeatPeriod = 300ms;

constexpr size_t kMaxDatagramBytes = 64UL * 1024;

} // namespace

LoadExchange::LoadExchange(asio::io_context& aContext, Vm aSelf, MessageHandler aMessageHandler)
  : socket_(aContext)
  , self_(std::move(aSelf))
  , messageHandler_(std::move(aMessageHandler))
  , sameDomainGroup_{ .basePeriod = kSameRegionPeriod,
                      .maxReceiversAtBasePeriod = kDomainReceivers }
  , sameRegionGroup_{ .basePeriod = kSameRegionPeriod,
                      .maxReceiversAtBasePeriod = kRegionReceivers }
  , otherRegionsGroup_{ .basePeriod = kOtherRegionsPeriod,
                        .maxReceiversAtBasePeriod = kOtherRegionsReceivers }
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

LoadExchange::ReceiverGroup&
LoadExchange::GroupFor(const Vm& aVm)
{
  if (aVm.region != self_.region)
    return otherRegionsGroup_;
  return aVm.failureDomain == self_.failureDomain ? sameDomainGroup_ : sameRegionGroup_;
}

void
LoadExchange::SetReceivers(const std::vector<Vm>& aVms)
{
  for (ReceiverGroup* group : { &sameDomainGroup_, &sameRegionGroup_, &otherRegionsGroup_ })
    group->targets.clear();
  for (const Vm& vm : aVms) {
    if (vm.id != self_.id)
      GroupFor(vm).targets.emplace_back(ToAddress(vm.peers), port_);
  }
  for (ReceiverGroup* group : { &sameDomainGroup_, &sameRegionGroup_, &otherRegionsGroup_ }) {
    const size_t receiverCount = std::max(group->targets.size(), group->maxReceiversAtBasePeriod);
    group->period = group->basePeriod * receiverCount / group->maxReceiversAtBasePeriod;
  }
}

void
LoadExchange::OnTick(TimePoint aNow, const std::function<std::vector<InstanceLoad>()>& aReadLoads)
{
  std::optional<std::vector<InstanceLoad>> loads;
  for (ReceiverGroup* group : { &sameDomainGroup_, &sameRegionGroup_, &otherRegionsGroup_ }) {
    if (aNow < group->nextSendTime || group->targets.empty())
      continue;
    if (!loads)
      loads = aReadLoads();
    SendLoads(*group, aNow, *loads);
  }
}

void
LoadExchange::SendLoads(ReceiverGroup& aGroup,
                        TimePoint aNow,
                        const std::vector<InstanceLoad>& aLoads)
{
  aGroup.nextSendTime = aNow + aGroup.period;
  const bool unchanged = aLoads == aGroup.lastSentLoads;
  if (unchanged && (aLoads.empty() || aNow - aGroup.lastSendTime < kRepeatPeriod))
    return;
  aGroup.lastSentLoads = aLoads;
  aGroup.lastSendTime = aNow;
  const std::string bytes =
    EncodePeer(self_.id,
               PeerLoad{ .loads = aLoads,
                         .life = std::max(kMinReportLife, kReportLifePeriods * aGroup.period) });
  error_code ignored; // The next report replaces a lost one.
  for (const auto& target : aGroup.targets)
    socket_.send_to(asio::buffer(bytes), target, 0, ignored);
}

void
LoadExchange::SendToAll(const PeerMessage& aMessage)
{
  const std::string bytes = EncodePeer(self_.id, aMessage);
  for (const ReceiverGroup* group : { &sameDomainGroup_, &sameRegionGroup_, &otherRegionsGroup_ }) {
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
  std::vector<char> bytes(kMaxDatagramBytes);
  asio::ip::udp::endpoint sender;
  for (;;) {
    auto [error, count] =
      co_await socket_.async_receive_from(asio::buffer(bytes), sender, kAwaitTuple);
    if (error == asio::error::operation_aborted)
      co_return;
    // The error concerns a datagram sent earlier, to a receiver that is unreachable.
    if (error)
      continue;
    const auto message = DecodePeer({ bytes.data(), count });
    if (message)
      messageHandler_(*message);
    else
      Log(
        LogLevel::Warning, "peers", "malformed datagram", { { "error", message.error().message } });
  }
}

} // namespace dfm
