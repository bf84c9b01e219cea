#ifndef DRAGONFLYMOOR_ADMISSION_RANKQUEUE_H
#define DRAGONFLYMOOR_ADMISSION_RANKQUEUE_H

#include "dragonflymoor/Model/Outcome.h"
#include "dragonflymoor/Support/Id.h"
#include "dragonflymoor/Support/Time.h"
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dfm {

struct RankQueueOptions
{
  size_t capacityPerRank = 256;
  /// Share of slot time that a rank keeps while it has requests; in percent, at most 100 in sum.
  std::array<uint32_t, kRankCount> guaranteedPercent = { 70, 20, 10 };
  Duration expectedTime = 20ms; ///< Usual slot time of one request; must be positive.
  /// A request waits FIFO until its sojourn time passes this part of the time it was given.
  double sojournPart = 0.25;
};

/// A request that waits for a slot.
struct QueuedRequest
{
  RequestId id;
  PlanId plan;
  Rank rank = Rank::Normal;
  TimePoint deadline;
};

/// Requests of one pool that wait for a slot: a bounded queue for each rank, ordered by guaranteed
/// minimum, rank, plan entitlement and age (section 4 of the design). Not thread-safe. Times must
/// never decrease from one call to the next.
///
/// A rank earns its guaranteed percentage of all slot time that is handed out while it has waiting
/// requests, and pays for the slot time that it gets. A rank with enough credit for one request
/// goes first. Credit is bounded, so that a rank that was idle does not block the others when it
/// returns.
class RankQueue
{
public:
  struct Next
  {
    std::optional<QueuedRequest> request;
    std::vector<RequestId> expired; ///< Cannot be answered in time any more; they were not run.
  };

  explicit RankQueue(RankQueueOptions aOptions);

  /// Changes minimums, times and capacity; requests above a lower capacity stay.
  void SetOptions(RankQueueOptions aOptions);
  /// Replaces the weights of the plans. A plan without a weight counts as 1.
  void SetPlanWeights(std::unordered_map<PlanId, uint32_t> aWeights);

  /// Adds a request. Returns the request that was refused because its rank is full: the newest one
  /// of the plan most over its entitlement, which may be aRequest itself.
  /// Precondition: the id is not queued.
  std::optional<RequestId> Push(const QueuedRequest& aRequest, TimePoint aNow);

  /// Takes the next request for a free slot, and every request that cannot be answered in time. The
  /// expected slot time is charged at once; OnSlotTime corrects it.
  Next Pop(TimePoint aNow);

  /// Takes out every request that cannot be answered in time, as Pop does.
  std::vector<RequestId> TakeExpired(TimePoint aNow);

  /// Takes a cancelled request out. False when it is not queued.
  bool Remove(RequestId aId);

  /// Corrects the charge of a popped request by the slot time that it really used.
  void OnSlotTime(Rank aRank, const PlanId& aPlan, Duration aUsed);

  size_t Size() const { return index_.size(); }
  bool Empty() const { return index_.empty(); }
  size_t Size(Rank aRank) const { return ranks_[static_cast<size_t>(aRank)].size; }

private:
  struct Entry
  {
    QueuedRequest request;
    TimePoint arrived;
  };
  /// Waiting requests of one plan in one rank, oldest first.
  struct PlanQueue
  {
    std::list<Entry> entries;
    double weight = 1;
    double served = 0; ///< Slot time in seconds divided by the weight (virtual time).
    double excess = 0; ///< Queued requests over weight, as linked in byExcess.
  };
  using PlanMap = std::unordered_map<PlanId, PlanQueue>;
  using PlanNode = PlanMap::value_type;
  struct PlanOrder
  {
    bool operator()(const std::pair<double, PlanNode*>& aLeft,
                    const std::pair<double, PlanNode*>& aRight) const;
  };
  using PlanSet = std::set<std::pair<double, PlanNode*>, PlanOrder>;
  struct RankState
  {
    PlanMap plans;
    PlanSet byServed; ///< Plans with requests, the least served first.
    PlanSet byExcess; ///< Plans with requests, by queued requests over weight.
    std::set<std::pair<TimePoint, RequestId>> byDeadline;
    size_t size = 0;
    double credit = 0;      ///< Slot time in seconds.
    double virtualTime = 0; ///< Virtual time of the plan that was served last.
  };
  struct Place
  {
    size_t rank = 0;
    PlanNode* plan = nullptr;
    std::list<Entry>::iterator entry;
  };

  double WeightOf(const PlanId& aPlan) const;
  PlanNode& FindPlan(RankState& aRank, const PlanId& aPlan);
  void Insert(const QueuedRequest& aRequest, RankState& aRank, PlanNode& aPlan, TimePoint aNow);
  void Erase(const Place& aPlace);
  void Link(RankState& aRank, PlanNode& aPlan);
  void Unlink(RankState& aRank, PlanNode& aPlan);
  void ForgetIdlePlans(RankState& aRank);
  std::optional<size_t> SelectRank() const;
  void Charge(size_t aRank, double aSeconds);
  void ChargePlan(RankState& aRank, PlanNode& aPlan, double aSeconds);

  RankQueueOptions options_;
  std::unordered_map<PlanId, uint32_t> weights_;
  std::array<RankState, kRankCount> ranks_;
  std::unordered_map<RequestId, Place> index_;
};

} // namespace dfm

#endif
