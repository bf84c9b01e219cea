#ifndef DRAGONFLYMOOR_LINKS_REMOTEADMISSION_H
#define DRAGONFLYMOOR_LINKS_REMOTEADMISSION_H

#include "dragonflymoor/Model/Outcome.h"
#include "dragonflymoor/Support/Time.h"
#include <cstdint>
#include <optional>

namespace dfm {

struct RemoteAdmissionOptions
{
  double growthPerSecond = 0.1; ///< Part of the pool's slots that remote work may grow by.
  double maxUtilisation = 0.85; ///< Remote requests are admitted only below this.
  /// Without data on the pool the limit is held for this time and then falls at the rate at which
  /// it may grow.
  Duration holdTime = 1s;
};

/// Limits how much work of other regions a pool takes, at the owner of the pool. It bounds remote
/// requests in the pool (queued or in flight) by a limit that grows slowly, because caches are
/// cold. Not thread-safe.
class RemoteAdmission
{
public:
  explicit RemoteAdmission(RemoteAdmissionOptions aOptions = {});

  /// Present state of the pool: usable slots, and requests of all origins, queued or in flight.
  /// Empty when it is not known: the limit is then held or tightened.
  struct Load
  {
    uint32_t slots = 0;
    uint32_t requests = 0;
  };
  void OnLoad(const std::optional<Load>& aLoad, TimePoint aNow);

  /// Reason::None admits a remote request and counts it until OnEnded; RegionBusy refuses it.
  Reason TryAdmit();
  void OnEnded();

  uint32_t Remote() const { return remote_; }
  /// Remote requests that may be in the pool now.
  double Limit() const { return limit_; }

private:
  RemoteAdmissionOptions options_;
  Load load_;
  uint32_t admittedSinceLoad_ = 0;
  uint32_t remote_ = 0;
  double peak_ = 0; ///< Recent highest count of remote requests.
  double limit_ = 0;
  std::optional<TimePoint> lastLoad_;
  TimePoint advanced_;
};

} // namespace dfm

#endif
