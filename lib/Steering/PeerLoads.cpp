#include "dragonflymoor/Steering/PeerLoads.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dfm {

namespace {

/// Claims are reported in this many parts of a request a second.
constexpr double kClaimParts = 10;

/// Returns aLoads in order of the instances, with one entry for each that has requests or a claim.
std::vector<InstanceLoad>
Normalize(std::vector<InstanceLoad> aLoads)
{
  if (!std::is_sorted(aLoads.begin(), aLoads.end()))
    std::sort(aLoads.begin(), aLoads.end());
  std::vector<InstanceLoad> loads;
  loads.reserve(aLoads.size());
  for (const InstanceLoad& load : aLoads) {
    if (load.inFlight == 0 && load.claim == 0)
      continue;
    if (!loads.empty() && loads.back().instance == load.instance) {
      loads.back().inFlight += load.inFlight;
      loads.back().claim += load.claim;
    } else {
      loads.push_back(load);
    }
  }
  return loads;
}

} // namespace

void
PeerLoads::ReplaceLoads(const std::vector<InstanceLoad>& aOld,
                        const std::vector<InstanceLoad>& aNew,
                        std::vector<uint32_t>& aChanged)
{
  auto before = aOld.begin();
  auto after = aNew.begin();
  while (before != aOld.end() || after != aNew.end()) {
    const bool isNew =
      before == aOld.end() || (after != aNew.end() && after->instance < before->instance);
    const bool isGone =
      after == aNew.end() || (before != aOld.end() && before->instance < after->instance);
    const uint32_t instance = isNew ? after->instance : before->instance;
    const InstanceLoad removed = isNew ? InstanceLoad{} : *before++;
    const InstanceLoad added = isGone ? InstanceLoad{} : *after++;
    if (removed.inFlight == added.inFlight && removed.claim == added.claim)
      continue;
    Sums& sums = sumsByInstance_[instance];
    sums.inFlight = sums.inFlight + added.inFlight - removed.inFlight;
    sums.claims = sums.claims + added.claim - removed.claim;
    if (sums == Sums{})
      sumsByInstance_.erase(instance);
    aChanged.push_back(instance);
  }
}

std::vector<uint32_t>
PeerLoads::OnReport(TimePoint aNow, const VmId& aVm, const PeerLoad& aLoad)
{
  std::vector<uint32_t> changed;
  const LoadSource source = aLoad.domain ? LoadSource(*aLoad.domain) : LoadSource(aVm);
  Report& report = reportsBySource_[source];
  std::vector<InstanceLoad> loads = Normalize(aLoad.loads);
  ReplaceLoads(report.loads, loads, changed);
  report = { .expiresAt = aNow + aLoad.life, .loads = std::move(loads) };
  return changed;
}

std::vector<uint32_t>
PeerLoads::DropExpired(TimePoint aNow)
{
  std::vector<uint32_t> changed;
  for (auto report = reportsBySource_.begin(); report != reportsBySource_.end();) {
    if (aNow < report->second.expiresAt) {
      ++report;
      continue;
    }
    ReplaceLoads(report->second.loads, {}, changed);
    report = reportsBySource_.erase(report);
  }
  return changed;
}

PeerLoads::Sums
PeerLoads::SumsAt(uint32_t aInstance) const
{
  const auto sums = sumsByInstance_.find(aInstance);
  return sums == sumsByInstance_.end() ? Sums{} : sums->second;
}

double
PeerLoads::ClaimsAt(uint32_t aInstance) const
{
  return SumsAt(aInstance).claims / kClaimParts;
}

uint16_t
EncodeClaim(double aPerSecond)
{
  const double parts = std::ceil(aPerSecond * kClaimParts);
  return static_cast<uint16_t>(std::clamp<double>(parts, 0, std::numeric_limits<uint16_t>::max()));
}

std::vector<InstanceLoad>
PeerLoads::AddReportsOf(const std::set<VmId>& aVms, const std::vector<InstanceLoad>& aOwn) const
{
  std::map<uint32_t, InstanceLoad> sums;
  const auto add = [&sums](const std::vector<InstanceLoad>& aLoads) {
    for (const InstanceLoad& load : aLoads) {
      InstanceLoad& sum = sums[load.instance];
      sum.instance = load.instance;
      sum.inFlight += load.inFlight;
      sum.claim += load.claim;
    }
  };
  add(aOwn);
  for (const VmId& vm : aVms) {
    const auto report = reportsBySource_.find(LoadSource(vm));
    if (report != reportsBySource_.end())
      add(report->second.loads);
  }
  std::vector<InstanceLoad> loads;
  loads.reserve(sums.size());
  for (const auto& [instance, sum] : sums)
    loads.push_back(sum);
  return loads;
}

} // namespace dfm
