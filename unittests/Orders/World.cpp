#include "World.h"

#include <fmt/format.h>

namespace dfm::test {

namespace {

constexpr WallTime kStart{ 1'800'000'000'000ms };

Reply
MakeReply(Outcome aOutcome, Reason aReason = Reason::None)
{
  Reply reply;
  reply.outcome = aOutcome;
  reply.reason = aReason;
  return reply;
}

} // namespace

World::World(uint64_t aSeed)
  : random_(aSeed)
  , nodes_(kVms)
{
  for (size_t i = 0; i < kVms; ++i) {
    nodes_[i].vm.id = VmId(fmt::format("vm-{}", i));
    nodes_[i].vm.region = RegionId(i < 2 ? "near" : "far");
    Start(i);
  }
}

Now
World::Time() const
{
  return Now{ .monotonic = now_,
              .wall = kStart + std::chrono::duration_cast<std::chrono::milliseconds>(
                                 now_.time_since_epoch()) };
}

void
World::At(Duration aDelay, std::function<void()> aRun)
{
  events_.push(Event{ now_ + aDelay, nextNumber_++, std::nullopt, {}, std::move(aRun) });
}

void
World::AtVm(size_t aVm, Duration aDelay, std::function<void()> aRun)
{
  AtVm(aVm, nodes_[aVm].self.incarnation, aDelay, std::move(aRun));
}

void
World::AtVm(size_t aVm, Incarnation aRun, Duration aDelay, std::function<void()> aFunction)
{
  events_.push(Event{ now_ + aDelay, nextNumber_++, aVm, aRun, std::move(aFunction) });
}

void
World::Run(Duration aTime)
{
  const TimePoint end = now_ + aTime;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    if (!event.vm) {
      event.run();
      continue;
    }
    Node& node = nodes_[*event.vm];
    if (node.self.incarnation != event.incarnation)
      continue;
    if (node.paused)
      node.held.push_back(event.run);
    else
      event.run();
  }
  now_ = end;
}

void
World::Start(size_t aVm)
{
  Node& node = nodes_[aVm];
  node.self = { .vm = node.vm.id, .incarnation = Incarnation{ random_.Next() } };
  node.paused = false;
  node.requests.clear();
  node.held.clear();
  StartClaims(aVm);
  StartLedger(aVm);
  SetView(aVm, 7);
  StartTicks(aVm);
}

void
World::StartClaims(size_t aVm)
{
  Node& node = nodes_[aVm];
  node.router = std::make_unique<ClaimRouter>(
    ClaimRouterOptions{ .self = node.self, .storeRegion = RegionId("near") },
    ClaimRouterHooks{
      .sendRequest =
        [this, aVm](const Vm& aTo, const ClaimRequest& aRequest) {
          const size_t to = *Find(aTo.id);
          if (!Chance(faults_))
            AtVm(to, Delay(Chance(0.1) ? 2s : 20ms), [this, aVm, to, aRequest] {
              nodes_[to].router->OnClaimRequest(Time(), nodes_[aVm].vm.id, aRequest);
            });
        },
      .sendReply =
        [this, aVm](const VmId& aTo, const ClaimReply& aReply) {
          const size_t to = *Find(aTo);
          // The reply of an earlier request may reach the next run of the VM.
          At(Delay(Chance(0.1) ? 3s : 20ms), [this, aVm, to, aReply] {
            AtVm(to, 0ms, [this, aVm, to, aReply] {
              nodes_[to].router->OnClaimReply(Time(), nodes_[aVm].vm.id, aReply);
            });
          });
        },
      .submit =
        [this, aVm](Now aNow, ClaimTicket aTicket, uint64_t aWindow, const Claim& aClaim) {
          nodes_[aVm].claims->Submit(aNow, aTicket, aWindow, aClaim);
        },
      .decided =
        [this, aVm](Now aNow, ClaimTicket aTicket, const ClaimVerdict& aVerdict) {
          nodes_[aVm].ledger->OnClaimDecided(aNow, aTicket, aVerdict);
        },
    },
    random_.Next());
  node.claims = std::make_unique<ClaimStore>(
    ClaimStoreOptions{},
    ClaimStoreHooks{
      .callStore = [this, aVm](const StoreCall& aCall) { return CallStore(aVm, aCall); },
      .decided =
        [this, aVm](Now aNow, ClaimTicket aTicket, const ClaimVerdict& aVerdict) {
          nodes_[aVm].router->OnSubmitted(aNow, aTicket, aVerdict);
        },
      .deletesShard = [this,
                       aVm](uint32_t aShard) { return nodes_[aVm].router->BatchesShard(aShard); },
      .count = [](std::string_view) {},
    });
}

void
World::StartLedger(size_t aVm)
{
  Node& node = nodes_[aVm];
  node.ledger = std::make_unique<OrderLedger>(
    OrderLedgerOptions{ .self = node.self },
    OrderLedgerHooks{
      .requestClaim =
        [this, aVm](Now aNow, ClaimTicket aTicket, uint64_t aWindow, const Claim& aClaim) {
          nodes_[aVm].router->RequestClaim(aNow, aTicket, aWindow, aClaim);
        },
      .proceed = [this, aVm](Now, RequestId aId) { Proceed(aVm, aId); },
      .withdraw =
        [this, aVm](Now, RequestId aId) {
          return std::exchange(nodes_[aVm].requests.at(aId).queued, false);
        },
      .forwardToClaimer =
        [this, aVm](Now, RequestId aId, const VmInstance& aClaimer) {
          const auto done = [this, aVm, aId](const Reply& aReply) {
            nodes_[aVm].ledger->OnForwardEnded(Time(), aId, aReply);
          };
          Forward(aVm, *Find(aClaimer.vm), aId, aClaimer, done);
        },
      .reply = [this, aVm](Now, RequestId aId, const Reply& aReply) { OnReply(aVm, aId, aReply); },
      .forgetAnswer = [](RequestId) {},
      .isAlive =
        [this](const VmInstance& aInstance) {
          const Node& other = nodes_[*Find(aInstance.vm)];
          // A paused VM may be taken for dead.
          return other.self == aInstance && !(other.paused && Chance(0.5));
        },
    });
}

void
World::StartTicks(size_t aVm)
{
  // Ticks repeat for the whole run of the VM.
  auto tick = std::make_shared<std::function<void()>>();
  *tick = [this, aVm, weak = std::weak_ptr(tick)] {
    nodes_[aVm].claims->OnTick(Time());
    nodes_[aVm].router->OnTick(Time());
    nodes_[aVm].ledger->OnTick(Time());
    if (const auto self = weak.lock())
      AtVm(aVm, 20ms, [self] { (*self)(); });
  };
  AtVm(aVm, 20ms, [tick] { (*tick)(); });
}

std::optional<size_t>
World::Find(const VmId& aVm) const
{
  for (size_t i = 0; i < kVms; ++i) {
    if (nodes_[i].vm.id == aVm)
      return i;
  }
  return std::nullopt;
}

void
World::SetView(size_t aVm, uint32_t aMembers)
{
  std::vector<Vm> members;
  for (size_t i = 0; i < kVms; ++i) {
    if (i == aVm || (aMembers >> i & 1) != 0)
      members.push_back(nodes_[i].vm);
  }
  nodes_[aVm].router->SetMembers(members);
}

void
World::Kill(size_t aVm)
{
  Start(aVm);
}

void
World::SetPaused(size_t aVm, bool aPaused)
{
  Node& node = nodes_[aVm];
  node.paused = aPaused;
  if (aPaused)
    return;
  const auto held = std::exchange(node.held, {});
  for (const auto& run : held)
    AtVm(aVm, 0ms, run);
}

void
World::Freeze(Duration aTime)
{
  now_ += aTime;
  std::priority_queue<Event> later;
  for (; !events_.empty(); events_.pop()) {
    Event event = events_.top();
    event.at += aTime;
    later.push(std::move(event));
  }
  events_ = std::move(later);
}

StoreResult
World::Apply(const StoreCall& aCall)
{
  const auto found = objects_.find(aCall.object);
  const uint64_t version = found == objects_.end() ? 0 : found->second.version;
  StoreResult result;
  result.status = StoreStatus::Ok;
  if (aCall.kind == StoreCall::Kind::Put) {
    if (version != aCall.expectedVersion) {
      result.status = StoreStatus::Conflict;
      return result;
    }
    objects_[aCall.object] = Object{ ++version_, aCall.content };
    result.version = version_;
    return result;
  }
  if (found == objects_.end()) {
    result.status = StoreStatus::NotFound;
    return result;
  }
  if (aCall.kind == StoreCall::Kind::Delete) {
    objects_.erase(found);
    return result;
  }
  result.version = version;
  result.content = found->second.content;
  return result;
}

StoreCallId
World::CallStore(size_t aVm, const StoreCall& aCall)
{
  const StoreCallId id{ nextNumber_++ };
  const auto answer = [this, aVm, id](Duration aDelay, const StoreResult& aResult) {
    AtVm(aVm, aDelay, [this, aVm, id, aResult] {
      nodes_[aVm].claims->OnStoreResult(Time(), id, aResult);
    });
  };
  const bool lossy = store_ == StoreMode::Lossy;
  if (store_ == StoreMode::Down || (lossy && Chance(0.2))) {
    if (Chance(0.5))
      answer(Delay(600ms), StoreResult{});
    return id;
  }
  // A call of a VM that has died since can still take effect.
  const Incarnation run = nodes_[aVm].self.incarnation;
  At(Delay(lossy && Chance(0.3) ? 3s : 8ms), [this, aVm, aCall, answer, lossy, run] {
    const StoreResult result = Apply(aCall);
    if (nodes_[aVm].self.incarnation != run)
      return;
    if (!lossy || Chance(0.6))
      answer(Delay(8ms), result);
    else if (Chance(0.5))
      answer(Delay(600ms), StoreResult{});
  });
  return id;
}

size_t
World::CreateOrder(bool aBound, size_t aVm, bool aStatesFirst)
{
  Order order;
  order.key = fmt::format("{}{}", aBound ? BoundKeyPrefix(nodes_[aVm].self) : "k", orders_.size());
  order.created = Time().wall;
  order.statesFirst = aStatesFirst;
  orders_.push_back(order);
  return orders_.size() - 1;
}

void
World::Abandon(size_t aOrder)
{
  for (const size_t copy : orders_[aOrder].copies)
    copies_[copy].abandoned = true;
}

void
World::SendCopy(size_t aOrder, size_t aVm, Duration aDelay)
{
  Order& order = orders_[aOrder];
  CopyInfo info{ .order = aOrder, .sentAt = now_ };
  info.first = order.statesFirst && order.copies.empty();
  // A caller that stated Dfm-Attempt: 1 sends the next copy after the reply or after it closed the
  // connection of the first copy.
  if (order.statesFirst && order.copies.size() == 1)
    copies_[order.copies.front()].abandoned = true;
  const size_t copy = copies_.size();
  copies_.push_back(info);
  order.copies.push_back(copy);

  Request request;
  request.copy = copy;
  request.head.workspace = WorkspaceId("w");
  request.head.service = ServiceId("orders");
  request.head.order = OrderKey{ .key = order.key, .created = order.created };
  request.head.firstCopy = info.first;
  request.head.deadline = now_ + aDelay + 200ms + Delay(2s);
  At(Delay(aDelay),
     [this, aVm, request] { AtVm(aVm, 0ms, [this, aVm, request] { Arrive(aVm, request); }); });
}

void
World::Arrive(size_t aVm, Request aRequest)
{
  Node& node = nodes_[aVm];
  const RequestId id{ nextNumber_++ };
  aRequest.head.id = id;
  const OrderRole role = OrderRoleOf(aRequest.head, node.self);
  if (role == OrderRole::Executor) {
    Execute(aVm, aRequest);
    return;
  }
  if (role == OrderRole::ClaimerGone || role == OrderRole::Invalid) {
    Answer(aVm, aRequest, MakeReply(Outcome::Unknown, Reason::ClaimerGone));
    return;
  }
  if (const auto refusal = ValidateOrderKey(*aRequest.head.order, Time().wall)) {
    Answer(aVm, aRequest, MakeReply(refusal->outcome, refusal->reason));
    return;
  }
  node.requests[id] = aRequest;
  if (!node.ledger->Knows(aRequest.head) && Chance(0.2))
    node.ledger->Reject(Time(), aRequest.head, Reason::PlanRateLimit);
  else
    node.ledger->OnCopy(Time(), aRequest.head);
  if (!aRequest.peer && copies_[aRequest.copy].abandoned)
    node.ledger->OnCopyGone(Time(), id);
}

void
World::Proceed(size_t aVm, RequestId aId)
{
  nodes_[aVm].requests.at(aId).queued = true;
  AtVm(aVm, Delay(400ms), [this, aVm, aId] {
    if (!std::exchange(nodes_[aVm].requests.at(aId).queued, false))
      return;
    if (Chance(0.25)) {
      const Reason reason = Chance(0.5) ? Reason::QueueFull : Reason::DeadlineExceeded;
      nodes_[aVm].ledger->OnFinished(Time(), aId, MakeReply(Outcome::NotRun, reason));
      return;
    }
    TryDispatch(aVm, aId);
  });
}

void
World::TryDispatch(size_t aVm, RequestId aId)
{
  Node& node = nodes_[aVm];
  if (!node.ledger->BeginDispatch(Time(), aId))
    return;
  const auto done = [this, aVm, aId](const Reply& aReply) {
    OrderLedger& ledger = *nodes_[aVm].ledger;
    if (aReply.outcome == Outcome::NotRun && Chance(0.5)) {
      ledger.OnDispatchUndone(Time(), aId);
      TryDispatch(aVm, aId);
      return;
    }
    ledger.OnFinished(Time(), aId, aReply, 100);
  };
  const size_t owner = random_.Below(kVms);
  if (owner != aVm) {
    Forward(aVm, owner, aId, node.self, done);
    return;
  }
  RunOnBackend(node.requests.at(aId).copy, [this, aVm, done](const Reply& aReply) {
    AtVm(aVm, 0ms, [done, aReply] { done(aReply); });
  });
}

void
World::RunOnBackend(size_t aCopy, const std::function<void(Reply)>& aDone)
{
  if (Chance(faults_)) {
    aDone(MakeReply(Outcome::NotRun, Reason::ConnectFailed));
    return;
  }
  if (Chance(faults_)) {
    aDone(MakeReply(Outcome::Unknown, Reason::ServerFailed));
    return;
  }
  const bool broken = Chance(faults_);
  At(Delay(100ms), [this, aCopy, aDone, broken] {
    const CopyInfo& copy = copies_[aCopy];
    Order& order = orders_[copy.order];
    ++runs_;
    if (++order.runs > 1)
      violations_.push_back(fmt::format("key {} ran {} times", order.key, order.runs));
    for (const TimePoint told : order.notRunAt) {
      if (copy.sentAt < told)
        violations_.push_back(fmt::format("key {} ran after not-run was told", order.key));
    }
    aDone(broken ? MakeReply(Outcome::Unknown, Reason::ServerFailed)
                 : MakeReply(Outcome::Answered));
  });
}

void
World::Execute(size_t aVm, const Request& aRequest)
{
  if (Chance(0.2)) {
    Answer(aVm, aRequest, MakeReply(Outcome::NotRun, Reason::NotOwner));
    return;
  }
  AtVm(aVm, Delay(100ms), [this, aVm, aRequest] {
    RunOnBackend(aRequest.copy, [this, aVm, aRequest](const Reply& aReply) {
      AtVm(aVm, 0ms, [this, aVm, aRequest, aReply] { Answer(aVm, aRequest, aReply); });
    });
  });
}

void
World::Forward(size_t aFrom,
               size_t aTo,
               RequestId aId,
               const VmInstance& aClaimer,
               const std::function<void(Reply)>& aDone)
{
  const RequestId number{ nextNumber_++ };
  forwards_[{ aFrom, number }] = aDone;
  const auto end = [this, aFrom, number](Duration aDelay, const Reply& aReply) {
    AtVm(aFrom, aDelay, [this, aFrom, number, aReply] {
      const auto found = forwards_.find({ aFrom, number });
      if (found == forwards_.end())
        return;
      const auto done = found->second;
      forwards_.erase(found);
      done(aReply);
    });
  };
  if (Chance(faults_ / 2)) {
    // Only an order on its way to a pool owner is certain not to have run.
    const bool mine = aClaimer == nodes_[aFrom].self;
    end(1ms, MakeReply(mine ? Outcome::NotRun : Outcome::Unknown, Reason::PeerUnreachable));
    return;
  }
  Request request = nodes_[aFrom].requests.at(aId);
  request.peer = aFrom;
  request.peerId = number;
  request.head.forwardedBy = nodes_[aFrom].vm.id;
  request.head.claimer = aClaimer;
  // The connection may break at any byte, before or after the request arrives.
  if (Chance(faults_))
    end(Delay(200ms), MakeReply(Outcome::Unknown, Reason::PeerFailed));
  else
    end(3s, MakeReply(Outcome::Unknown, Reason::PeerFailed));
  // A VM that restarts under the same address gets connections meant for its predecessor.
  if (!Chance(faults_ / 2))
    At(Delay(Chance(0.1) ? 1s : 20ms),
       [this, aTo, request] { AtVm(aTo, 0ms, [this, aTo, request] { Arrive(aTo, request); }); });
}

void
World::OnReply(size_t aVm, RequestId aId, const Reply& aReply)
{
  Answer(aVm, nodes_[aVm].requests.at(aId), aReply);
}

void
World::Answer(size_t aVm, const Request& aRequest, const Reply& aReply)
{
  if (!aRequest.peer) {
    const size_t copy = aRequest.copy;
    At(Delay(20ms), [this, copy, aReply] { Tell(copy, aReply); });
    return;
  }
  const size_t peer = *aRequest.peer;
  const RequestId number = aRequest.peerId;
  if (Chance(faults_ / 2))
    return;
  AtVm(peer, Delay(20ms), [this, peer, number, aReply] {
    const auto found = forwards_.find({ peer, number });
    if (found == forwards_.end())
      return;
    const auto done = found->second;
    forwards_.erase(found);
    done(aReply);
  });
  (void)aVm;
}

void
World::Tell(size_t aCopy, const Reply& aReply)
{
  const CopyInfo& copy = copies_[aCopy];
  if (copy.abandoned || aReply.outcome != Outcome::NotRun)
    return;
  ++toldNotRun_;
  Order& order = orders_[copy.order];
  if (order.runs > 0)
    violations_.push_back(fmt::format("key {} had run when not-run was told", order.key));
  order.notRunAt.push_back(now_);
}

} // namespace dfm::test
