#include "dragonflymoor/Gateway/MemoryBudget.h"

#include <algorithm>

namespace dfm {

MemoryBudget::MemoryBudget(MemoryBudgetOptions aOptions)
  : options_(aOptions)
{
}

MemoryBudget::HolderId
MemoryBudget::Open(TimePoint aNow, BytePurpose aPurpose)
{
  holders_[nextId_] = { .purpose = aPurpose, .lastProgress = aNow };
  return nextId_++;
}

void
MemoryBudget::Close(HolderId aHolder)
{
  const auto found = holders_.find(aHolder);
  usedBytes_[static_cast<size_t>(found->second.purpose)] -= found->second.bytes;
  holders_.erase(found);
}

bool
MemoryBudget::TryGrow(HolderId aHolder, size_t aBytes)
{
  Holder& holder = holders_.at(aHolder);
  if (aBytes > holder.bytes) {
    if (!Fits(holder, aBytes) || !IsWithinAnswerBound(aHolder, aBytes))
      return false;
    usedBytes_[static_cast<size_t>(holder.purpose)] += aBytes - holder.bytes;
    holder.bytes = aBytes;
  }
  holder.wantedBytes = 0;
  return true;
}

bool
MemoryBudget::IsWithinAnswerBound(HolderId aHolder, size_t aBytes) const
{
  const Holder& holder = holders_.at(aHolder);
  return holder.purpose != BytePurpose::Answer ||
         UsedBytes(BytePurpose::Answer) - holder.bytes + aBytes <= options_.maxAnswerBytes;
}

void
MemoryBudget::NoteProgress(TimePoint aNow, HolderId aHolder)
{
  holders_.at(aHolder).lastProgress = aNow;
}

void
MemoryBudget::Wait(HolderId aHolder, size_t aBytes, TimePoint aGiveUp)
{
  Holder& holder = holders_.at(aHolder);
  holder.wantedBytes = aBytes;
  holder.giveUp = aGiveUp;
}

void
MemoryBudget::Pin(HolderId aHolder)
{
  holders_.at(aHolder).pinned = true;
}

void
MemoryBudget::Unpin(TimePoint aNow, HolderId aHolder)
{
  Holder& holder = holders_.at(aHolder);
  holder.pinned = false;
  holder.lastProgress = aNow;
}

std::optional<MemoryBudget::Release>
MemoryBudget::NextRelease(TimePoint aNow) const
{
  std::optional<HolderId> stalled;
  std::optional<HolderId> lastWaiting;
  double mostByteSeconds = 0;
  bool someoneWaits = false;
  bool someoneIsDue = false;
  bool othersMayEnd = false; // By themselves, which frees their bytes.
  for (const auto& [id, holder] : holders_) {
    if (holder.wantedBytes > 0) {
      if (aNow >= holder.giveUp)
        return Release{ .holder = id, .cause = Release::Cause::NoMemory };
      someoneWaits = true;
      someoneIsDue = someoneIsDue || Fits(holder, holder.wantedBytes);
      if (holder.pinned)
        othersMayEnd = true;
      else if (holder.bytes > 0)
        lastWaiting = id;
      continue;
    }
    const Duration idle = aNow - holder.lastProgress;
    if (holder.pinned || idle < options_.stallTime) {
      othersMayEnd = othersMayEnd || holder.bytes > 0;
      continue;
    }
    const double byteSeconds = static_cast<double>(holder.bytes) * ToSeconds(idle);
    if (byteSeconds > mostByteSeconds) {
      mostByteSeconds = byteSeconds;
      stalled = id;
    }
  }
  if (!someoneWaits || someoneIsDue)
    return std::nullopt;
  if (stalled)
    return Release{ .holder = *stalled, .cause = Release::Cause::Stalled };
  if (!othersMayEnd && lastWaiting)
    return Release{ .holder = *lastWaiting, .cause = Release::Cause::NoMemory };
  return std::nullopt;
}

bool
MemoryBudget::IsDue(HolderId aHolder) const
{
  const auto found = holders_.find(aHolder);
  const Holder& self = found->second;
  if (self.wantedBytes == 0 || !Fits(self, self.wantedBytes))
    return false;
  // Earlier holders come first, so that at least one body is completed. Those that are small do not
  // wait for large ones.
  const bool isSmall = self.wantedBytes <= options_.smallBytes;
  return isSmall || std::none_of(holders_.begin(), found, [](const auto& aEntry) {
           return aEntry.second.wantedBytes > 0;
         });
}

size_t
MemoryBudget::UsedBytes() const
{
  size_t sum = 0;
  for (const size_t bytes : usedBytes_)
    sum += bytes;
  return sum;
}

size_t
MemoryBudget::UsedBytes(BytePurpose aPurpose) const
{
  return usedBytes_[static_cast<size_t>(aPurpose)];
}

size_t
MemoryBudget::WaitingCount() const
{
  return static_cast<size_t>(
    std::count_if(holders_.begin(), holders_.end(), [](const auto& aEntry) {
      return aEntry.second.wantedBytes > 0;
    }));
}

size_t
MemoryBudget::LimitFor(BytePurpose aPurpose, size_t aBytes) const
{
  if (aPurpose == BytePurpose::Answer)
    return options_.maxBytes;
  const double part = aBytes <= options_.smallBytes ? options_.smallPart : options_.largePart;
  return static_cast<size_t>(static_cast<double>(options_.maxBytes) * part);
}

bool
MemoryBudget::Fits(const Holder& aHolder, size_t aBytes) const
{
  return UsedBytes() - aHolder.bytes + aBytes <= LimitFor(aHolder.purpose, aBytes);
}

} // namespace dfm
