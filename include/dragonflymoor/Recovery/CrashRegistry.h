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
  size_t maxSuspectsPerWorkspace = 256; ///< Fingerprints with fewer crashes that are remembered.
  size_t maxWorkspaces = 1'000;         ///< The workspace without a crash for longest goes first.
  size_t maxReports = 65'536;           ///< Report ids remembered so that repeats count once.
};

/// Counts the server crashes that a request caused on the whole fleet, and blocks its fingerprint
/// after two. All memory is bounded. Not thread-safe.
class CrashRegistry
{
public:
  /// aSeed makes report ids unique; it must be random for each run of a VM.
  CrashRegistry(CrashRegistryOptions aOptions, uint64_t aSeed);

  /// A server of this VM crashed on a request (AttemptEnd::Crashed). The report goes to all VMs.
  CrashReport OnCrash(TimePoint aNow, const WorkspaceId& aWorkspace, uint64_t aFingerprint);

  /// A report of another VM. False when it is a repeat and was not counted.
  bool OnReport(TimePoint aNow, const CrashReport& aReport);

  /// Reports of all crashes that still count, for a VM that has just started.
  std::vector<CrashReport> Reports(TimePoint aNow) const;

  /// Whether a request must not be sent to a server. Must be asked right before each attempt.
  bool IsBlocked(TimePoint aNow, const WorkspaceId& aWorkspace, uint64_t aFingerprint) const;

  size_t BlockedCount(TimePoint aNow, const WorkspaceId& aWorkspace) const;

private:
  struct Crash
  {
    uint64_t reportId = 0;
    TimePoint at;
  };
  struct Entry
  {
    uint64_t fingerprint = 0;
    std::vector<Crash> crashes; ///< At most crashesToBlock.
    TimePoint lastCrash;
    TimePoint blockedUntil;
  };
  struct Workspace
  {
    std::list<Entry> suspects; ///< Oldest last crash first.
    std::list<Entry> blocked;  ///< Oldest block first.
    TimePoint lastCrash;
  };

  void Count(TimePoint aNow, const CrashReport& aReport);
  void AddReports(TimePoint aNow,
                  const WorkspaceId& aWorkspace,
                  const std::list<Entry>& aEntries,
                  std::vector<CrashReport>& aReports) const;
  void Expire(TimePoint aNow, Workspace& aWorkspace) const;
  bool RememberReport(uint64_t aReportId);
  void DropOldestWorkspace();

  CrashRegistryOptions options_;
  uint64_t nextReport_;
  std::unordered_map<WorkspaceId, Workspace> workspaces_;
  std::unordered_set<uint64_t> reports_;
  std::deque<uint64_t> reportOrder_;
};

} // namespace dfm

#endif
