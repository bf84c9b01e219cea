#ifndef DRAGONFLYMOOR_UNITTESTS_PLATFORM_GATEWAYFIXTURE_H
#define DRAGONFLYMOOR_UNITTESTS_PLATFORM_GATEWAYFIXTURE_H

#include "StandIns.h"
#include "dragonflymoor/Gateway/Gateway.h"
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace dfm::test {

/// A route of a manifest and the service it leads to.
struct RouteSpec
{
  std::string name = "read";
  std::string prefix = "/read/";
  std::string service = "reader";
  bool idempotent = true;
  double timeoutSeconds = 2;
  unsigned attempts = 2;
};

json::value
ManifestSpec(unsigned aVersion, const std::vector<RouteSpec>& aRoutes);

json::value
InstanceSpec(const StandInInstance& aInstance,
             const std::string& aService,
             const std::string& aState = "ready",
             double aColdSecondsLeft = 0);

/// Runs one entry VM against a stand-in of the store, both on the loopback address.
class GatewayFixture
{
public:
  GatewayFixture();
  ~GatewayFixture();

  StandInStore& Store() { return store_; }
  /// Starts the VM and, when aWaitUntilReady, waits until its readiness page reports ready.
  void Start(bool aWaitUntilReady = true);
  /// Begins a planned stop without waiting for its end.
  void BeginStop();
  /// Stops the VM and waits until it has stopped; does nothing when it does not run.
  void Stop();
  /// Sends a caller's request on a new connection; returns nothing when no answer came.
  std::optional<Response> Send(http::verb aMethod,
                               const std::string& aTarget,
                               const std::string& aRequestId,
                               const std::string& aBody = "");
  std::optional<Response> Get(const Endpoint& aEndpoint, const std::string& aTarget);
  const SteeringSettings& Settings() const { return settings_; }
  /// Polls aCondition until it is true; returns false after about 30 s. The limit is generous, so
  /// that the speed of the machine does not decide the result.
  static bool WaitUntil(const std::function<bool()>& aCondition);

private:
  StandInStore store_;
  SteeringSettings settings_;
  std::unique_ptr<Gateway> gateway_;
  std::thread thread_;
};

/// Sends aRequest on a new connection and waits for the whole answer; returns nothing when none
/// came.
std::optional<Response>
SendAndReceive(const Endpoint& aEndpoint, const Request& aRequest);

} // namespace dfm::test

#endif
