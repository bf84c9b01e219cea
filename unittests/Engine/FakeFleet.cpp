#include "FakeFleet.h"

#include "dragonflymoor/Model/Lists.h"
#include "dragonflymoor/Support/Hash.h"
#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace dfm::test {

namespace {

constexpr Duration kTick = 20ms;
constexpr Duration kDomainLatency = 500us;
constexpr Duration kRegionLatency = 20ms;
constexpr Duration kStoreTimeout = 2s;
constexpr Duration kWatchTime = 20s;
constexpr uint64_t kAnswerBytes = 4096;
constexpr WallTime kWallStart{ std::chrono::milliseconds(1'800'000'000'000) };

const ServiceId kLookup("lookup");
const ServiceId kOrders("orders");

std::string
RegionName(size_t aRegion)
{
  return fmt::format("region-{}", aRegion);
}

} // namespace

FakeFleet::FakeFleet(Options aOptions)
  : options_(std::move(aOptions))
  , random_(options_.seed)
  , time_(TimePoint(1h))
{
  for (size_t i = 0; i < options_.vms; ++i) {
    const size_t domain = i % (options_.regions * options_.domainsPerRegion);
    const size_t region = domain / options_.domainsPerRegion;
    Node& node = nodes_.emplace_back();
    node.vm = Vm{ .id = VmId(fmt::format("vm-{}", i)),
                  .region = RegionId(RegionName(region)),
                  .failureDomain = FailureDomainId(fmt::format("domain-{}", domain)),
                  .callers = { fmt::format("127.0.0.{}", i + 1), 8000 },
                  .peers = { fmt::format("127.0.0.{}", i + 1), 9000 } };
  }
  for (size_t list = 0; list < kListCount; ++list) {
    const auto name = static_cast<ListName>(list);
    store_.objects[std::string(ObjectName(name))] = { 1, ListText(name) };
  }
  const Checked<std::vector<BackendServer>> servers =
    ParseBackends(store_.objects["fleet/backends"].content, "backends");
  for (const BackendServer& server : *servers)
    servers_[server.id].server = server;
  for (size_t i = 0; i < nodes_.size(); ++i)
    Start(i);
}

FakeFleet::~FakeFleet() = default;

std::string
FakeFleet::ListText(ListName aList) const
{
  std::vector<Service> services(2);
  services[0].id = kLookup;
  services[0].rank = Rank::Urgent;
  services[0].deadline = 250ms;
  services[0].expectedTime = options_.serviceTime;
  services[1] = services[0];
  services[1].id = kOrders;
  services[1].rank = Rank::Normal;
  services[1].idempotent = false;
  services[1].deadline = 2s;
  switch (aList) {
    case ListName::Plans:
      return SerialisePlans({ { PlanId("gold"), WorkspaceId("members"), 2 },
                              { PlanId("basic"), WorkspaceId("members"), 1 } });
    case ListName::Limits:
      return SerialiseLimits(options_.limits);
    case ListName::Drains:
      return SerialiseDrains({});
    case ListName::Services:
      return SerialiseServices(services);
    case ListName::Backends: {
      std::vector<BackendServer> servers;
      for (size_t domain = 0; domain < options_.regions * options_.domainsPerRegion; ++domain) {
        for (size_t i = 0; i < size_t{ 2 } * options_.serversPerPool; ++i)
          servers.push_back({ .id = BackendId(fmt::format("server-{}-{}", domain, i)),
                              .service = i % 2 == 0 ? kLookup : kOrders,
                              .region = RegionId(RegionName(domain / options_.domainsPerRegion)),
                              .failureDomain = FailureDomainId(fmt::format("domain-{}", domain)),
                              .endpoint = { fmt::format("127.1.{}.{}", domain, i + 1), 80 },
                              .slots = options_.slots });
      }
      return SerialiseBackends(servers);
    }
    case ListName::Links: {
      std::vector<Link> links;
      for (size_t from = 0; from < options_.regions; ++from) {
        for (size_t to = 0; to < options_.regions; ++to) {
          if (from != to)
            links.push_back({ RegionId(RegionName(from)),
                              RegionId(RegionName(to)),
                              options_.linkCapBytesPerSecond });
        }
      }
      return SerialiseLinks(links);
    }
    case ListName::Roster: {
      std::vector<Vm> vms;
      for (const Node& node : nodes_)
        vms.push_back(node.vm);
      return SerialiseRoster(vms);
    }
  }
  return {};
}

Now
FakeFleet::Clock() const
{
  const auto sinceStart =
    std::chrono::duration_cast<std::chrono::milliseconds>(time_.time_since_epoch());
  return { .monotonic = time_, .wall = kWallStart + sinceStart };
}

void
FakeFleet::At(Duration aDelay, std::function<void()> aAction)
{
  events_.push({ time_ + aDelay, ++eventNumber_, std::move(aAction) });
}

void
FakeFleet::RunFor(Duration aTime)
{
  const TimePoint end = time_ + aTime;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    time_ = event.at;
    event.action();
  }
  time_ = end;
}

void
FakeFleet::Deliver(size_t aNode, uint64_t aRun, std::function<void(Engine&)> aAction)
{
  Node& node = nodes_[aNode];
  if (node.run != aRun || !node.engine)
    return;
  if (node.frozenUntil > time_) {
    node.waiting.push_back(
      [this, aNode, aRun, aAction = std::move(aAction)] { Deliver(aNode, aRun, aAction); });
    return;
  }
  aAction(*node.engine);
}

void
FakeFleet::Tick(size_t aNode, uint64_t aRun)
{
  Node& node = nodes_[aNode];
  if (node.run != aRun || !node.engine)
    return;
  if (node.frozenUntil > time_) {
    At(node.frozenUntil - time_, [this, aNode, aRun] { Tick(aNode, aRun); });
    return;
  }
  // Messages that arrived during a pause may be handled before or after the first tick.
  const bool tickFirst = random_.Below(2) == 0;
  if (tickFirst)
    node.engine->OnTick(Clock());
  while (!node.waiting.empty()) {
    const std::function<void()> action = std::move(node.waiting.front());
    node.waiting.pop_front();
    action();
  }
  if (!tickFirst)
    node.engine->OnTick(Clock());
  if (node.stopped) {
    node.engine.reset();
    return;
  }
  At(kTick, [this, aNode, aRun] { Tick(aNode, aRun); });
}

void
FakeFleet::Start(size_t aNode)
{
  Node& node = nodes_[aNode];
  ++node.run;
  node.stopped = false;
  node.frozenUntil = TimePoint{};
  node.incarnation = Incarnation{ random_.Next() };
  EngineOptions options;
  options.self = node.vm;
  options.incarnation = node.incarnation;
  options.startedAtMs = static_cast<uint64_t>(Clock().wall.time_since_epoch().count());
  options.seeds = { nodes_[0].vm.peers, nodes_[1 % nodes_.size()].vm.peers };
  options.storeRegion = RegionId(RegionName(0));
  options.randomSeed = random_.Next();
  node.engine = std::make_unique<Engine>(options, MakeHooks(aNode));
  node.engine->Start(Clock());
  At(Duration(random_.Below(kTick.count())), [this, aNode, run = node.run] { Tick(aNode, run); });
}

EngineHooks
FakeFleet::MakeHooks(size_t aNode)
{
  const uint64_t run = nodes_[aNode].run;
  EngineHooks hooks;
  hooks.startAttempt =
    [this,
     aNode](AttemptId aId, RequestId aRequest, const BackendServer& aServer, TimePoint aDeadline) {
      StartAttempt(aNode, aId, aRequest, aServer, aDeadline);
    };
  hooks.cancelAttempt = [this, aNode](AttemptId aId) {
    const auto attempt = attempts_.at({ aNode, aId });
    At(0us, [this, attempt] { EndAttempt(attempt, AttemptEnd::Cancelled); });
  };
  hooks.forward = [this, aNode](RequestId aId, const RequestHead& aHead, const Vm& aTo) {
    Forward(aNode, aId, aHead, aTo);
  };
  hooks.cancelForward = [this, aNode](RequestId aId, const Vm& aTo) {
    CancelForward(aNode, aId, aTo);
  };
  hooks.reply = [this, aNode](RequestId aId, const Reply& aReply) { OnReply(aNode, aId, aReply); };
  hooks.forgetAnswer = [this, aNode](RequestId aId) { answers_.erase({ aNode, aId }); };
  hooks.sendStream = [this, aNode](const Vm& aTo, const StreamMessage& aMessage) {
    SendStream(aNode, aTo, aMessage);
  };
  hooks.sendDatagram = [this, aNode](const Endpoint& aTo, const DatagramMessage& aMessage) {
    SendDatagram(aNode, aTo, aMessage);
  };
  hooks.callStore = [this, aNode](const StoreCall& aCall) { CallStore(aNode, aCall); };
  hooks.listVms = [this, aNode, run] {
    std::optional<std::vector<PlatformVm>> vms;
    if (!store_.down) {
      vms.emplace();
      for (const Node& node : nodes_)
        vms->push_back({ node.vm, false });
    }
    At(2ms, [this, aNode, run, vms] {
      Deliver(aNode, run, [this, vms](Engine& aEngine) { aEngine.OnVmList(Clock(), vms); });
    });
  };
  hooks.pollLoad = [this, aNode, run](const BackendServer& aServer) {
    const FakeServer& server = servers_.at(aServer.id);
    std::optional<LoadReport> report;
    if (!server.crashed)
      report = LoadReport{ .inFlight = server.inFlight, .slots = server.server.slots };
    At(2ms, [this, aNode, run, id = aServer.id, report] {
      Deliver(aNode, run, [this, id, report](Engine& aEngine) {
        aEngine.OnLoadReport(Clock(), id, report);
      });
    });
  };
  hooks.publishRoutes = [this, aNode](std::shared_ptr<const RouteTable> aTable) {
    nodes_[aNode].routes = std::move(aTable);
  };
  hooks.stopped = [this, aNode] { nodes_[aNode].stopped = true; };
  hooks.count = [this](std::string_view aName, Reason aReason) {
    ++counters_[{ std::string(aName), aReason }];
  };
  return hooks;
}

uint64_t
FakeFleet::Counter(const std::string& aName, Reason aReason) const
{
  const auto found = counters_.find({ aName, aReason });
  return found == counters_.end() ? 0 : found->second;
}

bool
FakeFleet::Cut(const RegionId& aLeft, const RegionId& aRight) const
{
  return cuts_.contains({ aLeft, aRight });
}

Duration
FakeFleet::Latency(const Vm& aFrom, const RegionId& aRegion, const FailureDomainId& aDomain)
{
  Duration base = aFrom.region != aRegion ? kRegionLatency : kDomainLatency;
  if (aFrom.failureDomain == aDomain)
    base = kDomainLatency / 5;
  return base + Duration(random_.Below(static_cast<uint64_t>(base.count()) / 5 + 1));
}

std::optional<size_t>
FakeFleet::NodeOf(const Endpoint& aPeers) const
{
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].vm.peers == aPeers)
      return i;
  }
  return std::nullopt;
}

void
FakeFleet::SendDatagram(size_t aFrom, const Endpoint& aTo, const DatagramMessage& aMessage)
{
  const std::optional<size_t> to = NodeOf(aTo);
  const Vm& from = nodes_[aFrom].vm;
  if (!to || Cut(from.region, nodes_[*to].vm.region))
    return;
  const Vm& target = nodes_[*to].vm;
  At(Latency(from, target.region, target.failureDomain),
     [this, to = *to, sender = from.peers, aMessage] {
       Deliver(to, nodes_[to].run, [this, sender, aMessage](Engine& aEngine) {
         aEngine.OnDatagram(Clock(), sender, aMessage);
       });
     });
}

void
FakeFleet::SendStream(size_t aFrom, const Vm& aTo, const StreamMessage& aMessage)
{
  const std::optional<size_t> to = NodeOf(aTo.peers);
  const Vm& from = nodes_[aFrom].vm;
  if (!to || Cut(from.region, aTo.region))
    return;
  TimePoint& last = streamOrder_[{ aFrom, *to }];
  last = std::max(last, time_ + Latency(from, aTo.region, aTo.failureDomain));
  At(last - time_, [this, to = *to, sender = from.id, run = nodes_[*to].run, aMessage] {
    Deliver(to, run, [this, sender, aMessage](Engine& aEngine) {
      aEngine.OnStream(Clock(), sender, aMessage);
    });
  });
}

void
FakeFleet::CountLink(const RegionId& aFrom, const RegionId& aTo, uint64_t aBytes)
{
  if (aFrom == aTo)
    return;
  auto& use = linkUse_[{ aFrom, aTo }];
  uint64_t& window = linkWindow_[{ aFrom, aTo }];
  use.emplace_back(time_, aBytes);
  window += aBytes;
  while (use.front().first + 1s <= time_) {
    window -= use.front().second;
    use.pop_front();
  }
  peakLinkBytes_ = std::max(peakLinkBytes_, window);
}

uint64_t
FakeFleet::PeakLinkBytes() const
{
  return peakLinkBytes_;
}

void
FakeFleet::Forward(size_t aFrom, RequestId aId, const RequestHead& aHead, const Vm& aTo)
{
  const size_t to = NodeOf(aTo.peers).value();
  const Vm& from = nodes_[aFrom].vm;
  const uint64_t run = nodes_[aFrom].run;
  const bool cut = Cut(from.region, aTo.region);
  if (cut || !nodes_[to].engine) {
    // A refused connection fails at once; a cut one does when the sender gives up.
    At(cut ? 500ms : 1ms, [this, aFrom, run, aId] {
      Deliver(
        aFrom, run, [this, aId](Engine& aEngine) { aEngine.OnForwardFailed(Clock(), aId, false); });
    });
    return;
  }
  CountLink(from.region, aTo.region, aHead.requestBytes);
  TimePoint& last = streamOrder_[{ aFrom, to }];
  last = std::max(last, time_ + Latency(from, aTo.region, aTo.failureDomain));
  const RequestId local{ ++nextRequest_ };
  forwarded_[{ to, local }] = { aFrom, run, aId };
  RequestHead head = aHead;
  head.id = local;
  At(last - time_, [this, to, targetRun = nodes_[to].run, head] {
    heads_[{ to, head.id }] = head;
    Deliver(to, targetRun, [this, head](Engine& aEngine) { aEngine.OnRequest(Clock(), head); });
  });
}

void
FakeFleet::CancelForward(size_t aFrom, RequestId aId, const Vm& aTo)
{
  const size_t to = NodeOf(aTo.peers).value();
  if (Cut(nodes_[aFrom].vm.region, aTo.region))
    return;
  for (const auto& [key, origin] : forwarded_) {
    if (key.first != to || origin.node != aFrom || origin.id != aId)
      continue;
    const TimePoint arrival = streamOrder_[{ aFrom, to }] =
      std::max(streamOrder_[{ aFrom, to }], time_ + kDomainLatency);
    At(arrival - time_, [this, to, run = nodes_[to].run, local = key.second] {
      Deliver(
        to, run, [this, local](Engine& aEngine) { aEngine.OnRequestCancelled(Clock(), local); });
    });
    return;
  }
}

void
FakeFleet::OnReply(size_t aNode, RequestId aId, const Reply& aReply)
{
  uint64_t answer = 0;
  if (aReply.source == AnswerSource::Attempt)
    answer = attempts_.at({ aNode, aReply.attempt })->head.fingerprint;
  if (aReply.source == AnswerSource::Remembered)
    answer = answers_.at({ aNode, aReply.remembered });
  if (aReply.source == AnswerSource::Forward)
    answer = answers_.at({ aNode, aId });
  if (answer != 0)
    answers_[{ aNode, aId }] = answer;
  const auto caller = callerRequests_.find({ aNode, aId });
  if (caller != callerRequests_.end()) {
    Sent& sent = sent_[caller->second];
    if (sent.reply)
      ++duplicateReplies_;
    // An order whose caller has gone is still answered, so that the answer is kept for repeats.
    if (sent.abandoned)
      return;
    sent.reply = aReply;
    sent.repliedAt = time_;
    sent.answerOf = answer;
    return;
  }
  const auto forwarded = forwarded_.find({ aNode, aId });
  if (forwarded == forwarded_.end())
    return;
  const Origin origin = forwarded->second;
  const Vm& from = nodes_[aNode].vm;
  const Vm& to = nodes_[origin.node].vm;
  if (Cut(from.region, to.region))
    return;
  ForwardReply reply;
  reply.id = origin.id;
  reply.outcome = aReply.withheld ? Outcome::Unknown : aReply.outcome;
  reply.reason = aReply.withheld ? Reason::LinkBudget : aReply.reason;
  reply.owner = aReply.owner;
  reply.retryAfter = aReply.retryAfter;
  if (reply.outcome == Outcome::Answered) {
    reply.content = std::string(kAnswerBytes, 'x');
    CountLink(from.region, to.region, kAnswerBytes);
  }
  TimePoint& last = streamOrder_[{ aNode, origin.node }];
  last = std::max(last, time_ + Latency(from, to.region, to.failureDomain));
  At(last - time_, [this, origin, reply, answer] {
    Deliver(origin.node, origin.run, [this, origin, reply, answer](Engine& aEngine) {
      if (answer != 0)
        answers_[{ origin.node, origin.id }] = answer;
      aEngine.OnForwardReply(Clock(), origin.id, reply);
    });
  });
}

void
FakeFleet::StartAttempt(size_t aNode,
                        AttemptId aId,
                        RequestId aRequest,
                        const BackendServer& aServer,
                        TimePoint aDeadline)
{
  auto attempt = std::make_shared<Attempt>();
  attempt->node = aNode;
  attempt->run = nodes_[aNode].run;
  attempt->id = aId;
  attempt->head = heads_.at({ aNode, aRequest });
  attempt->server = aServer.id;
  attempt->started = time_;
  attempts_[{ aNode, aId }] = attempt;
  const Vm& from = nodes_[aNode].vm;
  const Duration timeLeft = std::max(Duration(0), aDeadline - time_);
  At(timeLeft, [this, attempt] { EndAttempt(attempt, AttemptEnd::TimedOut); });
  if (Cut(from.region, aServer.region))
    return;
  At(Latency(from, aServer.region, aServer.failureDomain),
     [this, attempt] { ArriveAtServer(attempt); });
}

void
FakeFleet::ArriveAtServer(const std::shared_ptr<Attempt>& aAttempt)
{
  if (aAttempt->ended)
    return;
  FakeServer& server = servers_.at(aAttempt->server);
  if (server.crashed)
    return EndAttempt(aAttempt, AttemptEnd::ConnectFailed);
  server.lastStart = time_;
  ++server.inFlight;
  server.peakInFlight = std::max(server.peakInFlight, server.inFlight);
  aAttempt->running = true;
  runs_.push_back({ aAttempt->head.fingerprint, aAttempt->server, time_ });
  if (poison_.contains(aAttempt->head.fingerprint)) {
    At(1ms, [this, aAttempt] {
      if (aAttempt->running)
        CrashServer(aAttempt->server, 2s);
    });
    return;
  }
  const double mean = ToSeconds(options_.serviceTime);
  const Duration time = FromSeconds(-std::log(1 - random_.Unit()) * mean);
  const Vm& vm = nodes_[aAttempt->node].vm;
  const Duration back = Latency(vm, server.server.region, server.server.failureDomain);
  At(time, [this, aAttempt] { FreeSlot(aAttempt); });
  At(time + back, [this, aAttempt] {
    const FakeServer& from = servers_.at(aAttempt->server);
    if (!Cut(nodes_[aAttempt->node].vm.region, from.server.region))
      EndAttempt(aAttempt, AttemptEnd::Answered);
  });
}

void
FakeFleet::FreeSlot(const std::shared_ptr<Attempt>& aAttempt)
{
  if (std::exchange(aAttempt->running, false))
    --servers_.at(aAttempt->server).inFlight;
}

void
FakeFleet::EndAttempt(const std::shared_ptr<Attempt>& aAttempt, AttemptEnd aEnd)
{
  if (std::exchange(aAttempt->ended, true))
    return;
  // The server cancels a request when it sees that its connection was closed.
  const bool closedByVm = aEnd == AttemptEnd::TimedOut || aEnd == AttemptEnd::Cancelled;
  At(closedByVm ? kRegionLatency : Duration(0), [this, aAttempt] { FreeSlot(aAttempt); });
  AttemptResult result;
  result.end = aEnd;
  result.status = aEnd == AttemptEnd::Answered ? 200 : 0;
  result.answerBytes = aEnd == AttemptEnd::Answered ? kAnswerBytes : 0;
  result.elapsed = time_ - aAttempt->started;
  Deliver(aAttempt->node, aAttempt->run, [this, id = aAttempt->id, result](Engine& aEngine) {
    aEngine.OnAttemptEnded(Clock(), id, result);
  });
}

void
FakeFleet::CrashServer(const BackendId& aServer, Duration aTime)
{
  servers_.at(aServer).crashed = true;
  for (const auto& [key, attempt] : attempts_) {
    if (attempt->server == aServer && attempt->running)
      EndAttempt(attempt, AttemptEnd::Crashed);
  }
  At(aTime, [this, aServer] { servers_.at(aServer).crashed = false; });
}

void
FakeFleet::CallStore(size_t aNode, const StoreCall& aCall)
{
  const uint64_t run = nodes_[aNode].run;
  const auto answer = [this, aNode, run, id = aCall.id](Duration aDelay,
                                                        const StoreResult& aResult) {
    At(aDelay, [this, aNode, run, id, aResult] {
      Deliver(aNode, run, [this, id, aResult](Engine& aEngine) {
        aEngine.OnStoreResult(Clock(), id, aResult);
      });
    });
  };
  if (aCall.kind == StoreCall::Kind::Watch && !store_.down) {
    watches_.push_back({ aNode, run, aCall });
    At(kWatchTime, [this, aNode, run, id = aCall.id, answer] {
      const auto found = std::find_if(watches_.begin(), watches_.end(), [&](const Watch& aWatch) {
        return aWatch.node == aNode && aWatch.run == run && aWatch.call.id == id;
      });
      if (found == watches_.end())
        return;
      watches_.erase(found);
      answer(0us, { .status = StoreStatus::NotFound });
    });
    return FireWatches();
  }
  const Duration way = nodes_[aNode].vm.region == RegionId(RegionName(0)) ? 1ms : kRegionLatency;
  At(way, [this, answer, way, aCall] {
    if (store_.down)
      return answer(kStoreTimeout, { .status = StoreStatus::NoAnswer });
    const StoreResult result = Execute(aCall);
    const bool lost = aCall.kind == StoreCall::Kind::Put && store_.loseAnswers > 0;
    if (lost)
      --store_.loseAnswers;
    answer(lost ? kStoreTimeout : way,
           lost ? StoreResult{ .status = StoreStatus::NoAnswer } : result);
  });
}

StoreResult
FakeFleet::Execute(const StoreCall& aCall)
{
  FakeStore::Object& object = store_.objects[aCall.object];
  if (aCall.kind == StoreCall::Kind::Get || aCall.kind == StoreCall::Kind::Watch) {
    if (object.version == 0)
      return { .status = StoreStatus::NotFound };
    return { .status = StoreStatus::Ok, .version = object.version, .content = object.content };
  }
  if (aCall.kind == StoreCall::Kind::Delete) {
    store_.objects.erase(aCall.object);
    return { .status = StoreStatus::Ok };
  }
  if (object.version != aCall.expectedVersion)
    return { .status = StoreStatus::Conflict, .version = object.version };
  ++object.version;
  object.content = aCall.content;
  StoreResult result{ .status = StoreStatus::Ok, .version = object.version };
  FireWatches();
  return result;
}

void
FakeFleet::FireWatches()
{
  std::erase_if(watches_, [this](const Watch& aWatch) {
    const FakeStore::Object& object = store_.objects[aWatch.call.object];
    if (object.version <= aWatch.call.expectedVersion)
      return false;
    const StoreResult result{ .status = StoreStatus::Ok,
                              .version = object.version,
                              .content = object.content };
    At(kRegionLatency, [this, aWatch, result] {
      Deliver(aWatch.node, aWatch.run, [this, id = aWatch.call.id, result](Engine& aEngine) {
        aEngine.OnStoreResult(Clock(), id, result);
      });
    });
    return true;
  });
}

ListVersion
FakeFleet::Write(ListName aList, const std::string& aText, ListVersion aExpected)
{
  if (store_.down)
    return 0;
  const StoreResult result = Execute({ .kind = StoreCall::Kind::Put,
                                       .object = std::string(ObjectName(aList)),
                                       .expectedVersion = aExpected,
                                       .content = aText });
  return result.status == StoreStatus::Ok ? result.version : 0;
}

RequestHead
FakeFleet::Lookup(Duration aDeadline)
{
  RequestHead head;
  head.workspace = WorkspaceId("members");
  head.plan = PlanId("gold");
  head.service = kLookup;
  head.rank = Rank::Urgent;
  head.deadline = time_ + aDeadline;
  head.fingerprint = random_.Next() | 1;
  head.requestBytes = 400;
  return head;
}

RequestHead
FakeFleet::Order(const std::string& aKey, Duration aDeadline)
{
  RequestHead head = Lookup(aDeadline);
  head.service = kOrders;
  head.rank = Rank::Normal;
  head.order = OrderKey{ aKey, Clock().wall };
  head.fingerprint = HashBytes(aKey) | 1;
  return head;
}

size_t
FakeFleet::Send(size_t aVm, RequestHead aHead)
{
  aHead.id = RequestId{ ++nextRequest_ };
  const size_t index = sent_.size();
  sent_.push_back({ .vm = nodes_[aVm].vm.id, .head = aHead, .at = time_ });
  if (!nodes_[aVm].engine || nodes_[aVm].stopped) {
    sent_[index].connectionLost = true;
    return index;
  }
  callerRequests_[{ aVm, aHead.id }] = index;
  heads_[{ aVm, aHead.id }] = aHead;
  Deliver(
    aVm, nodes_[aVm].run, [this, aHead](Engine& aEngine) { aEngine.OnRequest(Clock(), aHead); });
  return index;
}

void
FakeFleet::Abandon(size_t aRequest)
{
  Sent& sent = sent_[aRequest];
  sent.abandoned = true;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].vm.id == sent.vm)
      Deliver(i, nodes_[i].run, [this, id = sent.head.id](Engine& aEngine) {
        aEngine.OnRequestCancelled(Clock(), id);
      });
  }
}

void
FakeFleet::Kill(size_t aVm)
{
  Node& node = nodes_[aVm];
  if (!node.engine)
    return;
  node.engine.reset();
  node.waiting.clear();
  node.routes.reset();
  const uint64_t run = node.run;
  for (Sent& sent : sent_) {
    if (sent.vm == node.vm.id && !sent.reply)
      sent.connectionLost = true;
  }
  for (const auto& [key, attempt] : attempts_) {
    if (attempt->node == aVm && attempt->run == run) {
      attempt->ended = true;
      FreeSlot(attempt);
    }
  }
  // Peers see their connections break, unless a cut hides it.
  for (const auto& [key, sender] : forwarded_) {
    const Origin origin = sender;
    if (key.first != aVm || Cut(node.vm.region, nodes_[origin.node].vm.region))
      continue;
    At(kRegionLatency, [this, origin] {
      Deliver(origin.node, origin.run, [this, origin](Engine& aEngine) {
        aEngine.OnForwardFailed(Clock(), origin.id, true);
      });
    });
  }
}

void
FakeFleet::Restart(size_t aVm)
{
  Kill(aVm);
  Start(aVm);
}

void
FakeFleet::Freeze(size_t aVm, Duration aTime)
{
  nodes_[aVm].frozenUntil = std::max(nodes_[aVm].frozenUntil, time_ + aTime);
}

void
FakeFleet::Stop(size_t aVm)
{
  Deliver(aVm, nodes_[aVm].run, [this](Engine& aEngine) { aEngine.BeginStop(Clock()); });
}

void
FakeFleet::CutRegions(const std::string& aLeft, const std::string& aRight, bool aCut)
{
  for (const auto& pair : { std::pair(RegionId(aLeft), RegionId(aRight)),
                            std::pair(RegionId(aRight), RegionId(aLeft)) }) {
    if (aCut)
      cuts_.insert(pair);
    else
      cuts_.erase(pair);
  }
}

} // namespace dfm::test
