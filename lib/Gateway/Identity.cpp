#include "dragonflymoor/Gateway/Identity.h"

namespace dfm {

CallerIdentity
IdentifyCaller(const RouteIndex& aRoutes, const Route& aRoute, const CallerCredential& aCredential)
{
  using Verdict = CallerIdentity::Verdict;
  if (aRoute.invalid)
    return { .verdict = Verdict::Unavailable };
  if (!aRoutes.GetManifest().needsKeys)
    return {};
  const Workspace* const workspace = aCredential.kind == CallerCredential::Kind::Key
                                       ? aRoutes.FindWorkspace(aCredential.key)
                                       : nullptr;
  if (workspace == nullptr)
    return { .verdict = aRoute.isPublic ? Verdict::Accepted : Verdict::Unknown };
  if (workspace->invalid)
    return { .verdict = Verdict::Unavailable };
  return { .workspace = workspace };
}

} // namespace dfm
