#ifndef DRAGONFLYMOOR_SUPPORT_CLOSESTNAME_H
#define DRAGONFLYMOOR_SUPPORT_CLOSESTNAME_H

#include <string_view>
#include <vector>

namespace dfm {

/// Returns the name among aKnown that aName was probably meant to be, or an empty one. Case and
/// separators do not count. Safe to call from any thread.
std::string_view
ClosestName(std::string_view aName, const std::vector<std::string_view>& aKnown);

} // namespace dfm

#endif
