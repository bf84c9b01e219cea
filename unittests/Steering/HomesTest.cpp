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

/// Replays a load that a region's slots hardly bear, a third of it for one object. Guards against
/// objects that are served at a second instance while slots are short: they are cold there, take
/// several times the slots and evict others, so that the overload outlasts its cause.
Test(Homes, AreKeptWhileSlotsAreShort)
{
  constexpr Duration kRunTime = 50ms;
  constexpr uint64_t kObjects = 61;
  DispatcherFixture fixture;
  std::vector<InstanceText> instances(4);
  for (size_t i = 0; i < instances.size(); ++i)
    instances[i].id = "i-" + std::to_string(i);
  fixture.SetFleet(instances);
  std::map<Ticket, TimePoint> endTimes;
  std::map<Ticket, uint64_t> keys;
  std::map<uint64_t, std::set<std::string>> instancesByKey;
  uint64_t submitted = 0;
  size_t seen = 0;
  for (int step = 0; step < 600; ++step) {
    for (int i = 0; i < 1 + step % 2; ++i) {
      const uint64_t key = submitted % 3 == 0 ? 0 : submitted % kObjects;
      keys[fixture.Submit({}, key)] = key;
      ++submitted;
    }
    fixture.Advance(10ms);
    std::erase_if(endTimes, [&](const auto& aEntry) {
      if (fixture.now < aEntry.second)
        return false;
      fixture.End(aEntry.first, Kind::Answered, 200);
      return true;
    });
    for (; seen < fixture.started.size(); ++seen) {
      const InstanceAttempt& attempt = fixture.started[seen];
      endTimes[attempt.ticket] = fixture.now + kRunTime;
      // The region counts as short of slots after the first seconds.
      if (step >= 400)
        instancesByKey[keys.at(attempt.ticket)].insert(attempt.instance.Value());
    }
  }
  cr_assert(instancesByKey.size() > kObjects / 2);
  for (const auto& [key, used] : instancesByKey)
    cr_assert(used.size() == 1, "object %lu ran at %zu instances", key, used.size());
}

} // namespace
