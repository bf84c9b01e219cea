#ifndef DRAGONFLYMOOR_CONFIG_LISTKEEPER_H
#define DRAGONFLYMOOR_CONFIG_LISTKEEPER_H

#include "dragonflymoor/Engine/Engine.h"
#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Finding.h"
#include "dragonflymoor/Support/Random.h"
#include "dragonflymoor/Wire/Messages.h"
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dfm {

struct ListKeeperOptions
{
  Vm self;
  uint64_t randomSeed = 0;
  /// Watchers of each list in each failure domain.
  size_t watchersPerDomain = 2;
  /// Wait before a failed store call is repeated: doubles from the first to the second, with a
  /// random factor of 0.5 to 1.
  Duration retryFirst = 200ms;
  Duration retryLast = 5s;
  /// A peer that has not answered a ListRequest by then is passed over.
  Duration peerTimeout = 1s;
  /// A store call without a result by then is taken as NoAnswer; longer than a waiting watch.
  Duration storeTimeout = 40s;
  /// At the start, how long answers of peers are collected before the highest version is used when
  /// the store gives no answer.
  Duration startWait = 2s;
  /// At the start, at most this many peers are asked for their versions.
  size_t startPeers = 32;
};

/// Actions of the keeper. None may call the keeper again before it returns.
struct ListKeeperHooks
{
  /// Starts a store call and returns the number under which its result will be reported; the id in
  /// the call is not set.
  std::function<StoreCallId(const StoreCall&)> callStore;
  std::function<void(const Vm&, const StreamMessage&)> send;
  /// New lists are in force.
  std::function<void(std::shared_ptr<const FleetLists>)> changed;
  /// A version was refused; the previous one stays in force.
  std::function<void(ListName, ListVersion, const Findings&)> refused;
};

/// Keeps the lists in force on one VM: the highest valid version of each list that it has ever
/// seen, from the store or from a peer; never a lower one. Not thread-safe.
class ListKeeper
{
public:
  /// Precondition: every hook is set.
  ListKeeper(ListKeeperOptions aOptions, ListKeeperHooks aHooks);

  /// Reads every list from the store once; peers are asked as they become known.
  void Start(Now aNow);
  /// Repeats failed calls, takes over watches; every 20 ms to 100 ms.
  void OnTick(Now aNow);

  /// A member's state, leaving flag or list versions changed (Membership's hook memberChanged).
  void OnMember(Now aNow, const MemberUpdate& aMember);
  /// Result of a call of this keeper. Returns false when the call is not one of this keeper's.
  bool OnStoreResult(Now aNow, StoreCallId aCall, const StoreResult& aResult);
  void OnListReply(Now aNow, const VmId& aFrom, const ListReply& aReply);
  /// Answer to a peer's request. The content is left out when the version held is below the one
  /// asked for.
  ListReply Answer(const ListRequest& aRequest) const;
  /// This VM wrote a list and the store accepted it: takes it over without a read.
  void OnWritten(Now aNow, ListName aList, ListVersion aVersion, const std::string& aContent);

  /// Lists in force; never null. Immutable, may be passed to other threads.
  std::shared_ptr<const FleetLists> Lists() const { return lists_; }
  /// Versions in force, as advertised to peers.
  const std::array<ListVersion, kListCount>& Versions() const { return lists_->versions; }
  /// Every list is in force. The lists limits, drains and links count as empty when the store
  /// states that they do not exist; the others must exist.
  bool Ready() const;
  /// Whether this VM holds a store watch on the list.
  bool IsWatcher(ListName aList) const;
  /// The watchers of a list in a failure domain, by the members known here.
  std::vector<VmId> Watchers(const FailureDomainId& aDomain, ListName aList) const;

private:
  struct Peer
  {
    Vm vm;
    std::array<ListVersion, kListCount> versions{};
  };
  struct List
  {
    std::string content;         ///< Original text of the version in force.
    ListVersion highestSeen = 0; ///< Also counts refused versions.
    std::set<ListVersion> refused;
    bool absent = false;   ///< The store stated that the object does not exist.
    bool watching = false; ///< Whether this VM should hold a watch.
    bool readOnce = false; ///< The store has answered a read.
    std::optional<StoreCallId> call;
    TimePoint callStarted;
    TimePoint nextCall;
    unsigned failures = 0;
    std::optional<VmId> asked; ///< Peer with an outstanding pull.
    ListVersion askedVersion = 0;
    TimePoint askedAt;
    TimePoint nextPull;
    unsigned pullFailures = 0;
    std::set<VmId> startAsked;    ///< Peers asked for their version at the start.
    std::set<VmId> startAnswered; ///< Those that answered.
  };

  List& Of(ListName aList) { return state_[static_cast<size_t>(aList)]; }
  const List& Of(ListName aList) const { return state_[static_cast<size_t>(aList)]; }
  Duration Backoff(unsigned aFailures);
  void ElectWatchers();
  void StepStore(Now aNow, ListName aList);
  void StepPull(Now aNow, ListName aList);
  void StepStart(Now aNow, ListName aList);
  void OnStoreFailure(Now aNow, List& aState);
  void OnContent(ListName aList, ListVersion aVersion, const std::string& aContent);
  const Peer* ChoosePeer(ListName aList, const std::optional<VmId>& aExcept);
  bool StartWaitOver(Now aNow, const List& aState) const;

  ListKeeperOptions options_;
  ListKeeperHooks hooks_;
  Random random_;
  std::array<List, kListCount> state_;
  std::map<VmId, Peer> peers_;
  std::shared_ptr<const FleetLists> lists_;
  bool electionDue_ = true;
  TimePoint startedAt_;
};

} // namespace dfm

#endif
