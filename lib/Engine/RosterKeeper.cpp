#include "RosterKeeper.h"

#include "dragonflymoor/Model/Lists.h"
#include <algorithm>
#include <cassert>
#include <set>

namespace dfm {

namespace {

bool
ById(const Vm& aLeft, const Vm& aRight)
{
  return aLeft.id < aRight.id;
}

} // namespace

RosterKeeper::RosterKeeper(RosterKeeperOptions aOptions, RosterKeeperHooks aHooks)
  : options_(aOptions)
  , hooks_(std::move(aHooks))
{
  assert(hooks_.callStore && hooks_.isLive && hooks_.written && "every hook must be set");
}

void
RosterKeeper::OnVmList(Now aNow, const std::vector<PlatformVm>& aVms)
{
  std::vector<Vm> vms;
  std::set<VmId> listed;
  for (const PlatformVm& entry : aVms) {
    vms.push_back(entry.vm);
    listed.insert(entry.vm.id);
  }
  if (platform_) {
    for (const Vm& vm : *platform_) {
      if (!listed.contains(vm.id))
        missingSince_.try_emplace(vm.id, aNow.monotonic);
    }
  }
  std::erase_if(missingSince_, [&](const auto& aEntry) { return listed.contains(aEntry.first); });
  platform_ = std::move(vms);
}

std::vector<Vm>
RosterKeeper::Wanted(Now aNow, const std::vector<Vm>& aRoster)
{
  std::vector<Vm> wanted = *platform_;
  std::set<VmId> listed;
  for (const Vm& vm : wanted)
    listed.insert(vm.id);
  for (const Vm& vm : aRoster) {
    if (listed.contains(vm.id))
      continue;
    const auto missing = missingSince_.try_emplace(vm.id, aNow.monotonic).first;
    const bool overdue = aNow.monotonic - missing->second >= options_.removeAfter;
    if (!overdue || hooks_.isLive(vm.id))
      wanted.push_back(vm);
  }
  std::sort(wanted.begin(), wanted.end(), ById);
  return wanted;
}

void
RosterKeeper::OnTick(Now aNow, const FleetLists& aLists, bool aWriter)
{
  if (!aWriter || !platform_ || platform_->empty() || call_ || aNow.monotonic < nextPut_)
    return;
  std::vector<Vm> current = aLists.roster;
  std::sort(current.begin(), current.end(), ById);
  const std::vector<Vm> wanted = Wanted(aNow, current);
  if (wanted == current)
    return;
  written_ = SerialiseRoster(wanted);
  nextPut_ = aNow.monotonic + options_.retryAfter;
  call_ = hooks_.callStore(StoreCall{ .kind = StoreCall::Kind::Put,
                                      .object = std::string(ObjectName(ListName::Roster)),
                                      .expectedVersion = aLists.VersionOf(ListName::Roster),
                                      .content = written_ });
}

bool
RosterKeeper::OnStoreResult(Now aNow, StoreCallId aCall, const StoreResult& aResult)
{
  if (call_ != aCall)
    return false;
  call_.reset();
  // After a conflict or a lost answer the watch of the list brings the version in force.
  if (aResult.status == StoreStatus::Ok)
    hooks_.written(aNow, aResult.version, written_);
  return true;
}

} // namespace dfm
