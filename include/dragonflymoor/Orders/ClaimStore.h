#ifndef DRAGONFLYMOOR_ORDERS_CLAIMSTORE_H
#define DRAGONFLYMOOR_ORDERS_CLAIMSTORE_H

#include "dragonflymoor/Engine/Engine.h"
#include "dragonflymoor/Orders/ClaimText.h"
#include "dragonflymoor/Orders/Key.h"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dfm {

/// Number of a claim that waits for the store, given by the caller of ClaimStore::Submit.
using ClaimTicket = NumericId<struct ClaimTicketTag>;

/// What is known of a claim after the store was asked.
struct ClaimVerdict
{
  bool storeAnswered = false;
  Claim inForce; ///< Valid when storeAnswered.

  auto operator<=>(const ClaimVerdict&) const = default;
};

struct ClaimStoreOptions
{
  Duration writeInterval = 50ms; ///< At most one put for each object in this time.
  /// Puts of this VM for all objects together. Callers choose the creation time and thereby the
  /// object; without this bound, one that spreads it would make one put for each order.
  double putsPerSecond = 125;
  double putBurst = 16;
  Duration submitTimeout = 1500ms; ///< After this time a claim is reported as not answered.
  Duration callTimeout = 1s;       ///< A call without result for this time counts as unanswered.
  Duration retryDelay = 50ms;      ///< Pause after an unanswered call; doubles up to the maximum.
  Duration maxRetryDelay = 1s;
  /// Pause between two deletions of old objects. The fleet as a whole needs 0.8 deletions a second.
  Duration deleteInterval = 500ms;
  /// How far before the end of the grace time the deletion starts on a new VM; objects that nobody
  /// deleted for longer stay in the store.
  Duration deleteBacklog = 2h;
  Duration keepUnused = 5min; ///< Objects without new claims for this time leave the memory.
  size_t maxObjectBytes = kMaxClaimObjectBytes;
};

struct ClaimStoreHooks
{
  /// Starts a store call and returns the number under which its result will be reported. The id in
  /// the argument is not set. Must not call the ClaimStore before it returns.
  std::function<StoreCallId(const StoreCall&)> callStore;
  /// Reports a submitted claim, exactly once. May be called from within Submit.
  std::function<void(Now, ClaimTicket, const ClaimVerdict&)> decided;
  /// Whether this VM deletes the old windows of a shard.
  std::function<bool(uint32_t aShard)> deletesShard;
  /// Counts an event: "claim-puts", "claim-gets", "claim-conflicts", "claim-unanswered",
  /// "claim-object-full", "claim-object-invalid", "claim-deletes".
  std::function<void(std::string_view)> count;
};

/// Writes claims to the store: batches them for each object into one conditional put at a time,
/// merges on conflicts and reads back after a lost answer. A claim that an object holds never
/// changes until the object is deleted, which makes every report final. Not thread-safe.
class ClaimStore
{
public:
  /// Precondition: every hook is set.
  ClaimStore(ClaimStoreOptions aOptions, ClaimStoreHooks aHooks);

  /// Asks for a claim; the report tells which claim is in force for the key, and may name another
  /// claimer. Without certain knowledge within submitTimeout the report says storeAnswered = false;
  /// the claim may then still reach the store.
  void Submit(Now aNow, ClaimTicket aTicket, uint64_t aWindow, const Claim& aClaim);

  /// Takes the result of a store call; false when the call is none of this object's. A result that
  /// comes after callTimeout is ignored.
  bool OnStoreResult(Now aNow, StoreCallId aCall, const StoreResult& aResult);

  /// Must be called at least every 50 ms.
  void OnTick(Now aNow);

  /// Objects held in memory.
  size_t ObjectCount() const { return objects_.size(); }

private:
  struct Pending
  {
    ClaimTicket ticket;
    Claim claim;
    TimePoint deadline;
  };
  using ObjectKey = std::pair<uint64_t, uint32_t>; ///< Window and shard.
  struct Object
  {
    ObjectKey key;
    std::string name;
    uint64_t version = 0;
    bool versionKnown = false; ///< False at first, after conflicts and after lost answers.
    ClaimMap known;            ///< What the store surely holds.
    ClaimMap written;          ///< Content of the put in flight.
    std::vector<Pending> pending;
    std::optional<StoreCallId> call;
    StoreCall::Kind callKind = StoreCall::Kind::Get;
    TimePoint callDeadline;
    TimePoint nextPut;
    TimePoint nextCall;
    TimePoint lastUse;
    Duration retryDelay{};
  };

  void PumpAll(Now aNow);
  void Pump(Now aNow, Object& aObject);
  void StartCall(Now aNow, Object& aObject, const StoreCall& aCall);
  void StartGet(Now aNow, Object& aObject);
  void StartPut(Now aNow, Object& aObject);
  void OnGetResult(Now aNow, Object& aObject, const StoreResult& aResult);
  void OnPutResult(Now aNow, Object& aObject, const StoreResult& aResult);
  void OnNoAnswer(Now aNow, Object& aObject);
  void DecideKnown(Now aNow, Object& aObject);
  void FailExpired(Now aNow, Object& aObject);
  static std::vector<ClaimTicket> TakeWhere(Object& aObject,
                                            const std::function<bool(const Pending&)>& aPredicate);
  void Fail(Now aNow, const std::vector<ClaimTicket>& aTickets);
  void DropOldObjects(Now aNow);
  void DeleteOldWindows(Now aNow);

  ClaimStoreOptions options_;
  ClaimStoreHooks hooks_;
  std::map<ObjectKey, Object> objects_;
  std::map<StoreCallId, ObjectKey> calls_;
  std::map<uint32_t, uint64_t> nextDeletion_; ///< By shard: the oldest window not yet deleted.
  ObjectKey nextPump_;  ///< Object that is served first, so that all get their turn.
  double putsLeft_ = 0; ///< Puts that may start now.
  TimePoint putsCountedAt_;
  uint32_t nextDeleteShard_ = 0;
  std::set<StoreCallId> deletions_; ///< Calls whose result does not matter.
  TimePoint nextDeleteAt_;
};

} // namespace dfm

#endif
