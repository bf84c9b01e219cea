#include "DispatcherFixture.h"

#include "dragonflymoor/Support/Hash.h"
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

namespace {

using namespace dfm;
using namespace dfm::test;
using Kind = AttemptEndReport::Kind;

const std::vector<std::string> kDomains = { "north-a", "north-b", "south-a", "east-a" };

std::string
DomainOf(const std::string& aInstance)
{
  return kDomains[static_cast<size_t>(aInstance.back() - '0') % kDomains.size()];
}

/// Guards against requests that are sent outside the home regions of their route, or to an
/// evacuated failure domain, under overload, evacuations and instance failures.
Test(Homes, HoldUnderRandomFaults)
{
  const bool holds = rc::check("random faults in four failure domains", [] {
    DispatcherFixture fixture;
    std::vector<InstanceText> instances(8);
    for (size_t i = 0; i < instances.size(); ++i) {
      instances[i].id = "i-" + std::to_string(i);
      instances[i].domain = DomainOf(instances[i].id);
    }
    std::set<std::string> evacuated;
    std::map<Ticket, std::vector<RegionId>> homes;
    size_t checked = 0;
    fixture.SetFleet(instances);
    const auto check = [&] {
      for (; checked < fixture.started.size(); ++checked) {
        const InstanceAttempt& attempt = fixture.started[checked];
        const std::string domain = DomainOf(attempt.instance.Value());
        const RegionId region(domain.substr(0, domain.find('-')));
        const auto& allowed = homes.at(attempt.ticket);
        RC_ASSERT(allowed.empty() ||
                  std::find(allowed.begin(), allowed.end(), region) != allowed.end());
        RC_ASSERT(!evacuated.contains(domain));
      }
    };
    const auto steps = *rc::gen::inRange(20, 150);
    Ticket nextTicket = 1;
    for (int step = 0; step < steps; ++step) {
      const auto instance = "i-" + std::to_string(*rc::gen::inRange(0, 8));
      switch (*rc::gen::inRange(0, 7)) {
        case 0: {
          const std::string domain = DomainOf(instance);
          if (!evacuated.insert(domain).second)
            evacuated.erase(domain);
          fixture.SetFleet(instances, evacuated);
          break;
        }
        case 1:
          fixture.dispatcher.OnProbe(
            fixture.now,
            BackendId(instance),
            *rc::gen::element(ProbeResult::Unreachable, ProbeResult::Healthy),
            {});
          break;
        case 2:
          fixture.dispatcher.OnPeerLoad(
            fixture.now,
            VmId("vm-9"),
            { .loads = { { .instance = static_cast<uint32_t>(HashBytes(instance)),
                           .inFlight = 2 } },
              .life = 300ms });
          break;
        case 3:
          if (!fixture.running.empty())
            fixture.End(fixture.running.begin()->first,
                        *rc::gen::element(Kind::Answered, Kind::NotSent, Kind::NotExecuted),
                        200);
          break;
        case 4:
          fixture.Advance(100ms);
          break;
        default:
          // The fixture numbers tickets from 1. The homes are stored first because the request may
          // start before Submit returns.
          homes[nextTicket] =
            *rc::gen::element(std::vector<RegionId>{},
                              std::vector<RegionId>{ RegionId("north") },
                              std::vector<RegionId>{ RegionId("south") },
                              std::vector<RegionId>{ RegionId("north"), RegionId("east") });
          fixture.Submit({ .maxAttempts = 4, .homes = homes[nextTicket] },
                         *rc::gen::inRange<uint64_t>(0, 40));
          ++nextTicket;
      }
      check();
    }
  });
  cr_assert(holds);
}

} // namespace
