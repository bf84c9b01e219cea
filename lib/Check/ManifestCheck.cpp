#include "dragonflymoor/Check/ManifestCheck.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>

namespace dfm {

namespace {

using Homes = std::vector<RegionId>;

/// Names that one finding lists; more are only counted.
constexpr size_t kMaxListed = 3;

/// Window over which a quota binds. A quota that admits no request within it admits none at all.
constexpr double kQuotaWindowSeconds = 5;

/// Characters that no host name in a request has; a port is ignored.
constexpr std::string_view kNotInHosts = "/*?#@ \t";

std::string
ListNames(const std::vector<std::string>& aNames)
{
  const size_t listed = std::min(aNames.size(), kMaxListed);
  std::string text;
  for (size_t i = 0; i < listed; ++i)
    text += (i == 0 ? "" : ", ") + aNames[i];
  if (aNames.size() > listed)
    text += fmt::format(" and {} more", aNames.size() - listed);
  return text;
}

bool
HaveCommonRegion(const Homes& aLeft, const Homes& aRight)
{
  return aLeft.empty() || aRight.empty() ||
         std::find_first_of(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end()) !=
           aLeft.end();
}

class Checker
{
public:
  Checker(const Manifest& aManifest,
          const SteeringSettings* aSettings,
          const ManifestCheckOptions& aOptions)
    : manifest_(aManifest)
    , settings_(aSettings)
    , options_(aOptions)
    , index_(std::make_shared<const Manifest>(aManifest))
  {
    if (settings_ != nullptr) {
      for (const auto& [domain, region] : settings_->failureDomains)
        regions_.insert(region);
    }
  }

  std::vector<ManifestFinding> Run()
  {
    CheckRoutes();
    CheckHosts();
    CheckServices();
    CheckKeys();
    CheckWorkspaces();
    CheckLimits();
    CheckSettings();
    return std::move(findings_);
  }

private:
  void Warn(ManifestPart aPart, size_t aIndex, ManifestField aField, std::string aMessage)
  {
    findings_.push_back({ .place = { .part = aPart, .index = aIndex, .field = aField },
                          .message = std::move(aMessage) });
  }

  void WarnRoute(size_t aIndex, ManifestField aField, std::string aMessage)
  {
    Warn(ManifestPart::Route, aIndex, aField, std::move(aMessage));
  }

  void WarnWorkspace(size_t aIndex, ManifestField aField, std::string aMessage)
  {
    Warn(ManifestPart::Workspace, aIndex, aField, std::move(aMessage));
  }

  void CheckRoutes()
  {
    std::map<std::string, size_t> firstByName;
    for (size_t i = 0; i < manifest_.routes.size(); ++i) {
      const Route& route = manifest_.routes[i];
      // The prefix itself is a path that only routes with this prefix or a shorter one match.
      const Route* found = index_.Find(route.host, route.pathPrefix);
      const Route& effective = index_.GetManifest().routes[i];
      if (found != nullptr && found != &effective)
        WarnRoute(i,
                  ManifestField::PathPrefix,
                  fmt::format("is hidden by route {}, which has the same host and path prefix",
                              found->name));
      const auto [first, isNew] = firstByName.emplace(route.name, i);
      if (!isNew && !route.name.empty())
        WarnRoute(i, ManifestField::Name, fmt::format("{} names two routes", route.name));
      if (route.invalid)
        continue;
      CheckHomes(ManifestPart::Route, i, route.homeRegions);
      CheckTimes(i, route);
      CheckAttempts(i, route);
    }
  }

  void CheckTimes(size_t aIndex, const Route& aRoute)
  {
    if (aRoute.goal > aRoute.timeout)
      WarnRoute(aIndex,
                ManifestField::Goal,
                fmt::format("{} s is above the time-out of {} s",
                            ToSeconds(aRoute.goal),
                            ToSeconds(aRoute.timeout)));
    if (aRoute.goal <= Duration{})
      WarnRoute(aIndex, ManifestField::Goal, "is 0; no answer can meet it");
    if (options_.longestWait && aRoute.timeout > *options_.longestWait)
      WarnRoute(aIndex,
                ManifestField::Timeout,
                fmt::format("{} s is above the {} s that callers wait at most",
                            ToSeconds(aRoute.timeout),
                            ToSeconds(*options_.longestWait)));
  }

  void CheckAttempts(size_t aIndex, const Route& aRoute)
  {
    if (settings_ == nullptr || aRoute.maxAttempts <= 1)
      return;
    const unsigned repeats = aRoute.maxAttempts - 1;
    // Each VM can save one repeat, and all together as many as the settings allow besides.
    const double saved = std::max(1.0, settings_->retrySlack);
    if (settings_->retryRatio <= 0)
      WarnRoute(aIndex,
                ManifestField::Attempts,
                fmt::format("{} attempts, but the retry budget grows by 0 for each request",
                            aRoute.maxAttempts));
    else if (repeats > saved)
      WarnRoute(aIndex,
                ManifestField::Attempts,
                fmt::format("{} attempts need {} repeats of a request; the retry budget holds {}",
                            aRoute.maxAttempts,
                            repeats,
                            saved));
  }

  void CheckHosts()
  {
    struct Host
    {
      size_t firstRoute = 0;
      bool servable = false;
    };
    std::map<std::string, Host> hosts;
    for (size_t i = 0; i < manifest_.routes.size(); ++i) {
      const Route& route = manifest_.routes[i];
      Host& host = hosts.emplace(route.host, Host{ .firstRoute = i }).first->second;
      host.servable = host.servable || (!route.invalid && HasServer(route.homeRegions));
    }
    for (const auto& [name, host] : hosts) {
      if (name.find_first_of(kNotInHosts) != std::string::npos)
        WarnRoute(host.firstRoute,
                  ManifestField::Host,
                  fmt::format("{} is no host name; no request has it", name));
      else if (!host.servable)
        WarnRoute(host.firstRoute,
                  ManifestField::Host,
                  fmt::format("{} has no route that can be served", name));
    }
  }

  void CheckServices()
  {
    std::set<ServiceId> used;
    for (const Route& route : manifest_.routes) {
      for (const SplitPart& part : route.parts)
        used.insert(part.service);
    }
    size_t index = 0;
    for (const auto& [id, service] : manifest_.services) {
      if (!used.contains(id))
        Warn(ManifestPart::Service,
             index,
             ManifestField::Name,
             fmt::format("{} is not used by any route", id.Value()));
      ++index;
    }
    for (const auto& [id, needed] : options_.neededRates)
      CheckNeededRate(id, needed);
  }

  /// Compares what a service has to be able to get with the quotas of all who may use it.
  void CheckNeededRate(const ServiceId& aService, double aNeeded)
  {
    const auto service = manifest_.services.find(aService);
    if (service == manifest_.services.end()) {
      Warn(
        ManifestPart::Whole,
        0,
        ManifestField::None,
        fmt::format("service {}, for which a rate is needed, is not declared", aService.Value()));
      return;
    }
    if (!manifest_.needsKeys)
      return;
    const std::vector<const Route*> routes = RoutesOf(aService);
    double quotas = 0;
    for (const Workspace& workspace : manifest_.workspaces) {
      const bool reaches =
        !workspace.invalid && std::any_of(routes.begin(), routes.end(), [&](const Route* aRoute) {
          return HaveCommonRegion(aRoute->homeRegions, workspace.homeRegions);
        });
      if (reaches && workspace.requestsPerSecond <= 0)
        return;
      quotas += reaches ? workspace.requestsPerSecond : 0;
    }
    const bool isPublic = std::any_of(
      routes.begin(), routes.end(), [](const Route* aRoute) { return aRoute->isPublic; });
    if (!isPublic && quotas < aNeeded)
      Warn(ManifestPart::Service,
           std::distance(manifest_.services.begin(), service),
           ManifestField::None,
           fmt::format("the quotas of the workspaces that may use {} allow {} requests/s together; "
                       "{} are needed",
                       aService.Value(),
                       quotas,
                       aNeeded));
  }

  std::vector<const Route*> RoutesOf(const ServiceId& aService) const
  {
    std::vector<const Route*> routes;
    for (const Route& route : manifest_.routes) {
      const bool uses =
        std::any_of(route.parts.begin(), route.parts.end(), [&](const SplitPart& aPart) {
          return aPart.service == aService;
        });
      if (uses && !route.invalid)
        routes.push_back(&route);
    }
    return routes;
  }

  void CheckKeys()
  {
    std::map<std::string_view, size_t> holders;
    std::set<std::pair<size_t, size_t>> reported;
    for (size_t i = 0; i < manifest_.workspaces.size(); ++i) {
      for (const std::string& key : manifest_.workspaces[i].keys) {
        const auto [holder, isNew] = holders.emplace(key, i);
        if (isNew || !reported.emplace(holder->second, i).second)
          continue;
        const std::string& other = manifest_.workspaces[holder->second].id.Value();
        WarnWorkspace(
          i,
          ManifestField::Keys,
          holder->second == i
            ? "contain a key twice"
            : fmt::format("contain a key that workspace {} has too; callers with it get 401",
                          other));
      }
    }
  }

  void CheckWorkspaces()
  {
    if (manifest_.needsKeys && manifest_.workspaces.empty())
      Warn(ManifestPart::Whole,
           0,
           ManifestField::Workspaces,
           "are empty; all callers get 401 on routes that are not public");
    std::set<WorkspaceId> names;
    for (size_t i = 0; i < manifest_.workspaces.size(); ++i) {
      const Workspace& workspace = manifest_.workspaces[i];
      if (workspace.invalid)
        continue;
      if (!names.insert(workspace.id).second)
        WarnWorkspace(
          i, ManifestField::Name, fmt::format("{} names two workspaces", workspace.id.Value()));
      if (workspace.keys.empty())
        WarnWorkspace(i, ManifestField::Keys, "are empty; no caller can use the workspace");
      CheckHomes(ManifestPart::Workspace, i, workspace.homeRegions);
      CheckCommonHomes(i, workspace);
      CheckQuota(i, workspace);
    }
  }

  void CheckCommonHomes(size_t aIndex, const Workspace& aWorkspace)
  {
    std::vector<std::string> routes;
    for (const Route& route : manifest_.routes) {
      if (!route.invalid && !HaveCommonRegion(route.homeRegions, aWorkspace.homeRegions))
        routes.push_back(route.name);
    }
    if (!routes.empty())
      WarnWorkspace(aIndex,
                    ManifestField::HomeRegions,
                    fmt::format("have no region in common with the homes of route {}; these "
                                "requests are refused",
                                ListNames(routes)));
  }

  void CheckQuota(size_t aIndex, const Workspace& aWorkspace)
  {
    const double rate = aWorkspace.requestsPerSecond;
    if (rate <= 0 && aWorkspace.burst > 0)
      WarnWorkspace(aIndex, ManifestField::Burst, "has no effect without a rate");
    if (rate > 0 && rate * kQuotaWindowSeconds + aWorkspace.burst < 1)
      WarnWorkspace(aIndex,
                    ManifestField::RequestsPerSecond,
                    fmt::format("allows less than one request in {} s", kQuotaWindowSeconds));
  }

  bool HasServer(const Homes& aHomes) const
  {
    return settings_ == nullptr || aHomes.empty() ||
           std::any_of(aHomes.begin(), aHomes.end(), [this](const RegionId& aHome) {
             return regions_.contains(aHome);
           });
  }

  void CheckHomes(ManifestPart aPart, size_t aIndex, const Homes& aHomes)
  {
    if (settings_ == nullptr)
      return;
    std::vector<std::string> unknown;
    for (const RegionId& home : aHomes) {
      if (!regions_.contains(home))
        unknown.push_back(home.Value());
    }
    if (!unknown.empty())
      Warn(aPart,
           aIndex,
           ManifestField::HomeRegions,
           fmt::format("name {}, where no failure domain is{}",
                       ListNames(unknown),
                       HasServer(aHomes) ? "" : "; nothing can serve these requests"));
  }

  void CheckLimits()
  {
    const CallerLimits& limits = manifest_.limits;
    if (limits.bodyBytes > options_.memoryBytes ||
        limits.headerBytes > options_.memoryBytes - limits.bodyBytes)
      Warn(
        ManifestPart::Limits,
        0,
        ManifestField::BodyBytes,
        fmt::format("a request of {} bytes does not fit into the {} bytes of memory of a machine",
                    limits.bodyBytes + limits.headerBytes,
                    options_.memoryBytes));
  }

  void CheckSettings()
  {
    if (settings_ == nullptr)
      return;
    const Vm& self = settings_->self;
    const auto domain = settings_->failureDomains.find(self.failureDomain);
    if (domain == settings_->failureDomains.end())
      Warn(ManifestPart::FailureDomains,
           0,
           ManifestField::None,
           fmt::format("do not contain {}, where the VM is", self.failureDomain.Value()));
    else if (domain->second != self.region)
      Warn(ManifestPart::FailureDomains,
           0,
           ManifestField::None,
           fmt::format("put {} into {}, but the VM is in {}",
                       self.failureDomain.Value(),
                       domain->second.Value(),
                       self.region.Value()));
  }

  const Manifest& manifest_;
  const SteeringSettings* settings_;
  const ManifestCheckOptions& options_;
  RouteIndex index_;
  std::set<RegionId> regions_;
  std::vector<ManifestFinding> findings_;
};

} // namespace

std::vector<ManifestFinding>
CheckManifest(const Manifest& aManifest,
              const SteeringSettings* aSettings,
              const ManifestCheckOptions& aOptions)
{
  return Checker(aManifest, aSettings, aOptions).Run();
}

std::vector<ManifestFinding>
CheckOpenings(const Manifest& aNew, const Manifest& aInForce)
{
  std::vector<ManifestFinding> findings;
  if (aInForce.needsKeys && !aNew.needsKeys)
    findings.push_back(
      { .place = { .field = ManifestField::Workspaces },
        .message = "are missing, but the version in force has them: callers need no key on any "
                   "route, and instances get the keys that callers still send" });
  if (LimitsAfter(aNew, aInForce.limits) != aNew.limits)
    findings.push_back(
      { .place = { .part = ManifestPart::Limits },
        .message = "are not all stated; a VM that starts uses the defaults, which are above those "
                   "in force" });
  return findings;
}

std::vector<ManifestFinding>
CheckVersion(const Manifest& aNew, const Manifest& aInForce)
{
  const ManifestPlace place{ .field = ManifestField::Version };
  if (aNew.version < aInForce.version)
    return { { .place = place,
               .severity = Severity::Error,
               .message = "is lower than the version in force; it is rejected" } };
  if (aNew.version == aInForce.version && aNew != aInForce)
    return { { .place = place,
               .severity = Severity::Error,
               .message = "is the version in force, but the content differs; it is ignored" } };
  return {};
}

} // namespace dfm
