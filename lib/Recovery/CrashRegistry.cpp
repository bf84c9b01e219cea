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
  , nextReport_(aSeed)
{
}

CrashReport
CrashRegistry::OnCrash(TimePoint aNow, const WorkspaceId& aWorkspace, uint64_t aFingerprint)
{
  CrashReport report{ .reportId = nextReport_++,
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
    Count(aNow, aReport);
  return true;
}

std::vector<CrashReport>
CrashRegistry::Reports(TimePoint aNow) const
{
  std::vector<CrashReport> reports;
  for (const auto& [id, workspace] : workspaces_) {
    AddReports(aNow, id, workspace.blocked, reports);
    AddReports(aNow, id, workspace.suspects, reports);
  }
  return reports;
}

void
CrashRegistry::AddReports(TimePoint aNow,
                          const WorkspaceId& aWorkspace,
                          const std::list<Entry>& aEntries,
                          std::vector<CrashReport>& aReports) const
{
  for (const Entry& entry : aEntries) {
    for (const Crash& crash : entry.crashes) {
      const Duration age = aNow - crash.at;
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
    std::count_if(blocked.begin(), blocked.end(), [&](const Entry& aEntry) {
      return aNow < aEntry.blockedUntil;
    }));
}

void
CrashRegistry::Count(TimePoint aNow, const CrashReport& aReport)
{
  const WorkspaceId& id = aReport.workspace;
  const uint64_t fingerprint = aReport.fingerprint;
  if (!workspaces_.contains(id) && workspaces_.size() >= options_.maxWorkspaces)
    DropOldestWorkspace();
  Workspace& workspace = workspaces_[id];
  workspace.lastCrash = aNow;
  Expire(aNow, workspace);
  // A late report about a blocked fingerprint does not make the block longer.
  if (FindFingerprint(workspace.blocked, fingerprint) != workspace.blocked.end())
    return;

  Entry entry{ .fingerprint = fingerprint };
  const auto known = FindFingerprint(workspace.suspects, fingerprint);
  if (known != workspace.suspects.end()) {
    entry = *known;
    workspace.suspects.erase(known);
  }
  const TimePoint at = aNow - aReport.age;
  entry.crashes.push_back({ .reportId = aReport.reportId, .at = at });
  entry.lastCrash = std::max(entry.lastCrash, at);
  if (entry.crashes.size() < options_.crashesToBlock) {
    workspace.suspects.push_back(entry);
    if (workspace.suspects.size() > options_.maxSuspectsPerWorkspace)
      workspace.suspects.pop_front();
    return;
  }
  entry.blockedUntil = entry.lastCrash + options_.blockDuration;
  workspace.blocked.push_back(entry);
  if (workspace.blocked.size() > options_.maxBlockedPerWorkspace)
    workspace.blocked.pop_front();
}

void
CrashRegistry::Expire(TimePoint aNow, Workspace& aWorkspace) const
{
  std::erase_if(aWorkspace.blocked,
                [&](const Entry& aEntry) { return aNow >= aEntry.blockedUntil; });
  std::erase_if(aWorkspace.suspects, [&](const Entry& aEntry) {
    return aNow >= aEntry.lastCrash + options_.blockDuration;
  });
}

bool
CrashRegistry::RememberReport(uint64_t aReportId)
{
  if (!reports_.insert(aReportId).second)
    return false;
  reportOrder_.push_back(aReportId);
  if (reportOrder_.size() > options_.maxReports) {
    reports_.erase(reportOrder_.front());
    reportOrder_.pop_front();
  }
  return true;
}

void
CrashRegistry::DropOldestWorkspace()
{
  const auto oldest = std::min_element(
    workspaces_.begin(), workspaces_.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.lastCrash < aRight.second.lastCrash;
    });
  workspaces_.erase(oldest);
}

} // namespace dfm
