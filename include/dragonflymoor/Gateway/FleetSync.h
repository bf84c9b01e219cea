#ifndef DRAGONFLYMOOR_GATEWAY_FLEETSYNC_H
#define DRAGONFLYMOOR_GATEWAY_FLEETSYNC_H

#include "dragonflymoor/Gateway/Protocol.h"
#include "dragonflymoor/Membership/Membership.h"
#include "dragonflymoor/Metrics/Metrics.h"
#include "dragonflymoor/Net/DatagramSocket.h"
#include "dragonflymoor/Net/FrameConnection.h"
#include "dragonflymoor/Steering/PeerMessages.h"
#include "dragonflymoor/Steering/StoreFollowing.h"
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
  asio::awaitable<void> AskPeer(Endpoint aPeer);
  asio::awaitable<void> AcceptPeers();
  asio::awaitable<void> Tick();
  /// Tells the keeper whether the store can be reached now.
  void OnStoreReachable(std::string_view aMessage);
  void OnStoreAnswer(ObjectKind aKind, const std::optional<StoreError>& aError);
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
  StoreFollowing following_;
  Random random_;
  DatagramSocket datagrams_;
  tcp::acceptor acceptor_;
  std::unique_ptr<Membership> membership_;
  bool membershipStarted_ = false; ///< This VM takes part only once it can serve.
  uint64_t publishedEpoch_ = 0;
  bool viewChanged_ = false; ///< Since the view was published.
  std::vector<Vm> registeredVms_;
  bool stopping_ = false;
};

} // namespace dfm

#endif
