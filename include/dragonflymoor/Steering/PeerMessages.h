#ifndef DRAGONFLYMOOR_STEERING_PEERMESSAGES_H
#define DRAGONFLYMOOR_STEERING_PEERMESSAGES_H

#include "dragonflymoor/Steering/Dispatcher.h"
#include "dragonflymoor/Steering/FleetKeeper.h"
#include "dragonflymoor/Wire/Codec.h"
#include <array>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dfm {

/// UDP: a request crashed an instance.
struct PeerCrashReport
{
  uint64_t reportId = 0;
  uint64_t fingerprint = 0;

  auto operator<=>(const PeerCrashReport&) const = default;
};

/// TCP: asks for all kinds of objects of which the receiver knows a later revision.
struct StateRequest
{
  std::array<uint64_t, kObjectKindCount> revisions{};

  auto operator<=>(const StateRequest&) const = default;
};

struct StateReply
{
  struct Kind
  {
    ObjectKind kind = ObjectKind::Manifest;
    ObjectSet set; ///< All objects, or those that changed since the requested revision.
    bool complete = true;
    std::vector<std::string> removed; ///< Objects that are gone, when not whole.

    bool operator==(const Kind&) const = default;
  };
  /// The store answers the sender, and has for long enough that lapsed entries are back.
  bool storeSteady = false;
  /// The store answers the sender's own calls.
  bool storeReachable = false;
  std::vector<Kind> kinds;

  bool operator==(const StateReply&) const = default;
};

using PeerMessage = std::variant<PeerLoad, PeerCrashReport, StateRequest, StateReply>;

struct PeerEnvelope
{
  VmId sender;
  PeerMessage message;

  bool operator==(const PeerEnvelope&) const = default;
};

/// Encodes one datagram or the payload of one frame. Safe to call from any thread.
std::string
EncodePeer(const VmId& aSender, const PeerMessage& aMessage);

/// Inverse of EncodePeer. Bytes from an untrusted sender give an error and never undefined
/// behaviour. Safe to call from any thread.
Decoded<PeerEnvelope>
DecodePeer(std::string_view aBytes);

} // namespace dfm

#endif
