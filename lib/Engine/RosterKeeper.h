#ifndef DRAGONFLYMOOR_LIB_ENGINE_ROSTERKEEPER_H
#define DRAGONFLYMOOR_LIB_ENGINE_ROSTERKEEPER_H

#include "dragonflymoor/Engine/Engine.h"
#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Time.h"
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dfm {

struct RosterKeeperOptions
{
  /// A VM that is dead and not in the platform's list is removed after this time. The list lags,
  /// so one list without the VM proves nothing.
  Duration removeAfter = 30s;
  Duration retryAfter = 2s; ///< Wait after a put before the next one.
};

struct RosterKeeperHooks
{
  std::function<StoreCallId(const StoreCall&)> callStore;
  /// Whether membership holds the VM for live.
  std::function<bool(const VmId&)> isLive;
  /// The store accepted a new roster.
  std::function<void(Now, ListVersion, const std::string& aContent)> written;
};

/// Keeps the list fleet/roster equal to the platform's list of VMs, by conditional updates. Only
/// one VM should write at a time, but two that do so at once do no harm. Not thread-safe.
class RosterKeeper
{
public:
  /// Precondition: every hook is set.
  RosterKeeper(RosterKeeperOptions aOptions, RosterKeeperHooks aHooks);

  /// The platform's list as last read.
  void OnVmList(Now aNow, const std::vector<PlatformVm>& aVms);

  /// Writes the roster when it must change. aWriter tells whether this VM is the one that writes.
  void OnTick(Now aNow, const FleetLists& aLists, bool aWriter);

  /// False when the call is not one of this keeper's.
  bool OnStoreResult(Now aNow, StoreCallId aCall, const StoreResult& aResult);

private:
  std::vector<Vm> Wanted(Now aNow, const std::vector<Vm>& aRoster);

  RosterKeeperOptions options_;
  RosterKeeperHooks hooks_;
  std::optional<std::vector<Vm>> platform_;
  std::map<VmId, TimePoint> missingSince_;
  std::optional<StoreCallId> call_;
  std::string written_;
  TimePoint nextPut_;
};

} // namespace dfm

#endif
