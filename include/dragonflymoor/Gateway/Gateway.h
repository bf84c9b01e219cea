#ifndef DRAGONFLYMOOR_GATEWAY_GATEWAY_H
#define DRAGONFLYMOOR_GATEWAY_GATEWAY_H

#include "dragonflymoor/Gateway/Protocol.h"
#include "dragonflymoor/Settings/SteeringSettings.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace dfm {

/// The parts of the gateway that depend on the platform that it runs on.
struct PlatformAdapter
{
  Protocol protocol;
  ObjectDecoders decoders;
  /// Creates the client of the store. The client's functions must be called on the thread that
  /// runs the given context.
  std::function<StoreApi(asio::io_context&)> makeStore;
};

struct GatewayOptions
{
  SteeringSettings settings;
  PlatformAdapter platform;
  /// Reads the settings again, so that changes take effect while the process runs. Called on
  /// SIGHUP and periodically.
  std::function<Checked<SteeringSettings>()> readSettings;
};

/// The daemon of an entry VM. Its control thread maintains the state of the fleet; its traffic
/// thread serves requests.
class Gateway
{
public:
  /// Binds all ports. On failure, the findings name the ports that cannot be bound.
  static Checked<std::unique_ptr<Gateway>> Create(GatewayOptions aOptions);
  ~Gateway();

  /// Serves until a graceful stop, begun by SIGTERM, SIGINT or BeginStop, has ended. SIGHUP reads
  /// the settings again.
  void Run();

  /// Begins a graceful stop. Safe to call from any thread while Run() runs.
  void BeginStop();

private:
  struct Impl;
  explicit Gateway(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl_;
};

} // namespace dfm

#endif
