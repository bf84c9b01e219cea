#include "Output.h"

#include "dragonflymoor/Model/Lists.h"
#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <map>

namespace dfm {

namespace {

namespace json = boost::json;

void
Print(const json::value& aValue)
{
  fmt::print("{}\n", json::serialize(aValue));
}

uint64_t
SumOf(const std::map<std::string, uint64_t>& aCounts)
{
  uint64_t sum = 0;
  for (const auto& [name, count] : aCounts)
    sum += count;
  return sum;
}

/// One region in numbers.
struct RegionTotals
{
  size_t vms = 0;
  size_t ready = 0;
  uint64_t slots = 0;
  uint64_t inFlight = 0;
  uint64_t queued = 0;
};

std::map<RegionId, RegionTotals>
RegionsOf(const FleetStatus& aStatus)
{
  std::map<RegionId, RegionTotals> regions;
  for (const VmStatus& vm : aStatus) {
    RegionTotals& region = regions[vm.region];
    ++region.vms;
    region.ready += vm.ready ? 1 : 0;
    // Pools count in the region of their owner, which is elsewhere only when their own has no VM.
    for (const VmStatus::Pool& pool : vm.pools) {
      if (!pool.mine)
        continue;
      region.slots += pool.slots;
      region.inFlight += pool.inFlight;
      region.queued += SumOf(pool.queued);
    }
  }
  return regions;
}

json::object
StatusObject(const FleetStatus& aStatus)
{
  json::array vms;
  for (const VmStatus& vm : aStatus) {
    vms.push_back(json::object{ { "vm", vm.vm.Value() },
                                { "region", vm.region.Value() },
                                { "failureDomain", vm.failureDomain.Value() },
                                { "ready", vm.ready },
                                { "stopping", vm.stopping },
                                { "requestsInFlight", vm.requestsInFlight },
                                { "listVersions", json::value_from(vm.listVersions) } });
  }
  json::array regions;
  for (const auto& [id, totals] : RegionsOf(aStatus)) {
    regions.push_back(json::object{ { "region", id.Value() },
                                    { "vms", totals.vms },
                                    { "ready", totals.ready },
                                    { "slots", totals.slots },
                                    { "inFlight", totals.inFlight },
                                    { "queued", totals.queued } });
  }
  json::array links;
  for (const VmStatus::LinkUse& link : TotalLinks(aStatus)) {
    links.push_back(json::object{ { "from", link.from.Value() },
                                  { "to", link.to.Value() },
                                  { "capBytesPerSecond", link.capBytesPerSecond },
                                  { "usedBytesLastSecond", link.usedBytesLastSecond } });
  }
  json::array pools;
  for (const VmStatus::Pool& pool : OwnedPools(aStatus)) {
    pools.push_back(json::object{ { "service", pool.pool.service.Value() },
                                  { "failureDomain", pool.pool.failureDomain.Value() },
                                  { "owner", pool.owner.Value() },
                                  { "slots", pool.slots },
                                  { "inFlight", pool.inFlight },
                                  { "queued", json::value_from(pool.queued) } });
  }
  return { { "vms", vms }, { "regions", regions }, { "links", links }, { "pools", pools } };
}

/// Members that some VM does not hold for alive.
void
PrintDoubts(const FleetStatus& aStatus)
{
  for (const VmStatus& vm : aStatus) {
    for (const VmStatus::Member& member : vm.members) {
      if (member.state != "alive" || member.leaving) {
        fmt::print("  {} holds {} for {}{}\n",
                   vm.vm.Value(),
                   member.vm.Value(),
                   member.state,
                   member.leaving ? ", leaving" : "");
      }
    }
  }
}

} // namespace

void
PrintSummaries(bool aJson, const std::vector<ListSummary>& aSummaries)
{
  json::array items;
  for (const ListSummary& summary : aSummaries) {
    const std::string_view state =
      summary.version == 0 ? "missing" : (summary.valid ? "valid" : "invalid");
    if (!aJson)
      fmt::print("{:<16} version {:<8} {:>8} bytes  {}\n",
                 ObjectName(summary.list),
                 summary.version,
                 summary.bytes,
                 state);
    items.push_back(json::object{ { "list", ObjectName(summary.list) },
                                  { "version", summary.version },
                                  { "bytes", summary.bytes },
                                  { "state", state } });
  }
  if (aJson)
    Print(items);
}

void
PrintList(bool aJson, ListName aList, const ListText& aText)
{
  if (aJson) {
    Print(json::object{
      { "list", ObjectName(aList) }, { "version", aText.version }, { "text", aText.text } });
    return;
  }
  fmt::print("{}{}", VersionLine(aList, aText.version), aText.text);
}

void
PrintWrite(bool aJson,
           std::string_view aResult,
           ListName aList,
           ListVersion aVersion,
           const Findings& aFindings)
{
  if (!aJson) {
    fmt::print("{}: {} (version {})\n", ObjectName(aList), aResult, aVersion);
    return;
  }
  json::array findings;
  for (const Finding& finding : aFindings)
    findings.push_back(json::object{ { "place", finding.place }, { "message", finding.message } });
  Print(json::object{ { "result", aResult },
                      { "list", ObjectName(aList) },
                      { "version", aVersion },
                      { "findings", findings } });
}

void
PrintDrains(bool aJson, const std::vector<DrainState>& aDrains)
{
  json::array items;
  for (const auto& [drain, progress] : aDrains) {
    const auto startsAt = drain.startsAt.time_since_epoch().count();
    json::object item{ { "target", ToString(drain.target) },
                       { "name", drain.name },
                       { "startsAt", startsAt } };
    if (!aJson)
      fmt::print("{} {} from {}", ToString(drain.target), drain.name, startsAt);
    if (progress) {
      item["targets"] = progress->targets;
      item["finished"] = progress->finished;
      item["notSeen"] = progress->notSeen;
      item["requestsInFlight"] = progress->requestsInFlight;
      item["waitingFor"] = json::value_from(progress->waitingFor);
      if (!aJson)
        fmt::print(": {} of {} finished, {} requests in flight",
                   progress->finished,
                   progress->targets,
                   progress->requestsInFlight);
    }
    items.push_back(item);
    if (aJson)
      continue;
    fmt::print("\n");
    for (const std::string& line : progress ? progress->waitingFor : std::vector<std::string>())
      fmt::print("  {}\n", line);
  }
  if (aJson)
    Print(items);
}

void
PrintStatus(bool aJson, const FleetStatus& aStatus)
{
  if (aJson) {
    Print(StatusObject(aStatus));
    return;
  }
  fmt::print("members\n");
  for (const VmStatus& vm : aStatus)
    fmt::print("  {:<16} {:<12} {:<12} {}{}, {} requests in flight\n",
               vm.vm.Value(),
               vm.region.Value(),
               vm.failureDomain.Value(),
               vm.ready ? "ready" : "not ready",
               vm.stopping ? ", stopping" : "",
               vm.requestsInFlight);
  PrintDoubts(aStatus);
  fmt::print("regions\n");
  for (const auto& [id, totals] : RegionsOf(aStatus))
    fmt::print("  {:<16} {} of {} VMs ready, {} of {} slots in use, {} queued\n",
               id.Value(),
               totals.ready,
               totals.vms,
               totals.inFlight,
               totals.slots,
               totals.queued);
  fmt::print("links\n");
  for (const VmStatus::LinkUse& link : TotalLinks(aStatus))
    fmt::print("  {} -> {}  {:.0f} of {:.0f} bytes/s\n",
               link.from.Value(),
               link.to.Value(),
               link.usedBytesLastSecond,
               link.capBytesPerSecond);
  fmt::print("pools\n");
  for (const VmStatus::Pool& pool : OwnedPools(aStatus))
    fmt::print("  {}/{}  owner {}, {} of {} slots in use, {} queued\n",
               pool.pool.service.Value(),
               pool.pool.failureDomain.Value(),
               pool.owner.Value(),
               pool.inFlight,
               pool.slots,
               SumOf(pool.queued));
}

} // namespace dfm
