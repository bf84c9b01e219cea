#include "dragonflymoor/Steering/PeerLoads.h"

#include <algorithm>

namespace dfm {

namespace {

/// Returns aLoads in order of the instances, with one entry for each that has requests.
std::vector<InstanceLoad>
Normalize(std::vector<InstanceLoad> aLoads)
{
  if (!std::is_sorted(aLoads.begin(), aLoads.end()))
    std::sort(aLoads.begin(), aLoads.end());
  std::vector<InstanceLoad> loads;
  loads.reserve(aLoads.size());
  for (const InstanceLoad& load : aLoads) {
    if (load.inFlight == 0)
      continue;
    if (!loads.empty() && loads.back().instance == load.instance)
      loads.back().inFlight += load.inFlight;
    else
      loads.push_back(load);
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
    const unsigned removed = isNew ? 0 : (before++)->inFlight;
    const unsigned added = isGone ? 0 : (after++)->inFlight;
    if (removed == added)
      continue;
    unsigned& sum = inFlightByInstance_[instance];
    sum = sum + added - removed;
    if (sum == 0)
      inFlightByInstance_.erase(instance);
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

unsigned
PeerLoads::InFlightAt(uint32_t aInstance) const
{
  const auto sum = inFlightByInstance_.find(aInstance);
  return sum == inFlightByInstance_.end() ? 0 : sum->second;
}

std::vector<InstanceLoad>
PeerLoads::AddReportsOf(const std::set<VmId>& aVms, const std::vector<InstanceLoad>& aOwn) const
{
  std::map<uint32_t, uint16_t> sums;
  const auto add = [&sums](const std::vector<InstanceLoad>& aLoads) {
    for (const InstanceLoad& load : aLoads)
      sums[load.instance] += load.inFlight;
  };
  add(aOwn);
  for (const VmId& vm : aVms) {
    const auto report = reportsBySource_.find(LoadSource(vm));
    if (report != reportsBySource_.end())
      add(report->second.loads);
  }
  std::vector<InstanceLoad> loads;
  loads.reserve(sums.size());
  for (const auto& [instance, inFlight] : sums)
    loads.push_back({ .instance = instance, .inFlight = inFlight });
  return loads;
}

} // namespace dfm
