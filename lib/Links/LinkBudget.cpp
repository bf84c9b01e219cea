#include "dragonflymoor/Links/LinkBudget.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace dfm {

namespace {

/// Largest part of a rank's bucket that one reservation takes.
constexpr double kReservationPart = 0.5;

constexpr Duration kUseWindow = 1s;

} // namespace

ShareKey
LinkKey(const RegionId& aFrom, const RegionId& aTo)
{
  return ShareKey{ .kind = ShareKind::LinkBytes, .name = aFrom.Value() + "/" + aTo.Value() };
}

LinkBudget::LinkBudget(RegionId aRegion, ShareBook& aShares, LinkOptions aOptions)
  : region_(std::move(aRegion))
  , shares_(aShares)
  , options_(aOptions)
{
}

void
LinkBudget::SetLinks(const std::vector<Link>& aLinks, TimePoint aNow)
{
  std::map<RegionId, double> caps;
  for (const Link& link : aLinks) {
    if (link.from == region_)
      caps[link.to] = static_cast<double>(link.capBytesPerSecond);
  }
  std::erase_if(directions_, [&](const auto& aEntry) {
    if (caps.contains(aEntry.first))
      return false;
    shares_.RemoveAmount(aEntry.second.key, aNow);
    return true;
  });
  std::vector<BucketOptions> buckets;
  for (const double portion : options_.portion)
    buckets.push_back(BucketOptions{ .rate = portion * options_.rate / (1 + options_.clockDrift),
                                     .burst = portion * options_.burst,
                                     .leastBurst = 0 });
  for (const auto& [to, cap] : caps) {
    const auto [place, added] = directions_.try_emplace(to);
    Direction& direction = place->second;
    direction.key = LinkKey(region_, to);
    shares_.SetAmount(direction.key, cap, region_, aNow);
    if (added)
      shares_.SetBuckets(direction.key, buckets, aNow);
  }
}

bool
LinkBudget::TrySend(const RegionId& aTo, Rank aRank, uint64_t aBytes, TimePoint aNow)
{
  Direction* direction = Find(aTo);
  if (!direction)
    return false;
  const auto rank = static_cast<size_t>(aRank);
  const auto bytes = static_cast<double>(aBytes);
  direction->demand.Add(bytes, aNow);
  if (Free(*direction, rank, aNow) < bytes)
    return false;
  Take(*direction, rank, bytes, aNow);
  return true;
}

bool
LinkBudget::TryReserve(const RegionId& aTo,
                       RequestId aRequest,
                       Rank aRank,
                       uint64_t aExpectedBytes,
                       TimePoint aNow)
{
  Direction* direction = Find(aTo);
  if (!direction)
    return false;
  assert(!direction->reservations.contains(aRequest) && "the request has a reservation already");
  const auto rank = static_cast<size_t>(aRank);
  direction->demand.Add(static_cast<double>(aExpectedBytes), aNow);
  const double most = kReservationPart * shares_.BucketSize(direction->key, rank, aNow);
  const double bytes = std::min(static_cast<double>(aExpectedBytes), most);
  if (most <= 0 || Free(*direction, rank, aNow) < bytes)
    return false;
  Reservation& reservation = direction->reservations[aRequest];
  reservation.rank = rank;
  Reserve(*direction, reservation, bytes);
  return true;
}

uint64_t
LinkBudget::TakeReserved(const RegionId& aTo, RequestId aRequest, uint64_t aBytes, TimePoint aNow)
{
  Direction* direction = Find(aTo);
  if (!direction)
    return 0;
  Reservation& reservation = direction->reservations.at(aRequest);
  double tokens = static_cast<double>(aBytes);
  for (size_t i = 0; i <= reservation.rank; ++i)
    tokens = std::min(tokens, shares_.Tokens(direction->key, i, aNow));
  // The own reservation may be used even when a smaller share left less tokens than reservations.
  const double allowed =
    std::max(std::min(reservation.bytes, tokens),
             std::min(reservation.bytes + Free(*direction, reservation.rank, aNow), tokens));
  const auto whole = static_cast<uint64_t>(std::max(0.0, allowed));
  const auto bytes = static_cast<double>(whole);
  Reserve(*direction, reservation, -std::min(reservation.bytes, bytes));
  Take(*direction, reservation.rank, bytes, aNow);
  return whole;
}

void
LinkBudget::Release(const RegionId& aTo, RequestId aRequest)
{
  Direction* direction = Find(aTo);
  if (!direction)
    return;
  const auto found = direction->reservations.find(aRequest);
  if (found == direction->reservations.end())
    return;
  Reserve(*direction, found->second, -found->second.bytes);
  direction->reservations.erase(found);
  // Sums of many fractions drift; an empty set is exactly zero.
  if (direction->reservations.empty())
    direction->reserved.fill(0);
}

void
LinkBudget::OnTick(TimePoint aNow)
{
  for (auto& [to, direction] : directions_)
    shares_.SetDemand(direction.key, direction.demand.PerSecond(aNow) / options_.rate, 0, aNow);
}

double
LinkBudget::ShareBytesPerSecond(const RegionId& aTo, TimePoint aNow) const
{
  const auto found = directions_.find(aTo);
  return found == directions_.end() ? 0 : shares_.Available(found->second.key, aNow);
}

double
LinkBudget::UsedBytesLastSecond(const RegionId& aTo, TimePoint aNow) const
{
  const auto found = directions_.find(aTo);
  if (found == directions_.end())
    return 0;
  const auto& sent = found->second.sent;
  return std::accumulate(sent.begin(), sent.end(), 0.0, [&](double aSum, const auto& aEntry) {
    return aNow - aEntry.first < kUseWindow ? aSum + aEntry.second : aSum;
  });
}

LinkBudget::Direction*
LinkBudget::Find(const RegionId& aTo)
{
  const auto found = directions_.find(aTo);
  return found == directions_.end() ? nullptr : &found->second;
}

double
LinkBudget::Free(const Direction& aDirection, size_t aRank, TimePoint aNow)
{
  double free = shares_.Tokens(aDirection.key, 0, aNow) - aDirection.reserved.front();
  for (size_t i = 1; i <= aRank; ++i)
    free = std::min(free, shares_.Tokens(aDirection.key, i, aNow) - aDirection.reserved.at(i));
  return free;
}

void
LinkBudget::Take(Direction& aDirection, size_t aRank, double aBytes, TimePoint aNow)
{
  for (size_t i = 0; i <= aRank; ++i)
    shares_.TakeTokens(aDirection.key, i, aBytes, aNow);
  // Status needs no finer steps than this; it bounds the number of entries.
  constexpr Duration kStep = 20ms;
  auto& sent = aDirection.sent;
  while (!sent.empty() && aNow - sent.front().first >= kUseWindow)
    sent.pop_front();
  if (sent.empty() || aNow - sent.back().first >= kStep)
    sent.emplace_back(aNow, 0);
  sent.back().second += aBytes;
}

void
LinkBudget::Reserve(Direction& aDirection, Reservation& aReservation, double aBytes)
{
  aReservation.bytes += aBytes;
  for (size_t i = 0; i <= aReservation.rank; ++i)
    aDirection.reserved.at(i) += aBytes;
}

} // namespace dfm
