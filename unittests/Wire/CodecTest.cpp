#include "dragonflymoor/Wire/Codec.h"
#include "dragonflymoor/Wire/Framing.h"
#include <criterion/criterion.h>
#include <limits>
#include <rapidcheck.h>

using namespace dfm;

namespace {

std::string
AnyText()
{
  return *rc::gen::arbitrary<std::string>();
}

uint64_t
AnyNumber()
{
  return *rc::gen::arbitrary<uint64_t>();
}

bool
AnyBool()
{
  return *rc::gen::arbitrary<bool>();
}

double
AnyAmount()
{
  return static_cast<double>(*rc::gen::inRange<int64_t>(0, 1LL << 50)) / 8;
}

template<typename Enum>
Enum
AnyEnumerator(Enum aLast)
{
  return static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(aLast) + 1));
}

template<typename T, size_t N>
std::array<T, N>
AnyArray()
{
  std::array<T, N> values;
  for (T& value : values)
    value = *rc::gen::arbitrary<T>();
  return values;
}

Duration
AnyDuration()
{
  return Duration(*rc::gen::inRange<int64_t>(0, 1LL << 60));
}

Endpoint
AnyEndpoint()
{
  const auto byte = [] { return std::to_string(*rc::gen::arbitrary<uint8_t>()); };
  const std::string address = *rc::gen::arbitrary<bool>()
                                ? byte() + "." + byte() + "." + byte() + "." + byte()
                                : "fd00::" + byte();
  return { .address = address, .port = *rc::gen::arbitrary<uint16_t>() };
}

Vm
AnyVm()
{
  return { .id = VmId(AnyText()),
           .region = RegionId(AnyText()),
           .failureDomain = FailureDomainId(AnyText()),
           .callers = AnyEndpoint(),
           .peers = AnyEndpoint() };
}

std::vector<MemberUpdate>
AnyUpdates()
{
  std::vector<MemberUpdate> updates(*rc::gen::inRange<size_t>(0, 4));
  for (MemberUpdate& update : updates) {
    update = { .vm = AnyVm(),
               .incarnation = { AnyNumber() },
               .startedAtMs = AnyNumber(),
               .sequence = *rc::gen::arbitrary<uint32_t>(),
               .state = AnyEnumerator(MemberState::Left),
               .leaving = AnyBool(),
               .listVersions = AnyArray<ListVersion, kListCount>() };
  }
  return updates;
}

PoolState
AnyPoolState()
{
  return { .pool = { .service = ServiceId(AnyText()), .failureDomain = FailureDomainId(AnyText()) },
           .owner = { AnyNumber() },
           .slots = *rc::gen::arbitrary<uint32_t>(),
           .inFlight = *rc::gen::arbitrary<uint32_t>(),
           .queued = AnyArray<uint32_t, kRankCount>() };
}

RequestHead
AnyHead()
{
  RequestHead head;
  head.id = { AnyNumber() };
  head.workspace = WorkspaceId(AnyText());
  head.plan = PlanId(AnyText());
  head.service = ServiceId(AnyText());
  head.rank = AnyEnumerator(Rank::Bulk);
  if (AnyBool()) {
    head.order =
      OrderKey{ .key = AnyText(),
                .created = WallTime(std::chrono::milliseconds(*rc::gen::arbitrary<int64_t>())) };
  }
  head.firstCopy = AnyBool();
  head.fingerprint = AnyNumber();
  head.requestBytes = AnyNumber();
  if (AnyBool())
    head.forwardedBy = VmId(AnyText());
  if (AnyBool())
    head.forwardedFrom = RegionId(AnyText());
  if (AnyBool())
    head.claimer = VmInstance{ .vm = VmId(AnyText()), .incarnation = { AnyNumber() } };
  return head;
}

ForwardReply
AnyForwardReply()
{
  ForwardReply reply;
  reply.id = { AnyNumber() };
  reply.outcome = AnyEnumerator(Outcome::Unknown);
  reply.reason = AnyEnumerator(Reason::CallerGone);
  if (AnyBool())
    reply.owner = VmId(AnyText());
  if (AnyBool())
    reply.retryAfter = AnyDuration();
  if (AnyBool())
    reply.poolState = AnyPoolState();
  reply.content = AnyText();
  return reply;
}

Claim
AnyClaim()
{
  return { .key = { .high = AnyNumber(), .low = AnyNumber() },
           .state = AnyEnumerator(ClaimState::Refused),
           .claimer = { .vm = VmId(AnyText()), .incarnation = { AnyNumber() } } };
}

ShareKey
AnyShareKey()
{
  return { .kind = AnyEnumerator(ShareKind::LinkBytes), .name = AnyText() };
}

StreamMessage
AnyStreamMessage(size_t aIndex)
{
  switch (aIndex) {
    case 0:
      return ForwardRequest{
        .id = { AnyNumber() }, .head = AnyHead(), .timeLeft = AnyDuration(), .content = AnyText()
      };
    case 1:
      return AnyForwardReply();
    case 2:
      return ForwardCancel{ .id = { AnyNumber() } };
    case 3:
      return AnyPoolState();
    case 4:
      return ClaimRequest{ .nonce = AnyNumber(), .window = AnyNumber(), .claim = AnyClaim() };
    case 5:
      return ClaimReply{ .nonce = AnyNumber(), .storeAnswered = AnyBool(), .inForce = AnyClaim() };
    case 6:
      return ShareRequest{ .nonce = AnyNumber(), .key = AnyShareKey(), .amount = AnyAmount() };
    case 7:
      return ShareGrant{
        .nonce = AnyNumber(), .key = AnyShareKey(), .amount = AnyAmount(), .spare = AnyAmount()
      };
    case 8:
      return ShareReturn{ .nonce = AnyNumber(), .key = AnyShareKey() };
    case 9:
      return CrashReport{ .reportId = AnyNumber(),
                          .workspace = WorkspaceId(AnyText()),
                          .fingerprint = AnyNumber(),
                          .age = AnyDuration() };
    case 10:
      return ListRequest{ .list = AnyEnumerator(ListName::Roster), .atLeast = AnyNumber() };
    case 11:
      return ListReply{ .list = AnyEnumerator(ListName::Roster),
                        .version = AnyNumber(),
                        .content = AnyText() };
    default:
      return MemberSync{ .wantsReply = AnyBool(), .members = AnyUpdates() };
  }
}

StreamMessage
AnyStreamMessage()
{
  return AnyStreamMessage(*rc::gen::inRange<size_t>(0, std::variant_size_v<StreamMessage>));
}

DatagramMessage
AnyDatagram()
{
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      return Probe{ .nonce = AnyNumber(), .updates = AnyUpdates() };
    case 1:
      return ProbeAck{ .nonce = AnyNumber(), .updates = AnyUpdates() };
    default:
      return IndirectProbe{ .nonce = AnyNumber(),
                            .target = VmId(AnyText()),
                            .updates = AnyUpdates() };
  }
}

/// Changes some bytes, cuts the end off, or both.
std::string
Damaged(std::string aBytes)
{
  for (size_t left = *rc::gen::inRange<size_t>(0, 6); left > 0 && !aBytes.empty(); --left)
    aBytes[*rc::gen::inRange<size_t>(0, aBytes.size())] = *rc::gen::arbitrary<char>();
  if (AnyBool())
    aBytes.resize(*rc::gen::inRange<size_t>(0, aBytes.size() + 1));
  return aBytes;
}

/// A decoder keeps its promise when it gives a message, or an error that says what is wrong.
template<typename T>
void
AssertMessageOrError(const Decoded<T>& aDecoded)
{
  if (!aDecoded)
    RC_ASSERT(aDecoded.error().message.find(": ") != std::string::npos);
}

/// Guards against a member update without a usable address: opening a connection to it ended the
/// process, and the update spread to every VM.
Test(Codec, RejectsAddressesThatAreNotIpAddresses)
{
  const std::string malformed[] = {
    "", "999.1", "10.0.0.1:80", "north-a", std::string("10.0.0.1\0x", 10)
  };
  for (const std::string& address : malformed) {
    for (const bool ofPeers : { false, true }) {
      const Endpoint good{ .address = "10.0.0.1", .port = 1 };
      const Endpoint bad{ .address = address, .port = 1 };
      const Vm vm{ .id = VmId("vm-1"),
                   .region = RegionId("north"),
                   .failureDomain = FailureDomainId("north-a"),
                   .callers = ofPeers ? good : bad,
                   .peers = ofPeers ? bad : good };
      const auto probe = DecodeDatagram(EncodeDatagram(Probe{ .updates = { { .vm = vm } } }));
      cr_assert(not probe.has_value());
      const auto sync =
        DecodeStream(EncodeStream(vm.id, MemberSync{ .members = { { .vm = vm } } }));
      cr_assert(not sync.has_value());
    }
  }
}

} // namespace

// Guards against a field that the codec forgets or mixes up with another.
Test(Codec, RoundTripOfStreamMessages)
{
  const bool ok = rc::check([] {
    for (size_t i = 0; i < std::variant_size_v<StreamMessage>; ++i) {
      const StreamEnvelope envelope{ .sender = VmId(AnyText()), .message = AnyStreamMessage(i) };
      RC_ASSERT(envelope.message.index() == i);
      const auto decoded = DecodeStream(EncodeStream(envelope.sender, envelope.message));
      RC_ASSERT(decoded.has_value());
      RC_ASSERT(*decoded == envelope);
    }
  });
  cr_assert(ok);
}

// Guards against a field that the codec forgets or mixes up with another.
Test(Codec, RoundTripOfDatagrams)
{
  const bool ok = rc::check([] {
    const DatagramMessage message = AnyDatagram();
    const auto decoded = DecodeDatagram(EncodeDatagram(message));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == message);
  });
  cr_assert(ok);
}

// Guards against a crash, a read outside the buffer or a silent failure on bytes of a faulty peer.
Test(Codec, DamagedBytesGiveAMessageOrAnError)
{
  const bool ok = rc::check([] {
    const std::string stream = EncodeStream(VmId(AnyText()), AnyStreamMessage());
    const std::string datagram = EncodeDatagram(AnyDatagram());
    for (int i = 0; i < 20; ++i) {
      AssertMessageOrError(DecodeStream(Damaged(stream)));
      AssertMessageOrError(DecodeDatagram(Damaged(datagram)));
    }
    AssertMessageOrError(DecodeStream(AnyText()));
  });
  cr_assert(ok);
}

// Guards against amounts that poison every sum they enter.
Test(Codec, RejectsAmountsThatAreNotFinite)
{
  for (const double amount : { std::numeric_limits<double>::quiet_NaN(),
                               std::numeric_limits<double>::infinity(),
                               -1.0 }) {
    const ShareRequest request{ .nonce = 1, .key = {}, .amount = amount };
    const auto decoded = DecodeStream(EncodeStream(VmId("a"), request));
    cr_assert(!decoded);
    cr_assert(decoded.error().message.starts_with("share request: amount "));
  }
}

// Guards against an enumerator of a newer program that is used as an index.
Test(Codec, RejectsUnknownEnumerators)
{
  const ListRequest request{ .list = static_cast<ListName>(7), .atLeast = 0 };
  const auto decoded = DecodeStream(EncodeStream(VmId("a"), request));
  cr_assert(!decoded);
  cr_assert(decoded.error().message == "list request: list 7 does not exist");
}

// Guards against frames that are lost or merged when reads end anywhere in the stream.
Test(Framing, AnyCutOfTheStreamGivesTheSameFrames)
{
  const bool ok = rc::check([] {
    std::vector<std::string> frames(*rc::gen::inRange<size_t>(0, 6));
    std::string stream;
    for (std::string& frame : frames) {
      frame = *rc::gen::nonEmpty<std::string>();
      const auto header = FrameHeader(frame.size());
      stream.append(header.data(), header.size());
      stream += frame;
    }
    FrameReader reader;
    std::vector<std::string> seen;
    while (!stream.empty()) {
      const auto cut = *rc::gen::inRange<size_t>(1, stream.size() + 1);
      reader.Append(std::string_view(stream).substr(0, cut));
      stream.erase(0, cut);
      for (auto next = reader.Next(); next->has_value(); next = reader.Next())
        seen.push_back(**next);
    }
    RC_ASSERT(seen == frames);
  });
  cr_assert(ok);
}

// Guards against a peer that makes the reader wait for, or allocate, any amount of memory.
Test(Framing, RejectsLengthsOutsideTheBounds)
{
  FrameReader tooLong;
  tooLong.Append(std::string("\x01\x00\x90\x00", 4));
  cr_assert(tooLong.Next().error().message == "frame: length 9437185 is above 9437184");
  FrameReader empty;
  empty.Append(std::string(4, '\0'));
  cr_assert(empty.Next().error().message == "frame: length is 0");
}
