#include "dragonflymoor/Steering/RateClaim.h"

#include <algorithm>

namespace dfm {

namespace {

/// Bounds of the time without an answer of the instance after which its limit no longer holds, and
/// the number of requests that this VM may send in it.
constexpr Duration kMinStatementLife = 2s;
constexpr Duration kMaxStatementLife = 30s;
constexpr double kRequestsPerStatementLife = 3;

/// Part of the limit that VMs without a claim use to learn whether it still holds.
constexpr double kTrialShare = 0.25;

/// Part of the demand that is claimed beyond it, so that a growing demand is seen.
constexpr double kSpareShare = 0.25;

/// Part of the excess that a VM gives up with each update. The others' claims are known late, so
/// that all would give up too much otherwise.
constexpr double kScaleStep = 0.4;

/// Claims below this, in requests a second, are left by a demand that has ended.
constexpr double kLeastClaim = 0.01;

/// Least part of a limit, in requests a second, that is worth sharing: each VM with a part may save
/// up a request, and many of them would together exceed a small limit.
constexpr double kLeastShare = 0.5;

/// The bucket holds what a second earns, or one request, so that few tokens are lost between
/// requests.
constexpr BucketOptions kBucket{ .rate = 1, .burst = 1, .leastBurst = 1 };

} // namespace

RateClaim::RateClaim()
  : bucket_(kBucket)
{
}

bool
RateClaim::OnStatement(TimePoint aNow, std::optional<double> aMaxRequestsPerSecond)
{
  if (aMaxRequestsPerSecond && !limit_) {
    claim_ = 0;
    bucket_ = TokenBucket(kBucket);
    lastRefill_ = aNow;
  }
  const bool changed = limit_ != aMaxRequestsPerSecond;
  limit_ = aMaxRequestsPerSecond;
  statedAt_ = aNow;
  return changed;
}

bool
RateClaim::HasRecentStatement(TimePoint aNow) const
{
  // Without a claim each VM sends one request after this time, to learn whether the limit holds.
  const double seconds = claim_ > 0 ? kRequestsPerStatementLife / claim_
                                    : static_cast<double>(vms_) / (kTrialShare * *limit_);
  const Duration life = seconds < ToSeconds(kMaxStatementLife)
                          ? std::max(FromSeconds(seconds), kMinStatementLife)
                          : kMaxStatementLife;
  return aNow - statedAt_ < life;
}

bool
RateClaim::IsLimited(TimePoint aNow) const
{
  return limit_ && (HasRecentStatement(aNow) || peerClaims_ > 0);
}

void
RateClaim::Update(TimePoint aNow, const VmRank& aRank)
{
  vms_ = aRank.vms;
  if (!IsLimited(aNow))
    return;
  Refill(aNow);
  const double available = std::max(0.0, *limit_ - peerClaims_);
  const double wanted = (1 + kSpareShare) * (sent_.PerSecond(aNow) + denied_.PerSecond(aNow));
  double next = 0;
  if (claim_ > available) {
    next = claim_ + kScaleStep * (*limit_ * claim_ / (claim_ + peerClaims_) - claim_);
  } else {
    next = claim_ + (available - claim_) / static_cast<double>(aRank.vms);
  }
  const auto sharingVms = static_cast<size_t>(std::max(1.0, *limit_ / kLeastShare));
  claim_ = aRank.rank < sharingVms ? std::min(next, wanted) : 0;
  // A demand that has ended leaves no request saved up.
  if (claim_ < kLeastClaim)
    bucket_ = TokenBucket(kBucket);
}

double
RateClaim::ReportedClaim(TimePoint aNow) const
{
  return limit_ && HasRecentStatement(aNow) ? claim_ : 0;
}

void
RateClaim::Refill(TimePoint aNow) const
{
  bucket_.Fill(claim_, aNow - lastRefill_);
  lastRefill_ = aNow;
}

bool
RateClaim::MaySend(TimePoint aNow) const
{
  if (!IsLimited(aNow))
    return true;
  Refill(aNow);
  return bucket_.Tokens() >= 1;
}

void
RateClaim::OnSend(TimePoint aNow)
{
  sent_.Add(1, aNow);
  if (IsLimited(aNow) && MaySend(aNow))
    bucket_.Take(1);
}

} // namespace dfm
