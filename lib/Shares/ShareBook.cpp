#include "dragonflymoor/Shares/ShareBook.h"

#include <algorithm>
#include <cassert>

namespace dfm {

namespace {

/// Loans below this part of the amount are not worth a message.
constexpr double kLeastLoan = 1e-6;

/// Covers rounding errors of sums of shares, relative to the amount.
constexpr double kRounding = 1e-9;

} // namespace

ShareBook::ShareBook(Vm aSelf,
                     ShareOptions aOptions,
                     ShareHooks aHooks,
                     uint64_t aSeed,
                     TimePoint aNow)
  : self_(std::move(aSelf))
  , options_(aOptions)
  , hooks_(std::move(aHooks))
  , random_(aSeed)
  , started_(aNow)
  , confirmFrom_(aNow + aOptions.startHold)
{
  assert(hooks_.request && hooks_.grant && hooks_.giveBack && "every hook must be set");
}

void
ShareBook::SetRoster(ListVersion aVersion,
                     const std::vector<Vm>& aVms,
                     TimePoint aNow,
                     const std::set<VmId>& aSettled)
{
  if (aVersion <= roster_.version)
    return;
  AdvanceAll(aNow);
  std::erase_if(pastRosters_,
                [&](const Roster& aPast) { return aNow - aPast.replaced >= LenderTime(); });
  if (roster_.version != 0) {
    roster_.replaced = aNow;
    pastRosters_.push_back(roster_);
  }
  Roster next{ .version = aVersion,
               .vms = aVms,
               .perRegion = {},
               .containsSelf = false,
               .since = aNow,
               .replaced = {} };
  for (const Vm& vm : aVms) {
    ++next.perRegion[vm.region];
    next.containsSelf = next.containsSelf || vm.id == self_.id;
  }
  std::set<VmId> present;
  for (const Vm& vm : aVms)
    present.insert(vm.id);
  const bool removed = std::any_of(roster_.vms.begin(), roster_.vms.end(), [&](const Vm& aVm) {
    return !present.contains(aVm.id);
  });
  // A new VM must not take the place of a removed one before that one's loans have ended.
  if (removed)
    confirmFrom_ = std::max(confirmFrom_, aNow + LenderTime());
  if (next.containsSelf && !roster_.containsSelf)
    joinVersion_ = aVersion;
  roster_ = std::move(next);
  highestSeen_ = std::max(highestSeen_, aVersion);
  if (!roster_.containsSelf)
    settled_ = false;
  if (roster_.containsSelf && aSettled.contains(self_.id) && highestSeen_ == aVersion)
    settled_ = true;
  TrySettle(aNow);
  AdvanceAll(aNow);
}

ListVersion
ShareBook::ConfirmedRoster(TimePoint aNow)
{
  if (aNow >= confirmFrom_ && LoansFit(aNow))
    ownConfirmed_ = roster_.version;
  return ownConfirmed_;
}

bool
ShareBook::LoansFit(TimePoint aNow) const
{
  // Requests that were admitted against a loan end before it does.
  const bool loansEnded = aNow - roster_.since >= LenderTime();
  return std::all_of(accounts_.begin(), accounts_.end(), [&](const auto& aEntry) {
    const Account& account = aEntry.second;
    const double rounding = kRounding * account.amount;
    const double own = ShareOf(account, TimePoint::max(), aNow);
    if (own < -rounding)
      return false;
    return account.held <= (loansEnded ? ShareOf(account, aNow, aNow) : own) + rounding;
  });
}

void
ShareBook::OnRosterConfirmed(const VmId& aVm, ListVersion aVersion, TimePoint aNow)
{
  ListVersion& known = confirmed_[aVm];
  if (aVersion <= known)
    return;
  known = aVersion;
  highestSeen_ = std::max(highestSeen_, aVersion);
  TrySettle(aNow);
}

void
ShareBook::TrySettle(TimePoint aNow)
{
  // A VM that restarted must not settle on a roster that others have left behind.
  if (settled_ || !roster_.containsSelf || highestSeen_ > roster_.version)
    return;
  const bool confirmed = std::all_of(roster_.vms.begin(), roster_.vms.end(), [&](const Vm& aVm) {
    const auto found = confirmed_.find(aVm.id);
    return aVm.id == self_.id || (found != confirmed_.end() && found->second >= joinVersion_);
  });
  if (!confirmed)
    return;
  AdvanceAll(aNow);
  settled_ = true;
}

void
ShareBook::SetPeers(const std::vector<Vm>& aLive)
{
  peers_ = aLive;
  std::erase_if(peers_, [&](const Vm& aVm) { return aVm.id == self_.id; });
}

void
ShareBook::SetAmount(const ShareKey& aKey,
                     double aAmount,
                     const std::optional<RegionId>& aRegion,
                     TimePoint aNow)
{
  const auto [place, added] = accounts_.try_emplace(aKey);
  Account& account = place->second;
  if (added)
    account.advanced = aNow;
  Advance(account, aNow);
  account.amount = aAmount;
  account.region = aRegion;
  BoundBuckets(account, aNow);
}

void
ShareBook::RemoveAmount(const ShareKey& aKey, TimePoint aNow)
{
  Account* account = Find(aKey);
  if (!account)
    return;
  Advance(*account, aNow);
  account->amount = 0;
  account->demand = 0;
  BoundBuckets(*account, aNow);
  busy_.erase(aKey);
  // Open loans must still count if the amount comes back.
  if (account->lent.empty())
    accounts_.erase(aKey);
}

void
ShareBook::SetDemand(const ShareKey& aKey, double aDemand, double aHeld, TimePoint aNow)
{
  Account* account = Find(aKey);
  if (!account)
    return;
  account->demand = aDemand;
  account->held = aHeld;
  if (aDemand > Base(*account, aNow))
    busy_.insert(aKey);
}

double
ShareBook::Available(const ShareKey& aKey, TimePoint aNow) const
{
  return AvailableUntil(aKey, aNow, aNow);
}

double
ShareBook::AvailableUntil(const ShareKey& aKey, TimePoint aUntil, TimePoint aNow) const
{
  assert(aUntil >= aNow && "the end is before the present");
  const Account* account = Find(aKey);
  return account ? std::max(0.0, ShareOf(*account, aUntil, aNow)) : 0;
}

void
ShareBook::SetBuckets(const ShareKey& aKey,
                      const std::vector<BucketOptions>& aOptions,
                      TimePoint aNow)
{
  Account* account = Find(aKey);
  assert(account && "SetAmount comes first");
  account->buckets.clear();
  for (const BucketOptions& options : aOptions)
    account->buckets.emplace_back(options);
  account->advanced = aNow;
}

double
ShareBook::Tokens(const ShareKey& aKey, size_t aIndex, TimePoint aNow)
{
  Account* account = Find(aKey);
  if (!account)
    return 0;
  Advance(*account, aNow);
  return account->buckets.at(aIndex).Tokens();
}

double
ShareBook::BucketSize(const ShareKey& aKey, size_t aIndex, TimePoint aNow) const
{
  const Account* account = Find(aKey);
  return account ? account->buckets.at(aIndex).Size(ShareOf(*account, aNow, aNow)) : 0;
}

void
ShareBook::TakeTokens(const ShareKey& aKey, size_t aIndex, double aAmount, TimePoint aNow)
{
  Account* account = Find(aKey);
  assert(account && "the amount does not exist");
  Advance(*account, aNow);
  account->buckets.at(aIndex).Take(aAmount);
}

void
ShareBook::OnTick(TimePoint aNow)
{
  for (auto key = busy_.begin(); key != busy_.end();) {
    Account& account = accounts_.at(*key);
    Advance(account, aNow);
    GiveBack(*key, account, aNow);
    Ask(*key, account, aNow);
    const bool idle = account.borrowed.empty() && !account.pending &&
                      account.demand <= ShareOf(account, aNow, aNow);
    key = idle ? busy_.erase(key) : std::next(key);
  }
}

void
ShareBook::Ask(const ShareKey& aKey, Account& aAccount, TimePoint aNow)
{
  if (aAccount.pending) {
    if (aNow - aAccount.pending->sent < options_.requestTimeout)
      return;
    // The peer is late; others are asked first for a while.
    aAccount.spares[aAccount.pending->peer] = Spare{ .amount = 0, .heard = aNow };
    if (Loan* loan = FindLoan(aAccount.borrowed, aAccount.pending->peer, aAccount.pending->nonce))
      loan->last = true;
    aAccount.pending.reset();
  }
  const TimePoint horizon = aNow + options_.renewBefore;
  const double lasting = std::max(0.0, ShareOf(aAccount, horizon, aNow));
  const double missing = std::min(aAccount.demand, aAccount.amount) - lasting;
  if (missing <= kLeastLoan * aAccount.amount)
    return;
  for (const Loan& loan : aAccount.borrowed) {
    if (loan.expires <= horizon && !loan.last)
      return SendRequest(aKey, aAccount, loan.peer, loan.nonce, loan.amount, aNow);
  }
  if (const std::optional<VmId> peer = ChoosePeer(aAccount, aNow))
    SendRequest(aKey, aAccount, *peer, random_.Next(), missing, aNow);
}

void
ShareBook::SendRequest(const ShareKey& aKey,
                       Account& aAccount,
                       const VmId& aPeer,
                       uint64_t aNonce,
                       double aAmount,
                       TimePoint aNow)
{
  aAccount.pending = Pending{ .peer = aPeer, .nonce = aNonce, .sent = aNow };
  hooks_.request(aPeer, ShareRequest{ .nonce = aNonce, .key = aKey, .amount = aAmount });
}

ShareBook::Loan*
ShareBook::FindLoan(std::vector<Loan>& aLoans, const VmId& aPeer, uint64_t aNonce)
{
  const auto found = std::find_if(aLoans.begin(), aLoans.end(), [&](const Loan& aLoan) {
    return aLoan.peer == aPeer && aLoan.nonce == aNonce;
  });
  return found == aLoans.end() ? nullptr : &*found;
}

std::optional<VmId>
ShareBook::ChoosePeer(const Account& aAccount, TimePoint aNow)
{
  std::optional<VmId> best;
  double bestSpare = 0;
  std::vector<const VmId*> unknown;
  for (const Vm& peer : peers_) {
    if (aAccount.region && peer.region != *aAccount.region)
      continue;
    const auto spare = aAccount.spares.find(peer.id);
    if (spare == aAccount.spares.end() || aNow - spare->second.heard >= options_.spareAge) {
      unknown.push_back(&peer.id);
    } else if (spare->second.amount > bestSpare) {
      best = peer.id;
      bestSpare = spare->second.amount;
    }
  }
  if (!best && !unknown.empty())
    best = *unknown.at(random_.Below(unknown.size()));
  return best;
}

void
ShareBook::GiveBack(const ShareKey& aKey, Account& aAccount, TimePoint aNow)
{
  for (auto loan = aAccount.borrowed.begin(); loan != aAccount.borrowed.end();) {
    const double rest = ShareOf(aAccount, aNow, aNow) - loan->amount;
    // Requests in flight were admitted against loans that outlast them, so a loan may go only when
    // the share without any loan covers them all.
    const double own = ShareOf(aAccount, TimePoint::max(), aNow);
    // A renewal on its way would bring a returned loan back to life at this end only.
    const bool renewing = aAccount.pending && aAccount.pending->nonce == loan->nonce;
    if (renewing || rest < options_.giveBackAbove * aAccount.demand || own < aAccount.held) {
      ++loan;
      continue;
    }
    hooks_.giveBack(loan->peer, ShareReturn{ .nonce = loan->nonce, .key = aKey });
    loan = aAccount.borrowed.erase(loan);
    BoundBuckets(aAccount, aNow);
  }
}

void
ShareBook::OnShareRequest(const VmId& aFrom, const ShareRequest& aRequest, TimePoint aNow)
{
  ShareGrant grant{ .nonce = aRequest.nonce, .key = aRequest.key, .amount = 0, .spare = 0 };
  if (Account* account = Find(aRequest.key)) {
    Advance(*account, aNow);
    Lend(aFrom, *account, grant, aRequest.amount, aNow);
    grant.spare = SpareOf(aRequest.key, *account, aNow);
  }
  hooks_.grant(aFrom, grant);
}

void
ShareBook::Lend(const VmId& aTo,
                Account& aAccount,
                ShareGrant& aGrant,
                double aWanted,
                TimePoint aNow)
{
  const TimePoint expires = aNow + LenderTime();
  if (Loan* loan = FindLoan(aAccount.lent, aTo, aGrant.nonce)) {
    // A lender that lacks something itself lets the loan end.
    if (ShareOf(aAccount, TimePoint::max(), aNow) < std::max(aAccount.demand, aAccount.held))
      return;
    loan->expires = expires;
    aGrant.amount = loan->amount;
    return;
  }
  aGrant.amount = std::clamp(aWanted, 0.0, SpareOf(aGrant.key, aAccount, aNow));
  if (aGrant.amount <= 0)
    return;
  aAccount.lent.push_back(
    Loan{ .peer = aTo, .nonce = aGrant.nonce, .amount = aGrant.amount, .expires = expires });
  BoundBuckets(aAccount, aNow);
}

void
ShareBook::OnShareGrant(const VmId& aFrom, const ShareGrant& aGrant, TimePoint aNow)
{
  Account* account = Find(aGrant.key);
  if (account)
    Advance(*account, aNow);
  Loan* loan = account ? FindLoan(account->borrowed, aFrom, aGrant.nonce) : nullptr;
  const bool expected = account && account->pending && account->pending->peer == aFrom &&
                        account->pending->nonce == aGrant.nonce;
  if (!expected) {
    // The answer came after its timeout. A new loan was never used; a renewed one still is.
    if (aGrant.amount > 0 && !loan)
      hooks_.giveBack(aFrom, ShareReturn{ .nonce = aGrant.nonce, .key = aGrant.key });
    return;
  }
  const TimePoint expires = account->pending->sent + options_.loanTime;
  account->pending.reset();
  account->spares[aFrom] = Spare{ .amount = aGrant.spare, .heard = aNow };
  if (loan) {
    loan->last = aGrant.amount <= 0;
    loan->expires = loan->last ? loan->expires : expires;
    loan->amount = loan->last ? loan->amount : std::min(loan->amount, aGrant.amount);
  } else if (aGrant.amount > 0 && aNow < expires) {
    account->borrowed.push_back(
      Loan{ .peer = aFrom, .nonce = aGrant.nonce, .amount = aGrant.amount, .expires = expires });
  }
  Ask(aGrant.key, *account, aNow);
}

void
ShareBook::OnShareReturn(const VmId& aFrom, const ShareReturn& aReturn, TimePoint aNow)
{
  Account* account = Find(aReturn.key);
  if (!account)
    return;
  Advance(*account, aNow);
  std::erase_if(account->lent, [&](const Loan& aLoan) {
    return aLoan.peer == aFrom && aLoan.nonce == aReturn.nonce;
  });
}

ShareBook::Account*
ShareBook::Find(const ShareKey& aKey)
{
  const auto found = accounts_.find(aKey);
  return found == accounts_.end() ? nullptr : &found->second;
}

const ShareBook::Account*
ShareBook::Find(const ShareKey& aKey) const
{
  const auto found = accounts_.find(aKey);
  return found == accounts_.end() ? nullptr : &found->second;
}

uint32_t
ShareBook::CountOf(const Roster& aRoster, const Account& aAccount)
{
  if (!aAccount.region)
    return static_cast<uint32_t>(aRoster.vms.size());
  const auto found = aRoster.perRegion.find(*aAccount.region);
  return found == aRoster.perRegion.end() ? 0 : found->second;
}

double
ShareBook::Base(const Account& aAccount, TimePoint aNow) const
{
  if (!settled_ || aNow - started_ < options_.startHold)
    return 0;
  if (aAccount.region && *aAccount.region != self_.region)
    return 0;
  // A VM that the new roster leaves out no longer runs, but its loans last until they expire.
  uint32_t count = CountOf(roster_, aAccount);
  for (const Roster& past : pastRosters_) {
    if (aNow - past.replaced < LenderTime())
      count = std::max(count, CountOf(past, aAccount));
  }
  return count == 0 ? 0 : aAccount.amount / count;
}

double
ShareBook::ShareOf(const Account& aAccount, TimePoint aUntil, TimePoint aNow) const
{
  double share = Base(aAccount, aNow);
  for (const Loan& loan : aAccount.lent)
    share -= aNow < loan.expires ? loan.amount : 0;
  for (const Loan& loan : aAccount.borrowed)
    share += aUntil < loan.expires ? loan.amount : 0;
  return share;
}

double
ShareBook::SpareOf(const ShareKey& aKey, const Account& aAccount, TimePoint aNow) const
{
  const double keep = aKey.kind == ShareKind::PlanInFlight ? 0 : options_.keepPart;
  const double kept = std::max(aAccount.demand, aAccount.held) + keep * Base(aAccount, aNow);
  // Loans from others are left out: they are not lent on.
  return std::max(0.0, ShareOf(aAccount, TimePoint::max(), aNow) - kept);
}

void
ShareBook::Advance(Account& aAccount, TimePoint aNow) const
{
  while (aAccount.advanced < aNow) {
    TimePoint next = aNow;
    for (const std::vector<Loan>* loans : { &aAccount.lent, &aAccount.borrowed }) {
      for (const Loan& loan : *loans)
        next = loan.expires > aAccount.advanced ? std::min(next, loan.expires) : next;
    }
    // The base share can only rise between two calls, so its value at the start is a lower bound.
    const double share = std::max(0.0, ShareOf(aAccount, aAccount.advanced, aAccount.advanced));
    for (TokenBucket& bucket : aAccount.buckets)
      bucket.Fill(share, next - aAccount.advanced);
    aAccount.advanced = next;
    BoundBuckets(aAccount, next);
  }
  const auto expired = [&](const Loan& aLoan) { return aLoan.expires <= aNow; };
  std::erase_if(aAccount.lent, expired);
  std::erase_if(aAccount.borrowed, expired);
}

void
ShareBook::BoundBuckets(Account& aAccount, TimePoint aNow) const
{
  const double share = std::max(0.0, ShareOf(aAccount, aNow, aNow));
  for (TokenBucket& bucket : aAccount.buckets)
    bucket.Bound(share);
}

void
ShareBook::AdvanceAll(TimePoint aNow)
{
  for (auto& [key, account] : accounts_) {
    Advance(account, aNow);
    BoundBuckets(account, aNow);
  }
}

} // namespace dfm
