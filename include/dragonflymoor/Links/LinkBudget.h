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
  /// Part of the bucket that a rank may take: urgent, normal, bulk.
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
  /// More than the bucket holds is reserved as the whole bucket.
  bool TryReserve(const RegionId& aTo,
                  RequestId aRequest,
                  Rank aRank,
                  uint64_t aExpectedBytes,
                  TimePoint aNow);

  /// Takes up to aBytes of the answer for sending now and returns how many bytes may be sent. The
  /// reservation of the request is used up first; after it come free tokens. When less than aBytes
  /// was returned, call again on a later tick for the rest.
  uint64_t TakeReserved(const RegionId& aTo, RequestId aRequest, uint64_t aBytes, TimePoint aNow);

  /// Ends a reservation: the answer was sent, or none will be.
  void Release(const RegionId& aTo, RequestId aRequest);

  /// Bytes a second of this VM's share, and bytes sent in the last second; for the status page.
  double ShareBytesPerSecond(const RegionId& aTo, TimePoint aNow) const;
  double UsedBytesLastSecond(const RegionId& aTo, TimePoint aNow) const;

private:
  struct Direction
  {
    ShareKey key;
    TokenBucket bucket;
    double size = 0;
    DemandMeter demand;
    std::map<RequestId, double> reserved;
    double reservedSum = 0;
    std::deque<std::pair<TimePoint, double>> sent;
  };

  Direction* Find(const RegionId& aTo);
  void Refill(Direction& aDirection, TimePoint aNow);
  void Want(Direction& aDirection, double aBytes, TimePoint aNow);
  bool Fits(const Direction& aDirection, Rank aRank, double aBytes) const;
  static void Record(Direction& aDirection, double aBytes, TimePoint aNow);

  RegionId region_;
  ShareBook& shares_;
  LinkOptions options_;
  std::map<RegionId, Direction> directions_;
};

} // namespace dfm

#endif
