#include "dragonflymoor/Gateway/LoadExchange.h"

#include "dragonflymoor/Net/Listen.h"
#include "dragonflymoor/Support/Log.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dfm {

namespace {

/// How long a report is valid, in periods: two lost reports in a row do not let it expire. Reports
/// are valid for at least kMinReportLife, as unchanged loads are repeated at a longer period.
constexpr int kReportLifePeriods = 3;
constexpr Duration kMinReportLife = 1s;

/// After the loss of the relays of a failure domain it takes this long until others replace them.
constexpr Duration kMinRelayedReportLife = 2s;

/// Unchanged loads are sent again after this time, as datagrams get lost and receivers discard
/// loads after 1 s.
constexpr Duration kUnchangedLoadsRepeatPeriod = 300ms;

/// Time between two reports with the demand for quotas, which changes more slowly than the loads.
constexpr Duration kQuotaPeriod = 200ms;

/// Size of the receive buffer: above the largest payload of a UDP datagram.
constexpr size_t kMaxDatagramBytes = 64UL * 1024;

} // namespace

LoadExchange::LoadExchange(asio::io_context& aContext, Vm aSelf, LoadExchangeHooks aHooks)
  : socket_(aContext)
  , self_(std::move(aSelf))
  , hooks_(std::move(aHooks))
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
LoadExchange::SetGroup(ReceiverGroup& aGroup,
                       const LoadReceivers& aReceivers,
                       bool aGetsDomainLoad) const
{
  aGroup.endpoints.clear();
  for (const Vm& vm : aReceivers.vms)
    aGroup.endpoints.emplace_back(ToAddress(vm.peers), port_);
  aGroup.period = aReceivers.period;
  aGroup.getsDomainLoad = aGetsDomainLoad;
}

void
LoadExchange::SetReceivers(const std::vector<Vm>& aVms)
{
  all_.clear();
  otherDomains_.clear();
  for (const Vm& vm : aVms) {
    if (vm.id == self_.id)
      continue;
    all_.emplace_back(ToAddress(vm.peers), port_);
    if (vm.failureDomain != self_.failureDomain)
      otherDomains_.insert(all_.back());
  }
  const LoadTopology topology = MakeLoadTopology(self_, aVms);
  SetGroup(sameDomainGroup_, topology.sameDomain, false);
  SetGroup(sameRegionGroup_, topology.sameRegion, topology.relayed);
  SetGroup(otherRegionsGroup_, topology.otherRegions, topology.relayed);
}

void
LoadExchange::OnTick(TimePoint aNow)
{
  for (ReceiverGroup* group : { &sameDomainGroup_, &sameRegionGroup_, &otherRegionsGroup_ }) {
    if (aNow >= group->nextSendTime && !group->endpoints.empty())
      SendLoads(*group, aNow);
  }
}

TimePoint
LoadExchange::NextSendTime() const
{
  TimePoint next = TimePoint::max();
  for (const ReceiverGroup* group : { &sameDomainGroup_, &sameRegionGroup_, &otherRegionsGroup_ }) {
    if (!group->endpoints.empty())
      next = std::min(next, group->nextSendTime);
  }
  return next;
}

void
LoadExchange::SendLoads(ReceiverGroup& aGroup, TimePoint aNow)
{
  aGroup.nextSendTime = aNow + aGroup.period;
  std::vector<InstanceLoad> loads =
    aGroup.getsDomainLoad ? hooks_.readDomainLoad() : hooks_.readOwnLoad();
  const bool loadsUnchanged = loads == aGroup.lastSentLoads;
  const bool repeatsNothing =
    loadsUnchanged && (loads.empty() || aNow - aGroup.lastSendTime < kUnchangedLoadsRepeatPeriod);
  std::optional<QuotaReport> quotas;
  if (aNow >= aGroup.nextQuotaTime)
    quotas = hooks_.readQuotas(aGroup.getsDomainLoad);
  if (repeatsNothing && !quotas)
    return;
  if (quotas)
    aGroup.nextQuotaTime = aNow + kQuotaPeriod;
  aGroup.lastSentLoads = loads;
  aGroup.lastSendTime = aNow;
  PeerLoad report{ .loads = std::move(loads),
                   .life = std::max(kMinReportLife, kReportLifePeriods * aGroup.period),
                   .quotas = std::move(quotas) };
  if (aGroup.getsDomainLoad) {
    report.domain = self_.failureDomain;
    report.life = std::max(report.life, kMinRelayedReportLife);
  }
  Send(EncodePeer(self_.id, report), aGroup.endpoints);
}

void
LoadExchange::Send(std::string_view aDatagram, const std::vector<UdpEndpoint>& aReceivers)
{
  error_code ignored; // A report that is not sent is replaced by the next one.
  for (const UdpEndpoint& receiver : aReceivers)
    socket_.send_to(asio::buffer(aDatagram), receiver, 0, ignored);
}

void
LoadExchange::SendToAll(const PeerMessage& aMessage)
{
  const std::string datagram = EncodePeer(self_.id, aMessage);
  for (const UdpEndpoint& receiver : all_) {
    error_code error;
    socket_.send_to(asio::buffer(datagram), receiver, 0, error);
    if (error)
      Log(LogLevel::Warning, "peers", "datagram not sent", { { "error", error.message() } });
  }
}

bool
LoadExchange::MustForward(const PeerEnvelope& aEnvelope, const UdpEndpoint& aSender) const
{
  const auto* load = std::get_if<PeerLoad>(&aEnvelope.message);
  if (load == nullptr || !load->domain || *load->domain == self_.failureDomain)
    return false;
  // An unknown sender may be a VM of the own domain that forwarded the report. Forwarding it again
  // would fill the links: each VM would send it to the whole domain.
  return otherDomains_.contains(aSender);
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
    const std::string_view bytes(datagram.data(), byteCount);
    const auto message = DecodePeer(bytes);
    if (!message) {
      Log(
        LogLevel::Warning, "peers", "malformed datagram", { { "error", message.error().message } });
      continue;
    }
    if (MustForward(*message, senderEndpoint))
      Send(bytes, sameDomainGroup_.endpoints);
    hooks_.messageReceived(*message);
  }
}

} // namespace dfm
