#ifndef DRAGONFLYMOOR_CHECK_MANIFESTDIFF_H
#define DRAGONFLYMOOR_CHECK_MANIFESTDIFF_H

#include "dragonflymoor/Check/ManifestCheck.h"
#include "dragonflymoor/Steering/Manifest.h"
#include <compare>
#include <string>
#include <vector>

namespace dfm {

enum class ChangeKind
{
  Added,
  Removed,
  Changed,
};

/// One part that differs between two manifests.
struct ManifestChange
{
  ChangeKind kind = ChangeKind::Changed;
  ManifestPart part = ManifestPart::Whole;
  std::string name;                 ///< Host and prefix of a route; empty for limits and the whole.
  std::vector<std::string> effects; ///< What changes for callers, one sentence each.

  auto operator<=>(const ManifestChange&) const = default;
};

/// Returns what changes for callers when aNew replaces aInForce: routes, then services, then
/// workspaces, then the rest. Routes are compared by host and path prefix; a route that another one
/// hides counts as missing. Keys are only counted. Safe to call from any thread.
std::vector<ManifestChange>
DiffManifests(const Manifest& aInForce, const Manifest& aNew);

} // namespace dfm

#endif
