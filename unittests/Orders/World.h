#ifndef DRAGONFLYMOOR_UNITTESTS_ORDERS_WORLD_H
#define DRAGONFLYMOOR_UNITTESTS_ORDERS_WORLD_H

#include "dragonflymoor/Orders/ClaimRouter.h"
#include "dragonflymoor/Orders/ClaimStore.h"
#include "dragonflymoor/Orders/OrderLedger.h"
#include "dragonflymoor/Support/Random.h"
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace dfm::test {

enum class StoreMode
{
  Up,
  Lossy, ///< Calls are slow, take effect late, or lose their answers.
  Down,
};

/// Several VMs with their order libraries, a store, backend servers and callers in virtual time.
/// The oracle collects violations of at-most-once execution and of not-run statements.
class World
{
public:
  static constexpr size_t kVms = 3;

  explicit World(uint64_t aSeed);

  /// Creates an order; a bound one takes its key prefix from the current run of aVm.
  size_t CreateOrder(bool aBound, size_t aVm, bool aStatesFirst);
  /// Sends a further copy through a VM, delayed on the way by up to aDelay.
  void SendCopy(size_t aOrder, size_t aVm, Duration aDelay);
  /// Closes the callers' connections of an order: replies to earlier copies are not received.
  void Abandon(size_t aOrder);
  void Kill(size_t aVm);
  void SetPaused(size_t aVm, bool aPaused);
  /// Keeps a copy of what the store holds, and makes the store return from that copy.
  void KeepStoreCopy() { copy_ = { objects_, version_ }; }
  void ReturnStore() { std::tie(objects_, version_) = copy_; }
  void SetStore(StoreMode aMode) { store_ = aMode; }
  /// Gives a VM its own, possibly wrong, list of the members that batch claims.
  void SetView(size_t aVm, uint32_t aMembers);
  /// Probability that a backend server or connection fails.
  void SetFaults(double aProbability) { faults_ = aProbability; }
  void Run(Duration aTime);
  /// Lets time pass in which nothing happens at all: every message and timer comes that much later.
  void Freeze(Duration aTime);

  size_t OrderCount() const { return orders_.size(); }
  size_t RunCount() const { return runs_; }
  size_t ToldNotRun() const { return toldNotRun_; }
  const std::vector<std::string>& Violations() const { return violations_; }

private:
  struct CopyInfo
  {
    size_t order = 0;
    TimePoint sentAt;
    bool first = false;
    bool abandoned = false;
  };
  struct Order
  {
    std::string key;
    WallTime created;
    bool statesFirst = false;
    size_t runs = 0;
    std::vector<size_t> copies;
    std::vector<TimePoint> notRunAt;
  };
  /// A request on one VM: from a caller, or from a peer that waits for a ForwardReply.
  struct Request
  {
    size_t copy = 0;
    RequestHead head;
    std::optional<size_t> peer;
    RequestId peerId;
    bool queued = false;
  };
  struct Node
  {
    Vm vm;
    VmInstance self;
    TimePoint diedAt;
    bool paused = false;
    std::unique_ptr<ClaimStore> claims;
    std::unique_ptr<ClaimRouter> router;
    std::unique_ptr<OrderLedger> ledger;
    std::map<RequestId, Request> requests;
    std::vector<std::function<void()>> held;
  };
  struct Event
  {
    TimePoint at;
    uint64_t number = 0;
    std::optional<size_t> vm;
    Incarnation incarnation;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return std::pair(at, number) > std::pair(aOther.at, aOther.number);
    }
  };
  struct Object
  {
    uint64_t version = 0;
    std::string content;
  };

  Now Time() const;
  bool Chance(double aProbability) { return random_.Unit() < aProbability; }
  Duration Delay(Duration aMost) { return random_.Between(0ms, aMost + 1us); }
  void At(Duration aDelay, std::function<void()> aRun);
  /// Runs on a VM unless that run of it has ended; waits while it is paused.
  void AtVm(size_t aVm, Duration aDelay, std::function<void()> aRun);
  void AtVm(size_t aVm, Incarnation aRun, Duration aDelay, std::function<void()> aFunction);
  void Start(size_t aVm);
  void StartClaims(size_t aVm);
  void StartLedger(size_t aVm);
  void StartTicks(size_t aVm);
  std::optional<size_t> Find(const VmId& aVm) const;
  StoreCallId CallStore(size_t aVm, const StoreCall& aCall);
  StoreResult Apply(const StoreCall& aCall);
  void Arrive(size_t aVm, Request aRequest);
  void Proceed(size_t aVm, RequestId aId);
  void TryDispatch(size_t aVm, RequestId aId);
  void RunOnBackend(size_t aCopy, const std::function<void(Reply)>& aDone);
  void Execute(size_t aVm, const Request& aRequest);
  void Forward(size_t aFrom,
               size_t aTo,
               RequestId aId,
               const VmInstance& aClaimer,
               const std::function<void(Reply)>& aDone);
  void OnReply(size_t aVm, RequestId aId, const Reply& aReply);
  void Answer(size_t aVm, const Request& aRequest, const Reply& aReply);
  void Tell(size_t aCopy, const Reply& aReply);

  Random random_;
  TimePoint now_;
  uint64_t nextNumber_ = 1;
  StoreMode store_ = StoreMode::Up;
  double faults_ = 0.1;
  std::priority_queue<Event> events_;
  std::vector<Node> nodes_;
  std::vector<Order> orders_;
  std::vector<CopyInfo> copies_;
  std::map<std::string, Object> objects_;
  std::pair<std::map<std::string, Object>, uint64_t> copy_;
  uint64_t version_ = 0;
  std::map<std::pair<size_t, RequestId>, std::function<void(Reply)>> forwards_;
  size_t runs_ = 0;
  size_t toldNotRun_ = 0;
  std::vector<std::string> violations_;
};

} // namespace dfm::test

#endif
