#include "dragonflymoor/Support/Compression.h"

#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <new>
#include <zlib.h>

namespace dfm {

namespace {

/// Favours speed: the bytes are sent once to a few VMs.
constexpr int kLevel = 3;

/// The compressed bytes follow their uncompressed size.
constexpr size_t kPrefixBytes = sizeof(uint32_t);

} // namespace

std::string
Deflate(std::string_view aBytes)
{
  uLongf packedSize = compressBound(aBytes.size());
  std::string packed(kPrefixBytes + packedSize, '\0');
  auto* const bytes = reinterpret_cast<unsigned char*>(packed.data());
  boost::endian::store_little_u32(bytes, static_cast<uint32_t>(aBytes.size()));
  const int result = compress2(bytes + kPrefixBytes,
                               &packedSize,
                               reinterpret_cast<const Bytef*>(aBytes.data()),
                               aBytes.size(),
                               kLevel);
  // The buffer has the size that zlib asks for, so that only memory can be missing.
  if (result != Z_OK)
    throw std::bad_alloc();
  packed.resize(kPrefixBytes + packedSize);
  return packed;
}

std::optional<std::string>
Inflate(std::string_view aBytes, size_t aMaxBytes)
{
  if (aBytes.size() < kPrefixBytes)
    return std::nullopt;
  const auto* const bytes = reinterpret_cast<const unsigned char*>(aBytes.data());
  const size_t size = boost::endian::load_little_u32(bytes);
  if (size > aMaxBytes)
    return std::nullopt;
  std::string unpacked(size, '\0');
  uLongf unpackedSize = size;
  const int result = uncompress(reinterpret_cast<Bytef*>(unpacked.data()),
                                &unpackedSize,
                                bytes + kPrefixBytes,
                                aBytes.size() - kPrefixBytes);
  if (result != Z_OK || unpackedSize != size)
    return std::nullopt;
  return unpacked;
}

} // namespace dfm
