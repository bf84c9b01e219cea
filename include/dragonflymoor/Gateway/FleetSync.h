#ifndef DRAGONFLYMOOR_GATEWAY_FLEETSYNC_H
#define DRAGONFLYMOOR_GATEWAY_FLEETSYNC_H

#include "dragonflymoor/Gateway/Protocol.h"
#include "dragonflymoor/Membership/Membership.h"
#include "dragonflymoor/Metrics/Metrics.h"
#include "dragonflymoor/Net/DatagramSocket.h"
#include "dragonflymoor/Net/FrameConnection.h"
#include "dragonflymoor/Steering/FleetKeeper.h"
#include "dragonflymoor/Steering/PeerMessages.h"
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dfm {

struct FleetSyncOptions
{
  Vm self;
  std::vector<Endpoint> seeds;
  uint64_t randomSeed = 0;
};

/// Keeps what this VM believes of the fleet: follows the store, learns from other VMs what the
/// store said while it does not answer here, and detects which VMs live. Belongs to the control
/// thread.
class FleetSync
{
public:
  using Publish = std::function<void(std::shared_ptr<const FleetView>)>;

  FleetSync(asio::io_context& aContext,
            FleetSyncOptions aOptions,
            StoreApi aStore,
            ObjectDecoders aDecoders,
            Metrics& aMetrics,
            Publish aPublish);

  /// Binds the port between VMs.
  error_code Open();
  void Start();
  /// This VM leaves: others stop sending callers to it.
  void BeginStop();
  /// This VM ends now.
  void Leave();

private:
  asio::awaitable<void> FollowKind(ObjectKind aKind);
  asio::awaitable<bool> ListKind(ObjectKind aKind);
  asio::awaitable<void> Register();
  asio::awaitable<void> ListVms();
  asio::awaitable<void> AskPeers();
  asio::awaitable<void> AskPeer(Vm aPeer);
  /// Waits until other VMs have told the state of a kind, or could have.
  asio::awaitable<void> WaitForSeeds(ObjectKind aKind);
  std::vector<Vm> Seeds() const;
  /// The VMs of the own region that follow the store for the others, this one perhaps among them.
  std::vector<Vm> StoreFollowers() const;
  bool IsSeed() const;
  /// Membership has had the time to learn of the other VMs.
  bool IsSettled() const;
  bool IsFollower() const;
  /// Another VM follows the store for this one, and answers.
  bool IsServedByPeer() const;
  /// Another VM answered that the store answers it.
  void OnServed(TimePoint aNow);
  Duration PauseBetweenWatches() const;
  asio::awaitable<void> AcceptPeers();
  asio::awaitable<void> Tick();
  void OnStoreAnswer(ObjectKind aKind, const std::optional<StoreError>& aError);
  bool StoreReachable() const;
  std::optional<Vm> ChoosePeer();
  StateReply ReplyTo(const StateRequest& aRequest) const;
  void OnState(const VmId& aFrom, const StateReply& aReply);
  void StartMembership();
  /// Gives the registered VMs to membership as candidates.
  void TellRegisteredVms();
  void PublishView();
  asio::awaitable<void> Sleep(Duration aDuration);

  asio::io_context& context_;
  FleetSyncOptions options_;
  StoreApi store_;
  Metrics& metrics_;
  Publish publish_;
  FleetKeeper keeper_;
  Random random_;
  DatagramSocket datagrams_;
  tcp::acceptor acceptor_;
  std::unique_ptr<Membership> membership_;
  TimePoint seedsFirstUntil_; ///< Until then a VM that knows nothing relies on the seeds alone.
  bool membershipStarted_ = false; ///< This VM takes part only once it can serve.
  std::optional<TimePoint> membershipStartedAt_;
  uint64_t publishedEpoch_ = 0;
  bool viewChanged_ = false; ///< Since the view was published.
  std::array<bool, kObjectKindCount> reachable_{}; ///< The last call for each kind succeeded.
  bool everReached_ = false; ///< This VM, or one that served it, reached the store.
  std::vector<Vm> registeredVms_;
  /// When a VM that follows the store for this one last answered that the store is steady.
  std::optional<TimePoint> servedAt_;
  bool stopping_ = false;
};

} // namespace dfm

#endif
