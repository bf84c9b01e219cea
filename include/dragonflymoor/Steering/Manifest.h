#ifndef DRAGONFLYMOOR_STEERING_MANIFEST_H
#define DRAGONFLYMOOR_STEERING_MANIFEST_H

#include "dragonflymoor/Support/Finding.h"
#include "dragonflymoor/Support/Id.h"
#include "dragonflymoor/Support/Time.h"
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dfm {

/// A service that receives part of a route's requests, and the weight of that part.
struct SplitPart
{
  ServiceId service;
  double weight = 1; ///< Relative to the other parts; above 0.

  auto operator<=>(const SplitPart&) const = default;
};

/// Rules for serving the requests for one host below one path prefix.
struct Route
{
  std::string name;
  std::string host;       ///< Lower case, without port.
  std::string pathPrefix; ///< Begins and ends with a slash.
  bool idempotent = false;
  Duration timeout{};       ///< Time limit for the final answer.
  Duration goal{};          ///< An answer within this time has its full value.
  unsigned priority = 0;    ///< 0 is the most urgent.
  unsigned maxAttempts = 1; ///< Number of instances that one request may be sent to.
  bool sticky = false;      ///< Instances serve an object faster if they have served it before.
  std::vector<RegionId> homeRegions; ///< Only these may serve the route; empty: all.
  bool isPublic = false;             ///< Callers need no key.
  /// The configuration of the route is invalid. Its requests are refused as not run: a route with a
  /// shorter prefix could send them to another service.
  bool invalid = false;
  std::vector<SplitPart> parts; ///< Never empty unless the route is invalid.

  auto operator<=>(const Route&) const = default;
};

/// A paying customer, as the manifest describes it.
struct Workspace
{
  WorkspaceId id;
  std::vector<std::string> keys;     ///< Callers with one of these act for the workspace.
  std::optional<unsigned> priority;  ///< Replaces the priority of the route.
  double requestsPerSecond = 0;      ///< Quota over all VMs together; 0 is no limit.
  double burst = 0;                  ///< Requests beyond the rate.
  std::vector<RegionId> homeRegions; ///< Only these may serve the workspace; empty: all.
  /// The configuration of the workspace is invalid. Its requests are refused as not run.
  bool invalid = false;

  auto operator<=>(const Workspace&) const = default;
};

/// The operator's settings for one service.
struct ServiceSpec
{
  ServiceId id;
  std::string healthPath;
  unsigned maxConnections = 0;      ///< Of one instance, from all callers together.
  Duration coldStart{};             ///< Time for which an instance is cold after its start.
  double coldRequestsPerSecond = 0; ///< Request rate that a cold instance can handle, over all VMs.

  auto operator<=>(const ServiceSpec&) const = default;
};

/// Limits for the requests and connections of callers.
struct CallerLimits
{
  size_t headerBytes = 16'384;
  size_t bodyBytes = 64UL * 1024 * 1024;
  Duration headerTimeout = 3s;
  Duration idleTimeout = 15s;

  auto operator<=>(const CallerLimits&) const = default;
};

/// The limits that a manifest does not state, or not validly.
struct UnstatedLimits
{
  bool headerBytes = false;
  bool bodyBytes = false;
  bool headerTimeout = false;
  bool idleTimeout = false;

  auto operator<=>(const UnstatedLimits&) const = default;
};

/// One version of the operator's configuration. A higher version replaces a lower one.
struct Manifest
{
  uint64_t version = 0;
  std::vector<Route> routes;
  /// Invalid routes without a readable host or path prefix, which is empty then: any request that
  /// could be theirs is refused as not run. Each has one of the two.
  std::vector<Route> unplacedRoutes;
  std::map<ServiceId, ServiceSpec> services;
  /// Whether callers of routes that are not public need a key, also when no workspace has one.
  bool needsKeys = true;
  std::vector<Workspace> workspaces;
  CallerLimits limits; ///< Defaults where unstatedLimits is set.
  UnstatedLimits unstatedLimits;
  /// Invalid parts, which are left out or refuse their requests. The rest is served.
  Findings problems;

  bool operator==(const Manifest&) const = default;
};

/// Finds the route and the workspace of a request. Immutable; safe to use from any thread.
class RouteIndex
{
public:
  explicit RouteIndex(std::shared_ptr<const Manifest> aManifest);

  /// Returns the route of aHost with the longest path prefix that matches aPath, or null. An
  /// unplaced route is returned where it could have a prefix that is at least as long. A port in
  /// aHost and the case of its letters are ignored. The route lives as long as the manifest.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

  /// Whether the host has routes, and all of them may be served in aRegion.
  bool MayServeHostIn(std::string_view aHost, const RegionId& aRegion) const;

  /// Returns the workspace of the caller that has aKey, or null if no workspace or more than one
  /// has it. Takes the same time however many keys there are. The workspace lives as long as the
  /// manifest.
  const Workspace* FindWorkspace(std::string_view aKey) const;

  const Manifest& GetManifest() const { return *manifest_; }

private:
  const std::vector<const Route*>* FindHostRoutes(std::string_view aHost) const;
  const Route* FindUnplaced(std::string_view aHost,
                            std::string_view aPath,
                            const Route* aPlaced) const;

  std::shared_ptr<const Manifest> manifest_;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> routesByHost_;
  /// Null for a key that several workspaces have.
  std::unordered_map<std::string_view, const Workspace*> workspacesByKey_;
};

/// Returns the limits that hold when aNew replaces a manifest with the limits aInForce. A limit
/// that aNew does not state is never above the one in force or its default. Thread-safe.
CallerLimits
LimitsAfter(const Manifest& aNew, const CallerLimits& aInForce);

/// Whether a request on aRoute may be served in aRegion. aWorkspace is the caller's, or null. The
/// homes of both bind. Thread-safe.
bool
MayServeIn(const Route& aRoute, const Workspace* aWorkspace, const RegionId& aRegion);

/// Rank of a request; 0 is the most urgent. aWorkspace is the caller's, or null. Thread-safe.
unsigned
PriorityOf(const Route& aRoute, const Workspace* aWorkspace);

} // namespace dfm

#endif
