#ifndef DRAGONFLYMOOR_WIRE_MESSAGES_H
#define DRAGONFLYMOOR_WIRE_MESSAGES_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Model/Request.h"
#include "dragonflymoor/Support/Id.h"
#include "dragonflymoor/Support/Time.h"
#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dfm {

/// State of a member of the fleet as one VM sees it.
enum class MemberState : uint8_t
{
  Alive,
  Suspect,
  Dead,
  Left,
};

/// One statement about a member; a higher (incarnation, sequence) replaces a lower one.
struct MemberUpdate
{
  Vm vm;
  Incarnation incarnation;
  uint64_t startedAtMs = 0; ///< Wall time of the start; orders two incarnations of one VM.
  uint32_t sequence = 0;    ///< Raised by the member itself to refute a suspicion.
  MemberState state = MemberState::Alive;
  bool leaving = false;
  std::array<ListVersion, kListCount> listVersions{};

  auto operator<=>(const MemberUpdate&) const = default;
};

/// UDP: asks the receiver whether it lives.
struct Probe
{
  uint64_t nonce = 0;
  std::vector<MemberUpdate> updates; ///< The first one describes the sender.

  auto operator<=>(const Probe&) const = default;
};

/// UDP: answer to Probe, also passed on by the VM that probed on behalf of another.
struct ProbeAck
{
  uint64_t nonce = 0;
  std::vector<MemberUpdate> updates;

  auto operator<=>(const ProbeAck&) const = default;
};

/// UDP: asks the receiver to probe another VM and to pass its answer on.
struct IndirectProbe
{
  uint64_t nonce = 0;
  VmId target;
  std::vector<MemberUpdate> updates;

  auto operator<=>(const IndirectProbe&) const = default;
};

/// TCP: whole member list, as request (with the sender's own view) and as answer.
struct MemberSync
{
  bool wantsReply = false;
  std::vector<MemberUpdate> members;

  auto operator<=>(const MemberSync&) const = default;
};

/// TCP: load of a pool, from its owner.
struct PoolState
{
  PoolId pool;
  Incarnation owner;
  uint32_t slots = 0;
  uint32_t inFlight = 0;
  std::array<uint32_t, kRankCount> queued{};

  auto operator<=>(const PoolState&) const = default;
};

/// TCP: passes a request on. The bytes of method, target, headers and body travel in content.
struct ForwardRequest
{
  RequestId id; ///< Number given by the sender.
  RequestHead head;
  Duration timeLeft{}; ///< Until the deadline, at the moment of sending.
  std::string content;

  auto operator<=>(const ForwardRequest&) const = default;
};

/// TCP: final decision of the receiver of ForwardRequest.
struct ForwardReply
{
  RequestId id; ///< Number given by the sender of ForwardRequest.
  Outcome outcome = Outcome::Unknown;
  Reason reason = Reason::None;
  std::optional<VmId> owner; ///< With reason NotOwner: the VM to ask instead.
  std::optional<Duration> retryAfter;
  std::optional<PoolState> poolState;
  std::string content; ///< The answer, with outcome Answered.

  auto operator<=>(const ForwardReply&) const = default;
};

struct ForwardCancel
{
  RequestId id;

  auto operator<=>(const ForwardCancel&) const = default;
};

/// What a claim in the store says about a key.
enum class ClaimState : uint8_t
{
  Claimed, ///< Only the named VM instance may run the request.
  Refused, ///< Nobody may run the request.
};

struct Claim
{
  Hash128 key;
  ClaimState state = ClaimState::Claimed;
  VmInstance claimer;

  auto operator<=>(const Claim&) const = default;
};

/// TCP: asks the batching VM to write a claim.
struct ClaimRequest
{
  uint64_t nonce = 0;
  uint64_t window = 0;
  Claim claim;

  auto operator<=>(const ClaimRequest&) const = default;
};

/// TCP: the claim that is in force now, or that the store gave no answer.
struct ClaimReply
{
  uint64_t nonce = 0;
  bool storeAnswered = false;
  Claim inForce;

  auto operator<=>(const ClaimReply&) const = default;
};

/// Kind of a fleet-wide amount that is divided between VMs.
enum class ShareKind : uint8_t
{
  PlanRate,
  PlanInFlight,
  LinkBytes,
};

/// A fleet-wide amount: a plan limit ("plan/service") or a link cap ("from/to").
struct ShareKey
{
  ShareKind kind = ShareKind::PlanRate;
  std::string name;

  auto operator<=>(const ShareKey&) const = default;
};

/// TCP: asks to borrow part of a share.
struct ShareRequest
{
  uint64_t nonce = 0;
  ShareKey key;
  double amount = 0;

  auto operator<=>(const ShareRequest&) const = default;
};

/// TCP: answer to ShareRequest; amount 0 means none to spare.
struct ShareGrant
{
  uint64_t nonce = 0;
  ShareKey key;
  double amount = 0;
  double spare = 0; ///< What the lender could still lend.

  auto operator<=>(const ShareGrant&) const = default;
};

/// TCP: the borrower gives a loan back before it expires.
struct ShareReturn
{
  uint64_t nonce = 0; ///< Nonce of the request that brought the loan.
  ShareKey key;

  auto operator<=>(const ShareReturn&) const = default;
};

/// TCP: a request crashed backend servers.
struct CrashReport
{
  uint64_t reportId = 0; ///< Unique, so that a repeated report counts once.
  WorkspaceId workspace;
  uint64_t fingerprint = 0;
  Duration age{}; ///< Time since the crash, when an old report is repeated to a VM that started.

  auto operator<=>(const CrashReport&) const = default;
};

/// TCP: asks for a list at least as new as the version.
struct ListRequest
{
  ListName list = ListName::Plans;
  ListVersion atLeast = 0;

  auto operator<=>(const ListRequest&) const = default;
};

struct ListReply
{
  ListName list = ListName::Plans;
  ListVersion version = 0; ///< 0 when the sender holds none.
  std::string content;

  auto operator<=>(const ListReply&) const = default;
};

using DatagramMessage = std::variant<Probe, ProbeAck, IndirectProbe>;
using StreamMessage = std::variant<ForwardRequest,
                                   ForwardReply,
                                   ForwardCancel,
                                   PoolState,
                                   ClaimRequest,
                                   ClaimReply,
                                   ShareRequest,
                                   ShareGrant,
                                   ShareReturn,
                                   CrashReport,
                                   ListRequest,
                                   ListReply,
                                   MemberSync>;

} // namespace dfm

#endif
