#ifndef DRAGONFLYMOOR_OPERATOR_TEXTDIFF_H
#define DRAGONFLYMOOR_OPERATOR_TEXTDIFF_H

#include <string>
#include <string_view>

namespace dfm {

/// Lines that differ, each with "- " (only in aOld) or "+ " (only in aNew) in front, in the order
/// of the texts. Empty when the texts have the same lines. Safe to call from any thread.
std::string
DiffLines(std::string_view aOld, std::string_view aNew);

} // namespace dfm

#endif
