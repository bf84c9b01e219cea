#ifndef DRAGONFLYMOOR_UNITTESTS_STORERETURN_PLAY_H
#define DRAGONFLYMOOR_UNITTESTS_STORERETURN_PLAY_H

#include "ProcessFleet.h"
#include <atomic>
#include <map>
#include <mutex>
#include <set>

namespace dfm::test {

/// What happens in a play.
struct Step
{
  enum class Kind
  {
    Change,    ///< The operator moves the route to the other service.
    Drain,     ///< An instance reports that it is leaving.
    Remove,    ///< The entry of an instance is removed without that.
    Outage,    ///< The store is away for kOutage.
    Return,    ///< As Outage; the store comes back from a copy of the age of the step.
    Kill,      ///< A VM is killed and started again.
    Terminate, ///< A VM is stopped by SIGTERM and started again.
  };
  Kind kind = Kind::Change;
  Duration at{};      ///< Since the begin of the play.
  size_t index = 0;   ///< Of the instance or VM.
  Duration copyAge{}; ///< Of a Return.
};

/// VMs of two regions with two services, whose instances renew their entries, beside a store, an
/// operator and callers that ask each VM ten times a second. Records what breaks a rule: a request
/// that is served by a service which only an older manifest allows, or by an instance that has
/// left, and a VM that serves nothing at the end.
class Play
{
public:
  static constexpr size_t kInstances = 12; ///< Half of them of each service.

  /// Starts the VMs and waits until they are ready. aEntries entries are renewed besides those of
  /// the instances in use. Throws std::runtime_error when the VMs do not become ready.
  Play(std::vector<std::string> aDomains, size_t aEntries);
  ~Play();

  /// Runs the steps, which are in the order of their times, until aEnd. Returns what broke a rule,
  /// one line for each VM and rule.
  std::vector<std::string> Run(const std::vector<Step>& aSteps, Duration aEnd);

private:
  using Clock = std::chrono::steady_clock;

  struct Confirmation
  {
    Clock::time_point at;
    std::string service;
  };
  struct Span
  {
    Clock::time_point from;
    Clock::time_point until;
  };

  void Confirm();
  void WriteManifest();
  void Report(size_t aInstance);
  void ReportAll();
  void ForgetLostRemovals(const StandInStore::Copy& aCopy);
  void RemoveLapsed();
  void Leave(size_t aInstance, bool aDrains);
  void TakeStoreAway(const std::optional<StandInStore::Copy>& aCopy);
  void RestartVm(size_t aVm, int aSignal);
  StandInStore::Copy CopyOfAge(Duration aAge);
  void Apply(const Step& aStep);
  void RunInstances();
  void RunCaller(size_t aVm);
  void Judge(size_t aVm, Clock::time_point aSentAt, const std::string& aInstance);
  static bool IsUndisturbed(const std::vector<Span>& aSpans, Clock::time_point aAt);
  bool IsStoreStable(Clock::time_point aAt) const;
  /// Whether the VM is in order at a moment: it and the store have been for the settle time.
  bool IsInTouch(size_t aVm, Clock::time_point aAt) const;
  std::string ServiceOf(size_t aInstance) const;

  StandInStore store_;
  std::vector<std::unique_ptr<StandInInstance>> instances_;
  ProcessFleet fleet_;
  size_t entries_;
  std::atomic<bool> ends_ = false;
  std::mutex mutex_; ///< Guards all below.
  unsigned version_ = 0;
  std::vector<Confirmation> confirmations_;
  /// When the store confirmed that an instance leaves or is gone; empty after it has lost a removal
  /// that it confirmed while it was not stable and before any VM had to know it, until the entry
  /// lapses.
  std::map<size_t, std::optional<Clock::time_point>> leftAt_;
  std::set<size_t> draining_;
  uint64_t report_ = 0;
  std::vector<std::pair<Clock::time_point, StandInStore::Copy>> copies_;
  std::vector<Span> storeAway_;
  std::map<size_t, std::vector<Span>> vmAway_;
  std::map<std::string, unsigned> brokenCounts_;
  unsigned servedCount_ = 0;
  std::map<size_t, Clock::time_point> lastServed_;
  std::vector<std::thread> threads_;
};

} // namespace dfm::test

#endif
