#include "FakeFleet.h"
#include "dragonflymoor/Model/Lists.h"
#include <algorithm>
#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace dfm;
using namespace dfm::test;

namespace {

constexpr Duration kSettle = 20s;
constexpr Duration kStep = 10ms;

/// Outcomes of the requests that entered through one VM or through all.
struct Tally
{
  size_t sent = 0;
  size_t answered = 0;
  Duration longest{};
};

Tally
Count(const FakeFleet& aFleet, const std::function<bool(const Sent&)>& aMatches)
{
  Tally tally;
  for (const Sent& sent : aFleet.Requests()) {
    if (!aMatches(sent))
      continue;
    ++tally.sent;
    if (!sent.reply || sent.reply->outcome != Outcome::Answered)
      continue;
    ++tally.answered;
    tally.longest = std::max(tally.longest, *sent.repliedAt - sent.at);
  }
  return tally;
}

/// Sends lookups at a rate through the VMs of one region for a time.
void
SendThrough(FakeFleet& aFleet, const RegionId& aRegion, size_t aCount)
{
  std::vector<size_t> vms;
  for (size_t i = 0; i < aFleet.VmCount(); ++i) {
    if (aFleet.VmAt(i).region == aRegion)
      vms.push_back(i);
  }
  for (size_t i = 0; i < aCount; ++i)
    aFleet.Send(vms[i % vms.size()], aFleet.Lookup());
}

bool
EnteredIn(const FakeFleet& aFleet, const Sent& aSent, const RegionId& aRegion)
{
  for (size_t i = 0; i < aFleet.VmCount(); ++i) {
    if (aFleet.VmAt(i).id == aSent.vm)
      return aFleet.VmAt(i).region == aRegion;
  }
  return false;
}

uint64_t
RunsIn(FakeFleet& aFleet, const RegionId& aRegion)
{
  return static_cast<uint64_t>(
    std::count_if(aFleet.Runs().begin(), aFleet.Runs().end(), [&](const ServerRun& aRun) {
      return aFleet.Servers().at(aRun.server).server.region == aRegion;
    }));
}

} // namespace

// Guards against a flood in one region that is moved to the others until they refuse their own
// callers. Each region has 16 slots of 20 ms, 800 requests/s.
Test(Load, FloodOfOneRegionLeavesTheOthersTheirOwnWork)
{
  FakeFleet fleet({ .seed = 11 });
  fleet.RunFor(kSettle);
  for (int i = 0; i < 600; ++i) {
    SendThrough(fleet, RegionId("region-0"), 24); // 2400 requests/s
    SendThrough(fleet, RegionId("region-1"), 4);  // 400 requests/s
    fleet.RunFor(kStep);
  }
  fleet.RunFor(2s);
  const Tally own =
    Count(fleet, [&](const Sent& aSent) { return EnteredIn(fleet, aSent, RegionId("region-1")); });
  cr_assert(own.answered >= own.sent * 99 / 100,
            "region-1 answered %zu of its own %zu",
            own.answered,
            own.sent);
  // Without any moved work the check above would show nothing.
  const uint64_t moved = RunsIn(fleet, RegionId("region-1")) - own.answered;
  cr_assert(moved > 50, "only %lu requests were moved to region-1", moved);
}

// Guards against a moved flood that passes the cap of a link. The cap allows about 100 answers in a
// second, far less than the flood would use.
Test(Load, LinkCapHoldsUnderAFlood)
{
  FakeFleet::Options options{ .seed = 12 };
  options.linkCapBytesPerSecond = 400'000;
  FakeFleet fleet(options);
  fleet.RunFor(kSettle);
  for (int i = 0; i < 1000; ++i) {
    SendThrough(fleet, RegionId("region-0"), 24);
    if (i == 300)
      fleet.Kill(1);
    if (i == 400)
      fleet.Freeze(3, 3s);
    if (i == 600)
      fleet.Restart(1);
    fleet.RunFor(kStep);
  }
  fleet.RunFor(2s);
  cr_assert(fleet.PeakLinkBytes() <= options.linkCapBytesPerSecond,
            "%lu bytes in one second",
            fleet.PeakLinkBytes());
  cr_assert(fleet.PeakLinkBytes() >= options.linkCapBytesPerSecond / 4,
            "only %lu bytes in one second: the check shows nothing",
            fleet.PeakLinkBytes());
}

// Guards against a fleet that admits more than a plan's limit because each VM has its own share,
// and against one that admits much less because demand is uneven.
Test(Load, PlanLimitHoldsForTheWholeFleet)
{
  FakeFleet::Options options{ .seed = 13 };
  options.limits = { { .plan = PlanId("gold"),
                       .service = ServiceId("lookup"),
                       .requestsPerSecond = 300,
                       .maxInFlight = 300 } };
  FakeFleet fleet(options);
  fleet.RunFor(kSettle);
  const TimePoint start = fleet.Time();
  for (int i = 0; i < 1000; ++i) {
    SendThrough(fleet, RegionId("region-1"), 6); // 600 requests/s through 2 to 4 of 9 VMs
    fleet.RunFor(kStep);
  }
  fleet.RunFor(1s);
  const auto ran = std::count_if(fleet.Runs().begin(),
                                 fleet.Runs().end(),
                                 [&](const ServerRun& aRun) { return aRun.at >= start; });
  // 300 a second for 10 s, 10 % and one request for each VM at once.
  cr_assert(ran <= 3000 + 30 + 9, "%ld requests ran", ran);
  cr_assert(ran >= 3000 * 8 / 10, "%ld requests ran", ran);
}
