#include "dragonflymoor/Steering/StateDelegation.h"

#include <algorithm>
#include <iterator>

namespace dfm {

namespace {

/// A VM that has not asked for this long has stopped, or asks another one.
constexpr Duration kAskerLifetime = 1s;

/// Delegates named to one VM; it uses the others when the first does not answer.
constexpr size_t kMaxDelegates = 2;

} // namespace

StateDelegation::StateDelegation(StateDelegationOptions aOptions)
  : options_(std::move(aOptions))
{
}

std::vector<Endpoint>
StateDelegation::DelegatesFor(TimePoint aNow,
                              const FailureDomainId& aDomain,
                              const Endpoint& aAsker)
{
  Askers& askers = askersByDomain_[aDomain];
  std::erase_if(askers.lastAskedAt,
                [aNow](const auto& aEntry) { return aNow - aEntry.second >= kAskerLifetime; });
  const size_t maxAskers = aDomain == options_.ownDomain ? options_.maxAskersOfOwnDomain
                                                         : options_.maxAskersOfOtherDomains;
  if (askers.lastAskedAt.size() < maxAskers || askers.lastAskedAt.contains(aAsker)) {
    askers.lastAskedAt[aAsker] = aNow;
    return {};
  }
  // Consecutive VMs get different first delegates.
  std::vector<Endpoint> delegates;
  const size_t first = askers.redirectCount++ % askers.lastAskedAt.size();
  auto next = std::next(askers.lastAskedAt.begin(), static_cast<std::ptrdiff_t>(first));
  while (delegates.size() < std::min(kMaxDelegates, askers.lastAskedAt.size())) {
    delegates.push_back(next->first);
    if (++next == askers.lastAskedAt.end())
      next = askers.lastAskedAt.begin();
  }
  return delegates;
}

} // namespace dfm
