#include "dragonflymoor/Orders/ClaimStore.h"

#include <algorithm>
#include <cassert>
#include <optional>

namespace dfm {

namespace {

/// Last window that ended at least aAge ago; empty at the start of time.
std::optional<uint64_t>
LastWindowOlderThan(WallTime aNow, Duration aAge)
{
  const WallTime end =
    aNow - std::chrono::duration_cast<std::chrono::milliseconds>(aAge) - kClaimWindow;
  if (end.time_since_epoch().count() < 0)
    return std::nullopt;
  return ClaimWindowOf(end);
}

/// Last window that may be deleted.
std::optional<uint64_t>
LastOldWindow(WallTime aNow)
{
  return LastWindowOlderThan(aNow, kOrderRetention + kClaimGrace);
}

StoreCall
MakeCall(StoreCall::Kind aKind, std::string aObject)
{
  StoreCall call;
  call.kind = aKind;
  call.object = std::move(aObject);
  return call;
}

} // namespace

ClaimStore::ClaimStore(ClaimStoreOptions aOptions, ClaimStoreHooks aHooks)
  : options_(aOptions)
  , hooks_(std::move(aHooks))
  , putsLeft_(aOptions.putBurst)
{
  assert(hooks_.callStore && hooks_.decided && hooks_.deletesShard && hooks_.count &&
         "hook missing");
}

void
ClaimStore::Submit(Now aNow, ClaimTicket aTicket, uint64_t aWindow, const Claim& aClaim)
{
  // Another VM whose clock is ahead may already have deleted the object, and an empty one says
  // nothing about the key. Half of the grace time covers the difference of the clocks.
  const auto refused = LastWindowOlderThan(aNow.wall, kOrderRetention + kClaimGrace / 2);
  if (refused && aWindow <= *refused) {
    hooks_.decided(aNow, aTicket, ClaimVerdict{});
    return;
  }
  const ObjectKey key{ aWindow, ClaimShardOf(aClaim.key) };
  Object& object = objects_[key];
  if (object.name.empty()) {
    object.key = key;
    object.name = ClaimObjectName(key.first, key.second);
    object.retryDelay = options_.retryDelay;
  }
  object.lastUse = aNow.monotonic;
  object.pending.push_back(
    { .ticket = aTicket, .claim = aClaim, .deadline = aNow.monotonic + options_.submitTimeout });
  DecideKnown(aNow, object);
  Pump(aNow, object);
}

bool
ClaimStore::OnStoreResult(Now aNow, StoreCallId aCall, const StoreResult& aResult)
{
  if (deletions_.erase(aCall) > 0)
    return true;
  const auto call = calls_.find(aCall);
  if (call == calls_.end())
    return false;
  Object& object = objects_.at(call->second);
  calls_.erase(call);
  // The process may have been paused since the last tick: expired claims must not be reported.
  FailExpired(aNow, object);
  object.call.reset();
  if (aResult.status == StoreStatus::NoAnswer)
    OnNoAnswer(aNow, object);
  else if (object.callKind == StoreCall::Kind::Put)
    OnPutResult(aNow, object, aResult);
  else
    OnGetResult(aNow, object, aResult);
  Pump(aNow, object);
  return true;
}

void
ClaimStore::OnTick(Now aNow)
{
  for (auto& [key, object] : objects_) {
    FailExpired(aNow, object);
    if (object.call && aNow.monotonic >= object.callDeadline) {
      calls_.erase(*object.call);
      object.call.reset();
      OnNoAnswer(aNow, object);
    }
  }
  PumpAll(aNow);
  DropOldObjects(aNow);
  DeleteOldWindows(aNow);
}

void
ClaimStore::PumpAll(Now aNow)
{
  const ObjectKey start = nextPump_;
  for (auto it = objects_.lower_bound(start); it != objects_.end(); ++it)
    Pump(aNow, it->second);
  for (auto it = objects_.begin(); it != objects_.end() && it->first < start; ++it)
    Pump(aNow, it->second);
}

void
ClaimStore::Pump(Now aNow, Object& aObject)
{
  if (aObject.call || aObject.pending.empty() || aNow.monotonic < aObject.nextCall)
    return;
  if (!aObject.versionKnown) {
    StartGet(aNow, aObject);
    return;
  }
  if (aNow.monotonic < aObject.nextPut)
    return;
  const double earned = ToSeconds(aNow.monotonic - putsCountedAt_) * options_.putsPerSecond;
  putsLeft_ = std::min(putsLeft_ + earned, options_.putBurst);
  putsCountedAt_ = aNow.monotonic;
  if (putsLeft_ < 1)
    return;
  putsLeft_ -= 1;
  nextPump_ = { aObject.key.first, aObject.key.second + 1 };
  StartPut(aNow, aObject);
}

void
ClaimStore::StartCall(Now aNow, Object& aObject, const StoreCall& aCall)
{
  aObject.callKind = aCall.kind;
  aObject.callDeadline = aNow.monotonic + options_.callTimeout;
  aObject.call = hooks_.callStore(aCall);
  calls_[*aObject.call] = aObject.key;
}

void
ClaimStore::StartGet(Now aNow, Object& aObject)
{
  hooks_.count("claim-gets");
  StartCall(aNow, aObject, MakeCall(StoreCall::Kind::Get, aObject.name));
}

void
ClaimStore::StartPut(Now aNow, Object& aObject)
{
  aObject.written = aObject.known;
  size_t size = FormatClaims(aObject.known).size();
  for (const Pending& pending : aObject.pending) {
    const size_t added = ClaimTextSize(pending.claim);
    if (size + added > options_.maxObjectBytes)
      continue;
    // The first of several claims for one key wins; the others are told so.
    if (aObject.written.emplace(pending.claim.key, pending.claim).second)
      size += added;
  }
  const auto refused = TakeWhere(aObject, [&](const Pending& aPending) {
    return !aObject.written.contains(aPending.claim.key);
  });
  if (aObject.written.size() > aObject.known.size()) {
    hooks_.count("claim-puts");
    aObject.nextPut = aNow.monotonic + options_.writeInterval;
    StoreCall call = MakeCall(StoreCall::Kind::Put, aObject.name);
    call.expectedVersion = aObject.version;
    call.content = FormatClaims(aObject.written);
    StartCall(aNow, aObject, call);
  }
  if (!refused.empty())
    hooks_.count("claim-object-full");
  Fail(aNow, refused);
}

void
ClaimStore::OnPutResult(Now aNow, Object& aObject, const StoreResult& aResult)
{
  aObject.retryDelay = options_.retryDelay;
  if (aResult.status != StoreStatus::Ok) {
    hooks_.count("claim-conflicts");
    aObject.versionKnown = false;
    return;
  }
  aObject.version = aResult.version;
  aObject.known = std::move(aObject.written);
  aObject.written.clear();
  DecideKnown(aNow, aObject);
}

void
ClaimStore::OnGetResult(Now aNow, Object& aObject, const StoreResult& aResult)
{
  aObject.retryDelay = options_.retryDelay;
  ClaimMap claims;
  if (aResult.status == StoreStatus::Ok) {
    auto parsed = ParseClaims(aObject.name, aResult.content);
    if (!parsed) {
      hooks_.count("claim-object-invalid");
      Fail(aNow, TakeWhere(aObject, [](const Pending&) { return true; }));
      return;
    }
    claims = std::move(*parsed);
  }
  aObject.version = aResult.status == StoreStatus::Ok ? aResult.version : 0;
  aObject.versionKnown = true;
  aObject.known = std::move(claims);
  DecideKnown(aNow, aObject);
}

void
ClaimStore::OnNoAnswer(Now aNow, Object& aObject)
{
  // A put may have taken effect, now or later: only a read tells what the object holds, and only
  // the version it returns keeps a delayed put from succeeding after ours.
  hooks_.count("claim-unanswered");
  aObject.versionKnown = false;
  aObject.nextCall = aNow.monotonic + aObject.retryDelay;
  aObject.retryDelay = std::min(aObject.retryDelay * 2, options_.maxRetryDelay);
}

void
ClaimStore::DecideKnown(Now aNow, Object& aObject)
{
  std::vector<std::pair<ClaimTicket, Claim>> decided;
  std::erase_if(aObject.pending, [&](const Pending& aPending) {
    const auto found = aObject.known.find(aPending.claim.key);
    if (found == aObject.known.end())
      return false;
    decided.emplace_back(aPending.ticket, found->second);
    return true;
  });
  for (const auto& [ticket, claim] : decided)
    hooks_.decided(aNow, ticket, ClaimVerdict{ .storeAnswered = true, .inForce = claim });
}

std::vector<ClaimTicket>
ClaimStore::TakeWhere(Object& aObject, const std::function<bool(const Pending&)>& aPredicate)
{
  std::vector<ClaimTicket> taken;
  std::erase_if(aObject.pending, [&](const Pending& aPending) {
    if (!aPredicate(aPending))
      return false;
    taken.push_back(aPending.ticket);
    return true;
  });
  return taken;
}

void
ClaimStore::Fail(Now aNow, const std::vector<ClaimTicket>& aTickets)
{
  for (const ClaimTicket ticket : aTickets)
    hooks_.decided(aNow, ticket, ClaimVerdict{});
}

void
ClaimStore::FailExpired(Now aNow, Object& aObject)
{
  Fail(aNow, TakeWhere(aObject, [&](const Pending& aPending) {
         return aNow.monotonic >= aPending.deadline;
       }));
}

void
ClaimStore::DropOldObjects(Now aNow)
{
  const auto oldWindow = LastOldWindow(aNow.wall);
  std::erase_if(objects_, [&](const auto& aEntry) {
    const Object& object = aEntry.second;
    const bool old = oldWindow && aEntry.first.first <= *oldWindow;
    // Copies of this object are only useful while claims of its window arrive.
    const bool unused = aNow.monotonic >= object.lastUse + options_.keepUnused;
    return (old || unused) && !object.call && object.pending.empty();
  });
}

void
ClaimStore::DeleteOldWindows(Now aNow)
{
  const auto oldWindow = LastOldWindow(aNow.wall);
  if (!oldWindow || aNow.monotonic < nextDeleteAt_)
    return;
  const auto backlog = static_cast<uint64_t>(options_.deleteBacklog / kClaimWindow);
  const uint64_t first = *oldWindow > backlog ? *oldWindow - backlog : 0;
  for (uint32_t i = 0; i < kClaimShards; ++i) {
    const uint32_t shard = nextDeleteShard_;
    nextDeleteShard_ = (nextDeleteShard_ + 1) % kClaimShards;
    if (!hooks_.deletesShard(shard)) {
      nextDeletion_.erase(shard);
      continue;
    }
    uint64_t& window = nextDeletion_.try_emplace(shard, first).first->second;
    if (window > *oldWindow)
      continue;
    hooks_.count("claim-deletes");
    deletions_.insert(
      hooks_.callStore(MakeCall(StoreCall::Kind::Delete, ClaimObjectName(window, shard))));
    ++window;
    nextDeleteAt_ = aNow.monotonic + options_.deleteInterval;
    return;
  }
}

} // namespace dfm
