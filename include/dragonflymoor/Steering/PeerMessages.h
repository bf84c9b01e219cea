#ifndef DRAGONFLYMOOR_STEERING_PEERMESSAGES_H
#define DRAGONFLYMOOR_STEERING_PEERMESSAGES_H

#include "dragonflymoor/Steering/Dispatcher.h"
#include "dragonflymoor/Steering/FleetKeeper.h"
#include "dragonflymoor/Wire/Codec.h"
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dfm {

/// Notifies other VMs, over UDP, that a request crashed an instance.
struct PeerCrashReport
{
  uint64_t reportId = 0;
  uint64_t fingerprint = 0;

  auto operator<=>(const PeerCrashReport&) const = default;
};

/// Sent over TCP. Asks for the objects of every kind of which the receiver knows a later revision.
struct StateRequest
{
  /// The sender's failure domain and port for other VMs. Empty when the receiver must not name
  /// other VMs in its place.
  FailureDomainId domain;
  Endpoint peers;
  /// The sender's revision of each kind of object; the largest number for a kind that it does not
  /// ask for in its epoch.
  std::array<StoreRevision, kObjectKindCount> revisions{};
  uint64_t manifestVersion = 0; ///< In force at the sender; 0 without one.
  bool wantsEarlierState = false;

  auto operator<=>(const StateRequest&) const = default;
};

/// Answer to a StateRequest.
struct StateReply
{
  struct Kind
  {
    ObjectKind kind = ObjectKind::Manifest;
    ObjectSet set;        ///< All objects, or those that changed since the requested revision.
    bool complete = true; ///< Whether set has all objects, not only changed ones.
    std::vector<std::string> removed; ///< Names of removed objects if not complete.
    /// PackObjects(set.objects); encoded in their place unless empty. Empty after decoding.
    std::string packed;
    /// Names of all objects, if not complete and removed may not have all removals.
    std::optional<std::set<std::string>> names;
    /// PackNames(*names); encoded in their place unless empty. Empty after decoding.
    std::string packedNames;

    bool operator==(const Kind&) const = default;
  };
  /// Whether the store has answered the sender for long enough that expired entries are registered
  /// again.
  bool storeSteady = false;
  /// Whether the store answered the sender, or the VM from which the sender has the state.
  bool storeReachable = false;
  Duration answerAge{}; ///< Time since then.
  /// VMs that serve the asker instead of the sender. If there are any, the reply has no objects.
  std::vector<Endpoint> delegates;
  std::optional<uint64_t> epoch; ///< Of the store, as far as the sender knows.
  std::vector<Kind> kinds;
  EarlierState earlier; ///< Empty unless the request asks for it.

  bool operator==(const StateReply&) const = default;
};

/// Sent over TCP. Carries the list of the members that the sender knows.
struct PeerMemberSync
{
  MemberSync sync;

  auto operator<=>(const PeerMemberSync&) const = default;
};

using PeerMessage =
  std::variant<PeerLoad, PeerCrashReport, StateRequest, StateReply, PeerMemberSync>;

/// A message together with the VM that sent it.
struct PeerEnvelope
{
  VmId sender;
  PeerMessage message;

  bool operator==(const PeerEnvelope&) const = default;
};

/// Encodes and compresses objects. Safe to call from any thread.
std::string
PackObjects(const std::map<std::string, std::string>& aObjects);

/// Encodes and compresses names of objects. Safe to call from any thread.
std::string
PackNames(const std::set<std::string>& aNames);

/// Encodes one datagram or the payload of one frame. Safe to call from any thread.
std::string
EncodePeer(const VmId& aSender, const PeerMessage& aMessage);

/// Inverse of EncodePeer. Malformed bytes, also from an untrusted sender, result in an error and
/// never in undefined behaviour. Safe to call from any thread.
Decoded<PeerEnvelope>
DecodePeer(std::string_view aBytes);

} // namespace dfm

#endif
