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

/// A route of a manifest.
struct RouteText
{
  std::string name = "read";
  std::string prefix = "/read/";
  std::string service = "reader";
  bool idempotent = true;
  double timeout = 2;
  unsigned attempts = 2;
};

json::value
ManifestSpec(unsigned aVersion, const std::vector<RouteText>& aRoutes);

json::value
InstanceSpec(const StandInInstance& aInstance,
             const std::string& aService,
             const std::string& aState = "ready",
             double aColdLeft = 0);

/// One entry VM with a stand-in of the store, all on the loopback address.
class GatewayFixture
{
public:
  GatewayFixture();
  ~GatewayFixture();

  StandInStore& Store() { return store_; }
  /// Starts the VM and, when aReady, waits until it says that it is ready.
  void Start(bool aReady = true);
  void BeginStop();
  /// Stops and waits for the end.
  void Stop();
  /// Sends a request of a caller on a new connection; empty when no answer came.
  std::optional<Response> Send(http::verb aMethod,
                               const std::string& aTarget,
                               const std::string& aId,
                               const std::string& aBody = "");
  std::optional<Response> Get(const Endpoint& aEndpoint, const std::string& aTarget);
  const SteeringSettings& Settings() const { return settings_; }
  /// Tries until the function is true; the end is generous, so that the speed of the machine does
  /// not decide.
  static bool Eventually(const std::function<bool()>& aCondition);

private:
  StandInStore store_;
  SteeringSettings settings_;
  std::unique_ptr<Gateway> gateway_;
  std::thread thread_;
};

/// Sends aRequest on a new connection and waits for the whole answer.
std::optional<Response>
Exchange(const Endpoint& aEndpoint, const Request& aRequest);

} // namespace dfm::test

#endif
