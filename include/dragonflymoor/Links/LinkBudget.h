#ifndef DRAGONFLYMOOR_LINKS_LINKBUDGET_H
#define DRAGONFLYMOOR_LINKS_LINKBUDGET_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Model/Outcome.h"
#include "dragonflymoor/Shares/ShareBook.h"
#include "dragonflymoor/Shares/TokenBucket.h"
#include "dragonflymoor/Support/Time.h"
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace dfm {

/// Key of the fleet-wide amount of a directed region pair, named "from/to".
ShareKey
LinkKey(const RegionId& aFrom, const RegionId& aTo);

struct LinkOptions
{
  double rate = 0.9;  ///< Part of the share that fills the bucket in each second.
  double burst = 0.1; ///< Size of the bucket as part of the share.
  /// Slows the bucket so that the cap holds although this VM's clock runs fast by this part.
  double clockDrift = 0.05;
  /// Part of a share that a rank may use together with the ranks below it: urgent, normal, bulk.
  std::array<double, kRankCount> portion = { 1.0, 0.8, 0.5 };
};

/// Byte budgets of this VM for the links that leave its region (section 9 of the design). Bytes are
/// counted when they are sent. Not thread-safe.
class LinkBudget
{
public:
  /// Precondition: aShares outlives this object.
  LinkBudget(RegionId aRegion, ShareBook& aShares, LinkOptions aOptions = {});

  /// Replaces the links; those from other regions are ignored.
  void SetLinks(const std::vector<Link>& aLinks, TimePoint aNow);

  /// Takes the bytes of a whole message that is sent now. False when the budget of the rank does
  /// not allow it (Reason::LinkBudget), or when there is no link to aTo.
  bool TrySend(const RegionId& aTo, Rank aRank, uint64_t aBytes, TimePoint aNow);

  /// Reserves the expected answer bytes of a request before it is dispatched. Nothing is sent yet.
  /// At most half of the rank's bucket is reserved, because more may never be free at once.
  bool TryReserve(const RegionId& aTo,
                  RequestId aRequest,
                  Rank aRank,
                  uint64_t aExpectedBytes,
                  TimePoint aNow);

  /// Takes up to aBytes of the answer for sending now and returns how many bytes may be sent: of
  /// the reservation first, then of what nobody else reserved. When less than aBytes was returned,
  /// call again on a later tick for the rest. Precondition: the request has a reservation.
  uint64_t TakeReserved(const RegionId& aTo, RequestId aRequest, uint64_t aBytes, TimePoint aNow);

  /// Ends a reservation: the answer was sent, or none will be.
  void Release(const RegionId& aTo, RequestId aRequest);

  /// Reports the demand to the shares. To be called every 20 ms or so, before ShareBook::OnTick.
  void OnTick(TimePoint aNow);

  /// Bytes a second of this VM's share, and bytes sent in the last second; for the status page.
  double ShareBytesPerSecond(const RegionId& aTo, TimePoint aNow) const;
  double UsedBytesLastSecond(const RegionId& aTo, TimePoint aNow) const;

private:
  struct Reservation
  {
    size_t rank = 0;
    double bytes = 0;
  };
  struct Direction
  {
    ShareKey key;
    DemandMeter demand;
    std::map<RequestId, Reservation> reservations;
    /// Bytes reserved by a rank and those below it, as the rank's bucket sees it.
    std::array<double, kRankCount> reserved{};
    std::deque<std::pair<TimePoint, double>> sent;
  };

  Direction* Find(const RegionId& aTo);
  double Free(const Direction& aDirection, size_t aRank, TimePoint aNow);
  void Take(Direction& aDirection, size_t aRank, double aBytes, TimePoint aNow);
  static void Reserve(Direction& aDirection, Reservation& aReservation, double aBytes);

  RegionId region_;
  ShareBook& shares_;
  LinkOptions options_;
  std::map<RegionId, Direction> directions_;
};

} // namespace dfm

#endif
