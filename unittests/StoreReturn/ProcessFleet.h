#ifndef DRAGONFLYMOOR_UNITTESTS_STORERETURN_PROCESSFLEET_H
#define DRAGONFLYMOOR_UNITTESTS_STORERETURN_PROCESSFLEET_H

#include "../Platform/GatewayFixture.h"
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dfm::test {

/// Runs entry VMs as processes of their own on an address of the loopback network, beside a store.
/// The logs are in a temporary folder, or kept in the one that the variable DFM_TEST_LOGS names.
/// Not thread-safe, but for SendTo.
class ProcessFleet
{
public:
  /// aDomains has the failure domain of each VM; a domain's region is its name up to the last "-".
  ProcessFleet(const Endpoint& aStore, std::vector<std::string> aDomains);
  /// Kills the processes.
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  size_t Size() const { return pids_.size(); }
  /// Precondition: the VM does not run.
  void Start(size_t aVm);
  /// Sends a signal to the VM's process and waits for its end.
  void End(size_t aVm, int aSignal);
  bool IsRunning(size_t aVm) const { return pids_[aVm] > 0; }
  bool IsReady(size_t aVm) const;
  /// Sends a request as a caller on a new connection. Thread-safe.
  std::optional<Response> SendTo(size_t aVm, const Request& aRequest) const;

  /// What the VM has logged so far, in all its runs.
  std::string LogOf(size_t aVm) const;

private:
  /// The ports of a VM, from its first one on.
  enum class Port : uint16_t
  {
    Callers,
    Readiness,
    Directory,
    Operators,
    FirstOfVms,
    Count = FirstOfVms + 4,
  };

  Endpoint EndpointOf(size_t aVm, Port aPort) const;
  void WriteSettings(size_t aVm) const;
  std::string FileOf(size_t aVm, std::string_view aSuffix) const;

  Endpoint store_;
  std::vector<std::string> domains_;
  std::string address_;
  std::string folder_;
  bool keepsFolder_ = false;
  std::vector<pid_t> pids_;
};

/// The number in a variable of the environment, aDefault without one.
uint64_t
EnvironmentNumber(const char* aName, uint64_t aDefault);

} // namespace dfm::test

#endif
