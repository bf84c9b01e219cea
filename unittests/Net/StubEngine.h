#ifndef DRAGONFLYMOOR_UNITTESTS_NET_STUBENGINE_H
#define DRAGONFLYMOOR_UNITTESTS_NET_STUBENGINE_H

#include "dragonflymoor/Engine/Engine.h"
#include <string>

namespace dfm {

/// What the stub engine of one VM does with requests. It answers by one attempt at the backend, or
/// passes every request of a caller on to the peer; a repeated order key gets the remembered
/// answer.
struct StubPlan
{
  std::optional<BackendServer> backend;
  std::optional<Vm> peer;
};

/// Must be called before the daemon of that VM is created. Safe to call from any thread.
void
SetStubPlan(const VmId& aVm, StubPlan aPlan);

/// Number of events with this name that the stub engine of a VM has received.
int
StubEvents(const VmId& aVm, const std::string& aEvent);

} // namespace dfm

#endif
