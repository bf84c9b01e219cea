#ifndef DRAGONFLYMOOR_GATEWAY_GATEWAYIMPL_H
#define DRAGONFLYMOOR_GATEWAY_GATEWAYIMPL_H

#include "dragonflymoor/Gateway/CallerFront.h"
#include "dragonflymoor/Gateway/FleetSync.h"
#include "dragonflymoor/Gateway/Gateway.h"
#include "dragonflymoor/Gateway/LoadExchange.h"
#include "dragonflymoor/Gateway/PageServer.h"
#include "dragonflymoor/Support/Random.h"
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <optional>
#include <string>

namespace dfm {

struct Gateway::Impl
{
  explicit Impl(GatewayOptions aOptions);

  /// Binds all ports. Returns a finding for each port that cannot be bound.
  Findings BindPorts();
  DispatcherHooks MakeDispatcherHooks();
  /// aPublishedAt is the time at which the control thread handed the view over.
  void OnFleetView(std::shared_ptr<const FleetView> aView, TimePoint aPublishedAt);
  void OnPeerMessage(const PeerEnvelope& aEnvelope);
  void OnInstanceStatement(const InstanceRun& aRun, const InstanceStatement& aStatement);
  Page MakeDirectoryPage(std::string_view aTarget);
  Page MakeReadinessPage(std::string_view aTarget) const;
  Page MakeOperatorPage(std::string_view aTarget) const;
  PageServer::UnframedHook MakeUnframedHook()
  {
    return [this](std::string_view aFault) { metrics.CountKind("unframed-pages", aFault); };
  }
  bool IsReady() const { return fleetView->routes != nullptr && !stopBeginTime; }
  asio::awaitable<void> AcceptCallers();
  asio::awaitable<void> CheckInstanceHealth(Instance aInstance, std::string aHealthPath);
  asio::awaitable<void> RunPeriodicTasks();
  Duration TimeUntilNextTick(TimePoint aNow) const;
  asio::awaitable<void> HandleSignals();
  /// Reads the settings again. Invalid settings are logged and the previous ones remain in force.
  void ReloadSettings(std::string_view aCause);
  void BeginStop();
  /// Takes over the connections that wait to be accepted and closes the listening port.
  void StopAccepting();
  /// Runs the steps of a graceful stop that are due. Returns whether the stop has ended.
  bool ContinueStop(TimePoint aNow);

  GatewayOptions options;
  SteeringSettings settings;
  Metrics metrics;
  Random random;
  std::shared_ptr<const FleetView> fleetView = std::make_shared<FleetView>();
  asio::io_context trafficContext{ 1 };
  asio::io_context controlContext{ 1 };
  std::shared_ptr<MemoryBudget> memory;
  Dispatcher dispatcher;
  InstanceClient instanceClient;
  CallerFront callerFront;
  LoadExchange loadExchange;
  FleetSync fleetSync;
  tcp::acceptor callerAcceptor;
  std::shared_ptr<PageServer> readinessServer;
  std::shared_ptr<PageServer> directoryServer;
  std::shared_ptr<PageServer> operatorServer;
  asio::signal_set signals;
  std::optional<TimePoint> stopBeginTime; ///< Set once a graceful stop has begun.
  bool idleConnectionsClosed = false;
};

} // namespace dfm

#endif
