#ifndef DRAGONFLYMOOR_NET_DAEMON_H
#define DRAGONFLYMOOR_NET_DAEMON_H

#include "dragonflymoor/Settings/Settings.h"
#include <memory>

namespace dfm {

/// One entry VM: its ports, its traffic threads and the control thread that owns the engine.
class Daemon
{
public:
  /// Binds all ports; findings tell which of them can't be bound.
  static Checked<std::unique_ptr<Daemon>> Create(const Settings& aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Makes SIGTERM and SIGINT start a graceful stop, and the second of them end the process at
  /// once. Must be called before Run.
  void HandleSignals();

  /// Serves until a graceful stop has ended; the calling thread is the control thread. May be
  /// called once.
  void Run();

  /// Starts a graceful stop. Safe to call from any thread.
  void BeginStop();

  /// This VM with the ports that are bound. Safe to call from any thread.
  const Vm& Self() const;
  Endpoint Operators() const;

private:
  struct Impl;
  explicit Daemon(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl_;
};

} // namespace dfm

#endif
