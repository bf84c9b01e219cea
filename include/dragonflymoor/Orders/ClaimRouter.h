#ifndef DRAGONFLYMOOR_ORDERS_CLAIMROUTER_H
#define DRAGONFLYMOOR_ORDERS_CLAIMROUTER_H

#include "dragonflymoor/Orders/ClaimStore.h"
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace dfm {

struct ClaimRouterOptions
{
  VmInstance self;
  RegionId storeRegion;
  Duration replyTimeout = 300ms;  ///< After this time without a reply the VM writes itself.
  Duration claimTimeout = 2500ms; ///< After this time a claim is reported as not answered.
  size_t maxPending = 20'000;     ///< Claims that wait; more are reported as not answered.
};

struct ClaimRouterHooks
{
  std::function<void(const Vm&, const ClaimRequest&)> sendRequest;
  std::function<void(const VmId&, const ClaimReply&)> sendReply;
  /// Passes a claim to this VM's ClaimStore.
  std::function<void(Now, ClaimTicket, uint64_t aWindow, const Claim&)> submit;
  /// Reports a claim of this VM, exactly once. May be called from within RequestClaim.
  std::function<void(Now, ClaimTicket, const ClaimVerdict&)> decided;
};

/// Brings claims to the VM that batches their shard, or to the store directly when that VM does not
/// answer. Which VM batches is only a matter of load: the version of the object in the store
/// decides about claims, so two VMs that both believe they batch a shard do no harm. Not
/// thread-safe.
class ClaimRouter
{
public:
  /// Precondition: every hook is set. aFirstNonce should be random, so that a reply to an earlier
  /// run of this VM is not taken for one of this run.
  ClaimRouter(ClaimRouterOptions aOptions, ClaimRouterHooks aHooks, uint64_t aFirstNonce);

  /// Sets the live, non-leaving VMs, with this VM among them.
  void SetMembers(std::vector<Vm> aLive);

  /// The VM that batches a shard: highest rendezvous hash among the VMs of the store's region, or
  /// among all when that region has none. Empty when no VM is known.
  std::optional<Vm> BatcherOf(uint32_t aShard) const;
  /// Whether this VM batches a shard.
  bool BatchesShard(uint32_t aShard) const;

  /// Asks for a claim in the name of this run. The report follows within claimTimeout.
  void RequestClaim(Now aNow, ClaimTicket aTicket, uint64_t aWindow, const Claim& aClaim);

  /// Another VM asks for a claim. It is answered even when another VM should batch the shard.
  void OnClaimRequest(Now aNow, const VmId& aFrom, const ClaimRequest& aRequest);
  /// A reply that is late, repeated or for another key is ignored.
  void OnClaimReply(Now aNow, const VmId& aFrom, const ClaimReply& aReply);
  /// Report of this VM's ClaimStore for a claim passed to submit.
  void OnSubmitted(Now aNow, ClaimTicket aTicket, const ClaimVerdict& aVerdict);

  /// Must be called at least every 50 ms.
  void OnTick(Now aNow);

  size_t PendingCount() const { return own_.size(); }

private:
  struct Own
  {
    ClaimTicket ticket;
    uint64_t window = 0;
    Claim claim;
    bool submitted = false; ///< Passed to this VM's own ClaimStore.
    TimePoint replyDeadline;
    TimePoint deadline;
  };
  struct Foreign
  {
    VmId from;
    uint64_t nonce = 0;
  };

  void SubmitOwn(Now aNow, uint64_t aNonce, Own& aOwn);
  void Decide(Now aNow, uint64_t aNonce, const ClaimVerdict& aVerdict);

  ClaimRouterOptions options_;
  ClaimRouterHooks hooks_;
  std::vector<Vm> members_;
  uint64_t nextNonce_;
  std::map<uint64_t, Own> own_;            ///< By nonce, which is also the ticket of submit.
  std::map<ClaimTicket, Foreign> foreign_; ///< Claims of other VMs in this VM's ClaimStore.
};

} // namespace dfm

#endif
