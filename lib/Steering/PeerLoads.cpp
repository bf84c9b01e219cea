#include "dragonflymoor/Steering/PeerLoads.h"

namespace dfm {

void
PeerLoads::SubtractReport(const Report& aReport, std::vector<uint32_t>& aChanged)
{
  for (const InstanceLoad& load : aReport.loads) {
    const auto sum = sums_.find(load.instance);
    sum->second -= load.inFlight;
    if (sum->second == 0)
      sums_.erase(sum);
    aChanged.push_back(load.instance);
  }
}

std::vector<uint32_t>
PeerLoads::OnReport(TimePoint aNow, const VmId& aVm, const PeerLoad& aLoad)
{
  std::vector<uint32_t> changed;
  Report& report = reports_[aVm];
  SubtractReport(report, changed);
  report = { .expiresAt = aNow + aLoad.life };
  for (const InstanceLoad& load : aLoad.loads) {
    if (load.inFlight == 0)
      continue;
    report.loads.push_back(load);
    sums_[load.instance] += load.inFlight;
    changed.push_back(load.instance);
  }
  return changed;
}

std::vector<uint32_t>
PeerLoads::DropExpired(TimePoint aNow)
{
  std::vector<uint32_t> changed;
  for (auto report = reports_.begin(); report != reports_.end();) {
    if (aNow < report->second.expiresAt) {
      ++report;
      continue;
    }
    SubtractReport(report->second, changed);
    report = reports_.erase(report);
  }
  return changed;
}

unsigned
PeerLoads::InFlightAt(uint32_t aInstance) const
{
  const auto sum = sums_.find(aInstance);
  return sum == sums_.end() ? 0 : sum->second;
}

} // namespace dfm
