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
  Report& report = reportsByVm_[aVm];
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
  for (auto report = reportsByVm_.begin(); report != reportsByVm_.end();) {
    if (aNow < report->second.expiresAt) {
      ++report;
      continue;
    }
    SubtractReport(report->second, changed);
    report = reportsByVm_.erase(report);
  }
  return changed;
}

unsigned
PeerLoads::InFlightAt(uint32_t aInstance) const
{
  const auto sum = inFlightByInstance_.find(aInstance);
  return sum == inFlightByInstance_.end() ? 0 : sum->second;
}

} // namespace dfm
