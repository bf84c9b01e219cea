#ifndef DRAGONFLYMOOR_STEERING_QUOTASHARES_H
#define DRAGONFLYMOOR_STEERING_QUOTASHARES_H

#include "dragonflymoor/Shares/TokenBucket.h"
#include "dragonflymoor/Steering/PeerLoads.h"
#include "dragonflymoor/Steering/QuotaReport.h"
#include "dragonflymoor/Support/Id.h"
#include "dragonflymoor/Support/Random.h"
#include "dragonflymoor/Support/Time.h"
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace dfm {

/// Key of a workspace in reports between VMs: the low half of the hash of its id. Two workspaces
/// with equal keys share the smaller of their quotas. Thread-safe.
uint32_t
QuotaKeyOf(const WorkspaceId& aWorkspace);

/// Limit of the requests of one workspace over all VMs together.
struct Quota
{
  double requestsPerSecond = 0; ///< Above 0.
  double burst = 0;             ///< Requests beyond the rate.

  auto operator<=>(const Quota&) const = default;
};

struct QuotaOptions
{
  /// Requests by which the platform lets a quota be exceeded in each of its windows.
  double slack = 0;
  uint64_t randomSeed = 0;
};

/// Answer to a request that counts towards a quota.
struct QuotaDecision
{
  bool admitted = true;
  Duration retryAfter{}; ///< Time after which a refused caller finds room again.
  // For the log: what the decision rested on. Only set in a refusal.
  double part = 1;     ///< Of the requests that each VM admits.
  double demand = 0;   ///< Requests a second of the callers of all VMs.
  size_t heardVms = 0; ///< VMs whose demand is known, this one included.
  size_t knownVms = 0; ///< Also those whose demand is presumed.

  auto operator<=>(const QuotaDecision&) const = default;
};

/// Holds the quotas of workspaces over all VMs together, without an owner and without a call to
/// anyone before a request is admitted. Each VM reports what its callers ask for and what it
/// admits. From the reports each VM computes how many requests all of them have admitted beyond the
/// rate of the quota. While this is within the burst, everything is admitted; beyond it, each VM
/// admits the same part of its requests, so that the sum returns to the rate. Callers of one
/// workspace may be spread over the VMs in any way and may move.
///
/// A VM that is known but not heard is presumed to ask for as much as the mean of those that are
/// heard, and at least for what it last reported, so that parts of the fleet that cannot reach each
/// other hold the sum when the demand grows in all of them.
///
/// Answers a workspace that sends several times its usual requests for seconds. What exceeds the
/// quota before the reports arrive is taken back from the following seconds. No I/O, no clock. Not
/// thread-safe.
class QuotaShares
{
public:
  explicit QuotaShares(QuotaOptions aOptions)
    : options_(aOptions)
    , random_(aOptions.randomSeed)
  {
  }

  /// Replaces the quotas. Workspaces without one are left out.
  void SetQuotas(TimePoint aNow, const std::map<uint32_t, Quota>& aQuotas);
  /// Number of VMs that serve callers or may do so unreachably, this one included.
  void SetVmCount(size_t aVms) { vms_ = aVms; }
  bool HasQuotas() const { return !states_.empty(); }

  /// Counts a request of aWorkspace and decides whether it may run. Without a quota it may.
  QuotaDecision TryTake(TimePoint aNow, uint32_t aWorkspace);
  /// An admitted request was refused before it ran.
  void Return(TimePoint aNow, uint32_t aWorkspace);

  /// Report of this VM alone. Workspaces without demand are left out, and those with the least
  /// demand when there are more than a report may have.
  QuotaReport OwnReport(TimePoint aNow) const;
  /// Report of this VM and the VMs whose reports came last, for other failure domains.
  /// Precondition: only VMs of the own failure domain report by themselves.
  QuotaReport DomainReport(TimePoint aNow) const;

  /// A report of aSource, which replaces the earlier one and counts as heard for aLife.
  void OnReport(TimePoint aNow, const LoadSource& aSource, QuotaReport aReport, Duration aLife);
  /// Marks sources as silent whose report has expired. To be called several times a second.
  void OnTick(TimePoint aNow);
  /// Drops the reports of sources that are not known any more.
  void ForgetSourcesExcept(TimePoint aNow, const std::set<LoadSource>& aKnown);

private:
  /// What the sources of one state, heard or silent, report for one workspace together.
  struct Sums
  {
    double demand = 0;   ///< Requests a second.
    double admitted = 0; ///< Requests a second.
  };
  struct State
  {
    Quota quota;
    DemandMeter demand;
    DemandMeter admitted;
    Sums heard;
    Sums silent;
    double balance = 0; ///< Requests that all VMs may admit beyond the rate; negative after excess.
    /// Requests that this VM may admit, while only a part is admitted. Starts at random, as most
    /// VMs get only a few requests of a small workspace.
    double credit = 0;
    TimePoint updatedAt;
    TimePoint burstAllowedAt; ///< The burst is saved up again from then on.
  };
  struct Report
  {
    QuotaReport report;
    TimePoint expiresAt;
    bool heard = true;
  };

  double MaxBalance(TimePoint aNow, const State& aState) const;
  /// Part of the requests that each VM may admit now.
  double AdmittedPart(TimePoint aNow, const State& aState) const;
  /// Requests a second that the callers of all VMs ask for.
  double TotalDemand(TimePoint aNow, const State& aState) const;
  double SilentDemand(TimePoint aNow, const State& aState) const;
  /// Brings the balance up to date.
  void Update(TimePoint aNow, State& aState) const;
  /// Adds a report to the sums of its workspaces, or subtracts it.
  void Apply(TimePoint aNow, const Report& aReport, double aSign);

  QuotaOptions options_;
  Random random_;
  size_t vms_ = 1;
  size_t heardVms_ = 0; ///< Other VMs that heard reports cover.
  std::unordered_map<uint32_t, State> states_;
  std::map<LoadSource, Report> reports_;
  TimePoint nextUpdate_;
};

} // namespace dfm

#endif
