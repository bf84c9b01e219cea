#include "dragonflymoor/Steering/FleetKeeper.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>

namespace {

using namespace dfm;

/// A FleetKeeper with stub parsers: a manifest's text is its version, an instance is draining if
/// its text is "draining", and the text "invalid" is rejected.
struct Fixture
{
  TimePoint now{ 100s };
  std::vector<uint64_t> versions;
  unsigned rejections = 0;
  unsigned instanceChanges = 0;
  FleetKeeper keeper{
    { .manifest = [](std::string_view aText) -> Checked<Manifest> {
       if (aText == "invalid")
         return tl::unexpected(Findings{ { "manifest", "is invalid" } });
       return Manifest{ .version = std::stoull(std::string(aText)) };
     },
      .instance =
        [](const std::string& aName, std::string_view aText, TimePoint) -> Checked<Instance> {
        if (aText == "invalid")
          return tl::unexpected(Findings{ { aName, "is invalid" } });
        return Instance{ .id = BackendId(aName),
                         .report = aText.size(),
                         .draining = aText == "draining" };
      } },
    { .manifestChanged =
        [this](const Manifest& aManifest) { versions.push_back(aManifest.version); },
      .objectRejected = [this](const Findings&) { ++rejections; },
      .instanceChanged = [this](const Instance&, std::string_view) { ++instanceChanges; } }
  };

  void Set(ObjectKind aKind, uint64_t aRevision, std::map<std::string, std::string> aObjects)
  {
    keeper.OnSnapshot(
      now, aKind, { .revision = { .number = aRevision }, .objects = std::move(aObjects) });
  }
  bool HasUsableInstance(const std::string& aInstance)
  {
    const FleetView view = keeper.BuildView();
    return std::any_of(view.instances->begin(), view.instances->end(), [&](const auto& aIt) {
      return aIt->id.Value() == aInstance && !aIt->draining;
    });
  }
  void Advance(Duration aDuration)
  {
    now += aDuration;
    keeper.OnTick(now);
  }
  /// The store does not answer for aOutage, and then does for aAnswered.
  void Interrupt(Duration aOutage, Duration aAnswered)
  {
    keeper.OnStoreAnswer(now);
    keeper.OnStoreReachable(now + aOutage / 2, false);
    now += aOutage;
    keeper.OnStoreAnswer(now);
    keeper.OnStoreReachable(now, true);
    Advance(aAnswered);
  }
};

struct ManifestCase
{
  const char* first;
  const char* second;
  uint64_t inForce;
  unsigned rejections;
};

/// Guards against replacing the manifest in force by an older or invalid one that arrives later
/// from another VM or a stale list.
Test(FleetKeeper, ManifestNeverGoesBack)
{
  static const ManifestCase kCases[] = {
    { "5", "7", 7, 0 }, { "7", "5", 7, 1 }, { "7", "invalid", 7, 1 }, { "7", "7", 7, 0 }
  };
  for (const ManifestCase& manifestCase : kCases) {
    Fixture fixture;
    fixture.Set(ObjectKind::Manifest, 1, { { "main", manifestCase.first } });
    fixture.Set(ObjectKind::Manifest, 2, { { "main", manifestCase.second } });
    cr_assert(fixture.keeper.BuildView().routes->GetManifest().version == manifestCase.inForce);
    cr_assert(fixture.rejections == manifestCase.rejections);
  }
}

/// Guards against a set with an older revision that undoes changes already received from a watch.
Test(FleetKeeper, OlderRevisionIsIgnored)
{
  Fixture fixture;
  fixture.Set(ObjectKind::Instances, 5, { { "i-1", "ready" } });
  fixture.Set(ObjectKind::Instances, 4, {});
  cr_assert(fixture.HasUsableInstance("i-1"));
}

/// Guards against a change that is sent to all VMs again whenever it comes from another source.
Test(FleetKeeper, RepeatedChangeIsNotPassedOn)
{
  Fixture fixture;
  FleetKeeper& keeper = fixture.keeper;
  fixture.Set(ObjectKind::Manifest, 10, { { "main", "1" } });
  const auto change =
    [&](uint64_t aRevision, const std::optional<std::string>& aContent, uint64_t aChangedAt) {
      keeper.OnChanges(
        fixture.now,
        ObjectKind::Manifest,
        { .since = keeper.Snapshot(ObjectKind::Manifest).revision,
          .revision = { .number = aRevision },
          .changes = { { .name = "main", .content = aContent, .revision = aChangedAt } } });
    };
  change(20, "2", 20);
  const uint64_t count = keeper.ChangeCount(ObjectKind::Manifest);
  change(30, "2", 20);
  cr_assert(keeper.ChangeCount(ObjectKind::Manifest) == count);
  cr_assert(keeper.Snapshot(ObjectKind::Manifest).revision.number == 30);
  const auto known = keeper.ChangesSince(ObjectKind::Manifest, { .number = 20 });
  cr_assert(known && known->changes.empty());
  const auto missed = keeper.ChangesSince(ObjectKind::Manifest, { .number = 10 });
  cr_assert(missed && missed->changes.size() == 1 && missed->changes.front().content == "2");
  change(40, std::nullopt, 0);
  cr_assert(keeper.ChangeCount(ObjectKind::Manifest) == count + 1);
}

/// Guards against logs in which the periodic reports of the instances bury the changes.
Test(FleetKeeper, ReportsWithoutAChangeAreNotAnnounced)
{
  Fixture fixture;
  fixture.Set(ObjectKind::Instances, 1, { { "i-1", "ready" } });
  fixture.Set(ObjectKind::Instances, 2, { { "i-1", "ready, report 2" } });
  cr_assert(fixture.instanceChanges == 1);
  fixture.Set(ObjectKind::Instances, 3, { { "i-1", "draining" } });
  cr_assert(fixture.instanceChanges == 2);
}

/// An invalid entry, as another writer may store, defines no instance and leaves the others in
/// force.
Test(FleetKeeper, InvalidEntryNamesNoInstance)
{
  Fixture fixture;
  fixture.Set(ObjectKind::Instances, 1, { { "i-1", "ready" }, { "i-2", "invalid" } });
  cr_assert(fixture.HasUsableInstance("i-1"));
  cr_assert(not fixture.HasUsableInstance("i-2"));
  fixture.Set(ObjectKind::Instances, 2, { { "i-1", "invalid" }, { "i-2", "ready" } });
  cr_assert(not fixture.HasUsableInstance("i-1"));
  cr_assert(fixture.HasUsableInstance("i-2"));
}

/// Guards against losing all instances when their entries lapse during a store outage, before they
/// can register again.
Test(FleetKeeper, LapsedEntriesAreKeptUntilTheyCouldComeBack)
{
  Fixture fixture;
  fixture.Set(ObjectKind::Instances, 1, { { "i-1", "ready" }, { "i-2", "ready" } });
  fixture.keeper.OnStoreReachable(fixture.now, false);
  fixture.Advance(10s);
  fixture.keeper.OnStoreReachable(fixture.now, true);
  fixture.Set(ObjectKind::Instances, 9, {});
  fixture.Advance(1s);
  cr_assert(fixture.HasUsableInstance("i-1") && fixture.HasUsableInstance("i-2"));
  fixture.Set(ObjectKind::Instances, 10, { { "i-1", "ready" } });
  fixture.Advance(2s);
  cr_assert(fixture.HasUsableInstance("i-1"));
  cr_assert(not fixture.HasUsableInstance("i-2"));
}

/// Guards against requests to an instance that has left: each short interruption of the store gave
/// a missing entry the whole time to be registered again, so that it was used for as long as the
/// store came and went. An entry that lapsed in outages long enough for that is kept.
Test(FleetKeeper, ShortInterruptionsOfTheStoreKeepNoRemovedInstance)
{
  struct Outages
  {
    Duration outage;
    Duration answered;
    int count;
  };
  struct Case
  {
    const char* name;
    Outages before; ///< The removal of the entry.
    Outages after;
    bool kept;
  };
  const Case cases[] = {
    { "a short one before", { 20ms, 1s, 1 }, { 20ms, 300ms, 1 }, false },
    { "short ones throughout", { 20ms, 1s, 20 }, { 20ms, 980ms, 3 }, false },
    { "a silent connection", { 1800ms, 100ms, 1 }, { 20ms, 300ms, 1 }, false },
    { "short ones after an outage", { 5s, 100ms, 1 }, { 20ms, 480ms, 5 }, false },
    { "an outage", { 5s, 100ms, 1 }, { 20ms, 1800ms, 1 }, true },
    { "outages that add up", { 2s, 300ms, 3 }, { 20ms, 1800ms, 1 }, true },
    { "an outage that goes on", { 5s, 100ms, 1 }, { 2s, 300ms, 3 }, true },
  };
  for (const Case& testCase : cases) {
    Fixture fixture;
    fixture.Set(ObjectKind::Instances, 1, { { "i-1", "ready" } });
    for (int i = 0; i < testCase.before.count; ++i)
      fixture.Interrupt(testCase.before.outage, testCase.before.answered);
    fixture.Set(ObjectKind::Instances, 2, {});
    for (int i = 0; i < testCase.after.count; ++i)
      fixture.Interrupt(testCase.after.outage, testCase.after.answered);
    cr_assert(fixture.HasUsableInstance("i-1") == testCase.kept, "%s", testCase.name);
  }
}

/// Guards against a VM that starts while the store is away, gets its state from another VM, and
/// uses an instance that has left or lapsed: that VM keeps lapsed instances for a while.
Test(FleetKeeper, StartedVmUsesNoRemovedInstances)
{
  struct Case
  {
    const char* name;
    bool storeLost; ///< The VM that passes on its state loses the store before the removal.
  };
  for (const Case& testCase : { Case{ "removed", false }, Case{ "lapsed", true } }) {
    Fixture running;
    running.Set(ObjectKind::Instances, 1, { { "i-1", "ready" }, { "i-2", "ready" } });
    running.keeper.OnStoreReachable(running.now, !testCase.storeLost);
    running.Set(ObjectKind::Instances, 2, { { "i-2", "ready" } });
    cr_assert(running.HasUsableInstance("i-1") == testCase.storeLost, "%s", testCase.name);

    Fixture started;
    started.keeper.OnStoreReachable(started.now, false);
    started.keeper.OnSnapshot(
      started.now, ObjectKind::Instances, running.keeper.Snapshot(ObjectKind::Instances));
    cr_assert(not started.HasUsableInstance("i-1"), "%s", testCase.name);
    cr_assert(started.HasUsableInstance("i-2"), "%s", testCase.name);
  }
}

/// An instance whose entry says that it drains is not used, even during a store outage.
Test(FleetKeeper, DrainingEntryIsNotKept)
{
  Fixture fixture;
  fixture.Set(ObjectKind::Instances, 1, { { "i-1", "ready" } });
  fixture.keeper.OnStoreReachable(fixture.now, false);
  fixture.Set(ObjectKind::Instances, 2, { { "i-1", "draining" } });
  cr_assert(not fixture.HasUsableInstance("i-1"));
}

/// Guards against a VM that loses contact with a working store and keeps a removed instance as if
/// its entry had lapsed, so that requests went to it 12 s later (papadakis-steno, scale-2, seed
/// 982997299998).
Test(FleetKeeper, RemovalIsBelievedWhileTheStoreAnswersOthers)
{
  Fixture fixture;
  fixture.Set(ObjectKind::Instances, 1, { { "i-1", "ready" } });
  fixture.keeper.OnStoreReachable(fixture.now, false);
  fixture.Advance(2s);
  fixture.keeper.OnPeerStoreStatus(fixture.now, true);
  fixture.Set(ObjectKind::Instances, 2, {});
  cr_assert(not fixture.HasUsableInstance("i-1"));
}

/// Guards against requests to instances that are gone from a VM that stays without the store: it
/// learnt of their removal from a VM to which the store had just returned, and kept them until its
/// own calls succeeded.
Test(FleetKeeper, LapsedEntriesEndWhenTheStoreHasReturnedForOthers)
{
  Fixture fixture;
  fixture.Set(ObjectKind::Instances, 1, { { "i-1", "ready" }, { "i-2", "ready" } });
  fixture.keeper.OnStoreReachable(fixture.now, false);
  fixture.keeper.OnPeerStoreStatus(fixture.now, false);
  fixture.Set(ObjectKind::Instances, 2, {});
  fixture.Advance(1s);
  cr_assert(fixture.HasUsableInstance("i-1") && fixture.HasUsableInstance("i-2"));
  fixture.Set(ObjectKind::Instances, 3, { { "i-2", "ready" } });
  fixture.Advance(1s);
  cr_assert(fixture.HasUsableInstance("i-1"));
  fixture.keeper.OnPeerStoreStatus(fixture.now, true);
  fixture.Advance(50ms);
  cr_assert(not fixture.HasUsableInstance("i-1"));
  cr_assert(fixture.HasUsableInstance("i-2"));
}

/// Guards against views that copy all instances, and make the dispatcher take all of them over,
/// with each change of the fleet's members: with hundreds of VMs some member changes all the time.
Test(FleetKeeper, ViewsShareTheInstancesUntilOneChanges)
{
  struct Case
  {
    const char* name;
    std::map<std::string, std::string> instances;
    bool shared;
  };
  const Case cases[] = {
    { "unchanged", { { "i-1", "ready" }, { "i-2", "ready" } }, true },
    { "changed", { { "i-1", "ready" }, { "i-2", "draining" } }, false },
    { "added", { { "i-1", "ready" }, { "i-2", "ready" }, { "i-3", "ready" } }, false },
    { "removed", { { "i-1", "ready" } }, false },
    { "replaced by an unusable object", { { "i-1", "ready" }, { "i-2", "invalid" } }, false },
  };
  for (const Case& testCase : cases) {
    Fixture fixture;
    fixture.Set(ObjectKind::Instances, 1, { { "i-1", "ready" }, { "i-2", "ready" } });
    const auto before = fixture.keeper.BuildView().instances;
    fixture.Set(ObjectKind::Evacuations, 2, { { "north-a", "" } });
    fixture.Set(ObjectKind::Instances, 3, testCase.instances);
    const auto after = fixture.keeper.BuildView().instances;
    const bool shared = before == after;
    cr_assert(shared == testCase.shared, "%s", testCase.name);
    cr_assert(before->front() == after->front(), "%s: the entry of i-1 is shared", testCase.name);
  }
}

} // namespace
