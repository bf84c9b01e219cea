#include "dragonflymoor/Gateway/MemoryBudget.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <vector>

namespace {

using namespace dfm;
using Cause = MemoryBudget::Release::Cause;

constexpr size_t kMegabyte = 1024UL * 1024;

TimePoint
At(Duration aSinceStart)
{
  return TimePoint(10s + aSinceStart);
}

MemoryBudget
MakeBudget()
{
  return MemoryBudget({ .maxBytes = 16 * kMegabyte, .maxAnswerBytes = 8 * kMegabyte });
}

/// Replays a crowd of clients that stop just short of the end of large bodies. Guards against
/// bodies that block each other for ever, against a budget that is exceeded, and against an honest
/// client that loses its bytes to them.
Test(MemoryBudget, CompletesAnHonestBodyAmongThoseThatStop)
{
  constexpr size_t kBodyBytes = 10 * kMegabyte;
  constexpr size_t kPieceBytes = 256UL * 1024;
  constexpr size_t kHonest = 5;
  struct Client
  {
    MemoryBudget::HolderId id = 0;
    size_t bytes = 0;
    bool open = true;
  };
  MemoryBudget budget = MakeBudget();
  std::vector<Client> clients(8);
  for (Client& client : clients)
    client.id = budget.Open(At(0s), BytePurpose::Request);
  Duration time = 0s;
  for (; time < 60s && clients[kHonest].bytes < kBodyBytes; time += 10ms) {
    for (size_t i = 0; i < clients.size(); ++i) {
      Client& client = clients[i];
      const bool stops = i != kHonest && client.bytes + kPieceBytes >= kBodyBytes;
      if (!client.open || stops)
        continue;
      if (budget.TryGrow(client.id, client.bytes + kPieceBytes)) {
        client.bytes += kPieceBytes;
        budget.NoteProgress(At(time), client.id);
      } else {
        budget.Wait(client.id, client.bytes + kPieceBytes, At(60s));
      }
    }
    cr_assert(budget.UsedBytes() <= 16 * kMegabyte);
    while (const auto release = budget.NextRelease(At(time))) {
      cr_assert(release->holder != clients[kHonest].id || release->cause == Cause::NoMemory);
      for (Client& client : clients) {
        if (client.id == release->holder)
          client.open = false;
      }
      budget.Close(release->holder);
      if (!clients[kHonest].open) {
        // It was refused as not run; it tries again as its caller would.
        clients[kHonest] = { .id = budget.Open(At(time), BytePurpose::Request) };
      }
    }
  }
  cr_assert(clients[kHonest].bytes == kBodyBytes);
}

/// Guards against small requests that wait for memory behind large ones, and against requests that
/// leave nothing for answers.
Test(MemoryBudget, KeepsRoomForSmallRequestsAndAnswers)
{
  struct Case
  {
    BytePurpose purpose;
    size_t held;
    size_t bytes;
    bool fits;
  };
  const Case cases[] = {
    { BytePurpose::Request, 0, 14 * kMegabyte, true },
    { BytePurpose::Request, 0, 14 * kMegabyte + 1, false },
    { BytePurpose::Request, 14 * kMegabyte, 512UL * 1024, true },
    { BytePurpose::Request, 14 * kMegabyte, 512UL * 1024 + 1, false },
    { BytePurpose::Answer, 14 * kMegabyte, 2 * kMegabyte, true },
    { BytePurpose::Answer, 14 * kMegabyte, 2 * kMegabyte + 1, false },
    { BytePurpose::Answer, 0, 8 * kMegabyte + 1, false },
  };
  for (const Case& sizeCase : cases) {
    MemoryBudget budget = MakeBudget();
    const auto first = budget.Open(At(0s), BytePurpose::Request);
    cr_assert(budget.TryGrow(first, sizeCase.held));
    const auto second = budget.Open(At(0s), sizeCase.purpose);
    cr_assert(budget.TryGrow(second, sizeCase.bytes) == sizeCase.fits);
    budget.Close(second);
    cr_assert(budget.UsedBytes() == sizeCase.held);
  }
}

/// Guards against a victim that makes progress, that runs, or that holds little; and against taking
/// bytes while nobody needs them.
Test(MemoryBudget, TakesFromTheStalledHolderWithTheMostBytes)
{
  MemoryBudget budget = MakeBudget();
  std::vector<MemoryBudget::HolderId> ids;
  for (const size_t megabytes : { 1, 6, 3, 4 }) {
    ids.push_back(budget.Open(At(0s), BytePurpose::Request));
    cr_assert(budget.TryGrow(ids.back(), megabytes * kMegabyte));
  }
  budget.Pin(ids[1]);
  budget.NoteProgress(At(4500ms), ids[3]);
  cr_assert(not budget.NextRelease(At(5s)));
  const auto waiting = budget.Open(At(5s), BytePurpose::Request);
  budget.Wait(waiting, 2 * kMegabyte, At(8s));
  const MemoryBudget::Release stalled{ .holder = ids[2], .cause = Cause::Stalled };
  cr_assert(budget.NextRelease(At(5s)) == stalled);
  budget.Close(ids[2]);
  cr_assert(not budget.NextRelease(At(5s)) && budget.IsDue(waiting));
  const MemoryBudget::Release outOfTime{ .holder = waiting, .cause = Cause::NoMemory };
  cr_assert(budget.NextRelease(At(8s)) == outOfTime);
}

} // namespace
