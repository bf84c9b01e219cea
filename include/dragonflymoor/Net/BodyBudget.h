#ifndef DRAGONFLYMOOR_NET_BODYBUDGET_H
#define DRAGONFLYMOOR_NET_BODYBUDGET_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

namespace dfm {

/// Memory for bodies of requests and answers, shared by all threads. Requests are refused when it
/// is used up; answers are counted but never refused, because a request that ran must get its
/// answer. Safe to use from any thread.
class BodyBudget
{
public:
  explicit BodyBudget(uint64_t aLimit)
    : limit_(aLimit)
  {
  }

  bool TryReserve(uint64_t aBytes)
  {
    if (used_.fetch_add(aBytes) + aBytes <= limit_)
      return true;
    used_.fetch_sub(aBytes);
    return false;
  }

  void Add(uint64_t aBytes) { used_.fetch_add(aBytes); }
  void Release(uint64_t aBytes) { used_.fetch_sub(aBytes); }
  uint64_t Used() const { return used_.load(); }

private:
  const uint64_t limit_;
  std::atomic<uint64_t> used_{ 0 };
};

/// Part of the budget that is returned with the body it was taken for.
class BodyReservation
{
public:
  BodyReservation() = default;
  BodyReservation(std::shared_ptr<BodyBudget> aBudget, uint64_t aBytes)
    : budget_(std::move(aBudget))
    , bytes_(aBytes)
  {
  }
  BodyReservation(BodyReservation&& aOther) noexcept
    : budget_(std::move(aOther.budget_))
    , bytes_(std::exchange(aOther.bytes_, 0))
  {
  }
  BodyReservation& operator=(BodyReservation&& aOther) noexcept
  {
    std::swap(budget_, aOther.budget_);
    std::swap(bytes_, aOther.bytes_);
    return *this;
  }
  ~BodyReservation()
  {
    if (budget_ != nullptr)
      budget_->Release(bytes_);
  }

private:
  std::shared_ptr<BodyBudget> budget_;
  uint64_t bytes_ = 0;
};

} // namespace dfm

#endif
