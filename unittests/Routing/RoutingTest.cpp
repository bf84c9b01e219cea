#include "dragonflymoor/Routing/ClientBlockTable.h"
#include "dragonflymoor/Routing/RouteTableBuilder.h"
#include "dragonflymoor/Support/Random.h"
#include <algorithm>
#include <criterion/criterion.h>
#include <cstdlib>
#include <fmt/format.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace dfm;

namespace {

// Runs in CI are repeatable; RC_PARAMS in the environment takes precedence.
[[maybe_unused]] const int kSeed = setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);

/// Sorted disjoint blocks of mixed lengths, dense and sparse areas, up to the last address.
std::vector<ClientBlock>
RandomBlocks(Random& aRandom, size_t aCount)
{
  std::vector<ClientBlock> blocks;
  uint64_t next = 0;
  while (blocks.size() < aCount) {
    const auto length = static_cast<uint8_t>(18 + aRandom.Below(15));
    const uint64_t size = uint64_t{ 1 } << (32U - length);
    next = (next + size - 1) / size * size;
    if (next + size > uint64_t{ 1 } << 32U)
      break;
    blocks.push_back({ .first = static_cast<uint32_t>(next),
                       .site = static_cast<SiteIndex>(aRandom.Below(600)),
                       .prefixLength = length });
    next += size + (aRandom.Below(20) == 0 ? aRandom.Below(1U << 26U) : aRandom.Below(300));
  }
  blocks.push_back({ .first = 0xffffff00U, .site = 599, .prefixLength = 24 });
  if (blocks.size() > 1 && blocks[blocks.size() - 2].Last() >= 0xffffff00U)
    blocks.pop_back();
  return blocks;
}

Vm
MakeVm(size_t aNumber, size_t aRegion, size_t aDomain)
{
  Vm vm;
  vm.id = VmId(fmt::format("vm{}", aNumber));
  vm.region = RegionId(fmt::format("r{}", aRegion));
  vm.failureDomain = FailureDomainId(fmt::format("r{}-{}", aRegion, aDomain));
  return vm;
}

} // namespace

// Guards against a wrong site at block borders, in gaps, in parts of the address space with few or
// many blocks, and before all chunks are loaded.
Test(ClientBlockTable, FindsWhatAScanFinds)
{
  const bool ok = rc::check([](uint64_t aSeed) {
    Random random(aSeed);
    constexpr SiteIndex kOwnSite = 700;
    const auto blocks = RandomBlocks(random, random.Below(2000));
    const auto table =
      ClientBlockTable::FromBlocks(blocks, 1, kOwnSite, 1 + random.Below(500)).value();
    RC_ASSERT(table.Complete() && table.BlockCount() == blocks.size());
    const auto check = [&](uint32_t aAddress) {
      const auto block = std::find_if(blocks.begin(), blocks.end(), [&](const ClientBlock& aBlock) {
        return aBlock.first <= aAddress && aAddress <= aBlock.Last();
      });
      RC_ASSERT(table.Find(aAddress) == (block == blocks.end() ? kOwnSite : block->site));
    };
    check(0);
    check(0xffffffffU);
    for (int i = 0; i < 100; ++i) {
      const ClientBlock& block = blocks[random.Below(blocks.size())];
      check(block.first);
      check(block.Last());
      check(block.first - 1);
      check(block.Last() + 1);
      check(static_cast<uint32_t>(random.Next()));
    }
  });
  cr_assert(ok);
}

// Guards against a chunk that goes back, is taken with bad blocks or into the wrong range.
Test(ClientBlockTable, LoadsChunksInPartsAndNeverGoesBack)
{
  ClientBlockTable table({ 0, 0x0a000000 }, 9);
  const auto chunk = [](uint32_t aFirst, SiteIndex aSite, ListVersion aVersion) {
    return ClientBlockChunk::Build(
             { { .first = aFirst, .site = aSite, .prefixLength = 24 } }, aVersion, "c")
      .value();
  };
  table = table.WithChunk(1, chunk(0x0a000100, 3, 5)).value();
  cr_assert(!table.Complete() && table.VersionOf(0) == 0 && table.VersionOf(1) == 5);
  cr_assert(table.Find(0x0a0001ff) == 3 && table.Find(0x0a000200) == 9 && table.Find(5) == 9);
  table = table.WithChunk(1, chunk(0x0a000100, 4, 4)).value();
  cr_assert(table.Find(0x0a000100) == 3);
  cr_assert(!table.WithChunk(0, chunk(0x0a000100, 4, 6)).has_value());

  const auto copy =
    ClientBlockChunk::Parse(chunk(0x0a000100, 3, 5)->Serialise(), 6, "client-blocks/1").value();
  cr_assert(copy->Find(0x0a000100) == 3 && copy->Version() == 6);
  cr_assert(!ClientBlockChunk::Parse("1234567", 1, "c").has_value());
  const auto bad = ClientBlockChunk::Build({ { .first = 0x0a000100, .prefixLength = 24 },
                                             { .first = 0x0a000180, .prefixLength = 25 },
                                             { .first = 0x0a000201, .prefixLength = 24 },
                                             { .first = 0x0a000300, .prefixLength = 0 } },
                                           1,
                                           "c");
  cr_assert(FormatFindings(bad.error()).find("c: blocks[1]: overlaps") != std::string::npos);
  cr_assert(bad.error().size() == 3);
}

// Guards against leaving or dead VMs in answers, an answer without any VM, a VM named twice, and
// far owners before near ones.
Test(RouteTable, NamesNearOwnersFirstAndOnlyUsableVms)
{
  const bool ok = rc::check([](uint64_t aSeed) {
    Random random(aSeed);
    FleetLists lists;
    lists.services = { { .id = ServiceId("a") }, { .id = ServiceId("b") } };
    RouteInputs inputs{ .region = RegionId("r0"),
                        .failureDomain = FailureDomainId("r0-0"),
                        .regionsByLatency = { RegionId("r2"), RegionId("r1") } };
    for (size_t i = 0; i < 12; ++i) {
      const Vm vm = MakeVm(i, i % 3, i / 3 % 2);
      const uint64_t state = random.Below(3);
      if (state == 0)
        inputs.vms.push_back(vm);
      if (state == 1)
        inputs.leavingVms.push_back(vm);
      lists.backends.push_back({ .id = BackendId(fmt::format("b{}", i)),
                                 .service = ServiceId(i % 2 == 0 ? "a" : "b"),
                                 .region = vm.region,
                                 .failureDomain = vm.failureDomain });
    }
    inputs.ownerOf = [&](const PoolId& aPool) -> std::optional<VmId> {
      for (const Vm& vm : inputs.vms) {
        if (vm.failureDomain == aPool.failureDomain)
          return vm.id;
      }
      return VmId("dead");
    };
    const auto& usable = inputs.vms.empty() ? inputs.leavingVms : inputs.vms;
    const RouteTable table = BuildRouteTable(lists, inputs);
    RC_ASSERT(table.ready && table.rows.size() == 2U);
    for (const auto& row : table.rows) {
      RC_ASSERT(row.entries.size() == std::min<size_t>(4, usable.size()));
      std::set<VmId> seen;
      for (const RouteEntry& entry : row.entries) {
        RC_ASSERT(seen.insert(entry.vm).second);
        RC_ASSERT(std::any_of(
          usable.begin(), usable.end(), [&](const Vm& aVm) { return aVm.id == entry.vm; }));
      }
      const auto own = inputs.ownerOf({ row.service, inputs.failureDomain });
      const bool served = std::any_of(
        lists.backends.begin(), lists.backends.end(), [&](const BackendServer& aServer) {
          return aServer.service == row.service && aServer.failureDomain == inputs.failureDomain;
        });
      if (served && own != VmId("dead"))
        RC_ASSERT(row.entries.front().vm == *own);
    }
  });
  cr_assert(ok);
}

// Guards against an order that prefers a far region, or another pool's owner over a near VM.
Test(RouteTable, OrdersByDistance)
{
  FleetLists lists;
  lists.services = { { .id = ServiceId("a") } };
  RouteInputs inputs{ .region = RegionId("r0"),
                      .failureDomain = FailureDomainId("r0-0"),
                      .regionsByLatency = { RegionId("r2"), RegionId("r1") },
                      .vms = { MakeVm(1, 1, 0), MakeVm(2, 2, 0), MakeVm(3, 0, 1), MakeVm(4, 0, 0) },
                      .ownerOf = [](const PoolId&) { return std::nullopt; } };
  const auto names = [&] {
    std::string text;
    const RouteTable table = BuildRouteTable(lists, inputs);
    for (const RouteEntry& entry : table.rows.at(0).entries)
      text += entry.vm.Value() + " ";
    return text;
  };
  cr_assert(names() == "vm4 vm3 vm2 vm1 ", "%s", names().c_str());
  lists.backends.push_back({ .id = BackendId("b"),
                             .service = ServiceId("a"),
                             .region = RegionId("r1"),
                             .failureDomain = FailureDomainId("r1-0") });
  inputs.ownerOf = [](const PoolId&) { return VmId("vm1"); };
  cr_assert(names() == "vm1 vm4 vm3 vm2 ", "%s", names().c_str());
}
