#ifndef DRAGONFLYMOOR_CHECK_MANIFESTCHECK_H
#define DRAGONFLYMOOR_CHECK_MANIFESTCHECK_H

#include "dragonflymoor/Settings/SteeringSettings.h"
#include "dragonflymoor/Steering/Manifest.h"
#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dfm {

enum class Severity
{
  Error,   ///< The daemon rejects the configuration, or serves a part of it as invalid.
  Warning, ///< The daemon serves the configuration, which is probably not what was meant.
};

enum class ManifestPart
{
  Whole,
  Route,
  Service,
  Workspace,
  Limits,
  FailureDomains, ///< Of the settings.
};

enum class ManifestField
{
  None, ///< The part itself.
  Version,
  Workspaces,
  Name,
  Host,
  PathPrefix,
  Goal,
  Timeout,
  Attempts,
  HomeRegions,
  Keys,
  RequestsPerSecond,
  Burst,
  BodyBytes,
};

/// A place in a manifest, without the names that the platform gives to its fields.
struct ManifestPlace
{
  ManifestPart part = ManifestPart::Whole;
  size_t index = 0; ///< In the routes, services (in the order of their ids) or workspaces.
  ManifestField field = ManifestField::None;

  auto operator<=>(const ManifestPlace&) const = default;
};

struct ManifestFinding
{
  ManifestPlace place;
  Severity severity = Severity::Warning;
  std::string message;

  auto operator<=>(const ManifestFinding&) const = default;
};

struct ManifestCheckOptions
{
  /// Longest time for which callers wait; without it, time-outs are not compared with it.
  std::optional<Duration> longestWait;
  /// Memory of the smallest machine.
  size_t memoryBytes = 112UL * 1024 * 1024;
  /// Requests a second that a service has to be able to get; services not named are not checked.
  std::map<ServiceId, double> neededRates;
};

/// Finds what is consistent for the daemon but probably not meant. Manifest::problems are not
/// repeated. aSettings may be null: then neither regions nor the retry budget are known, and what
/// depends on them is not checked. The messages may contain any text of the manifest but its keys.
/// Safe to call from any thread.
std::vector<ManifestFinding>
CheckManifest(const Manifest& aManifest,
              const SteeringSettings* aSettings,
              const ManifestCheckOptions& aOptions);

/// Finds what aNew leaves out and thereby opens to callers, compared with aInForce. Safe to call
/// from any thread.
std::vector<ManifestFinding>
CheckOpenings(const Manifest& aNew, const Manifest& aInForce);

/// As the daemon decides it: whether aNew can replace aInForce.
std::vector<ManifestFinding>
CheckVersion(const Manifest& aNew, const Manifest& aInForce);

} // namespace dfm

#endif
