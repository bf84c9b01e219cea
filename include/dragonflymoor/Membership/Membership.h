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
  /// Wait for a direct answer before other members are asked to probe; must be above the longest
  /// round trip (40 ms between regions) and below the period.
  Duration ackTimeout = 100ms;
  size_t indirectProbeCount = 3;
  /// A suspicion lasts this many periods times max(1, log10(members)).
  double suspicionPeriods = 5;
  /// Interval between probes of a dead member, or of a VM known only from the platform's list. At
  /// most two of them are probed in each probe period.
  Duration deadProbePeriod = 5s;
  /// A dead member is kept at least this long, so that updates still in transit do not revive it.
  Duration deadMemberRetention = 60s;
  /// The full member list is exchanged with one random member at this interval, for up to 32
  /// members; for n members the period is n / 32 times as long, so that bytes per second stay
  /// constant.
  Duration syncPeriod = 60s;
  /// Updates in one datagram besides the sender's own.
  size_t maxPiggybackedUpdates = 6;
};

/// Callbacks of Membership. None may call back into the Membership before it returns.
struct MembershipHooks
{
  std::function<void(const Endpoint&, const DatagramMessage&)> sendDatagram;
  std::function<void(const Vm&, const StreamMessage&)> sendStream;
  /// The state, incarnation, leaving flag or list versions of a member changed, or it was forgotten
  /// (then with state Left). Never called for this VM itself.
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
  /// pending probes are dropped without suspecting their targets, because their answers may still
  /// wait in the socket.
  void OnTick(Now aNow);
  void OnDatagram(Now aNow, const Endpoint& aFrom, const DatagramMessage& aMessage);
  void OnSync(Now aNow, const VmId& aFrom, const MemberSync& aSync);
  /// The platform's list of VMs: candidates for members. Members that are dead or left and not in
  /// the list are forgotten.
  void OnVmList(Now aNow, const std::vector<PlatformVm>& aVms);

  /// This VM is leaving; cannot be undone. It still answers probes.
  void SetLeaving(Now aNow);
  /// This VM stops: tells a few members that it left, without waiting for suspicion.
  void Leave(Now aNow);
  /// Sets the list versions in force on this VM, which its own update carries.
  void SetListVersions(const std::array<ListVersion, kListCount>& aVersions);

  /// Description of this VM as it is sent to others.
  const MemberUpdate& Self() const { return self_; }
  /// All known members but this VM, in order of id, in any state.
  std::vector<MemberUpdate> Members() const;
  /// VMs that count as live (alive or suspect), this VM included, in order of id.
  std::vector<MemberUpdate> LiveMembers() const;
  /// LiveMembers() without leaving VMs.
  std::vector<Vm> LiveNotLeaving() const;
  const MemberUpdate* Find(const VmId& aVm) const;
  InstanceState StateOf(const VmInstance& aInstance) const;
  /// Send time of the latest probe that any peer acknowledged; empty before the first.
  std::optional<TimePoint> LastAckedProbeSentAt() const { return lastAckedProbeSentAt_; }
  /// Smallest roster version that is in force on every VM of the roster, dead ones included,
  /// according to the last update of each; 0 while no update of one of them has been received.
  ListVersion ConfirmedRosterVersion(const std::vector<Vm>& aRoster) const;
  /// Regions other than the own one, nearest first by measured round trip; unmeasured ones last, by
  /// name.
  std::vector<RegionId> RegionsByLatency() const;
  /// Counter that increases whenever the set returned by LiveMembers() or LiveNotLeaving() changes.
  uint64_t Epoch() const { return epoch_; }

private:
  struct Member
  {
    MemberUpdate update;
    TimePoint suspectedAt; ///< Valid while suspect.
    TimePoint endedAt;     ///< Valid while dead or left.
    /// How often the update was sent on; empty when it is no longer queued for dissemination.
    std::optional<unsigned> transmitCount;
    std::vector<Incarnation> supersededRuns; ///< Earlier runs, the latest last.
    /// An update of a run that is ordered earlier was received. That run may be the later one if
    /// its wall clock went back.
    bool earlierRunHeard = false;
  };
  /// A probe whose acknowledgement has not arrived.
  struct PendingProbe
  {
    VmId target;
    TimePoint sentAt;
    bool indirectSent = false;
    bool suspectOnTimeout = true; ///< If no answer arrives, the target becomes suspect.
  };
  /// A probe on behalf of another VM.
  struct RelayedProbe
  {
    uint64_t nonce = 0; ///< Nonce of the IndirectProbe of the requester.
    Endpoint requester;
    TimePoint sentAt;
  };
  /// A dead member, or a VM of the platform's list from which no update was received.
  struct UnreachableVm
  {
    Vm vm;
    TimePoint nextProbeAt;
  };

  std::vector<MemberUpdate> TakePiggybackUpdates(const VmId& aReceiver);
  void SendProbe(Now aNow, const VmId& aTarget, const Endpoint& aEndpoint, bool aSuspectOnTimeout);
  void SendIndirectProbes(Now aNow, uint64_t aNonce, const VmId& aTarget);
  void ProbeNextMember(Now aNow);
  void ProbeUnreachableVms(Now aNow);
  void ProbeSeeds(Now aNow);
  void CheckPendingProbes(Now aNow);
  void ExpireSuspicions(Now aNow);
  void CompensateForPause(Now aNow, Duration aStep);
  std::vector<const Vm*> RandomLiveVms(size_t aCount, const VmId& aExcept);
  void SendSyncRequest(Now aNow, const Vm& aVm);
  MemberSync MakeSync(bool aWantsReply) const;
  Duration SyncPeriod() const;
  void OnProbe(Now aNow, const Endpoint& aFrom, const Probe& aProbe);
  void OnProbeAck(Now aNow, const ProbeAck& aAck);
  void OnIndirectProbe(Now aNow, const Endpoint& aFrom, const IndirectProbe& aProbe);
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
  VmId unreachableCursor_;
  std::vector<VmId> probeOrder_;
  size_t probeIndex_ = 0;
  std::unordered_map<uint64_t, PendingProbe> pendingProbes_;
  std::unordered_map<uint64_t, RelayedProbe> relayedProbes_;
  /// Members whose updates are to be disseminated, fewest transmissions first.
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
