#ifndef DRAGONFLYMOOR_STEERING_STOREREVISION_H
#define DRAGONFLYMOOR_STEERING_STOREREVISION_H

#include <compare>
#include <cstdint>
#include <string>

namespace dfm {

/// Position in the history of the platform's store. Within an epoch the store's counter only rises.
/// When the store returns from an older copy, a new epoch begins, the counter goes back, and its
/// numbers are given out again.
struct StoreRevision
{
  uint64_t epoch = 0;  ///< Of a store that states none: 0.
  uint64_t number = 0; ///< The store's counter; 0 while no state of the store is known.

  auto operator<=>(const StoreRevision&) const = default;
};

/// Formats a revision as "epoch.number". Thread-safe.
std::string
ToText(const StoreRevision& aRevision);

} // namespace dfm

#endif
