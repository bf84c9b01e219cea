#include "dragonflymoor/Check/ManifestDiff.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <set>

namespace dfm {

namespace {

using Effects = std::vector<std::string>;

constexpr double kPercent = 100;

std::string
Seconds(Duration aDuration)
{
  return fmt::format("{} s", ToSeconds(aDuration));
}

std::string
HomesText(const std::vector<RegionId>& aHomes)
{
  if (aHomes.empty())
    return "all regions";
  std::string text;
  for (const RegionId& home : aHomes)
    text += (text.empty() ? "" : ", ") + home.Value();
  return text;
}

std::string
PartsText(const std::vector<SplitPart>& aParts)
{
  double total = 0;
  for (const SplitPart& part : aParts)
    total += part.weight;
  std::string text;
  for (const SplitPart& part : aParts)
    text += fmt::format("{}{} {:.4g} %",
                        text.empty() ? "" : ", ",
                        part.service.Value(),
                        kPercent * part.weight / total);
  return text.empty() ? "none" : text;
}

std::string
RateText(double aRate)
{
  return aRate <= 0 ? "no limit" : fmt::format("{} requests/s", aRate);
}

std::string
PriorityText(const std::optional<unsigned>& aPriority)
{
  return aPriority ? std::to_string(*aPriority) : "that of the route";
}

/// Adds "aWhat: old -> new" when the two differ.
template<typename T, typename Format>
void
Compare(Effects& aEffects, std::string_view aWhat, const T& aOld, const T& aNew, Format aFormat)
{
  if (aOld != aNew)
    aEffects.push_back(fmt::format("{}: {} -> {}", aWhat, aFormat(aOld), aFormat(aNew)));
}

template<typename T>
std::string
NumberText(const T& aNumber)
{
  return fmt::format("{}", aNumber);
}

Effects
RouteEffects(const Route& aOld, const Route& aNew)
{
  Effects effects;
  if (aOld.invalid != aNew.invalid)
    effects.emplace_back(aNew.invalid ? "requests are refused with 503: the route is invalid"
                                      : "requests are served: the route is no longer invalid");
  Compare(effects, "requests go to", aOld.parts, aNew.parts, PartsText);
  Compare(effects, "served in", aOld.homeRegions, aNew.homeRegions, HomesText);
  Compare(effects, "time-out", aOld.timeout, aNew.timeout, Seconds);
  Compare(effects, "goal", aOld.goal, aNew.goal, Seconds);
  Compare(effects, "priority (0 is first)", aOld.priority, aNew.priority, NumberText<unsigned>);
  Compare(effects, "attempts", aOld.maxAttempts, aNew.maxAttempts, NumberText<unsigned>);
  if (aOld.idempotent != aNew.idempotent)
    effects.emplace_back(aNew.idempotent ? "a request may run more than once after a failure"
                                         : "a request runs at most once; failures reach callers");
  if (aOld.isPublic != aNew.isPublic)
    effects.emplace_back(aNew.isPublic ? "callers need no key" : "callers need a key, or get 401");
  if (aOld.sticky != aNew.sticky)
    effects.emplace_back(aNew.sticky ? "requests for an object prefer the instances that served it"
                                     : "requests for an object go to any instance");
  Compare(effects, "name in metrics", aOld.name, aNew.name, [](const std::string& aName) {
    return aName;
  });
  return effects;
}

Effects
ServiceEffects(const ServiceSpec& aOld, const ServiceSpec& aNew)
{
  Effects effects;
  Compare(effects, "health path", aOld.healthPath, aNew.healthPath, [](const std::string& aPath) {
    return aPath;
  });
  Compare(effects,
          "connections of an instance",
          aOld.maxConnections,
          aNew.maxConnections,
          NumberText<unsigned>);
  Compare(effects, "cold phase of an instance", aOld.coldStart, aNew.coldStart, Seconds);
  Compare(effects,
          "requests/s of a cold instance",
          aOld.coldRequestsPerSecond,
          aNew.coldRequestsPerSecond,
          NumberText<double>);
  return effects;
}

std::set<std::string>
KeysOf(const Workspace& aWorkspace)
{
  return { aWorkspace.keys.begin(), aWorkspace.keys.end() };
}

size_t
CountMissing(const std::set<std::string>& aKeys, const std::set<std::string>& aFrom)
{
  return std::count_if(
    aKeys.begin(), aKeys.end(), [&](const std::string& aKey) { return !aFrom.contains(aKey); });
}

Effects
WorkspaceEffects(const Workspace& aOld, const Workspace& aNew)
{
  Effects effects;
  if (aOld.invalid != aNew.invalid)
    effects.emplace_back(aNew.invalid ? "callers get 503: the workspace is invalid"
                                      : "callers are served: the workspace is no longer invalid");
  const auto oldKeys = KeysOf(aOld);
  const auto newKeys = KeysOf(aNew);
  if (const size_t added = CountMissing(newKeys, oldKeys); added > 0)
    effects.push_back(fmt::format("keys added: {}", added));
  if (const size_t withdrawn = CountMissing(oldKeys, newKeys); withdrawn > 0)
    effects.push_back(fmt::format("keys withdrawn: {}; callers with them get 401", withdrawn));
  Compare(effects, "priority (0 is first)", aOld.priority, aNew.priority, PriorityText);
  Compare(effects, "quota", aOld.requestsPerSecond, aNew.requestsPerSecond, RateText);
  Compare(effects, "burst", aOld.burst, aNew.burst, NumberText<double>);
  Compare(effects, "served in", aOld.homeRegions, aNew.homeRegions, HomesText);
  return effects;
}

Effects
NewWorkspaceEffects(const Workspace& aWorkspace)
{
  Effects effects{ fmt::format("keys added: {}", KeysOf(aWorkspace).size()),
                   "quota: " + RateText(aWorkspace.requestsPerSecond),
                   "served in: " + HomesText(aWorkspace.homeRegions) };
  if (aWorkspace.invalid)
    effects.emplace_back("callers get 503: the workspace is invalid");
  return effects;
}

/// Compares the parts of two manifests by key. The hooks describe a part that is new or gone.
template<typename T>
void
DiffParts(std::vector<ManifestChange>& aChanges,
          ManifestPart aPart,
          const std::map<std::string, const T*>& aOld,
          const std::map<std::string, const T*>& aNew,
          Effects (*aCompare)(const T&, const T&),
          const std::function<Effects(const T&)>& aOnAdded,
          const std::function<Effects(const T&)>& aOnRemoved)
{
  for (const auto& [key, part] : aNew) {
    const auto old = aOld.find(key);
    if (old == aOld.end()) {
      aChanges.push_back({ ChangeKind::Added, aPart, key, aOnAdded(*part) });
      continue;
    }
    Effects effects = aCompare(*old->second, *part);
    if (!effects.empty())
      aChanges.push_back({ ChangeKind::Changed, aPart, key, std::move(effects) });
  }
  for (const auto& [key, part] : aOld) {
    if (!aNew.contains(key))
      aChanges.push_back({ ChangeKind::Removed, aPart, key, aOnRemoved(*part) });
  }
}

std::string
ServedBy(const Route* aRoute)
{
  if (aRoute == nullptr)
    return "no route; callers get 404";
  if (aRoute->invalid)
    return fmt::format("route {}, which is invalid; callers get 503", aRoute->name);
  return fmt::format("route {} ({})", aRoute->name, PartsText(aRoute->parts));
}

/// Returns the route of aIndex that requests to the host and prefix of aRoute reach, or null when
/// it has a shorter prefix.
const Route*
FindSamePlace(const RouteIndex& aIndex, const Route& aRoute)
{
  const Route* found = aIndex.Find(aRoute.host, aRoute.pathPrefix);
  return found != nullptr && found->pathPrefix == aRoute.pathPrefix ? found : nullptr;
}

void
DiffRoutes(std::vector<ManifestChange>& aChanges, const Manifest& aInForce, const Manifest& aNew)
{
  const RouteIndex oldIndex(std::make_shared<const Manifest>(aInForce));
  const RouteIndex newIndex(std::make_shared<const Manifest>(aNew));
  const auto add = [&](ChangeKind aKind, const Route& aRoute, Effects aEffects) {
    aChanges.push_back(
      { aKind, ManifestPart::Route, aRoute.host + aRoute.pathPrefix, std::move(aEffects) });
  };
  const auto moved = [&](const Route& aRoute) {
    return Effects{ fmt::format("requests: {} -> {}",
                                ServedBy(oldIndex.Find(aRoute.host, aRoute.pathPrefix)),
                                ServedBy(newIndex.Find(aRoute.host, aRoute.pathPrefix))) };
  };
  for (const Route& route : newIndex.GetManifest().routes) {
    if (FindSamePlace(newIndex, route) != &route)
      continue;
    const Route* old = FindSamePlace(oldIndex, route);
    Effects effects = old == nullptr ? moved(route) : RouteEffects(*old, route);
    if (!effects.empty())
      add(old == nullptr ? ChangeKind::Added : ChangeKind::Changed, route, std::move(effects));
  }
  for (const Route& route : oldIndex.GetManifest().routes) {
    if (FindSamePlace(oldIndex, route) == &route && FindSamePlace(newIndex, route) == nullptr)
      add(ChangeKind::Removed, route, moved(route));
  }
}

std::map<std::string, const ServiceSpec*>
ServicesByName(const Manifest& aManifest)
{
  std::map<std::string, const ServiceSpec*> services;
  for (const auto& [id, service] : aManifest.services)
    services[id.Value()] = &service;
  return services;
}

std::map<std::string, const Workspace*>
WorkspacesByName(const Manifest& aManifest)
{
  std::map<std::string, const Workspace*> workspaces;
  for (const Workspace& workspace : aManifest.workspaces) {
    std::string name = workspace.id.Value();
    // Workspaces of one name are compared in their order.
    for (int i = 2; workspaces.contains(name); ++i)
      name = fmt::format("{} ({})", workspace.id.Value(), i);
    workspaces.emplace(std::move(name), &workspace);
  }
  return workspaces;
}

std::string
RefusedBy(const Route& aUnplaced)
{
  if (aUnplaced.pathPrefix.empty())
    return fmt::format("all requests to host {} get 503: route {} has no readable path prefix",
                       aUnplaced.host,
                       aUnplaced.name);
  return fmt::format("requests to {} of all hosts get 503: route {} has no readable host",
                     aUnplaced.pathPrefix,
                     aUnplaced.name);
}

void
DiffWhole(std::vector<ManifestChange>& aChanges, const Manifest& aInForce, const Manifest& aNew)
{
  Effects limits;
  const CallerLimits& before = aInForce.limits;
  const CallerLimits after = LimitsAfter(aNew, before);
  Compare(limits, "bytes of a header", before.headerBytes, after.headerBytes, NumberText<size_t>);
  Compare(limits, "bytes of a body", before.bodyBytes, after.bodyBytes, NumberText<size_t>);
  Compare(limits, "time for a header", before.headerTimeout, after.headerTimeout, Seconds);
  Compare(limits, "time without a request", before.idleTimeout, after.idleTimeout, Seconds);
  if (!limits.empty())
    aChanges.push_back({ ChangeKind::Changed, ManifestPart::Limits, "", std::move(limits) });
  for (const Route& route : aNew.unplacedRoutes) {
    if (std::find(aInForce.unplacedRoutes.begin(), aInForce.unplacedRoutes.end(), route) ==
        aInForce.unplacedRoutes.end())
      aChanges.push_back({ ChangeKind::Changed, ManifestPart::Whole, "", { RefusedBy(route) } });
  }
  if (aInForce.needsKeys != aNew.needsKeys)
    aChanges.push_back(
      { ChangeKind::Changed,
        ManifestPart::Whole,
        "",
        { aNew.needsKeys ? "callers need a key on all routes that are not public"
                         : "callers need no key on any route; instances get the keys that callers "
                           "still send" } });
  if (aNew.needsKeys && aNew.workspaces.empty() &&
      (!aInForce.needsKeys || !aInForce.workspaces.empty()))
    aChanges.push_back(
      { ChangeKind::Changed,
        ManifestPart::Whole,
        "",
        { "no workspace is left: all callers get 401 on routes that are not public" } });
}

} // namespace

std::vector<ManifestChange>
DiffManifests(const Manifest& aInForce, const Manifest& aNew)
{
  std::vector<ManifestChange> changes;
  DiffRoutes(changes, aInForce, aNew);
  DiffParts<ServiceSpec>(
    changes,
    ManifestPart::Service,
    ServicesByName(aInForce),
    ServicesByName(aNew),
    ServiceEffects,
    [](const ServiceSpec&) { return Effects{ "routes can send requests to it" }; },
    [](const ServiceSpec&) { return Effects{ "it gets no requests any more" }; });
  DiffParts<Workspace>(
    changes,
    ManifestPart::Workspace,
    WorkspacesByName(aInForce),
    WorkspacesByName(aNew),
    WorkspaceEffects,
    NewWorkspaceEffects,
    [&aNew](const Workspace& aWorkspace) {
      const size_t keys = KeysOf(aWorkspace).size();
      return Effects{ aNew.needsKeys
                        ? fmt::format("keys withdrawn: {}; callers with them get 401", keys)
                        : fmt::format("keys withdrawn: {}", keys) };
    });
  DiffWhole(changes, aInForce, aNew);
  return changes;
}

} // namespace dfm
