#include "dragonflymoor/Orders/ClaimRouter.h"
#include "dragonflymoor/Orders/ClaimStore.h"
#include "dragonflymoor/Orders/OrderLedger.h"
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <rapidcheck.h>

using namespace dfm;

namespace {

constexpr WallTime kWall{ 1'800'000'000'000ms };
const VmInstance kSelf{ .vm = VmId("vm.1"), .incarnation = Incarnation{ 7 } };

Now
At(Duration aTime)
{
  return Now{ .monotonic = TimePoint(aTime),
              .wall = kWall + std::chrono::duration_cast<std::chrono::milliseconds>(aTime) };
}

RequestHead
MakeOrder(uint64_t aId, const std::string& aKey)
{
  RequestHead head;
  head.id = RequestId{ aId };
  head.workspace = WorkspaceId("w");
  head.service = ServiceId("orders");
  head.order = OrderKey{ .key = aKey, .created = kWall };
  head.deadline = TimePoint(2h);
  return head;
}

/// A ledger whose actions are recorded; bound keys of kSelf need no store.
struct LedgerFixture
{
  std::vector<std::pair<RequestId, Reply>> replies;
  std::vector<RequestId> proceeded;
  std::vector<RequestId> forgotten;
  OrderLedger ledger;

  explicit LedgerFixture(OrderLedgerOptions aOptions = { .self = kSelf })
    : ledger(std::move(aOptions),
             OrderLedgerHooks{
               .requestClaim = [](Now, ClaimTicket, uint64_t, const Claim&) {},
               .proceed = [this](Now, RequestId aId) { proceeded.push_back(aId); },
               .withdraw = [](Now, RequestId) { return true; },
               .forwardToClaimer = [](Now, RequestId, const VmInstance&) {},
               .reply = [this](Now,
                               RequestId aId,
                               const Reply& aReply) { replies.emplace_back(aId, aReply); },
               .forgetAnswer = [this](RequestId aId) { forgotten.push_back(aId); },
               .isAlive = [](const VmInstance&) { return true; },
             })
  {
  }

  void Answer(uint64_t aId)
  {
    Reply reply;
    reply.outcome = Outcome::Answered;
    reply.source = AnswerSource::Attempt;
    cr_assert(ledger.BeginDispatch(At(0s), RequestId{ aId }));
    ledger.OnFinished(At(0s), RequestId{ aId }, reply, 100);
  }
};

std::string
BoundKey(const std::string& aTail)
{
  return BoundKeyPrefix(kSelf) + aTail;
}

struct KeyCase
{
  char key[64];
  long createdMs; ///< Relative to now.
  int refused;
  Reason reason;
};

} // namespace

ParameterizedTestParameters(Key, Validation)
{
  static KeyCase cases[] = {
    { "k", 0, 0, Reason::None },
    { "k", -3'600'000, 0, Reason::None },
    { "k", -3'600'001, 1, Reason::KeyExpired },
    { "k", 120'000, 0, Reason::None },
    { "k", 120'001, 1, Reason::BadRequest },
    { "", 0, 1, Reason::BadRequest },
    { "a b", 0, 1, Reason::BadRequest },
    { "a\x7f", 0, 1, Reason::BadRequest },
  };
  return cr_make_param_array(KeyCase, cases, sizeof(cases) / sizeof(KeyCase));
}

// Guards against keys that are accepted after their record may be gone, or that break the text
// form.
ParameterizedTest(KeyCase* aCase, Key, Validation)
{
  const OrderKey key{ .key = aCase->key,
                      .created = kWall + std::chrono::milliseconds(aCase->createdMs) };
  const auto refusal = ValidateOrderKey(key, kWall);
  cr_assert(refusal.has_value() == (aCase->refused == 1));
  cr_assert(!refusal || refusal->reason == aCase->reason);
}

// Guards against a bound key that two VMs read differently.
Test(Key, BoundKeysNameTheirRun)
{
  cr_assert(ParseBoundKey(BoundKey("x.y")) == kSelf);
  for (const char* free : { "b.",
                            "b.vm.7.x",
                            "b..0000000000000007.x",
                            "b.v%2E.0000000000000007.x",
                            "b.vm.0000000000000007.",
                            "B.vm.0000000000000007.x" })
    cr_assert(!ParseBoundKey(free), "%s", free);
}

// Guards against claims that are lost or changed by a rewrite of their object.
Test(ClaimText, RoundTripsAndRefusesWhatItCannotRead)
{
  const bool ok = rc::check([](const std::vector<std::pair<uint64_t, std::string>>& aClaims) {
    ClaimMap claims;
    for (const auto& [number, name] : aClaims) {
      const Hash128 key{ .high = number, .low = ~number };
      claims[key] = Claim{ .key = key,
                           .state = number % 2 == 0 ? ClaimState::Claimed : ClaimState::Refused,
                           .claimer = { VmId(name), Incarnation{ number } } };
    }
    const std::string text = FormatClaims(claims);
    RC_ASSERT(ParseClaims("o", text) == claims);
    const size_t cut = *rc::gen::inRange<size_t>(0, text.size());
    const auto part = ParseClaims("o", text.substr(0, cut));
    // A cut at the end of a line cannot be told from a shorter object.
    RC_ASSERT(!part || (cut > 0 && text[cut - 1] == '\n'));
  });
  cr_assert(ok);
}

// Guards against an object above the store's limit, which could never be written again.
Test(ClaimStore, RefusesClaimsBeyondTheObjectLimit)
{
  std::vector<StoreCall> calls;
  std::vector<ClaimVerdict> verdicts;
  ClaimStore store(ClaimStoreOptions{ .maxObjectBytes = 150 },
                   ClaimStoreHooks{ .callStore =
                                      [&](const StoreCall& aCall) {
                                        calls.push_back(aCall);
                                        return StoreCallId{ calls.size() };
                                      },
                                    .decided =
                                      [&](Now, ClaimTicket, const ClaimVerdict& aVerdict) {
                                        verdicts.push_back(aVerdict);
                                      },
                                    .deletesShard = [](uint32_t) { return false; },
                                    .count = [](std::string_view) {} });
  const uint64_t window = ClaimWindowOf(kWall);
  for (uint64_t i = 0; i < 3; ++i)
    store.Submit(At(0s), ClaimTicket{ i }, window, Claim{ .key = { 0, i }, .claimer = kSelf });
  store.OnStoreResult(At(1ms),
                      StoreCallId{ 1 },
                      StoreResult{ .status = StoreStatus::NotFound, .version = 0, .content = "" });
  cr_assert(calls.size() == 2 && calls[1].content.size() <= 150);
  cr_assert(verdicts.size() == 1 && !verdicts[0].storeAnswered);
  store.OnStoreResult(At(2ms),
                      StoreCallId{ 2 },
                      StoreResult{ .status = StoreStatus::Ok, .version = 1, .content = "" });
  cr_assert(verdicts.size() == 3 && verdicts[2].storeAnswered);
}

// Guards against more than one put for an object in 50 ms, and against deletion of windows that are
// still needed.
Test(ClaimStore, BoundsItsWritesAndDeletions)
{
  std::vector<std::pair<TimePoint, StoreCall>> calls;
  TimePoint now;
  ClaimStore store(ClaimStoreOptions{},
                   ClaimStoreHooks{ .callStore =
                                      [&](const StoreCall& aCall) {
                                        calls.emplace_back(now, aCall);
                                        return StoreCallId{ calls.size() };
                                      },
                                    .decided = [](Now, ClaimTicket, const ClaimVerdict&) {},
                                    .deletesShard = [](uint32_t aShard) { return aShard == 3; },
                                    .count = [](std::string_view) {} });
  uint64_t version = 0;
  size_t answered = 0;
  for (uint64_t ms = 0; ms < 4000; ++ms) {
    now = TimePoint(Duration(1ms) * ms);
    const Claim claim{ .key = { 0, ms }, .claimer = kSelf };
    store.Submit(At(now.time_since_epoch()), ClaimTicket{ ms }, ClaimWindowOf(kWall), claim);
    store.OnTick(At(now.time_since_epoch()));
    for (; answered < calls.size(); ++answered)
      store.OnStoreResult(
        At(now.time_since_epoch()),
        StoreCallId{ answered + 1 },
        StoreResult{ .status = StoreStatus::Ok, .version = ++version, .content = "claims 1\n" });
  }
  size_t puts = 0;
  size_t deletions = 0;
  for (const auto& [at, call] : calls) {
    puts += call.kind == StoreCall::Kind::Put ? 1 : 0;
    if (call.kind != StoreCall::Kind::Delete)
      continue;
    ++deletions;
    const std::string needed = ClaimObjectName(ClaimWindowOf(kWall - 65min), 3);
    cr_assert(call.object < needed, "%s", call.object.c_str());
  }
  cr_assert(puts >= 40 && puts <= 80, "%zu puts in 4 s", puts);
  cr_assert(deletions >= 7 && deletions <= 9, "%zu deletions in 4 s", deletions);
}

// Guards against a caller that makes one put for each order by spreading its creation times, and
// against objects that never get their turn.
Test(ClaimStore, BoundsThePutsOfAllObjects)
{
  size_t puts = 0;
  std::vector<std::pair<StoreCallId, StoreCall>> calls;
  size_t held = 0;
  ClaimStore store(ClaimStoreOptions{ .submitTimeout = 1h },
                   ClaimStoreHooks{ .callStore =
                                      [&](const StoreCall& aCall) {
                                        puts += aCall.kind == StoreCall::Kind::Put ? 1 : 0;
                                        calls.emplace_back(StoreCallId{ calls.size() + 1 }, aCall);
                                        return calls.back().first;
                                      },
                                    .decided =
                                      [&](Now, ClaimTicket, const ClaimVerdict& aVerdict) {
                                        held += aVerdict.storeAnswered ? 1 : 0;
                                      },
                                    .deletesShard = [](uint32_t) { return false; },
                                    .count = [](std::string_view) {} });
  constexpr uint64_t kWindows = 340;
  for (uint64_t i = 0; i < kWindows; ++i)
    store.Submit(At(0s), ClaimTicket{ i }, ClaimWindowOf(kWall) - i, Claim{ .claimer = kSelf });
  size_t answered = 0;
  for (Duration time = 0ms; time < 1s; time += 20ms) {
    for (; answered < calls.size(); ++answered) {
      const bool put = calls[answered].second.kind == StoreCall::Kind::Put;
      store.OnStoreResult(At(time),
                          calls[answered].first,
                          StoreResult{ .status = put ? StoreStatus::Ok : StoreStatus::NotFound,
                                       .version = put ? 1U : 0U,
                                       .content = "" });
    }
    store.OnTick(At(time));
  }
  cr_assert(puts >= 120 && puts <= 141, "%zu puts in 1 s", puts);
  for (Duration time = 1s; time < 4s; time += 20ms) {
    store.OnTick(At(time));
    for (; answered < calls.size(); ++answered)
      store.OnStoreResult(At(time),
                          calls[answered].first,
                          StoreResult{ .status = StoreStatus::Ok, .version = 1, .content = "" });
  }
  cr_assert(held == kWindows, "%zu of %zu claims", held, static_cast<size_t>(kWindows));
}

// Guards against a reply for another key, or of an earlier run, that decides a claim.
Test(ClaimRouter, IgnoresRepliesThatAreNotForItsClaim)
{
  std::vector<ClaimRequest> sent;
  std::vector<ClaimVerdict> decided;
  std::vector<ClaimTicket> submitted;
  ClaimRouter router(
    ClaimRouterOptions{ .self = kSelf, .storeRegion = RegionId("near") },
    ClaimRouterHooks{
      .sendRequest = [&](const Vm&, const ClaimRequest& aRequest) { sent.push_back(aRequest); },
      .sendReply = [](const VmId&, const ClaimReply&) {},
      .submit =
        [&](Now, ClaimTicket aTicket, uint64_t, const Claim&) { submitted.push_back(aTicket); },
      .decided =
        [&](Now, ClaimTicket, const ClaimVerdict& aVerdict) { decided.push_back(aVerdict); } },
    100);
  Vm other;
  other.id = VmId("other");
  other.region = RegionId("near");
  Vm self;
  self.id = kSelf.vm;
  router.SetMembers({ self, other });
  const Claim claim{ .key = { 1, 2 }, .claimer = kSelf };
  router.RequestClaim(At(0s), ClaimTicket{ 1 }, 5, claim);
  cr_assert(sent.size() == 1 && submitted.empty(), "the VM of the store's region batches");
  ClaimReply wrong{ .nonce = sent[0].nonce, .storeAnswered = true, .inForce = claim };
  wrong.inForce.key.low = 3;
  router.OnClaimReply(At(1ms), other.id, wrong);
  cr_assert(decided.empty());
  router.OnTick(At(400ms));
  cr_assert(submitted.size() == 1, "no reply in time: the VM writes itself");
  router.OnSubmitted(
    At(500ms), submitted[0], ClaimVerdict{ .storeAnswered = true, .inForce = claim });
  router.OnClaimReply(
    At(501ms),
    other.id,
    ClaimReply{ .nonce = sent[0].nonce, .storeAnswered = true, .inForce = claim });
  cr_assert(decided.size() == 1, "a late reply decides nothing");
}

// Guards against a second dispatch of one order, and against a dispatch after its claim may be
// gone.
Test(OrderLedger, DispatchesOnceAndOnlyInTime)
{
  LedgerFixture fixture;
  fixture.ledger.OnCopy(At(0s), MakeOrder(1, BoundKey("a")));
  cr_assert(fixture.ledger.BeginDispatch(At(1s), RequestId{ 1 }));
  cr_assert(!fixture.ledger.BeginDispatch(At(1s), RequestId{ 1 }));
  fixture.ledger.OnCopy(At(0s), MakeOrder(2, BoundKey("b")));
  cr_assert(!fixture.ledger.BeginDispatch(At(61min), RequestId{ 2 }));
  cr_assert(fixture.replies.size() == 1 && fixture.replies[0].second.reason == Reason::KeyExpired);
}

// Guards against an answer that goes to another request with the same key.
Test(OrderLedger, RepeatsAnswersOnlyToTheSameRequest)
{
  LedgerFixture fixture;
  fixture.ledger.OnCopy(At(0s), MakeOrder(1, BoundKey("a")));
  fixture.ledger.OnCopy(At(0s), MakeOrder(2, BoundKey("a")));
  fixture.Answer(1);
  RequestHead different = MakeOrder(3, BoundKey("a"));
  different.fingerprint = 99;
  fixture.ledger.OnCopy(At(0s), different);
  fixture.ledger.OnCopy(At(0s), MakeOrder(4, BoundKey("a")));
  cr_assert(fixture.proceeded.size() == 1);
  cr_assert(fixture.replies.size() == 4);
  cr_assert(fixture.replies[0].second.source == AnswerSource::Attempt);
  cr_assert(fixture.replies[1].second.remembered == RequestId{ 1 });
  cr_assert(fixture.replies[2].second.reason == Reason::BadRequest);
  cr_assert(fixture.replies[3].second.remembered == RequestId{ 1 });
}

// Guards against unbounded memory, and against a key that runs again after it was forgotten.
Test(OrderLedger, ForgetsWithoutRunningAgain)
{
  LedgerFixture fixture(OrderLedgerOptions{ .self = kSelf, .maxOrders = 2, .maxAnswers = 1 });
  for (uint64_t i = 1; i <= 4; ++i) {
    RequestHead head = MakeOrder(i, BoundKey(std::to_string(i)));
    head.order->created += std::chrono::seconds(20) * i;
    fixture.ledger.OnCopy(At(0s), head);
    fixture.Answer(i);
  }
  cr_assert(fixture.forgotten.size() == 3 && fixture.ledger.AnswerCount() == 1);
  fixture.ledger.OnTick(At(1s));
  cr_assert(fixture.ledger.OrderCount() == 2);
  RequestHead reduced = MakeOrder(5, BoundKey("3"));
  reduced.order->created += std::chrono::seconds(60);
  fixture.ledger.OnCopy(At(1s), reduced);
  cr_assert(fixture.replies.back().second.outcome == Outcome::Answered);
  cr_assert(fixture.replies.back().second.source == AnswerSource::None);
  RequestHead forgotten = MakeOrder(6, BoundKey("1"));
  forgotten.order->created += std::chrono::seconds(20);
  fixture.ledger.OnCopy(At(1s), forgotten);
  cr_assert(fixture.replies.back().second.outcome == Outcome::Unknown);
  cr_assert(fixture.proceeded.size() == 4);
}
