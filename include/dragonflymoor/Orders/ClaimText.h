#ifndef DRAGONFLYMOOR_ORDERS_CLAIMTEXT_H
#define DRAGONFLYMOOR_ORDERS_CLAIMTEXT_H

#include "dragonflymoor/Support/Finding.h"
#include "dragonflymoor/Wire/Messages.h"
#include <map>
#include <string>
#include <string_view>

namespace dfm {

/// Claims of one object, by key.
using ClaimMap = std::map<Hash128, Claim>;

constexpr size_t kMaxClaimObjectBytes = 1'000'000; ///< The store refuses objects above 1 MB.

/// Text of a claims object: the line "claims 1", then one line for each claim: key in 32
/// hexadecimal digits, "claimed" or "refused", the VM's id (percent-encoded) and its incarnation in
/// 16 hexadecimal digits. Safe to call from any thread.
std::string
FormatClaims(const ClaimMap& aClaims);

/// Inverse of FormatClaims. Content that it cannot read in full is refused, because a rewrite would
/// lose claims. Safe to call from any thread.
Checked<ClaimMap>
ParseClaims(std::string_view aObject, std::string_view aText);

/// Size of one claim in FormatClaims, in bytes. Safe to call from any thread.
size_t
ClaimTextSize(const Claim& aClaim);

} // namespace dfm

#endif
