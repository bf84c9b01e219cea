#include "dragonflymoor/Model/Lists.h"

#include "ListReader.h"
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cmath>
#include <fmt/format.h>
#include <map>
#include <set>
#include <type_traits>

namespace dfm {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, kListCount> kArrayNames = {
  "plans", "limits", "drains", "services", "backends", "links", "vms",
};
constexpr std::array<std::string_view, 3> kDrainTargetNames = { "backend-server",
                                                                "vm",
                                                                "failure-domain" };

// A list and each element are objects in one array: depth 3, plus guaranteedPercent.
constexpr size_t kMaxDepth = 8;
constexpr uint64_t kMaxWeight = 1'000'000;
constexpr double kMaxRequestsPerSecond = 1e7;
constexpr uint64_t kMaxInFlight = 1'000'000;
constexpr double kMaxDeadlineMs = 600'000;
constexpr double kMinTimeMs = 0.001;
// Answers are buffered in full up to this size (design section 5).
constexpr uint64_t kMaxAnswerBytes = uint64_t{ 8 } * 1024 * 1024;
constexpr uint64_t kMaxSlots = 10'000;
constexpr uint64_t kMaxLinkBytesPerSecond = 1'000'000'000'000;
// End of the year 9999.
constexpr uint64_t kMaxWallTimeMs = 253'402'300'799'999;

std::string_view
ArrayName(ListName aList)
{
  return kArrayNames.at(static_cast<size_t>(aList));
}

Duration
FromMilliseconds(double aMilliseconds)
{
  return Duration(std::llround(aMilliseconds * 1000));
}

/// Reports a second element with the same key; keys that could not be read are passed over.
template<typename Key>
class UniqueKeys
{
public:
  explicit UniqueKeys(std::string_view aField)
    : field_(aField)
  {
  }

  void Check(ElementReader& aReader, const Key& aKey, size_t aIndex)
  {
    if (aKey == Key{})
      return;
    const auto [known, inserted] = seen_.emplace(aKey, aIndex);
    if (!inserted)
      aReader.Fail(field_, fmt::format("duplicate of element {}", known->second));
  }

private:
  std::string_view field_;
  std::map<Key, size_t> seen_;
};

/// The array of a list, or findings about its surroundings.
Checked<json::value>
ParseArray(std::string_view aText, std::string_view aPlace, std::string_view aArray)
{
  const auto fail = [&](std::string aMessage) {
    return tl::make_unexpected(
      Findings{ { .place = std::string(aPlace), .message = std::move(aMessage) } });
  };
  if (aText.size() > kMaxListBytes)
    return fail(fmt::format("has {} bytes, at most {} are allowed", aText.size(), kMaxListBytes));
  json::parse_options options;
  options.allow_comments = true;
  options.max_depth = kMaxDepth;
  boost::system::error_code error;
  json::value root = json::parse(json::string_view(aText), error, {}, options);
  if (error)
    return fail(fmt::format("is not valid JSON: {}", error.message()));
  if (!root.is_object() || root.get_object().size() != 1 || !root.get_object().contains(aArray) ||
      !root.get_object().at(aArray).is_array())
    return fail(fmt::format("must be an object with the array \"{}\" and nothing else", aArray));
  return std::move(root.get_object().at(aArray));
}

/// Parses all elements with aParse(reader, index).
template<typename ParseElement>
auto
ParseElements(std::string_view aText,
              std::string_view aPlace,
              std::string_view aArray,
              ParseElement aParse)
{
  using Element = std::invoke_result_t<ParseElement, ElementReader&, size_t>;
  using Result = Checked<std::vector<Element>>;
  const Checked<json::value> array = ParseArray(aText, aPlace, aArray);
  if (!array)
    return Result(tl::make_unexpected(array.error()));

  FindingSink sink;
  std::vector<Element> elements;
  elements.reserve(array->get_array().size());
  for (const json::value& value : array->get_array()) {
    const size_t index = elements.size();
    const std::string place = fmt::format("{}: {}[{}]", aPlace, aArray, index);
    static const json::object kEmpty;
    if (!value.is_object())
      sink.Add(place, "must be an object");
    ElementReader reader(value.is_object() ? value.get_object() : kEmpty, place, sink);
    if (!value.is_object()) {
      elements.emplace_back();
      continue;
    }
    elements.push_back(aParse(reader, index));
    reader.RejectUnknownFields();
  }
  if (!sink.Empty())
    return Result(tl::make_unexpected(sink.Take(aPlace)));
  return Result(std::move(elements));
}

template<typename T, typename ToObject>
std::string
SerialiseElements(std::string_view aArray, const std::vector<T>& aElements, ToObject aToObject)
{
  std::string text = fmt::format("{{\"{}\": [", aArray);
  const char* separator = "\n  ";
  for (const T& element : aElements) {
    text += separator;
    text += json::serialize(aToObject(element));
    separator = ",\n  ";
  }
  text += aElements.empty() ? "]}\n" : "\n]}\n";
  return text;
}

std::string
FormatEndpoint(const Endpoint& aEndpoint)
{
  if (aEndpoint.address.find(':') != std::string::npos)
    return fmt::format("[{}]:{}", aEndpoint.address, aEndpoint.port);
  return fmt::format("{}:{}", aEndpoint.address, aEndpoint.port);
}

/// Whole milliseconds stay integers in the text.
json::value
Milliseconds(Duration aDuration)
{
  if (aDuration.count() % 1000 == 0)
    return aDuration.count() / 1000;
  return static_cast<double>(aDuration.count()) / 1000;
}

Service
ReadService(ElementReader& aReader)
{
  Service service;
  service.id = ServiceId(aReader.Name("id"));
  if (const auto rank = ParseRank(aReader.Text("rank")))
    service.rank = *rank;
  else
    aReader.Fail("rank", "must be urgent, normal or bulk");
  service.idempotent = aReader.Boolean("idempotent");
  if (aReader.Has("deadlineMs"))
    service.deadline = FromMilliseconds(aReader.Number("deadlineMs", 1, kMaxDeadlineMs));
  if (aReader.Has("expectedMs"))
    service.expectedTime =
      FromMilliseconds(aReader.Number("expectedMs", kMinTimeMs, kMaxDeadlineMs));
  if (service.expectedTime > service.deadline)
    aReader.Fail("expectedMs", "must be at most deadlineMs");
  if (aReader.Has("expectedAnswerBytes"))
    service.expectedAnswerBytes = aReader.Integer("expectedAnswerBytes", 0, kMaxAnswerBytes);
  if (!aReader.Has("guaranteedPercent"))
    return service;
  const auto percent = aReader.Integers("guaranteedPercent", kRankCount, 100);
  uint64_t sum = 0;
  for (size_t i = 0; i < kRankCount; ++i) {
    service.guaranteedPercent[i] = static_cast<uint32_t>(percent[i]);
    sum += percent[i];
  }
  if (sum > 100)
    aReader.Fail("guaranteedPercent", fmt::format("sum is {}, at most 100 is allowed", sum));
  return service;
}

/// Collects references that lead nowhere.
struct ReferenceCheck
{
  ListName list;
  FindingSink& sink;

  void Fail(size_t aIndex, std::string_view aField, std::string aMessage) const
  {
    sink.Add(fmt::format("{}: {}[{}].{}", ObjectName(list), ArrayName(list), aIndex, aField),
             std::move(aMessage));
  }
};

template<typename T>
std::set<decltype(T::id)>
IdsOf(const std::vector<T>& aElements)
{
  std::set<decltype(T::id)> ids;
  for (const T& element : aElements)
    ids.insert(element.id);
  return ids;
}

using RegionOfDomain = std::map<FailureDomainId, RegionId>;

template<typename T>
void
CheckDomains(const std::vector<T>& aElements, RegionOfDomain& aRegions, ReferenceCheck aCheck)
{
  for (size_t i = 0; i < aElements.size(); ++i) {
    const auto& [id, region] =
      *aRegions.emplace(aElements[i].failureDomain, aElements[i].region).first;
    if (region != aElements[i].region)
      aCheck.Fail(
        i, "region", fmt::format("failure domain {} lies in {}", id.Value(), region.Value()));
  }
}

void
CheckDrainTargets(const FleetLists& aLists, const RegionOfDomain& aRegions, ReferenceCheck aCheck)
{
  const auto backends = IdsOf(aLists.backends);
  const auto vms = IdsOf(aLists.roster);
  for (size_t i = 0; i < aLists.drains.size(); ++i) {
    const Drain& drain = aLists.drains[i];
    const bool known =
      (drain.target == DrainTarget::BackendServer && backends.contains(BackendId(drain.name))) ||
      (drain.target == DrainTarget::Vm && vms.contains(VmId(drain.name))) ||
      (drain.target == DrainTarget::FailureDomain &&
       aRegions.contains(FailureDomainId(drain.name)));
    if (!known)
      aCheck.Fail(
        i, "name", fmt::format("{} {} does not exist", ToString(drain.target), drain.name));
  }
}

} // namespace

std::optional<ListName>
ParseObjectName(std::string_view aObject)
{
  for (size_t i = 0; i < kListCount; ++i) {
    if (ObjectName(static_cast<ListName>(i)) == aObject)
      return static_cast<ListName>(i);
  }
  return std::nullopt;
}

std::string_view
ToString(DrainTarget aTarget)
{
  return kDrainTargetNames.at(static_cast<size_t>(aTarget));
}

std::optional<DrainTarget>
ParseDrainTarget(std::string_view aName)
{
  for (size_t i = 0; i < kDrainTargetNames.size(); ++i) {
    if (kDrainTargetNames[i] == aName)
      return static_cast<DrainTarget>(i);
  }
  return std::nullopt;
}

Checked<std::vector<Plan>>
ParsePlans(std::string_view aText, std::string_view aPlace)
{
  UniqueKeys<PlanId> ids("id");
  return ParseElements(aText, aPlace, "plans", [&](ElementReader& aReader, size_t aIndex) {
    Plan plan{ .id = PlanId(aReader.Name("id")),
               .workspace = WorkspaceId(aReader.Name("workspace")),
               .weight = static_cast<uint32_t>(aReader.Integer("weight", 1, kMaxWeight)) };
    ids.Check(aReader, plan.id, aIndex);
    return plan;
  });
}

Checked<std::vector<PlanLimit>>
ParseLimits(std::string_view aText, std::string_view aPlace)
{
  UniqueKeys<std::pair<PlanId, ServiceId>> keys("service");
  return ParseElements(aText, aPlace, "limits", [&](ElementReader& aReader, size_t aIndex) {
    PlanLimit limit{ .plan = PlanId(aReader.Name("plan")),
                     .service = ServiceId(aReader.Name("service")),
                     .requestsPerSecond =
                       aReader.Number("requestsPerSecond", 0, kMaxRequestsPerSecond),
                     .maxInFlight =
                       static_cast<uint32_t>(aReader.Integer("maxInFlight", 0, kMaxInFlight)) };
    keys.Check(aReader, { limit.plan, limit.service }, aIndex);
    return limit;
  });
}

Checked<std::vector<Drain>>
ParseDrains(std::string_view aText, std::string_view aPlace)
{
  UniqueKeys<std::pair<DrainTarget, std::string>> keys("name");
  return ParseElements(aText, aPlace, "drains", [&](ElementReader& aReader, size_t aIndex) {
    Drain drain;
    if (const auto target = ParseDrainTarget(aReader.Text("target")))
      drain.target = *target;
    else
      aReader.Fail("target", "must be backend-server, vm or failure-domain");
    drain.name = aReader.Name("name");
    drain.startsAt =
      WallTime(std::chrono::milliseconds(aReader.Integer("startsAt", 0, kMaxWallTimeMs)));
    keys.Check(aReader, { drain.target, drain.name }, aIndex);
    return drain;
  });
}

Checked<std::vector<Service>>
ParseServices(std::string_view aText, std::string_view aPlace)
{
  UniqueKeys<ServiceId> ids("id");
  return ParseElements(aText, aPlace, "services", [&](ElementReader& aReader, size_t aIndex) {
    Service service = ReadService(aReader);
    ids.Check(aReader, service.id, aIndex);
    return service;
  });
}

Checked<std::vector<BackendServer>>
ParseBackends(std::string_view aText, std::string_view aPlace)
{
  UniqueKeys<BackendId> ids("id");
  // One server under two ids would get twice its slots.
  UniqueKeys<Endpoint> endpoints("endpoint");
  return ParseElements(aText, aPlace, "backends", [&](ElementReader& aReader, size_t aIndex) {
    BackendServer server{ .id = BackendId(aReader.Name("id")),
                          .service = ServiceId(aReader.Name("service")),
                          .region = RegionId(aReader.Name("region")),
                          .failureDomain = FailureDomainId(aReader.Name("failureDomain")),
                          .endpoint = aReader.Address("endpoint"),
                          .slots = static_cast<uint32_t>(aReader.Integer("slots", 1, kMaxSlots)) };
    ids.Check(aReader, server.id, aIndex);
    endpoints.Check(aReader, server.endpoint, aIndex);
    return server;
  });
}

Checked<std::vector<Link>>
ParseLinks(std::string_view aText, std::string_view aPlace)
{
  UniqueKeys<std::pair<RegionId, RegionId>> keys("to");
  return ParseElements(aText, aPlace, "links", [&](ElementReader& aReader, size_t aIndex) {
    Link link{ .from = RegionId(aReader.Name("from")),
               .to = RegionId(aReader.Name("to")),
               .capBytesPerSecond =
                 aReader.Integer("capBytesPerSecond", 1, kMaxLinkBytesPerSecond) };
    if (!link.to.Empty() && link.from == link.to)
      aReader.Fail("to", "must differ from the field from");
    keys.Check(aReader, { link.from, link.to }, aIndex);
    return link;
  });
}

Checked<std::vector<Vm>>
ParseRoster(std::string_view aText, std::string_view aPlace)
{
  UniqueKeys<VmId> ids("id");
  UniqueKeys<Endpoint> peers("peers");
  return ParseElements(aText, aPlace, "vms", [&](ElementReader& aReader, size_t aIndex) {
    // A dot in a VM's id would make the bound key "b.<vm>.<incarnation>.<anything>" ambiguous.
    Vm vm{ .id = VmId(aReader.Name("id", false)),
           .region = RegionId(aReader.Name("region")),
           .failureDomain = FailureDomainId(aReader.Name("failureDomain")),
           .callers = aReader.Address("callers"),
           .peers = aReader.Address("peers") };
    ids.Check(aReader, vm.id, aIndex);
    peers.Check(aReader, vm.peers, aIndex);
    return vm;
  });
}

std::string
SerialisePlans(const std::vector<Plan>& aPlans)
{
  return SerialiseElements("plans", aPlans, [](const Plan& aPlan) {
    return json::object{ { "id", aPlan.id.Value() },
                         { "workspace", aPlan.workspace.Value() },
                         { "weight", aPlan.weight } };
  });
}

std::string
SerialiseLimits(const std::vector<PlanLimit>& aLimits)
{
  return SerialiseElements("limits", aLimits, [](const PlanLimit& aLimit) {
    return json::object{ { "plan", aLimit.plan.Value() },
                         { "service", aLimit.service.Value() },
                         { "requestsPerSecond", aLimit.requestsPerSecond },
                         { "maxInFlight", aLimit.maxInFlight } };
  });
}

std::string
SerialiseDrains(const std::vector<Drain>& aDrains)
{
  return SerialiseElements("drains", aDrains, [](const Drain& aDrain) {
    return json::object{ { "target", ToString(aDrain.target) },
                         { "name", aDrain.name },
                         { "startsAt", aDrain.startsAt.time_since_epoch().count() } };
  });
}

std::string
SerialiseServices(const std::vector<Service>& aServices)
{
  return SerialiseElements("services", aServices, [](const Service& aService) {
    json::array percent;
    for (const uint32_t value : aService.guaranteedPercent)
      percent.emplace_back(value);
    return json::object{ { "id", aService.id.Value() },
                         { "rank", ToString(aService.rank) },
                         { "idempotent", aService.idempotent },
                         { "deadlineMs", Milliseconds(aService.deadline) },
                         { "expectedMs", Milliseconds(aService.expectedTime) },
                         { "expectedAnswerBytes", aService.expectedAnswerBytes },
                         { "guaranteedPercent", percent } };
  });
}

std::string
SerialiseBackends(const std::vector<BackendServer>& aBackends)
{
  return SerialiseElements("backends", aBackends, [](const BackendServer& aServer) {
    return json::object{ { "id", aServer.id.Value() },
                         { "service", aServer.service.Value() },
                         { "region", aServer.region.Value() },
                         { "failureDomain", aServer.failureDomain.Value() },
                         { "endpoint", FormatEndpoint(aServer.endpoint) },
                         { "slots", aServer.slots } };
  });
}

std::string
SerialiseLinks(const std::vector<Link>& aLinks)
{
  return SerialiseElements("links", aLinks, [](const Link& aLink) {
    return json::object{ { "from", aLink.from.Value() },
                         { "to", aLink.to.Value() },
                         { "capBytesPerSecond", aLink.capBytesPerSecond } };
  });
}

std::string
SerialiseRoster(const std::vector<Vm>& aRoster)
{
  return SerialiseElements("vms", aRoster, [](const Vm& aVm) {
    return json::object{ { "id", aVm.id.Value() },
                         { "region", aVm.region.Value() },
                         { "failureDomain", aVm.failureDomain.Value() },
                         { "callers", FormatEndpoint(aVm.callers) },
                         { "peers", FormatEndpoint(aVm.peers) } };
  });
}

std::string
SerialiseList(const FleetLists& aLists, ListName aList)
{
  switch (aList) {
    case ListName::Plans:
      return SerialisePlans(aLists.plans);
    case ListName::Limits:
      return SerialiseLimits(aLists.limits);
    case ListName::Drains:
      return SerialiseDrains(aLists.drains);
    case ListName::Services:
      return SerialiseServices(aLists.services);
    case ListName::Backends:
      return SerialiseBackends(aLists.backends);
    case ListName::Links:
      return SerialiseLinks(aLists.links);
    case ListName::Roster:
      return SerialiseRoster(aLists.roster);
  }
  return {};
}

Findings
CheckReferences(const FleetLists& aLists)
{
  FindingSink sink;
  const auto plans = IdsOf(aLists.plans);
  const auto services = IdsOf(aLists.services);
  const ReferenceCheck limits{ .list = ListName::Limits, .sink = sink };
  for (size_t i = 0; i < aLists.limits.size(); ++i) {
    const PlanLimit& limit = aLists.limits[i];
    if (!plans.contains(limit.plan))
      limits.Fail(i, "plan", fmt::format("plan {} does not exist", limit.plan.Value()));
    if (!services.contains(limit.service))
      limits.Fail(i, "service", fmt::format("service {} does not exist", limit.service.Value()));
  }
  const ReferenceCheck backends{ .list = ListName::Backends, .sink = sink };
  for (size_t i = 0; i < aLists.backends.size(); ++i) {
    const ServiceId& service = aLists.backends[i].service;
    if (!services.contains(service))
      backends.Fail(i, "service", fmt::format("service {} does not exist", service.Value()));
  }
  RegionOfDomain regions;
  CheckDomains(aLists.roster, regions, { .list = ListName::Roster, .sink = sink });
  CheckDomains(aLists.backends, regions, backends);
  CheckDrainTargets(aLists, regions, { .list = ListName::Drains, .sink = sink });
  return sink.Take("lists");
}

Checked<FleetLists>
ReplaceList(const FleetLists& aLists, ListName aList, ListVersion aVersion, std::string_view aText)
{
  FleetLists lists = aLists;
  lists.versions.at(static_cast<size_t>(aList)) = aVersion;
  const std::string_view place = ObjectName(aList);
  const auto take = [&](auto& aField, auto aParsed) -> Checked<FleetLists> {
    if (!aParsed)
      return tl::make_unexpected(std::move(aParsed.error()));
    aField = std::move(*aParsed);
    return std::move(lists);
  };
  switch (aList) {
    case ListName::Plans:
      return take(lists.plans, ParsePlans(aText, place));
    case ListName::Limits:
      return take(lists.limits, ParseLimits(aText, place));
    case ListName::Drains:
      return take(lists.drains, ParseDrains(aText, place));
    case ListName::Services:
      return take(lists.services, ParseServices(aText, place));
    case ListName::Backends:
      return take(lists.backends, ParseBackends(aText, place));
    case ListName::Links:
      return take(lists.links, ParseLinks(aText, place));
    case ListName::Roster:
      return take(lists.roster, ParseRoster(aText, place));
  }
  return lists;
}

} // namespace dfm
