#ifndef DRAGONFLYMOOR_RECOVERY_CRASHREGISTRY_H
#define DRAGONFLYMOOR_RECOVERY_CRASHREGISTRY_H

#include "dragonflymoor/Support/Id.h"
#include "dragonflymoor/Support/Time.h"
#include "dragonflymoor/Wire/Messages.h"
#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace dfm {

struct CrashRegistryOptions
{
  uint32_t crashesToBlock = 2;
  Duration blockDuration = 10min; ///< Also how long a single crash is remembered.
  size_t maxBlockedPerWorkspace = 64;
  size_t maxSuspectsPerWorkspace = 256; ///< Remembered fingerprints with fewer crashes.
  size_t maxWorkspaces = 1'000; ///< Beyond it, the workspace whose last crash is oldest is dropped.
  size_t maxReports = 65'536;   ///< Remembered report ids, so that a repeated report counts once.
};

/// Counts the server crashes that a request caused on the whole fleet, and blocks its fingerprint
/// after crashesToBlock of them (two by default). All memory is bounded. Not thread-safe.
class CrashRegistry
{
public:
  /// aSeed makes report ids unique; it must be random for each run of a VM.
  CrashRegistry(CrashRegistryOptions aOptions, uint64_t aSeed);

  /// A server of this VM crashed on a request (AttemptEnd::Crashed). The report goes to all VMs.
  CrashReport OnCrash(TimePoint aNow, const WorkspaceId& aWorkspace, uint64_t aFingerprint);

  /// Handles a report from another VM. Returns false if it was a repeat, which is not counted.
  bool OnReport(TimePoint aNow, const CrashReport& aReport);

  /// A server ran the request and survived it: the crashes counted so far were caused by others.
  void OnSurvived(const WorkspaceId& aWorkspace, uint64_t aFingerprint);

  /// Reports of all crashes within the last blockDuration, for a VM that has just started.
  std::vector<CrashReport> Reports(TimePoint aNow) const;

  /// Whether a request must not be sent to a server. Must be asked right before each attempt.
  bool IsBlocked(TimePoint aNow, const WorkspaceId& aWorkspace, uint64_t aFingerprint) const;

  size_t BlockedCount(TimePoint aNow, const WorkspaceId& aWorkspace) const;

private:
  struct Crash
  {
    uint64_t reportId = 0;
    TimePoint crashedAt;
  };
  struct FingerprintCrashes
  {
    uint64_t fingerprint = 0;
    std::vector<Crash> crashes; ///< At most crashesToBlock.
    TimePoint lastCrashAt;
    TimePoint blockedUntil;
  };
  struct Workspace
  {
    std::list<FingerprintCrashes> suspects; ///< Oldest last crash first.
    std::list<FingerprintCrashes> blocked;  ///< Oldest block first.
    TimePoint lastCrashAt;
  };

  void CountCrash(TimePoint aNow, const CrashReport& aReport);
  void AppendReports(TimePoint aNow,
                     const WorkspaceId& aWorkspace,
                     const std::list<FingerprintCrashes>& aEntries,
                     std::vector<CrashReport>& aReports) const;
  void RemoveExpired(TimePoint aNow, Workspace& aWorkspace) const;
  bool RememberReport(uint64_t aReportId);
  void DropWorkspaceWithOldestCrash();

  CrashRegistryOptions options_;
  uint64_t nextReportId_;
  std::unordered_map<WorkspaceId, Workspace> workspaces_;
  std::unordered_set<uint64_t> knownReportIds_;
  std::deque<uint64_t> reportIdsInOrder_;
};

} // namespace dfm

#endif
