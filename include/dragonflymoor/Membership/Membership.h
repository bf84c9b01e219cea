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

/// Largest datagram between VMs; fits every path without fragments.
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
  size_t indirectProbes = 3;
  /// A suspicion lasts this many periods times max(1, log10(members)).
  double suspicionPeriods = 5;
  /// A dead member, or one that only the platform's list names, is probed this often, at most two
  /// in each period.
  Duration deadProbePeriod = 5s;
  /// A dead member is kept at least this long, so that updates still on their way don't revive it.
  Duration forgetAfter = 60s;
  /// Whole lists are exchanged with one random member this often, for up to 32 members; for n
  /// members the period is n / 32 times as long, so that bytes per second stay constant.
  Duration syncPeriod = 60s;
  /// Updates in one datagram besides the sender's own.
  size_t maxPiggyback = 6;
};

/// Actions of the membership. None may call it again before it returns.
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

/// What this VM knows of a run of another VM's process.
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
  /// Every 20 ms. After a step above the probe period, outstanding probes are dropped without a
  /// verdict, because their answers may still wait in the socket.
  void OnTick(Now aNow);
  void OnDatagram(Now aNow, const Endpoint& aFrom, const DatagramMessage& aMessage);
  void OnSync(Now aNow, const VmId& aFrom, const MemberSync& aSync);
  /// The platform's list of VMs: candidates for members. Members that are dead or left and not in
  /// the list are forgotten.
  void OnVmList(Now aNow, const std::vector<PlatformVm>& aVms);

  /// This VM is leaving; cannot be taken back. It still answers probes.
  void SetLeaving(Now aNow);
  /// This VM stops: tells a few members that it left, without waiting for suspicion.
  void Leave(Now aNow);
  /// Versions in force here, carried in the own update.
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
  /// Smallest roster version that is in force on every VM of the roster, dead ones included, by
  /// what they last said; 0 while one of them has not been heard.
  ListVersion ConfirmedRosterVersion(const std::vector<Vm>& aRoster) const;
  /// Regions other than the own one, nearest first by measured round trip; unmeasured ones last, by
  /// name.
  std::vector<RegionId> RegionsByLatency() const;
  /// Changes whenever LiveMembers() or LiveNotLeaving() changes.
  uint64_t Epoch() const { return epoch_; }

private:
  struct Member
  {
    MemberUpdate update;
    TimePoint suspectedAt; ///< Valid while suspect.
    TimePoint endedAt;     ///< Valid while dead or left.
    /// How often the update was passed on; empty when that is done.
    std::optional<unsigned> transmits;
    std::vector<Incarnation> superseded; ///< Earlier runs, the latest last.
    /// A run that counts as earlier was heard; it may be the later one, with a clock that went
    /// back.
    bool contradicted = false;
  };
  /// A probe that waits for its acknowledgement.
  struct Outstanding
  {
    VmId target;
    TimePoint sentAt;
    bool indirectSent = false;
    bool verdict = true; ///< A lost answer makes the target suspect.
  };
  /// A probe on behalf of another VM.
  struct Relay
  {
    uint64_t nonce = 0; ///< Of the VM that asked.
    Endpoint asker;
    TimePoint sentAt;
  };
  /// A dead member, or a VM of the platform's list that was never heard.
  struct Lost
  {
    Vm vm;
    TimePoint nextProbe;
  };

  std::vector<MemberUpdate> Piggyback(const VmId& aReceiver);
  void SendProbe(Now aNow, const VmId& aTarget, const Endpoint& aEndpoint, bool aVerdict);
  void SendIndirect(Now aNow, uint64_t aNonce, const VmId& aTarget);
  void ProbeNext(Now aNow);
  void ProbeLost(Now aNow);
  void ProbeSeeds(Now aNow);
  void CheckOutstanding(Now aNow);
  void CheckSuspicions(Now aNow);
  void ForgivePause(Now aNow, Duration aStep);
  std::vector<const Vm*> RandomLive(size_t aCount, const VmId& aExcept);
  void SyncWith(Now aNow, const Vm& aVm);
  MemberSync MakeSync(bool aWantsReply) const;
  Duration SyncPeriod() const;
  void OnProbe(Now aNow, const Endpoint& aFrom, const Probe& aProbe);
  void OnAck(Now aNow, const ProbeAck& aAck);
  void OnIndirectProbe(Now aNow, const Endpoint& aFrom, const IndirectProbe& aProbe);
  void ApplyAll(Now aNow, const std::vector<MemberUpdate>& aUpdates, bool aPassOn);
  void ApplySelf(const MemberUpdate& aUpdate);
  void ApplyKnown(Now aNow, Member& aMember, const MemberUpdate& aUpdate);
  void Add(Now aNow, const MemberUpdate& aUpdate, bool aPassOn);
  /// Follows up a change of aMember's update; aBefore is the update it replaced.
  void Changed(Now aNow, Member& aMember, const MemberUpdate& aBefore);
  void MakeState(Now aNow, Member& aMember, MemberState aState);
  void Enqueue(Member& aMember);
  void Dequeue(Member& aMember);
  unsigned TransmitLimit() const;
  Duration SuspicionTimeout() const;

  MembershipOptions options_;
  MembershipHooks hooks_;
  Random random_;
  MemberUpdate self_;
  std::map<VmId, Member> members_;
  std::map<VmId, Lost> lost_;
  VmId lostCursor_;
  std::vector<VmId> probeOrder_;
  size_t probeIndex_ = 0;
  std::unordered_map<uint64_t, Outstanding> outstanding_;
  std::unordered_map<uint64_t, Relay> relays_;
  std::set<std::pair<unsigned, VmId>> queue_; ///< Updates to pass on, by number of transmits.
  std::set<VmId> suspects_;
  size_t liveCount_ = 0; ///< Other members that are alive or suspect.
  std::optional<TimePoint> lastTick_;
  TimePoint nextProbe_;
  TimePoint nextSync_;
  TimePoint nextSeedProbe_;
  bool synced_ = false; ///< A member list has arrived from a peer.
  std::optional<TimePoint> lastAckedProbeSentAt_;
  std::map<RegionId, double> roundTripSeconds_;
  uint64_t epoch_ = 0;
};

/// Upper bound for the encoded size of a datagram, headers of IP and UDP not included.
size_t
EncodedSizeBound(const DatagramMessage& aMessage);

} // namespace dfm

#endif
