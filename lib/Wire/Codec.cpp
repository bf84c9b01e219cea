#include "dragonflymoor/Wire/Codec.h"

#include "messages_generated.h"
#include <cmath>
#include <fmt/format.h>
#include <limits>

namespace dfm {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

template<typename T>
using Items = flatbuffers::Vector<Offset<T>>;

using Bytes = flatbuffers::Vector<uint8_t>;

/// Initial buffer beyond the content of a message, enough for the tables of most messages.
constexpr size_t kTableBytes = 1024;

// Encoding

auto
Text(FlatBufferBuilder& aBuilder, std::string_view aText)
{
  return aBuilder.CreateString(aText.data(), aText.size());
}

auto
Content(FlatBufferBuilder& aBuilder, std::string_view aContent)
{
  return aBuilder.CreateVector(reinterpret_cast<const uint8_t*>(aContent.data()), aContent.size());
}

template<typename IdType>
Offset<flatbuffers::String>
OptionalText(FlatBufferBuilder& aBuilder, const std::optional<IdType>& aId)
{
  return aId ? Text(aBuilder, aId->Value()) : Offset<flatbuffers::String>();
}

auto
Pack(FlatBufferBuilder& aBuilder, const Endpoint& aEndpoint)
{
  return wire::CreateEndpoint(aBuilder, Text(aBuilder, aEndpoint.address), aEndpoint.port);
}

auto
Pack(FlatBufferBuilder& aBuilder, const Vm& aVm)
{
  const auto id = Text(aBuilder, aVm.id.Value());
  const auto region = Text(aBuilder, aVm.region.Value());
  const auto failureDomain = Text(aBuilder, aVm.failureDomain.Value());
  const auto callers = Pack(aBuilder, aVm.callers);
  const auto peers = Pack(aBuilder, aVm.peers);
  return wire::CreateVm(aBuilder, id, region, failureDomain, callers, peers);
}

auto
Pack(FlatBufferBuilder& aBuilder, const MemberUpdate& aUpdate)
{
  const auto vm = Pack(aBuilder, aUpdate.vm);
  const auto versions =
    aBuilder.CreateVector(aUpdate.listVersions.data(), aUpdate.listVersions.size());
  return wire::CreateMemberUpdate(aBuilder,
                                  vm,
                                  aUpdate.incarnation.value,
                                  aUpdate.startedAtMs,
                                  aUpdate.sequence,
                                  static_cast<uint8_t>(aUpdate.state),
                                  aUpdate.leaving,
                                  versions);
}

auto
Pack(FlatBufferBuilder& aBuilder, const std::vector<MemberUpdate>& aUpdates)
{
  std::vector<Offset<wire::MemberUpdate>> items;
  items.reserve(aUpdates.size());
  for (const MemberUpdate& update : aUpdates)
    items.push_back(Pack(aBuilder, update));
  return aBuilder.CreateVector(items);
}

auto
Pack(FlatBufferBuilder& aBuilder, const Probe& aProbe)
{
  return wire::CreateProbe(aBuilder, aProbe.nonce, Pack(aBuilder, aProbe.updates));
}

auto
Pack(FlatBufferBuilder& aBuilder, const ProbeAck& aAck)
{
  return wire::CreateProbeAck(aBuilder, aAck.nonce, Pack(aBuilder, aAck.updates));
}

auto
Pack(FlatBufferBuilder& aBuilder, const IndirectProbe& aProbe)
{
  const auto target = Text(aBuilder, aProbe.target.Value());
  return wire::CreateIndirectProbe(aBuilder, aProbe.nonce, target, Pack(aBuilder, aProbe.updates));
}

auto
Pack(FlatBufferBuilder& aBuilder, const MemberSync& aSync)
{
  return wire::CreateMemberSync(aBuilder, aSync.wantsReply, Pack(aBuilder, aSync.members));
}

auto
Pack(FlatBufferBuilder& aBuilder, const PoolState& aState)
{
  const auto service = Text(aBuilder, aState.pool.service.Value());
  const auto failureDomain = Text(aBuilder, aState.pool.failureDomain.Value());
  const auto queued = aBuilder.CreateVector(aState.queued.data(), aState.queued.size());
  return wire::CreatePoolState(
    aBuilder, service, failureDomain, aState.owner.value, aState.slots, aState.inFlight, queued);
}

auto
Pack(FlatBufferBuilder& aBuilder, const OrderKey& aOrder)
{
  return wire::CreateOrderKey(
    aBuilder, Text(aBuilder, aOrder.key), aOrder.created.time_since_epoch().count());
}

auto
Pack(FlatBufferBuilder& aBuilder, const VmInstance& aInstance)
{
  return wire::CreateVmInstance(
    aBuilder, Text(aBuilder, aInstance.vm.Value()), aInstance.incarnation.value);
}

auto
Pack(FlatBufferBuilder& aBuilder, const RequestHead& aHead)
{
  const auto workspace = Text(aBuilder, aHead.workspace.Value());
  const auto plan = Text(aBuilder, aHead.plan.Value());
  const auto service = Text(aBuilder, aHead.service.Value());
  const auto order = aHead.order ? Pack(aBuilder, *aHead.order) : Offset<wire::OrderKey>();
  const auto forwardedBy = OptionalText(aBuilder, aHead.forwardedBy);
  const auto forwardedFrom = OptionalText(aBuilder, aHead.forwardedFrom);
  const auto claimer = aHead.claimer ? Pack(aBuilder, *aHead.claimer) : Offset<wire::VmInstance>();
  return wire::CreateRequestHead(aBuilder,
                                 aHead.id.value,
                                 workspace,
                                 plan,
                                 service,
                                 static_cast<uint8_t>(aHead.rank),
                                 order,
                                 aHead.firstCopy,
                                 aHead.fingerprint,
                                 aHead.requestBytes,
                                 forwardedBy,
                                 forwardedFrom,
                                 claimer);
}

auto
Pack(FlatBufferBuilder& aBuilder, const ForwardRequest& aRequest)
{
  const auto head = Pack(aBuilder, aRequest.head);
  const auto content = Content(aBuilder, aRequest.content);
  return wire::CreateForwardRequest(
    aBuilder, aRequest.id.value, head, aRequest.timeLeft.count(), content);
}

auto
Pack(FlatBufferBuilder& aBuilder, const ForwardReply& aReply)
{
  const auto owner = OptionalText(aBuilder, aReply.owner);
  const auto poolState =
    aReply.poolState ? Pack(aBuilder, *aReply.poolState) : Offset<wire::PoolState>();
  const auto content = Content(aBuilder, aReply.content);
  const auto retryAfter = aReply.retryAfter
                            ? flatbuffers::Optional<int64_t>(aReply.retryAfter->count())
                            : flatbuffers::nullopt;
  return wire::CreateForwardReply(aBuilder,
                                  aReply.id.value,
                                  static_cast<uint8_t>(aReply.outcome),
                                  static_cast<uint8_t>(aReply.reason),
                                  owner,
                                  retryAfter,
                                  poolState,
                                  content);
}

auto
Pack(FlatBufferBuilder& aBuilder, const ForwardCancel& aCancel)
{
  return wire::CreateForwardCancel(aBuilder, aCancel.id.value);
}

auto
Pack(FlatBufferBuilder& aBuilder, const Claim& aClaim)
{
  return wire::CreateClaim(aBuilder,
                           aClaim.key.high,
                           aClaim.key.low,
                           static_cast<uint8_t>(aClaim.state),
                           Pack(aBuilder, aClaim.claimer));
}

auto
Pack(FlatBufferBuilder& aBuilder, const ClaimRequest& aRequest)
{
  return wire::CreateClaimRequest(
    aBuilder, aRequest.nonce, aRequest.window, Pack(aBuilder, aRequest.claim));
}

auto
Pack(FlatBufferBuilder& aBuilder, const ClaimReply& aReply)
{
  return wire::CreateClaimReply(
    aBuilder, aReply.nonce, aReply.storeAnswered, Pack(aBuilder, aReply.inForce));
}

auto
Pack(FlatBufferBuilder& aBuilder, const ShareKey& aKey)
{
  return wire::CreateShareKey(aBuilder, static_cast<uint8_t>(aKey.kind), Text(aBuilder, aKey.name));
}

auto
Pack(FlatBufferBuilder& aBuilder, const ShareRequest& aRequest)
{
  return wire::CreateShareRequest(
    aBuilder, aRequest.nonce, Pack(aBuilder, aRequest.key), aRequest.amount);
}

auto
Pack(FlatBufferBuilder& aBuilder, const ShareGrant& aGrant)
{
  return wire::CreateShareGrant(
    aBuilder, aGrant.nonce, Pack(aBuilder, aGrant.key), aGrant.amount, aGrant.spare);
}

auto
Pack(FlatBufferBuilder& aBuilder, const ShareReturn& aReturn)
{
  return wire::CreateShareReturn(aBuilder, aReturn.nonce, Pack(aBuilder, aReturn.key));
}

auto
Pack(FlatBufferBuilder& aBuilder, const CrashReport& aReport)
{
  return wire::CreateCrashReport(aBuilder,
                                 aReport.reportId,
                                 Text(aBuilder, aReport.workspace.Value()),
                                 aReport.fingerprint,
                                 aReport.age.count());
}

auto
Pack(FlatBufferBuilder& aBuilder, const ListRequest& aRequest)
{
  return wire::CreateListRequest(aBuilder, static_cast<uint8_t>(aRequest.list), aRequest.atLeast);
}

auto
Pack(FlatBufferBuilder& aBuilder, const ListReply& aReply)
{
  return wire::CreateListReply(
    aBuilder, static_cast<uint8_t>(aReply.list), aReply.version, Content(aBuilder, aReply.content));
}

std::string
Finished(const FlatBufferBuilder& aBuilder)
{
  return { reinterpret_cast<const char*>(aBuilder.GetBufferPointer()), aBuilder.GetSize() };
}

/// Bytes that a message carries besides its tables.
size_t
ContentBytes(const StreamMessage& aMessage)
{
  return std::visit(
    [](const auto& aBody) -> size_t {
      if constexpr (requires { aBody.content; })
        return aBody.content.size();
      return 0;
    },
    aMessage);
}

// Decoding. Readers collect the first error instead of returning it, so that one message is read
// in one expression. The verifier has checked every offset and every required field before.

struct Reader
{
  std::string error;

  void Fail(std::string aMessage)
  {
    if (error.empty())
      error = std::move(aMessage);
  }

  template<typename E>
  E Enumerator(uint8_t aValue, E aLast, std::string_view aField)
  {
    if (aValue > static_cast<uint8_t>(aLast))
      Fail(fmt::format("{} {} does not exist", aField, aValue));
    return aValue > static_cast<uint8_t>(aLast) ? E{} : static_cast<E>(aValue);
  }

  template<typename T, size_t N>
  std::array<T, N> Array(const flatbuffers::Vector<T>& aVector, std::string_view aField)
  {
    std::array<T, N> values{};
    if (aVector.size() != N) {
      Fail(fmt::format("{} has {} elements instead of {}", aField, aVector.size(), N));
      return values;
    }
    for (size_t i = 0; i < N; ++i)
      values[i] = aVector.Get(static_cast<flatbuffers::uoffset_t>(i));
    return values;
  }

  double Amount(double aValue, std::string_view aField)
  {
    if (!std::isfinite(aValue) || aValue < 0)
      Fail(fmt::format("{} {} is not a finite amount of at least 0", aField, aValue));
    return aValue;
  }

  Duration NonNegative(int64_t aMicroseconds, std::string_view aField)
  {
    if (aMicroseconds < 0)
      Fail(fmt::format("{} {} us is negative", aField, aMicroseconds));
    return Duration(aMicroseconds);
  }

  Endpoint Read(const wire::Endpoint& aIn)
  {
    Endpoint endpoint{ .address = aIn.address()->str(), .port = aIn.port() };
    if (!IsIpAddress(endpoint.address))
      Fail("address is not an IP address");
    return endpoint;
  }

  Vm Read(const wire::Vm& aIn)
  {
    return { .id = VmId(aIn.id()->str()),
             .region = RegionId(aIn.region()->str()),
             .failureDomain = FailureDomainId(aIn.failure_domain()->str()),
             .callers = Read(*aIn.callers()),
             .peers = Read(*aIn.peers()) };
  }

  MemberUpdate Read(const wire::MemberUpdate& aIn)
  {
    return { .vm = Read(*aIn.vm()),
             .incarnation = { aIn.incarnation() },
             .startedAtMs = aIn.started_at_ms(),
             .sequence = aIn.sequence(),
             .state = Enumerator(aIn.state(), MemberState::Left, "state"),
             .leaving = aIn.leaving(),
             .listVersions =
               Array<ListVersion, kListCount>(*aIn.list_versions(), "list versions") };
  }

  std::vector<MemberUpdate> Read(const Items<wire::MemberUpdate>& aIn)
  {
    std::vector<MemberUpdate> updates;
    updates.reserve(aIn.size());
    for (const wire::MemberUpdate* update : aIn)
      updates.push_back(Read(*update));
    return updates;
  }

  Probe Read(const wire::Probe& aIn)
  {
    return { .nonce = aIn.nonce(), .updates = Read(*aIn.updates()) };
  }

  ProbeAck Read(const wire::ProbeAck& aIn)
  {
    return { .nonce = aIn.nonce(), .updates = Read(*aIn.updates()) };
  }

  IndirectProbe Read(const wire::IndirectProbe& aIn)
  {
    return { .nonce = aIn.nonce(),
             .target = VmId(aIn.target()->str()),
             .updates = Read(*aIn.updates()) };
  }

  MemberSync Read(const wire::MemberSync& aIn)
  {
    return { .wantsReply = aIn.wants_reply(), .members = Read(*aIn.members()) };
  }

  PoolState Read(const wire::PoolState& aIn)
  {
    return { .pool = { .service = ServiceId(aIn.service()->str()),
                       .failureDomain = FailureDomainId(aIn.failure_domain()->str()) },
             .owner = { aIn.owner() },
             .slots = aIn.slots(),
             .inFlight = aIn.in_flight(),
             .queued = Array<uint32_t, kRankCount>(*aIn.queued(), "queued") };
  }

  VmInstance Read(const wire::VmInstance& aIn)
  {
    return { .vm = VmId(aIn.vm()->str()), .incarnation = { aIn.incarnation() } };
  }

  RequestHead Read(const wire::RequestHead& aIn)
  {
    RequestHead head;
    head.id = { aIn.id() };
    head.workspace = WorkspaceId(aIn.workspace()->str());
    head.plan = PlanId(aIn.plan()->str());
    head.service = ServiceId(aIn.service()->str());
    head.rank = Enumerator(aIn.rank(), Rank::Bulk, "rank");
    head.firstCopy = aIn.first_copy();
    head.fingerprint = aIn.fingerprint();
    head.requestBytes = aIn.request_bytes();
    if (aIn.order() != nullptr) {
      head.order =
        OrderKey{ .key = aIn.order()->key()->str(),
                  .created = WallTime(std::chrono::milliseconds(aIn.order()->created_ms())) };
    }
    if (aIn.forwarded_by() != nullptr)
      head.forwardedBy = VmId(aIn.forwarded_by()->str());
    if (aIn.forwarded_from() != nullptr)
      head.forwardedFrom = RegionId(aIn.forwarded_from()->str());
    if (aIn.claimer() != nullptr)
      head.claimer = Read(*aIn.claimer());
    return head;
  }

  std::string Read(const Bytes& aIn)
  {
    return { reinterpret_cast<const char*>(aIn.data()), aIn.size() };
  }

  ForwardRequest Read(const wire::ForwardRequest& aIn)
  {
    return { .id = { aIn.id() },
             .head = Read(*aIn.head()),
             .timeLeft = NonNegative(aIn.time_left_us(), "time left"),
             .content = Read(*aIn.content()) };
  }

  ForwardReply Read(const wire::ForwardReply& aIn)
  {
    ForwardReply reply;
    reply.id = { aIn.id() };
    reply.outcome = Enumerator(aIn.outcome(), Outcome::Unknown, "outcome");
    reply.reason = Enumerator(aIn.reason(), Reason::CallerGone, "reason");
    reply.content = Read(*aIn.content());
    if (aIn.owner() != nullptr)
      reply.owner = VmId(aIn.owner()->str());
    if (aIn.retry_after_us())
      reply.retryAfter = NonNegative(*aIn.retry_after_us(), "retry after");
    if (aIn.pool_state() != nullptr)
      reply.poolState = Read(*aIn.pool_state());
    return reply;
  }

  ForwardCancel Read(const wire::ForwardCancel& aIn) { return { .id = { aIn.id() } }; }

  Claim Read(const wire::Claim& aIn)
  {
    return { .key = { .high = aIn.key_high(), .low = aIn.key_low() },
             .state = Enumerator(aIn.state(), ClaimState::Refused, "claim state"),
             .claimer = Read(*aIn.claimer()) };
  }

  ClaimRequest Read(const wire::ClaimRequest& aIn)
  {
    return { .nonce = aIn.nonce(), .window = aIn.window(), .claim = Read(*aIn.claim()) };
  }

  ClaimReply Read(const wire::ClaimReply& aIn)
  {
    return { .nonce = aIn.nonce(),
             .storeAnswered = aIn.store_answered(),
             .inForce = Read(*aIn.in_force()) };
  }

  ShareKey Read(const wire::ShareKey& aIn)
  {
    return { .kind = Enumerator(aIn.kind(), ShareKind::LinkBytes, "share kind"),
             .name = aIn.name()->str() };
  }

  ShareRequest Read(const wire::ShareRequest& aIn)
  {
    return { .nonce = aIn.nonce(),
             .key = Read(*aIn.key()),
             .amount = Amount(aIn.amount(), "amount") };
  }

  ShareGrant Read(const wire::ShareGrant& aIn)
  {
    return { .nonce = aIn.nonce(),
             .key = Read(*aIn.key()),
             .amount = Amount(aIn.amount(), "amount"),
             .spare = Amount(aIn.spare(), "spare") };
  }

  ShareReturn Read(const wire::ShareReturn& aIn)
  {
    return { .nonce = aIn.nonce(), .key = Read(*aIn.key()) };
  }

  CrashReport Read(const wire::CrashReport& aIn)
  {
    return { .reportId = aIn.report_id(),
             .workspace = WorkspaceId(aIn.workspace()->str()),
             .fingerprint = aIn.fingerprint(),
             .age = NonNegative(aIn.age_us(), "age") };
  }

  ListRequest Read(const wire::ListRequest& aIn)
  {
    return { .list = Enumerator(aIn.list(), ListName::Roster, "list"), .atLeast = aIn.at_least() };
  }

  ListReply Read(const wire::ListReply& aIn)
  {
    return { .list = Enumerator(aIn.list(), ListName::Roster, "list"),
             .version = aIn.version(),
             .content = Read(*aIn.content()) };
  }
};

static_assert(kListCount == 7, "a new list needs a new last enumerator in Reader");

/// Bytes at an address that suits every scalar, as the generated accessors read in place.
class Aligned
{
public:
  explicit Aligned(std::string_view aBytes)
    : bytes_(aBytes)
  {
    if (reinterpret_cast<uintptr_t>(aBytes.data()) % alignof(std::max_align_t) == 0)
      return;
    copy_.assign(aBytes.begin(), aBytes.end());
    bytes_ = std::string_view(copy_.data(), copy_.size());
  }

  const uint8_t* Data() const { return reinterpret_cast<const uint8_t*>(bytes_.data()); }
  size_t Size() const { return bytes_.size(); }

private:
  std::string_view bytes_;
  std::vector<char> copy_;
};

/// The root table of verified bytes, or null.
template<typename Root>
const Root*
Verified(const Aligned& aBytes)
{
  if (aBytes.Size() < sizeof(flatbuffers::uoffset_t))
    return nullptr;
  flatbuffers::Verifier verifier(aBytes.Data(), aBytes.Size());
  if (!verifier.VerifyBuffer<Root>(nullptr))
    return nullptr;
  return flatbuffers::GetRoot<Root>(aBytes.Data());
}

template<typename Message, typename Table>
Decoded<Message>
ReadBody(const Table& aTable, std::string_view aName)
{
  Reader reader;
  auto body = reader.Read(aTable);
  if (!reader.error.empty())
    return tl::unexpected(CodecError{ fmt::format("{}: {}", aName, reader.error) });
  return Message(std::move(body));
}

Decoded<StreamMessage>
ReadStreamBody(const wire::Stream& aStream)
{
  switch (aStream.body_type()) {
    case wire::StreamBody::ForwardRequest:
      return ReadBody<StreamMessage>(*aStream.body_as_ForwardRequest(), "forward request");
    case wire::StreamBody::ForwardReply:
      return ReadBody<StreamMessage>(*aStream.body_as_ForwardReply(), "forward reply");
    case wire::StreamBody::ForwardCancel:
      return ReadBody<StreamMessage>(*aStream.body_as_ForwardCancel(), "forward cancel");
    case wire::StreamBody::PoolState:
      return ReadBody<StreamMessage>(*aStream.body_as_PoolState(), "pool state");
    case wire::StreamBody::ClaimRequest:
      return ReadBody<StreamMessage>(*aStream.body_as_ClaimRequest(), "claim request");
    case wire::StreamBody::ClaimReply:
      return ReadBody<StreamMessage>(*aStream.body_as_ClaimReply(), "claim reply");
    case wire::StreamBody::ShareRequest:
      return ReadBody<StreamMessage>(*aStream.body_as_ShareRequest(), "share request");
    case wire::StreamBody::ShareGrant:
      return ReadBody<StreamMessage>(*aStream.body_as_ShareGrant(), "share grant");
    case wire::StreamBody::ShareReturn:
      return ReadBody<StreamMessage>(*aStream.body_as_ShareReturn(), "share return");
    case wire::StreamBody::CrashReport:
      return ReadBody<StreamMessage>(*aStream.body_as_CrashReport(), "crash report");
    case wire::StreamBody::ListRequest:
      return ReadBody<StreamMessage>(*aStream.body_as_ListRequest(), "list request");
    case wire::StreamBody::ListReply:
      return ReadBody<StreamMessage>(*aStream.body_as_ListReply(), "list reply");
    case wire::StreamBody::MemberSync:
      return ReadBody<StreamMessage>(*aStream.body_as_MemberSync(), "member sync");
    case wire::StreamBody::NONE:
      break;
  }
  return tl::unexpected(CodecError{ fmt::format("stream message: type {} does not exist",
                                                static_cast<unsigned>(aStream.body_type())) });
}

Decoded<DatagramMessage>
ReadDatagramBody(const wire::Datagram& aDatagram)
{
  switch (aDatagram.body_type()) {
    case wire::DatagramBody::Probe:
      return ReadBody<DatagramMessage>(*aDatagram.body_as_Probe(), "probe");
    case wire::DatagramBody::ProbeAck:
      return ReadBody<DatagramMessage>(*aDatagram.body_as_ProbeAck(), "probe ack");
    case wire::DatagramBody::IndirectProbe:
      return ReadBody<DatagramMessage>(*aDatagram.body_as_IndirectProbe(), "indirect probe");
    case wire::DatagramBody::NONE:
      break;
  }
  return tl::unexpected(CodecError{ fmt::format("datagram: type {} does not exist",
                                                static_cast<unsigned>(aDatagram.body_type())) });
}

template<typename UnionType>
constexpr UnionType
UnionTag(size_t aIndex)
{
  // NONE is 0; the alternatives of the variant and of the schema's union have the same order.
  return static_cast<UnionType>(aIndex + 1);
}

static_assert(std::variant_size_v<StreamMessage> == static_cast<size_t>(wire::StreamBody::MAX),
              "the schema lacks a stream message");
static_assert(std::variant_size_v<DatagramMessage> == static_cast<size_t>(wire::DatagramBody::MAX),
              "the schema lacks a datagram message");

} // namespace

std::string
EncodeDatagram(const DatagramMessage& aMessage)
{
  FlatBufferBuilder builder(kTableBytes);
  const auto body =
    std::visit([&](const auto& aBody) { return Pack(builder, aBody).Union(); }, aMessage);
  builder.Finish(
    wire::CreateDatagram(builder, UnionTag<wire::DatagramBody>(aMessage.index()), body));
  return Finished(builder);
}

Decoded<DatagramMessage>
DecodeDatagram(std::string_view aBytes)
{
  const Aligned bytes(aBytes);
  const auto* datagram = Verified<wire::Datagram>(bytes);
  if (datagram == nullptr)
    return tl::unexpected(CodecError{ "datagram: the buffer is malformed" });
  return ReadDatagramBody(*datagram);
}

std::string
EncodeStream(const VmId& aSender, const StreamMessage& aMessage)
{
  FlatBufferBuilder builder(kTableBytes + ContentBytes(aMessage));
  const auto sender = Text(builder, aSender.Value());
  const auto body =
    std::visit([&](const auto& aBody) { return Pack(builder, aBody).Union(); }, aMessage);
  builder.Finish(
    wire::CreateStream(builder, sender, UnionTag<wire::StreamBody>(aMessage.index()), body));
  return Finished(builder);
}

Decoded<StreamEnvelope>
DecodeStream(std::string_view aPayload)
{
  const Aligned bytes(aPayload);
  const auto* stream = Verified<wire::Stream>(bytes);
  if (stream == nullptr)
    return tl::unexpected(CodecError{ "stream message: the buffer is malformed" });
  Decoded<StreamMessage> message = ReadStreamBody(*stream);
  if (!message)
    return tl::unexpected(message.error());
  return StreamEnvelope{ .sender = VmId(stream->sender()->str()), .message = std::move(*message) };
}

} // namespace dfm
