#include "dragonflymoor/Gateway/FleetSync.h"
#include "dragonflymoor/Gateway/Tasks.h"
#include "dragonflymoor/Net/Clock.h"
#include "dragonflymoor/Net/Listen.h"
#include "dragonflymoor/Support/Log.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <limits>

namespace dfm {

namespace {

constexpr std::string_view kComponent = "fleet";

constexpr Duration kPeerConnectTimeout = 500ms;

/// Wait before this VM asks another VM in place of one that named it or did not answer.
constexpr Duration kRedirectWait = 10ms;

/// Wait between the answers of two VMs that are asked one after the other.
constexpr Duration kNextPeerWait = 10ms;

/// Objects of less than this are sent as they are.
constexpr size_t kMinPackedBytes = 4096;

/// Wait after a failed accept, so that a lasting error causes no busy loop.
constexpr Duration kAcceptPause = 100ms;

} // namespace

asio::awaitable<void>
FleetSync::PollPeers()
{
  for (;;) {
    const TimePoint now = ReadClocks().monotonic;
    const auto peers = storeFollowing_.PeersToAsk(now, registeredVms_, keeper_.HasLapsedEntries());
    bool askAgain = false;
    if (!peers.empty())
      askAgain = co_await RequestState(peers[random_.Below(peers.size())]);
    co_await Sleep(askAgain ? kRedirectWait : kPeerPollPeriod);
  }
}

asio::awaitable<void>
FleetSync::PollEarlierState()
{
  bool answered = false;
  for (;;) {
    co_await Sleep(answered ? kNextPeerWait : kPeerPollPeriod);
    answered = false;
    if (!membershipStarted_ || !keeper_.Epoch())
      continue;
    std::vector<MemberUpdate> others = membership_->LiveMembers();
    std::erase_if(
      others, [this](const MemberUpdate& aMember) { return aMember.vm.id == options_.self.id; });
    std::vector<Vm> vms =
      earlierStateSearch_.NextVms(ReadClocks().monotonic, *keeper_.Epoch(), others);
    if (!vms.empty())
      answered = co_await RequestEarlierState(std::move(vms[random_.Below(vms.size())]));
  }
}

asio::awaitable<bool>
FleetSync::RequestEarlierState(Vm aVm)
{
  StateRequest request{ .manifestVersion = keeper_.ManifestVersion(), .wantsEarlierState = true };
  const uint64_t epoch = keeper_.Epoch().value_or(0);
  request.revisions.fill({ .epoch = epoch, .number = std::numeric_limits<uint64_t>::max() });
  StateClient client(context_);
  const auto envelope = co_await client.Request(aVm.peers, EncodePeer(options_.self.id, request));
  if (!envelope) {
    metrics_.Count("earlier-state-requests-failed", Reason::PeerUnreachable);
    co_return false;
  }
  const auto& reply = std::get<StateReply>(envelope->message);
  // A VM that does not know the store yet may still learn from others.
  if (!reply.epoch)
    co_return false;
  earlierStateSearch_.OnAnswer(epoch, aVm);
  keeper_.OnStoreEpoch(ReadClocks().monotonic, *reply.epoch);
  OnEarlierState(aVm.id, reply.earlier);
  co_return true;
}

void
FleetSync::OnEarlierState(const VmId& aFrom, const EarlierState& aState)
{
  if (aState == EarlierState{})
    return;
  keeper_.OnEarlierState(ReadClocks().monotonic, aState);
  viewChanged_ = true;
  Log(LogLevel::Info,
      kComponent,
      "earlier state from another vm",
      { { "vm", aFrom.Value() },
        { "manifest", aState.manifest ? "1" : "0" },
        { "departures", std::to_string(aState.departures.size()) },
        { "evacuations", std::to_string(aState.evacuations.size()) } });
}

asio::awaitable<void>
FleetSync::SendToPeer(Endpoint aPeer, std::string aPayload)
{
  auto socket = co_await ConnectToPeer(context_, aPeer, kPeerConnectTimeout);
  if (!socket) {
    metrics_.Count("peer-messages-unsent", Reason::PeerUnreachable);
    co_return;
  }
  const auto connection = std::make_shared<FrameConnection>(
    std::move(*socket),
    FrameConnection::Hooks{
      .payload = [](const std::string&) { return tl::expected<void, CodecError>(); },
      .closed = [](const std::string&) {},
    });
  connection->Start();
  const std::weak_ptr<FrameConnection> weak = connection;
  connection->Send({ .payload = std::move(aPayload), .done = [weak] {
                      if (const auto sent = weak.lock())
                        sent->Close();
                    } });
}

asio::awaitable<bool>
FleetSync::RequestState(Endpoint aPeer)
{
  StateRequest request;
  // Delegates do not tell whether the store is steady.
  if (!keeper_.HasLapsedEntries() && storeFollowing_.MayBeRedirected(ReadClocks().monotonic)) {
    request.domain = options_.self.failureDomain;
    request.peers = options_.self.peers;
  }
  for (size_t i = 0; i < kObjectKindCount; ++i)
    request.revisions[i] = keeper_.Snapshot(static_cast<ObjectKind>(i)).revision;
  request.manifestVersion = keeper_.ManifestVersion();
  // Until it knows the other VMs, it can only ask those that it follows.
  request.wantsEarlierState = !membershipStarted_;
  const TimePoint askedAt = ReadClocks().monotonic;
  const auto envelope = co_await stateClient_.Request(aPeer, EncodePeer(options_.self.id, request));
  const Duration elapsed = ReadClocks().monotonic - askedAt;
  if (!envelope) {
    metrics_.Count("peer-state-requests-failed", Reason::PeerUnreachable);
    Log(LogLevel::Info,
        kComponent,
        "state request failed",
        { { "peer", ToText(aPeer) }, { "after_ms", std::to_string(elapsed / 1ms) } });
    storeFollowing_.OnPeerRequestFailed(ReadClocks().monotonic, aPeer);
    // A refused connection took no time.
    co_return elapsed >= kPeerPollPeriod;
  }
  const auto& reply = std::get<StateReply>(envelope->message);
  OnStateReply(aPeer, envelope->sender, request, reply, elapsed);
  co_return !reply.delegates.empty() || storeFollowing_.MustAskAnotherPeer();
}

asio::awaitable<void>
FleetSync::AcceptPeers()
{
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(kAwaitTuple);
    if (error == asio::error::operation_aborted)
      co_return;
    if (error) {
      Log(LogLevel::Warning, kComponent, "accept failed", { { "error", error.message() } });
      co_await Sleep(kAcceptPause);
      continue;
    }
    // The connection's hooks hold a reference to the connection until it closes.
    const auto connectionHolder = std::make_shared<std::shared_ptr<FrameConnection>>();
    *connectionHolder = std::make_shared<FrameConnection>(
      std::move(socket),
      FrameConnection::Hooks{
        .payload =
          [this, connectionHolder](const std::string& aPayload) {
            const auto connection = *connectionHolder;
            return OnPeerPayload(aPayload, connection);
          },
        .closed = [connectionHolder](const std::string&) { connectionHolder->reset(); },
      });
    (*connectionHolder)->Start();
  }
}

tl::expected<void, CodecError>
FleetSync::OnPeerPayload(std::string_view aPayload,
                         const std::shared_ptr<FrameConnection>& aConnection)
{
  const auto envelope = DecodePeer(aPayload);
  if (!envelope)
    return tl::unexpected(envelope.error());
  if (const auto* request = std::get_if<StateRequest>(&envelope->message)) {
    if (aConnection != nullptr)
      aConnection->Send({ .payload = EncodePeer(options_.self.id, MakeStateReply(*request)) });
    return {};
  }
  if (const auto* list = std::get_if<PeerMemberSync>(&envelope->message)) {
    if (membershipStarted_)
      membership_->OnSync(ReadClocks(), envelope->sender, list->sync);
    return {};
  }
  return tl::unexpected(CodecError{ "message: not for this connection" });
}

const std::string&
FleetSync::PackedSnapshot(ObjectKind aKind)
{
  const uint64_t changeCount = keeper_.ChangeCount(aKind);
  PackedState& packed = packedSnapshots_[static_cast<size_t>(aKind)];
  if (packed.bytes.empty() || packed.changeCount != changeCount)
    packed = { .changeCount = changeCount, .bytes = PackObjects(keeper_.Snapshot(aKind).objects) };
  return packed.bytes;
}

void
FleetSync::PackChanges(StateReply::Kind& aAnswer)
{
  size_t bytes = 0;
  std::vector<std::string> names;
  for (const auto& [name, content] : aAnswer.set.objects) {
    bytes += content.size();
    names.push_back(name);
  }
  if (bytes < kMinPackedBytes)
    return;
  const uint64_t changeCount = keeper_.ChangeCount(aAnswer.kind);
  PackedState& packed = packedChanges_[static_cast<size_t>(aAnswer.kind)];
  if (packed.changeCount != changeCount || packed.names != names)
    packed = { .changeCount = changeCount,
               .names = std::move(names),
               .bytes = PackObjects(aAnswer.set.objects) };
  aAnswer.packed = packed.bytes;
}

void
FleetSync::PackNamesOf(StateReply::Kind& aAnswer)
{
  if (!aAnswer.names)
    return;
  const uint64_t changeCount = keeper_.ChangeCount(aAnswer.kind);
  PackedState& packed = packedNames_[static_cast<size_t>(aAnswer.kind)];
  if (packed.bytes.empty() || packed.changeCount != changeCount)
    packed = { .changeCount = changeCount, .bytes = PackNames(*aAnswer.names) };
  aAnswer.packedNames = packed.bytes;
}

StateReply
FleetSync::MakeStateReply(const StateRequest& aRequest)
{
  const TimePoint now = ReadClocks().monotonic;
  const auto answerAge = storeFollowing_.StoreAnswerAge(now);
  const bool steady = storeFollowing_.IsServedByFollower(now) ? keeper_.IsStoreSteadyAtPeer(now)
                                                              : keeper_.HasSteadyState(now);
  StateReply reply{ .storeSteady = answerAge && steady && !storeFollowing_.IsStateStale(now),
                    .storeReachable = answerAge.has_value(),
                    .answerAge = answerAge.value_or(Duration{}),
                    .epoch = keeper_.Epoch() };
  // The delegates of a VM that has lost the store rely on it, or on those that ask it now.
  if (answerAge && !aRequest.domain.Empty())
    reply.delegates = delegation_.DelegatesFor(now, aRequest.domain, aRequest.peers);
  if (!reply.delegates.empty())
    return reply;
  if (aRequest.wantsEarlierState)
    reply.earlier = keeper_.MakeEarlierState(
      now,
      std::max_element(aRequest.revisions.begin(), aRequest.revisions.end())->epoch,
      aRequest.manifestVersion);
  for (size_t i = 0; i < kObjectKindCount; ++i) {
    const auto kind = static_cast<ObjectKind>(i);
    const ObjectSet& set = keeper_.Snapshot(kind);
    if (set.revision <= aRequest.revisions[i])
      continue;
    auto changes = keeper_.ChangesSince(kind, aRequest.revisions[i]);
    if (!changes) {
      reply.kinds.push_back(
        { .kind = kind, .set = { .revision = set.revision }, .packed = PackedSnapshot(kind) });
      continue;
    }
    StateReply::Kind answer{ .kind = kind, .set = { .revision = set.revision }, .complete = false };
    for (const ObjectChange& change : changes->changes) {
      if (change.content)
        answer.set.objects[change.name] = *change.content;
      else
        answer.removed.push_back(change.name);
    }
    PackChanges(answer);
    answer.names = std::move(changes->names);
    PackNamesOf(answer);
    reply.kinds.push_back(std::move(answer));
  }
  return reply;
}

void
FleetSync::OnStateReply(const Endpoint& aPeer,
                        const VmId& aFrom,
                        const StateRequest& aRequest,
                        const StateReply& aReply,
                        Duration aElapsed)
{
  const TimePoint now = ReadClocks().monotonic;
  if (!aReply.delegates.empty()) {
    storeFollowing_.OnDelegates(now, aReply.delegates);
    return;
  }
  if (aReply.epoch)
    keeper_.OnStoreEpoch(now, *aReply.epoch);
  // A VM that has not noticed the return of the store is not answered by it.
  const bool isCurrent = aReply.epoch.value_or(0) >= keeper_.Epoch().value_or(0);
  const bool storeReachable = aReply.storeReachable && isCurrent;
  if (isCurrent)
    keeper_.OnPeerStoreStatus(now, aReply.storeSteady);
  if (storeReachable)
    keeper_.OnStoreAnswer(now - aReply.answerAge);
  if (storeFollowing_.OnPeerAnswer(
        now, aPeer, storeReachable ? std::optional(aReply.answerAge) : std::nullopt))
    ReportStoreReachable("store reached through another vm");
  if (storeFollowing_.IsServedByFollower(now))
    ReportStateSource(aFrom.Value());
  for (const StateReply::Kind& kind : aReply.kinds) {
    if (kind.complete) {
      keeper_.OnSnapshot(now, kind.kind, kind.set);
      viewChanged_ = true;
    } else {
      ObjectChanges changes{ .since = aRequest.revisions[static_cast<size_t>(kind.kind)],
                             .revision = kind.set.revision,
                             .names = kind.names };
      for (const auto& [name, content] : kind.set.objects)
        changes.changes.push_back({ .name = name, .content = content });
      for (const std::string& name : kind.removed)
        changes.changes.push_back({ .name = name });
      keeper_.OnChanges(now, kind.kind, changes);
      viewChanged_ = viewChanged_ || !changes.changes.empty() || changes.names;
    }
    ReportRevision(kind.kind);
    // The revision alone moves with each change in the store, whatever its kind.
    const bool hasChanges = kind.complete || !kind.set.objects.empty() || !kind.removed.empty();
    Log(kind.kind == ObjectKind::Manifest && hasChanges ? LogLevel::Info : LogLevel::Debug,
        kComponent,
        "state from another vm",
        { { "vm", aFrom.Value() },
          { "kind", std::string(ToString(kind.kind)) },
          { "revision", ToText(kind.set.revision) },
          { "whole", kind.complete ? "1" : "0" },
          { "elapsed_ms", std::to_string(aElapsed / 1ms) },
          { "store_answer_age_ms", std::to_string(aReply.answerAge / 1ms) } });
  }
  OnEarlierState(aFrom, aReply.earlier);
}

} // namespace dfm
