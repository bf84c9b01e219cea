#include "Fit.h"
#include "Fleet.h"

#include "dragonflymoor/Model/Lists.h"
#include "dragonflymoor/Routing/ClientBlockTable.h"
#include "dragonflymoor/Routing/RouteTableBuilder.h"
#include "dragonflymoor/Support/Random.h"

namespace dfm::slopes {

namespace {

constexpr double kDesignBlocks = 4e6;
constexpr double kDesignVms = 3100;
constexpr double kDesignPlans = 10'000;
constexpr SiteIndex kSites = 600;

/// Blocks of /24 with gaps, spread over the address space.
std::vector<ClientBlock>
MakeBlocks(size_t aCount, Random& aRandom)
{
  constexpr uint64_t kPrefixes = uint64_t{ 1 } << 24U;
  const uint64_t step = kPrefixes / aCount;
  std::vector<ClientBlock> blocks;
  blocks.reserve(aCount);
  for (uint64_t i = 0; i < aCount; ++i)
    blocks.push_back({ .first = static_cast<uint32_t>((i * step + aRandom.Below(step)) << 8U),
                       .site = static_cast<SiteIndex>(aRandom.Below(kSites)) });
  return blocks;
}

} // namespace

void
MeasureBlockLookup(bool aQuick)
{
  constexpr size_t kLookups = 4'000'000;
  Series nanoseconds;
  Series bytes;
  Series perBlock;
  for (const size_t count : { 500'000, 1'000'000, 2'000'000, 4'000'000 }) {
    const size_t blocks = aQuick ? count / 50 : count;
    Random random(blocks);
    const ClientBlockTable table =
      ClientBlockTable::FromBlocks(MakeBlocks(blocks, random), 1, 0).value();
    std::vector<uint32_t> addresses(kLookups);
    for (uint32_t& address : addresses)
      address = static_cast<uint32_t>(random.Next());
    uint64_t sum = 0;
    const double start = ThreadCpuSeconds();
    for (const uint32_t address : addresses)
      sum += table.Find(address);
    const double seconds = ThreadCpuSeconds() - start;
    // The sum keeps the look-ups from being optimised away.
    if (sum == 0)
      fmt::print("no site was found\n");
    const double size = static_cast<double>(blocks);
    nanoseconds.emplace_back(size, seconds * 1e9 / kLookups);
    bytes.emplace_back(size, static_cast<double>(table.Bytes()) / 1e6);
    perBlock.emplace_back(size, static_cast<double>(table.Bytes()) / size);
  }
  PrintFit("block look-up, random addresses", "blocks", "ns", nanoseconds, kDesignBlocks);
  PrintFit("block table, memory", "blocks", "MB", bytes, kDesignBlocks);
  PrintFit("block table, memory per block", "blocks", "bytes", perBlock, kDesignBlocks);
}

void
MeasureListParse(bool aQuick)
{
  Series milliseconds;
  Series bytes;
  for (const size_t count : { 100, 1000, 5000, 10000 }) {
    FleetLists lists;
    for (size_t i = 0; i < count; ++i)
      lists.plans.push_back({ .id = PlanId(fmt::format("plan-{}", i)),
                              .workspace = WorkspaceId(fmt::format("workspace-{}", i / 3)),
                              .weight = static_cast<uint32_t>(i % 10 + 1) });
    const std::string text = SerialisePlans(lists.plans);
    const int runs = aQuick ? 1 : 20;
    const double start = ThreadCpuSeconds();
    size_t parsed = 0;
    for (int i = 0; i < runs; ++i)
      parsed += ReplaceList(lists, ListName::Plans, 2, text).value().plans.size();
    const double seconds = ThreadCpuSeconds() - start;
    milliseconds.emplace_back(parsed / static_cast<size_t>(runs), seconds * 1e3 / runs);
    bytes.emplace_back(count, static_cast<double>(text.size()));
  }
  PrintFit("list of plans, parse and replace", "plans", "ms", milliseconds, kDesignPlans);
  PrintFit("list of plans, text", "plans", "bytes", bytes, kDesignPlans);
}

void
MeasureRouteTable(bool aQuick)
{
  constexpr size_t kServices = 6;
  constexpr size_t kServersPerPool = 2;
  Series milliseconds;
  for (const size_t count : { 100, 400, 1600, 3100 }) {
    const auto members = MakeMembers(count);
    RouteInputs inputs{ .region = members[0].vm.region,
                        .failureDomain = members[0].vm.failureDomain };
    FleetLists lists;
    for (const MemberUpdate& member : members)
      inputs.vms.push_back(member.vm);
    for (size_t i = 0; i < kServices; ++i) {
      lists.services.push_back({ .id = ServiceId(fmt::format("service-{}", i)) });
      for (size_t j = 0; j < 83 * kServersPerPool; ++j)
        lists.backends.push_back({ .id = BackendId(fmt::format("backend-{}-{}", i, j)),
                                   .service = lists.services.back().id,
                                   .region = members[j % 83].vm.region,
                                   .failureDomain = members[j % 83].vm.failureDomain });
    }
    for (size_t i = 1; i < 24; ++i)
      inputs.regionsByLatency.emplace_back(fmt::format("region-{:02}", i));
    inputs.ownerOf = [&](const PoolId&) { return members[0].vm.id; };
    const int runs = aQuick ? 1 : 50;
    const double start = ThreadCpuSeconds();
    size_t rows = 0;
    for (int i = 0; i < runs; ++i)
      rows += BuildRouteTable(lists, inputs).rows.size();
    const double seconds = ThreadCpuSeconds() - start;
    if (rows != kServices * static_cast<size_t>(runs))
      fmt::print("unexpected number of rows: {}\n", rows);
    milliseconds.emplace_back(count, seconds * 1e3 / runs);
  }
  PrintFit("route table, one build for 6 services", "VMs", "ms", milliseconds, kDesignVms);
}

} // namespace dfm::slopes
