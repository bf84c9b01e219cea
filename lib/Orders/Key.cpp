#include "dragonflymoor/Orders/Key.h"

#include "Escape.h"
#include <algorithm>
#include <fmt/format.h>

namespace dfm {

namespace {

bool
IsVisible(char aChar)
{
  return aChar > ' ' && aChar < 0x7f;
}

} // namespace

std::string
BoundKeyPrefix(const VmInstance& aInstance)
{
  return fmt::format(
    "b.{}.{:016x}.", EscapeName(aInstance.vm.Value()), aInstance.incarnation.value);
}

std::optional<VmInstance>
ParseBoundKey(std::string_view aKey)
{
  if (!aKey.starts_with("b."))
    return std::nullopt;
  const std::string_view rest = aKey.substr(2);
  const size_t vmEnd = rest.find('.');
  if (vmEnd == 0 || vmEnd == std::string_view::npos)
    return std::nullopt;
  const size_t incarnationEnd = rest.find('.', vmEnd + 1);
  if (incarnationEnd == std::string_view::npos || incarnationEnd + 1 == rest.size())
    return std::nullopt;
  const auto vm = UnescapeName(rest.substr(0, vmEnd));
  const auto incarnation = ParseHex64(rest.substr(vmEnd + 1, incarnationEnd - vmEnd - 1));
  if (!vm || !incarnation)
    return std::nullopt;
  return VmInstance{ .vm = VmId(*vm), .incarnation = Incarnation{ *incarnation } };
}

std::optional<OrderRefusal>
ValidateOrderKey(const OrderKey& aKey, WallTime aNow)
{
  const OrderRefusal badRequest{ .outcome = Outcome::NotRun, .reason = Reason::BadRequest };
  if (aKey.key.empty() || aKey.key.size() > kMaxKeyLength)
    return badRequest;
  if (!std::all_of(aKey.key.begin(), aKey.key.end(), IsVisible))
    return badRequest;
  if (aKey.created.time_since_epoch().count() < 0)
    return OrderRefusal{ .outcome = Outcome::Unknown, .reason = Reason::KeyExpired };
  // A key from the future may have run on a VM whose clock is ahead.
  if (aKey.created > aNow + kMaxCreatedAhead)
    return OrderRefusal{ .outcome = Outcome::Unknown, .reason = Reason::BadRequest };
  if (aKey.created < aNow - kOrderRetention)
    return OrderRefusal{ .outcome = Outcome::Unknown, .reason = Reason::KeyExpired };
  return std::nullopt;
}

Hash128
OrderHash(const WorkspaceId& aWorkspace, const ServiceId& aService, std::string_view aKey)
{
  // Lengths keep ("ab", "c") and ("a", "bc") apart.
  return HashBytes128(fmt::format("{}:{}{}:{}{}",
                                  aWorkspace.Value().size(),
                                  aWorkspace.Value(),
                                  aService.Value().size(),
                                  aService.Value(),
                                  aKey));
}

uint64_t
ClaimWindowOf(WallTime aCreated)
{
  return static_cast<uint64_t>(aCreated.time_since_epoch() / kClaimWindow);
}

uint32_t
ClaimShardOf(const Hash128& aKey)
{
  return static_cast<uint32_t>(aKey.high % kClaimShards);
}

std::string
ClaimObjectName(uint64_t aWindow, uint32_t aShard)
{
  return fmt::format("claims/{}/{}", aWindow, aShard);
}

OrderRole
OrderRoleOf(const RequestHead& aHead, const VmInstance& aSelf)
{
  if (!aHead.forwardedBy)
    return OrderRole::Entry;
  if (!aHead.claimer)
    return OrderRole::Invalid;
  if (*aHead.claimer == aSelf)
    return OrderRole::Claimer;
  if (aHead.claimer->vm == aSelf.vm)
    return OrderRole::ClaimerGone;
  if (aHead.claimer->vm == *aHead.forwardedBy)
    return OrderRole::Executor;
  return OrderRole::Invalid;
}

} // namespace dfm
