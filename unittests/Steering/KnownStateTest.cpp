#include "dragonflymoor/Steering/FleetKeeper.h"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <rapidcheck.h>

namespace {

using namespace dfm;

using Objects = std::map<std::string, std::string>;

/// Keeps every state of a store. Its content is a number for each object.
class HistoryStore
{
public:
  struct State
  {
    std::array<Objects, kObjectKindCount> objects;
    std::array<std::map<std::string, uint64_t>, kObjectKindCount> changedAt;
  };

  uint64_t Epoch() const { return epochs_.size(); }
  uint64_t Revision() const { return kFirstRevision + epochs_.back().size() - 1; }
  StoreRevision Now() const { return { Epoch(), Revision() }; }
  const State& At(const StoreRevision& aRevision) const
  {
    return epochs_[aRevision.epoch - 1][aRevision.number - kFirstRevision];
  }
  const Objects& ObjectsAt(const StoreRevision& aRevision, ObjectKind aKind) const
  {
    return At(aRevision).objects[static_cast<size_t>(aKind)];
  }
  uint64_t LastRevision(uint64_t aEpoch) const
  {
    return kFirstRevision + epochs_[aEpoch - 1].size() - 1;
  }

  void Write(ObjectKind aKind, const std::string& aName, const std::optional<std::string>& aContent)
  {
    const auto index = static_cast<size_t>(aKind);
    State state = epochs_.back().back();
    Objects& objects = state.objects[index];
    const auto found = objects.find(aName);
    if (aContent ? found != objects.end() && found->second == *aContent : found == objects.end())
      return;
    if (aContent) {
      objects[aName] = *aContent;
      state.changedAt[index][aName] = Revision() + 1;
    } else {
      objects.erase(found);
      state.changedAt[index].erase(aName);
    }
    epochs_.back().push_back(std::move(state));
  }

  /// Comes back from the copy of a revision, in a new epoch.
  void ReturnFrom(uint64_t aRevision)
  {
    const auto& last = epochs_.back();
    const auto count = static_cast<std::ptrdiff_t>(aRevision - kFirstRevision + 1);
    epochs_.emplace_back(last.begin(), last.begin() + count);
  }

  /// The pages of a list, of which the first shows the present revision and each further one shows
  /// what aBetweenPages has left.
  ObjectSet List(ObjectKind aKind,
                 bool aStatesRevisions,
                 const std::function<void()>& aBetweenPages) const
  {
    constexpr size_t kPageSize = 2;
    ObjectSet set{ .revision = Now() };
    std::string last;
    for (bool more = true; more;) {
      const State& state = epochs_.back().back();
      const Objects& objects = state.objects[static_cast<size_t>(aKind)];
      auto object = objects.upper_bound(last);
      for (size_t i = 0; i < kPageSize && object != objects.end(); ++i, ++object) {
        last = object->first;
        set.objects[last] = object->second;
        if (aStatesRevisions)
          set.changedAt[last] = state.changedAt[static_cast<size_t>(aKind)].at(last);
      }
      more = object != objects.end();
      if (more)
        aBetweenPages();
    }
    return set;
  }

  /// The answer to a watch: each change, or only the latest one of each object.
  ObjectChanges Watch(ObjectKind aKind,
                      const StoreRevision& aSince,
                      bool aStatesRevisions,
                      bool aLatestOnly) const
  {
    ObjectChanges answer{ .since = aSince, .revision = Now() };
    const auto index = static_cast<size_t>(aKind);
    for (uint64_t revision = aSince.number + 1; revision <= Revision(); ++revision) {
      const Objects& before = ObjectsAt({ Epoch(), revision - 1 }, aKind);
      const Objects& after = ObjectsAt({ Epoch(), revision }, aKind);
      std::set<std::string> names;
      for (const Objects* const objects : { &before, &after }) {
        for (const auto& [name, content] : *objects)
          names.insert(name);
      }
      for (const std::string& name : names) {
        const auto was = before.find(name);
        const auto is = after.find(name);
        const bool changed = was == before.end() || is == after.end() || was->second != is->second;
        if (!changed)
          continue;
        if (aLatestOnly)
          std::erase_if(answer.changes,
                        [&name](const ObjectChange& aChange) { return aChange.name == name; });
        ObjectChange& change = answer.changes.emplace_back(ObjectChange{ .name = name });
        if (is != after.end())
          change.content = is->second;
        if (aStatesRevisions && is != after.end())
          change.revision = At({ Epoch(), revision }).changedAt[index].at(name);
      }
    }
    return answer;
  }

private:
  static constexpr uint64_t kFirstRevision = 10;

  std::vector<std::vector<State>> epochs_{ { State{} } };
};

/// A VM that reads the store or asks another one, as FleetSync does. Answers may be delivered after
/// later ones.
class Node
{
public:
  FleetKeeper& Keeper() { return keeper_; }

  void OnList(ObjectKind aKind, const ObjectSet& aSet) { keeper_.OnSnapshot(kNow, aKind, aSet); }

  void List(
    HistoryStore& aStore,
    ObjectKind aKind,
    bool aStatesRevisions = true,
    const std::function<void()>& aBetweenPages = [] {})
  {
    OnList(aKind, aStore.List(aKind, aStatesRevisions, aBetweenPages));
  }

  void Watch(const HistoryStore& aStore,
             ObjectKind aKind,
             bool aStatesRevisions = true,
             bool aLatestOnly = false)
  {
    const StoreRevision known = keeper_.Snapshot(aKind).revision;
    keeper_.OnChanges(kNow, aKind, aStore.Watch(aKind, known, aStatesRevisions, aLatestOnly));
  }

  /// Returns the delivery of the answer that aPeer gives now.
  std::function<void()> Request(const Node& aPeer, ObjectKind aKind)
  {
    const StoreRevision known = keeper_.Snapshot(aKind).revision;
    const ObjectSet set = aPeer.keeper_.Snapshot(aKind);
    if (set.revision <= known)
      return [] {};
    const auto changes = aPeer.keeper_.ChangesSince(aKind, known);
    if (!changes)
      return
        [this, aKind, set] { OnList(aKind, { .revision = set.revision, .objects = set.objects }); };
    return [this, aKind, changes] { keeper_.OnChanges(kNow, aKind, *changes); };
  }

  void Ask(const Node& aPeer, ObjectKind aKind) { Request(aPeer, aKind)(); }

  const Objects& Known(ObjectKind aKind) const { return keeper_.Snapshot(aKind).objects; }

  /// The objects of a kind as they act on requests.
  std::set<std::string> InUse(ObjectKind aKind)
  {
    std::set<std::string> names;
    const FleetView view = keeper_.BuildView();
    if (aKind == ObjectKind::Evacuations) {
      for (const FailureDomainId& domain : view.evacuated)
        names.insert(domain.Value());
    }
    if (aKind == ObjectKind::Instances) {
      for (const auto& instance : *view.instances)
        names.insert(fmt::format("{}={}", instance->id.Value(), instance->report));
    }
    return names;
  }

private:
  static constexpr TimePoint kNow{ 100s };

  FleetKeeper keeper_{
    { .manifest = [](std::string_view aText) -> Checked<Manifest> {
       return Manifest{ .version = std::stoull(std::string(aText)) };
     },
      .instance =
        [](const std::string& aName, std::string_view aText, TimePoint) -> Checked<Instance> {
        return Instance{ .id = BackendId(aName), .report = std::stoull(std::string(aText)) };
      } },
    { .manifestChanged = [](const Manifest&) {},
      .objectRejected = [](const Findings&) {},
      .instanceChanged = [](const Instance&, std::string_view) {} }
  };
};

/// The changes of one object, "z", of which a VM sees the second page of a list.
struct ChangeCase
{
  const char* name;
  std::optional<std::string> before;
  std::optional<std::string> after;
};

const ChangeCase kChanges[] = {
  { "changed", "1", "2" },
  { "new", std::nullopt, "2" },
  { "removed", "1", std::nullopt },
};

/// How a VM learns of the revision after those changes.
enum class Way
{
  Watch,
  List,
  Peer,
};

constexpr Way kWays[] = { Way::Watch, Way::List, Way::Peer };

void
Learn(Node& aNode, HistoryStore& aStore, ObjectKind aKind, Way aWay, bool aStatesRevisions)
{
  Node peer;
  switch (aWay) {
    case Way::Watch:
      aNode.Watch(aStore, aKind, aStatesRevisions, true);
      break;
    case Way::List:
      aNode.List(aStore, aKind, aStatesRevisions);
      break;
    case Way::Peer:
      peer.List(aStore, aKind, aStatesRevisions);
      aNode.Ask(peer, aKind);
      break;
  }
}

/// Calls aCheck for each kind of objects, change, way to learn of it, and whether the store states
/// the revisions of objects.
void
ForEachCase(const std::function<void(ObjectKind, const ChangeCase&, Way, bool)>& aCheck)
{
  for (size_t kind = 0; kind < kObjectKindCount; ++kind) {
    for (const ChangeCase& change : kChanges) {
      for (const Way way : kWays) {
        for (const bool statesRevisions : { true, false })
          aCheck(static_cast<ObjectKind>(kind), change, way, statesRevisions);
      }
    }
  }
}

/// A VM that reads the store, one that asks it, and a store that holds "z" as before a change.
struct ChangeFixture
{
  ChangeFixture(ObjectKind aKind, const ChangeCase& aChange, bool aStatesRevisions)
    : kind(aKind)
  {
    for (const char* const name : { "a", "b", "c" })
      store.Write(kind, name, "1");
    store.Write(kind, "z", aChange.before);
    follower.List(store, kind, aStatesRevisions);
  }

  /// Fails unless the VM that asks comes to know what the store holds.
  void Check(const ChangeCase& aChange, Way aWay)
  {
    other.Ask(follower, kind);
    cr_assert(other.Known(kind) == store.ObjectsAt(store.Now(), kind),
              "%s, %s, way %d",
              std::string(ToString(kind)).c_str(),
              aChange.name,
              static_cast<int>(aWay));
  }

  ObjectKind kind;
  HistoryStore store;
  Node follower;
  Node other;
};

/// Guards against VMs that never learn of a change that another VM has from a later page of a list.
Test(KnownState, ChangeOnALaterPageReachesOtherVms)
{
  ForEachCase([](ObjectKind aKind, const ChangeCase& aChange, Way aWay, bool aStatesRevisions) {
    ChangeFixture fixture(aKind, aChange, aStatesRevisions);
    fixture.other.Ask(fixture.follower, aKind);
    fixture.follower.List(fixture.store, aKind, aStatesRevisions, [&fixture, aKind, &aChange] {
      fixture.store.Write(aKind, "z", aChange.after);
    });
    fixture.other.Ask(fixture.follower, aKind);
    Learn(fixture.follower, fixture.store, aKind, aWay, aStatesRevisions);
    fixture.Check(aChange, aWay);
  });
}

/// Guards against VMs that keep a change which was taken back before the VM that they ask saw it.
Test(KnownState, ChangeThatWasTakenBackReachesOtherVms)
{
  ForEachCase([](ObjectKind aKind, const ChangeCase& aChange, Way aWay, bool aStatesRevisions) {
    ChangeFixture fixture(aKind, aChange, aStatesRevisions);
    fixture.store.Write(aKind, "z", aChange.after);
    fixture.other.List(fixture.store, aKind, aStatesRevisions);
    fixture.store.Write(aKind, "z", aChange.before);
    Learn(fixture.follower, fixture.store, aKind, aWay, aStatesRevisions);
    fixture.Check(aChange, aWay);
  });
}

/// Guards against a list after which the state of all objects is sent to all VMs.
Test(KnownState, ListThatShowsOneChangeIsNotSentWhole)
{
  HistoryStore store;
  for (int i = 0; i < 10; ++i)
    store.Write(ObjectKind::Instances, fmt::format("i-{}", i), "1");
  Node follower;
  follower.List(store, ObjectKind::Instances);
  const StoreRevision known = store.Now();
  store.Write(ObjectKind::Instances, "i-3", "2");
  store.Write(ObjectKind::Instances, "i-4", std::nullopt);
  follower.List(store, ObjectKind::Instances);
  const auto changes = follower.Keeper().ChangesSince(ObjectKind::Instances, known);
  cr_assert(changes && changes->changes.size() == 1 && changes->changes.front().name == "i-3");
  cr_assert(changes->names && changes->names->size() == 9 && !changes->names->contains("i-4"));
}

/// Guards against VMs that do not get the reports of instances which raise no revision.
Test(KnownState, ContentThatDiffersWithoutARevisionIsPassedOn)
{
  Node follower;
  const auto list = [&follower](uint64_t aRevision, const std::string& aContent) {
    follower.OnList(ObjectKind::Instances,
                    { .revision = { .epoch = 1, .number = aRevision },
                      .objects = { { "a", "1" }, { "b", "1" }, { "i", aContent } },
                      .changedAt = { { "a", 10 }, { "b", 10 }, { "i", 10 } } });
  };
  list(20, "1");
  list(30, "2");
  const auto changes =
    follower.Keeper().ChangesSince(ObjectKind::Instances, { .epoch = 1, .number = 20 });
  cr_assert(changes && changes->changes.size() == 1 && changes->changes.front().content == "2");
}

/// A store, VMs that read it or ask each other, and answers that are under way.
class World
{
public:
  static constexpr size_t kVms = 4;
  static constexpr size_t kNames = 7;
  static constexpr size_t kContents = 3;

  explicit World(bool aStatesRevisions)
    : statesRevisions_(aStatesRevisions)
  {
    for (auto& node : nodes_)
      node = std::make_unique<Node>();
  }

  void Write(ObjectKind aKind, size_t aName, size_t aContent)
  {
    const bool removes = aContent == 0;
    store_.Write(aKind,
                 fmt::format("n-{}", aName % kNames),
                 removes ? std::nullopt : std::optional(std::to_string(aContent % kContents + 1)));
  }

  /// aBetween decides what is written between two pages.
  void List(size_t aVm, ObjectKind aKind, size_t aBetween)
  {
    size_t seed = aBetween;
    const ObjectSet set = store_.List(aKind, statesRevisions_, [this, aKind, &seed] {
      for (; seed % 4 != 0; seed /= 4)
        Write(aKind, seed / 4, seed / 16 % (kContents + 1));
      seed /= 4;
    });
    Deliver(aVm, [this, aVm, aKind, set] {
      nodes_[aVm]->Keeper().OnStoreEpoch(TimePoint{ 100s }, set.revision.epoch);
      nodes_[aVm]->OnList(aKind, set);
    });
  }

  void Watch(size_t aVm, ObjectKind aKind, bool aLatestOnly)
  {
    const StoreRevision known = nodes_[aVm]->Keeper().Snapshot(aKind).revision;
    if (known.epoch != store_.Epoch() || known.number == 0) {
      List(aVm, aKind, 0);
      return;
    }
    const ObjectChanges answer = store_.Watch(aKind, known, statesRevisions_, aLatestOnly);
    Deliver(aVm, [this, aVm, aKind, answer] {
      nodes_[aVm]->Keeper().OnChanges(TimePoint{ 100s }, aKind, answer);
    });
  }

  void Ask(size_t aVm, size_t aPeer, ObjectKind aKind)
  {
    if (const auto epoch = nodes_[aPeer]->Keeper().Epoch())
      nodes_[aVm]->Keeper().OnStoreEpoch(TimePoint{ 100s }, *epoch);
    Deliver(aVm, nodes_[aVm]->Request(*nodes_[aPeer], aKind));
  }

  /// Answers of this VM are held back until Release.
  void Hold(size_t aVm) { isHeld_[aVm] = true; }
  void Release(size_t aVm)
  {
    isHeld_[aVm] = false;
    for (const auto& answer : std::exchange(held_[aVm], {}))
      answer();
  }

  void Restart(size_t aVm)
  {
    held_[aVm].clear();
    isHeld_[aVm] = false;
    nodes_[aVm] = std::make_unique<Node>();
  }

  void ReturnFrom(size_t aAge)
  {
    const uint64_t revision = store_.Revision();
    store_.ReturnFrom(revision - std::min<uint64_t>(aAge % 8, revision - 10));
    hasReturned_ = true;
  }

  /// Each object is known in its state at the stated revision or at a later one.
  void CheckKnownStates()
  {
    for (size_t vm = 0; vm < kVms; ++vm) {
      for (size_t kind = 0; kind < kObjectKindCount; ++kind)
        CheckKnownState(vm, static_cast<ObjectKind>(kind));
    }
  }

  /// VMs that ask one which has read the store know what it holds.
  void CheckConvergence()
  {
    for (size_t vm = 0; vm < kVms; ++vm)
      Release(vm);
    for (size_t kind = 0; kind < kObjectKindCount; ++kind) {
      Watch(0, static_cast<ObjectKind>(kind), false);
      for (size_t vm = 1; vm < kVms; ++vm)
        Ask(vm, vm - 1, static_cast<ObjectKind>(kind));
      for (size_t vm = 0; vm < kVms; ++vm)
        RC_ASSERT(nodes_[vm]->Known(static_cast<ObjectKind>(kind)) ==
                  store_.ObjectsAt(store_.Now(), static_cast<ObjectKind>(kind)));
    }
  }

private:
  void Deliver(size_t aVm, std::function<void()> aAnswer)
  {
    if (isHeld_[aVm])
      held_[aVm].push_back(std::move(aAnswer));
    else
      aAnswer();
  }

  void CheckKnownState(size_t aVm, ObjectKind aKind)
  {
    const ObjectSet& known = nodes_[aVm]->Keeper().Snapshot(aKind);
    if (known.revision.number == 0)
      return;
    const uint64_t last = store_.LastRevision(known.revision.epoch);
    for (size_t i = 0; i < kNames; ++i) {
      const std::string name = fmt::format("n-{}", i);
      const auto find = [&name](const Objects& aObjects) {
        const auto object = aObjects.find(name);
        return object == aObjects.end() ? std::nullopt : std::optional(object->second);
      };
      bool isFound = false;
      for (uint64_t number = known.revision.number; number <= last && !isFound; ++number) {
        const StoreRevision revision{ known.revision.epoch, number };
        isFound = find(store_.ObjectsAt(revision, aKind)) == find(known.objects);
      }
      RC_ASSERT(isFound);
    }
    // After a return what was known before may act beside the copy.
    if (hasReturned_ || aKind == ObjectKind::Manifest)
      return;
    std::set<std::string> expected;
    for (const auto& [name, content] : known.objects)
      expected.insert(aKind == ObjectKind::Evacuations ? name
                                                       : fmt::format("{}={}", name, content));
    RC_ASSERT(nodes_[aVm]->InUse(aKind) == expected);
  }

  bool statesRevisions_;
  bool hasReturned_ = false;
  HistoryStore store_;
  std::array<std::unique_ptr<Node>, kVms> nodes_;
  std::array<bool, kVms> isHeld_{};
  std::array<std::vector<std::function<void()>>, kVms> held_;
};

/// Guards against any order of changes, lists, watches, answers of VMs, restarts and returns after
/// which a VM states a revision whose changes it does not know.
Test(KnownState, KnownObjectsAreAsNewAsTheStatedRevision)
{
  constexpr size_t kSteps = 120;
  const bool holds = rc::check("lists, watches, answers of VMs, restarts and returns", [] {
    const bool statesRevisions = *rc::gen::arbitrary<bool>();
    const bool mayReturn = *rc::gen::arbitrary<bool>();
    World world(statesRevisions);
    // The generators of numbers prefer small ones unless the size is the largest.
    const auto step =
      rc::gen::pair(rc::gen::inRange<unsigned>(0, 16), rc::gen::inRange<size_t>(0, 1U << 20));
    const auto steps = *rc::gen::resize(
      rc::kNominalSize, rc::gen::container<std::vector<std::pair<unsigned, size_t>>>(kSteps, step));
    for (const auto& [action, argument] : steps) {
      const auto kind = static_cast<ObjectKind>(argument % kObjectKindCount);
      const size_t rest = argument / kObjectKindCount;
      const size_t vm = rest % World::kVms;
      const size_t more = rest / World::kVms;
      switch (action) {
        case 0:
          world.Restart(vm);
          break;
        case 1:
          if (mayReturn)
            world.ReturnFrom(more);
          break;
        case 2:
          world.Hold(vm);
          break;
        case 3:
          world.Release(vm);
          break;
        case 4:
        case 5:
          world.List(vm, kind, more);
          break;
        case 6:
        case 7:
        case 8:
          world.Watch(vm, kind, more % 2 == 0);
          break;
        case 9:
        case 10:
        case 11:
          world.Ask(vm, more % World::kVms, kind);
          break;
        default:
          world.Write(kind, rest, more % (World::kContents + 1));
          break;
      }
      world.CheckKnownStates();
    }
    world.CheckConvergence();
  });
  cr_assert(holds);
}

} // namespace
