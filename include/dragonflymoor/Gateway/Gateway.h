#ifndef DRAGONFLYMOOR_GATEWAY_GATEWAY_H
#define DRAGONFLYMOOR_GATEWAY_GATEWAY_H

#include "dragonflymoor/Gateway/Protocol.h"
#include "dragonflymoor/Settings/SteeringSettings.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace dfm {

/// What the adapter of the platform provides.
struct PlatformAdapter
{
  Protocol protocol;
  ObjectDecoders decoders;
  /// Makes the client of the store; its functions run on the given context's thread.
  std::function<StoreApi(asio::io_context&)> makeStore;
};

struct GatewayOptions
{
  SteeringSettings settings;
  PlatformAdapter platform;
  /// Reads the settings again; for changes while the process runs.
  std::function<Checked<SteeringSettings>()> reload;
};

/// The daemon of an entry VM on the users' platform: one thread for the state of the fleet, one for
/// traffic.
class Gateway
{
public:
  /// Binds all ports. The findings name those that cannot be used.
  static Checked<std::unique_ptr<Gateway>> Create(GatewayOptions aOptions);
  ~Gateway();

  /// Serves until a graceful stop, which SIGTERM or SIGINT begins, has ended. SIGHUP reads the
  /// settings again.
  void Run();

  /// Starts a graceful stop. Safe to call from any thread while Run runs.
  void BeginStop();

private:
  struct Impl;
  explicit Gateway(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl_;
};

} // namespace dfm

#endif
