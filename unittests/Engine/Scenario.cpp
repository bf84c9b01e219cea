#include "Scenario.h"

#include "dragonflymoor/Model/Lists.h"
#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace dfm::test {

namespace {

constexpr int kSteps = 200;
constexpr Duration kStep = 50ms;
constexpr Duration kSettle = 15s; ///< Start hold of shares, slow start and take-over have ended.
constexpr Duration kInForceEverywhere = 15s;
constexpr uint64_t kLinkCap = 400'000; ///< Bytes a second; a flood that is moved reaches it.
constexpr uint64_t kPoisonFingerprint = 0xbad;

} // namespace

Scenario::Scenario(uint64_t aSeed, unsigned aFaults)
  : faults_(aFaults)
  , random_(aSeed)
  , fleet_({ .seed = aSeed, .linkCapBytesPerSecond = kLinkCap })
  , seen_(fleet_.VmCount())
{
}

size_t
Scenario::UpCount() const
{
  size_t up = 0;
  for (size_t i = 0; i < fleet_.VmCount(); ++i)
    up += fleet_.Alive(i) && !fleet_.Stopped(i) ? 1 : 0;
  return up;
}

size_t
Scenario::AnyVm()
{
  return random_.Below(fleet_.VmCount());
}

std::vector<std::string>
Scenario::Run()
{
  fleet_.RunFor(kSettle);
  if (Has(kPoison))
    fleet_.MakePoison(kPoisonFingerprint);
  for (int i = 0; i < kSteps; ++i)
    Step();
  Heal();
  CheckRequests();
  CheckOrders();
  CheckServers();
  CheckLists();
  return violations_;
}

void
Scenario::Step()
{
  SendLoad();
  ResendOrders();
  if (faults_ != kNoFault && random_.Below(12) == 0)
    CauseFault();
  fleet_.RunFor(kStep);
  Observe();
}

void
Scenario::SendLoad()
{
  const uint64_t lookups = random_.Below(Has(kFlood) ? 200 : 12);
  for (uint64_t i = 0; i < lookups; ++i)
    fleet_.Send(AnyVm(), fleet_.Lookup());
  if (Has(kPoison) && random_.Below(8) == 0) {
    RequestHead head = fleet_.Lookup();
    head.fingerprint = kPoisonFingerprint;
    fleet_.Send(AnyVm(), head);
  }
  if (Has(kAbandon) && !fleet_.Requests().empty() && random_.Below(3) == 0)
    fleet_.Abandon(fleet_.Requests().size() - 1 -
                   random_.Below(std::min<size_t>(8, fleet_.Requests().size())));
  for (uint64_t i = random_.Below(3); i > 0; --i) {
    const size_t vm = AnyVm();
    std::string key = fmt::format("order-{}", orders_.size());
    const RouteTable* routes = fleet_.Routes(vm);
    if (routes && random_.Below(3) == 0)
      key.insert(0, routes->keyPrefix);
    OrderTry order{ .head = fleet_.Order(key, 1s) };
    order.head.firstCopy = random_.Below(2) == 0;
    order.copies.push_back(fleet_.Send(vm, order.head));
    orders_.push_back(order);
  }
}

void
Scenario::ResendOrders()
{
  for (OrderTry& order : orders_) {
    if (order.decided)
      continue;
    const Sent& last = fleet_.Requests()[order.copies.back()];
    const bool waits = !last.reply && !last.connectionLost;
    if (last.reply && last.reply->outcome == Outcome::Answered)
      order.decided = true;
    // An impatient caller resends even while its copies are on their way. One that stated that it
    // sent the first copy may do so only after it has closed that connection.
    if (order.decided || order.copies.size() > 5 || random_.Below(waits ? 20 : 4) != 0)
      continue;
    if (waits && order.head.firstCopy)
      fleet_.Abandon(order.copies.back());
    RequestHead head = order.head;
    head.firstCopy = false;
    head.deadline = fleet_.Time() + 1s;
    order.copies.push_back(fleet_.Send(AnyVm(), head));
  }
}

void
Scenario::CauseFault()
{
  std::vector<Fault> enabled;
  for (const Fault fault :
       { kKill, kFreeze, kCut, kStoreDown, kLostAnswers, kServerCrash, kStop, kEdits }) {
    if (Has(fault))
      enabled.push_back(fault);
  }
  if (enabled.empty())
    return;
  switch (enabled[random_.Below(enabled.size())]) {
    case kKill:
      return KillSome();
    case kFreeze:
      return fleet_.Freeze(AnyVm(), random_.Between(100ms, 6s));
    case kCut: {
      const bool cut = random_.Below(2) == 0;
      return fleet_.CutRegions("region-0", random_.Below(2) == 0 ? "region-1" : "region-2", cut);
    }
    case kStoreDown:
      fleet_.Store().down = random_.Below(2) == 0;
      return;
    case kLostAnswers:
      fleet_.Store().loseAnswers += 1 + static_cast<unsigned>(random_.Below(3));
      return;
    case kServerCrash: {
      auto server = fleet_.Servers().begin();
      std::advance(server, random_.Below(fleet_.Servers().size()));
      return fleet_.CrashServer(server->first, random_.Between(100ms, 3s));
    }
    case kStop:
      return StopSome();
    case kEdits:
      return EditSome();
    default:
      return;
  }
}

void
Scenario::KillSome()
{
  const size_t vm = AnyVm();
  if (random_.Below(2) == 0) {
    fleet_.Restart(vm);
    seen_[vm] = {};
  } else if (UpCount() > 3) {
    fleet_.Kill(vm);
    seen_[vm] = {};
  }
}

void
Scenario::StopSome()
{
  const size_t vm = AnyVm();
  if (!fleet_.Alive(vm)) {
    fleet_.Restart(vm);
    seen_[vm] = {};
  } else if (UpCount() > 4 && !fleet_.Frozen(vm)) {
    fleet_.Stop(vm);
  }
}

void
Scenario::EditSome()
{
  // Two operators edit the same version: the store lets one of them win.
  const ListVersion base = written_;
  for (int i = 0; i < 2; ++i) {
    const PlanLimit limit{ .plan = PlanId("basic"),
                           .service = ServiceId("lookup"),
                           .requestsPerSecond = 1.0 + static_cast<double>(random_.Below(1000)),
                           .maxInFlight = 100 };
    const ListVersion version = fleet_.Write(ListName::Limits, SerialiseLimits({ limit }), base);
    if (version != 0 && i == 1 && written_ != base)
      Fail("two operators both replaced the same version");
    if (version != 0)
      written_ = version;
  }
}

void
Scenario::Observe()
{
  for (size_t vm = 0; vm < fleet_.VmCount(); ++vm) {
    if (!fleet_.Alive(vm))
      continue;
    const EngineStatus status = fleet_.Status(vm);
    for (size_t list = 0; list < kListCount; ++list) {
      if (status.listVersions[list] < seen_[vm][list])
        Fail(fmt::format("vm {} went back from version {} of list {}", vm, seen_[vm][list], list));
      seen_[vm][list] = status.listVersions[list];
    }
  }
}

void
Scenario::Heal()
{
  fleet_.Store().down = false;
  fleet_.CutRegions("region-0", "region-1", false);
  fleet_.CutRegions("region-0", "region-2", false);
  fleet_.RunFor(kInForceEverywhere);
  Observe();
}

void
Scenario::CheckRequests()
{
  for (const Sent& sent : fleet_.Requests()) {
    if (!sent.reply && !sent.connectionLost && !sent.abandoned)
      Fail(fmt::format("request {} to {} got no reply", sent.head.id.value, sent.vm.Value()));
    if (sent.reply && sent.reply->outcome == Outcome::Answered &&
        sent.reply->source != AnswerSource::None && sent.answerOf != sent.head.fingerprint)
      Fail(fmt::format("request {} got the answer of another request", sent.head.id.value));
  }
  if (fleet_.DuplicateReplies() > 0)
    Fail(fmt::format("{} requests got two replies", fleet_.DuplicateReplies()));
  if (fleet_.PeakLinkBytes() > fleet_.Opts().linkCapBytesPerSecond)
    Fail(fmt::format("{} bytes on a link in one second", fleet_.PeakLinkBytes()));
  if (!Has(kPoison))
    return;
  const auto poisoned =
    std::count_if(fleet_.Runs().begin(), fleet_.Runs().end(), [](const ServerRun& aRun) {
      return aRun.fingerprint == kPoisonFingerprint;
    });
  // Two crashes block the request; copies that run at once on other VMs may crash one more each.
  if (poisoned > 6)
    Fail(fmt::format("a request crashed {} servers", poisoned));
}

void
Scenario::CheckOrders()
{
  std::map<uint64_t, std::vector<TimePoint>> runs;
  for (const ServerRun& run : fleet_.Runs())
    runs[run.fingerprint].push_back(run.at);
  for (const OrderTry& order : orders_) {
    const std::vector<TimePoint>& ran = runs[order.head.fingerprint];
    if (ran.size() > 1)
      Fail(fmt::format("order {} ran {} times", order.head.order->key, ran.size()));
    for (const size_t index : order.copies) {
      const Sent& sent = fleet_.Requests()[index];
      if (sent.abandoned || !sent.reply || sent.reply->outcome != Outcome::NotRun)
        continue;
      // A run after the refusal is allowed only for a copy that was sent after it.
      const bool sentLater =
        std::any_of(order.copies.begin(), order.copies.end(), [&](size_t aOther) {
          return fleet_.Requests()[aOther].at >= *sent.repliedAt;
        });
      for (const TimePoint at : ran) {
        if (at <= *sent.repliedAt || !sentLater)
          Fail(fmt::format("order {} ran although {} said it had not (reason {})",
                           order.head.order->key,
                           sent.vm.Value(),
                           ToString(sent.reply->reason)));
      }
    }
  }
}

void
Scenario::CheckServers()
{
  // Crashed servers and planned stops do not give two VMs the same pool.
  const unsigned twoOwners = kKill | kFreeze | kCut;
  const uint32_t factor = (faults_ & twoOwners) != 0 ? 2 : 1;
  for (const auto& [id, server] : fleet_.Servers()) {
    if (server.peakInFlight > factor * server.server.slots)
      Fail(fmt::format("server {} had {} requests in flight on {} slots",
                       id.Value(),
                       server.peakInFlight,
                       server.server.slots));
  }
}

void
Scenario::CheckLists()
{
  for (size_t vm = 0; vm < fleet_.VmCount(); ++vm) {
    if (!fleet_.Alive(vm) || fleet_.Stopped(vm))
      continue;
    const ListVersion version =
      fleet_.Status(vm).listVersions[static_cast<size_t>(ListName::Limits)];
    if (version != written_)
      Fail(
        fmt::format("vm {} has version {} of the limits, {} was accepted", vm, version, written_));
  }
}

} // namespace dfm::test
