#include "Fit.h"
#include "Fleet.h"

#include "dragonflymoor/Config/ListKeeper.h"
#include "dragonflymoor/Membership/Membership.h"
#include "dragonflymoor/Model/Lists.h"
#include <cmath>
#include <deque>
#include <malloc.h>
#include <map>
#include <memory>

namespace dfm::slopes {

namespace {

constexpr double kDesignVms = 3100;
// Failures (17) and restarts (290) a day at the design size.
constexpr double kEventsPerVmDay = 307.0 / kDesignVms;
constexpr double kSecondsPerDay = 86400;
// Headers of IPv4 and UDP.
constexpr size_t kUdpHeaders = 28;
constexpr Duration kPeriod = 1s;
constexpr Duration kTick = 20ms;
constexpr Duration kRoundTrip = 40ms;
// Peers pass an update on this long: about 30 transmits at one to two messages a second.
constexpr Duration kNewsTime = 20s;

Now
At(Duration aTime)
{
  return { .monotonic = TimePoint(aTime), .wall = WallTime(1'700'000'000'000ms) };
}

size_t
SyncBytes(const MemberSync& aSync)
{
  return EncodedSizeBound(Probe{ .updates = aSync.members });
}

MembershipOptions
OptionsFor(const MemberUpdate& aMember, uint64_t aSeed)
{
  return { .self = aMember.vm,
           .incarnation = aMember.incarnation,
           .startedAtMs = aMember.startedAtMs,
           .randomSeed = aSeed,
           .probePeriod = kPeriod,
           .ackTimeout = 200ms };
}

/// One VM's membership among peers that answer each probe, probe it once a period in sum, and
/// report restarts at the design rate.
class OneAmongMany
{
public:
  explicit OneAmongMany(size_t aCount)
    : peers_(MakeMembers(aCount))
    , random_(aCount)
    , membership_(
        OptionsFor(peers_[0], 1),
        { .sendDatagram = [this](const Endpoint& aTo,
                                 const DatagramMessage& aMessage) { OnSent(aTo, aMessage); },
          .sendStream =
            [this](const Vm&, const StreamMessage& aMessage) {
              if (const auto* sync = std::get_if<MemberSync>(&aMessage))
                sentBytes_ += SyncBytes(*sync);
            },
          .memberChanged = [](const MemberUpdate&) {},
          .probeAcknowledged = [](TimePoint) {} })
  {
    for (size_t i = 0; i < peers_.size(); ++i)
      index_[peers_[i].vm.peers] = i;
    membership_.Start(At(0s));
    membership_.OnSync(At(0s), peers_[1].vm.id, { .wantsReply = false, .members = peers_ });
  }

  void Run(Duration aTime)
  {
    double nextEvent = 0;
    const double eventSeconds =
      kSecondsPerDay / (kEventsPerVmDay * static_cast<double>(peers_.size()));
    Duration nextProbe = 0s;
    for (Duration now = kTick; now < aTime; now += kTick) {
      time_ = now;
      while (!acks_.empty() && acks_.front().at <= now) {
        const Ack ack = std::move(acks_.front());
        acks_.pop_front();
        Deliver(peers_[ack.from].vm.peers, ack.message);
      }
      if (now >= nextProbe) {
        nextProbe += kPeriod;
        const MemberUpdate& prober = peers_[1 + random_.Below(peers_.size() - 1)];
        Deliver(prober.vm.peers, Probe{ .nonce = random_.Next(), .updates = News(prober) });
      }
      if (ToSeconds(now) >= nextEvent) {
        nextEvent += eventSeconds;
        MemberUpdate& restarted = peers_[1 + random_.Below(peers_.size() - 1)];
        restarted.incarnation = { random_.Next() };
        restarted.startedAtMs += 1'000'000;
        news_ = restarted;
        newsAt_ = now;
      }
      const double start = ThreadCpuSeconds();
      membership_.OnTick(At(now));
      cpuSeconds += ThreadCpuSeconds() - start;
    }
  }

  double cpuSeconds = 0;
  size_t SentBytes() const { return sentBytes_; }
  size_t ReceivedBytes() const { return receivedBytes_; }

private:
  struct Ack
  {
    Duration at;
    size_t from;
    DatagramMessage message;
  };

  std::vector<MemberUpdate> News(const MemberUpdate& aSender) const
  {
    std::vector<MemberUpdate> updates{ aSender };
    if (news_ && time_ < newsAt_ + kNewsTime)
      updates.push_back(*news_);
    return updates;
  }

  void OnSent(const Endpoint& aTo, const DatagramMessage& aMessage)
  {
    sentBytes_ += EncodedSizeBound(aMessage) + kUdpHeaders;
    const auto* probe = std::get_if<Probe>(&aMessage);
    if (probe == nullptr)
      return;
    const size_t peer = index_.at(aTo);
    acks_.push_back(
      { .at = time_ + kRoundTrip,
        .from = peer,
        .message = ProbeAck{ .nonce = probe->nonce, .updates = News(peers_[peer]) } });
  }

  void Deliver(const Endpoint& aFrom, const DatagramMessage& aMessage)
  {
    receivedBytes_ += EncodedSizeBound(aMessage) + kUdpHeaders;
    const double start = ThreadCpuSeconds();
    membership_.OnDatagram(At(time_), aFrom, aMessage);
    cpuSeconds += ThreadCpuSeconds() - start;
  }

  std::vector<MemberUpdate> peers_;
  std::map<Endpoint, size_t> index_;
  Random random_;
  std::deque<Ack> acks_;
  std::optional<MemberUpdate> news_;
  Duration newsAt_{};
  Duration time_{};
  size_t sentBytes_ = 0;
  size_t receivedBytes_ = 0;
  Membership membership_;
};

/// Memberships and keepers of a whole fleet; measures how long a change of a list takes to be in
/// force everywhere, and what a VM sends and receives for it.
class WholeFleet
{
public:
  explicit WholeFleet(size_t aCount)
    : members_(MakeMembers(aCount, DomainsFor(aCount)))
    , nodes_(aCount)
  {
    for (size_t i = 0; i < aCount; ++i)
      index_[members_[i].vm.id] = i;
    for (size_t i = 0; i < aCount; ++i)
      Build(i);
    RunUntil(20s);
  }

  /// As many VMs in a failure domain as at the design size, so that the share of watchers is the
  /// same.
  static size_t DomainsFor(size_t aCount)
  {
    return std::max<size_t>(2, aCount * kDesignDomains / static_cast<size_t>(kDesignVms));
  }

  /// Seconds from the accepted write until the list is in force everywhere.
  double Change(const std::string& aText)
  {
    content_ = aText;
    ++version_;
    const Duration start = time_;
    const size_t before = replyBytes_;
    inForce_ = 0;
    while (inForce_ < nodes_.size() && time_ < start + 120s)
      RunUntil(time_ + kStep);
    changeBytes = static_cast<double>(replyBytes_ - before) / static_cast<double>(nodes_.size());
    return ToSeconds(time_ - start);
  }

  double changeBytes = 0; ///< Sent for list contents per VM in the last change.

private:
  static constexpr Duration kStep = 100ms;

  struct Node
  {
    std::unique_ptr<Membership> membership;
    std::unique_ptr<ListKeeper> keeper;
  };

  struct Delivery
  {
    size_t to;
    size_t from;
    std::variant<DatagramMessage, StreamMessage> message;
  };

  struct StoreWait
  {
    size_t node;
    StoreCallId id;
    StoreCall call;
  };

  void Build(size_t aIndex)
  {
    Node& node = nodes_[aIndex];
    node.membership = std::make_unique<Membership>(
      OptionsFor(members_[aIndex], aIndex + 1),
      MembershipHooks{ .sendDatagram =
                         [this, aIndex](const Endpoint& aTo, const DatagramMessage& aMessage) {
                           Post(aIndex, EndpointIndex(aTo), aMessage);
                         },
                       .sendStream = [](const Vm&, const StreamMessage&) {},
                       .memberChanged =
                         [this, aIndex](const MemberUpdate& aMember) {
                           if (nodes_[aIndex].keeper)
                             nodes_[aIndex].keeper->OnMember(At(time_), aMember);
                         },
                       .probeAcknowledged = [](TimePoint) {} });
    node.keeper = std::make_unique<ListKeeper>(
      ListKeeperOptions{ .self = members_[aIndex].vm, .randomSeed = aIndex + 1 },
      ListKeeperHooks{ .callStore =
                         [this, aIndex](const StoreCall& aCall) {
                           const StoreCallId id{ ++lastCall_ };
                           storeWaits_.push_back({ aIndex, id, aCall });
                           return id;
                         },
                       .send =
                         [this, aIndex](const Vm& aTo, const StreamMessage& aMessage) {
                           Post(aIndex, index_.at(aTo.id), aMessage);
                         },
                       .changed =
                         [this, aIndex](const std::shared_ptr<const FleetLists>& aLists) {
                           nodes_[aIndex].membership->SetListVersions(aLists->versions);
                           inForce_ += aLists->VersionOf(ListName::Plans) == version_ ? 1 : 0;
                         },
                       .refused = [](ListName, ListVersion, const Findings&) {} });
    node.membership->Start(At(time_));
    node.membership->OnSync(At(time_), VmId(), { .wantsReply = false, .members = members_ });
    node.keeper->Start(At(time_));
  }

  size_t EndpointIndex(const Endpoint& aEndpoint)
  {
    if (endpoints_.empty()) {
      for (size_t i = 0; i < members_.size(); ++i)
        endpoints_[members_[i].vm.peers] = i;
    }
    return endpoints_.at(aEndpoint);
  }

  template<typename Message>
  void Post(size_t aFrom, size_t aTo, const Message& aMessage)
  {
    deliveries_.push_back({ .to = aTo, .from = aFrom, .message = aMessage });
  }

  void AnswerStore()
  {
    auto waits = std::exchange(storeWaits_, {});
    for (const StoreWait& wait : waits) {
      const bool plans = wait.call.object == "config/plans";
      const ListVersion version = plans ? version_ : 0;
      if (wait.call.kind == StoreCall::Kind::Watch && version <= wait.call.expectedVersion) {
        storeWaits_.push_back(wait);
        continue;
      }
      StoreResult result{ .status = version > 0 ? StoreStatus::Ok : StoreStatus::NotFound };
      if (version > 0) {
        result.version = version;
        result.content = content_;
      }
      nodes_[wait.node].keeper->OnStoreResult(At(time_), wait.id, result);
    }
  }

  void Deliver(const Delivery& aDelivery)
  {
    Node& to = nodes_[aDelivery.to];
    const Vm& from = members_[aDelivery.from].vm;
    if (const auto* datagram = std::get_if<DatagramMessage>(&aDelivery.message)) {
      to.membership->OnDatagram(At(time_), from.peers, *datagram);
      return;
    }
    const auto& stream = std::get<StreamMessage>(aDelivery.message);
    if (const auto* request = std::get_if<ListRequest>(&stream)) {
      const ListReply reply = to.keeper->Answer(*request);
      replyBytes_ += reply.content.size();
      Post(aDelivery.to, aDelivery.from, StreamMessage(reply));
    }
    if (const auto* reply = std::get_if<ListReply>(&stream))
      to.keeper->OnListReply(At(time_), from.id, *reply);
  }

  /// Messages take one step; probes therefore take two, below the acknowledgement timeout.
  void RunUntil(Duration aEnd)
  {
    while (time_ < aEnd) {
      time_ += kStep;
      for (const Delivery& delivery : std::exchange(deliveries_, {}))
        Deliver(delivery);
      AnswerStore();
      for (Node& node : nodes_) {
        node.membership->OnTick(At(time_));
        node.keeper->OnTick(At(time_));
      }
    }
  }

  std::vector<MemberUpdate> members_;
  std::map<VmId, size_t> index_;
  std::map<Endpoint, size_t> endpoints_;
  std::vector<Node> nodes_;
  std::vector<Delivery> deliveries_;
  std::vector<StoreWait> storeWaits_;
  std::string content_ = SerialisePlans({});
  ListVersion version_ = 1;
  uint64_t lastCall_ = 0;
  size_t inForce_ = 0;
  size_t replyBytes_ = 0;
  Duration time_{};
};

} // namespace

void
MeasureMembership(bool aQuick)
{
  const Duration time = aQuick ? Duration(20s) : Duration(3600s);
  Series cpu;
  Series sent;
  Series received;
  Series memory;
  for (const size_t count : { 100, 400, 1600, 3100 }) {
    const size_t before = mallinfo2().uordblks;
    OneAmongMany run(count);
    const double size = static_cast<double>(count);
    // The peers' own table and index in the measurement are counted, too.
    memory.emplace_back(size, static_cast<double>(mallinfo2().uordblks - before) / 1e6);
    run.Run(time);
    const double seconds = ToSeconds(time);
    cpu.emplace_back(size, run.cpuSeconds / seconds * 100);
    sent.emplace_back(size, static_cast<double>(run.SentBytes()) / seconds);
    received.emplace_back(size, static_cast<double>(run.ReceivedBytes()) / seconds);
  }
  PrintFit("membership, CPU of one VM, period 1 s", "VMs", "% of a core", cpu, kDesignVms);
  PrintFit("membership, sent by one VM", "VMs", "bytes/s", sent, kDesignVms);
  PrintFit("membership, received by one VM", "VMs", "bytes/s", received, kDesignVms);
  PrintFit("membership, memory at the start", "VMs", "MB", memory, kDesignVms);
}

void
MeasureListChange(bool aQuick)
{
  constexpr size_t kPlans = 100;
  constexpr int kChanges = 5;
  std::vector<Plan> plans;
  for (size_t i = 0; i < kPlans; ++i)
    plans.push_back({ .id = PlanId(fmt::format("plan-{}", i)), .workspace = WorkspaceId("w") });
  Series mean;
  Series worst;
  Series bytes;
  for (const size_t count : { 50, 100, 200, 400, 800, 1600 }) {
    if (aQuick && count > 100)
      break;
    WholeFleet fleet(count);
    double sum = 0;
    double slowest = 0;
    for (int i = 0; i < kChanges; ++i) {
      plans[0].weight += 1;
      const double seconds = fleet.Change(SerialisePlans(plans));
      sum += seconds;
      slowest = std::max(slowest, seconds);
    }
    const double size = std::log2(static_cast<double>(count));
    mean.emplace_back(size, sum / kChanges);
    worst.emplace_back(size, slowest);
    bytes.emplace_back(size, fleet.changeBytes);
  }
  const double design = std::log2(kDesignVms);
  fmt::print("list of {} plans, {} bytes\n", kPlans, SerialisePlans(plans).size());
  PrintFit("list change in force everywhere, mean of 5", "log2(VMs)", "s", mean, design);
  PrintFit("list change in force everywhere, slowest of 5", "log2(VMs)", "s", worst, design);
  PrintFit("list change, sent per VM to peers", "log2(VMs)", "bytes", bytes, design);
}

} // namespace dfm::slopes
