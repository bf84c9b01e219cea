#include "dragonflymoor/Steering/PeerLoads.h"

namespace dfm {

void
PeerLoads::SubtractReport(const Report& aReport, std::vector<uint32_t>& aChanged)
{
  for (const InstanceLoad& load : aReport.loads) {
    const auto sum = inFlightByInstance_.find(load.instance);
    sum->second -= load.inFlight;
    if (sum->second == 0)
      inFlightByInstance_.erase(sum);
    aChanged.push_back(load.instance);
  }
}

std::vector<uint32_t>
PeerLoads::OnReport(TimePoint aNow, const VmId& aVm, const PeerLoad& aLoad)
{
  std::vector<uint32_t> changed;
  const LoadSource source = aLoad.domain ? LoadSource(*aLoad.domain) : LoadSource(aVm);
  Report& report = reportsBySource_[source];
  SubtractReport(report, changed);
  report = { .expiresAt = aNow + aLoad.life };
  for (const InstanceLoad& load : aLoad.loads) {
    if (load.inFlight == 0)
      continue;
    report.loads.push_back(load);
    inFlightByInstance_[load.instance] += load.inFlight;
    changed.push_back(load.instance);
  }
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
    SubtractReport(report->second, changed);
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
