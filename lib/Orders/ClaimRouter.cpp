#include "dragonflymoor/Orders/ClaimRouter.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace dfm {

ClaimRouter::ClaimRouter(ClaimRouterOptions aOptions, ClaimRouterHooks aHooks, uint64_t aFirstNonce)
  : options_(std::move(aOptions))
  , hooks_(std::move(aHooks))
  , nextNonce_(aFirstNonce)
{
  assert(hooks_.sendRequest && hooks_.sendReply && hooks_.submit && hooks_.decided &&
         "hook missing");
}

void
ClaimRouter::SetMembers(std::vector<Vm> aLive)
{
  members_ = std::move(aLive);
}

std::optional<Vm>
ClaimRouter::BatcherOf(uint32_t aShard) const
{
  const std::string key = fmt::format("claim-shard/{}", aShard);
  // The store's region comes before all others, then the weight decides.
  const auto rank = [&](const Vm& aVm) {
    return std::pair(aVm.region == options_.storeRegion, RendezvousWeight(key, aVm.id.Value()));
  };
  const auto best =
    std::max_element(members_.begin(), members_.end(), [&](const Vm& aLeft, const Vm& aRight) {
      return rank(aLeft) < rank(aRight);
    });
  if (best == members_.end())
    return std::nullopt;
  return *best;
}

bool
ClaimRouter::BatchesShard(uint32_t aShard) const
{
  const auto batcher = BatcherOf(aShard);
  return batcher && batcher->id == options_.self.vm;
}

void
ClaimRouter::RequestClaim(Now aNow, ClaimTicket aTicket, uint64_t aWindow, const Claim& aClaim)
{
  if (own_.size() >= options_.maxPending) {
    hooks_.decided(aNow, aTicket, ClaimVerdict{});
    return;
  }
  const uint64_t nonce = nextNonce_++;
  Own& own = own_[nonce];
  own = Own{ .ticket = aTicket,
             .window = aWindow,
             .claim = aClaim,
             .replyDeadline = aNow.monotonic + options_.replyTimeout,
             .deadline = aNow.monotonic + options_.claimTimeout };
  const auto batcher = BatcherOf(ClaimShardOf(aClaim.key));
  if (!batcher || batcher->id == options_.self.vm) {
    SubmitOwn(aNow, nonce, own);
    return;
  }
  hooks_.sendRequest(*batcher, ClaimRequest{ .nonce = nonce, .window = aWindow, .claim = aClaim });
}

void
ClaimRouter::SubmitOwn(Now aNow, uint64_t aNonce, Own& aOwn)
{
  aOwn.submitted = true;
  // A copy: the report may come before submit returns, and removes the entry.
  const Own own = aOwn;
  hooks_.submit(aNow, ClaimTicket{ aNonce }, own.window, own.claim);
}

void
ClaimRouter::OnClaimRequest(Now aNow, const VmId& aFrom, const ClaimRequest& aRequest)
{
  if (foreign_.size() >= options_.maxPending) {
    hooks_.sendReply(aFrom,
                     ClaimReply{ .nonce = aRequest.nonce, .storeAnswered = false, .inForce = {} });
    return;
  }
  const ClaimTicket ticket{ nextNonce_++ };
  foreign_[ticket] = Foreign{ .from = aFrom, .nonce = aRequest.nonce };
  hooks_.submit(aNow, ticket, aRequest.window, aRequest.claim);
}

void
ClaimRouter::OnClaimReply(Now aNow, const VmId& /*aFrom*/, const ClaimReply& aReply)
{
  const auto found = own_.find(aReply.nonce);
  if (found == own_.end())
    return;
  Own& own = found->second;
  if (!aReply.storeAnswered) {
    if (!own.submitted)
      SubmitOwn(aNow, aReply.nonce, own);
    return;
  }
  if (aReply.inForce.key != own.claim.key)
    return;
  // Even a late reply is true: a claim in the store never changes.
  Decide(aNow, aReply.nonce, ClaimVerdict{ .storeAnswered = true, .inForce = aReply.inForce });
}

void
ClaimRouter::OnSubmitted(Now aNow, ClaimTicket aTicket, const ClaimVerdict& aVerdict)
{
  const auto foreign = foreign_.find(aTicket);
  if (foreign != foreign_.end()) {
    const Foreign asked = foreign->second;
    foreign_.erase(foreign);
    hooks_.sendReply(asked.from,
                     ClaimReply{ .nonce = asked.nonce,
                                 .storeAnswered = aVerdict.storeAnswered,
                                 .inForce = aVerdict.inForce });
    return;
  }
  Decide(aNow, aTicket.value, aVerdict);
}

void
ClaimRouter::Decide(Now aNow, uint64_t aNonce, const ClaimVerdict& aVerdict)
{
  const auto found = own_.find(aNonce);
  if (found == own_.end())
    return;
  const Own own = found->second;
  own_.erase(found);
  // After a pause of the process the deadline may have passed before the tick that enforces it.
  const bool late = aNow.monotonic >= own.deadline;
  hooks_.decided(aNow, own.ticket, late ? ClaimVerdict{} : aVerdict);
}

void
ClaimRouter::OnTick(Now aNow)
{
  std::vector<uint64_t> due;
  for (const auto& [nonce, own] : own_) {
    if (aNow.monotonic >= own.deadline || (!own.submitted && aNow.monotonic >= own.replyDeadline))
      due.push_back(nonce);
  }
  for (const uint64_t nonce : due) {
    const auto found = own_.find(nonce);
    if (found == own_.end())
      continue;
    if (aNow.monotonic >= found->second.deadline)
      Decide(aNow, nonce, ClaimVerdict{});
    else
      SubmitOwn(aNow, nonce, found->second);
  }
}

} // namespace dfm
