#include "dragonflymoor/Gateway/FleetSync.h"

#include "dragonflymoor/Gateway/Tasks.h"
#include "dragonflymoor/Net/Clock.h"
#include "dragonflymoor/Net/Listen.h"
#include "dragonflymoor/Support/Log.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <utility>

namespace dfm {

namespace {

constexpr std::string_view kComponent = "fleet";

/// Wait after the first failed call. Each further failure doubles it.
constexpr Duration kFirstRetryWait = 100ms;

/// Longest wait between two attempts to register this VM. Other VMs need the registration only when
/// membership has lost this VM.
constexpr Duration kMaxRegisterRetryWait = 800ms;

/// Period at which this VM looks whether it has to register again or to list the registered VMs.
constexpr Duration kRegistrationCheckPeriod = 800ms;

/// Period at which the registered VMs are listed. Membership reports changes sooner.
constexpr Duration kListVmsPeriod = 10s;

/// Period of the control thread's timer. Changes of the view within one period are published
/// together, as each publication costs the traffic thread a pass over all instances.
constexpr Duration kTickPeriod = 50ms;

/// Period at which a fleet of up to 32 VMs exchanges lists of the members with a random one; it
/// grows with their number. When hundreds of VMs start together, the updates in probes alone take
/// half a minute to reach all of them.
constexpr Duration kMemberSyncPeriod = 4s;

/// Shortest time between two views that differ only in the members. Hundreds of VMs that start
/// become known one after the other, and each view costs the traffic thread new receivers of load
/// reports.
constexpr Duration kMembersPublishPeriod = 200ms;

/// Period of membership's probes. A VM that does not answer is suspected after one period and
/// declared dead after five more.
constexpr Duration kProbePeriod = 200ms;

FleetKeeperHooks
MakeKeeperHooks(Metrics& aMetrics)
{
  return {
    .manifestChanged =
      [&aMetrics](const Manifest& aManifest) {
        aMetrics.SetGauge("manifest_version", static_cast<double>(aManifest.version));
        Log(LogLevel::Info,
            kComponent,
            "manifest in force",
            { { "version", std::to_string(aManifest.version) },
              { "routes", std::to_string(aManifest.routes.size()) },
              { "services", std::to_string(aManifest.services.size()) },
              { "workspaces", std::to_string(aManifest.workspaces.size()) },
              { "callers_need_keys", aManifest.needsKeys ? "yes" : "no" },
              { "problems", FormatFindings(aManifest.problems) } });
        aMetrics.SetGauge("manifest_problems", static_cast<double>(aManifest.problems.size()));
      },
    .objectRejected =
      [&aMetrics](const Findings& aFindings) {
        aMetrics.Count("objects-rejected");
        std::string text = FormatFindings(aFindings);
        Log(LogLevel::Warning, kComponent, "object rejected", { { "findings", std::move(text) } });
      },
    .instanceChanged =
      [](const Instance& aInstance, std::string_view aChange) {
        Log(LogLevel::Info,
            kComponent,
            "instance changed",
            { { "instance", aInstance.id.Value() },
              { "service", aInstance.service.Value() },
              { "failure_domain", aInstance.failureDomain.Value() },
              { "endpoint", ToText(aInstance.endpoint) },
              { "born_ms", std::to_string(aInstance.startTimeMs) },
              { "change", std::string(aChange) } });
      },
    .stateIgnored =
      [&aMetrics](ObjectKind aKind, const StoreRevision& aReceived, const StoreRevision& aKnown) {
        aMetrics.Count("store-states-ignored");
        Log(LogLevel::Info,
            kComponent,
            "state ignored",
            { { "kind", std::string(ToString(aKind)) },
              { "revision", ToText(aReceived) },
              { "known_revision", ToText(aKnown) } });
      },
    .storeReturned =
      [&aMetrics](uint64_t aKnownEpoch, uint64_t aEpoch) {
        aMetrics.Count("store-returns");
        Log(
          LogLevel::Warning,
          kComponent,
          "store returned from an older copy",
          { { "known_epoch", std::to_string(aKnownEpoch) }, { "epoch", std::to_string(aEpoch) } });
      },
    .kindReadAgain =
      [](ObjectKind aKind,
         const StoreRevision& aKnown,
         const StoreRevision& aRead,
         size_t aDifferences) {
        Log(LogLevel::Info,
            kComponent,
            "state read again",
            { { "kind", std::string(ToString(aKind)) },
              { "known_revision", ToText(aKnown) },
              { "revision", ToText(aRead) },
              { "differences", std::to_string(aDifferences) } });
      },
  };
}

} // namespace

FleetSync::FleetSync(asio::io_context& aContext,
                     FleetSyncOptions aOptions,
                     StoreApi aStore,
                     ObjectDecoders aDecoders,
                     Metrics& aMetrics,
                     ViewPublisher aPublishView)
  : context_(aContext)
  , options_(std::move(aOptions))
  , store_(std::move(aStore))
  , metrics_(aMetrics)
  , publishView_(std::move(aPublishView))
  , keeper_(std::move(aDecoders),
            MakeKeeperHooks(aMetrics),
            { .instanceReportPeriod = options_.instanceReportPeriod })
  , storeFollowing_(
      { .self = options_.self, .seeds = options_.seeds, .startedAt = ReadClocks().monotonic })
  , delegation_({ .ownDomain = options_.self.failureDomain })
  , random_(options_.randomSeed)
  , datagrams_(
      aContext,
      [this](const Endpoint& aFrom, const DatagramMessage& aMessage) {
        if (membershipStarted_)
          membership_->OnDatagram(ReadClocks(), aFrom, aMessage);
      },
      [this](std::string_view aName, Reason aReason) { metrics_.Count(aName, aReason); })
  , stateClient_(aContext)
  , acceptor_(aContext)
{
  MembershipOptions membership{ .self = options_.self,
                                .incarnation = { random_.Next() },
                                .seeds = options_.seeds,
                                .randomSeed = random_.Next(),
                                .probePeriod = kProbePeriod,
                                .syncPeriod = kMemberSyncPeriod };
  membership.startedAtMs = static_cast<uint64_t>(ReadClocks().wall.time_since_epoch().count());
  membership_ = std::make_unique<Membership>(
    std::move(membership),
    MembershipHooks{
      .sendDatagram = [this](const Endpoint& aTo,
                             const DatagramMessage& aMessage) { datagrams_.Send(aTo, aMessage); },
      .sendStream =
        [this](const Vm& aVm, const StreamMessage& aMessage) {
          if (const auto* sync = std::get_if<MemberSync>(&aMessage))
            asio::co_spawn(
              context_,
              SendToPeer(aVm.peers, EncodePeer(options_.self.id, PeerMemberSync{ *sync })),
              asio::detached);
        },
      .memberChanged =
        [](const MemberUpdate& aUpdate) {
          Log(LogLevel::Info,
              kComponent,
              "vm changed",
              { { "vm", aUpdate.vm.id.Value() },
                { "state", std::to_string(static_cast<int>(aUpdate.state)) },
                { "leaving", aUpdate.leaving ? "1" : "0" } });
        },
      .probeAcknowledged = [](TimePoint) {},
    });
}

error_code
FleetSync::Open()
{
  const error_code error = ListenOn(acceptor_, options_.self.peers);
  return error ? error : datagrams_.Open(options_.self.peers);
}

void
FleetSync::Start()
{
  for (size_t i = 0; i < kObjectKindCount; ++i) {
    const auto kind = static_cast<ObjectKind>(i);
    SpawnTask(context_, fmt::format("follow {}", ToString(kind)), [this, kind] {
      return FollowObjects(kind);
    });
  }
  SpawnTask(context_, "register and list vms", [this] { return RegisterAndListVms(); });
  SpawnTask(context_, "poll peers", [this] { return PollPeers(); });
  SpawnTask(context_, "poll earlier state", [this] { return PollEarlierState(); });
  SpawnTask(context_, "accept peers", [this] { return AcceptPeers(); });
  SpawnTask(context_, "tick", [this] { return Tick(); });
}

asio::awaitable<void>
FleetSync::Sleep(Duration aDuration)
{
  asio::steady_timer timer(context_, aDuration);
  co_await timer.async_wait(kAwaitTuple);
}

template<typename T>
void
FleetSync::CheckEpoch(tl::expected<T, StoreError>& aAnswer, std::optional<uint64_t> aEpoch)
{
  if (!aEpoch)
    return;
  keeper_.OnStoreEpoch(ReadClocks().monotonic, *aEpoch);
  metrics_.SetGauge("store_epoch", static_cast<double>(*keeper_.Epoch()));
  if (aAnswer && *aEpoch < *keeper_.Epoch())
    aAnswer = tl::unexpected(StoreError{
      .kind = StoreError::Kind::Unavailable,
      .message =
        fmt::format("answer of epoch {}, which ended before epoch {}", *aEpoch, *keeper_.Epoch()),
      .epoch = aEpoch });
}

void
FleetSync::OnStoreCallEnd(ObjectKind aKind, const std::optional<StoreError>& aError)
{
  if (aError) {
    metrics_.Count("store-calls-failed", Reason::StoreUnavailable);
    Log(LogLevel::Warning,
        kComponent,
        "store call failed",
        { { "kind", std::string(ToString(aKind)) }, { "error", aError->message } });
  }
  const TimePoint now = ReadClocks().monotonic;
  if (!aError)
    keeper_.OnStoreAnswer(now);
  if (storeFollowing_.OnStoreCallEnd(now, aKind, !aError))
    ReportStoreReachable(storeFollowing_.IsStoreReachable() ? "store regained" : "store lost");
  if (!aError && !storeFollowing_.IsServedByFollower(now))
    ReportStateSource("store");
}

void
FleetSync::ReportStoreReachable(std::string_view aMessage)
{
  const bool reachable = storeFollowing_.IsStoreReachable();
  Log(LogLevel::Info,
      kComponent,
      aMessage,
      { { "manifest", ToText(keeper_.Snapshot(ObjectKind::Manifest).revision) },
        { "instances", ToText(keeper_.Snapshot(ObjectKind::Instances).revision) },
        { "evacuations", ToText(keeper_.Snapshot(ObjectKind::Evacuations).revision) } });
  metrics_.SetGauge("store_reachable", reachable ? 1 : 0);
  keeper_.OnStoreReachable(ReadClocks().monotonic, reachable);
}

void
FleetSync::ReportStateSource(std::string_view aSource)
{
  if (aSource == stateSource_)
    return;
  stateSource_ = aSource;
  const auto age = storeFollowing_.StoreAnswerAge(ReadClocks().monotonic);
  Log(LogLevel::Info,
      kComponent,
      "state source changed",
      { { "source", stateSource_ },
        { "store_answer_age_ms", age ? std::to_string(*age / 1ms) : "-" } });
}

void
FleetSync::ReportRevision(ObjectKind aKind)
{
  metrics_.SetGauge("known_revision",
                    static_cast<double>(keeper_.Snapshot(aKind).revision.number),
                    { { "kind", std::string(ToString(aKind)) } });
}

asio::awaitable<bool>
FleetSync::ListObjects(ObjectKind aKind)
{
  auto set = co_await store_.list(aKind);
  CheckEpoch(set, set ? set->revision.epoch : set.error().epoch);
  if (!set) {
    OnStoreCallEnd(aKind, set.error());
    co_return false;
  }
  OnStoreCallEnd(aKind, std::nullopt);
  keeper_.OnSnapshot(ReadClocks().monotonic, aKind, *set);
  ReportRevision(aKind);
  viewChanged_ = true;
  co_return true;
}

asio::awaitable<void>
FleetSync::FollowObjects(ObjectKind aKind)
{
  Duration wait = kFirstRetryWait;
  bool listed = false;
  bool watchFailed = false;
  while (keeper_.Snapshot(aKind).revision.number == 0 &&
         storeFollowing_.IsWaitingForSeeds(ReadClocks().monotonic))
    co_await Sleep(kTickPeriod);
  for (;;) {
    if (keeper_.Snapshot(aKind).revision.number > 0) {
      const Duration served = storeFollowing_.TimeServedByFollower(ReadClocks().monotonic);
      if (served > Duration{} || !storeFollowing_.MayCallFor(aKind)) {
        co_await Sleep(served > Duration{} ? std::min(served, kPeerPollPeriod) : kPeerPollPeriod);
        continue;
      }
    }
    if (!listed || keeper_.MustList(ReadClocks().monotonic, aKind)) {
      listed = co_await ListObjects(aKind);
    } else {
      auto changes = co_await store_.watch(
        aKind, keeper_.Snapshot(aKind).revision, StoreFollowing::WatchWait(aKind));
      CheckEpoch(changes, changes ? changes->revision.epoch : changes.error().epoch);
      if (changes) {
        OnStoreCallEnd(aKind, std::nullopt);
        keeper_.OnChanges(ReadClocks().monotonic, aKind, *changes);
        ReportRevision(aKind);
        wait = kFirstRetryWait;
        watchFailed = false;
        if (!changes->changes.empty()) {
          viewChanged_ = true;
          co_await Sleep(storeFollowing_.PauseBetweenWatches());
        }
        continue;
      }
      // An interrupted watch may have missed changes without reporting it; a new list has them.
      listed = false;
      if (std::exchange(watchFailed, true))
        co_await Sleep(kFirstRetryWait);
      if (changes.error().kind == StoreError::Kind::HistoryGone)
        continue;
      if (changes.error().kind == StoreError::Kind::Interrupted) {
        // The list shows whether the store still answers.
        metrics_.Count("store-watches-interrupted");
        co_await Sleep(kFirstRetryWait);
        continue;
      }
      OnStoreCallEnd(aKind, changes.error());
      continue;
    }
    if (listed) {
      wait = kFirstRetryWait;
      continue;
    }
    co_await Sleep(wait);
    wait = std::min(2 * wait, storeFollowing_.MaxRetryWait(ReadClocks().monotonic));
  }
}

asio::awaitable<bool>
FleetSync::RegisterVm()
{
  auto registered = co_await store_.registerVm(options_.self);
  CheckEpoch(registered, registered ? *registered : registered.error().epoch);
  if (!registered) {
    Log(LogLevel::Warning,
        kComponent,
        "registration of this vm failed",
        { { "error", registered.error().message } });
    co_return false;
  }
  registeredEpoch_ = *registered;
  co_return true;
}

asio::awaitable<void>
FleetSync::RegisterAndListVms()
{
  // One task for both, as they share a connection.
  for (Duration wait = kFirstRetryWait; !co_await RegisterVm();
       wait = std::min(2 * wait, kMaxRegisterRetryWait))
    co_await Sleep(wait);
  TimePoint listAt = ReadClocks().monotonic;
  while (!stopping_) {
    const TimePoint now = ReadClocks().monotonic;
    if (now >= listAt) {
      listAt = now + kListVmsPeriod;
      if (registeredVms_.empty() || storeFollowing_.MustListVms(now))
        co_await ListVms();
    }
    const bool registrationLost = *registeredEpoch_ < keeper_.Epoch();
    if (registrationLost) {
      co_await Sleep(storeFollowing_.RegistrationDelay());
      if (!stopping_)
        co_await RegisterVm();
    }
    co_await Sleep(kRegistrationCheckPeriod);
  }
}

asio::awaitable<void>
FleetSync::ListVms()
{
  auto registered = co_await store_.listVms();
  CheckEpoch(registered, registered ? registered->epoch : registered.error().epoch);
  if (!registered) {
    Log(LogLevel::Warning,
        kComponent,
        "listing the registered vms failed",
        { { "error", registered.error().message } });
    co_return;
  }
  registeredVms_ = std::move(registered->vms);
  if (membershipStarted_)
    PassRegisteredVmsToMembership();
}

void
FleetSync::PassRegisteredVmsToMembership()
{
  std::vector<PlatformVm> list;
  for (const Vm& vm : registeredVms_)
    list.push_back({ .vm = vm });
  membership_->OnVmList(ReadClocks(), list);
}

void
FleetSync::StartMembership()
{
  membershipStarted_ = true;
  membership_->Start(ReadClocks());
  if (!registeredVms_.empty())
    PassRegisteredVmsToMembership();
}

void
FleetSync::PublishView()
{
  if (!membershipStarted_ && keeper_.HasManifest())
    StartMembership();
  auto view = std::make_shared<FleetView>(keeper_.BuildView());
  if (membershipStarted_) {
    view->usableVms = membership_->LiveNotLeaving();
    storeFollowing_.OnMembershipChange(ReadClocks().monotonic, view->usableVms);
    for (const MemberUpdate& member : membership_->Members()) {
      if (member.state != MemberState::Left)
        view->knownVms.push_back(member.vm);
    }
    publishedEpoch_ = membership_->Epoch();
  }
  view->knownVms.push_back(options_.self);
  metrics_.SetGauge("manifest_ahead_of_store", keeper_.IsManifestAheadOfStore() ? 1 : 0);
  viewChanged_ = false;
  publishedAt_ = ReadClocks().monotonic;
  publishView_(std::move(view));
}

asio::awaitable<void>
FleetSync::Tick()
{
  for (;;) {
    co_await Sleep(kTickPeriod);
    const Now now = ReadClocks();
    if (keeper_.OnTick(now.monotonic))
      viewChanged_ = true;
    if (membershipStarted_)
      membership_->OnTick(now);
    const bool membersChanged = membershipStarted_ && membership_->Epoch() != publishedEpoch_ &&
                                now.monotonic - publishedAt_ >= kMembersPublishPeriod;
    if (viewChanged_ || membersChanged)
      PublishView();
  }
}

void
FleetSync::BeginStop()
{
  stopping_ = true;
  if (membershipStarted_)
    membership_->SetLeaving(ReadClocks());
  asio::co_spawn(
    context_,
    [this]() -> asio::awaitable<void> {
      const auto removed = co_await store_.removeVm(options_.self.id);
      if (!removed)
        Log(LogLevel::Warning,
            kComponent,
            "registration not removed",
            { { "error", removed.error().message } });
    },
    asio::detached);
}

void
FleetSync::Leave()
{
  if (membershipStarted_)
    membership_->Leave(ReadClocks());
}

} // namespace dfm
