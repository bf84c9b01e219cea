#ifndef DRAGONFLYMOOR_ORDERS_KEY_H
#define DRAGONFLYMOOR_ORDERS_KEY_H

#include "dragonflymoor/Model/Outcome.h"
#include "dragonflymoor/Model/Request.h"
#include "dragonflymoor/Support/Hash.h"
#include "dragonflymoor/Support/Time.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dfm {

constexpr std::chrono::minutes kOrderRetention{ 60 }; ///< How long a key is remembered.
constexpr std::chrono::minutes kMaxCreatedAhead{ 2 }; ///< Tolerated advance of a caller's clock.
/// Claims stay longer than keys are accepted, so that VMs whose clocks differ still agree.
constexpr std::chrono::minutes kClaimGrace{ 5 };
constexpr std::chrono::seconds kClaimWindow{ 10 };
constexpr uint32_t kClaimShards = 8;
constexpr size_t kMaxKeyLength = 128;

/// Start of the bound keys of one run of a VM: "b.<vm>.<incarnation in 16 hexadecimal digits>.".
/// Dots and per cent signs in the VM's id are percent-encoded. Safe to call from any thread.
std::string
BoundKeyPrefix(const VmInstance& aInstance);

/// The VM run that may run a bound key; empty for a free key. Safe to call from any thread.
std::optional<VmInstance>
ParseBoundKey(std::string_view aKey);

/// Why an order is refused before anything else is done with it.
struct OrderRefusal
{
  Outcome outcome = Outcome::Unknown;
  Reason reason = Reason::BadRequest;

  auto operator<=>(const OrderRefusal&) const = default;
};

/// Checks form and creation time of a key. A key past its retention gives unknown, because its
/// record may be gone; a malformed one or one from the future gives a bad request. Safe to call
/// from any thread.
std::optional<OrderRefusal>
ValidateOrderKey(const OrderKey& aKey, WallTime aNow);

/// Identity of an order: hash of workspace, service and key. The creation time is left out, so
/// that copies that differ in it by mistake are still one order within a claim window. Safe to
/// call from any thread.
Hash128
OrderHash(const WorkspaceId& aWorkspace, const ServiceId& aService, std::string_view aKey);

/// Number of the claim window of a creation time. Safe to call from any thread.
uint64_t
ClaimWindowOf(WallTime aCreated);

/// Shard of a key within its claim window. Safe to call from any thread.
uint32_t
ClaimShardOf(const Hash128& aKey);

/// Name of a claims object in the store, "claims/<window>/<shard>". Safe to call from any thread.
std::string
ClaimObjectName(uint64_t aWindow, uint32_t aShard);

/// Part of a VM in the execution of an order that reached it.
enum class OrderRole
{
  Entry,       ///< The copy came from a caller: OrderLedger::OnCopy.
  Claimer,     ///< A peer passed the copy on because this run holds the claim: OnCopy.
  Executor,    ///< The claimer passed the order on to this pool owner: queue it, no ledger.
  ClaimerGone, ///< The claim belongs to an earlier run of this VM: answer unknown.
  Invalid,     ///< A forwarded order without claimer, or with a third party's: answer unknown.
};

/// Precondition: aHead.order is set. Safe to call from any thread.
OrderRole
OrderRoleOf(const RequestHead& aHead, const VmInstance& aSelf);

} // namespace dfm

#endif
