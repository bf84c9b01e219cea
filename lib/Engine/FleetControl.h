#ifndef DRAGONFLYMOOR_LIB_ENGINE_FLEETCONTROL_H
#define DRAGONFLYMOOR_LIB_ENGINE_FLEETCONTROL_H

#include "EngineContext.h"
#include "RosterKeeper.h"
#include "dragonflymoor/Config/ListKeeper.h"
#include "dragonflymoor/Membership/Membership.h"
#include "dragonflymoor/Membership/PauseDetector.h"
#include "dragonflymoor/Shares/ShareBook.h"
#include <functional>
#include <memory>
#include <vector>

namespace dfm {

/// Events of FleetControl; called from OnTick and the On... methods, after its own state is
/// complete.
struct FleetControlHooks
{
  std::function<void(Now)> listsChanged;
  std::function<void(Now)> membersChanged;
  /// A run of a VM is gone: requests that were passed on to it get no answer.
  std::function<void(Now, const VmId&)> memberGone;
  /// A new run of a VM is alive.
  std::function<void(Now, const Vm&)> memberJoined;
};

/// What one VM knows of the fleet: members, lists and shares. Not thread-safe.
class FleetControl
{
public:
  FleetControl(EngineContext& aContext, FleetControlHooks aHooks);

  void Start(Now aNow);
  void OnTick(Now aNow);
  void OnDatagram(Now aNow, const Endpoint& aFrom, const DatagramMessage& aMessage);
  /// False when the message is for another part of the engine.
  bool OnStream(Now aNow, const VmId& aFrom, const StreamMessage& aMessage);
  /// False when the call is another part's.
  bool OnStoreResult(Now aNow, StoreCallId aCall, const StoreResult& aResult);
  void OnVmList(Now aNow, const std::optional<std::vector<PlatformVm>>& aVms);

  void SetLeaving(Now aNow);
  void Leave(Now aNow);

  bool Ready() const { return lists_.Ready(); }
  /// Whether this VM knows enough members to take over pools: a VM that has just started knows only
  /// itself and would take all pools from their owners.
  bool Joined() const { return joined_; }
  /// Whether callers should be sent here: lists are in force, members are known, and the shares of
  /// the VM's earlier run have ended, so that plan limits do not refuse everything.
  bool Serving(TimePoint aNow) const;
  const FleetLists& Lists() const { return *lists_.Lists(); }
  const Membership& Members() const { return membership_; }
  ShareBook& Shares() { return shares_; }
  /// Guard against work by a process that was paused; asked right before each dispatch.
  bool MayDispatch(TimePoint aNow) const { return pauses_.MayDispatch(aNow); }
  /// Address of a VM by its id; empty when it is not a known member.
  const Vm* FindVm(const VmId& aVm) const;
  /// Live VMs that neither leave nor drain by plan; this VM included unless it is leaving.
  std::vector<Vm> UsableVms(WallTime aNow) const;
  /// Usable VMs without those that started a moment ago and do not serve yet.
  std::vector<Vm> ServingVms(WallTime aNow) const;
  /// VMs that are live but take no new pools, or have left.
  std::set<VmId> LeavingVms(WallTime aNow) const;

private:
  MembershipOptions MakeMembershipOptions() const;
  MembershipHooks MakeMembershipHooks();
  ListKeeperHooks MakeListHooks();
  ShareHooks MakeShareHooks();
  RosterKeeperHooks MakeRosterHooks();
  void Send(const VmId& aTo, const StreamMessage& aMessage);
  void Settle(Now aNow);
  void ApplyMembers(Now aNow);
  void ApplyLists(Now aNow);
  void CheckJoined(Now aNow);
  /// Whether this VM is the one that writes the roster. Goes through all members.
  bool HasTopWeightForRoster() const;

  EngineContext& context_;
  FleetControlHooks hooks_;
  PauseDetector pauses_;
  Membership membership_;
  ListKeeper lists_;
  ShareBook shares_;
  RosterKeeper roster_;
  std::vector<MemberUpdate> changedMembers_;
  bool listsDirty_ = false;
  bool writesRoster_ = true;
  bool leaving_ = false;
  bool joined_ = false;
  TimePoint startedAt_;
  uint64_t epoch_ = 0;
  std::map<VmId, Incarnation> liveRuns_;
  TimePoint nextVmList_;
};

} // namespace dfm

#endif
