#include "dragonflymoor/Orders/OrderLedger.h"

#include <algorithm>
#include <cassert>
#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace dfm {

namespace {

struct OrderHasher
{
  size_t operator()(const Hash128& aHash) const { return aHash.low; }
};

enum class State : uint8_t
{
  Claiming,   ///< The store has not yet said who may run the order.
  Ready,      ///< This run holds the claim, and nothing was sent.
  Dispatched, ///< Sent to a backend server or pool owner: it may run.
  Answered,
  Unknown, ///< It may have run; this run never sends it again.
  Closed,  ///< Nothing ran, and nobody ever runs it.
};

/// Part of an order that is only needed while copies wait or something was sent.
struct Activity
{
  std::vector<RequestId> copies;    ///< Copies that wait here, the carrier among them.
  std::optional<RequestId> carrier; ///< Request under which the order goes to a pool.
  bool refusing = false;            ///< Claiming waits for a refused claim.
};

struct Order
{
  State state = State::Claiming;
  Reason reason = Reason::None; ///< Why it ended.
  uint64_t window = 0;
  uint64_t fingerprint = 0;
  RequestId answer; ///< Number of the kept answer; zero when there is none.
  std::unique_ptr<Activity> active;
};

struct Refusal
{
  Reason reason = Reason::None;
  std::optional<Duration> retryAfter;
};

struct Copy
{
  RequestHead head;
  Hash128 order;
  bool forwarded = false;         ///< Passed to the claimer, which decides.
  std::optional<Refusal> refusal; ///< Set for a copy that waits for a refused claim.

  Reason ReasonOr(Reason aReason) const { return refusal ? refusal->reason : aReason; }
};

/// An answer that is kept for repeats.
struct KeptAnswer
{
  Hash128 order;
  RequestId id;
  uint64_t bytes = 0;
};

Reply
MakeReply(Outcome aOutcome, Reason aReason, std::optional<Duration> aRetryAfter = std::nullopt)
{
  Reply reply;
  reply.outcome = aOutcome;
  reply.reason = aReason;
  reply.retryAfter = aRetryAfter;
  return reply;
}

} // namespace

struct OrderLedger::Impl
{
  OrderLedgerOptions options;
  OrderLedgerHooks hooks;
  std::unordered_map<Hash128, Order, OrderHasher> orders;
  std::unordered_map<RequestId, Copy> copies;
  std::unordered_map<RequestId, Hash128> carriers;
  std::map<ClaimTicket, Hash128> tickets;
  std::set<std::pair<TimePoint, RequestId>> deadlines;
  /// Orders to forget, oldest window first.
  std::map<uint64_t, std::unordered_set<Hash128, OrderHasher>> byWindow;
  std::list<KeptAnswer> answers; ///< Oldest first.
  uint64_t answerBytes = 0;
  uint64_t lastTicket = 0;
  size_t refusalsInFlight = 0;
  /// Orders of this window and older ones may have been forgotten. It never decreases, so a wall
  /// clock that is set back does not make forgotten keys new again.
  std::optional<uint64_t> forgottenWindow;

  Hash128 HashOf(const RequestHead& aHead) const;
  bool MayBeForgotten(const RequestHead& aHead) const;
  Order& AddOrder(const Hash128& aHash, const RequestHead& aHead, State aState);
  void Attach(const Hash128& aHash, Order& aOrder, const RequestHead& aHead);
  void Detach(RequestId aId);
  void StartClaim(Now aNow, const Hash128& aHash, ClaimState aState);
  void OnKnownCopy(Now aNow, const Hash128& aHash, Order& aOrder, const RequestHead& aHead);
  void RejectKnown(Now aNow,
                   const Hash128& aHash,
                   Order& aOrder,
                   const RequestHead& aHead,
                   const Refusal& aRefusal);
  void OnBoundElsewhere(Now aNow, const RequestHead& aHead, const VmInstance& aInstance);
  Reply RepeatOf(const Order& aOrder) const;
  void Proceed(Now aNow, const Hash128& aHash);
  void OnMine(Now aNow, const Hash128& aHash);
  void OnRefused(Now aNow, const Hash128& aHash);
  void OnElsewhere(Now aNow, const Hash128& aHash, const VmInstance& aClaimer);
  void OnUndecided(Now aNow, const Hash128& aHash);
  void FinishNotRun(Now aNow, const Hash128& aHash, const Reply& aReply, bool aCarrierAttached);
  void FinishAnswered(Now aNow,
                      const Hash128& aHash,
                      RequestId aCarrier,
                      const Reply& aReply,
                      uint64_t aBytes);
  std::vector<RequestId> TakeCopies(Order& aOrder);
  void End(Now aNow, RequestId aId, const Reply& aReply);
  void EndAll(Now aNow, const std::vector<RequestId>& aIds, const Reply& aReply);
  void Settle(const Hash128& aHash, State aState, Reason aReason);
  void KeepAnswer(const Hash128& aHash, RequestId aId, uint64_t aBytes);
  void DropAnswer(const Hash128& aHash);
  void Forward(Now aNow, RequestId aId, const VmInstance& aClaimer);
  void DropIfForgotten(const Hash128& aHash);
  void Erase(const Hash128& aHash);
  void ForgetWindow();
  void ForgetOld(Now aNow);
  void EndLate(Now aNow);
};

namespace {

/// Outcome of a refusal by a VM that has passed the copy to nobody.
Outcome
RefusalOutcome(const RequestHead& aHead)
{
  return aHead.firstCopy ? Outcome::NotRun : Outcome::Unknown;
}

bool
HasEnded(const Order& aOrder)
{
  return aOrder.state == State::Answered || aOrder.state == State::Unknown ||
         aOrder.state == State::Closed;
}

/// Claimed by this run, and neither queued nor sent.
bool
IsOpen(const Order& aOrder)
{
  return aOrder.state == State::Ready && !aOrder.active->carrier;
}

/// Nothing is outstanding for the order.
bool
IsIdle(const Order& aOrder)
{
  return HasEnded(aOrder) || (IsOpen(aOrder) && aOrder.active->copies.empty());
}

} // namespace

Hash128
OrderLedger::Impl::HashOf(const RequestHead& aHead) const
{
  assert(aHead.order && "request is not an order");
  return OrderHash(aHead.workspace, aHead.service, aHead.order->key);
}

bool
OrderLedger::Impl::MayBeForgotten(const RequestHead& aHead) const
{
  return forgottenWindow && ClaimWindowOf(aHead.order->created) <= *forgottenWindow;
}

Order&
OrderLedger::Impl::AddOrder(const Hash128& aHash, const RequestHead& aHead, State aState)
{
  Order& order = orders[aHash];
  order.state = aState;
  order.window = ClaimWindowOf(aHead.order->created);
  order.fingerprint = aHead.fingerprint;
  order.active = std::make_unique<Activity>();
  byWindow[order.window].insert(aHash);
  return order;
}

void
OrderLedger::Impl::Attach(const Hash128& aHash, Order& aOrder, const RequestHead& aHead)
{
  assert(!copies.contains(aHead.id) && "request id used twice");
  Copy& copy = copies[aHead.id];
  copy.head = aHead;
  copy.order = aHash;
  deadlines.emplace(aHead.deadline, aHead.id);
  if (!aOrder.active)
    aOrder.active = std::make_unique<Activity>();
  aOrder.active->copies.push_back(aHead.id);
}

void
OrderLedger::Impl::Detach(RequestId aId)
{
  const auto found = copies.find(aId);
  if (found == copies.end())
    return;
  deadlines.erase({ found->second.head.deadline, aId });
  const auto order = orders.find(found->second.order);
  if (order != orders.end() && order->second.active)
    std::erase(order->second.active->copies, aId);
  copies.erase(found);
}

void
OrderLedger::Impl::StartClaim(Now aNow, const Hash128& aHash, ClaimState aState)
{
  Order& order = orders.at(aHash);
  const ClaimTicket ticket{ ++lastTicket };
  tickets[ticket] = aHash;
  const Claim claim{ .key = aHash, .state = aState, .claimer = options.self };
  hooks.requestClaim(aNow, ticket, order.window, claim);
}

Reply
OrderLedger::Impl::RepeatOf(const Order& aOrder) const
{
  if (aOrder.state == State::Closed)
    return MakeReply(Outcome::NotRun, aOrder.reason);
  if (aOrder.state == State::Unknown)
    return MakeReply(Outcome::Unknown, aOrder.reason);
  if (aOrder.answer == RequestId{})
    return MakeReply(Outcome::Answered, Reason::KeyExpired);
  Reply reply = MakeReply(Outcome::Answered, Reason::None);
  reply.source = AnswerSource::Remembered;
  reply.remembered = aOrder.answer;
  return reply;
}

void
OrderLedger::Impl::OnKnownCopy(Now aNow,
                               const Hash128& aHash,
                               Order& aOrder,
                               const RequestHead& aHead)
{
  if (aOrder.fingerprint != aHead.fingerprint ||
      aOrder.window != ClaimWindowOf(aHead.order->created)) {
    // Another request under the same key: the answer of the first one is not its answer.
    hooks.reply(aNow, aHead.id, MakeReply(Outcome::Unknown, Reason::BadRequest));
    return;
  }
  if (HasEnded(aOrder)) {
    hooks.reply(aNow, aHead.id, RepeatOf(aOrder));
    return;
  }
  Attach(aHash, aOrder, aHead);
  if (IsOpen(aOrder))
    Proceed(aNow, aHash);
}

void
OrderLedger::Impl::RejectKnown(Now aNow,
                               const Hash128& aHash,
                               Order& aOrder,
                               const RequestHead& aHead,
                               const Refusal& aRefusal)
{
  // A copy that joins a running order or gets a kept answer costs nothing.
  if (!IsOpen(aOrder) || aOrder.fingerprint != aHead.fingerprint) {
    OnKnownCopy(aNow, aHash, aOrder, aHead);
    return;
  }
  if (!aHead.firstCopy)
    Settle(aHash, State::Closed, aRefusal.reason);
  hooks.reply(aNow, aHead.id, MakeReply(Outcome::NotRun, aRefusal.reason, aRefusal.retryAfter));
}

void
OrderLedger::Impl::OnBoundElsewhere(Now aNow, const RequestHead& aHead, const VmInstance& aInstance)
{
  if (aHead.forwardedBy) {
    // The sender took this run for the one that the key names.
    hooks.reply(aNow, aHead.id, MakeReply(Outcome::Unknown, Reason::KeyBoundElsewhere));
    return;
  }
  if (!hooks.isAlive(aInstance)) {
    hooks.reply(aNow, aHead.id, MakeReply(RefusalOutcome(aHead), Reason::ClaimerGone));
    return;
  }
  Copy& copy = copies[aHead.id];
  copy.head = aHead;
  deadlines.emplace(aHead.deadline, aHead.id);
  Forward(aNow, aHead.id, aInstance);
}

void
OrderLedger::Impl::Proceed(Now aNow, const Hash128& aHash)
{
  Order& order = orders.at(aHash);
  assert(order.state == State::Ready && !order.active->copies.empty() && "nothing to proceed with");
  const RequestId carrier = order.active->copies.front();
  order.active->carrier = carrier;
  carriers[carrier] = aHash;
  hooks.proceed(aNow, carrier);
}

std::vector<RequestId>
OrderLedger::Impl::TakeCopies(Order& aOrder)
{
  return aOrder.active ? std::exchange(aOrder.active->copies, {}) : std::vector<RequestId>{};
}

void
OrderLedger::Impl::End(Now aNow, RequestId aId, const Reply& aReply)
{
  Detach(aId);
  hooks.reply(aNow, aId, aReply);
}

void
OrderLedger::Impl::EndAll(Now aNow, const std::vector<RequestId>& aIds, const Reply& aReply)
{
  for (const RequestId id : aIds) {
    if (copies.contains(id))
      End(aNow, id, aReply);
  }
}

void
OrderLedger::Impl::Settle(const Hash128& aHash, State aState, Reason aReason)
{
  Order& order = orders.at(aHash);
  order.state = aState;
  order.reason = aReason;
  order.active.reset();
  DropIfForgotten(aHash);
}

/// Removes an idle order whose window was forgotten while it was still active.
void
OrderLedger::Impl::DropIfForgotten(const Hash128& aHash)
{
  const auto found = orders.find(aHash);
  if (found == orders.end() || !forgottenWindow || found->second.window > *forgottenWindow)
    return;
  if (!IsIdle(found->second))
    return;
  DropAnswer(aHash);
  orders.erase(aHash);
}

/// Removes an order that this run has no part in.
void
OrderLedger::Impl::Erase(const Hash128& aHash)
{
  const auto window = byWindow.find(orders.at(aHash).window);
  if (window != byWindow.end())
    window->second.erase(aHash);
  orders.erase(aHash);
}

void
OrderLedger::Impl::Forward(Now aNow, RequestId aId, const VmInstance& aClaimer)
{
  copies.at(aId).forwarded = true;
  hooks.forwardToClaimer(aNow, aId, aClaimer);
}

void
OrderLedger::Impl::OnMine(Now aNow, const Hash128& aHash)
{
  Order& order = orders.at(aHash);
  std::vector<RequestId> refused;
  for (const RequestId id : order.active->copies) {
    if (copies.at(id).refusal)
      refused.push_back(id);
  }
  order.state = State::Ready;
  if (refused.size() == order.active->copies.size() && !refused.empty()) {
    // This run held the claim already and never used it.
    const Reason reason = copies.at(refused.front()).refusal->reason;
    Settle(aHash, State::Closed, reason);
    EndAll(aNow, refused, MakeReply(Outcome::NotRun, reason));
    return;
  }
  for (const RequestId id : refused)
    std::erase(order.active->copies, id);
  const bool waiting = !order.active->copies.empty();
  for (const RequestId id : refused)
    End(aNow, id, MakeReply(Outcome::Unknown, copies.at(id).refusal->reason));
  if (waiting)
    Proceed(aNow, aHash);
  else
    DropIfForgotten(aHash);
}

void
OrderLedger::Impl::OnRefused(Now aNow, const Hash128& aHash)
{
  Order& order = orders.at(aHash);
  const auto ids = TakeCopies(order);
  Reason reason = Reason::ClaimedElsewhere;
  std::optional<Duration> retryAfter;
  for (const RequestId id : ids) {
    const Copy& copy = copies.at(id);
    if (!copy.refusal)
      continue;
    reason = copy.refusal->reason;
    retryAfter = copy.refusal->retryAfter;
  }
  Settle(aHash, State::Closed, reason);
  EndAll(aNow, ids, MakeReply(Outcome::NotRun, reason, retryAfter));
}

void
OrderLedger::Impl::OnElsewhere(Now aNow, const Hash128& aHash, const VmInstance& aClaimer)
{
  Order& order = orders.at(aHash);
  const auto ids = TakeCopies(order);
  // The claimer keeps the record; the store is asked again for the next copy.
  Erase(aHash);
  if (aClaimer.vm == options.self.vm || !hooks.isAlive(aClaimer)) {
    EndAll(aNow, ids, MakeReply(Outcome::Unknown, Reason::ClaimerGone));
    return;
  }
  for (const RequestId id : ids) {
    // A copy is passed on once: the sender took this run for the claimer.
    if (copies.at(id).head.forwardedBy)
      End(aNow, id, MakeReply(Outcome::Unknown, Reason::ClaimedElsewhere));
    else
      Forward(aNow, id, aClaimer);
  }
}

void
OrderLedger::Impl::OnUndecided(Now aNow, const Hash128& aHash)
{
  Order& order = orders.at(aHash);
  const auto ids = TakeCopies(order);
  // The claim may still reach the store. It then names this run, which has not used it.
  Erase(aHash);
  for (const RequestId id : ids) {
    const Copy copy = copies.at(id);
    const Outcome outcome = ids.size() == 1 ? RefusalOutcome(copy.head) : Outcome::Unknown;
    End(aNow, id, MakeReply(outcome, copy.ReasonOr(Reason::StoreUnavailable)));
  }
}

void
OrderLedger::Impl::FinishNotRun(Now aNow,
                                const Hash128& aHash,
                                const Reply& aReply,
                                bool aCarrierAttached)
{
  Order& order = orders.at(aHash);
  order.state = State::Ready;
  std::vector<RequestId>& waiting = order.active->copies;
  if (waiting.empty()) {
    DropIfForgotten(aHash);
    return;
  }
  const bool carrierOnly =
    aReply.reason == Reason::DeadlineExceeded || aReply.reason == Reason::CallerGone;
  if (carrierOnly && (!aCarrierAttached || waiting.size() > 1)) {
    // Only the carrier's time is over; another copy may still be answered.
    const RequestId late = waiting.front();
    if (aCarrierAttached)
      End(aNow, late, MakeReply(Outcome::Unknown, aReply.reason));
    Proceed(aNow, aHash);
    return;
  }
  const auto ids = TakeCopies(order);
  const Reply reply = MakeReply(Outcome::NotRun, aReply.reason, aReply.retryAfter);
  // A caller that sent only one copy may send the key again; for all others a copy that is still on
  // its way must find the order closed.
  if (ids.size() > 1 || !copies.at(ids.front()).head.firstCopy)
    Settle(aHash, State::Closed, aReply.reason);
  else
    DropIfForgotten(aHash);
  EndAll(aNow, ids, reply);
}

void
OrderLedger::Impl::FinishAnswered(Now aNow,
                                  const Hash128& aHash,
                                  RequestId aCarrier,
                                  const Reply& aReply,
                                  uint64_t aBytes)
{
  auto ids = TakeCopies(orders.at(aHash));
  std::erase(ids, aCarrier);
  Detach(aCarrier);
  KeepAnswer(aHash, aCarrier, aBytes);
  const Reply repeat = [&] {
    Reply copied = MakeReply(Outcome::Answered, Reason::None);
    copied.source = AnswerSource::Remembered;
    copied.remembered = aCarrier;
    return copied;
  }();
  hooks.reply(aNow, aCarrier, aReply);
  EndAll(aNow, ids, repeat);
  Settle(aHash, State::Answered, Reason::None);
  while (answers.size() > options.maxAnswers || answerBytes > options.maxAnswerBytes)
    DropAnswer(answers.front().order);
}

void
OrderLedger::Impl::KeepAnswer(const Hash128& aHash, RequestId aId, uint64_t aBytes)
{
  orders.at(aHash).answer = aId;
  answers.push_back(KeptAnswer{ .order = aHash, .id = aId, .bytes = aBytes });
  answerBytes += aBytes;
}

void
OrderLedger::Impl::DropAnswer(const Hash128& aHash)
{
  Order& order = orders.at(aHash);
  if (order.answer == RequestId{})
    return;
  // Answers are dropped oldest first but for expired orders, which are near the front.
  const auto found = std::find_if(answers.begin(), answers.end(), [&](const KeptAnswer& aAnswer) {
    return aAnswer.id == order.answer;
  });
  assert(found != answers.end() && "kept answer without entry");
  answerBytes -= found->bytes;
  answers.erase(found);
  hooks.forgetAnswer(std::exchange(order.answer, RequestId{}));
}

void
OrderLedger::Impl::ForgetWindow()
{
  const auto oldest = byWindow.begin();
  forgottenWindow = std::max(forgottenWindow.value_or(0), oldest->first);
  const auto hashes = std::move(oldest->second);
  byWindow.erase(oldest);
  for (const Hash128& hash : hashes) {
    const auto found = orders.find(hash);
    if (found == orders.end())
      continue;
    // An active order is removed when it has ended.
    if (!IsIdle(found->second))
      continue;
    DropAnswer(hash);
    orders.erase(hash);
  }
}

void
OrderLedger::Impl::ForgetOld(Now aNow)
{
  const WallTime end = aNow.wall - kOrderRetention - kClaimGrace;
  const uint64_t last = end.time_since_epoch().count() > 0 ? ClaimWindowOf(end) : 0;
  while (!byWindow.empty() && byWindow.begin()->first < last)
    ForgetWindow();
  while (orders.size() > options.maxOrders && byWindow.size() > 1)
    ForgetWindow();
}

void
OrderLedger::Impl::EndLate(Now aNow)
{
  std::vector<RequestId> late;
  for (const auto& [deadline, id] : deadlines) {
    if (deadline > aNow.monotonic)
      break;
    // The carrier ends with OnFinished.
    if (!carriers.contains(id))
      late.push_back(id);
  }
  for (const RequestId id : late) {
    const Copy copy = copies.at(id);
    const auto order = orders.find(copy.order);
    const bool only = !copy.forwarded && order != orders.end() &&
                      order->second.state == State::Claiming &&
                      order->second.active->copies.size() == 1;
    const Outcome outcome = only ? RefusalOutcome(copy.head) : Outcome::Unknown;
    End(aNow, id, MakeReply(outcome, copy.ReasonOr(Reason::DeadlineExceeded)));
  }
}

OrderLedger::OrderLedger(OrderLedgerOptions aOptions, OrderLedgerHooks aHooks)
  : impl_(std::make_unique<Impl>())
{
  assert(aHooks.requestClaim && aHooks.proceed && aHooks.withdraw && aHooks.forwardToClaimer &&
         aHooks.reply && aHooks.forgetAnswer && aHooks.isAlive && "hook missing");
  impl_->options = std::move(aOptions);
  impl_->hooks = std::move(aHooks);
}

OrderLedger::~OrderLedger() = default;

bool
OrderLedger::Knows(const RequestHead& aHead) const
{
  const auto known = impl_->orders.find(impl_->HashOf(aHead));
  return known != impl_->orders.end() && !IsOpen(known->second);
}

void
OrderLedger::OnCopy(Now aNow, const RequestHead& aHead)
{
  const Hash128 hash = impl_->HashOf(aHead);
  const auto known = impl_->orders.find(hash);
  if (known != impl_->orders.end()) {
    impl_->OnKnownCopy(aNow, hash, known->second, aHead);
    return;
  }
  const auto bound = ParseBoundKey(aHead.order->key);
  if (bound && *bound != impl_->options.self) {
    impl_->OnBoundElsewhere(aNow, aHead, *bound);
    return;
  }
  if (impl_->MayBeForgotten(aHead)) {
    impl_->hooks.reply(aNow, aHead.id, MakeReply(RefusalOutcome(aHead), Reason::KeyExpired));
    return;
  }
  Order& order = impl_->AddOrder(hash, aHead, bound ? State::Ready : State::Claiming);
  impl_->Attach(hash, order, aHead);
  if (bound)
    impl_->Proceed(aNow, hash);
  else
    impl_->StartClaim(aNow, hash, ClaimState::Claimed);
}

void
OrderLedger::Reject(Now aNow,
                    const RequestHead& aHead,
                    Reason aReason,
                    std::optional<Duration> aRetryAfter)
{
  const Hash128 hash = impl_->HashOf(aHead);
  const auto known = impl_->orders.find(hash);
  if (known != impl_->orders.end()) {
    impl_->RejectKnown(aNow, hash, known->second, aHead, { aReason, aRetryAfter });
    return;
  }
  const auto bound = ParseBoundKey(aHead.order->key);
  const bool mine = bound && *bound == impl_->options.self;
  const bool forgotten = impl_->MayBeForgotten(aHead);
  if (aHead.firstCopy || (bound && !mine) || forgotten) {
    impl_->hooks.reply(aNow, aHead.id, MakeReply(RefusalOutcome(aHead), aReason, aRetryAfter));
    return;
  }
  if (mine) {
    impl_->AddOrder(hash, aHead, State::Ready);
    impl_->Settle(hash, State::Closed, aReason);
    impl_->hooks.reply(aNow, aHead.id, MakeReply(Outcome::NotRun, aReason, aRetryAfter));
    return;
  }
  if (impl_->refusalsInFlight >= impl_->options.maxRefusalsInFlight) {
    impl_->hooks.reply(aNow, aHead.id, MakeReply(Outcome::Unknown, aReason, aRetryAfter));
    return;
  }
  Order& order = impl_->AddOrder(hash, aHead, State::Claiming);
  impl_->Attach(hash, order, aHead);
  impl_->copies.at(aHead.id).refusal = Refusal{ aReason, aRetryAfter };
  ++impl_->refusalsInFlight;
  order.active->refusing = true;
  impl_->StartClaim(aNow, hash, ClaimState::Refused);
}

void
OrderLedger::OnCopyGone(Now aNow, RequestId aId)
{
  const auto found = impl_->copies.find(aId);
  if (found == impl_->copies.end())
    return;
  const Hash128 hash = found->second.order;
  const bool forwarded = found->second.forwarded;
  impl_->Detach(aId);
  const auto order = impl_->orders.find(hash);
  if (forwarded || order == impl_->orders.end() || order->second.state != State::Ready)
    return;
  const auto carrier = order->second.active->carrier;
  if (!carrier || !order->second.active->copies.empty())
    return;
  if (!impl_->hooks.withdraw(aNow, *carrier))
    return;
  impl_->carriers.erase(*carrier);
  order->second.active->carrier.reset();
}

bool
OrderLedger::BeginDispatch(Now aNow, RequestId aCarrier)
{
  const auto carrier = impl_->carriers.find(aCarrier);
  if (carrier == impl_->carriers.end())
    return false;
  const Hash128 hash = carrier->second;
  Order& order = impl_->orders.at(hash);
  if (order.state != State::Ready)
    return false;
  // After a long pause of the process, the claim may be gone from the store.
  const WallTime oldest = aNow.wall - kOrderRetention;
  if (order.window < (oldest.time_since_epoch().count() > 0 ? ClaimWindowOf(oldest) : 0)) {
    impl_->carriers.erase(carrier);
    const auto ids = impl_->TakeCopies(order);
    impl_->Settle(hash, State::Unknown, Reason::KeyExpired);
    impl_->EndAll(aNow, ids, MakeReply(Outcome::Unknown, Reason::KeyExpired));
    return false;
  }
  order.state = State::Dispatched;
  return true;
}

void
OrderLedger::OnDispatchUndone(Now /*aNow*/, RequestId aCarrier)
{
  const auto carrier = impl_->carriers.find(aCarrier);
  if (carrier == impl_->carriers.end())
    return;
  Order& order = impl_->orders.at(carrier->second);
  assert(order.state == State::Dispatched && "dispatch undone that never began");
  order.state = State::Ready;
}

void
OrderLedger::OnFinished(Now aNow, RequestId aCarrier, const Reply& aReply, uint64_t aAnswerBytes)
{
  const auto carrier = impl_->carriers.find(aCarrier);
  if (carrier == impl_->carriers.end())
    return;
  const Hash128 hash = carrier->second;
  impl_->carriers.erase(carrier);
  Order& order = impl_->orders.at(hash);
  order.active->carrier.reset();
  if (aReply.outcome == Outcome::Answered) {
    assert(order.state == State::Dispatched && "answer without dispatch");
    impl_->FinishAnswered(aNow, hash, aCarrier, aReply, aAnswerBytes);
    return;
  }
  if (aReply.outcome == Outcome::NotRun) {
    impl_->FinishNotRun(aNow, hash, aReply, impl_->copies.contains(aCarrier));
    return;
  }
  const auto ids = impl_->TakeCopies(order);
  impl_->Settle(hash, State::Unknown, aReply.reason);
  impl_->EndAll(aNow, ids, MakeReply(Outcome::Unknown, aReply.reason));
}

void
OrderLedger::OnForwardEnded(Now aNow, RequestId aId, const Reply& aReply)
{
  const auto found = impl_->copies.find(aId);
  if (found != impl_->copies.end() && found->second.forwarded)
    impl_->End(aNow, aId, aReply);
}

void
OrderLedger::OnClaimDecided(Now aNow, ClaimTicket aTicket, const ClaimVerdict& aVerdict)
{
  const auto ticket = impl_->tickets.find(aTicket);
  if (ticket == impl_->tickets.end())
    return;
  const Hash128 hash = ticket->second;
  impl_->tickets.erase(ticket);
  Order& order = impl_->orders.at(hash);
  assert(order.state == State::Claiming && "claim decided twice");
  if (std::exchange(order.active->refusing, false))
    --impl_->refusalsInFlight;
  if (!aVerdict.storeAnswered)
    impl_->OnUndecided(aNow, hash);
  else if (aVerdict.inForce.state == ClaimState::Refused)
    impl_->OnRefused(aNow, hash);
  else if (aVerdict.inForce.claimer == impl_->options.self)
    impl_->OnMine(aNow, hash);
  else
    impl_->OnElsewhere(aNow, hash, aVerdict.inForce.claimer);
}

void
OrderLedger::OnTick(Now aNow)
{
  impl_->EndLate(aNow);
  impl_->ForgetOld(aNow);
}

bool
OrderLedger::Owns(RequestId aId) const
{
  return impl_->copies.contains(aId) || impl_->carriers.contains(aId);
}

size_t
OrderLedger::OrderCount() const
{
  return impl_->orders.size();
}

size_t
OrderLedger::AnswerCount() const
{
  return impl_->answers.size();
}

} // namespace dfm
