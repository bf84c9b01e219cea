#include "dragonflymoor/Gateway/Identity.h"
#include "dragonflymoor/Steering/FleetKeeper.h"
#include "platform/Objects.h"

#include <boost/json.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <cstdlib>
#include <fmt/format.h>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace {

using namespace dfm;
namespace json = boost::json;

const std::vector<std::string> kHosts{ "a.example", "b.example" };
const std::vector<std::string> kPaths{ "/x", "/shop/x", "/shop/orders/x" };
const std::vector<std::string> kPrefixes{ "/", "/shop/", "/shop/orders/" };
const std::vector<std::string> kKeys{ "k1", "k2", "never-held" };
const std::vector<std::string> kRegions{ "north", "south" };
const std::vector<std::string> kServices{ "s1", "s2" };

/// Reproduces a run of CI; RC_PARAMS in the environment goes before it.
void
UseFixedSeed()
{
  setenv("RC_PARAMS", "seed=20261209 max_success=300", 0);
}

template<typename T>
T
Any(const std::vector<T>& aValues)
{
  return *rc::gen::elementOf(aValues);
}

bool
Happens(int aPercent)
{
  return *rc::gen::inRange(0, 100) < aPercent;
}

json::array
AnyHomes()
{
  return Happens(70) ? json::array{} : json::array{ Any(kRegions).c_str() };
}

/// A manifest without a fault.
json::object
AnyManifest(uint64_t aVersion)
{
  json::array routes;
  for (const std::string& host : kHosts) {
    for (const std::string& prefix : kPrefixes) {
      if (Happens(30))
        continue;
      routes.push_back(json::object{ { "name", host + prefix },
                                     { "host", host },
                                     { "path_prefix", prefix },
                                     { "route_type", "idempotent" },
                                     { "timeout_s", 2 },
                                     { "attempts", *rc::gen::inRange(1, 4) },
                                     { "backend", Any(kServices) },
                                     { "public", Happens(30) },
                                     { "home_regions", AnyHomes() } });
    }
  }
  json::array services;
  for (const std::string& service : kServices)
    services.push_back(json::object{ { "name", service }, { "health_path", "/healthz" } });
  json::object spec{ { "version", fmt::format("{:08x}", aVersion) },
                     { "routes", routes },
                     { "services", services },
                     { "limits",
                       json::object{ { "max_header_bytes", *rc::gen::inRange(1, 30'000) },
                                     { "max_body_bytes", *rc::gen::inRange(0, 100) * 1'000'000 },
                                     { "header_timeout_s", *rc::gen::inRange(1, 9) },
                                     { "idle_timeout_s", *rc::gen::inRange(1, 30) } } } };
  if (Happens(20))
    return spec;
  json::array tenants;
  for (int i = 1; i <= 2; ++i) {
    if (Happens(60))
      tenants.push_back(json::object{ { "name", fmt::format("w{}", i) },
                                      { "api_keys", json::array{ fmt::format("k{}", i).c_str() } },
                                      { "rate_per_s", *rc::gen::inRange(0, 3) },
                                      { "burst", 1 },
                                      { "home_regions", AnyHomes() } });
  }
  spec["tenants"] = tenants;
  return spec;
}

/// Replaces one value of the manifest by another form, or removes it.
void
Damage(json::object& aSpec)
{
  static const std::vector<std::string> kForms{ "",      "null", "\"\"",   "[]",   "{}", "-1",
                                                "\"x\"", "[7]",  "[\"\"]", "true", "0",  "1e300" };
  json::object* object = &aSpec;
  const auto field = [&object] {
    std::vector<std::string> names;
    for (const auto& [name, value] : *object)
      names.emplace_back(name);
    return Any(names);
  };
  std::string name = field();
  while (Happens(80)) {
    json::value& value = (*object)[name];
    json::array* array = value.if_array();
    json::value* inner = array == nullptr || array->empty()
                           ? &value
                           : &(*array)[*rc::gen::inRange<size_t>(0, array->size())];
    if (!inner->is_object() || inner->get_object().empty())
      break;
    object = &inner->get_object();
    name = field();
  }
  const std::string form = Any(kForms);
  if (form.empty())
    object->erase(name);
  else
    (*object)[name] = json::parse(form);
}

/// What the pages say of one version, read from its text alone. Whatever is not stated validly
/// allows nothing.
class Oracle
{
public:
  explicit Oracle(const json::object& aSpec)
    : spec_(aSpec)
  {
  }

  /// The route of a request, or null without one that is surely its route and valid.
  const json::object* RouteOf(const std::string& aHost, const std::string& aPath) const
  {
    const json::object* best = nullptr;
    size_t bestLength = 0;
    std::vector<const json::object*> unclear;
    for (const json::value& item : Items(spec_, "routes")) {
      if (!item.is_object())
        return nullptr;
      const json::object& route = item.get_object();
      const std::string prefix = Text(route, "path_prefix");
      const bool hostIsClear = !Text(route, "host").empty();
      const bool prefixIsClear = !prefix.empty() && prefix.front() == '/';
      if (hostIsClear && Text(route, "host") != aHost)
        continue;
      if (prefixIsClear && !aPath.starts_with(prefix))
        continue;
      if (!hostIsClear || !prefixIsClear)
        unclear.push_back(&route);
      else if (best == nullptr || prefix.size() > bestLength) {
        best = &route;
        bestLength = prefix.size();
      }
    }
    for (const json::object* route : unclear) {
      const std::string prefix = Text(*route, "path_prefix");
      if (prefix.empty() || prefix.front() != '/' || prefix.size() >= bestLength)
        return nullptr;
    }
    return best != nullptr && IsValidRoute(*best) ? best : nullptr;
  }

  bool NeedsKey(const json::object& aRoute) const
  {
    const json::value* isPublic = aRoute.if_contains("public");
    const bool opened = isPublic != nullptr && isPublic->is_bool() && isPublic->get_bool();
    return spec_.contains("tenants") && !opened;
  }

  /// The valid workspace that holds the key alone, or null.
  const json::object* WorkspaceOf(const std::string& aKey) const
  {
    std::vector<const json::object*> holders;
    for (const json::value& item : Items(spec_, "tenants")) {
      const json::object* workspace = item.if_object();
      if (workspace == nullptr)
        continue;
      for (const json::value& key : Items(*workspace, "api_keys")) {
        if (key.is_string() && key.get_string() == aKey) {
          holders.push_back(workspace);
          break;
        }
      }
    }
    return holders.size() == 1 && IsValidWorkspace(*holders[0]) ? holders[0] : nullptr;
  }

  static bool IsHome(const json::object* aPart, const std::string& aRegion)
  {
    if (aPart == nullptr || Items(*aPart, "home_regions").empty())
      return true;
    const json::array& homes = Items(*aPart, "home_regions");
    return std::find(homes.begin(), homes.end(), json::value(aRegion)) != homes.end();
  }

  /// The number at aField when it is one from aMin to aMax.
  static std::optional<double> Number(const json::object& aObject,
                                      std::string_view aField,
                                      double aMin,
                                      double aMax)
  {
    const json::value* value = aObject.if_contains(aField);
    if (value == nullptr || !value->is_number())
      return std::nullopt;
    const double number = value->to_number<double>();
    return number >= aMin && number <= aMax ? std::optional(number) : std::nullopt;
  }

  const json::object* Limits() const
  {
    const json::value* limits = spec_.if_contains("limits");
    return limits == nullptr ? nullptr : limits->if_object();
  }

  static std::string Text(const json::object& aObject, std::string_view aField)
  {
    const json::value* value = aObject.if_contains(aField);
    return value != nullptr && value->is_string() ? std::string(value->get_string())
                                                  : std::string();
  }

private:
  static const json::array& Items(const json::object& aObject, std::string_view aField)
  {
    static const json::array kNone;
    const json::value* value = aObject.if_contains(aField);
    return value != nullptr && value->is_array() ? value->get_array() : kNone;
  }

  static bool AreTexts(const json::object& aObject, std::string_view aField)
  {
    const json::value* value = aObject.if_contains(aField);
    if (value == nullptr || !value->is_array())
      return false;
    return std::all_of(value->get_array().begin(), value->get_array().end(), [](const auto& aItem) {
      return aItem.is_string() && !aItem.get_string().empty();
    });
  }

  bool IsValidRoute(const json::object& aRoute) const
  {
    const json::value* isPublic = aRoute.if_contains("public");
    const std::string service = Text(aRoute, "backend");
    const json::array& services = Items(spec_, "services");
    const bool declared =
      std::any_of(services.begin(), services.end(), [&](const json::value& aService) {
        return aService.is_object() && Text(aService.get_object(), "name") == service &&
               !Text(aService.get_object(), "health_path").empty();
      });
    return declared && !service.empty() && !Text(aRoute, "name").empty() &&
           !Text(aRoute, "route_type").empty() && Text(aRoute, "path_prefix").back() == '/' &&
           Number(aRoute, "timeout_s", 1e-9, 3600) &&
           (!aRoute.contains("attempts") || Number(aRoute, "attempts", 1, 1e3)) &&
           (isPublic == nullptr || isPublic->is_bool() || isPublic->is_null()) &&
           (!aRoute.contains("home_regions") || AreTexts(aRoute, "home_regions"));
  }

  static bool IsValidWorkspace(const json::object& aWorkspace)
  {
    return !Text(aWorkspace, "name").empty() && AreTexts(aWorkspace, "api_keys") &&
           (!aWorkspace.contains("rate_per_s") || Number(aWorkspace, "rate_per_s", 0, 1e9)) &&
           (!aWorkspace.contains("burst") || Number(aWorkspace, "burst", 0, 1e9)) &&
           (!aWorkspace.contains("home_regions") || AreTexts(aWorkspace, "home_regions"));
  }

  const json::object& spec_;
};

/// Compares what a VM does with a request to what the oracle allows.
void
CheckRequest(const RouteIndex& aIndex,
             const Oracle& aOracle,
             const std::string& aHost,
             const std::string& aPath,
             const std::string& aKey)
{
  const Route* const route = aIndex.Find(aHost, aPath);
  CallerIdentity identity{ .verdict = CallerIdentity::Verdict::Unknown };
  if (route != nullptr)
    identity = IdentifyCaller(aIndex, *route, { .kind = CallerCredential::Kind::Key, .key = aKey });
  const bool served = route != nullptr && identity.verdict == CallerIdentity::Verdict::Accepted;

  const json::object* const expected = aOracle.RouteOf(aHost, aPath);
  const json::object* const workspace = aOracle.WorkspaceOf(aKey);
  const bool allowed =
    expected != nullptr && (!aOracle.NeedsKey(*expected) || workspace != nullptr);
  // A key of an invalid workspace is refused on public routes too.
  RC_ASSERT(!served || allowed);
  if (!served)
    return;
  RC_ASSERT(route->parts.size() == 1U);
  RC_ASSERT(route->parts[0].service.Value() == Oracle::Text(*expected, "backend"));
  const double attempts = Oracle::Number(*expected, "attempts", 1, 1e3).value_or(1);
  RC_ASSERT(route->maxAttempts <= attempts);
  for (const std::string& region : kRegions) {
    if (MayServeIn(*route, identity.workspace, RegionId(region))) {
      RC_ASSERT(Oracle::IsHome(expected, region));
      RC_ASSERT(identity.workspace == nullptr || Oracle::IsHome(workspace, region));
    }
  }
  if (identity.workspace == nullptr)
    return;
  RC_ASSERT(workspace != nullptr);
  RC_ASSERT(identity.workspace->id.Value() == Oracle::Text(*workspace, "name"));
  const double rate = Oracle::Number(*workspace, "rate_per_s", 0, 1e9).value_or(0);
  RC_ASSERT(identity.workspace->requestsPerSecond == rate);
}

/// A limit that the manifest states holds; another one is above neither its default nor aBefore.
void
CheckLimit(const json::object* aLimits,
           std::string_view aField,
           double aMin,
           double aMax,
           double aInForce,
           double aBefore,
           double aDefault)
{
  const auto stated =
    aLimits == nullptr ? std::nullopt : Oracle::Number(*aLimits, aField, aMin, aMax);
  RC_ASSERT((stated ? aInForce == *stated : aInForce <= std::min(aBefore, aDefault)));
}

void
CheckLimits(const Oracle& aOracle, const CallerLimits& aInForce, const CallerLimits& aBefore)
{
  const CallerLimits defaults;
  const auto check = [&](std::string_view aField, double aMin, double aMax, auto aGet) {
    CheckLimit(aOracle.Limits(), aField, aMin, aMax, aGet(aInForce), aGet(aBefore), aGet(defaults));
  };
  check("max_header_bytes", 1, 1e9, [](const CallerLimits& aLimits) {
    return static_cast<double>(aLimits.headerBytes);
  });
  check("max_body_bytes", 0, 1e12, [](const CallerLimits& aLimits) {
    return static_cast<double>(aLimits.bodyBytes);
  });
  check("header_timeout_s", 0, 3600, [](const CallerLimits& aLimits) {
    return ToSeconds(aLimits.headerTimeout);
  });
  check("idle_timeout_s", 0, 3600, [](const CallerLimits& aLimits) {
    return ToSeconds(aLimits.idleTimeout);
  });
}

/// VMs that learn the versions of one store in every way, with the limits that each has had.
class Fleet
{
public:
  /// The operator writes a version; the store confirms it.
  void Write(json::object aSpec, uint64_t aVersion)
  {
    contents_.push_back(json::serialize(json::object{ { "spec", aSpec } }));
    specs_[aVersion] = std::move(aSpec);
    ++revision_.number;
  }

  void List(size_t aVm)
  {
    vms_[aVm]->OnSnapshot(now_, ObjectKind::Manifest, Newest());
    Check(aVm);
  }

  void Watch(size_t aVm)
  {
    const StoreRevision since = vms_[aVm]->Snapshot(ObjectKind::Manifest).revision;
    if (since.number == 0 || since.epoch != revision_.epoch)
      return List(aVm);
    vms_[aVm]->OnChanges(
      now_,
      ObjectKind::Manifest,
      { .since = since,
        .revision = revision_,
        .changes = {
          { .name = "main", .content = contents_.back(), .revision = revision_.number } } });
    Check(aVm);
  }

  /// aVm takes over the state of another VM, as without a store.
  void FollowVm(size_t aVm, size_t aSource)
  {
    if (!vms_[aSource]->HasManifest())
      return;
    vms_[aVm]->OnSnapshot(
      now_, ObjectKind::Manifest, vms_[aSource]->Snapshot(ObjectKind::Manifest));
    vms_[aVm]->OnEarlierState(
      now_, vms_[aSource]->MakeEarlierState(now_, revision_.epoch, vms_[aVm]->ManifestVersion()));
    Check(aVm);
  }

  void Restart(size_t aVm)
  {
    vms_[aVm] = MakeVm();
    limits_[aVm] = {};
  }

  /// The store loses its last versions.
  void ReturnStore(size_t aLost)
  {
    if (contents_.size() <= aLost)
      return;
    contents_.resize(contents_.size() - aLost);
    ++revision_.epoch;
    revision_.number = contents_.size();
  }

  static constexpr size_t kVms = 3;

private:
  static std::unique_ptr<FleetKeeper> MakeVm()
  {
    return std::make_unique<FleetKeeper>(
      ObjectDecoders{ .manifest = platform::DecodeManifest,
                      .instance = [](const std::string&, std::string_view, TimePoint)
                        -> Checked<Instance> { return tl::unexpected(Findings{}); } },
      FleetKeeperHooks{ .manifestChanged = [](const Manifest&) {},
                        .objectRejected = [](const Findings&) {},
                        .instanceChanged = [](const Instance&, std::string_view) {} });
  }

  ObjectSet Newest() const
  {
    return { .revision = revision_, .objects = { { "main", contents_.back() } } };
  }

  void Check(size_t aVm)
  {
    now_ += 1s;
    const auto index = vms_[aVm]->BuildView().routes;
    if (index == nullptr)
      return;
    const Oracle oracle(specs_.at(vms_[aVm]->ManifestVersion()));
    for (const std::string& host : kHosts) {
      for (const std::string& path : kPaths) {
        for (const std::string& key : kKeys)
          CheckRequest(*index, oracle, host, path, key);
      }
    }
    CheckLimits(oracle, index->GetManifest().limits, limits_[aVm]);
    limits_[aVm] = index->GetManifest().limits;
  }

  TimePoint now_{ 100s };
  StoreRevision revision_;
  std::vector<std::string> contents_; ///< Of the versions in the store.
  std::map<uint64_t, json::object> specs_;
  std::vector<std::unique_ptr<FleetKeeper>> vms_ = [] {
    std::vector<std::unique_ptr<FleetKeeper>> vms;
    for (size_t i = 0; i < kVms; ++i)
      vms.push_back(MakeVm());
    return vms;
  }();
  std::vector<CallerLimits> limits_ = std::vector<CallerLimits>(
    kVms,
    { .headerBytes = SIZE_MAX, .bodyBytes = SIZE_MAX, .headerTimeout = 1h, .idleTimeout = 1h });
};

/// Guards against an edit that drops, empties or damages any part of a manifest and allows a
/// request that the text does not allow, or raises a limit, however a VM learns the version.
Test(Permissions, DamagedVersionsAllowNoMoreThanTheirText)
{
  UseFixedSeed();
  const bool holds = rc::check("no VM allows more than its version says", [] {
    Fleet fleet;
    const int versions = *rc::gen::inRange(1, 8);
    for (int version = 1; version <= versions; ++version) {
      json::object spec = AnyManifest(static_cast<uint64_t>(version));
      const int damages = *rc::gen::inRange(0, 4);
      for (int i = 0; i < damages; ++i) {
        Damage(spec);
        spec["version"] = fmt::format("{:08x}", version);
      }
      fleet.Write(std::move(spec), static_cast<uint64_t>(version));
      const int steps = *rc::gen::inRange(1, 6);
      for (int i = 0; i < steps; ++i) {
        const auto vm = *rc::gen::inRange<size_t>(0, Fleet::kVms);
        switch (*rc::gen::inRange(0, 6)) {
          case 0:
          case 1:
            fleet.List(vm);
            break;
          case 2:
            fleet.Watch(vm);
            break;
          case 3:
            fleet.FollowVm(vm, *rc::gen::inRange<size_t>(0, Fleet::kVms));
            break;
          case 4:
            fleet.Restart(vm);
            break;
          default:
            fleet.ReturnStore(*rc::gen::inRange<size_t>(0, 2));
        }
      }
    }
  });
  cr_assert(holds);
}

/// Guards against a check of the property above that holds because nothing is served.
Test(Permissions, ValidVersionsServeWhatTheirTextAllows)
{
  UseFixedSeed();
  const bool holds = rc::check("a valid version is served as its text says", [] {
    const json::object spec = AnyManifest(1);
    const auto manifest =
      platform::DecodeManifest(json::serialize(json::object{ { "spec", spec } }));
    RC_ASSERT(manifest.has_value());
    RC_ASSERT(manifest->problems.empty());
    const RouteIndex index(std::make_shared<const Manifest>(*manifest));
    const Oracle oracle(spec);
    for (const std::string& host : kHosts) {
      for (const std::string& path : kPaths) {
        for (const std::string& key : kKeys) {
          CheckRequest(index, oracle, host, path, key);
          const json::object* route = oracle.RouteOf(host, path);
          const bool allowed =
            route != nullptr && (!oracle.NeedsKey(*route) || oracle.WorkspaceOf(key) != nullptr);
          const Route* found = index.Find(host, path);
          const CallerCredential credential{ .kind = CallerCredential::Kind::Key, .key = key };
          RC_ASSERT(allowed ==
                    (found != nullptr && IdentifyCaller(index, *found, credential).verdict ==
                                           CallerIdentity::Verdict::Accepted));
        }
      }
    }
  });
  cr_assert(holds);
}

} // namespace
