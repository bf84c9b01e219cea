#ifndef DRAGONFLYMOOR_MEMBERSHIP_MEMBERSHIP_H
#define DRAGONFLYMOOR_MEMBERSHIP_MEMBERSHIP_H

#include "dragonflymoor/Engine/Engine.h"
#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Model/Request.h"
#include "dragonflymoor/Support/Random.h"
#include "dragonflymoor/Wire/Messages.h"
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dfm {

/// Largest datagram between VMs; small enough to avoid IP fragmentation on every path.
constexpr size_t kMaxDatagramBytes = 1200;

struct MembershipOptions
{
  Vm self;
  Incarnation incarnation;
  uint64_t startedAtMs = 0;
  std::vector<Endpoint> seeds;
  uint64_t randomSeed = 0;
  Duration probePeriod = 200ms;
  /// Time to wait for a direct acknowledgement before other members are asked to probe the target.
  /// Must be above the longest round trip (40 ms between regions) and below probePeriod.
  Duration ackTimeout = 100ms;
  /// Members that are asked to probe a target that did not acknowledge in time.
  size_t indirectProbeCount = 3;
  /// A suspect member is declared dead after this many probe periods times
  /// max(1, log10(live members)), this VM included.
  double suspicionPeriods = 5;
  /// Interval between probes of one dead member, or of one VM known only from the platform's list.
  /// At most two such VMs are probed in each probe period.
  Duration deadProbePeriod = 5s;
  /// A dead member is kept at least this long, so that updates still in transit do not revive it.
  Duration deadMemberRetention = 60s;
  /// Interval between exchanges of the full member list with one random member, for up to 32
  /// members. For n > 32 members it is n / 32 times as long, so that the bytes per second stay
  /// constant.
  Duration syncPeriod = 60s;
  /// Maximum number of updates in one datagram, not counting the sender's own.
  size_t maxPiggybackedUpdates = 6;
};

/// Callbacks of Membership. None may call back into the Membership before it returns.
struct MembershipHooks
{
  std::function<void(const Endpoint&, const DatagramMessage&)> sendDatagram;
  std::function<void(const Vm&, const StreamMessage&)> sendStream;
  /// A member was added, its update changed (such as state, incarnation, leaving flag or list
  /// versions), or it was removed (then with state Left). Never called for this VM itself.
  std::function<void(const MemberUpdate&)> memberChanged;
  /// A peer acknowledged a probe that was sent at the given time (for PauseDetector::OnAck).
  std::function<void(TimePoint)> probeAcknowledged;
};

/// State of one run (process instance) of another VM, as known to this VM.
enum class InstanceState
{
  Alive,
  Suspect,
  Dead, ///< Also for a run that a later run of the same VM superseded.
  Left,
  Unknown,
};

/// Failure detection between entry VMs by SWIM (design section 10). Not thread-safe.
class Membership
{
public:
  /// Precondition: every hook is set and ackTimeout is below probePeriod.
  Membership(MembershipOptions aOptions, MembershipHooks aHooks);

  void Start(Now aNow);
  /// Must be called every 20 ms. If more than the probe period has passed since the previous call,
  /// pending probes are dropped without suspecting their targets, because their acknowledgements
  /// may still be unread in the socket.
  void OnTick(Now aNow);
  void OnDatagram(Now aNow, const Endpoint& aFrom, const DatagramMessage& aMessage);
  void OnSync(Now aNow, const VmId& aFrom, const MemberSync& aSync);
  /// Takes the platform's list of VMs. Listed VMs that are not members yet are probed. Members that
  /// have been dead or left for at least deadMemberRetention and are not listed are removed.
  void OnVmList(Now aNow, const std::vector<PlatformVm>& aVms);

  /// Marks this VM as leaving, which cannot be undone. It still answers probes.
  void SetLeaving(Now aNow);
  /// Announces that this VM stops. Tells a few random members that it has left, so that they
  /// do not have to detect its death.
  void Leave(Now aNow);
  /// Sets the list versions in force on this VM, which are sent in its own update. A version lower
  /// than the present one is ignored.
  void SetListVersions(const std::array<ListVersion, kListCount>& aVersions);

  /// The update of this VM as it is sent to others.
  const MemberUpdate& Self() const { return self_; }
  /// All known members but this VM, in order of id, in any state.
  std::vector<MemberUpdate> Members() const;
  /// VMs whose state is Alive or Suspect, in order of id. Includes this VM until Leave().
  std::vector<MemberUpdate> LiveMembers() const;
  /// LiveMembers() without leaving VMs.
  std::vector<Vm> LiveNotLeaving() const;
  /// Latest update of a VM, this VM included; null for an unknown VM.
  const MemberUpdate* Find(const VmId& aVm) const;
  InstanceState StateOf(const VmInstance& aInstance) const;
  /// Send time of the latest probe that any peer acknowledged; empty before the first.
  std::optional<TimePoint> LastAckedProbeSentAt() const { return lastAckedProbeSentAt_; }
  /// Smallest of the roster versions in force on this VM and on the VMs of aRoster, dead ones
  /// included, according to the latest update of each VM. 0 if no update of a VM of aRoster has
  /// been received.
  ListVersion ConfirmedRosterVersion(const std::vector<Vm>& aRoster) const;
  /// Regions of all members except this VM's own region, in order of mean round-trip time; regions
  /// without a measurement come last, in order of name.
  std::vector<RegionId> RegionsByLatency() const;
  /// Counter that increases whenever the set returned by LiveMembers() or LiveNotLeaving() changes.
  uint64_t Epoch() const { return epoch_; }

private:
  struct Member
  {
    MemberUpdate update;
    TimePoint suspectedAt; ///< Valid while suspect.
    TimePoint endedAt;     ///< Valid while dead or left.
    /// Number of times the update was disseminated; empty while it is not in updateQueue_.
    std::optional<unsigned> transmitCount;
    std::vector<Incarnation> supersededRuns; ///< Earlier runs in order; the most recent last.
    /// An update of a run with a lower RunOrderKey was received. That run may still be the later
    /// one if the VM's wall clock went back. The next datagram to the VM carries `update`, so
    /// that the VM can correct its start time.
    bool earlierRunUpdateReceived = false;
  };
  /// A probe whose acknowledgement has not arrived.
  struct PendingProbe
  {
    VmId target;
    TimePoint sentAt;
    bool indirectSent = false;    ///< Indirect probes of the target were requested.
    bool suspectOnTimeout = true; ///< Without an acknowledgement the target becomes suspect.
  };
  /// A probe sent on behalf of another VM, which asked for it with an IndirectProbe.
  struct RelayedProbe
  {
    uint64_t nonce = 0; ///< Nonce of the IndirectProbe.
    Endpoint requester;
    TimePoint sentAt;
  };
  /// A dead member, or a VM of the platform's list from which no update was received.
  struct UnreachableVm
  {
    Vm vm;
    TimePoint nextProbeAt;
  };

  /// Returns the updates for one datagram to aReceiver, this VM's own first, and counts the
  /// transmission of each queued update.
  std::vector<MemberUpdate> TakePiggybackUpdates(const VmId& aReceiver);
  void SendProbe(Now aNow, const VmId& aTarget, const Endpoint& aEndpoint, bool aSuspectOnTimeout);
  void SendIndirectProbes(Now aNow, uint64_t aNonce, const VmId& aTarget);
  void ProbeNextMember(Now aNow);
  void ProbeUnreachableVms(Now aNow);
  void ProbeSeeds(Now aNow);
  void CheckPendingProbes(Now aNow);
  void ExpireSuspicions(Now aNow);
  /// Drops pending probes and extends suspicions after a pause of this VM; aTickInterval is the
  /// time between the last two ticks.
  void CompensateForPause(Now aNow, Duration aTickInterval);
  std::vector<const Vm*> RandomLiveVms(size_t aCount, const VmId& aExcept);
  void SendSyncRequest(Now aNow, const Vm& aVm);
  MemberSync MakeSync(bool aWantsReply) const;
  Duration SyncPeriod() const;
  void OnProbe(Now aNow, const Endpoint& aFrom, const Probe& aProbe);
  void OnProbeAck(Now aNow, const ProbeAck& aAck);
  void OnIndirectProbe(Now aNow, const Endpoint& aFrom, const IndirectProbe& aProbe);
  /// Applies updates received from a peer. New members are queued for dissemination only with
  /// aDisseminate.
  void ApplyUpdates(Now aNow, const std::vector<MemberUpdate>& aUpdates, bool aDisseminate);
  void ApplyUpdateOfSelf(const MemberUpdate& aUpdate);
  void ApplyUpdateOfMember(Now aNow, Member& aMember, const MemberUpdate& aUpdate);
  void AddMember(Now aNow, const MemberUpdate& aUpdate, bool aDisseminate);
  /// Updates the derived state after a change of aMember's update and calls memberChanged;
  /// aPrevious is the update before the change.
  void OnMemberChanged(Now aNow, Member& aMember, const MemberUpdate& aPrevious);
  void SetState(Now aNow, Member& aMember, MemberState aState);
  void EnqueueUpdate(Member& aMember);
  void DequeueUpdate(Member& aMember);
  unsigned TransmitLimit() const;
  Duration SuspicionTimeout() const;

  MembershipOptions options_;
  MembershipHooks hooks_;
  Random random_;
  MemberUpdate self_;
  std::map<VmId, Member> members_;
  std::map<VmId, UnreachableVm> unreachableVms_;
  VmId unreachableCursor_;       ///< Last probed entry of unreachableVms_.
  std::vector<VmId> probeOrder_; ///< Members in the random order of the current probe round.
  size_t probeIndex_ = 0;        ///< Next entry of probeOrder_.
  std::unordered_map<uint64_t, PendingProbe> pendingProbes_; ///< By nonce of the probe.
  std::unordered_map<uint64_t, RelayedProbe> relayedProbes_; ///< By nonce of the relayed probe.
  /// Transmission count and id of each member whose update is to be disseminated; updates with the
  /// fewest transmissions are sent first.
  std::set<std::pair<unsigned, VmId>> updateQueue_;
  std::set<VmId> suspects_;
  size_t liveCount_ = 0; ///< Other members that are alive or suspect.
  std::optional<TimePoint> lastTickAt_;
  TimePoint nextProbeAt_;
  TimePoint nextSyncAt_;
  TimePoint nextSeedProbeAt_;
  bool memberListReceived_ = false; ///< A member list has arrived from a peer.
  std::optional<TimePoint> lastAckedProbeSentAt_;
  std::map<RegionId, double> meanRoundTripSeconds_;
  uint64_t epoch_ = 0;
};

/// Upper bound for the encoded size of a datagram, headers of IP and UDP not included.
size_t
EncodedSizeBound(const DatagramMessage& aMessage);

} // namespace dfm

#endif
