#ifndef DRAGONFLYMOOR_SUPPORT_BYTEBUDGET_H
#define DRAGONFLYMOOR_SUPPORT_BYTEBUDGET_H

#include <cstddef>
#include <memory>
#include <utility>

namespace dfm {

/// A number of bytes that several owners share. Not thread-safe.
class ByteBudget
{
public:
  explicit ByteBudget(size_t aMaxBytes)
    : maxBytes_(aMaxBytes)
  {
  }

  size_t MaxBytes() const { return maxBytes_; }
  size_t UsedBytes() const { return usedBytes_; }

private:
  friend class ByteReservation;

  size_t maxBytes_ = 0;
  size_t usedBytes_ = 0;
};

/// The part of a budget that one owner uses; it returns to the budget on destruction. Shares the
/// ownership of the budget. Not thread-safe.
class ByteReservation
{
public:
  /// Precondition: aBudget is not null.
  explicit ByteReservation(std::shared_ptr<ByteBudget> aBudget)
    : budget_(std::move(aBudget))
  {
  }
  ~ByteReservation() { budget_->usedBytes_ -= bytes_; }
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;

  /// Makes the reservation at least aBytes large. Returns false, and changes nothing, when the
  /// budget does not have the missing bytes.
  bool GrowTo(size_t aBytes)
  {
    if (aBytes <= bytes_)
      return true;
    const size_t missing = aBytes - bytes_;
    if (missing > budget_->maxBytes_ - budget_->usedBytes_)
      return false;
    budget_->usedBytes_ += missing;
    bytes_ = aBytes;
    return true;
  }

private:
  std::shared_ptr<ByteBudget> budget_;
  size_t bytes_ = 0;
};

} // namespace dfm

#endif
