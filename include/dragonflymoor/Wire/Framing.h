#ifndef DRAGONFLYMOOR_WIRE_FRAMING_H
#define DRAGONFLYMOOR_WIRE_FRAMING_H

#include "dragonflymoor/Wire/Codec.h"
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dfm {

/// Bytes of the little-endian length before each payload.
constexpr size_t kFrameHeaderBytes = 4;

/// An answer of 8 MB with its headers fits; a longer frame comes from a faulty sender.
constexpr size_t kMaxFrameBytes = 9UL * 1024 * 1024;

/// The header of a frame with a payload of aPayloadBytes. Precondition: aPayloadBytes is at most
/// kMaxFrameBytes.
std::array<char, kFrameHeaderBytes>
FrameHeader(size_t aPayloadBytes);

/// The payload length that a header states, or why it cannot be one.
Decoded<size_t>
ParseFrameHeader(const std::array<char, kFrameHeaderBytes>& aHeader);

/// Cuts a byte stream into frame payloads. After an error the stream has no frame boundary any more
/// and every further call gives the same error. Not thread-safe.
class FrameReader
{
public:
  /// Appends received bytes.
  void Append(std::string_view aBytes);

  /// The next complete payload, or nothing when bytes are missing.
  Decoded<std::optional<std::string>> Next();

private:
  std::string buffer_;
  size_t consumed_ = 0;
};

} // namespace dfm

#endif
