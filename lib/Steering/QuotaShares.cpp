#include "dragonflymoor/Steering/QuotaShares.h"

#include "dragonflymoor/Support/Hash.h"
#include <algorithm>
#include <limits>

namespace dfm {

namespace {

/// Time constant of the reported rates. Shorter ones follow a burst sooner, but vary with each
/// request of a small workspace.
constexpr Duration kMeterTime = 250ms;

/// Parts of the burst and of the platform's slack that are admitted beyond the rate. The rest
/// covers what is admitted until the VMs know of each other's demand.
constexpr double kBurstShare = 0.3;
constexpr double kSlackShare = 0.25;

/// Time after an excess in which no burst is saved up: two surges in one of the platform's windows
/// would both exceed the rate until the VMs know of them.
constexpr Duration kBurstInterval = 5s;

/// Excess with which a VM starts, in seconds of the rate: it does not know what was admitted
/// before, and all VMs may have restarted. It takes nothing from a demand that is well below the
/// quota.
constexpr double kInitialDebtSeconds = 0.5;

/// Time in which an excess is taken back, and the largest excess that is, in seconds of the rate.
constexpr double kRepaySeconds = 0.6;
constexpr double kMaxDebtSeconds = 3;

/// Longest time between two updates that counts: a VM that did not run knows nothing of the rest.
constexpr Duration kMaxStep = 500ms;

/// A source counts as silent after this time without a report: a surge during a longer one would go
/// unnoticed. To take a source for silent that is not changes little.
constexpr Duration kMaxReportAge = 500ms;

/// Period at which the balance of workspaces without requests is brought up to date.
constexpr Duration kUpdatePeriod = 250ms;

/// Demand in requests a second below which a workspace is left out of reports.
constexpr double kLeastDemand = 0.05;

/// Entries of a report. More do not fit a datagram beside the loads.
constexpr size_t kMaxEntries = 1000;

/// Unit of reported rates, in requests a second.
constexpr double kDemandUnit = 0.1;
constexpr double kMaxRatio = std::numeric_limits<uint8_t>::max();

constexpr Duration kMinRetryAfter = 200ms;
constexpr Duration kMaxRetryAfter = 5s;

uint32_t
EncodeDemand(double aPerSecond)
{
  constexpr double kMax = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(std::clamp(aPerSecond / kDemandUnit, 0.0, kMax));
}

double
DemandOf(const QuotaDemand& aEntry)
{
  return aEntry.demand * kDemandUnit;
}

double
AdmittedOf(const QuotaDemand& aEntry)
{
  return DemandOf(aEntry) * aEntry.admittedRatio / kMaxRatio;
}

QuotaDemand
MakeEntry(uint32_t aWorkspace, double aDemand, double aAdmitted)
{
  const double ratio = aDemand > 0 ? std::clamp(aAdmitted / aDemand, 0.0, 1.0) : 0;
  return { .workspace = aWorkspace,
           .demand = EncodeDemand(aDemand),
           .admittedRatio = static_cast<uint8_t>(ratio * kMaxRatio) };
}

void
LimitEntries(std::vector<QuotaDemand>& aEntries)
{
  if (aEntries.size() <= kMaxEntries)
    return;
  std::nth_element(aEntries.begin(),
                   aEntries.begin() + kMaxEntries,
                   aEntries.end(),
                   [](const QuotaDemand& aLeft, const QuotaDemand& aRight) {
                     return aLeft.demand > aRight.demand;
                   });
  aEntries.resize(kMaxEntries);
}

} // namespace

uint32_t
QuotaKeyOf(const WorkspaceId& aWorkspace)
{
  return static_cast<uint32_t>(HashBytes(aWorkspace.Value()));
}

double
QuotaShares::MaxBalance(TimePoint aNow, const State& aState) const
{
  const double burst = aNow < aState.burstAllowedAt ? 0 : kBurstShare * aState.quota.burst;
  return burst + kSlackShare * options_.slack;
}

void
QuotaShares::SetQuotas(TimePoint aNow, const std::map<uint32_t, Quota>& aQuotas)
{
  std::erase_if(states_,
                [&aQuotas](const auto& aEntry) { return !aQuotas.contains(aEntry.first); });
  for (const auto& [workspace, quota] : aQuotas) {
    const auto [entry, isNew] = states_.try_emplace(workspace);
    State& state = entry->second;
    if (!isNew) {
      Update(aNow, state);
      state.quota = quota;
      state.balance = std::min(state.balance, MaxBalance(aNow, state));
      continue;
    }
    state = { .quota = quota,
              .demand = DemandMeter(kMeterTime),
              .admitted = DemandMeter(kMeterTime),
              .balance = -kInitialDebtSeconds * quota.requestsPerSecond,
              .credit = random_.Unit(),
              .updatedAt = aNow };
    for (const auto& [source, report] : reports_) {
      Sums& sums = report.heard ? state.heard : state.silent;
      for (const QuotaDemand& demand : report.report.demands) {
        if (demand.workspace == workspace) {
          sums.demand += DemandOf(demand);
          sums.admitted += AdmittedOf(demand);
        }
      }
    }
  }
}

double
QuotaShares::SilentDemand(TimePoint aNow, const State& aState) const
{
  const size_t heard = 1 + heardVms_;
  const double mean =
    (aState.demand.PerSecond(aNow) + aState.heard.demand) / static_cast<double>(heard);
  const double unheard = vms_ > heard ? static_cast<double>(vms_ - heard) : 0;
  // Without a VM that is not heard, the silent ones have been replaced or have left.
  return unheard > 0 ? std::max(aState.silent.demand, mean * unheard) : 0;
}

double
QuotaShares::TotalDemand(TimePoint aNow, const State& aState) const
{
  return aState.demand.PerSecond(aNow) + aState.heard.demand + SilentDemand(aNow, aState);
}

double
QuotaShares::AdmittedPart(TimePoint aNow, const State& aState) const
{
  if (aState.balance > 0)
    return 1;
  const double target = aState.quota.requestsPerSecond + aState.balance / kRepaySeconds;
  const double demand = TotalDemand(aNow, aState);
  return demand > 0 ? std::clamp(target / demand, 0.0, 1.0) : 1;
}

void
QuotaShares::Update(TimePoint aNow, State& aState) const
{
  const Duration elapsed = std::min(aNow - aState.updatedAt, kMaxStep);
  aState.updatedAt = aNow;
  const double admitted = aState.admitted.PerSecond(aNow) + aState.heard.admitted +
                          SilentDemand(aNow, aState) * AdmittedPart(aNow, aState);
  const double rate = aState.quota.requestsPerSecond;
  const double balance = aState.balance + (rate - admitted) * ToSeconds(elapsed);
  if (balance < 0)
    aState.burstAllowedAt = aNow + kBurstInterval;
  aState.balance = std::clamp(balance, -kMaxDebtSeconds * rate, MaxBalance(aNow, aState));
}

QuotaDecision
QuotaShares::TryTake(TimePoint aNow, uint32_t aWorkspace)
{
  const auto found = states_.find(aWorkspace);
  if (found == states_.end())
    return {};
  State& state = found->second;
  Update(aNow, state);
  state.demand.Add(1, aNow);
  const double part = AdmittedPart(aNow, state);
  state.credit = part >= 1 ? 1 + random_.Unit() : state.credit + part;
  if (state.credit >= 1) {
    state.credit -= 1;
    state.admitted.Add(1, aNow);
    return {};
  }
  const double seconds = -std::min(state.balance, 0.0) / state.quota.requestsPerSecond;
  return { .admitted = false,
           .retryAfter = std::clamp(FromSeconds(seconds), kMinRetryAfter, kMaxRetryAfter),
           .part = part,
           .demand = TotalDemand(aNow, state),
           .heardVms = 1 + heardVms_,
           .knownVms = vms_ };
}

void
QuotaShares::Return(TimePoint aNow, uint32_t aWorkspace)
{
  const auto found = states_.find(aWorkspace);
  if (found == states_.end())
    return;
  State& state = found->second;
  Update(aNow, state);
  if (state.admitted.PerSecond(aNow) * ToSeconds(kMeterTime) >= 1)
    state.admitted.Add(-1, aNow);
}

QuotaReport
QuotaShares::OwnReport(TimePoint aNow) const
{
  QuotaReport report;
  for (const auto& [workspace, state] : states_) {
    const double demand = state.demand.PerSecond(aNow);
    if (demand >= kLeastDemand)
      report.demands.push_back(MakeEntry(workspace, demand, state.admitted.PerSecond(aNow)));
  }
  LimitEntries(report.demands);
  return report;
}

QuotaReport
QuotaShares::DomainReport(TimePoint aNow) const
{
  std::unordered_map<uint32_t, Sums> sums;
  QuotaReport report;
  for (const auto& [workspace, state] : states_) {
    Sums& sum = sums[workspace];
    sum.demand = state.demand.PerSecond(aNow);
    sum.admitted = state.admitted.PerSecond(aNow);
  }
  for (const auto& [source, entry] : reports_) {
    if (!entry.heard || !std::holds_alternative<VmId>(source))
      continue;
    report.vms += entry.report.vms;
    for (const QuotaDemand& demand : entry.report.demands) {
      Sums& sum = sums[demand.workspace];
      sum.demand += DemandOf(demand);
      sum.admitted += AdmittedOf(demand);
    }
  }
  for (const auto& [workspace, sum] : sums) {
    if (sum.demand >= kLeastDemand)
      report.demands.push_back(MakeEntry(workspace, sum.demand, sum.admitted));
  }
  LimitEntries(report.demands);
  return report;
}

void
QuotaShares::Apply(TimePoint aNow, const Report& aReport, double aSign)
{
  if (aReport.heard)
    heardVms_ = aSign > 0 ? heardVms_ + aReport.report.vms : heardVms_ - aReport.report.vms;
  for (const QuotaDemand& demand : aReport.report.demands) {
    const auto state = states_.find(demand.workspace);
    if (state == states_.end())
      continue;
    Update(aNow, state->second);
    Sums& sums = aReport.heard ? state->second.heard : state->second.silent;
    // Rounding must not leave a demand below 0 behind.
    sums.demand = std::max(0.0, sums.demand + aSign * DemandOf(demand));
    sums.admitted = std::max(0.0, sums.admitted + aSign * AdmittedOf(demand));
  }
}

void
QuotaShares::OnReport(TimePoint aNow,
                      const LoadSource& aSource,
                      QuotaReport aReport,
                      Duration aLife)
{
  const auto before = reports_.find(aSource);
  if (before != reports_.end())
    Apply(aNow, before->second, -1);
  Report& report = reports_[aSource];
  report = { .report = std::move(aReport), .expiresAt = aNow + std::min(aLife, kMaxReportAge) };
  Apply(aNow, report, 1);
}

void
QuotaShares::OnTick(TimePoint aNow)
{
  if (aNow >= nextUpdate_) {
    nextUpdate_ = aNow + kUpdatePeriod;
    for (auto& [workspace, state] : states_)
      Update(aNow, state);
  }
  for (auto& [source, report] : reports_) {
    if (!report.heard || aNow < report.expiresAt)
      continue;
    Apply(aNow, report, -1);
    report.heard = false;
    Apply(aNow, report, 1);
  }
}

void
QuotaShares::ForgetSourcesExcept(TimePoint aNow, const std::set<LoadSource>& aKnown)
{
  for (auto report = reports_.begin(); report != reports_.end();) {
    if (aKnown.contains(report->first)) {
      ++report;
      continue;
    }
    Apply(aNow, report->second, -1);
    report = reports_.erase(report);
  }
}

} // namespace dfm
