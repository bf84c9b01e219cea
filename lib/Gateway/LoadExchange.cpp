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
/// requests, so that other VMs learn in time of most slots that become free.
constexpr Duration kSameRegionPeriod = 25ms;

/// Period of load reports to VMs of other regions, which use them only to compare regions.
constexpr Duration kOtherRegionsPeriod = 100ms;

/// Number of receivers up to which a group keeps its base period. With more receivers, the period
/// grows in proportion, so that the VM sends no more bytes per second. Bytes between failure
/// domains of a region are priced, and most requests stay in one failure domain, so the other
/// domains may get reports later.
constexpr size_t kMaxSameDomainReceiversAtBasePeriod = 6;
constexpr size_t kMaxSameRegionReceiversAtBasePeriod = 2;
constexpr size_t kMaxOtherRegionsReceiversAtBasePeriod = 6;

/// How long a report is valid, in periods: two lost reports in a row do not let it expire. Reports
/// are valid for at least kMinReportLife, as unchanged loads are repeated at a longer period.
constexpr int kReportLifePeriods = 3;
constexpr Duration kMinReportLife = 1s;

/// Unchanged loads are sent again after this time, as datagrams get lost and receivers discard
/// loads after 1 s.
constexpr Duration kUnchangedLoadsRepeatPeriod = 300ms;

/// Size of the receive buffer: above the largest payload of a UDP datagram.
constexpr size_t kMaxDatagramBytes = 64UL * 1024;

} // namespace

LoadExchange::LoadExchange(asio::io_context& aContext, Vm aSelf, MessageHandler aMessageHandler)
  : socket_(aContext)
  , self_(std::move(aSelf))
  , messageHandler_(std::move(aMessageHandler))
  , sameDomainGroup_{ .basePeriod = kSameRegionPeriod,
                      .maxReceiversAtBasePeriod = kMaxSameDomainReceiversAtBasePeriod }
  , sameRegionGroup_{ .basePeriod = kSameRegionPeriod,
                      .maxReceiversAtBasePeriod = kMaxSameRegionReceiversAtBasePeriod }
  , otherRegionsGroup_{ .basePeriod = kOtherRegionsPeriod,
                        .maxReceiversAtBasePeriod = kMaxOtherRegionsReceiversAtBasePeriod }
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
    group->endpoints.clear();
  for (const Vm& vm : aVms) {
    if (vm.id != self_.id)
      GroupFor(vm).endpoints.emplace_back(ToAddress(vm.peers), port_);
  }
  for (ReceiverGroup* group : { &sameDomainGroup_, &sameRegionGroup_, &otherRegionsGroup_ }) {
    const size_t periodReceiverCount =
      std::max(group->endpoints.size(), group->maxReceiversAtBasePeriod);
    group->period = group->basePeriod * periodReceiverCount / group->maxReceiversAtBasePeriod;
  }
}

void
LoadExchange::OnTick(TimePoint aNow, const std::function<std::vector<InstanceLoad>()>& aReadLoads)
{
  std::optional<std::vector<InstanceLoad>> loads;
  for (ReceiverGroup* group : { &sameDomainGroup_, &sameRegionGroup_, &otherRegionsGroup_ }) {
    if (aNow < group->nextSendTime || group->endpoints.empty())
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
  const bool loadsUnchanged = aLoads == aGroup.lastSentLoads;
  if (loadsUnchanged &&
      (aLoads.empty() || aNow - aGroup.lastSendTime < kUnchangedLoadsRepeatPeriod))
    return;
  aGroup.lastSentLoads = aLoads;
  aGroup.lastSendTime = aNow;
  const std::string datagram =
    EncodePeer(self_.id,
               PeerLoad{ .loads = aLoads,
                         .life = std::max(kMinReportLife, kReportLifePeriods * aGroup.period) });
  error_code ignored; // A report that is not sent is replaced by the next one.
  for (const auto& endpoint : aGroup.endpoints)
    socket_.send_to(asio::buffer(datagram), endpoint, 0, ignored);
}

void
LoadExchange::SendToAll(const PeerMessage& aMessage)
{
  const std::string datagram = EncodePeer(self_.id, aMessage);
  for (const ReceiverGroup* group : { &sameDomainGroup_, &sameRegionGroup_, &otherRegionsGroup_ }) {
    for (const auto& endpoint : group->endpoints) {
      error_code error;
      socket_.send_to(asio::buffer(datagram), endpoint, 0, error);
      if (error)
        Log(LogLevel::Warning, "peers", "datagram not sent", { { "error", error.message() } });
    }
  }
}

asio::awaitable<void>
LoadExchange::Receive()
{
  std::vector<char> datagram(kMaxDatagramBytes);
  asio::ip::udp::endpoint senderEndpoint;
  for (;;) {
    auto [error, byteCount] =
      co_await socket_.async_receive_from(asio::buffer(datagram), senderEndpoint, kAwaitTuple);
    if (error == asio::error::operation_aborted)
      co_return;
    // The error reports that a receiver of an earlier datagram is unreachable.
    if (error)
      continue;
    const auto message = DecodePeer({ datagram.data(), byteCount });
    if (message)
      messageHandler_(*message);
    else
      Log(
        LogLevel::Warning, "peers", "malformed datagram", { { "error", message.error().message } });
  }
}

} // namespace dfm
