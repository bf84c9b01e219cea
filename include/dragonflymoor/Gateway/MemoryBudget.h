#ifndef DRAGONFLYMOOR_GATEWAY_MEMORYBUDGET_H
#define DRAGONFLYMOOR_GATEWAY_MEMORYBUDGET_H

#include "dragonflymoor/Support/Time.h"
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace dfm {

/// What bytes are held for.
enum class BytePurpose
{
  Request, ///< A caller's request while it arrives and until it has been answered.
  Answer,  ///< An instance's answer until its caller has read it.
};
constexpr size_t kBytePurposeCount = 2;

struct MemoryBudgetOptions
{
  size_t maxBytes = 0; ///< Of all holders together.
  /// Requests of more bytes leave a part free, so that small requests do not wait behind them.
  size_t smallBytes = 512UL * 1024;
  double largePart = 7.0 / 8;       ///< Part of maxBytes up to which large requests may fill it.
  double smallPart = 15.0 / 16;     ///< As largePart, for small requests; the rest is for answers.
  size_t maxAnswerBytes = SIZE_MAX; ///< Of all answers together.
  /// A holder without progress for longer loses its bytes when others wait for them. Callers that
  /// pause between two packets make progress many times a second.
  Duration stallTime = 1s;
};

/// The bytes that one VM holds for others: request bodies while they arrive, and answers that are
/// not yet read. Decides who may take more and who must give up bytes.
///
/// Load pattern: many clients send large bodies of legal size at once, in one piece or in small
/// ones, and most stop just before the end and keep the connection open. Declared lengths are not
/// reserved, because a client could then block the budget without sending anything; bytes count
/// when they arrive. Since bodies may then block each other half-way, the budget takes bytes back:
/// first from the holder without progress that has held the most for the longest, then, when only
/// waiting holders are left, from the one that came last.
///
/// Performs no I/O and reads no clock. Not thread-safe.
class MemoryBudget
{
public:
  using HolderId = uint64_t;

  /// Who must give up its bytes, and why.
  struct Release
  {
    enum class Cause
    {
      Stalled,  ///< Its peer makes no progress.
      NoMemory, ///< It waits for bytes, and others came before it.
    };
    HolderId holder = 0;
    Cause cause = Cause::Stalled;

    auto operator<=>(const Release&) const = default;
  };

  explicit MemoryBudget(MemoryBudgetOptions aOptions);

  /// Adds a holder without bytes. Ids increase in the order of the calls and are never used again.
  HolderId Open(TimePoint aNow, BytePurpose aPurpose);
  /// Returns all bytes of the holder. Precondition: the holder exists, as for all methods below.
  void Close(HolderId aHolder);
  /// Makes the holder's size aBytes if it is smaller, and ends its wait. Returns false, and changes
  /// nothing, when the budget does not have the missing bytes.
  bool TryGrow(HolderId aHolder, size_t aBytes);
  /// Whether a request alone could have aBytes.
  bool CanEverHold(size_t aBytes) const { return aBytes <= LimitFor(BytePurpose::Request, aBytes); }
  /// Whether the bound of all answers together leaves aBytes for this one. Answers that wait for
  /// each other would all end at their deadlines.
  bool IsWithinAnswerBound(HolderId aHolder, size_t aBytes) const;
  /// Notes that the peer sent or read something.
  void NoteProgress(TimePoint aNow, HolderId aHolder);
  /// Notes that the holder waits for aBytes until aGiveUp; then NextRelease names it. Its peer can
  /// make no progress meanwhile.
  void Wait(HolderId aHolder, size_t aBytes, TimePoint aGiveUp);
  /// From now on the holder keeps its bytes until it is closed: its request runs or may run.
  void Pin(HolderId aHolder);
  /// Undoes Pin; counts as progress.
  void Unpin(TimePoint aNow, HolderId aHolder);

  /// Returns who must give up its bytes next; nothing while nobody waits in vain. The caller closes
  /// that holder before it asks again.
  std::optional<Release> NextRelease(TimePoint aNow) const;
  /// Whether the bytes that the holder waits for are available and no earlier one waits for them.
  bool IsDue(HolderId aHolder) const;

  size_t UsedBytes() const;
  size_t UsedBytes(BytePurpose aPurpose) const;
  size_t WaitingCount() const;

private:
  struct Holder
  {
    BytePurpose purpose = BytePurpose::Request;
    size_t bytes = 0;
    TimePoint lastProgress;
    bool pinned = false;
    size_t wantedBytes = 0; ///< 0 while it does not wait.
    TimePoint giveUp;
  };

  size_t LimitFor(BytePurpose aPurpose, size_t aBytes) const;
  bool Fits(const Holder& aHolder, size_t aBytes) const;

  MemoryBudgetOptions options_;
  std::map<HolderId, Holder> holders_; ///< In the order of their arrival.
  std::array<size_t, kBytePurposeCount> usedBytes_{};
  HolderId nextId_ = 1;
};

/// A holder of a budget that closes with this object. Shares the ownership of the budget. Not
/// thread-safe.
class MemoryHold
{
public:
  /// Precondition: aBudget is not null.
  MemoryHold(std::shared_ptr<MemoryBudget> aBudget, TimePoint aNow, BytePurpose aPurpose)
    : budget_(std::move(aBudget))
    , id_(budget_->Open(aNow, aPurpose))
  {
  }
  ~MemoryHold() { budget_->Close(id_); }
  MemoryHold(const MemoryHold&) = delete;
  MemoryHold& operator=(const MemoryHold&) = delete;

  MemoryBudget& Budget() const { return *budget_; }
  MemoryBudget::HolderId Id() const { return id_; }

private:
  std::shared_ptr<MemoryBudget> budget_;
  MemoryBudget::HolderId id_;
};

} // namespace dfm

#endif
