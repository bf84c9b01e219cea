#include "FleetControl.h"

#include "dragonflymoor/Drains/Drains.h"
#include "dragonflymoor/Support/Hash.h"
#include "dragonflymoor/Support/Log.h"
#include <fmt/format.h>

namespace dfm {

namespace {

constexpr Duration kVmListPeriod = 5s;
/// A starting VM waits this long for members to become known, and longer when it hears of none.
constexpr Duration kJoinTime = 1s;
constexpr Duration kJoinAloneTime = 3s;
/// After this time a VM serves although another VM of the roster has not confirmed it: what needs
/// no share is still served.
constexpr Duration kUnsettledTime = 10s;

bool
IsLive(MemberState aState)
{
  return aState == MemberState::Alive || aState == MemberState::Suspect;
}

} // namespace

FleetControl::FleetControl(EngineContext& aContext, FleetControlHooks aHooks)
  : context_(aContext)
  , hooks_(std::move(aHooks))
  , membership_(MakeMembershipOptions(), MakeMembershipHooks())
  , lists_({ .self = aContext.Self(), .randomSeed = aContext.random.Next() }, MakeListHooks())
  , shares_(aContext.Self(), {}, MakeShareHooks(), aContext.random.Next(), TimePoint{})
  , roster_({}, MakeRosterHooks())
{
}

MembershipOptions
FleetControl::MakeMembershipOptions() const
{
  const EngineOptions& options = context_.options;
  return { .self = options.self,
           .incarnation = options.incarnation,
           .startedAtMs = options.startedAtMs,
           .seeds = options.seeds,
           .randomSeed = context_.random.Next(),
           .probePeriod = options.probePeriod,
           .ackTimeout = options.probePeriod / 2 };
}

MembershipHooks
FleetControl::MakeMembershipHooks()
{
  return { .sendDatagram = context_.hooks.sendDatagram,
           .sendStream = context_.hooks.sendStream,
           .memberChanged =
             [this](const MemberUpdate& aMember) { changedMembers_.push_back(aMember); },
           .probeAcknowledged = [this](TimePoint aSentAt) { pauses_.OnAck(aSentAt); } };
}

ListKeeperHooks
FleetControl::MakeListHooks()
{
  return { .callStore = [this](const StoreCall& aCall) { return context_.CallStore(aCall); },
           .send = context_.hooks.sendStream,
           .changed = [this](const std::shared_ptr<const FleetLists>&) { listsDirty_ = true; },
           .refused =
             [](ListName aList, ListVersion aVersion, const Findings& aFindings) {
               Log(LogLevel::Error,
                   "config",
                   "list refused, the previous version stays in force",
                   { { "list", std::string(ObjectName(aList)) },
                     { "version", fmt::format("{}", aVersion) },
                     { "findings", FormatFindings(aFindings) } });
             } };
}

ShareHooks
FleetControl::MakeShareHooks()
{
  return {
    .request = [this](const VmId& aTo, const ShareRequest& aMessage) { Send(aTo, aMessage); },
    .grant = [this](const VmId& aTo, const ShareGrant& aMessage) { Send(aTo, aMessage); },
    .giveBack = [this](const VmId& aTo, const ShareReturn& aMessage) { Send(aTo, aMessage); }
  };
}

RosterKeeperHooks
FleetControl::MakeRosterHooks()
{
  return { .callStore = [this](const StoreCall& aCall) { return context_.CallStore(aCall); },
           .isLive =
             [this](const VmId& aVm) {
               const MemberUpdate* member = membership_.Find(aVm);
               return aVm == context_.Self().id || (member && IsLive(member->state));
             },
           .written =
             [this](Now aNow, ListVersion aVersion, const std::string& aContent) {
               lists_.OnWritten(aNow, ListName::Roster, aVersion, aContent);
             } };
}

void
FleetControl::Send(const VmId& aTo, const StreamMessage& aMessage)
{
  if (const Vm* vm = FindVm(aTo))
    context_.hooks.sendStream(*vm, aMessage);
}

bool
FleetControl::Serving(TimePoint aNow) const
{
  const Duration age = aNow - startedAt_;
  const bool shares = shares_.Settled() || age >= kUnsettledTime;
  return Ready() && joined_ && shares && age >= ShareOptions().startHold;
}

const Vm*
FleetControl::FindVm(const VmId& aVm) const
{
  const MemberUpdate* member = membership_.Find(aVm);
  return member ? &member->vm : nullptr;
}

void
FleetControl::Start(Now aNow)
{
  // The hold of a starting process counts from its first call.
  shares_ =
    ShareBook(context_.Self(), {}, MakeShareHooks(), context_.random.Next(), aNow.monotonic);
  startedAt_ = aNow.monotonic;
  pauses_.OnTick(aNow.monotonic);
  membership_.Start(aNow);
  lists_.Start(aNow);
  context_.hooks.listVms();
  nextVmList_ = aNow.monotonic + kVmListPeriod;
  Settle(aNow);
}

void
FleetControl::OnTick(Now aNow)
{
  if (pauses_.OnTick(aNow.monotonic))
    context_.hooks.count("pauses", Reason::PauseDetected);
  membership_.OnTick(aNow);
  lists_.OnTick(aNow);
  shares_.OnTick(aNow.monotonic);
  if (aNow.monotonic >= nextVmList_) {
    nextVmList_ = aNow.monotonic + kVmListPeriod;
    context_.hooks.listVms();
  }
  roster_.OnTick(aNow, Lists(), writesRoster_ && !leaving_);
  Settle(aNow);
  CheckJoined(aNow);
}

void
FleetControl::CheckJoined(Now aNow)
{
  const Duration wait = membership_.LastAckedProbeSentAt() ? kJoinTime : kJoinAloneTime;
  if (joined_ || aNow.monotonic - startedAt_ < wait)
    return;
  joined_ = true;
  hooks_.membersChanged(aNow);
}

bool
FleetControl::HasTopWeightForRoster() const
{
  const std::string_view object = ObjectName(ListName::Roster);
  const uint64_t own = RendezvousWeight(object, context_.Self().id.Value());
  for (const Vm& vm : membership_.LiveNotLeaving()) {
    if (RendezvousWeight(object, vm.id.Value()) > own)
      return false;
  }
  return true;
}

void
FleetControl::OnDatagram(Now aNow, const Endpoint& aFrom, const DatagramMessage& aMessage)
{
  membership_.OnDatagram(aNow, aFrom, aMessage);
  Settle(aNow);
}

bool
FleetControl::OnStream(Now aNow, const VmId& aFrom, const StreamMessage& aMessage)
{
  if (const auto* request = std::get_if<ShareRequest>(&aMessage))
    shares_.OnShareRequest(aFrom, *request, aNow.monotonic);
  else if (const auto* grant = std::get_if<ShareGrant>(&aMessage))
    shares_.OnShareGrant(aFrom, *grant, aNow.monotonic);
  else if (const auto* giveBack = std::get_if<ShareReturn>(&aMessage))
    shares_.OnShareReturn(aFrom, *giveBack, aNow.monotonic);
  else if (const auto* list = std::get_if<ListRequest>(&aMessage))
    Send(aFrom, lists_.Answer(*list));
  else if (const auto* reply = std::get_if<ListReply>(&aMessage))
    lists_.OnListReply(aNow, aFrom, *reply);
  else if (const auto* sync = std::get_if<MemberSync>(&aMessage))
    membership_.OnSync(aNow, aFrom, *sync);
  else
    return false;
  Settle(aNow);
  return true;
}

bool
FleetControl::OnStoreResult(Now aNow, StoreCallId aCall, const StoreResult& aResult)
{
  if (!lists_.OnStoreResult(aNow, aCall, aResult) && !roster_.OnStoreResult(aNow, aCall, aResult))
    return false;
  Settle(aNow);
  return true;
}

void
FleetControl::OnVmList(Now aNow, const std::optional<std::vector<PlatformVm>>& aVms)
{
  if (!aVms)
    return;
  membership_.OnVmList(aNow, *aVms);
  roster_.OnVmList(aNow, *aVms);
  Settle(aNow);
}

void
FleetControl::SetLeaving(Now aNow)
{
  leaving_ = true;
  membership_.SetLeaving(aNow);
  hooks_.membersChanged(aNow);
}

void
FleetControl::Leave(Now aNow)
{
  membership_.Leave(aNow);
}

void
FleetControl::Settle(Now aNow)
{
  ApplyMembers(aNow);
  ApplyLists(aNow);
  std::array<ListVersion, kListCount> versions = lists_.Versions();
  versions[static_cast<size_t>(ListName::Roster)] = shares_.ConfirmedRoster(aNow.monotonic);
  membership_.SetListVersions(versions);
}

void
FleetControl::ApplyMembers(Now aNow)
{
  const std::vector<MemberUpdate> changed = std::exchange(changedMembers_, {});
  for (const MemberUpdate& member : changed) {
    lists_.OnMember(aNow, member);
    shares_.OnRosterConfirmed(
      member.vm.id, member.listVersions[static_cast<size_t>(ListName::Roster)], aNow.monotonic);
    const auto run = liveRuns_.find(member.vm.id);
    const bool superseded = run != liveRuns_.end() && run->second != member.incarnation;
    if (run != liveRuns_.end() && (superseded || !IsLive(member.state)))
      hooks_.memberGone(aNow, member.vm.id);
    if (!IsLive(member.state)) {
      liveRuns_.erase(member.vm.id);
      continue;
    }
    const bool joined = run == liveRuns_.end() || superseded;
    liveRuns_[member.vm.id] = member.incarnation;
    if (joined)
      hooks_.memberJoined(aNow, member.vm);
  }
  if (membership_.Epoch() == epoch_)
    return;
  epoch_ = membership_.Epoch();
  std::vector<Vm> peers;
  for (const MemberUpdate& member : membership_.LiveMembers())
    peers.push_back(member.vm);
  shares_.SetPeers(peers);
  writesRoster_ = HasTopWeightForRoster();
  hooks_.membersChanged(aNow);
}

void
FleetControl::ApplyLists(Now aNow)
{
  if (!std::exchange(listsDirty_, false))
    return;
  const FleetLists& lists = Lists();
  shares_.SetRoster(lists.VersionOf(ListName::Roster), lists.roster, aNow.monotonic);
  for (const MemberUpdate& member : membership_.Members())
    shares_.OnRosterConfirmed(
      member.vm.id, member.listVersions[static_cast<size_t>(ListName::Roster)], aNow.monotonic);
  hooks_.listsChanged(aNow);
}

std::vector<Vm>
FleetControl::UsableVms(WallTime aNow) const
{
  std::vector<Vm> usable;
  for (const Vm& vm : membership_.LiveNotLeaving()) {
    if (vm.id == context_.Self().id && leaving_)
      continue;
    if (!IsDraining(Lists(), vm, aNow))
      usable.push_back(vm);
  }
  return usable;
}

std::vector<Vm>
FleetControl::ServingVms(WallTime aNow) const
{
  std::vector<Vm> serving = UsableVms(aNow);
  const uint64_t now = static_cast<uint64_t>(aNow.time_since_epoch().count());
  const auto hold = std::chrono::duration_cast<std::chrono::milliseconds>(ShareOptions().startHold);
  std::erase_if(serving, [&](const Vm& aVm) {
    const MemberUpdate* member = membership_.Find(aVm.id);
    return member && member->startedAtMs + static_cast<uint64_t>(hold.count()) > now;
  });
  return serving;
}

std::set<VmId>
FleetControl::LeavingVms(WallTime aNow) const
{
  std::set<VmId> leaving;
  for (const MemberUpdate& member : membership_.Members()) {
    const bool planned = IsLive(member.state) && IsDraining(Lists(), member.vm, aNow);
    if (member.leaving || member.state == MemberState::Left || planned)
      leaving.insert(member.vm.id);
  }
  return leaving;
}

} // namespace dfm
