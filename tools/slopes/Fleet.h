#ifndef DRAGONFLYMOOR_TOOLS_SLOPES_FLEET_H
#define DRAGONFLYMOOR_TOOLS_SLOPES_FLEET_H

#include "dragonflymoor/Wire/Messages.h"
#include <fmt/format.h>
#include <vector>

namespace dfm::slopes {

constexpr size_t kDesignDomains = 83;

/// VMs spread over failure domains in 24 regions.
inline std::vector<MemberUpdate>
MakeMembers(size_t aCount, size_t aDomains = kDesignDomains)
{
  std::vector<MemberUpdate> members(aCount);
  for (size_t i = 0; i < aCount; ++i) {
    const size_t domain = i % aDomains;
    Vm& vm = members[i].vm;
    vm.id = VmId(fmt::format("entry-{:05}", i));
    vm.region = RegionId(fmt::format("region-{:02}", domain % 24));
    vm.failureDomain = FailureDomainId(fmt::format("region-{:02}-{}", domain % 24, domain / 24));
    vm.callers = { .address = fmt::format("10.{}.{}.{}", i / 65536, i / 256 % 256, i % 256),
                   .port = 8080 };
    vm.peers = { .address = vm.callers.address, .port = 7400 };
    members[i].incarnation = { i + 1 };
    members[i].startedAtMs = 1'700'000'000'000;
  }
  return members;
}

} // namespace dfm::slopes

#endif
