#ifndef DRAGONFLYMOOR_GATEWAY_FLEETSYNC_H
#define DRAGONFLYMOOR_GATEWAY_FLEETSYNC_H

#include "dragonflymoor/Gateway/Protocol.h"
#include "dragonflymoor/Gateway/StateClient.h"
#include "dragonflymoor/Membership/Membership.h"
#include "dragonflymoor/Metrics/Metrics.h"
#include "dragonflymoor/Net/DatagramSocket.h"
#include "dragonflymoor/Net/FrameConnection.h"
#include "dragonflymoor/Steering/EarlierStateSearch.h"
#include "dragonflymoor/Steering/PeerMessages.h"
#include "dragonflymoor/Steering/StateDelegation.h"
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
  std::vector<Endpoint> seeds; ///< Peer ports of some VMs; may be out of date.
  uint64_t randomSeed = 0;
  Duration instanceReportPeriod = 1500ms; ///< At which instances renew their entries in the store.
};

/// Maintains this VM's view of the fleet: follows the store, reads the store's state from other VMs
/// while the store does not answer this VM, and detects which VMs are alive. Must be used on the
/// control thread only.
class FleetSync
{
public:
  using ViewPublisher = std::function<void(std::shared_ptr<const FleetView>)>;

  FleetSync(asio::io_context& aContext,
            FleetSyncOptions aOptions,
            StoreApi aStore,
            ObjectDecoders aDecoders,
            Metrics& aMetrics,
            ViewPublisher aPublishView);

  /// Binds the port on which the VMs talk to each other.
  error_code Open();
  void Start();
  /// Announces that this VM is leaving, so that other VMs direct no more callers to this VM,
  /// and removes its registration from the store.
  void BeginStop();
  /// Announces to the other VMs that this VM ends now.
  void Leave();

private:
  /// Period at which this VM asks another VM for the state while it does not follow the store, or
  /// the store does not answer.
  static constexpr Duration kPeerPollPeriod = 200ms;

  asio::awaitable<void> FollowObjects(ObjectKind aKind);
  asio::awaitable<bool> ListObjects(ObjectKind aKind);
  /// Sets the gauge of the revision at which this VM knows a kind.
  void ReportRevision(ObjectKind aKind);
  /// Registers this VM. Returns whether the store has done so.
  asio::awaitable<bool> RegisterVm();
  /// Keeps this VM registered, and lists the registered VMs where it is this VM's task.
  asio::awaitable<void> RegisterAndListVms();
  asio::awaitable<void> ListVms();
  asio::awaitable<void> PollPeers();
  /// Asks other VMs what they know from earlier epochs.
  asio::awaitable<void> PollEarlierState();
  /// Returns whether aVm has answered and knew the store.
  asio::awaitable<bool> RequestEarlierState(Vm aVm);
  void OnEarlierState(const VmId& aFrom, const EarlierState& aState);
  /// Sends one message to another VM, which does not answer on the same connection.
  asio::awaitable<void> SendToPeer(Endpoint aPeer, std::string aPayload);
  /// Handles a message that another VM sent on aConnection. An error closes the connection.
  tl::expected<void, CodecError> OnPeerPayload(std::string_view aPayload,
                                               const std::shared_ptr<FrameConnection>& aConnection);
  /// Asks a peer for the fleet state. Returns whether another one is to be asked at once.
  asio::awaitable<bool> RequestState(Endpoint aPeer);
  asio::awaitable<void> AcceptPeers();
  asio::awaitable<void> Tick();
  /// Logs aMessage and passes to keeper_ whether the store is reachable.
  void ReportStoreReachable(std::string_view aMessage);
  /// Logs where this VM has the fleet state from, when that has changed: "store" or another VM.
  void ReportStateSource(std::string_view aSource);
  /// Passes the epoch of an answer of the store to keeper_. Replaces an answer of an earlier epoch
  /// by an error.
  template<typename T>
  void CheckEpoch(tl::expected<T, StoreError>& aAnswer, std::optional<uint64_t> aEpoch);
  void OnStoreCallEnd(ObjectKind aKind, const std::optional<StoreError>& aError);
  StateReply MakeStateReply(const StateRequest& aRequest);
  /// PackObjects of the present state, kept until the state changes.
  const std::string& PackedSnapshot(ObjectKind aKind);
  /// Packs the objects of aAnswer, which are the present state of some, if they are large. VMs that
  /// ask with the same revision get the same bytes.
  void PackChanges(StateReply::Kind& aAnswer);
  /// Packs the names of aAnswer, which are those of all present objects.
  void PackNamesOf(StateReply::Kind& aAnswer);
  /// aElapsed is the time from aRequest to the whole reply.
  void OnStateReply(const Endpoint& aPeer,
                    const VmId& aFrom,
                    const StateRequest& aRequest,
                    const StateReply& aReply,
                    Duration aElapsed);
  void StartMembership();
  /// Passes registeredVms_ to membership_ as candidates.
  void PassRegisteredVmsToMembership();
  void PublishView();
  asio::awaitable<void> Sleep(Duration aDuration);

  asio::io_context& context_;
  FleetSyncOptions options_;
  StoreApi store_;
  Metrics& metrics_;
  ViewPublisher publishView_;
  FleetKeeper keeper_;
  StoreFollowing storeFollowing_;
  StateDelegation delegation_;
  struct PackedState
  {
    uint64_t changeCount = 0; ///< Of the keeper, when it was packed.
    std::vector<std::string> names;
    std::string bytes;
  };
  std::array<PackedState, kObjectKindCount> packedSnapshots_;
  std::array<PackedState, kObjectKindCount> packedChanges_;
  std::array<PackedState, kObjectKindCount> packedNames_;
  Random random_;
  DatagramSocket datagrams_;
  StateClient stateClient_;
  EarlierStateSearch earlierStateSearch_;
  tcp::acceptor acceptor_;
  std::unique_ptr<Membership> membership_;
  bool membershipStarted_ = false; ///< Membership starts only when this VM can serve.
  uint64_t publishedEpoch_ = 0;
  TimePoint publishedAt_;    ///< When the last view was published.
  bool viewChanged_ = false; ///< Whether the view changed since it was last published.
  std::vector<Vm> registeredVms_;
  bool stopping_ = false;
  std::optional<uint64_t> registeredEpoch_; ///< Of the store that has this VM's registration.
  std::string stateSource_;                 ///< As last logged.
};

} // namespace dfm

#endif
