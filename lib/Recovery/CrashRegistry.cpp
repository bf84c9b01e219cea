#include "dragonflymoor/Recovery/CrashRegistry.h"

#include <algorithm>

namespace dfm {

namespace {

template<typename Entries>
auto
FindFingerprint(Entries& aEntries, uint64_t aFingerprint)
{
  return std::find_if(aEntries.begin(), aEntries.end(), [&](const auto& aEntry) {
    return aEntry.fingerprint == aFingerprint;
  });
}

} // namespace

CrashRegistry::CrashRegistry(CrashRegistryOptions aOptions, uint64_t aSeed)
  : options_(aOptions)
  , nextReportId_(aSeed)
{
}

CrashReport
CrashRegistry::OnCrash(TimePoint aNow, const WorkspaceId& aWorkspace, uint64_t aFingerprint)
{
  CrashReport report{ .reportId = nextReportId_++,
                      .workspace = aWorkspace,
                      .fingerprint = aFingerprint };
  OnReport(aNow, report);
  return report;
}

bool
CrashRegistry::OnReport(TimePoint aNow, const CrashReport& aReport)
{
  if (!RememberReport(aReport.reportId))
    return false;
  if (aReport.age < options_.blockDuration)
    CountCrash(aNow, aReport);
  return true;
}

void
CrashRegistry::OnSurvived(const WorkspaceId& aWorkspace, uint64_t aFingerprint)
{
  const auto workspace = workspaces_.find(aWorkspace);
  if (workspace == workspaces_.end())
    return;
  for (auto* const entries : { &workspace->second.suspects, &workspace->second.blocked }) {
    const auto known = FindFingerprint(*entries, aFingerprint);
    if (known != entries->end())
      entries->erase(known);
  }
}

std::vector<CrashReport>
CrashRegistry::Reports(TimePoint aNow) const
{
  std::vector<CrashReport> reports;
  for (const auto& [id, workspace] : workspaces_) {
    AppendReports(aNow, id, workspace.blocked, reports);
    AppendReports(aNow, id, workspace.suspects, reports);
  }
  return reports;
}

void
CrashRegistry::AppendReports(TimePoint aNow,
                             const WorkspaceId& aWorkspace,
                             const std::list<FingerprintCrashes>& aEntries,
                             std::vector<CrashReport>& aReports) const
{
  for (const FingerprintCrashes& entry : aEntries) {
    for (const Crash& crash : entry.crashes) {
      const Duration age = aNow - crash.crashedAt;
      if (age < options_.blockDuration)
        aReports.push_back({ .reportId = crash.reportId,
                             .workspace = aWorkspace,
                             .fingerprint = entry.fingerprint,
                             .age = age });
    }
  }
}

bool
CrashRegistry::IsBlocked(TimePoint aNow, const WorkspaceId& aWorkspace, uint64_t aFingerprint) const
{
  const auto workspace = workspaces_.find(aWorkspace);
  if (workspace == workspaces_.end())
    return false;
  const auto& blocked = workspace->second.blocked;
  const auto entry = FindFingerprint(blocked, aFingerprint);
  return entry != blocked.end() && aNow < entry->blockedUntil;
}

size_t
CrashRegistry::BlockedCount(TimePoint aNow, const WorkspaceId& aWorkspace) const
{
  const auto workspace = workspaces_.find(aWorkspace);
  if (workspace == workspaces_.end())
    return 0;
  const auto& blocked = workspace->second.blocked;
  return static_cast<size_t>(
    std::count_if(blocked.begin(), blocked.end(), [&](const FingerprintCrashes& aEntry) {
      return aNow < aEntry.blockedUntil;
    }));
}

void
CrashRegistry::CountCrash(TimePoint aNow, const CrashReport& aReport)
{
  const WorkspaceId& id = aReport.workspace;
  const uint64_t fingerprint = aReport.fingerprint;
  if (!workspaces_.contains(id) && workspaces_.size() >= options_.maxWorkspaces)
    DropWorkspaceWithOldestCrash();
  Workspace& workspace = workspaces_[id];
  workspace.lastCrashAt = aNow;
  RemoveExpired(aNow, workspace);
  // A late report about a blocked fingerprint does not extend the block.
  if (FindFingerprint(workspace.blocked, fingerprint) != workspace.blocked.end())
    return;

  FingerprintCrashes entry{ .fingerprint = fingerprint };
  const auto known = FindFingerprint(workspace.suspects, fingerprint);
  if (known != workspace.suspects.end()) {
    entry = *known;
    workspace.suspects.erase(known);
  }
  const TimePoint crashedAt = aNow - aReport.age;
  entry.crashes.push_back({ .reportId = aReport.reportId, .crashedAt = crashedAt });
  entry.lastCrashAt = std::max(entry.lastCrashAt, crashedAt);
  if (entry.crashes.size() < options_.crashesToBlock) {
    workspace.suspects.push_back(entry);
    if (workspace.suspects.size() > options_.maxSuspectsPerWorkspace)
      workspace.suspects.pop_front();
    return;
  }
  entry.blockedUntil = entry.lastCrashAt + options_.blockDuration;
  workspace.blocked.push_back(entry);
  if (workspace.blocked.size() > options_.maxBlockedPerWorkspace)
    workspace.blocked.pop_front();
}

void
CrashRegistry::RemoveExpired(TimePoint aNow, Workspace& aWorkspace) const
{
  std::erase_if(aWorkspace.blocked,
                [&](const FingerprintCrashes& aEntry) { return aNow >= aEntry.blockedUntil; });
  std::erase_if(aWorkspace.suspects, [&](const FingerprintCrashes& aEntry) {
    return aNow >= aEntry.lastCrashAt + options_.blockDuration;
  });
}

bool
CrashRegistry::RememberReport(uint64_t aReportId)
{
  if (!knownReportIds_.insert(aReportId).second)
    return false;
  reportIdsInOrder_.push_back(aReportId);
  if (reportIdsInOrder_.size() > options_.maxReports) {
    knownReportIds_.erase(reportIdsInOrder_.front());
    reportIdsInOrder_.pop_front();
  }
  return true;
}

void
CrashRegistry::DropWorkspaceWithOldestCrash()
{
  const auto oldest = std::min_element(
    workspaces_.begin(), workspaces_.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.lastCrashAt < aRight.second.lastCrashAt;
    });
  workspaces_.erase(oldest);
}

} // namespace dfm
