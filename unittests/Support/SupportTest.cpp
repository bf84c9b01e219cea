#include "dragonflymoor/Support/ClosestName.h"
#include "dragonflymoor/Support/Compression.h"
#include "dragonflymoor/Support/Hash.h"
#include "dragonflymoor/Support/Log.h"
#include "dragonflymoor/Support/TransferDeadline.h"
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <cstring>
#include <rapidcheck.h>

using namespace dfm;

namespace {

struct LogCase
{
  char value[32];
  char expected[96];
};

} // namespace

ParameterizedTestParameters(Log, QuotesValues)
{
  static LogCase cases[] = {
    { "plain", "level=info component=test message=m key=plain" },
    { "two words", "level=info component=test message=m key=\"two words\"" },
    { "a\"b", "level=info component=test message=m key=\"a\\\"b\"" },
    { "line\nfeed", "level=info component=test message=m key=\"line\\nfeed\"" },
    { "", "level=info component=test message=m key=\"\"" },
  };
  return cr_make_param_array(LogCase, cases, sizeof(cases) / sizeof(LogCase));
}

// Guards against a value that forges a second field or line in the log.
ParameterizedTest(LogCase* aCase, Log, QuotesValues)
{
  const std::string line = FormatLogLine(LogLevel::Info, "test", "m", { { "key", aCase->value } });
  cr_assert(line == aCase->expected, "%s", line.c_str());
}

/// Guards against bytes lost in compression, and against malformed or oversized input that exhausts
/// the memory.
Test(Compression, RoundTripWithinTheLimit)
{
  const bool ok = rc::check([](const std::string& aText) {
    std::string repeated;
    for (int i = 0; i < 50; ++i)
      repeated += aText;
    const std::string packed = Deflate(repeated);
    RC_ASSERT(Inflate(packed, repeated.size()) == repeated);
    if (!repeated.empty())
      RC_ASSERT(!Inflate(packed, repeated.size() - 1));
    RC_ASSERT(!Inflate(packed.substr(0, packed.size() / 2), repeated.size()));
    static_cast<void>(Inflate(aText, 1000));
  });
  cr_assert(ok);
  const std::string zeros(1'000'000, '\0');
  cr_assert(not Inflate(Deflate(zeros), 1000).has_value());
}

// Guards against placements that move more than the keys of a removed candidate.
Test(Hash, RendezvousMovesOnlyKeysOfTheRemovedCandidate)
{
  const bool ok = rc::check([](const std::string& aKey) {
    const std::string names[] = { "a", "b", "c", "d" };
    const auto best = [&](size_t aCount) {
      size_t winner = 0;
      for (size_t i = 1; i < aCount; ++i) {
        if (RendezvousWeight(aKey, names[i]) > RendezvousWeight(aKey, names[winner]))
          winner = i;
      }
      return winner;
    };
    const size_t before = best(4);
    if (before != 3)
      RC_ASSERT(best(3) == before);
  });
  cr_assert(ok);
}

Test(Hash, HexIsHighHalfFirst)
{
  cr_assert(ToHex(Hash128{ .high = 1, .low = 2 }) == "00000000000000010000000000000002");
}

struct NameRow
{
  std::string name;
  std::string_view closest; ///< Empty: none.
};

// Guards against a suggestion that is another name than the one that was meant, or any at all.
Test(ClosestName, SuggestsOnlySimilarNames)
{
  static const std::vector<std::string_view> kKnown{
    "timeout_s", "goal_s", "home_regions", "name"
  };
  const NameRow kRows[] = { { "timeout", "timeout_s" },
                            { "time_out_s", "timeout_s" },
                            { "tiemout_s", "timeout_s" },
                            { "GoalS", "goal_s" },
                            { "home-region", "home_regions" },
                            { "nmae", "" },
                            { "nam", "name" },
                            { "colour", "" },
                            { "", "" },
                            { std::string(100, 'n'), "" } };
  for (const NameRow& row : kRows)
    cr_expect(ClosestName(row.name, kKnown) == row.closest, "%s", row.name.c_str());
  cr_assert(ClosestName("name", {}).empty());
}

namespace {

struct TransferCase
{
  const char* name;
  Duration period; ///< Between two pieces.
  size_t pieceBytes;
  size_t pieces;
  bool inTime;
};

} // namespace

ParameterizedTestParameters(TransferDeadline, LimitsSilenceAndRate)
{
  static TransferCase cases[] = {
    { "many quick pieces for a long time", 100ms, 4096, 600, true },
    { "pieces just before the end", 499ms, 8192, 20, true },
    { "silence", 501ms, 1 << 20, 2, false },
    { "a trickle", 100ms, 100, 100, false },
    { "a single piece", 400ms, 1, 1, true },
  };
  return cr_make_param_array(TransferCase, cases, sizeof(cases) / sizeof(TransferCase));
}

// Guards against a transfer that is given up although it makes progress, and one that never ends.
ParameterizedTest(TransferCase* aCase, TransferDeadline, LimitsSilenceAndRate)
{
  TimePoint now{ 100s };
  TransferDeadline deadline(now, 500ms);
  bool inTime = true;
  for (size_t piece = 0; piece < aCase->pieces; ++piece) {
    now += aCase->period;
    inTime = inTime && deadline.Remaining(now) > Duration{};
    deadline.OnBytes(now, aCase->pieceBytes);
  }
  cr_assert(inTime == aCase->inTime, "%s", aCase->name);
}
