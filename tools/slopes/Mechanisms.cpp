#include "Fit.h"
#include "Fleet.h"

#include "dragonflymoor/Admission/RankQueue.h"
#include "dragonflymoor/Dispatch/PoolOwnership.h"
#include "dragonflymoor/Orders/ClaimText.h"
#include "dragonflymoor/Shares/ShareBook.h"
#include <malloc.h>

namespace dfm::slopes {

namespace {

constexpr size_t kDesignVms = 3100;
constexpr double kDesignAmounts = 10'000;
// A starting VM holds its base shares back for 3.35 s and borrows everything meanwhile.
constexpr Duration kWarmUp = 10s;
// 700 KB of claims in one object, below the store's 1 MB.
constexpr double kDesignClaims = 10'000;
constexpr double kDesignQueue = 256;

} // namespace

void
MeasureShares(bool aQuick)
{
  // One amount in a hundred has more demand than its share, and peers grant what is asked.
  constexpr size_t kBusyEvery = 100;
  const Duration time = aQuick ? Duration(1s) : Duration(30s);
  std::vector<Vm> vms;
  for (const MemberUpdate& member : MakeMembers(kDesignVms))
    vms.push_back(member.vm);
  Series cpu;
  Series messages;
  Series memory;
  for (const size_t count : { 100, 1000, 5000, 10'000 }) {
    const size_t before = mallinfo2().uordblks;
    std::vector<std::pair<VmId, ShareRequest>> asked;
    size_t sent = 0;
    ShareBook book(vms[0],
                   {},
                   { .request =
                       [&](const VmId& aTo, const ShareRequest& aRequest) {
                         asked.emplace_back(aTo, aRequest);
                         ++sent;
                       },
                     .grant = [](const VmId&, const ShareGrant&) {},
                     .giveBack = [&](const VmId&, const ShareReturn&) { ++sent; } },
                   1,
                   TimePoint(0s));
    book.SetRoster(1, vms, TimePoint(0s));
    for (const Vm& vm : vms)
      book.OnRosterConfirmed(vm.id, 1, TimePoint(0s));
    book.SetPeers(vms);
    for (size_t i = 0; i < count; ++i) {
      const ShareKey key{ .kind = ShareKind::PlanRate, .name = fmt::format("plan-{}/service", i) };
      book.SetAmount(key, kDesignVms, std::nullopt, TimePoint(0s));
      book.SetDemand(key, i % kBusyEvery == 0 ? 3 : 0.5, 0, TimePoint(0s));
    }
    const size_t used = mallinfo2().uordblks - before;
    double start = 0;
    for (Duration now = 20ms; now < kWarmUp + time; now += 20ms) {
      if (now == kWarmUp) {
        start = ThreadCpuSeconds();
        sent = 0;
      }
      book.OnTick(TimePoint(now));
      for (const auto& [peer, request] : std::exchange(asked, {}))
        book.OnShareGrant(peer,
                          { .nonce = request.nonce, .key = request.key, .amount = request.amount },
                          TimePoint(now));
    }
    const double seconds = ToSeconds(time);
    cpu.emplace_back(count, (ThreadCpuSeconds() - start) / seconds * 100);
    messages.emplace_back(count, static_cast<double>(sent) / seconds);
    memory.emplace_back(count, static_cast<double>(used) / 1e6);
  }
  PrintFit("shares, CPU, 1 % of amounts borrow", "amounts", "% of a core", cpu, kDesignAmounts);
  PrintFit("shares, messages sent", "amounts", "messages/s", messages, kDesignAmounts);
  PrintFit("shares, memory with the roster", "amounts", "MB", memory, kDesignAmounts);
}

void
MeasureClaims(bool aQuick)
{
  const int runs = aQuick ? 1 : 20;
  Series milliseconds;
  Series bytes;
  Random random(1);
  for (const size_t count : { 100, 1000, 5000, 10'000 }) {
    ClaimMap claims;
    while (claims.size() < count) {
      const Hash128 key{ .high = random.Next(), .low = random.Next() };
      claims[key] = { .key = key,
                      .claimer = { .vm = VmId("entry-00000"), .incarnation = { random.Next() } } };
    }
    size_t size = 0;
    const double start = ThreadCpuSeconds();
    for (int i = 0; i < runs; ++i) {
      const std::string text = FormatClaims(claims);
      size = text.size();
      if (ParseClaims("claims", text).value().size() != count)
        fmt::print("claims were lost\n");
    }
    milliseconds.emplace_back(count, (ThreadCpuSeconds() - start) * 1e3 / runs);
    bytes.emplace_back(count, static_cast<double>(size));
  }
  PrintFit("claims object, format and parse", "claims", "ms", milliseconds, kDesignClaims);
  PrintFit("claims object, text", "claims", "bytes", bytes, kDesignClaims);
}

void
MeasureDispatch(bool aQuick)
{
  const size_t rounds = aQuick ? 1000 : 500'000;
  Series queue;
  for (const size_t count : { 16, 64, 128, 256 }) {
    RankQueue ranks({ .capacityPerRank = count + 1 });
    uint64_t id = 0;
    const TimePoint now(1s);
    const auto push = [&] {
      ++id;
      ranks.Push({ .id = { id },
                   .plan = PlanId(fmt::format("plan-{}", id % 20)),
                   .rank = static_cast<Rank>(id % kRankCount),
                   .deadline = TimePoint(100s) },
                 now);
    };
    for (size_t i = 0; i < count * kRankCount; ++i)
      push();
    const double start = ThreadCpuSeconds();
    for (size_t i = 0; i < rounds; ++i) {
      push();
      const auto next = ranks.Pop(now);
      if (next.request)
        ranks.OnSlotTime(next.request->rank, next.request->plan, 20ms);
    }
    queue.emplace_back(count, (ThreadCpuSeconds() - start) * 1e9 / static_cast<double>(rounds));
  }
  PrintFit("rank queue, push and pop", "requests a rank", "ns", queue, kDesignQueue);

  Series ownership;
  for (const size_t count : { 100, 400, 1600, 3100 }) {
    std::vector<Vm> vms;
    for (const MemberUpdate& member : MakeMembers(count))
      vms.push_back(member.vm);
    std::vector<PoolSite> pools;
    for (size_t i = 0; i < 6 * kDesignDomains; ++i) {
      const Vm& vm = vms[i % kDesignDomains];
      pools.push_back(
        { .pool = { .service = ServiceId(fmt::format("service-{}", i / kDesignDomains)),
                    .failureDomain = vm.failureDomain },
          .region = vm.region });
    }
    PoolOwnership owners(vms[0]);
    owners.SetPools(pools, TimePoint(0s));
    const int runs = aQuick ? 1 : 10;
    const double start = ThreadCpuSeconds();
    for (int i = 0; i < runs; ++i)
      owners.SetMembers(vms, {}, TimePoint(Duration(i * 1'000'000)));
    ownership.emplace_back(count, (ThreadCpuSeconds() - start) * 1e3 / runs);
  }
  PrintFit("owners of 498 pools after a change of members", "VMs", "ms", ownership, kDesignVms);
}

} // namespace dfm::slopes
