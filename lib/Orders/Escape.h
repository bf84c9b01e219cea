#ifndef DRAGONFLYMOOR_LIB_ORDERS_ESCAPE_H
#define DRAGONFLYMOOR_LIB_ORDERS_ESCAPE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dfm {

/// Percent-encodes everything but letters, digits, '-' and '_', so that the result contains neither
/// dots nor blanks.
std::string
EscapeName(std::string_view aName);

/// Inverse of EscapeName; empty for text that EscapeName cannot have written.
std::optional<std::string>
UnescapeName(std::string_view aText);

/// Parses exactly 16 lower-case hexadecimal digits.
std::optional<uint64_t>
ParseHex64(std::string_view aText);

} // namespace dfm

#endif
