#ifndef DRAGONFLYMOOR_UNITTESTS_PLATFORM_GATEWAYFIXTURE_H
#define DRAGONFLYMOOR_UNITTESTS_PLATFORM_GATEWAYFIXTURE_H

#include "StandIns.h"
#include "dragonflymoor/Gateway/Gateway.h"
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace dfm::test {

/// A route of a manifest. The member `service` names the service whose instances serve the route.
struct RouteSpec
{
  std::string name = "read";
  std::string prefix = "/read/";
  std::string service = "reader";
  bool idempotent = true;
  double timeoutSeconds = 2;
  unsigned attempts = 2;
};

/// Returns the spec of a manifest object with these routes and one service for each of them.
json::value
ManifestSpec(unsigned aVersion, const std::vector<RouteSpec>& aRoutes);

/// Returns the spec of the object that registers aInstance with the store. aState is the state that
/// the instance reports, aColdSecondsLeft the remaining duration of its cold start.
json::value
InstanceSpec(const StandInInstance& aInstance,
             const std::string& aService,
             const std::string& aState = "ready",
             double aColdSecondsLeft = 0);

/// Runs one entry VM with a stand-in for the store, both on the loopback address.
class GatewayFixture
{
public:
  GatewayFixture();
  ~GatewayFixture();

  StandInStore& Store() { return store_; }
  /// Starts the VM and, when aWaitUntilReady, waits until its readiness page reports ready.
  void Start(bool aWaitUntilReady = true);
  /// Begins a planned stop and returns without waiting until the VM has stopped.
  void BeginStop();
  /// Stops the VM and waits until it has stopped; does nothing when the VM does not run.
  void Stop();
  /// Sends a request to the VM as a caller, on a new connection. Returns nothing when no complete
  /// answer arrives.
  std::optional<Response> Send(http::verb aMethod,
                               const std::string& aTarget,
                               const std::string& aRequestId,
                               const std::string& aBody = "");
  /// Gets a page from one of the endpoints of the VM, on a new connection. Returns nothing when no
  /// complete answer arrives.
  std::optional<Response> Get(const Endpoint& aEndpoint, const std::string& aTarget);
  const SteeringSettings& Settings() const { return settings_; }
  /// Polls aCondition until it is true; returns false after about 30 s. The limit is this high so
  /// that a slow machine does not fail the test.
  static bool WaitUntil(const std::function<bool()>& aCondition);

protected:
  /// Time that callers give the VM to answer.
  std::chrono::milliseconds callerDeadline_ = 5s;
  /// Changes the options with which the VM starts; may be empty.
  std::function<void(GatewayOptions&)> changeOptions_;

private:
  static constexpr size_t kPortCount = 6;

  std::array<PortReservation, kPortCount> ports_;
  StandInStore store_;
  SteeringSettings settings_;
  std::unique_ptr<Gateway> gateway_;
  std::thread gatewayThread_;
};

/// Sends aRequest on a new connection and waits for the complete answer. Returns nothing when the
/// connection fails or closes before the answer is complete.
std::optional<Response>
SendAndReceive(const Endpoint& aEndpoint, const Request& aRequest);

} // namespace dfm::test

#endif
