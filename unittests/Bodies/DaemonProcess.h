#ifndef DRAGONFLYMOOR_UNITTESTS_BODIES_DAEMONPROCESS_H
#define DRAGONFLYMOOR_UNITTESTS_BODIES_DAEMONPROCESS_H

#include "../Platform/GatewayFixture.h"
#include <sys/types.h>

namespace dfm::test {

/// Runs dragonflymoord as a process of its own, with a stand-in for the store and one instance that
/// serves "/order/", all on loopback addresses. Not thread-safe.
class DaemonProcess
{
public:
  /// Starts the process and waits until it is ready. aMaxDescriptors bounds its descriptors
  /// (RLIMIT_NOFILE); aMaxBodyBytes is the manifest's bound of a body. Throws std::runtime_error
  /// when it does not become ready.
  DaemonProcess(unsigned aMaxDescriptors, size_t aMaxBodyBytes);
  /// Kills the process.
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  bool IsAlive();
  /// Highest resident memory so far, in bytes; 0 once the process has ended.
  size_t PeakMemory() const;
  size_t OpenDescriptors() const;
  /// Sends small requests from an address of their own until one is answered with 200. Returns
  /// false after about 30 s.
  bool ServesOrdinaryRequest();
  Endpoint Callers() const { return ports_[0].Address(); }
  StandInInstance& Instance() { return instance_; }

private:
  std::array<PortReservation, 6> ports_;
  StandInStore store_;
  StandInInstance instance_{ "i-1" };
  std::string folder_;
  pid_t pid_ = 0;
};

} // namespace dfm::test

#endif
