#include "dragonflymoor/Steering/PeerMessages.h"

#include "dragonflymoor/Support/Compression.h"
#include "steering_generated.h"
#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace dfm {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

/// Largest values that fit into the fields of an encoded load report.
constexpr uint16_t kMaxInFlight = std::numeric_limits<uint8_t>::max();
constexpr int64_t kMaxLifeMs = std::numeric_limits<uint16_t>::max();
constexpr int64_t kMaxWireMs = std::numeric_limits<uint32_t>::max();

/// Limit of the size of unpacked objects: tens of thousands of instances.
constexpr size_t kMaxUnpackedBytes = 32UL * 1024 * 1024;

/// Type and offset of an encoded message body.
struct Body
{
  wire::SteeringBody type = wire::SteeringBody::NONE;
  Offset<void> table;
};

/// A QuotaReport in the form of the fields of a load report.
struct QuotaFields
{
  uint16_t vms = 0; ///< 0 without a report.
  std::vector<uint32_t> workspaces;
  std::vector<uint32_t> demands;
  std::vector<uint8_t> ratios;
};

QuotaFields
EncodeQuotas(const std::optional<QuotaReport>& aReport)
{
  QuotaFields fields;
  if (!aReport)
    return fields;
  constexpr unsigned kMaxVms = std::numeric_limits<uint16_t>::max();
  fields.vms = static_cast<uint16_t>(std::min(aReport->vms, kMaxVms));
  for (const QuotaDemand& demand : aReport->demands) {
    fields.workspaces.push_back(demand.workspace);
    fields.demands.push_back(demand.demand);
    fields.ratios.push_back(demand.admittedRatio);
  }
  return fields;
}

Decoded<std::optional<QuotaReport>>
DecodeQuotas(const wire::LoadReport& aReport)
{
  if (aReport.quota_vms() == 0)
    return std::nullopt;
  QuotaReport report{ .vms = aReport.quota_vms() };
  const auto* workspaces = aReport.quota_workspaces();
  const auto* demands = aReport.quota_demands();
  const auto* ratios = aReport.quota_ratios();
  if (workspaces == nullptr || demands == nullptr || ratios == nullptr ||
      demands->size() != workspaces->size() || ratios->size() != workspaces->size())
    return tl::unexpected(CodecError{ "load report: lists of quotas differ in length" });
  report.demands.reserve(workspaces->size());
  for (flatbuffers::uoffset_t i = 0; i < workspaces->size(); ++i)
    report.demands.push_back({ .workspace = workspaces->Get(i),
                               .demand = demands->Get(i),
                               .admittedRatio = ratios->Get(i) });
  return report;
}

Body
Encode(FlatBufferBuilder& aBuilder, const PeerLoad& aLoad)
{
  std::vector<uint32_t> instances;
  std::vector<uint8_t> inFlight;
  std::vector<uint16_t> claims;
  for (const InstanceLoad& load : aLoad.loads) {
    claims.push_back(load.claim);
    instances.push_back(load.instance);
    inFlight.push_back(static_cast<uint8_t>(std::min(load.inFlight, kMaxInFlight)));
  }
  const bool hasClaims =
    std::any_of(claims.begin(), claims.end(), [](uint16_t aClaim) { return aClaim > 0; });
  const auto quotas = EncodeQuotas(aLoad.quotas);
  const int64_t lifeMs = std::chrono::duration_cast<std::chrono::milliseconds>(aLoad.life).count();
  return { wire::SteeringBody::LoadReport,
           wire::CreateLoadReportDirect(aBuilder,
                                        &instances,
                                        &inFlight,
                                        static_cast<uint16_t>(std::min(lifeMs, kMaxLifeMs)),
                                        aLoad.domain ? aLoad.domain->Value().c_str() : nullptr,
                                        hasClaims ? &claims : nullptr,
                                        quotas.vms,
                                        quotas.vms > 0 ? &quotas.workspaces : nullptr,
                                        quotas.vms > 0 ? &quotas.demands : nullptr,
                                        quotas.vms > 0 ? &quotas.ratios : nullptr)
             .Union() };
}

Body
Encode(FlatBufferBuilder& aBuilder, const PeerCrashReport& aCrash)
{
  return { wire::SteeringBody::CrashNotice,
           wire::CreateCrashNotice(aBuilder, aCrash.reportId, aCrash.fingerprint).Union() };
}

Offset<wire::PeerEndpoint>
Encode(FlatBufferBuilder& aBuilder, const Endpoint& aEndpoint)
{
  return wire::CreatePeerEndpointDirect(aBuilder, aEndpoint.address.c_str(), aEndpoint.port);
}

Decoded<Endpoint>
DecodeEndpoint(const wire::PeerEndpoint& aEndpoint)
{
  Endpoint endpoint{ .address = aEndpoint.address()->str(), .port = aEndpoint.port() };
  if (!IsIpAddress(endpoint.address))
    return tl::unexpected(CodecError{ "peer endpoint: address is not an IP address" });
  return endpoint;
}

std::vector<Offset<wire::ObjectEntry>>
Encode(FlatBufferBuilder& aBuilder, const std::map<std::string, std::string>& aObjects)
{
  std::vector<Offset<wire::ObjectEntry>> entries;
  entries.reserve(aObjects.size());
  for (const auto& [name, content] : aObjects)
    entries.push_back(wire::CreateObjectEntryDirect(aBuilder, name.c_str(), content.c_str()));
  return entries;
}

Body
Encode(FlatBufferBuilder& aBuilder, const StateRequest& aRequest)
{
  std::array<uint64_t, kObjectKindCount> numbers{};
  std::array<uint64_t, kObjectKindCount> epochNumbers{};
  for (size_t i = 0; i < kObjectKindCount; ++i) {
    numbers[i] = aRequest.revisions[i].number;
    epochNumbers[i] = aRequest.revisions[i].epoch;
  }
  const auto revisions = aBuilder.CreateVector(numbers.data(), numbers.size());
  const auto epochs = aBuilder.CreateVector(epochNumbers.data(), epochNumbers.size());
  const auto domain = aBuilder.CreateString(aRequest.domain.Value());
  const auto peers = Encode(aBuilder, aRequest.peers);
  return { wire::SteeringBody::StateRequest,
           wire::CreateStateRequest(aBuilder,
                                    revisions,
                                    domain,
                                    peers,
                                    epochs,
                                    aRequest.manifestVersion,
                                    aRequest.wantsEarlierState)
             .Union() };
}

/// Values of a duration that do not fit are cut off.
uint32_t
ToWireMs(Duration aDuration)
{
  const int64_t ms = std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return static_cast<uint32_t>(std::clamp(ms, int64_t{ 0 }, kMaxWireMs));
}

Offset<wire::EarlierState>
Encode(FlatBufferBuilder& aBuilder, const EarlierState& aState)
{
  std::vector<Offset<wire::Departure>> departures;
  departures.reserve(aState.departures.size());
  for (const Departure& departure : aState.departures)
    departures.push_back(wire::CreateDepartureDirect(aBuilder,
                                                     departure.instance.Value().c_str(),
                                                     departure.startTimeMs,
                                                     departure.report,
                                                     departure.epoch));
  std::vector<Offset<wire::LostEvacuation>> evacuations;
  for (const auto& [domain, remaining] : aState.evacuations)
    evacuations.push_back(
      wire::CreateLostEvacuationDirect(aBuilder, domain.Value().c_str(), ToWireMs(remaining)));
  const std::string packed = aState.manifest ? Deflate(*aState.manifest) : std::string();
  const std::vector<uint8_t> manifest(packed.begin(), packed.end());
  return wire::CreateEarlierStateDirect(
    aBuilder, aState.manifest ? &manifest : nullptr, &departures, &evacuations);
}

Body
Encode(FlatBufferBuilder& aBuilder, const StateReply& aReply)
{
  std::vector<Offset<wire::StateSet>> sets;
  sets.reserve(aReply.kinds.size());
  for (const auto& [kind, set, complete, removed, packed, allNames, packedAllNames] :
       aReply.kinds) {
    const std::vector<uint8_t> packedBytes(packed.begin(), packed.end());
    std::vector<uint8_t> packedNames(packedAllNames.begin(), packedAllNames.end());
    if (allNames && packedNames.empty()) {
      const std::string bytes = PackNames(*allNames);
      packedNames.assign(bytes.begin(), bytes.end());
    }
    std::vector<Offset<wire::ObjectEntry>> entries;
    if (packed.empty())
      entries = Encode(aBuilder, set.objects);
    std::vector<Offset<flatbuffers::String>> names;
    names.reserve(removed.size());
    for (const std::string& name : removed)
      names.push_back(aBuilder.CreateString(name));
    sets.push_back(wire::CreateStateSetDirect(aBuilder,
                                              static_cast<uint8_t>(kind),
                                              set.revision.number,
                                              &entries,
                                              complete,
                                              &names,
                                              &packedBytes,
                                              set.revision.epoch,
                                              allNames ? &packedNames : nullptr));
  }
  std::vector<Offset<wire::PeerEndpoint>> delegates;
  delegates.reserve(aReply.delegates.size());
  for (const Endpoint& delegate : aReply.delegates)
    delegates.push_back(Encode(aBuilder, delegate));
  Offset<wire::EarlierState> earlier;
  if (aReply.earlier != EarlierState{})
    earlier = Encode(aBuilder, aReply.earlier);
  return { wire::SteeringBody::StateReply,
           wire::CreateStateReplyDirect(
             aBuilder,
             aReply.storeSteady,
             &sets,
             aReply.storeReachable,
             ToWireMs(aReply.answerAge),
             &delegates,
             aReply.epoch ? flatbuffers::Optional<uint64_t>(*aReply.epoch) : flatbuffers::nullopt,
             earlier)
             .Union() };
}

Body
Encode(FlatBufferBuilder& aBuilder, const PeerMemberSync& aMessage)
{
  const std::string packed = Deflate(EncodeStream(VmId(), aMessage.sync));
  const auto bytes =
    aBuilder.CreateVector(reinterpret_cast<const uint8_t*>(packed.data()), packed.size());
  return { wire::SteeringBody::MemberList, wire::CreateMemberList(aBuilder, bytes).Union() };
}

Decoded<PeerMessage>
Decode(const wire::LoadReport& aReport)
{
  PeerLoad load{ .life = std::chrono::milliseconds(aReport.life_ms()) };
  if (aReport.domain() != nullptr)
    load.domain = FailureDomainId(aReport.domain()->str());
  auto quotas = DecodeQuotas(aReport);
  if (!quotas)
    return tl::unexpected(quotas.error());
  load.quotas = std::move(*quotas);
  const auto* instances = aReport.instances();
  const auto* inFlight = aReport.in_flight();
  if (instances == nullptr || inFlight == nullptr)
    return load;
  if (instances->size() != inFlight->size())
    return tl::unexpected(
      CodecError{ "load report: lists of instances and in-flight counts differ in length" });
  const auto* claims = aReport.claims();
  if (claims != nullptr && claims->size() != instances->size())
    return tl::unexpected(
      CodecError{ "load report: lists of instances and claims differ in length" });
  load.loads.reserve(instances->size());
  for (flatbuffers::uoffset_t i = 0; i < instances->size(); ++i)
    load.loads.push_back({ .instance = instances->Get(i),
                           .inFlight = inFlight->Get(i),
                           .claim = claims == nullptr ? uint16_t{ 0 } : claims->Get(i) });
  return load;
}

Decoded<PeerMessage>
Decode(const wire::StateRequest& aRequest)
{
  StateRequest request;
  if (aRequest.revisions() == nullptr || aRequest.revisions()->size() != request.revisions.size())
    return tl::unexpected(CodecError{ "state request: wrong number of revisions" });
  const auto* epochs = aRequest.epochs();
  if (epochs != nullptr && epochs->size() != request.revisions.size())
    return tl::unexpected(CodecError{ "state request: wrong number of epochs" });
  for (size_t i = 0; i < request.revisions.size(); ++i) {
    const auto index = static_cast<flatbuffers::uoffset_t>(i);
    request.revisions[i] = { .epoch = epochs == nullptr ? 0 : epochs->Get(index),
                             .number = aRequest.revisions()->Get(index) };
  }
  request.manifestVersion = aRequest.manifest_version();
  request.wantsEarlierState = aRequest.wants_earlier();
  if (aRequest.domain() != nullptr)
    request.domain = FailureDomainId(aRequest.domain()->str());
  // Without a domain the sender has left its endpoint out.
  if (aRequest.peers() == nullptr || request.domain.Empty())
    return request;
  auto peers = DecodeEndpoint(*aRequest.peers());
  if (!peers)
    return tl::unexpected(peers.error());
  request.peers = std::move(*peers);
  return request;
}

void
DecodeObjects(const flatbuffers::Vector<Offset<wire::ObjectEntry>>& aEntries, ObjectSet& aSet)
{
  for (const wire::ObjectEntry* entry : aEntries)
    aSet.objects[entry->name()->str()] = entry->content()->str();
}

tl::expected<void, CodecError>
UnpackObjects(std::string_view aPacked, ObjectSet& aSet)
{
  const auto bytes = Inflate(aPacked, kMaxUnpackedBytes);
  if (!bytes)
    return tl::unexpected(CodecError{ "state reply: malformed compressed objects" });
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes->data()), bytes->size());
  if (!verifier.VerifyBuffer<wire::ObjectList>(nullptr))
    return tl::unexpected(CodecError{ "state reply: malformed packed objects" });
  const auto* list = flatbuffers::GetRoot<wire::ObjectList>(bytes->data());
  if (list->objects() != nullptr)
    DecodeObjects(*list->objects(), aSet);
  return {};
}

Decoded<EarlierState>
Decode(const wire::EarlierState& aState)
{
  EarlierState state;
  if (aState.manifest() != nullptr) {
    const auto* packed = reinterpret_cast<const char*>(aState.manifest()->data());
    state.manifest = Inflate({ packed, aState.manifest()->size() }, kMaxUnpackedBytes);
    if (!state.manifest)
      return tl::unexpected(CodecError{ "state reply: malformed compressed manifest" });
  }
  if (aState.departures() != nullptr) {
    for (const wire::Departure* departure : *aState.departures())
      state.departures.push_back({ .instance = BackendId(departure->instance()->str()),
                                   .startTimeMs = departure->start_time_ms(),
                                   .report = departure->report(),
                                   .epoch = departure->epoch() });
  }
  if (aState.evacuations() != nullptr) {
    for (const wire::LostEvacuation* evacuation : *aState.evacuations())
      state.evacuations[FailureDomainId(evacuation->failure_domain()->str())] =
        std::chrono::milliseconds(evacuation->remaining_ms());
  }
  return state;
}

Decoded<PeerMessage>
Decode(const wire::StateReply& aReply)
{
  StateReply reply{ .storeSteady = aReply.store_steady(),
                    .storeReachable = aReply.store_reachable(),
                    .answerAge = std::chrono::milliseconds(aReply.answer_age_ms()),
                    .epoch =
                      aReply.epoch() ? std::optional<uint64_t>(*aReply.epoch()) : std::nullopt };
  if (aReply.earlier() != nullptr) {
    auto earlier = Decode(*aReply.earlier());
    if (!earlier)
      return tl::unexpected(earlier.error());
    reply.earlier = std::move(*earlier);
  }
  if (aReply.delegates() != nullptr) {
    for (const wire::PeerEndpoint* delegate : *aReply.delegates()) {
      auto endpoint = DecodeEndpoint(*delegate);
      if (!endpoint)
        return tl::unexpected(endpoint.error());
      reply.delegates.push_back(std::move(*endpoint));
    }
  }
  if (aReply.sets() == nullptr)
    return reply;
  for (const wire::StateSet* set : *aReply.sets()) {
    if (set->kind() >= kObjectKindCount)
      return tl::unexpected(
        CodecError{ fmt::format("state reply: unknown object kind {}", set->kind()) });
    StateReply::Kind kind{ .kind = static_cast<ObjectKind>(set->kind()), .complete = set->whole() };
    kind.set.revision = { .epoch = set->epoch(), .number = set->revision() };
    if (set->objects() != nullptr)
      DecodeObjects(*set->objects(), kind.set);
    if (set->packed() != nullptr && set->packed()->size() > 0) {
      const auto* packed = reinterpret_cast<const char*>(set->packed()->data());
      const auto unpacked = UnpackObjects({ packed, set->packed()->size() }, kind.set);
      if (!unpacked)
        return tl::unexpected(unpacked.error());
    }
    if (set->removed() != nullptr) {
      for (const flatbuffers::String* name : *set->removed())
        kind.removed.push_back(name->str());
    }
    if (set->names() != nullptr) {
      const auto* packed = reinterpret_cast<const char*>(set->names()->data());
      ObjectSet all;
      const auto unpacked = UnpackObjects({ packed, set->names()->size() }, all);
      if (!unpacked)
        return tl::unexpected(unpacked.error());
      kind.names.emplace();
      for (const auto& [name, content] : all.objects)
        kind.names->insert(name);
    }
    reply.kinds.push_back(std::move(kind));
  }
  return reply;
}

Decoded<PeerMessage>
Decode(const wire::MemberList& aList)
{
  const auto* packed = reinterpret_cast<const char*>(aList.packed()->data());
  const auto bytes = Inflate({ packed, aList.packed()->size() }, kMaxUnpackedBytes);
  if (!bytes)
    return tl::unexpected(CodecError{ "member list: malformed compression" });
  auto envelope = DecodeStream(*bytes);
  if (!envelope)
    return tl::unexpected(envelope.error());
  auto* sync = std::get_if<MemberSync>(&envelope->message);
  if (sync == nullptr)
    return tl::unexpected(CodecError{ "member list: not a list of members" });
  return PeerMemberSync{ .sync = std::move(*sync) };
}

Decoded<PeerMessage>
DecodeBody(const wire::SteeringMessage& aMessage)
{
  switch (aMessage.body_type()) {
    case wire::SteeringBody::LoadReport:
      return Decode(*aMessage.body_as_LoadReport());
    case wire::SteeringBody::CrashNotice:
      return PeerCrashReport{ .reportId = aMessage.body_as_CrashNotice()->report_id(),
                              .fingerprint = aMessage.body_as_CrashNotice()->fingerprint() };
    case wire::SteeringBody::StateRequest:
      return Decode(*aMessage.body_as_StateRequest());
    case wire::SteeringBody::StateReply:
      return Decode(*aMessage.body_as_StateReply());
    case wire::SteeringBody::MemberList:
      return Decode(*aMessage.body_as_MemberList());
    default:
      return tl::unexpected(CodecError{ "peer message: unknown body type" });
  }
}

} // namespace

std::string
PackObjects(const std::map<std::string, std::string>& aObjects)
{
  FlatBufferBuilder builder;
  const auto entries = Encode(builder, aObjects);
  builder.Finish(wire::CreateObjectListDirect(builder, &entries));
  return Deflate({ reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() });
}

std::string
PackNames(const std::set<std::string>& aNames)
{
  std::map<std::string, std::string> objects;
  for (const std::string& name : aNames)
    objects.emplace(name, "");
  return PackObjects(objects);
}

std::string
EncodePeer(const VmId& aSender, const PeerMessage& aMessage)
{
  FlatBufferBuilder builder;
  const auto sender = builder.CreateString(aSender.Value());
  const Body body =
    std::visit([&builder](const auto& aBody) { return Encode(builder, aBody); }, aMessage);
  builder.Finish(wire::CreateSteeringMessage(builder, sender, body.type, body.table));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

Decoded<PeerEnvelope>
DecodePeer(std::string_view aBytes)
{
  const auto* bytes = reinterpret_cast<const uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(bytes, aBytes.size());
  if (!wire::VerifySteeringMessageBuffer(verifier))
    return tl::unexpected(CodecError{ "peer message: malformed" });
  const wire::SteeringMessage* message = wire::GetSteeringMessage(bytes);
  auto body = DecodeBody(*message);
  if (!body)
    return tl::unexpected(body.error());
  return PeerEnvelope{ .sender = VmId(message->sender()->str()), .message = std::move(*body) };
}

} // namespace dfm
