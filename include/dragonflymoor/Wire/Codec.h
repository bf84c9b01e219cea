#ifndef DRAGONFLYMOOR_WIRE_CODEC_H
#define DRAGONFLYMOOR_WIRE_CODEC_H

#include "dragonflymoor/Wire/Messages.h"
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dfm {

/// Why bytes are not a message, for example "forward request: rank 7 does not exist".
struct CodecError
{
  std::string message;

  auto operator<=>(const CodecError&) const = default;
};

template<typename T>
using Decoded = tl::expected<T, CodecError>;

/// A stream message with the VM that sent it.
struct StreamEnvelope
{
  VmId sender;
  StreamMessage message;

  auto operator<=>(const StreamEnvelope&) const = default;
};

/// Encodes one datagram. Safe to call from any thread.
std::string
EncodeDatagram(const DatagramMessage& aMessage);

/// Decodes one datagram. Bytes from an untrusted sender give an error and never undefined
/// behaviour. Safe to call from any thread.
Decoded<DatagramMessage>
DecodeDatagram(std::string_view aBytes);

/// Encodes the payload of one frame. RequestHead::deadline is not transmitted, because clocks of
/// two VMs are unrelated; ForwardRequest::timeLeft replaces it. Safe to call from any thread.
std::string
EncodeStream(const VmId& aSender, const StreamMessage& aMessage);

/// Decodes the payload of one frame, with the guarantees of DecodeDatagram. Safe to call from any
/// thread.
Decoded<StreamEnvelope>
DecodeStream(std::string_view aPayload);

} // namespace dfm

#endif
