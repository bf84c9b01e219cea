#ifndef DRAGONFLYMOOR_DISPATCH_POOLOWNERSHIP_H
#define DRAGONFLYMOOR_DISPATCH_POOLOWNERSHIP_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Time.h"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dfm {

/// Where the owner of a pool is; a lower value is preferred.
enum class OwnerTier
{
  FailureDomain,
  Region,
  Remote,
};

struct PoolOwner
{
  VmId vm;
  OwnerTier tier = OwnerTier::Remote;

  auto operator<=>(const PoolOwner&) const = default;
};

/// A pool and the region it is in.
struct PoolSite
{
  PoolId pool;
  RegionId region;

  auto operator<=>(const PoolSite&) const = default;
};

/// The owner of a pool among live VMs that are not leaving: the highest rendezvous hash among those
/// of the failure domain, else of the region, else of all. Empty when aLive is empty. Safe to call
/// from any thread.
std::optional<PoolOwner>
OwnerOf(const PoolSite& aPool, const std::vector<Vm>& aLive);

/// What this VM may do with a pool.
enum class PoolPhase
{
  NotMine,
  RemoteWait,     ///< Remote owner that waits before it starts; nothing is dispatched.
  RemoteTakeOver, ///< Remote owner: as TakingOver, for as long as it is remote.
  TakingOver,     ///< New owner: half of the slots, or less if servers report fewer free ones.
  HandedOver,     ///< New owner after one that has left: the slots that servers report as free.
  Mine,
};

struct OwnershipOptions
{
  Duration takeOverTime = 3s;
  Duration remoteWait = 10s;
  /// A claim of another VM that wins is honoured for this time after it was last heard.
  Duration claimTime = 3s;
};

/// Tracks which pools this VM owns, with guards 2 to 4 of section 3 of the design. Guard 1 (pause
/// of the process) is the caller's. Not thread-safe. Times must never decrease.
class PoolOwnership
{
public:
  PoolOwnership(Vm aSelf, OwnershipOptions aOptions = {});

  /// Replaces the pools. A pool that is new in the lists is taken over like one of a dead owner.
  void SetPools(const std::vector<PoolSite>& aPools, TimePoint aNow);

  /// Replaces the view of the membership. aLive are the live VMs that are not leaving, with this VM
  /// unless it is leaving itself; aLeft are those known to leave or to have left, which dispatch
  /// nothing new.
  void SetMembers(const std::vector<Vm>& aLive, const std::set<VmId>& aLeft, TimePoint aNow);

  /// Another VM claims a pool (PoolState or a forwarded request's answer). The VM that loses by
  /// tier and rendezvous hash yields at once.
  void OnClaim(const PoolId& aPool, const Vm& aClaimant, TimePoint aNow);

  /// Guard 1 ended: the process may dispatch again after a pause. Meanwhile others may have taken
  /// over, so that this VM takes its pools over anew.
  void OnPauseEnded(TimePoint aNow);

  PoolPhase Phase(const PoolId& aPool, TimePoint aNow) const;
  /// The VM to forward to; empty when there is none.
  std::optional<VmId> Owner(const PoolId& aPool, TimePoint aNow) const;
  /// Pools in any phase but NotMine.
  std::vector<PoolId> Mine(TimePoint aNow) const;

private:
  struct Claim
  {
    Vm vm;
    TimePoint heard;
  };
  struct State
  {
    PoolSite site;
    std::optional<PoolOwner> owner;
    std::optional<VmId> previous;        ///< The last owner that was not this VM.
    TimePoint since;                     ///< When this VM became the owner.
    bool handedOver = false;             ///< The previous owner is known to have left.
    std::optional<TimePoint> regionLost; ///< When the last VM of the region went.
    std::optional<Claim> claim;
  };

  void Update(State& aState, TimePoint aNow);
  /// The live VMs among which the owner of a pool is: those of its failure domain, else of its
  /// region, else all.
  const std::vector<Vm>& Candidates(const PoolSite& aPool) const;
  bool Outranks(const State& aState, const Vm& aOther) const;
  bool Yields(const State& aState, TimePoint aNow) const;

  Vm self_;
  OwnershipOptions options_;
  std::vector<Vm> live_;
  std::map<FailureDomainId, std::vector<Vm>> liveByDomain_;
  std::map<RegionId, std::vector<Vm>> liveByRegion_;
  std::set<VmId> left_;
  std::map<PoolId, State> pools_;
};

} // namespace dfm

#endif
