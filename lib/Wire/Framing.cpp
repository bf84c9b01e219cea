#include "dragonflymoor/Wire/Framing.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace dfm {

std::array<char, kFrameHeaderBytes>
FrameHeader(size_t aPayloadBytes)
{
  assert(aPayloadBytes <= kMaxFrameBytes && "payload is too long for a frame");
  std::array<char, kFrameHeaderBytes> header{};
  for (size_t i = 0; i < kFrameHeaderBytes; ++i)
    header[i] = static_cast<char>((aPayloadBytes >> (8 * i)) & 0xff);
  return header;
}

Decoded<size_t>
ParseFrameHeader(const std::array<char, kFrameHeaderBytes>& aHeader)
{
  size_t length = 0;
  for (size_t i = 0; i < kFrameHeaderBytes; ++i)
    length |= static_cast<size_t>(static_cast<unsigned char>(aHeader[i])) << (8 * i);
  if (length == 0)
    return tl::unexpected(CodecError{ "frame: length is 0" });
  if (length > kMaxFrameBytes) {
    return tl::unexpected(
      CodecError{ fmt::format("frame: length {} is above {}", length, kMaxFrameBytes) });
  }
  return length;
}

void
FrameReader::Append(std::string_view aBytes)
{
  buffer_.append(aBytes);
}

Decoded<std::optional<std::string>>
FrameReader::Next()
{
  const size_t available = buffer_.size() - consumed_;
  if (available < kFrameHeaderBytes)
    return std::nullopt;
  std::array<char, kFrameHeaderBytes> header{};
  std::copy_n(buffer_.data() + consumed_, kFrameHeaderBytes, header.begin());
  const Decoded<size_t> length = ParseFrameHeader(header);
  if (!length)
    return tl::unexpected(length.error());
  if (available < kFrameHeaderBytes + *length)
    return std::nullopt;
  std::string payload = buffer_.substr(consumed_ + kFrameHeaderBytes, *length);
  consumed_ += kFrameHeaderBytes + *length;
  // Erasing after every frame would move the rest of the buffer once for each short frame.
  if (consumed_ * 2 >= buffer_.size()) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
  }
  return payload;
}

} // namespace dfm
