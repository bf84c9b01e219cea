#ifndef DRAGONFLYMOOR_SUPPORT_HASH_H
#define DRAGONFLYMOOR_SUPPORT_HASH_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace dfm {

/// 128-bit hash, wide enough that two keys of a retention period never collide by accident.
struct Hash128
{
  uint64_t high = 0;
  uint64_t low = 0;

  auto operator<=>(const Hash128&) const = default;
};

/// Hashes bytes. The result is the same on every VM. Safe to call from any thread.
uint64_t
HashBytes(std::string_view aBytes, uint64_t aSeed = 0);

/// 128-bit variant of HashBytes. Safe to call from any thread.
Hash128
HashBytes128(std::string_view aBytes);

/// 32 lower-case hexadecimal digits, the high half first.
std::string
ToHex(const Hash128& aHash);

/// Weight of a candidate for a key in rendezvous hashing: the candidate with the highest weight
/// wins.
uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aCandidate);

} // namespace dfm

#endif
