#include "dragonflymoor/Operator/FleetStatus.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <set>

namespace dfm {

namespace {

namespace json = boost::json;

/// Reads fields of one object; a field that is missing or of another type is a finding.
class FieldReader
{
public:
  FieldReader(const json::value& aValue, std::string aPlace, Findings& aFindings)
    : place_(std::move(aPlace))
    , findings_(aFindings)
  {
    if (aValue.is_object())
      object_ = &aValue.get_object();
    else
      Fail("", "is not an object");
  }

  std::string Text(std::string_view aField)
  {
    const json::value* value = Find(aField);
    if (value != nullptr && value->is_string())
      return std::string(value->get_string());
    Fail(aField, "is not a text");
    return {};
  }

  bool Boolean(std::string_view aField)
  {
    const json::value* value = Find(aField);
    if (value != nullptr && value->is_bool())
      return value->get_bool();
    Fail(aField, "is not true or false");
    return false;
  }

  double Number(std::string_view aField)
  {
    const json::value* value = Find(aField);
    if (value != nullptr && value->is_number())
      return value->to_number<double>();
    Fail(aField, "is not a number");
    return 0;
  }

  uint64_t Count(std::string_view aField)
  {
    const double number = Number(aField);
    constexpr double kMost = 9e15;
    if (number >= 0 && number <= kMost)
      return static_cast<uint64_t>(number);
    Fail(aField, "is out of range");
    return 0;
  }

  std::map<std::string, uint64_t> Counts(std::string_view aField)
  {
    std::map<std::string, uint64_t> counts;
    const json::value* value = Find(aField);
    if (value == nullptr || !value->is_object()) {
      Fail(aField, "is not an object");
      return counts;
    }
    FieldReader reader(*value, fmt::format("{}.{}", place_, aField), findings_);
    for (const auto& item : value->get_object())
      counts[std::string(item.key())] = reader.Count(item.key());
    return counts;
  }

  template<typename T>
  std::vector<T> Items(std::string_view aField, T (*aRead)(FieldReader&))
  {
    std::vector<T> items;
    const json::value* value = Find(aField);
    if (value == nullptr || !value->is_array()) {
      Fail(aField, "is not an array");
      return items;
    }
    for (const json::value& item : value->get_array()) {
      FieldReader reader(item, fmt::format("{}.{}[{}]", place_, aField, items.size()), findings_);
      items.push_back(aRead(reader));
    }
    return items;
  }

private:
  const json::value* Find(std::string_view aField) const
  {
    return object_ == nullptr ? nullptr : object_->if_contains(aField);
  }

  void Fail(std::string_view aField, std::string_view aMessage)
  {
    // Without an object, every field would give the same finding again.
    if (object_ != nullptr || aField.empty())
      findings_.push_back({ .place = aField.empty() ? place_ : fmt::format("{}.{}", place_, aField),
                            .message = std::string(aMessage) });
  }

  const json::object* object_ = nullptr;
  std::string place_;
  Findings& findings_;
};

VmStatus::Member
ReadMember(FieldReader& aReader)
{
  return { .vm = VmId(aReader.Text("vm")),
           .state = aReader.Text("state"),
           .leaving = aReader.Boolean("leaving") };
}

VmStatus::Pool
ReadPool(FieldReader& aReader)
{
  return { .pool = { ServiceId(aReader.Text("service")),
                     FailureDomainId(aReader.Text("failureDomain")) },
           .owner = VmId(aReader.Text("owner")),
           .mine = aReader.Boolean("mine"),
           .slots = aReader.Count("slots"),
           .inFlight = aReader.Count("inFlight"),
           .queued = aReader.Counts("queued") };
}

VmStatus::Server
ReadServer(FieldReader& aReader)
{
  return { .id = BackendId(aReader.Text("id")),
           .state = aReader.Text("state"),
           .slots = aReader.Count("slots"),
           .inFlight = aReader.Count("inFlight"),
           .waitingFor = aReader.Text("waitingFor") };
}

VmStatus::LinkUse
ReadLink(FieldReader& aReader)
{
  return { .from = RegionId(aReader.Text("from")),
           .to = RegionId(aReader.Text("to")),
           .capBytesPerSecond = aReader.Number("capBytesPerSecond"),
           .usedBytesLastSecond = aReader.Number("usedBytesLastSecond") };
}

const VmStatus::Server*
FindServer(const FleetStatus& aStatus, const BackendId& aId)
{
  const VmStatus::Server* found = nullptr;
  for (const VmStatus& vm : aStatus) {
    for (const VmStatus::Server& server : vm.servers) {
      // While a pool moves, two owners report; the one with more requests in flight matters.
      if (server.id == aId && (found == nullptr || server.inFlight > found->inFlight))
        found = &server;
    }
  }
  return found;
}

bool
IsGone(const FleetStatus& aStatus, const VmId& aVm)
{
  bool gone = false;
  for (const VmStatus& status : aStatus) {
    if (status.vm == aVm)
      return false;
    for (const VmStatus::Member& member : status.members)
      gone = gone || (member.vm == aVm && (member.state == "left" || member.state == "dead"));
  }
  return gone;
}

void
AddServerProgress(const BackendServer& aServer,
                  const FleetStatus& aStatus,
                  DrainProgress& aProgress)
{
  ++aProgress.targets;
  const VmStatus::Server* server = FindServer(aStatus, aServer.id);
  if (server == nullptr) {
    ++aProgress.notSeen;
    aProgress.waitingFor.push_back(
      fmt::format("server {}: no VM reports on it", aServer.id.Value()));
    return;
  }
  if (server->state == "draining" && server->inFlight == 0) {
    ++aProgress.finished;
    return;
  }
  aProgress.requestsInFlight += server->inFlight;
  aProgress.waitingFor.push_back(fmt::format("server {}: {}, {} requests in flight{}{}",
                                             aServer.id.Value(),
                                             server->state,
                                             server->inFlight,
                                             server->waitingFor.empty() ? "" : ", waits for ",
                                             server->waitingFor));
}

void
AddVmProgress(const Vm& aVm, const FleetStatus& aStatus, DrainProgress& aProgress)
{
  ++aProgress.targets;
  const auto status = std::find_if(
    aStatus.begin(), aStatus.end(), [&](const VmStatus& aEntry) { return aEntry.vm == aVm.id; });
  if (status != aStatus.end()) {
    aProgress.requestsInFlight += status->requestsInFlight;
    aProgress.waitingFor.push_back(
      fmt::format("vm {}: {}, {} requests in flight",
                  aVm.id.Value(),
                  status->stopping ? "stopping" : "has not begun to stop",
                  status->requestsInFlight));
  } else if (IsGone(aStatus, aVm.id)) {
    ++aProgress.finished;
  } else {
    ++aProgress.notSeen;
    aProgress.waitingFor.push_back(fmt::format(
      "vm {}: does not answer, but the others do not hold it for gone", aVm.id.Value()));
  }
}

} // namespace

Checked<VmStatus>
ParseVmStatus(std::string_view aJson, std::string_view aPlace)
{
  json::error_code error;
  const json::value value = json::parse(aJson, error);
  if (error)
    return tl::unexpected(Findings{ { .place = std::string(aPlace), .message = "is not JSON" } });
  Findings findings;
  FieldReader reader(value, std::string(aPlace), findings);
  VmStatus status{ .vm = VmId(reader.Text("vm")),
                   .region = RegionId(reader.Text("region")),
                   .failureDomain = FailureDomainId(reader.Text("failureDomain")),
                   .ready = reader.Boolean("ready"),
                   .stopping = reader.Boolean("stopping"),
                   .requestsInFlight = reader.Count("requestsInFlight"),
                   .listVersions = reader.Counts("listVersions"),
                   .members = reader.Items("members", ReadMember),
                   .pools = reader.Items("pools", ReadPool),
                   .servers = reader.Items("servers", ReadServer),
                   .links = reader.Items("links", ReadLink) };
  if (!findings.empty())
    return tl::unexpected(findings);
  return status;
}

std::vector<VmStatus::LinkUse>
TotalLinks(const FleetStatus& aStatus)
{
  std::map<std::pair<RegionId, RegionId>, VmStatus::LinkUse> totals;
  for (const VmStatus& vm : aStatus) {
    for (const VmStatus::LinkUse& link : vm.links) {
      VmStatus::LinkUse& total = totals[{ link.from, link.to }];
      const double used = total.usedBytesLastSecond + link.usedBytesLastSecond;
      total = link;
      total.usedBytesLastSecond = used;
    }
  }
  std::vector<VmStatus::LinkUse> links;
  links.reserve(totals.size());
  for (const auto& [pair, link] : totals)
    links.push_back(link);
  return links;
}

std::vector<VmStatus::Pool>
OwnedPools(const FleetStatus& aStatus)
{
  std::vector<VmStatus::Pool> pools;
  for (const VmStatus& vm : aStatus) {
    for (const VmStatus::Pool& pool : vm.pools) {
      if (pool.mine)
        pools.push_back(pool);
    }
  }
  std::sort(pools.begin(), pools.end());
  return pools;
}

Checked<std::vector<ServiceUse>>
MeanUse(const FleetLists& aLists, const std::vector<FleetStatus>& aSamples)
{
  std::map<std::pair<ServiceId, RegionId>, double> sums;
  std::map<PoolId, RegionId> regions;
  for (const BackendServer& server : aLists.backends)
    regions[{ server.service, server.failureDomain }] = server.region;
  Findings findings;
  for (const FleetStatus& sample : aSamples) {
    std::set<PoolId> missing;
    for (const auto& [pool, region] : regions)
      missing.insert(pool);
    for (const VmStatus::Pool& pool : OwnedPools(sample)) {
      missing.erase(pool.pool);
      const auto region = regions.find(pool.pool);
      if (region != regions.end())
        sums[{ pool.pool.service, region->second }] += static_cast<double>(pool.inFlight);
    }
    for (const PoolId& pool : missing)
      findings.push_back(
        { .place = fmt::format("pool {}/{}", pool.service.Value(), pool.failureDomain.Value()),
          .message = "no VM reports its use" });
  }
  if (aSamples.empty())
    findings.push_back({ .place = "status", .message = "no VM reports its use" });
  std::sort(findings.begin(), findings.end());
  findings.erase(std::unique(findings.begin(), findings.end()), findings.end());
  if (!findings.empty())
    return tl::unexpected(findings);
  std::vector<ServiceUse> use;
  use.reserve(sums.size());
  for (const auto& [key, sum] : sums)
    use.push_back({ .service = key.first,
                    .region = key.second,
                    .slotsInUse = sum / static_cast<double>(aSamples.size()) });
  return use;
}

DrainProgress
ProgressOf(const FleetLists& aLists, const Drain& aDrain, const FleetStatus& aStatus)
{
  DrainProgress progress;
  const bool domain = aDrain.target == DrainTarget::FailureDomain;
  for (const BackendServer& server : aLists.backends) {
    if (domain ? server.failureDomain.Value() == aDrain.name
               : aDrain.target == DrainTarget::BackendServer && server.id.Value() == aDrain.name)
      AddServerProgress(server, aStatus, progress);
  }
  for (const Vm& vm : aLists.roster) {
    if (domain ? vm.failureDomain.Value() == aDrain.name
               : aDrain.target == DrainTarget::Vm && vm.id.Value() == aDrain.name)
      AddVmProgress(vm, aStatus, progress);
  }
  return progress;
}

} // namespace dfm
