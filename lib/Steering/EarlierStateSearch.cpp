#include "dragonflymoor/Steering/EarlierStateSearch.h"

#include <algorithm>
#include <utility>

namespace dfm {

namespace {

/// Answers that end the search. Some may come from VMs that have just started as well.
constexpr size_t kMinAnswers = 5;

/// The search ends after this time in any case: the operator and the instances have written again
/// what the copy lacked, and the entries of dead instances have lapsed.
constexpr Duration kMaxSearchTime = 10s;

/// Returns the half of the VMs that have run for longer.
std::vector<Vm>
LongerRunning(std::vector<MemberUpdate> aVms)
{
  std::sort(aVms.begin(), aVms.end(), [](const MemberUpdate& aLeft, const MemberUpdate& aRight) {
    return aLeft.startedAtMs < aRight.startedAtMs;
  });
  aVms.resize((aVms.size() + 1) / 2);
  std::vector<Vm> vms;
  vms.reserve(aVms.size());
  for (MemberUpdate& update : aVms)
    vms.push_back(std::move(update.vm));
  return vms;
}

} // namespace

std::vector<Vm>
EarlierStateSearch::NextVms(TimePoint aNow,
                            uint64_t aEpoch,
                            const std::vector<MemberUpdate>& aOthers)
{
  if (epoch_ != aEpoch) {
    epoch_ = aEpoch;
    begunAt_.reset();
    answered_.clear();
    answeredRegions_.clear();
  }
  if (!begunAt_ && !aOthers.empty())
    begunAt_ = aNow;
  if (!begunAt_ || aNow - *begunAt_ >= kMaxSearchTime)
    return {};
  std::vector<MemberUpdate> unasked;
  std::vector<MemberUpdate> ofNewRegions;
  for (const MemberUpdate& other : aOthers) {
    if (answered_.contains(other.vm.id))
      continue;
    unasked.push_back(other);
    if (!answeredRegions_.contains(other.vm.region))
      ofNewRegions.push_back(other);
  }
  if (!ofNewRegions.empty())
    return LongerRunning(std::move(ofNewRegions));
  return answered_.size() < kMinAnswers ? LongerRunning(std::move(unasked)) : std::vector<Vm>{};
}

void
EarlierStateSearch::OnAnswer(uint64_t aEpoch, const Vm& aVm)
{
  if (epoch_ != aEpoch)
    return;
  answered_.insert(aVm.id);
  answeredRegions_.insert(aVm.region);
}

} // namespace dfm
