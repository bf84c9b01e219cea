#include "dragonflymoor/Support/Hash.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace dfm {

uint64_t
HashBytes(std::string_view aBytes, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

Hash128
HashBytes128(std::string_view aBytes)
{
  const XXH128_hash_t hash = XXH3_128bits(aBytes.data(), aBytes.size());
  return Hash128{ .high = hash.high64, .low = hash.low64 };
}

std::string
ToHex(const Hash128& aHash)
{
  return fmt::format("{:016x}{:016x}", aHash.high, aHash.low);
}

uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aCandidate)
{
  return HashBytes(aCandidate, HashBytes(aKey));
}

} // namespace dfm
