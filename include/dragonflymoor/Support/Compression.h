#ifndef DRAGONFLYMOOR_SUPPORT_COMPRESSION_H
#define DRAGONFLYMOOR_SUPPORT_COMPRESSION_H

#include <optional>
#include <string>
#include <string_view>

namespace dfm {

/// Compresses less than 4 GB with zlib. Safe to call from any thread.
std::string
Deflate(std::string_view aBytes);

/// Inverse of Deflate. Returns nothing when aBytes is malformed or truncated, or stands for more
/// than aMaxBytes. Safe to call from any thread.
std::optional<std::string>
Inflate(std::string_view aBytes, size_t aMaxBytes);

} // namespace dfm

#endif
