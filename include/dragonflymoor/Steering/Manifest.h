#ifndef DRAGONFLYMOOR_STEERING_MANIFEST_H
#define DRAGONFLYMOOR_STEERING_MANIFEST_H

#include "dragonflymoor/Support/Id.h"
#include "dragonflymoor/Support/Time.h"
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dfm {

/// Part of a route's requests that goes to one service.
struct SplitPart
{
  ServiceId service;
  double weight = 1; ///< Relative to the other parts; above 0.

  auto operator<=>(const SplitPart&) const = default;
};

/// Requests of one host below one path prefix, and how they are to be served.
struct Route
{
  std::string name;
  std::string host;       ///< Lower case, without port.
  std::string pathPrefix; ///< Begins and ends with a slash.
  bool idempotent = false;
  Duration timeout{};       ///< Longest time until the final answer.
  Duration goal{};          ///< An answer within this time has its full value.
  unsigned priority = 0;    ///< 0 is the most urgent.
  unsigned maxAttempts = 1; ///< Instances that one request may be sent to.
  bool sticky = false;      ///< Instances serve an object faster if they have served it before.
  std::vector<RegionId> homeRegions; ///< Only these may serve the route; empty: all.
  std::vector<SplitPart> parts;      ///< Never empty.

  auto operator<=>(const Route&) const = default;
};

/// What the operator declares of a service.
struct ServiceSpec
{
  ServiceId id;
  std::string healthPath;
  unsigned maxConnections = 0; ///< Of one instance, from all callers together.
  Duration coldStart{};        ///< How long an instance is cold after its start.
  double coldRequestsPerSecond =
    0; ///< Rate that a cold instance can handle, from all VMs together.

  auto operator<=>(const ServiceSpec&) const = default;
};

/// Bounds for what a caller may send.
struct CallerLimits
{
  size_t headerBytes = 16'384;
  size_t bodyBytes = 64UL * 1024 * 1024;
  Duration headerTimeout = 3s;
  Duration idleTimeout = 15s;

  auto operator<=>(const CallerLimits&) const = default;
};

/// The operator's configuration in one version. A higher version replaces a lower one.
struct Manifest
{
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceId, ServiceSpec> services;
  CallerLimits limits;

  bool operator==(const Manifest&) const = default;
};

/// Finds the route of a request. Immutable; safe to use from any thread.
class RouteIndex
{
public:
  explicit RouteIndex(std::shared_ptr<const Manifest> aManifest);

  /// The route with the longest prefix of aPath on aHost, or null. A port in aHost and the case of
  /// its letters do not matter. The route lives as long as the manifest.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

  /// Whether the host has routes, and all of them may be served in aRegion.
  bool MayServeHostIn(std::string_view aHost, const RegionId& aRegion) const;

  const Manifest& GetManifest() const { return *manifest_; }

private:
  const std::vector<const Route*>* FindHostRoutes(std::string_view aHost) const;

  std::shared_ptr<const Manifest> manifest_;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> routesByHost_;
};

/// Whether aRoute may be served in aRegion.
bool
MayServeIn(const Route& aRoute, const RegionId& aRegion);

} // namespace dfm

#endif
