#include "dragonflymoor/Steering/FleetKeeper.h"
#include "dragonflymoor/Steering/StoreFollowing.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>
#include <rapidcheck.h>
#include <sstream>

namespace {

using namespace dfm;

constexpr Duration kReportPeriod = 1500ms;

/// Text of an instance's entry in these tests.
std::string
EntryText(uint64_t aRun, uint64_t aReport, bool aDraining = false)
{
  return fmt::format("{} {} {}", aRun, aReport, aDraining ? "draining" : "ready");
}

ObjectDecoders
Decoders()
{
  return { .manifest = [](std::string_view aText) -> Checked<Manifest> {
            // "7" and "7b" are two manifests of version 7.
            return Manifest{ .version = std::stoull(std::string(aText)) };
          },
           .instance =
             [](const std::string& aName, std::string_view aText, TimePoint) -> Checked<Instance> {
             std::istringstream stream{ std::string(aText) };
             Instance instance{ .id = BackendId(aName) };
             std::string state;
             stream >> instance.startTimeMs >> instance.report >> state;
             instance.draining = state == "draining";
             return instance;
           } };
}

/// A VM's state, with the time of the test.
struct Node
{
  TimePoint now{ 100s };
  unsigned returns = 0;
  unsigned ignored = 0;
  FleetKeeper keeper{
    Decoders(),
    { .manifestChanged = [](const Manifest&) {},
      .objectRejected = [](const Findings&) {},
      .instanceChanged = [](const Instance&, std::string_view) {},
      .stateIgnored = [this](ObjectKind, const StoreRevision&, const StoreRevision&) { ++ignored; },
      .storeReturned = [this](uint64_t, uint64_t) { ++returns; } },
    { .instanceReportPeriod = kReportPeriod }
  };

  void List(ObjectKind aKind,
            const StoreRevision& aRevision,
            std::map<std::string, std::string> aObjects)
  {
    keeper.OnSnapshot(now, aKind, { .revision = aRevision, .objects = std::move(aObjects) });
  }
  void Instances(const StoreRevision& aRevision, std::map<std::string, std::string> aObjects)
  {
    List(ObjectKind::Instances, aRevision, std::move(aObjects));
  }
  void Advance(Duration aDuration)
  {
    for (const TimePoint until = now + aDuration; now < until;) {
      now = std::min(now + Duration(50ms), until);
      keeper.OnStoreAnswer(now);
      keeper.OnTick(now);
    }
  }
  /// The run of each usable instance.
  std::map<std::string, uint64_t> UsedRuns()
  {
    std::map<std::string, uint64_t> runs;
    for (const auto& instance : *keeper.BuildView().instances) {
      if (!instance->draining)
        runs[instance->id.Value()] = instance->startTimeMs;
    }
    return runs;
  }
  std::set<std::string> Usable()
  {
    std::set<std::string> names;
    for (const auto& [name, run] : UsedRuns())
      names.insert(name);
    return names;
  }
  bool IsEvacuated(const std::string& aDomain)
  {
    return keeper.BuildView().evacuated.contains(FailureDomainId(aDomain));
  }
};

using Names = std::set<std::string>;

struct OrderCase
{
  const char* name;
  StoreRevision since;
  StoreRevision revision;
  bool isWhole;
  bool applies;
};

/// Guards against VMs that drop what a returned store states, as its revisions are lower, or take
/// over what does not follow on their state.
Test(StoreReturn, StatesAreOrderedByEpoch)
{
  static const OrderCase kCases[] = {
    { "later list", {}, { 2, 60 }, true, true },
    { "older list", {}, { 2, 40 }, true, false },
    { "list of a later epoch", {}, { 3, 10 }, true, true },
    { "list of an earlier epoch", {}, { 1, 900 }, true, false },
    { "changes", { 2, 50 }, { 2, 60 }, false, true },
    { "changes from an earlier revision", { 2, 45 }, { 2, 60 }, false, true },
    { "changes with a gap", { 2, 55 }, { 2, 60 }, false, false },
    { "older changes", { 2, 40 }, { 2, 45 }, false, false },
    { "watch that went on in a later epoch", { 2, 50 }, { 3, 60 }, false, false },
    { "changes of a later epoch", { 3, 50 }, { 3, 60 }, false, false },
    { "changes of an earlier epoch", { 1, 50 }, { 1, 60 }, false, false },
  };
  for (const OrderCase& testCase : kCases) {
    Node node;
    node.List(ObjectKind::Manifest, { 2, 50 }, { { "main", "7" } });
    if (testCase.isWhole)
      node.List(ObjectKind::Manifest, testCase.revision, { { "main", "8" } });
    else
      node.keeper.OnChanges(node.now,
                            ObjectKind::Manifest,
                            { .since = testCase.since,
                              .revision = testCase.revision,
                              .changes = { { .name = "main", .content = "8" } } });
    cr_assert(node.keeper.ManifestVersion() == (testCase.applies ? 8U : 7U), "%s", testCase.name);
    cr_assert(node.ignored == (testCase.applies ? 0U : 1U), "%s", testCase.name);
  }
}

/// Guards against a kind that stays at an earlier epoch while the others are read again.
Test(StoreReturn, EveryKindIsReadAgain)
{
  Node node;
  for (const ObjectKind kind :
       { ObjectKind::Manifest, ObjectKind::Instances, ObjectKind::Evacuations }) {
    cr_assert(node.keeper.MustList(node.now, kind));
    node.List(kind, { 1, 50 }, {});
    cr_assert(not node.keeper.MustList(node.now, kind));
  }
  node.keeper.OnStoreEpoch(node.now, 2);
  cr_assert(node.returns == 1);
  cr_assert(node.keeper.MustList(node.now, ObjectKind::Manifest) &&
            node.keeper.MustList(node.now, ObjectKind::Instances) &&
            node.keeper.MustList(node.now, ObjectKind::Evacuations));
  node.Instances({ 2, 10 }, {});
  cr_assert(node.keeper.MustList(node.now, ObjectKind::Manifest));
  cr_assert(not node.keeper.MustList(node.now, ObjectKind::Instances));
  node.keeper.OnStoreEpoch(node.now, 1);
  cr_assert(node.keeper.Epoch() == 2U && node.returns == 1);
}

/// Guards against changes of an earlier epoch that are sent to a VM as if they followed on its
/// state.
Test(StoreReturn, NoChangesAreKnownAcrossEpochs)
{
  Node node;
  node.List(ObjectKind::Manifest, { 1, 50 }, { { "main", "7" } });
  cr_assert(node.keeper.ChangesSince(ObjectKind::Manifest, { 1, 50 }).has_value());
  node.List(ObjectKind::Manifest, { 2, 20 }, { { "main", "6" } });
  for (const StoreRevision& known : { StoreRevision{ 1, 20 }, { 1, 50 }, { 2, 10 } })
    cr_assert(not node.keeper.ChangesSince(ObjectKind::Manifest, known).has_value());
  cr_assert(node.keeper.ChangesSince(ObjectKind::Manifest, { 2, 20 })->changes.empty());
}

struct ManifestCase
{
  const char* name;
  std::map<std::string, std::string> listed;
  uint64_t inForce;
  bool isAhead; ///< Of the store.
};

/// Guards against a manifest that goes back to the one of the older copy.
Test(StoreReturn, ManifestNeverGoesBack)
{
  static const ManifestCase kCases[] = {
    { "older", { { "main", "5" } }, 7, true },
    { "none", {}, 7, true },
    { "the same", { { "main", "7" } }, 7, false },
    { "later", { { "main", "9" } }, 9, false },
  };
  for (const ManifestCase& testCase : kCases) {
    Node node;
    node.List(ObjectKind::Manifest, { 1, 50 }, { { "main", "7" } });
    node.List(ObjectKind::Manifest, { 2, 20 }, testCase.listed);
    cr_assert(node.keeper.ManifestVersion() == testCase.inForce, "%s", testCase.name);
    cr_assert(node.keeper.IsManifestAheadOfStore() == testCase.isAhead, "%s", testCase.name);
    const bool isPassedOn = node.keeper.MakeEarlierState(node.now, 2, 5).manifest.has_value();
    cr_assert(isPassedOn == testCase.isAhead, "%s", testCase.name);
  }
}

/// Guards against VMs with different manifests of one version, when the operator gives a version
/// that the store has lost out again.
Test(StoreReturn, LaterContentOfAVersionIsInForce)
{
  Node node;
  node.List(ObjectKind::Manifest, { 1, 50 }, { { "main", "7" } });
  const auto before = node.keeper.BuildView().routes;
  node.List(ObjectKind::Manifest, { 2, 20 }, { { "main", "7" } });
  cr_assert(node.keeper.BuildView().routes == before);
  node.List(ObjectKind::Manifest, { 2, 21 }, { { "main", "7b" } });
  cr_assert(node.keeper.BuildView().routes != before);
}

struct EntryCase
{
  const char* name;
  std::map<std::string, std::string> known;    ///< In epoch 1.
  std::map<std::string, std::string> later;    ///< The same, some time later.
  std::map<std::string, std::string> returned; ///< In epoch 2.
  bool usedAtOnce;
  bool usedWhenRenewed; ///< The returned entry, with the next report.
  bool usedAtLast;      ///< A minute later, although it is not renewed.
};

/// Guards against requests to instances that have left and that the older copy lists as usable, and
/// against the loss of those that it lacks.
Test(StoreReturn, CopyBringsNoInstanceBack)
{
  static const std::string kReady = EntryText(1, 5);
  static const EntryCase kCases[] = {
    { "gone", { { "i", kReady } }, {}, { { "i", kReady } }, false, true, true },
    { "gone, with reports that are not announced",
      { { "i", EntryText(1, 2) } },
      {},
      { { "i", kReady } },
      false,
      true,
      true },
    { "draining",
      { { "i", kReady } },
      { { "i", EntryText(1, 7, true) } },
      { { "i", kReady } },
      false,
      true,
      true },
    { "draining, known without a report number",
      { { "i", EntryText(1, 0) } },
      { { "i", EntryText(1, 0, true) } },
      { { "i", EntryText(1, 0) } },
      false,
      true,
      true },
    { "replaced by a later run",
      { { "i", kReady } },
      { { "i", EntryText(2, 1) } },
      { { "i", kReady } },
      true,
      true,
      false },
    { "earlier run that this VM did not know",
      {},
      { { "i", EntryText(2, 1) } },
      { { "i", kReady } },
      true,
      true,
      false },
    { "added", {}, { { "i", kReady } }, {}, true, true, false },
    { "in use",
      { { "i", kReady } },
      { { "i", EntryText(1, 6) } },
      { { "i", kReady } },
      true,
      true,
      true },
    { "added with a later report than that of the copy",
      {},
      { { "i", EntryText(1, 6) } },
      { { "i", kReady } },
      true,
      true,
      true },
  };
  for (const EntryCase& testCase : kCases) {
    for (const bool isRenewed : { false, true }) {
      Node node;
      node.Instances({ 1, 50 }, testCase.known);
      node.Instances({ 1, 60 }, testCase.later);
      node.Instances({ 2, 20 }, testCase.returned);
      const bool usedAtOnce = node.Usable().contains("i");
      cr_assert(usedAtOnce == testCase.usedAtOnce, "%s", testCase.name);
      if (isRenewed) {
        node.Instances({ 2, 30 }, { { "i", EntryText(1, 8) } });
        cr_assert(node.Usable().contains("i") == testCase.usedWhenRenewed, "%s", testCase.name);
        continue;
      }
      cr_assert(not node.keeper.MustList(node.now, ObjectKind::Instances), "%s", testCase.name);
      node.Advance(4 * kReportPeriod);
      cr_assert(testCase.usedAtOnce || !node.Usable().contains("i"), "%s", testCase.name);
      const bool isListedAgain = node.keeper.MustList(node.now, ObjectKind::Instances);
      cr_assert(isListedAgain == !testCase.usedAtOnce, "%s", testCase.name);
      node.Instances({ 2, 40 }, testCase.returned);
      cr_assert(not node.keeper.MustList(node.now, ObjectKind::Instances), "%s", testCase.name);
      node.Advance(1min);
      cr_assert(node.Usable().contains("i") == testCase.usedAtLast, "%s", testCase.name);
    }
  }
}

/// Guards against departures that outlive the entry's return to use within one epoch.
Test(StoreReturn, StoreDecidesWithinAnEpoch)
{
  const std::map<std::string, std::string> departures[] = { { { "i", EntryText(1, 6, true) } },
                                                            {} };
  for (const auto& departure : departures) {
    Node node;
    node.Instances({ 1, 50 }, { { "i", EntryText(1, 5) } });
    node.Instances({ 1, 60 }, departure);
    cr_assert(node.Usable().empty());
    node.Instances({ 1, 70 }, { { "i", EntryText(1, 7) } });
    cr_assert(node.Usable() == Names{ "i" });
    node.Instances({ 2, 20 }, { { "i", EntryText(1, 4) } });
    cr_assert(node.Usable() == Names{ "i" });
  }
}

/// Guards against lists without end after the entry of an instance that has left has lapsed.
Test(StoreReturn, LapsedEntryNeedsNoFurtherList)
{
  const std::map<std::string, std::string> copy{ { "i", EntryText(1, 5) } };
  Node node;
  node.Instances({ 1, 50 }, copy);
  node.Instances({ 1, 60 }, {});
  node.Instances({ 2, 20 }, copy);
  node.Instances({ 2, 30 }, {});
  node.Advance(20s);
  cr_assert(not node.keeper.MustList(node.now, ObjectKind::Instances));
}

/// Guards against returns and outages in series, during which the entry of a dead instance does not
/// lapse.
Test(StoreReturn, SeriesOfReturnsBringsNoInstanceBack)
{
  const std::map<std::string, std::string> copy{ { "i", EntryText(1, 5) } };
  Node node;
  node.Instances({ 1, 50 }, copy);
  node.Instances({ 1, 60 }, {});
  node.Instances({ 2, 20 }, copy);
  node.Advance(3s);
  node.Instances({ 3, 20 }, copy);
  for (int i = 0; i < 10; ++i) {
    node.Advance(2 * kReportPeriod);
    node.keeper.OnStoreReachable(node.now, false);
    node.now += Duration(600ms);
    node.keeper.OnStoreReachable(node.now, true);
    node.Instances({ 3, 30 }, copy);
    cr_assert(node.Usable().empty());
  }
}

/// Guards against an evacuation that ends because the older copy lacks it, and against one that
/// cannot be taken back, as the store does not have it.
Test(StoreReturn, LostEvacuationHoldsForAWhile)
{
  Node node;
  node.List(ObjectKind::Evacuations, { 1, 50 }, { { "north-a", "{}" }, { "north-b", "{}" } });
  node.List(ObjectKind::Evacuations, { 2, 20 }, {});
  cr_assert(node.IsEvacuated("north-a") && node.IsEvacuated("north-b"));
  node.List(ObjectKind::Evacuations, { 2, 30 }, { { "north-b", "{}" } });
  node.List(ObjectKind::Evacuations, { 2, 40 }, {});
  cr_assert(not node.IsEvacuated("north-b"), "taken back");
  node.Advance(9900ms);
  cr_assert(node.IsEvacuated("north-a"));
  node.Advance(100ms);
  cr_assert(not node.IsEvacuated("north-a"));
}

/// Guards against a VM that starts after the return, or was behind before it, and takes the older
/// copy for the truth.
Test(StoreReturn, StartedVmLearnsWhatTheCopyLacks)
{
  Node running;
  running.List(ObjectKind::Manifest, { 1, 50 }, { { "main", "7" } });
  running.List(ObjectKind::Evacuations, { 1, 50 }, { { "north-a", "{}" } });
  running.Instances({ 1, 50 }, { { "i", EntryText(1, 5) }, { "j", EntryText(1, 5) } });
  running.Instances({ 1, 60 }, { { "j", EntryText(1, 6) } });
  const std::map<std::string, std::string> copy{ { "i", EntryText(1, 5) },
                                                 { "j", EntryText(1, 5) } };
  // The other VM has not read the copy yet, or has.
  for (const bool isBehind : { true, false }) {
    Node started;
    for (Node* node : { &running, &started }) {
      if (isBehind && node == &running)
        continue;
      node->List(ObjectKind::Manifest, { 2, 20 }, { { "main", "6" } });
      node->List(ObjectKind::Evacuations, { 2, 20 }, {});
      node->Instances({ 2, 20 }, copy);
    }
    cr_assert(started.returns == 0);
    started.keeper.OnEarlierState(
      started.now,
      running.keeper.MakeEarlierState(running.now, 2, started.keeper.ManifestVersion()));
    cr_assert(started.keeper.ManifestVersion() == 7);
    cr_assert(started.Usable() == Names{ "j" });
    cr_assert(started.IsEvacuated("north-a"));
  }
}

/// Guards against a removal in an earlier epoch that counts as an entry lost in the return, and
/// against the entry that the copy lists as it was.
Test(StoreReturn, DepartureLearntBehindTheEpochCounts)
{
  const std::map<std::string, std::string> copy{ { "i", EntryText(1, 5) },
                                                 { "j", EntryText(1, 5) } };
  Node node;
  node.Instances({ 1, 50 }, copy);
  node.keeper.OnStoreEpoch(node.now, 2);
  node.keeper.OnChanges(
    node.now, ObjectKind::Instances, { { 1, 50 }, { 1, 60 }, { { .name = "i" } } });
  cr_assert(node.Usable() == Names{ "j" });
  const Departure departure{
    .instance = BackendId("j"), .startTimeMs = 1, .report = 6, .epoch = 1
  };
  node.keeper.OnEarlierState(node.now, { .departures = { departure } });
  node.Instances({ 2, 20 }, copy);
  cr_assert(node.Usable().empty());
}

/// Guards against live instances that are dropped because the store was away once more before they
/// could register again.
Test(StoreReturn, OutageAfterTheReturnProlongsTheTimeToRegister)
{
  Node node;
  node.Instances({ 1, 50 }, { { "i", EntryText(1, 5) } });
  node.keeper.OnStoreEpoch(node.now, 2);
  node.keeper.OnStoreAnswer(node.now);
  node.keeper.OnStoreReachable(node.now, false);
  node.now += Duration(2300ms);
  node.keeper.OnStoreReachable(node.now, true);
  node.Instances({ 2, 20 }, {});
  cr_assert(node.Usable() == Names{ "i" });
  node.Advance(2200ms);
  cr_assert(node.Usable().empty());
}

/// Guards against a VM that has just started and tells others that entries which the older copy
/// lacks are gone.
Test(StoreReturn, StartedVmHasNoSteadyState)
{
  Node node;
  node.Instances({ 2, 20 }, {});
  cr_assert(node.keeper.IsStoreSteady(node.now) && !node.keeper.HasSteadyState(node.now));
  node.Advance(2200ms);
  cr_assert(node.keeper.HasSteadyState(node.now));
}

/// Guards against a departure from another VM that takes a renewed instance out of use.
Test(StoreReturn, RenewedInstanceStaysInUse)
{
  Node node;
  node.Instances({ 2, 20 }, { { "i", EntryText(1, 5) } });
  node.Instances({ 2, 30 }, { { "i", EntryText(1, 6) } });
  const Departure departure{
    .instance = BackendId("i"), .startTimeMs = 1, .report = 5, .epoch = 1
  };
  node.keeper.OnEarlierState(node.now, { .departures = { departure } });
  cr_assert(node.Usable() == Names{ "i" });
}

/// Guards against hundreds of VMs that register at the same moment after a return.
Test(StoreReturn, RegistrationsAreSpread)
{
  constexpr size_t kVms = 300;
  constexpr int kWritesOfOne = 2;
  constexpr int kMaxWritesPerSecond = 400;
  std::vector<Vm> vms;
  for (size_t i = 0; i < kVms; ++i)
    vms.push_back({ .id = VmId(fmt::format("vm-{}", i)),
                    .region = RegionId("north"),
                    .peers = { .address = "10.0.0.1", .port = static_cast<uint16_t>(i) } });
  std::map<Duration, int> countByDelay;
  for (const Vm& vm : vms) {
    StoreFollowing following({ .self = vm });
    following.OnMembershipChange(TimePoint{ 100s }, vms);
    ++countByDelay[following.RegistrationDelay()];
  }
  for (const auto& [from, count] : countByDelay) {
    int writes = 0;
    for (const auto& [delay, vmCount] : countByDelay)
      writes += delay >= from && delay < from + Duration(1s) ? kWritesOfOne * vmCount : 0;
    cr_assert(writes <= kMaxWritesPerSecond / 2);
  }
}

constexpr size_t kSteps = 150;

/// A store, its operator and instances in virtual time, and the truth about them.
class World
{
public:
  static constexpr size_t kVms = 3;
  static constexpr size_t kInstances = 4;
  static constexpr size_t kDomains = 2;

  World()
  {
    for (size_t i = 0; i < kInstances; ++i)
      StartInstance(i);
    ConfirmManifest();
    copies_.push_back(state_);
    for (Vm& vm : vms_)
      Restart(vm);
  }

  void ConfirmManifest() { Write(ObjectKind::Manifest, "main", std::to_string(++version_)); }

  void StartInstance(size_t aIndex)
  {
    Truth& truth = truths_[aIndex];
    if (truth.state != Truth::State::Gone)
      return;
    truth = { .run = truth.run + 1, .state = Truth::State::Ready };
    Report(aIndex);
  }

  /// The instance reports itself draining, or its entry is removed.
  void EndInstance(size_t aIndex, bool aDrains)
  {
    Truth& truth = truths_[aIndex];
    if (truth.state == Truth::State::Gone)
      return;
    truth.state = aDrains ? Truth::State::Draining : Truth::State::Gone;
    if (aDrains)
      Report(aIndex);
    else
      Write(ObjectKind::Instances, Name(aIndex), std::nullopt);
  }

  void SetEvacuated(size_t aDomain, bool aEvacuated)
  {
    evacuated_[aDomain] = aEvacuated;
    Write(ObjectKind::Evacuations,
          fmt::format("d-{}", aDomain),
          aEvacuated ? std::optional<std::string>("{}") : std::nullopt);
  }

  void KeepCopy() { copies_.push_back(state_); }

  /// The store comes back from a copy. The operator and the instances write again what they wrote.
  void ReturnFrom(size_t aCopy)
  {
    state_ = copies_[aCopy % copies_.size()];
    ++epoch_;
    returnedAt_ = now_;
    for (size_t i = 0; i < kInstances; ++i) {
      if (truths_[i].state != Truth::State::Gone)
        Report(i);
    }
    Write(ObjectKind::Manifest, "main", std::to_string(version_));
    for (size_t i = 0; i < kDomains; ++i)
      SetEvacuated(i, evacuated_[i]);
  }

  /// This VM reads the store, by a watch if it can.
  void Follow(size_t aVm, ObjectKind aKind)
  {
    Vm& vm = vms_[aVm];
    if (vm.isCut)
      return;
    FleetKeeper& keeper = vm.node->keeper;
    const StoreRevision known = keeper.Snapshot(aKind).revision;
    keeper.OnStoreEpoch(now_, epoch_);
    keeper.OnStoreAnswer(now_);
    const StoreRevision current{ epoch_, state_.revision };
    if (keeper.MustList(now_, aKind) || known.number > state_.revision) {
      keeper.OnSnapshot(now_, aKind, { current, state_.objects[static_cast<size_t>(aKind)] });
      return;
    }
    ObjectChanges changes{ .since = known, .revision = current };
    for (const auto& [revision, kind, change] : state_.events) {
      if (kind == aKind && revision > known.number)
        changes.changes.push_back(change);
    }
    keeper.OnChanges(now_, aKind, changes);
  }

  void Ask(size_t aVm, size_t aPeer)
  {
    FleetKeeper& asker = vms_[aVm].node->keeper;
    FleetKeeper& peer = vms_[aPeer].node->keeper;
    if (peer.Epoch())
      asker.OnStoreEpoch(now_, *peer.Epoch());
    const EarlierState earlier =
      peer.MakeEarlierState(now_, asker.Epoch().value_or(0), asker.ManifestVersion());
    for (size_t i = 0; i < kObjectKindCount; ++i) {
      const auto kind = static_cast<ObjectKind>(i);
      const StoreRevision known = asker.Snapshot(kind).revision;
      const ObjectSet& set = peer.Snapshot(kind);
      if (set.revision <= known)
        continue;
      const auto changes = peer.ChangesSince(kind, known);
      if (changes)
        asker.OnChanges(now_, kind, *changes);
      else
        asker.OnSnapshot(now_, kind, set);
    }
    asker.OnEarlierState(now_, earlier);
  }

  void Cut(size_t aVm, bool aCut) { vms_[aVm].isCut = aCut; }
  void Restart(size_t aVm) { Restart(vms_[aVm]); }

  void Advance(Duration aDuration)
  {
    for (const TimePoint until = now_ + aDuration; now_ < until; now_ += kStep) {
      for (size_t i = 0; i < kInstances; ++i) {
        if (truths_[i].state != Truth::State::Gone && (now_ - TimePoint{}) % kReportPeriod < kStep)
          Report(i);
        // The platform removes what nobody renews.
        else if (truths_[i].state == Truth::State::Gone && now_ - returnedAt_ >= 3 * kReportPeriod)
          Write(ObjectKind::Instances, Name(i), std::nullopt);
      }
      for (Vm& vm : vms_) {
        vm.node->now = now_;
        vm.node->keeper.OnTick(now_);
      }
    }
  }

  /// What no VM may do at any moment.
  void CheckInvariants()
  {
    for (Vm& vm : vms_) {
      const uint64_t version = vm.node->keeper.ManifestVersion();
      RC_ASSERT(version >= vm.version);
      vm.version = version;
      const auto usedRuns = vm.node->UsedRuns();
      for (size_t i = 0; i < kInstances; ++i) {
        const Truth& truth = truths_[i];
        const bool leaves = truth.state != Truth::State::Ready;
        const auto used = usedRuns.find(Name(i));
        const bool isUsed = used != usedRuns.end() && used->second == truth.run;
        if (isUsed)
          vm.usedRuns[i] = truth.run;
        if (leaves && !isUsed && vm.usedRuns[i] == truth.run)
          vm.knownToLeave[i] = truth.run;
        const bool isKnownToLeave = leaves && vm.knownToLeave[i] == truth.run;
        RC_ASSERT(!(isKnownToLeave && isUsed));
      }
    }
  }

  /// All VMs reach the store again, and the times after a return are over.
  void CheckConvergence()
  {
    for (size_t i = 0; i < kVms; ++i)
      Cut(i, false);
    const auto followAll = [this] {
      for (size_t i = 0; i < kVms; ++i) {
        for (size_t kind = 0; kind < kObjectKindCount; ++kind)
          Follow(i, static_cast<ObjectKind>(kind));
      }
    };
    for (int i = 0; i < 30; ++i) {
      Advance(500ms);
      followAll();
      CheckInvariants();
    }
    for (Vm& vm : vms_) {
      RC_ASSERT(vm.node->keeper.ManifestVersion() == version_);
      Names expected;
      for (size_t i = 0; i < kInstances; ++i) {
        if (truths_[i].state == Truth::State::Ready)
          expected.insert(Name(i));
      }
      RC_ASSERT(vm.node->Usable() == expected);
      for (size_t i = 0; i < kDomains; ++i)
        RC_ASSERT(vm.node->IsEvacuated(fmt::format("d-{}", i)) == evacuated_[i]);
    }
  }

private:
  static constexpr Duration kStep = 100ms;

  struct Truth
  {
    enum class State
    {
      Ready,
      Draining,
      Gone,
    };
    uint64_t run = 0;
    uint64_t report = 0;
    State state = State::Gone;
  };
  struct Event
  {
    uint64_t revision = 0;
    ObjectKind kind = ObjectKind::Manifest;
    ObjectChange change;
  };
  struct State
  {
    uint64_t revision = 1;
    std::array<std::map<std::string, std::string>, kObjectKindCount> objects;
    std::vector<Event> events;
  };
  struct Vm
  {
    std::unique_ptr<Node> node{};
    bool isCut = false;
    uint64_t version = 0;
    std::array<uint64_t, kInstances> usedRuns{};
    std::array<uint64_t, kInstances> knownToLeave{}; ///< Runs that were used and then no more.
  };

  static std::string Name(size_t aIndex) { return fmt::format("i-{}", aIndex); }

  void Restart(Vm& aVm)
  {
    aVm = { .node = std::make_unique<Node>(), .isCut = aVm.isCut };
    aVm.node->now = now_;
  }

  void Report(size_t aIndex)
  {
    Truth& truth = truths_[aIndex];
    const bool draining = truth.state == Truth::State::Draining;
    Write(ObjectKind::Instances, Name(aIndex), EntryText(truth.run, ++truth.report, draining));
  }

  void Write(ObjectKind aKind, const std::string& aName, const std::optional<std::string>& aContent)
  {
    auto& objects = state_.objects[static_cast<size_t>(aKind)];
    const auto found = objects.find(aName);
    if (aContent ? found != objects.end() && found->second == *aContent : found == objects.end())
      return;
    if (aContent)
      objects[aName] = *aContent;
    else
      objects.erase(found);
    state_.events.push_back({ ++state_.revision, aKind, { aName, aContent } });
  }

  TimePoint now_{ 100s };
  TimePoint returnedAt_{ 0s };
  uint64_t epoch_ = 1;
  uint64_t version_ = 0;
  State state_;
  std::vector<State> copies_;
  std::array<Truth, kInstances> truths_;
  std::array<bool, kDomains> evacuated_{};
  std::array<Vm, kVms> vms_;
};

/// Guards against any order of changes, returns, cuts and restarts after which a VM goes back
/// behind what it knew, or does not reach what was confirmed.
Test(StoreReturn, VmsHoldAndReachWhatWasConfirmed)
{
  const bool holds = rc::check("changes, returns, cuts and restarts", [] {
    World world;
    // The generators of numbers prefer small ones unless the size is the largest.
    const auto step =
      rc::gen::pair(rc::gen::inRange<unsigned>(0, 13), rc::gen::inRange<size_t>(0, 256));
    const auto steps = *rc::gen::resize(
      rc::kNominalSize, rc::gen::container<std::vector<std::pair<unsigned, size_t>>>(kSteps, step));
    for (const auto& [action, argument] : steps) {
      const size_t vm = argument % World::kVms;
      const size_t instance = argument % World::kInstances;
      const size_t domain = argument % World::kDomains;
      switch (action) {
        case 0:
          world.ConfirmManifest();
          break;
        case 1:
          world.StartInstance(instance);
          break;
        case 2:
          world.EndInstance(instance, true);
          break;
        case 3:
          world.EndInstance(instance, false);
          break;
        case 4:
          world.SetEvacuated(domain, argument >= 128);
          break;
        case 5:
          world.KeepCopy();
          break;
        case 6:
          world.ReturnFrom(argument);
          break;
        case 7:
          world.Cut(vm, argument >= 128);
          break;
        case 8:
          world.Restart(vm);
          break;
        case 9:
          world.Ask(vm, argument / World::kVms % World::kVms);
          break;
        case 10:
          world.Advance(argument * Duration(10ms));
          break;
        default:
          world.Follow(vm, static_cast<ObjectKind>(argument / World::kVms % kObjectKindCount));
          break;
      }
      world.CheckInvariants();
    }
    world.CheckConvergence();
  });
  cr_assert(holds);
}

} // namespace
