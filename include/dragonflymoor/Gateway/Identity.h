#ifndef DRAGONFLYMOOR_GATEWAY_IDENTITY_H
#define DRAGONFLYMOOR_GATEWAY_IDENTITY_H

#include "dragonflymoor/Gateway/Protocol.h"
#include "dragonflymoor/Steering/Manifest.h"

namespace dfm {

/// For which workspace a caller acts, and whether its request may be served.
struct CallerIdentity
{
  enum class Verdict
  {
    Accepted,
    Unknown,     ///< The route needs a key that belongs to exactly one workspace.
    Unavailable, ///< The route or the workspace is invalid in the manifest.
  };
  Verdict verdict = Verdict::Accepted;
  const Workspace* workspace = nullptr; ///< Lives as long as the manifest.

  auto operator<=>(const CallerIdentity&) const = default;
};

/// Identifies the caller of a request on aRoute by the manifest in force. A public route needs no
/// key; a known key still tells the workspace. Without Manifest::needsKeys no route needs a key.
/// Precondition: aRoute is a route of aRoutes. Thread-safe.
CallerIdentity
IdentifyCaller(const RouteIndex& aRoutes, const Route& aRoute, const CallerCredential& aCredential);

} // namespace dfm

#endif
