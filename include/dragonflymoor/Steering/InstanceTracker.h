#ifndef DRAGONFLYMOOR_STEERING_INSTANCETRACKER_H
#define DRAGONFLYMOOR_STEERING_INSTANCETRACKER_H

#include "dragonflymoor/Shares/TokenBucket.h"
#include "dragonflymoor/Steering/ConcurrencyLimit.h"
#include "dragonflymoor/Steering/FleetView.h"
#include "dragonflymoor/Steering/InstanceStatement.h"
#include "dragonflymoor/Steering/RateClaim.h"
#include "dragonflymoor/Support/Time.h"
#include <optional>
#include <string_view>
#include <vector>

namespace dfm {

/// Why an instance gets no request at the moment.
enum class Unusable
{
  None,     ///< The instance may be used.
  Draining, ///< By its registration.
  Leaving,  ///< By its own statement.
  Evacuated,
  Paused,  ///< It wants no request from this VM for some time.
  Down,    ///< Connects failed, connections broke or answers stopped; lasts until a health check
           ///< passes.
  Cold,    ///< The VM's part of its cold rate is used up.
  Limited, ///< The VM's part of the rate that the instance takes is used up.
  Full,
};

std::string_view
ToString(Unusable aReason);

/// What a health check showed.
enum class ProbeResult
{
  Healthy,
  Unhealthy,   ///< The instance is leaving, failing, or another one has its address.
  Unanswered,  ///< A connection opened, but no answer came: all slots may be in use.
  Unreachable, ///< No connection could be opened in time.
  Refused,     ///< Nothing listens at the address.
  Closed,      ///< A connection opened, but was closed without an answer.
};

/// What this VM knows of one instance: requests in flight, health, and its part of the rate that a
/// cold instance bears. Not thread-safe.
class InstanceTracker
{
public:
  /// With aAdaptiveLimits, a slow instance gets fewer requests than it has slots.
  explicit InstanceTracker(Instance aInstance, bool aAdaptiveLimits = false);

  const Instance& Spec() const { return spec_; }
  bool IsCold(TimePoint aNow) const { return aNow < spec_.coldUntil; }
  /// Replaces the registration. A new run of the instance discards the state of the earlier run.
  void SetSpec(Instance aInstance);
  void SetEvacuated(bool aEvacuated) { evacuated_ = aEvacuated; }
  /// Sets whether the present run has stated that it leaves.
  void SetLeaving(bool aLeaving) { leaving_ = aLeaving; }
  bool IsLeaving() const { return spec_.draining || leaving_; }
  /// The instance stated that it wants no request from this VM for aPause, health checks included.
  void OnPause(TimePoint aNow, Duration aPause);
  /// Hash of the instance's id.
  uint64_t IdHash() const { return idHash_; }
  /// Key of the instance in load reports: the low half of the hash of its id.
  uint32_t LoadKey() const { return static_cast<uint32_t>(idHash_); }
  /// Rate, per second, at which this VM may send requests while the instance is cold.
  void SetColdRate(TimePoint aNow, double aPerSecond);

  /// The part of the instance's stated rate that this VM uses.
  RateClaim& Rate() { return rate_; }
  const RateClaim& Rate() const { return rate_; }
  /// Requests of all VMs that may be at the instance: its slots, or fewer while it is slow.
  unsigned LimitAt(TimePoint aNow) const;
  /// Requests that the instance can serve at once, at the rate that it takes and within its limit.
  unsigned ServableSlots(TimePoint aNow) const;

  /// Whether and why the instance must not get a request now, slots aside.
  Unusable UnusableReasonAt(TimePoint aNow) const;
  /// Slots within the limit that no known request uses; negative when it is overfull. A load that
  /// the instance stated a moment ago counts when it is above what the VMs report.
  int FreeSlots(TimePoint aNow) const;
  /// Requests of all VMs that are known to be at the instance.
  unsigned KnownInFlight() const { return inFlight_ + peerInFlight_; }
  unsigned OwnInFlight() const { return inFlight_; }
  /// A poor choice while others have free slots: it fails or sheds far more often than
  /// aTypicalFailureShare, a share from 0 to 1, or is far slower than aTypicalLatency. Returns
  /// false for one request from time to time, so that a recovery is noticed.
  bool IsDegraded(TimePoint aNow, Duration aTypicalLatency, double aTypicalFailureShare) const;

  /// An answer of the present run stated aLoad. To be called before OnEnd for its request.
  void OnStatedLoad(TimePoint aNow, const StatedLoad& aLoad);

  /// Takes one request of the cold rate when the instance is cold. Must be called right before a
  /// request is sent.
  void OnSend(TimePoint aNow);
  /// The request that OnSend announced is for aObject. Returns whether this VM sent aObject there a
  /// moment ago, so that it is probably warm. Always false without adaptive limits.
  bool OnObjectSent(TimePoint aNow, uint64_t aObject);
  /// A request was answered that can be compared with others of its kind. aUsualSlowness is that of
  /// the service. Returns how many times longer than usual it took, or nothing without adaptive
  /// limits.
  std::optional<double> OnComparableAnswer(TimePoint aNow,
                                           const ConcurrencyLimit::Answer& aAnswer,
                                           double aUsualSlowness);
  /// A request ended, in any way.
  void OnEnd();
  void OnSuccess(TimePoint aNow, Duration aLatency);
  /// The instance refused the request without running it, or answered with a failure.
  void OnFailure(TimePoint aNow, bool aShed);
  /// A connect failed or a connection broke: the instance is down until a health check passes.
  void OnUnreachable(TimePoint aNow);
  /// A health check ended; aColdLeft is the remaining cold time that the instance reported. An
  /// instance that is up remains so unless it is surely gone: it may serve requests although it
  /// fails or delays health checks.
  void OnProbe(TimePoint aNow, ProbeResult aResult, Duration aColdLeft);
  bool IsDown() const { return down_; }
  /// When the next health check is due; empty while the instance is neither down nor suspected to
  /// have crashed.
  std::optional<TimePoint> NextProbeTime() const;
  void OnProbeSent(TimePoint aNow);

  /// Fingerprints of requests on which the instance broke its connection shortly before aNow. They
  /// may have crashed it, if it turns out to be gone.
  std::vector<uint64_t> TakeCrashSuspects(TimePoint aNow);
  /// Makes a health check due that shows whether the instance is gone: without other requests
  /// nothing else would.
  void AddCrashSuspect(TimePoint aNow, uint64_t aFingerprint);

  /// Requests of all other VMs at this instance.
  void SetPeerInFlight(unsigned aInFlight) { peerInFlight_ = aInFlight; }

  /// Time of the last complete answer or start; used to detect instances that stopped answering.
  TimePoint LastResponseTime() const { return lastResponseTime_; }
  Duration MeanLatency() const { return meanLatency_; }

private:
  /// Adds what the cold rate has allowed since the last call.
  void RefillColdBucket(TimePoint aNow) const;
  void DropCrashSuspects();
  /// Requests of all VMs at the instance, by the reports of the VMs or by its own recent statement,
  /// whichever says more.
  unsigned InFlightAt(TimePoint aNow) const;

  Instance spec_;
  uint64_t idHash_ = 0;
  bool evacuated_ = false;
  bool leaving_ = false;
  TimePoint pausedUntil_;
  unsigned inFlight_ = 0;
  unsigned peerInFlight_ = 0;
  /// Filled when it is looked at, so that an instance without requests costs nothing.
  mutable TokenBucket coldBucket_;
  mutable std::optional<TimePoint> lastColdRefill_;
  double coldRate_ = 0;
  RateClaim rate_;
  struct LoadStatement
  {
    TimePoint statedAt;
    StatedLoad load;
    unsigned ownInFlight = 0; ///< Of this VM at that moment, without the answered request.
  };
  std::optional<LoadStatement> loadStatement_; ///< The latest one.
  std::optional<ConcurrencyLimit> limit_;      ///< Empty without adaptive limits.
  struct SentObject
  {
    uint64_t object = 0;
    TimePoint sentAt;
  };
  std::vector<SentObject> sentObjects_; ///< Bounded; the latest last. Empty without limit_.
  double failureShare_ = 0;             ///< Moving mean over answers.
  unsigned answerCount_ = 0;            ///< Since the start of the run, bounded.
  Duration meanLatency_{};
  TimePoint lastResponseTime_;
  TimePoint shedUntil_;     ///< Counts as full until then.
  TimePoint nextTrialTime_; ///< A degraded instance gets one request after this time.
  struct CrashSuspect
  {
    TimePoint brokenAt;
    uint64_t fingerprint = 0;
  };
  std::vector<CrashSuspect> crashSuspects_; ///< Bounded; the oldest first.
  std::optional<TimePoint> crashCheckTime_; ///< When the health check for them is due.
  bool down_ = false;
  unsigned failedProbes_ = 0;
  TimePoint nextProbeTime_;
};

} // namespace dfm

#endif
