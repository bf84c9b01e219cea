#ifndef DRAGONFLYMOOR_ORDERS_ORDERLEDGER_H
#define DRAGONFLYMOOR_ORDERS_ORDERLEDGER_H

#include "dragonflymoor/Model/Request.h"
#include "dragonflymoor/Orders/ClaimStore.h"
#include "dragonflymoor/Orders/Key.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace dfm {

struct OrderLedgerOptions
{
  VmInstance self;
  /// Orders kept in memory, about 150 bytes each. When there are more, the oldest are forgotten and
  /// keys as old as these are answered as unknown.
  size_t maxOrders = 400'000;
  size_t maxAnswers = 20'000;                 ///< Answers kept for repeats.
  uint64_t maxAnswerBytes = 32 * 1024 * 1024; ///< Bytes of the answers kept for repeats.
  size_t maxRefusalsInFlight = 2'000;         ///< Refused claims that wait for the store.
};

struct OrderLedgerHooks
{
  /// Asks the ClaimRouter for a claim; OnClaimDecided follows, perhaps before this returns.
  std::function<void(Now, ClaimTicket, uint64_t aWindow, const Claim&)> requestClaim;
  /// The order may go to a pool now, as this request (the carrier): queue it here, or pass it to
  /// the pool's owner with head.claimer set to this run. BeginDispatch is asked right before that.
  std::function<void(Now, RequestId)> proceed;
  /// Takes the carrier out of the queue: every copy is gone. A carrier that cannot be taken out
  /// continues; else nothing more is reported for it.
  std::function<bool(Now, RequestId)> withdraw;
  /// Passes a copy to the claimer with head.claimer set to it; OnForwardEnded follows.
  std::function<void(Now, RequestId, const VmInstance&)> forwardToClaimer;
  /// Ends a copy. It is also called for a carrier with outcome Answered whose caller is gone, so
  /// that the answer is kept for repeats under this number. Outcome Answered with source None and
  /// reason KeyExpired states that the order ran and that its answer is not kept any more.
  std::function<void(Now, RequestId, const Reply&)> reply;
  /// The answer kept under this number is not repeated any more.
  std::function<void(RequestId)> forgetAnswer;
  /// Whether membership holds exactly this run of a VM for alive.
  std::function<bool(const VmInstance&)> isAlive;
};

/// The memory of one VM's run about orders: which it claimed, passed on or finished, and what may
/// be said about each copy. It never lets an order go to a pool twice, and says not-run only when
/// no copy that was sent before can still run. Not thread-safe.
class OrderLedger
{
public:
  /// Precondition: every hook is set.
  OrderLedger(OrderLedgerOptions aOptions, OrderLedgerHooks aHooks);
  ~OrderLedger();
  OrderLedger(const OrderLedger&) = delete;
  OrderLedger& operator=(const OrderLedger&) = delete;

  /// Whether a copy would join a running order or get a kept outcome, so that it costs no new run
  /// and plan limits need not be applied. Precondition: aHead.order is set.
  bool Knows(const RequestHead& aHead) const;

  /// A copy arrived in the role Entry or Claimer. Exactly one reply follows, unless it is reported
  /// as gone before. Precondition: aHead.order is set.
  void OnCopy(Now aNow, const RequestHead& aHead);

  /// Refuses a copy instead of OnCopy (plan limit, not ready). The reply says not-run when that is
  /// certain; for a free key whose caller may have sent other copies a refused claim is written
  /// first, so the reply may come later. Precondition: aHead.order is set.
  void Reject(Now aNow,
              const RequestHead& aHead,
              Reason aReason,
              std::optional<Duration> aRetryAfter = std::nullopt);

  /// The caller (or peer) of a copy is gone. An order that was passed on runs to its end.
  void OnCopyGone(Now aNow, RequestId aId);

  /// Must be asked right before the first byte of the carrier goes to a backend server or a pool
  /// owner; when false, nothing may be sent and OnFinished need not be called.
  [[nodiscard]] bool BeginDispatch(Now aNow, RequestId aCarrier);

  /// The attempt or forward certainly ran nothing (connect failed, shed, not owner), and the
  /// carrier will be tried elsewhere: BeginDispatch must be asked again.
  void OnDispatchUndone(Now aNow, RequestId aCarrier);

  /// The carrier has ended: Answered, Unknown, or NotRun when it was never sent or certainly ran
  /// nothing. aAnswerBytes is the size of the answer.
  void OnFinished(Now aNow, RequestId aCarrier, const Reply& aReply, uint64_t aAnswerBytes = 0);

  /// End of forwardToClaimer: the claimer's own statement. Failures to reach it are Unknown.
  void OnForwardEnded(Now aNow, RequestId aId, const Reply& aReply);

  void OnClaimDecided(Now aNow, ClaimTicket aTicket, const ClaimVerdict& aVerdict);

  /// Ends copies whose deadline has passed and forgets old orders. Must be called every 20 ms or
  /// so.
  void OnTick(Now aNow);

  /// Whether a request is a carrier or a copy that the ledger has not yet ended.
  bool Owns(RequestId aId) const;
  size_t OrderCount() const;
  size_t AnswerCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace dfm

#endif
