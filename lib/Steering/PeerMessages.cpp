#include "dragonflymoor/Steering/PeerMessages.h"

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

/// Type and offset of an encoded message body.
struct Body
{
  wire::SteeringBody type = wire::SteeringBody::NONE;
  Offset<void> table;
};

Body
Encode(FlatBufferBuilder& aBuilder, const PeerLoad& aLoad)
{
  std::vector<uint32_t> instances;
  std::vector<uint8_t> inFlight;
  for (const InstanceLoad& load : aLoad.loads) {
    instances.push_back(load.instance);
    inFlight.push_back(static_cast<uint8_t>(std::min(load.inFlight, kMaxInFlight)));
  }
  const int64_t lifeMs = std::chrono::duration_cast<std::chrono::milliseconds>(aLoad.life).count();
  return { wire::SteeringBody::LoadReport,
           wire::CreateLoadReportDirect(
             aBuilder, &instances, &inFlight, static_cast<uint16_t>(std::min(lifeMs, kMaxLifeMs)))
             .Union() };
}

Body
Encode(FlatBufferBuilder& aBuilder, const PeerCrashReport& aCrash)
{
  return { wire::SteeringBody::CrashNotice,
           wire::CreateCrashNotice(aBuilder, aCrash.reportId, aCrash.fingerprint).Union() };
}

Body
Encode(FlatBufferBuilder& aBuilder, const StateRequest& aRequest)
{
  const auto revisions =
    aBuilder.CreateVector(aRequest.revisions.data(), aRequest.revisions.size());
  return { wire::SteeringBody::StateRequest,
           wire::CreateStateRequest(aBuilder, revisions).Union() };
}

Body
Encode(FlatBufferBuilder& aBuilder, const StateReply& aReply)
{
  std::vector<Offset<wire::StateSet>> sets;
  sets.reserve(aReply.kinds.size());
  for (const auto& [kind, set, complete, removed] : aReply.kinds) {
    std::vector<Offset<wire::ObjectEntry>> entries;
    entries.reserve(set.objects.size());
    for (const auto& [name, content] : set.objects)
      entries.push_back(wire::CreateObjectEntryDirect(aBuilder, name.c_str(), content.c_str()));
    std::vector<Offset<flatbuffers::String>> names;
    names.reserve(removed.size());
    for (const std::string& name : removed)
      names.push_back(aBuilder.CreateString(name));
    sets.push_back(wire::CreateStateSetDirect(
      aBuilder, static_cast<uint8_t>(kind), set.revision, &entries, complete, &names));
  }
  return {
    wire::SteeringBody::StateReply,
    wire::CreateStateReplyDirect(aBuilder, aReply.storeSteady, &sets, aReply.storeReachable).Union()
  };
}

Decoded<PeerMessage>
Decode(const wire::LoadReport& aReport)
{
  PeerLoad load{ .life = std::chrono::milliseconds(aReport.life_ms()) };
  const auto* instances = aReport.instances();
  const auto* inFlight = aReport.in_flight();
  if (instances == nullptr || inFlight == nullptr)
    return load;
  if (instances->size() != inFlight->size())
    return tl::unexpected(
      CodecError{ "load report: lists of instances and in-flight counts differ in length" });
  for (flatbuffers::uoffset_t i = 0; i < instances->size(); ++i)
    load.loads.push_back({ .instance = instances->Get(i), .inFlight = inFlight->Get(i) });
  return load;
}

Decoded<PeerMessage>
Decode(const wire::StateRequest& aRequest)
{
  StateRequest request;
  if (aRequest.revisions() == nullptr || aRequest.revisions()->size() != request.revisions.size())
    return tl::unexpected(CodecError{ "state request: wrong number of revisions" });
  for (size_t i = 0; i < request.revisions.size(); ++i)
    request.revisions[i] = aRequest.revisions()->Get(static_cast<flatbuffers::uoffset_t>(i));
  return request;
}

Decoded<PeerMessage>
Decode(const wire::StateReply& aReply)
{
  StateReply reply{ .storeSteady = aReply.store_steady(),
                    .storeReachable = aReply.store_reachable() };
  if (aReply.sets() == nullptr)
    return reply;
  for (const wire::StateSet* set : *aReply.sets()) {
    if (set->kind() >= kObjectKindCount)
      return tl::unexpected(
        CodecError{ fmt::format("state reply: unknown object kind {}", set->kind()) });
    StateReply::Kind kind{ .kind = static_cast<ObjectKind>(set->kind()), .complete = set->whole() };
    kind.set.revision = set->revision();
    if (set->objects() != nullptr) {
      for (const wire::ObjectEntry* entry : *set->objects())
        kind.set.objects[entry->name()->str()] = entry->content()->str();
    }
    if (set->removed() != nullptr) {
      for (const flatbuffers::String* name : *set->removed())
        kind.removed.push_back(name->str());
    }
    reply.kinds.push_back(std::move(kind));
  }
  return reply;
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
    default:
      return tl::unexpected(CodecError{ "peer message: unknown body type" });
  }
}

} // namespace

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
