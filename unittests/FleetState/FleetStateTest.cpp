#include "../StoreReturn/ProcessFleet.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <criterion/parameterized.h>
#include <csignal>
#include <fmt/format.h>
#include <mutex>
#include <numeric>
#include <random>
#include <set>
#include <sstream>

namespace {

using namespace dfm;
using namespace dfm::test;

using Names = std::set<std::string>;

/// Changes must be in force this long after the store has confirmed them.
constexpr Duration kInForce = 2500ms;

/// Time after a disturbance of the store or of a VM until the VM is in order again.
constexpr Duration kSettleTime = 3s;

/// Time in which the VMs learn of each other and agree which one reads the store.
constexpr Duration kMembershipTime = 6s;

constexpr const char* kOtherDomain = "north-b";

/// VMs of one region as processes, and instances in two failure domains. Knows which instances are
/// to be used.
class StateFleet
{
public:
  static constexpr size_t kInstances = 6;
  static constexpr size_t kVms = 3;

  StateFleet()
    : fleet_(store_.Address(), { "north-a", "north-a", kOtherDomain })
  {
    store_.Put("config", "main", ManifestSpec(1, { { .service = "reader" } }));
    // More evacuations than one page of a list holds, before that of kOtherDomain.
    for (const char* const domain : { "east-a", "east-b", "east-c" })
      store_.Put("evacuations", domain, json::object{});
    for (size_t i = 0; i < kInstances; ++i) {
      instances_.push_back(std::make_unique<StandInInstance>(NameOf(i)));
      instances_.back()->SetBehaviour(
        [this, i](const Request& aRequest) { return instances_[i]->SuccessReaction(aRequest); });
    }
  }

  ~StateFleet()
  {
    for (size_t vm = 0; vm < kVms; ++vm) {
      if (fleet_.IsRunning(vm))
        fleet_.End(vm, SIGKILL);
    }
  }

  StandInStore& Store() { return store_; }

  void StartVms()
  {
    for (size_t vm = 0; vm < kVms; ++vm)
      fleet_.Start(vm);
    cr_assert(GatewayFixture::WaitUntil([this] {
      bool ready = true;
      for (size_t vm = 0; vm < kVms; ++vm)
        ready = ready && fleet_.IsReady(vm);
      return ready;
    }));
    std::this_thread::sleep_for(kMembershipTime);
  }

  void RestartVm(size_t aVm)
  {
    fleet_.End(aVm, SIGKILL);
    fleet_.Start(aVm);
  }

  void Report(size_t aInstance, const std::string& aState)
  {
    json::value spec = InstanceSpec(*instances_[aInstance], "reader", aState);
    const bool isNew = !states_.contains(aInstance);
    runs_[aInstance] += isNew ? 1 : 0;
    spec.at("born") = 1'000 * runs_[aInstance];
    spec.at("status").as_object()["seq"] = ++reports_;
    if (IsInOtherDomain(aInstance))
      spec.at("info").as_object()["zone"] = kOtherDomain;
    store_.Put("servers", NameOf(aInstance), spec);
    states_[aInstance] = aState;
  }

  void Remove(size_t aInstance)
  {
    store_.Delete("servers", NameOf(aInstance));
    states_.erase(aInstance);
  }

  void Evacuate(bool aEvacuated)
  {
    if (aEvacuated == evacuated_)
      return;
    if (aEvacuated)
      store_.Put("evacuations", kOtherDomain, json::object{});
    else
      store_.Delete("evacuations", kOtherDomain);
    evacuated_ = aEvacuated;
  }

  /// Runs aChange after the first page of the next list of aKind, of which the store's cut of the
  /// waiting watches is the cause. Returns whether there was such a list.
  bool ChangeBetweenPages(const std::string& aKind, const std::function<void()>& aChange)
  {
    std::atomic<bool> done = false;
    store_.AfterFirstPage(aKind, [this, &aChange, &done] {
      store_.CutWatchesAfter({});
      aChange();
      done = true;
    });
    store_.CutWatchesAfter(20ms);
    const bool listed = GatewayFixture::WaitUntil([&done] { return done.load(); });
    if (!listed)
      store_.AfterFirstPage(aKind, {});
    return listed;
  }

  /// The instances that are to be used.
  Names Expected() const
  {
    Names names;
    for (const auto& [instance, state] : states_) {
      if (state == "ready" && !(evacuated_ && IsInOtherDomain(instance)))
        names.insert(NameOf(instance));
    }
    return names;
  }

  /// The instances that answer requests for many objects at a VM.
  Names ServingInstances(size_t aVm)
  {
    constexpr int kKeys = 48;
    Names names;
    for (int key = 0; key < kKeys; ++key) {
      Request request(http::verb::get, "/read/1", 11);
      request.set(http::field::host, "shop.example");
      request.set("X-Request-Id", fmt::format("id-{}", ++requests_));
      request.set("X-Affinity-Key", std::to_string(key));
      request.set("X-Deadline-Ms", "5000");
      const auto answer = fleet_.SendTo(aVm, request);
      if (answer && answer->result() == http::status::ok)
        names.insert(answer->body().substr(answer->body().rfind(' ') + 1));
    }
    return names;
  }

  /// The instances that a VM has logged as ready since its last start.
  Names KnownAsReady(size_t aVm) const
  {
    Names names;
    std::istringstream lines(fleet_.LogOf(aVm));
    const auto valueOf = [](const std::string& aLine, const std::string& aKey) {
      const size_t at = aLine.find(" " + aKey + "=") + aKey.size() + 2;
      return aLine.substr(at, aLine.find(' ', at) - at);
    };
    for (std::string line; std::getline(lines, line);) {
      if (line.find(" message=starts ") != std::string::npos)
        names.clear();
      if (line.find("message=\"instance changed\"") == std::string::npos)
        continue;
      if (valueOf(line, "change") == "registered")
        names.insert(valueOf(line, "instance"));
      else
        names.erase(valueOf(line, "instance"));
    }
    return names;
  }

  /// Fails if a VM uses an instance that is not to be used, does not come to use all others of its
  /// failure domain, which it prefers, or does not know the others as ready.
  void Check(const std::string& aName)
  {
    const Names expected = Expected();
    Names ready;
    for (const auto& [instance, state] : states_) {
      if (state == "ready")
        ready.insert(NameOf(instance));
    }
    for (size_t vm = 0; vm < kVms; ++vm) {
      cr_assert(GatewayFixture::WaitUntil([&] { return KnownAsReady(vm) == ready; }),
                "%s: vm-%zu knows %zu of %zu instances as ready",
                aName.c_str(),
                vm,
                KnownAsReady(vm).size(),
                ready.size());
      for (const std::string& instance : ServingInstances(vm))
        cr_assert(
          expected.contains(instance), "%s: vm-%zu uses %s", aName.c_str(), vm, instance.c_str());
      Names serving;
      const bool usesAll = GatewayFixture::WaitUntil([this, vm, &expected, &serving] {
        serving.merge(ServingInstances(vm));
        return std::all_of(expected.begin(), expected.end(), [&](const std::string& aInstance) {
          return serving.contains(aInstance) || IsInOtherDomain(aInstance) != (vm == kVms - 1);
        });
      });
      cr_assert(usesAll,
                "%s: vm-%zu uses %zu of %zu instances",
                aName.c_str(),
                vm,
                serving.size(),
                expected.size());
    }
  }

private:
  static std::string NameOf(size_t aInstance) { return fmt::format("i-{}", aInstance); }
  static bool IsInOtherDomain(size_t aInstance) { return aInstance % 2 == 1; }
  static bool IsInOtherDomain(const std::string& aName) { return (aName.back() - '0') % 2 == 1; }

  StandInStore store_;
  std::vector<std::unique_ptr<StandInInstance>> instances_;
  ProcessFleet fleet_;
  std::map<size_t, std::string> states_;
  std::map<size_t, uint64_t> runs_;
  uint64_t reports_ = 0;
  bool evacuated_ = false;
  unsigned requests_ = 0;
};

struct ChangeCase
{
  const char* name;
  const char* kind;
  std::function<void(StateFleet&)> prepare;
  std::function<void(StateFleet&)> change;
};

constexpr size_t kLast = StateFleet::kInstances - 1;

const ChangeCase kChanges[] = {
  { "instance drains",
    "servers",
    [](StateFleet& aFleet) { aFleet.Report(kLast, "ready"); },
    [](StateFleet& aFleet) { aFleet.Report(kLast, "draining"); } },
  { "instance is removed",
    "servers",
    [](StateFleet& aFleet) { aFleet.Report(kLast, "ready"); },
    [](StateFleet& aFleet) { aFleet.Remove(kLast); } },
  { "instance is added",
    "servers",
    [](StateFleet&) {},
    [](StateFleet& aFleet) { aFleet.Report(kLast, "ready"); } },
  { "evacuation begins",
    "evacuations",
    [](StateFleet& aFleet) { aFleet.Report(kLast, "ready"); },
    [](StateFleet& aFleet) { aFleet.Evacuate(true); } },
  { "evacuation ends",
    "evacuations",
    [](StateFleet& aFleet) {
      aFleet.Report(kLast, "ready");
      aFleet.Evacuate(true);
    },
    [](StateFleet& aFleet) { aFleet.Evacuate(false); } },
};

/// Random changes, between the pages of a list or not, beside cuts of watches, a history that is
/// gone, short outages, and VMs that are killed and started. After each few of them the VMs use
/// what the store holds.
void
RunSoak(uint64_t aSeed)
{
  constexpr size_t kRounds = 3;
  constexpr size_t kSteps = 8;
  std::mt19937_64 random(aSeed);
  const auto below = [&random](size_t aLimit) { return random() % aLimit; };
  StateFleet fleet;
  for (size_t i = 0; i < StateFleet::kInstances; ++i)
    fleet.Report(i, "ready");
  fleet.StartVms();
  bool evacuated = false;
  for (size_t round = 0; round < kRounds; ++round) {
    for (size_t step = 0; step < kSteps; ++step) {
      const size_t instance = 1 + below(StateFleet::kInstances - 1);
      const size_t action = below(8);
      const std::function<void()> change = [&fleet, &evacuated, instance, action] {
        if (action < 2)
          fleet.Report(instance, "draining");
        else if (action < 4)
          fleet.Remove(instance);
        else if (action < 6)
          fleet.Report(instance, "ready");
        else
          fleet.Evacuate(evacuated = !evacuated);
      };
      switch (below(6)) {
        case 0:
          fleet.Store().DropHistory();
          change();
          break;
        case 1:
          fleet.Store().GoAway();
          std::this_thread::sleep_for(Duration(50ms) * below(10));
          fleet.Store().Return({});
          change();
          break;
        case 2:
          fleet.RestartVm(below(StateFleet::kVms));
          change();
          break;
        case 3:
          change();
          break;
        default:
          fleet.ChangeBetweenPages(action < 6 ? "servers" : "evacuations", change);
          break;
      }
      std::this_thread::sleep_for(Duration(50ms) * below(20));
    }
    std::this_thread::sleep_for(kInForce + kSettleTime);
    fleet.Check(fmt::format("seed {}, round {}", aSeed, round));
  }
}

} // namespace

ParameterizedTestParameters(FleetStateProcesses, ChangeBetweenPagesReachesAllVms)
{
  // The cases are looked up by their numbers, as each test runs in a process of its own.
  static size_t numbers[std::size(kChanges)];
  std::iota(std::begin(numbers), std::end(numbers), 0);
  return cr_make_param_array(size_t, numbers, std::size(numbers));
}

/// Guards against VMs that never learn of a change which the VM that reads the store for them has
/// seen on a later page of a list.
ParameterizedTest(size_t* aNumber, FleetStateProcesses, ChangeBetweenPagesReachesAllVms)
{
  const ChangeCase& testCase = kChanges[*aNumber];
  StateFleet fleet;
  for (size_t i = 0; i < kLast; ++i)
    fleet.Report(i, "ready");
  testCase.prepare(fleet);
  fleet.StartVms();
  cr_assert(fleet.ChangeBetweenPages(testCase.kind, [&] { testCase.change(fleet); }));
  std::this_thread::sleep_for(kInForce + kSettleTime);
  fleet.Check(testCase.name);
}

/// A soak, seeded by DFM_SOAK_SEED, of DFM_SOAK_PLAYS plays.
Test(FleetStateProcesses, Soak)
{
  const uint64_t first = EnvironmentNumber("DFM_SOAK_SEED", 1);
  const uint64_t plays = EnvironmentNumber("DFM_SOAK_PLAYS", 1);
  for (uint64_t seed = first; seed < first + plays; ++seed)
    RunSoak(seed);
}
