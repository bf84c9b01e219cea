#include "dragonflymoor/Steering/Manifest.h"

#include <algorithm>
#include <cctype>

namespace dfm {

namespace {

/// Removes the port and converts to lower case.
std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return host;
}

bool
IsHome(const std::vector<RegionId>& aHomes, const RegionId& aRegion)
{
  return aHomes.empty() || std::find(aHomes.begin(), aHomes.end(), aRegion) != aHomes.end();
}

} // namespace

RouteIndex::RouteIndex(std::shared_ptr<const Manifest> aManifest)
  : manifest_(std::move(aManifest))
{
  for (const Route& route : manifest_->routes)
    routesByHost_[NormalizeHost(route.host)].push_back(&route);
  for (auto& [host, routes] : routesByHost_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* aLeft, const Route* aRight) {
      return aLeft->pathPrefix.size() > aRight->pathPrefix.size();
    });
  }
  for (const Workspace& workspace : manifest_->workspaces) {
    for (const std::string& key : workspace.keys) {
      const auto [entry, isNew] = workspacesByKey_.emplace(key, &workspace);
      if (!isNew && entry->second != &workspace)
        entry->second = nullptr;
    }
  }
}

const Workspace*
RouteIndex::FindWorkspace(std::string_view aKey) const
{
  const auto workspace = workspacesByKey_.find(aKey);
  return workspace == workspacesByKey_.end() ? nullptr : workspace->second;
}

const std::vector<const Route*>*
RouteIndex::FindHostRoutes(std::string_view aHost) const
{
  const auto hostRoutes = routesByHost_.find(NormalizeHost(aHost));
  return hostRoutes == routesByHost_.end() ? nullptr : &hostRoutes->second;
}

const Route*
RouteIndex::Find(std::string_view aHost, std::string_view aPath) const
{
  const Route* placed = nullptr;
  if (const auto* routes = FindHostRoutes(aHost)) {
    const auto found = std::find_if(routes->begin(), routes->end(), [&](const Route* aRoute) {
      return aPath.starts_with(aRoute->pathPrefix);
    });
    placed = found == routes->end() ? nullptr : *found;
  }
  const Route* const unplaced = FindUnplaced(aHost, aPath, placed);
  return unplaced == nullptr ? placed : unplaced;
}

const Route*
RouteIndex::FindUnplaced(std::string_view aHost, std::string_view aPath, const Route* aPlaced) const
{
  if (manifest_->unplacedRoutes.empty())
    return nullptr;
  const std::string host = NormalizeHost(aHost);
  for (const Route& route : manifest_->unplacedRoutes) {
    const bool couldMatch = (route.host.empty() || NormalizeHost(route.host) == host) &&
                            aPath.starts_with(route.pathPrefix);
    const bool couldBeLongest = route.pathPrefix.empty() || aPlaced == nullptr ||
                                route.pathPrefix.size() >= aPlaced->pathPrefix.size();
    if (couldMatch && couldBeLongest)
      return &route;
  }
  return nullptr;
}

bool
RouteIndex::MayServeHostIn(std::string_view aHost, const RegionId& aRegion) const
{
  const auto* routes = FindHostRoutes(aHost);
  if (routes == nullptr)
    return false;
  return std::all_of(routes->begin(), routes->end(), [&aRegion](const Route* aRoute) {
    return MayServeIn(*aRoute, nullptr, aRegion);
  });
}

CallerLimits
LimitsAfter(const Manifest& aNew, const CallerLimits& aInForce)
{
  const UnstatedLimits& unstated = aNew.unstatedLimits;
  CallerLimits limits = aNew.limits;
  if (unstated.headerBytes)
    limits.headerBytes = std::min(limits.headerBytes, aInForce.headerBytes);
  if (unstated.bodyBytes)
    limits.bodyBytes = std::min(limits.bodyBytes, aInForce.bodyBytes);
  if (unstated.headerTimeout)
    limits.headerTimeout = std::min(limits.headerTimeout, aInForce.headerTimeout);
  if (unstated.idleTimeout)
    limits.idleTimeout = std::min(limits.idleTimeout, aInForce.idleTimeout);
  return limits;
}

bool
MayServeIn(const Route& aRoute, const Workspace* aWorkspace, const RegionId& aRegion)
{
  return IsHome(aRoute.homeRegions, aRegion) &&
         (aWorkspace == nullptr || IsHome(aWorkspace->homeRegions, aRegion));
}

unsigned
PriorityOf(const Route& aRoute, const Workspace* aWorkspace)
{
  if (aWorkspace == nullptr)
    return aRoute.priority;
  return aWorkspace->priority.value_or(aRoute.priority);
}

} // namespace dfm
