#include "dragonflymoor/Membership/Membership.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <tuple>

namespace dfm {

namespace {

// Each update is disseminated kTransmitFactor * log10(members + 1) times, rounded up.
constexpr double kTransmitFactor = 8;
// Maximum number of dead members and VMs without a received update that are probed in one period;
// bounds the traffic while a whole region is unreachable.
constexpr size_t kUnreachableProbesPerPeriod = 2;
constexpr Duration kSeedProbePeriod = 1s;
// Up to this number of members the sync period is not stretched.
constexpr size_t kMaxMembersAtBaseSyncPeriod = 32;
// Number of random members that a stopping VM tells that it has left.
constexpr size_t kLeaveMessageCount = 5;
// Number of earlier runs remembered for each member.
constexpr size_t kMaxSupersededRuns = 4;
// Weight of the latest round trip in the mean of its region.
constexpr double kRoundTripWeight = 0.2;

// Sizes of the FlatBuffers encoding, rounded up: tables, offsets and vtables of a message, and of
// one update without the bytes of its strings.
constexpr size_t kMessageOverheadBytes = 120;
constexpr size_t kUpdateOverheadBytes = 208;

bool
IsLive(MemberState aState)
{
  return aState == MemberState::Alive || aState == MemberState::Suspect;
}

/// Sort key for the runs of one VM; a later run has a higher key unless the VM's wall clock went
/// back.
auto
RunOrderKey(const MemberUpdate& aUpdate)
{
  return std::tuple(aUpdate.startedAtMs, aUpdate.incarnation.value);
}

size_t
EncodedSizeBound(const MemberUpdate& aUpdate)
{
  const Vm& vm = aUpdate.vm;
  return kUpdateOverheadBytes + vm.id.Value().size() + vm.region.Value().size() +
         vm.failureDomain.Value().size() + vm.callers.address.size() + vm.peers.address.size();
}

/// Raises each version to the one in aNewVersions if that is higher.
void
RaiseVersions(std::array<ListVersion, kListCount>& aVersions,
              const std::array<ListVersion, kListCount>& aNewVersions)
{
  for (size_t i = 0; i < kListCount; ++i)
    aVersions[i] = std::max(aVersions[i], aNewVersions[i]);
}

} // namespace

size_t
EncodedSizeBound(const DatagramMessage& aMessage)
{
  size_t bytes = kMessageOverheadBytes;
  std::visit(
    [&](const auto& aAlternative) {
      for (const MemberUpdate& update : aAlternative.updates)
        bytes += EncodedSizeBound(update);
    },
    aMessage);
  if (const auto* indirectProbe = std::get_if<IndirectProbe>(&aMessage))
    bytes += indirectProbe->target.Value().size();
  return bytes;
}

Membership::Membership(MembershipOptions aOptions, MembershipHooks aHooks)
  : options_(std::move(aOptions))
  , hooks_(std::move(aHooks))
  , random_(options_.randomSeed)
{
  assert(hooks_.sendDatagram && hooks_.sendStream && hooks_.memberChanged &&
         hooks_.probeAcknowledged && "every membership hook must be set");
  assert(options_.ackTimeout < options_.probePeriod && "ackTimeout must be below probePeriod");
  self_.vm = options_.self;
  self_.incarnation = options_.incarnation;
  self_.startedAtMs = options_.startedAtMs;
}

void
Membership::Start(Now aNow)
{
  lastTickAt_ = aNow.monotonic;
  nextProbeAt_ = aNow.monotonic + random_.Between(Duration(0), options_.probePeriod);
  nextSyncAt_ = aNow.monotonic + random_.Between(Duration(0), options_.syncPeriod);
  nextSeedProbeAt_ = aNow.monotonic;
  ProbeSeeds(aNow);
}

void
Membership::OnTick(Now aNow)
{
  const Duration tickInterval = lastTickAt_ ? aNow.monotonic - *lastTickAt_ : Duration(0);
  lastTickAt_ = aNow.monotonic;
  if (tickInterval > options_.probePeriod)
    CompensateForPause(aNow, tickInterval);
  CheckPendingProbes(aNow);
  ExpireSuspicions(aNow);
  ProbeSeeds(aNow);
  if (aNow.monotonic >= nextSyncAt_) {
    nextSyncAt_ = aNow.monotonic + SyncPeriod();
    for (const Vm* vm : RandomLiveVms(1, VmId()))
      SendSyncRequest(aNow, *vm);
  }
  if (aNow.monotonic < nextProbeAt_)
    return;
  nextProbeAt_ = std::max(nextProbeAt_ + options_.probePeriod, aNow.monotonic);
  ProbeNextMember(aNow);
  ProbeUnreachableVms(aNow);
}

void
Membership::CompensateForPause(Now aNow, Duration aTickInterval)
{
  pendingProbes_.clear();
  // A suspicion that was received after the pause but before this tick must not get a start time
  // in the future, so it starts at this tick at the latest.
  for (const VmId& id : suspects_) {
    TimePoint& suspectedAt = members_.at(id).suspectedAt;
    suspectedAt = std::min(suspectedAt + aTickInterval, aNow.monotonic);
  }
}

Duration
Membership::SyncPeriod() const
{
  const double factor = std::max(
    1.0, static_cast<double>(members_.size()) / static_cast<double>(kMaxMembersAtBaseSyncPeriod));
  return FromSeconds(ToSeconds(options_.syncPeriod) * factor);
}

Duration
Membership::SuspicionTimeout() const
{
  const double scale = std::max(1.0, std::log10(static_cast<double>(liveCount_ + 1)));
  return FromSeconds(ToSeconds(options_.probePeriod) * options_.suspicionPeriods * scale);
}

unsigned
Membership::TransmitLimit() const
{
  return static_cast<unsigned>(
    std::ceil(kTransmitFactor * std::log10(static_cast<double>(liveCount_ + 2))));
}

std::vector<MemberUpdate>
Membership::TakePiggybackUpdates(const VmId& aReceiver)
{
  std::vector<MemberUpdate> updates{ self_ };
  size_t bytes = kMessageOverheadBytes + EncodedSizeBound(self_) + aReceiver.Value().size();
  const auto addIfFits = [&](const MemberUpdate& aUpdate) {
    const size_t size = EncodedSizeBound(aUpdate);
    if (bytes + size > kMaxDatagramBytes || updates.size() > options_.maxPiggybackedUpdates)
      return false;
    bytes += size;
    updates.push_back(aUpdate);
    return true;
  };
  // Sends the receiver its own update if this VM considers it suspect, dead, left or an earlier
  // run, so that it can refute that.
  const auto receiver = members_.find(aReceiver);
  if (receiver != members_.end() && (receiver->second.update.state != MemberState::Alive ||
                                     receiver->second.earlierRunUpdateReceived)) {
    addIfFits(receiver->second.update);
    receiver->second.earlierRunUpdateReceived = false;
  }

  std::vector<VmId> sentIds;
  for (const auto& [transmitCount, id] : updateQueue_) {
    if (id == aReceiver)
      continue;
    if (!addIfFits(members_.at(id).update))
      break;
    sentIds.push_back(id);
  }
  for (const VmId& id : sentIds) {
    Member& member = members_.at(id);
    const unsigned transmitCount = *member.transmitCount + 1;
    DequeueUpdate(member);
    if (transmitCount >= TransmitLimit())
      continue;
    member.transmitCount = transmitCount;
    updateQueue_.emplace(transmitCount, id);
  }
  return updates;
}

void
Membership::EnqueueUpdate(Member& aMember)
{
  DequeueUpdate(aMember);
  aMember.transmitCount = 0;
  updateQueue_.emplace(0, aMember.update.vm.id);
}

void
Membership::DequeueUpdate(Member& aMember)
{
  if (aMember.transmitCount)
    updateQueue_.erase({ *aMember.transmitCount, aMember.update.vm.id });
  aMember.transmitCount.reset();
}

void
Membership::SendProbe(Now aNow,
                      const VmId& aTarget,
                      const Endpoint& aEndpoint,
                      bool aSuspectOnTimeout)
{
  const uint64_t nonce = random_.Next();
  pendingProbes_[nonce] = { .target = aTarget,
                            .sentAt = aNow.monotonic,
                            .suspectOnTimeout = aSuspectOnTimeout };
  hooks_.sendDatagram(aEndpoint, Probe{ .nonce = nonce, .updates = TakePiggybackUpdates(aTarget) });
}

void
Membership::ProbeNextMember(Now aNow)
{
  // Visits each entry of the probe order at most once, because all of them may be dead.
  for (size_t i = 0; i <= probeOrder_.size(); ++i) {
    if (probeIndex_ >= probeOrder_.size()) {
      probeOrder_.clear();
      for (const auto& [id, member] : members_) {
        if (IsLive(member.update.state))
          probeOrder_.push_back(id);
      }
      for (size_t j = probeOrder_.size(); j > 1; --j)
        std::swap(probeOrder_[j - 1], probeOrder_[random_.Below(j)]);
      probeIndex_ = 0;
      if (probeOrder_.empty())
        return;
    }
    const auto member = members_.find(probeOrder_[probeIndex_++]);
    if (member == members_.end() || !IsLive(member->second.update.state))
      continue;
    SendProbe(aNow, member->first, member->second.update.vm.peers, true);
    return;
  }
}

void
Membership::ProbeUnreachableVms(Now aNow)
{
  size_t sentCount = 0;
  auto next = unreachableVms_.upper_bound(unreachableCursor_);
  for (size_t i = unreachableVms_.size(); i > 0 && sentCount < kUnreachableProbesPerPeriod;
       --i, ++next) {
    if (next == unreachableVms_.end())
      next = unreachableVms_.begin();
    if (aNow.monotonic < next->second.nextProbeAt)
      continue;
    next->second.nextProbeAt = aNow.monotonic + options_.deadProbePeriod;
    unreachableCursor_ = next->first;
    SendProbe(aNow, next->first, next->second.vm.peers, false);
    ++sentCount;
  }
}

void
Membership::ProbeSeeds(Now aNow)
{
  if ((memberListReceived_ && liveCount_ > 0) || aNow.monotonic < nextSeedProbeAt_)
    return;
  nextSeedProbeAt_ = aNow.monotonic + kSeedProbePeriod;
  for (const Endpoint& seed : options_.seeds) {
    if (seed != self_.vm.peers)
      SendProbe(aNow, VmId(), seed, false);
  }
}

std::vector<const Vm*>
Membership::RandomLiveVms(size_t aCount, const VmId& aExcept)
{
  // Reservoir sample, because the live members are not stored contiguously.
  std::vector<const Vm*> chosen;
  size_t seenCount = 0;
  for (const auto& [id, member] : members_) {
    if (!IsLive(member.update.state) || id == aExcept)
      continue;
    ++seenCount;
    if (chosen.size() < aCount) {
      chosen.push_back(&member.update.vm);
      continue;
    }
    const size_t chosenIndex = random_.Below(seenCount);
    if (chosenIndex < aCount)
      chosen[chosenIndex] = &member.update.vm;
  }
  return chosen;
}

void
Membership::SendIndirectProbes(Now /*aNow*/, uint64_t aNonce, const VmId& aTarget)
{
  for (const Vm* vm : RandomLiveVms(options_.indirectProbeCount, aTarget))
    hooks_.sendDatagram(
      vm->peers,
      IndirectProbe{ .nonce = aNonce, .target = aTarget, .updates = TakePiggybackUpdates(vm->id) });
}

void
Membership::CheckPendingProbes(Now aNow)
{
  std::vector<VmId> unanswered;
  for (auto entry = pendingProbes_.begin(); entry != pendingProbes_.end();) {
    PendingProbe& probe = entry->second;
    const Duration age = aNow.monotonic - probe.sentAt;
    if (probe.suspectOnTimeout && !probe.indirectSent && age >= options_.ackTimeout) {
      probe.indirectSent = true;
      SendIndirectProbes(aNow, entry->first, probe.target);
    }
    // Once the indirect probes are sent, their acknowledgements may take a whole probe period.
    if (age < options_.ackTimeout + options_.probePeriod) {
      ++entry;
      continue;
    }
    if (probe.suspectOnTimeout)
      unanswered.push_back(probe.target);
    entry = pendingProbes_.erase(entry);
  }
  for (const VmId& id : unanswered) {
    const auto member = members_.find(id);
    if (member != members_.end() && member->second.update.state == MemberState::Alive)
      SetState(aNow, member->second, MemberState::Suspect);
  }
  std::erase_if(relayedProbes_, [&](const auto& aEntry) {
    return aNow.monotonic - aEntry.second.sentAt > 2 * options_.probePeriod;
  });
}

void
Membership::ExpireSuspicions(Now aNow)
{
  std::vector<VmId> expired;
  for (const VmId& id : suspects_) {
    if (aNow.monotonic - members_.at(id).suspectedAt >= SuspicionTimeout())
      expired.push_back(id);
  }
  for (const VmId& id : expired)
    SetState(aNow, members_.at(id), MemberState::Dead);
}

void
Membership::SetState(Now aNow, Member& aMember, MemberState aState)
{
  const MemberUpdate previous = aMember.update;
  aMember.update.state = aState;
  OnMemberChanged(aNow, aMember, previous);
  EnqueueUpdate(aMember);
}

void
Membership::OnMemberChanged(Now aNow, Member& aMember, const MemberUpdate& aPrevious)
{
  const MemberUpdate& update = aMember.update;
  const VmId& id = update.vm.id;
  const bool wasLive = IsLive(aPrevious.state);
  const bool isLive = IsLive(update.state);
  liveCount_ = liveCount_ + (isLive ? 1 : 0) - (wasLive ? 1 : 0);
  if (isLive != wasLive || update.leaving != aPrevious.leaving || update.vm != aPrevious.vm)
    ++epoch_;
  if (update.state == MemberState::Suspect &&
      (aPrevious.state != MemberState::Suspect || update.sequence != aPrevious.sequence)) {
    aMember.suspectedAt = aNow.monotonic;
    suspects_.insert(id);
  }
  if (update.state != MemberState::Suspect)
    suspects_.erase(id);
  if (update.state == MemberState::Dead)
    unreachableVms_[id] = { .vm = update.vm,
                            .nextProbeAt = aNow.monotonic + options_.deadProbePeriod };
  else
    unreachableVms_.erase(id);
  if (!isLive && wasLive)
    aMember.endedAt = aNow.monotonic;
  hooks_.memberChanged(update);
}

void
Membership::AddMember(Now aNow, const MemberUpdate& aUpdate, bool aDisseminate)
{
  Member& member = members_[aUpdate.vm.id];
  member.update = aUpdate;
  // Inserted at a random position of the current round, so that the member is
  // probed within one round.
  probeOrder_.insert(probeOrder_.begin() +
                       static_cast<std::ptrdiff_t>(
                         probeIndex_ + random_.Below(probeOrder_.size() - probeIndex_ + 1)),
                     aUpdate.vm.id);
  // OnMemberChanged counts the new member as live only if it was not live before.
  MemberUpdate previous = aUpdate;
  previous.state = MemberState::Dead;
  OnMemberChanged(aNow, member, previous);
  if (aDisseminate)
    EnqueueUpdate(member);
}

void
Membership::ApplyUpdateOfSelf(const MemberUpdate& aUpdate)
{
  if (aUpdate.incarnation == self_.incarnation) {
    // An update that claims that this run is not alive is refuted by a higher sequence.
    if (aUpdate.state != MemberState::Alive && aUpdate.sequence >= self_.sequence &&
        self_.state != MemberState::Left)
      self_.sequence = aUpdate.sequence + 1;
    return;
  }
  // The wall clock went back between two runs of this VM. Without a later start time the other VMs
  // would ignore this run.
  if (RunOrderKey(aUpdate) > RunOrderKey(self_) &&
      aUpdate.startedAtMs < std::numeric_limits<uint64_t>::max())
    self_.startedAtMs = aUpdate.startedAtMs + 1;
}

void
Membership::ApplyUpdateOfMember(Now aNow, Member& aMember, const MemberUpdate& aUpdate)
{
  const MemberUpdate previous = aMember.update;
  MemberUpdate& current = aMember.update;
  if (aUpdate.incarnation != current.incarnation) {
    if (RunOrderKey(aUpdate) < RunOrderKey(current)) {
      aMember.earlierRunUpdateReceived = true;
      return;
    }
    aMember.supersededRuns.push_back(current.incarnation);
    if (aMember.supersededRuns.size() > kMaxSupersededRuns)
      aMember.supersededRuns.erase(aMember.supersededRuns.begin());
    current = aUpdate;
    OnMemberChanged(aNow, aMember, previous);
    EnqueueUpdate(aMember);
    return;
  }
  RaiseVersions(current.listVersions, aUpdate.listVersions);
  current.startedAtMs = std::max(current.startedAtMs, aUpdate.startedAtMs);
  const bool isNewer =
    previous.state != MemberState::Left &&
    (aUpdate.state == MemberState::Left ||
     std::tuple(aUpdate.sequence, aUpdate.state) > std::tuple(previous.sequence, previous.state));
  if (isNewer) {
    current.vm = aUpdate.vm;
    current.sequence = std::max(aUpdate.sequence, previous.sequence);
    current.state = aUpdate.state;
    current.leaving = previous.leaving || aUpdate.leaving;
  }
  if (current == previous)
    return;
  OnMemberChanged(aNow, aMember, previous);
  // Changed list versions alone are not disseminated: each VM sends its own, and a change of a list
  // would otherwise cost one update for each member.
  if (isNewer)
    EnqueueUpdate(aMember);
}

void
Membership::ApplyUpdates(Now aNow, const std::vector<MemberUpdate>& aUpdates, bool aDisseminate)
{
  for (const MemberUpdate& update : aUpdates) {
    if (update.vm.id.Empty())
      continue;
    if (update.vm.id == self_.vm.id) {
      ApplyUpdateOfSelf(update);
      continue;
    }
    const auto known = members_.find(update.vm.id);
    if (known != members_.end())
      ApplyUpdateOfMember(aNow, known->second, update);
    else if (IsLive(update.state))
      AddMember(aNow, update, aDisseminate);
  }
}

void
Membership::OnDatagram(Now aNow, const Endpoint& aFrom, const DatagramMessage& aMessage)
{
  if (const auto* probe = std::get_if<Probe>(&aMessage))
    OnProbe(aNow, aFrom, *probe);
  else if (const auto* ack = std::get_if<ProbeAck>(&aMessage))
    OnProbeAck(aNow, *ack);
  else
    OnIndirectProbe(aNow, aFrom, std::get<IndirectProbe>(aMessage));
}

void
Membership::OnProbe(Now aNow, const Endpoint& aFrom, const Probe& aProbe)
{
  if (aProbe.updates.empty())
    return;
  ApplyUpdates(aNow, aProbe.updates, true);
  const VmId& sender = aProbe.updates.front().vm.id;
  hooks_.sendDatagram(aFrom,
                      ProbeAck{ .nonce = aProbe.nonce, .updates = TakePiggybackUpdates(sender) });
}

void
Membership::OnIndirectProbe(Now aNow, const Endpoint& aFrom, const IndirectProbe& aProbe)
{
  ApplyUpdates(aNow, aProbe.updates, true);
  const auto target = members_.find(aProbe.target);
  if (target == members_.end())
    return;
  const uint64_t nonce = random_.Next();
  relayedProbes_[nonce] = { .nonce = aProbe.nonce, .requester = aFrom, .sentAt = aNow.monotonic };
  hooks_.sendDatagram(target->second.update.vm.peers,
                      Probe{ .nonce = nonce, .updates = TakePiggybackUpdates(aProbe.target) });
}

void
Membership::OnProbeAck(Now aNow, const ProbeAck& aAck)
{
  ApplyUpdates(aNow, aAck.updates, true);
  const auto relay = relayedProbes_.find(aAck.nonce);
  if (relay != relayedProbes_.end()) {
    hooks_.sendDatagram(relay->second.requester,
                        ProbeAck{ .nonce = relay->second.nonce, .updates = aAck.updates });
    relayedProbes_.erase(relay);
    return;
  }
  const auto entry = pendingProbes_.find(aAck.nonce);
  if (entry == pendingProbes_.end())
    return;
  const PendingProbe probe = entry->second;
  pendingProbes_.erase(entry);
  lastAckedProbeSentAt_ = std::max(lastAckedProbeSentAt_.value_or(probe.sentAt), probe.sentAt);
  hooks_.probeAcknowledged(probe.sentAt);
  if (aAck.updates.empty())
    return;
  const Vm& sender = aAck.updates.front().vm;
  if (!probe.indirectSent) {
    const double seconds = ToSeconds(aNow.monotonic - probe.sentAt);
    const auto [mean, inserted] = meanRoundTripSeconds_.emplace(sender.region, seconds);
    if (!inserted)
      mean->second += kRoundTripWeight * (seconds - mean->second);
  }
  if (!memberListReceived_ && members_.contains(sender.id))
    SendSyncRequest(aNow, sender);
}

void
Membership::SendSyncRequest(Now aNow, const Vm& aVm)
{
  nextSyncAt_ = aNow.monotonic + SyncPeriod();
  hooks_.sendStream(aVm, MakeSync(true));
}

MemberSync
Membership::MakeSync(bool aWantsReply) const
{
  MemberSync sync{ .wantsReply = aWantsReply, .members = { self_ } };
  sync.members.reserve(members_.size() + 1);
  for (const auto& [id, member] : members_)
    sync.members.push_back(member.update);
  return sync;
}

void
Membership::OnSync(Now aNow, const VmId& aFrom, const MemberSync& aSync)
{
  // The sender already knows the members in its list. Disseminating each one that is new here would
  // flood the fleet whenever a VM starts, so only the sender itself is disseminated.
  for (const MemberUpdate& update : aSync.members)
    ApplyUpdates(aNow, { update }, update.vm.id == aFrom);
  memberListReceived_ = memberListReceived_ || !aSync.wantsReply;
  const auto sender = members_.find(aFrom);
  if (aSync.wantsReply && sender != members_.end())
    hooks_.sendStream(sender->second.update.vm, MakeSync(false));
}

void
Membership::OnVmList(Now aNow, const std::vector<PlatformVm>& aVms)
{
  std::set<VmId> listed;
  for (const PlatformVm& entry : aVms) {
    listed.insert(entry.vm.id);
    if (entry.vm.id != self_.vm.id && !members_.contains(entry.vm.id))
      unreachableVms_.try_emplace(entry.vm.id,
                                  UnreachableVm{ .vm = entry.vm, .nextProbeAt = aNow.monotonic });
  }
  std::erase_if(unreachableVms_, [&](const auto& aEntry) {
    return !listed.contains(aEntry.first) && !members_.contains(aEntry.first);
  });
  for (auto entry = members_.begin(); entry != members_.end();) {
    Member& member = entry->second;
    if (IsLive(member.update.state) || listed.contains(entry->first) ||
        aNow.monotonic - member.endedAt < options_.deadMemberRetention) {
      ++entry;
      continue;
    }
    DequeueUpdate(member);
    unreachableVms_.erase(entry->first);
    member.update.state = MemberState::Left;
    hooks_.memberChanged(member.update);
    entry = members_.erase(entry);
  }
}

void
Membership::SetLeaving(Now /*aNow*/)
{
  if (self_.leaving)
    return;
  self_.leaving = true;
  ++self_.sequence;
  ++epoch_;
}

void
Membership::Leave(Now /*aNow*/)
{
  self_.leaving = true;
  self_.state = MemberState::Left;
  ++self_.sequence;
  ++epoch_;
  for (const Vm* vm : RandomLiveVms(kLeaveMessageCount, VmId()))
    hooks_.sendDatagram(vm->peers,
                        Probe{ .nonce = random_.Next(), .updates = TakePiggybackUpdates(vm->id) });
}

void
Membership::SetListVersions(const std::array<ListVersion, kListCount>& aVersions)
{
  RaiseVersions(self_.listVersions, aVersions);
}

std::vector<MemberUpdate>
Membership::Members() const
{
  std::vector<MemberUpdate> members;
  members.reserve(members_.size());
  for (const auto& [id, member] : members_)
    members.push_back(member.update);
  return members;
}

std::vector<MemberUpdate>
Membership::LiveMembers() const
{
  std::vector<MemberUpdate> live;
  live.reserve(liveCount_ + 1);
  for (const auto& [id, member] : members_) {
    if (IsLive(member.update.state))
      live.push_back(member.update);
  }
  const auto position = std::lower_bound(
    live.begin(), live.end(), self_.vm.id, [](const MemberUpdate& aUpdate, const VmId& aId) {
      return aUpdate.vm.id < aId;
    });
  if (self_.state != MemberState::Left)
    live.insert(position, self_);
  return live;
}

std::vector<Vm>
Membership::LiveNotLeaving() const
{
  std::vector<Vm> vms;
  for (const MemberUpdate& update : LiveMembers()) {
    if (!update.leaving)
      vms.push_back(update.vm);
  }
  return vms;
}

const MemberUpdate*
Membership::Find(const VmId& aVm) const
{
  if (aVm == self_.vm.id)
    return &self_;
  const auto member = members_.find(aVm);
  return member == members_.end() ? nullptr : &member->second.update;
}

InstanceState
Membership::StateOf(const VmInstance& aInstance) const
{
  const MemberUpdate* update = Find(aInstance.vm);
  if (update == nullptr)
    return InstanceState::Unknown;
  if (update->incarnation == aInstance.incarnation) {
    switch (update->state) {
      case MemberState::Alive:
        return InstanceState::Alive;
      case MemberState::Suspect:
        return InstanceState::Suspect;
      case MemberState::Dead:
        return InstanceState::Dead;
      case MemberState::Left:
        return InstanceState::Left;
    }
  }
  // Every other run of this VM has been replaced by this one.
  if (aInstance.vm == self_.vm.id)
    return InstanceState::Dead;
  const auto& supersededRuns = members_.at(aInstance.vm).supersededRuns;
  const bool isSuperseded =
    std::find(supersededRuns.begin(), supersededRuns.end(), aInstance.incarnation) !=
    supersededRuns.end();
  return isSuperseded ? InstanceState::Dead : InstanceState::Unknown;
}

ListVersion
Membership::ConfirmedRosterVersion(const std::vector<Vm>& aRoster) const
{
  ListVersion confirmed = self_.listVersions[static_cast<size_t>(ListName::Roster)];
  for (const Vm& vm : aRoster) {
    const MemberUpdate* update = Find(vm.id);
    const ListVersion version =
      update == nullptr ? 0 : update->listVersions[static_cast<size_t>(ListName::Roster)];
    confirmed = std::min(confirmed, version);
  }
  return confirmed;
}

std::vector<RegionId>
Membership::RegionsByLatency() const
{
  std::map<RegionId, double> roundTripSeconds;
  for (const auto& [id, member] : members_) {
    const RegionId& region = member.update.vm.region;
    if (region == self_.vm.region || roundTripSeconds.contains(region))
      continue;
    const auto measured = meanRoundTripSeconds_.find(region);
    roundTripSeconds[region] = measured == meanRoundTripSeconds_.end()
                                 ? std::numeric_limits<double>::max()
                                 : measured->second;
  }
  std::vector<RegionId> sortedRegions;
  sortedRegions.reserve(roundTripSeconds.size());
  for (const auto& [region, seconds] : roundTripSeconds)
    sortedRegions.push_back(region);
  std::stable_sort(
    sortedRegions.begin(), sortedRegions.end(), [&](const RegionId& aLeft, const RegionId& aRight) {
      return roundTripSeconds.at(aLeft) < roundTripSeconds.at(aRight);
    });
  return sortedRegions;
}

} // namespace dfm
