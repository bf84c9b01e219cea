#ifndef DRAGONFLYMOOR_STEERING_RATECLAIM_H
#define DRAGONFLYMOOR_STEERING_RATECLAIM_H

#include "dragonflymoor/Shares/TokenBucket.h"
#include "dragonflymoor/Support/Time.h"
#include <optional>

namespace dfm {

/// Where one VM stands among those that may send requests to an instance.
struct VmRank
{
  size_t vms = 1;  ///< This one included.
  size_t rank = 0; ///< Position in an order on which all agree; 0 for the first.

  auto operator<=>(const VmRank&) const = default;
};

/// This VM's part of the rate at which an instance takes requests from all VMs together. The VMs
/// tell each other the rates that they claim, in their load reports. Each claims what its requests
/// need and the others leave, and gives up a part when the claims exceed the limit. Most requests
/// for an instance come from one or two VMs, so equal parts would leave most of the limit unused.
/// No I/O, no clock. Not thread-safe.
class RateClaim
{
public:
  RateClaim();

  /// The instance stated, in an answer to this VM, how many requests a second it takes from all
  /// VMs together; empty when its answer states no limit. True when that differs from before.
  bool OnStatement(TimePoint aNow, std::optional<double> aMaxRequestsPerSecond);

  /// Whether the limit holds. Without answers to this VM it does as long as others claim a part,
  /// since each of them has recent answers.
  bool IsLimited(TimePoint aNow) const;

  /// The sum of the other VMs' claims, in requests a second.
  void SetPeerClaims(double aPerSecond) { peerClaims_ = aPerSecond; }

  /// Adapts the claim. To be called every 100 ms while the limit holds. Only the first VMs of the
  /// order share a small limit.
  void Update(TimePoint aNow, const VmRank& aRank);

  /// The claim that others are told, in requests a second; 0 without recent answers.
  double ReportedClaim(TimePoint aNow) const;

  /// Whether a request may be sent now.
  bool MaySend(TimePoint aNow) const;
  /// A request is sent. Counts also without a limit, as a later claim depends on the demand.
  void OnSend(TimePoint aNow);
  /// A request would have been sent if MaySend() had returned true.
  void OnDenied(TimePoint aNow) { denied_.Add(1, aNow); }

  std::optional<double> Limit() const { return limit_; }

private:
  bool HasRecentStatement(TimePoint aNow) const;
  /// Adds what the claim has allowed since the last call.
  void Refill(TimePoint aNow) const;

  std::optional<double> limit_; ///< Requests a second.
  TimePoint statedAt_;
  double claim_ = 0; ///< Requests a second.
  size_t vms_ = 1;   ///< That may send to the instance, at the last update.
  double peerClaims_ = 0;
  DemandMeter sent_;
  DemandMeter denied_;
  /// Filled when it is looked at.
  mutable TokenBucket bucket_;
  mutable TimePoint lastRefill_;
};

} // namespace dfm

#endif
