#include "dragonflymoor/Steering/FleetKeeper.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>

namespace {

using namespace dfm;

/// A keeper whose objects are "version" for the manifest and "service [draining]" for instances.
struct Fixture
{
  TimePoint now{ 100s };
  std::vector<uint64_t> versions;
  unsigned rejections = 0;
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
        return Instance{ .id = BackendId(aName), .draining = aText == "draining" };
      } },
    { .manifestChanged =
        [this](const Manifest& aManifest) { versions.push_back(aManifest.version); },
      .objectRejected = [this](const Findings&) { ++rejections; },
      .instanceChanged = [](const Instance&, std::string_view) {} }
  };

  void Set(ObjectKind aKind, uint64_t aRevision, std::map<std::string, std::string> aObjects)
  {
    keeper.OnSnapshot(now, aKind, { .revision = aRevision, .objects = std::move(aObjects) });
  }
  bool Holds(const std::string& aInstance) const
  {
    const FleetView view = keeper.BuildView();
    return std::any_of(view.instances.begin(), view.instances.end(), [&](const Instance& aIt) {
      return aIt.id.Value() == aInstance && !aIt.draining;
    });
  }
  void Advance(Duration aDuration)
  {
    now += aDuration;
    keeper.OnTick(now);
  }
};

struct ManifestCase
{
  const char* first;
  const char* second;
  uint64_t inForce;
  unsigned rejections;
};

/// A manifest in force was replaced by an older or invalid one that another VM or a stale list
/// brought later.
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

/// A set that was read before the changes of a watch must not undo them.
Test(FleetKeeper, OlderRevisionIsIgnored)
{
  Fixture fixture;
  fixture.Set(ObjectKind::Instances, 5, { { "i-1", "ready" } });
  fixture.Set(ObjectKind::Instances, 4, {});
  cr_assert(fixture.Holds("i-1"));
}

/// An entry of another writer that cannot be read names no instance, and the others hold.
Test(FleetKeeper, InvalidEntryNamesNoInstance)
{
  Fixture fixture;
  fixture.Set(ObjectKind::Instances, 1, { { "i-1", "ready" }, { "i-2", "invalid" } });
  cr_assert(fixture.Holds("i-1"));
  cr_assert(not fixture.Holds("i-2"));
  fixture.Set(ObjectKind::Instances, 2, { { "i-1", "invalid" }, { "i-2", "ready" } });
  cr_assert(not fixture.Holds("i-1"));
  cr_assert(fixture.Holds("i-2"));
}

/// When entries lapse during an outage of the store, all instances would be lost until they
/// register again.
Test(FleetKeeper, LapsedEntriesAreKeptUntilTheyCouldComeBack)
{
  Fixture fixture;
  fixture.Set(ObjectKind::Instances, 1, { { "i-1", "ready" }, { "i-2", "ready" } });
  fixture.keeper.OnStoreReachable(fixture.now, false);
  fixture.Advance(10s);
  fixture.keeper.OnStoreReachable(fixture.now, true);
  fixture.Set(ObjectKind::Instances, 9, {});
  fixture.Advance(1s);
  cr_assert(fixture.Holds("i-1") && fixture.Holds("i-2"));
  fixture.Set(ObjectKind::Instances, 10, { { "i-1", "ready" } });
  fixture.Advance(2s);
  cr_assert(fixture.Holds("i-1"));
  cr_assert(not fixture.Holds("i-2"));
}

/// An instance that says that it leaves is not kept, whatever the store does.
Test(FleetKeeper, DrainingEntryIsNotKept)
{
  Fixture fixture;
  fixture.Set(ObjectKind::Instances, 1, { { "i-1", "ready" } });
  fixture.keeper.OnStoreReachable(fixture.now, false);
  fixture.Set(ObjectKind::Instances, 2, { { "i-1", "draining" } });
  cr_assert(not fixture.Holds("i-1"));
}

/// A VM that was cut off from a working store kept an instance that had left as if its entry had
/// lapsed, and sent requests to it 12 s later (papadakis-steno, scale-2, seed 982997299998).
Test(FleetKeeper, RemovalIsBelievedWhileTheStoreAnswersOthers)
{
  Fixture fixture;
  fixture.Set(ObjectKind::Instances, 1, { { "i-1", "ready" } });
  fixture.keeper.OnStoreReachable(fixture.now, false);
  fixture.Advance(2s);
  fixture.keeper.OnPeerStoreStatus(fixture.now, true);
  fixture.Set(ObjectKind::Instances, 2, {});
  cr_assert(not fixture.Holds("i-1"));
}

} // namespace
