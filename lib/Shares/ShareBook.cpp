#include "dragonflymoor/Shares/ShareBook.h"

#include <algorithm>
#include <cassert>

namespace dfm {

namespace {

/// Smallest missing part of an amount, as a fraction of it, for which a loan is requested.
constexpr double kMinLoanFraction = 1e-6;

/// Tolerance for rounding errors in sums of shares, relative to the amount.
constexpr double kRoundingTolerance = 1e-9;

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
  , startedAt_(aNow)
  , earliestConfirmation_(aNow + aOptions.startHold)
{
  assert(hooks_.request && hooks_.grant && hooks_.giveBack && "every hook must be set");
}

void
ShareBook::SetRoster(ListVersion aVersion,
                     const std::vector<Vm>& aVms,
                     TimePoint aNow,
                     const std::set<VmId>& aSettledVms)
{
  if (aVersion <= roster_.version)
    return;
  AdvanceAllAccounts(aNow);
  std::erase_if(pastRosters_,
                [&](const Roster& aPast) { return aNow - aPast.replacedAt >= LenderLoanTime(); });
  if (roster_.version != 0) {
    roster_.replacedAt = aNow;
    pastRosters_.push_back(roster_);
  }
  Roster next{ .version = aVersion,
               .vms = aVms,
               .perRegion = {},
               .containsSelf = false,
               .inForceSince = aNow,
               .replacedAt = {} };
  for (const Vm& vm : aVms) {
    ++next.perRegion[vm.region];
    next.containsSelf = next.containsSelf || vm.id == self_.id;
  }
  std::set<VmId> nextIds;
  for (const Vm& vm : aVms)
    nextIds.insert(vm.id);
  const bool vmsRemoved = std::any_of(roster_.vms.begin(), roster_.vms.end(), [&](const Vm& aVm) {
    return !nextIds.contains(aVm.id);
  });
  // The base share of a removed VM must not pass to a new VM before the loans that the removed VM
  // granted have ended.
  if (vmsRemoved)
    earliestConfirmation_ = std::max(earliestConfirmation_, aNow + LenderLoanTime());
  if (next.containsSelf && !roster_.containsSelf)
    joinedAtVersion_ = aVersion;
  roster_ = std::move(next);
  highestVersionSeen_ = std::max(highestVersionSeen_, aVersion);
  if (!roster_.containsSelf)
    settled_ = false;
  if (roster_.containsSelf && aSettledVms.contains(self_.id) && highestVersionSeen_ == aVersion)
    settled_ = true;
  SettleIfConfirmed(aNow);
  AdvanceAllAccounts(aNow);
}

ListVersion
ShareBook::ConfirmedRoster(TimePoint aNow)
{
  if (aNow >= earliestConfirmation_ && FitsNewBaseShare(aNow))
    ownConfirmedVersion_ = roster_.version;
  return ownConfirmedVersion_;
}

bool
ShareBook::FitsNewBaseShare(TimePoint aNow) const
{
  // Requests that were admitted against a loan end before the loan does.
  const bool loansEnded = aNow - roster_.inForceSince >= LenderLoanTime();
  return std::all_of(accounts_.begin(), accounts_.end(), [&](const auto& aEntry) {
    const Account& account = aEntry.second;
    const double tolerance = kRoundingTolerance * account.amount;
    const double shareWithoutBorrowed = ShareOf(account, TimePoint::max(), aNow);
    if (shareWithoutBorrowed < -tolerance)
      return false;
    return account.inUse <=
           (loansEnded ? ShareOf(account, aNow, aNow) : shareWithoutBorrowed) + tolerance;
  });
}

void
ShareBook::OnRosterConfirmed(const VmId& aVm, ListVersion aVersion, TimePoint aNow)
{
  ListVersion& confirmedVersion = confirmedVersions_[aVm];
  if (aVersion <= confirmedVersion)
    return;
  confirmedVersion = aVersion;
  highestVersionSeen_ = std::max(highestVersionSeen_, aVersion);
  SettleIfConfirmed(aNow);
}

void
ShareBook::SettleIfConfirmed(TimePoint aNow)
{
  // A VM that restarted must not settle on a roster that other VMs have already replaced.
  if (settled_ || !roster_.containsSelf || highestVersionSeen_ > roster_.version)
    return;
  const bool confirmed = std::all_of(roster_.vms.begin(), roster_.vms.end(), [&](const Vm& aVm) {
    const auto found = confirmedVersions_.find(aVm.id);
    return aVm.id == self_.id ||
           (found != confirmedVersions_.end() && found->second >= joinedAtVersion_);
  });
  if (!confirmed)
    return;
  AdvanceAllAccounts(aNow);
  settled_ = true;
}

void
ShareBook::SetPeers(const std::vector<Vm>& aLiveVms)
{
  peers_ = aLiveVms;
  std::erase_if(peers_, [&](const Vm& aVm) { return aVm.id == self_.id; });
}

void
ShareBook::SetAmount(const ShareKey& aKey,
                     double aAmount,
                     const std::optional<RegionId>& aRegion,
                     TimePoint aNow)
{
  const auto [entry, added] = accounts_.try_emplace(aKey);
  Account& account = entry->second;
  if (added)
    account.advancedTo = aNow;
  AdvanceAccount(account, aNow);
  account.amount = aAmount;
  account.region = aRegion;
  CapBuckets(account, aNow);
}

void
ShareBook::RemoveAmount(const ShareKey& aKey, TimePoint aNow)
{
  Account* account = FindAccount(aKey);
  if (!account)
    return;
  AdvanceAccount(*account, aNow);
  account->amount = 0;
  account->demand = 0;
  CapBuckets(*account, aNow);
  activeAccounts_.erase(aKey);
  // Loans that were granted must still be deducted if the amount is set again.
  if (account->lent.empty())
    accounts_.erase(aKey);
}

void
ShareBook::SetDemand(const ShareKey& aKey, double aDemand, double aInUse, TimePoint aNow)
{
  Account* account = FindAccount(aKey);
  if (!account)
    return;
  account->demand = aDemand;
  account->inUse = aInUse;
  if (aDemand > BaseShare(*account, aNow))
    activeAccounts_.insert(aKey);
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
  const Account* account = FindAccount(aKey);
  return account ? std::max(0.0, ShareOf(*account, aUntil, aNow)) : 0;
}

void
ShareBook::SetBuckets(const ShareKey& aKey,
                      const std::vector<BucketOptions>& aOptions,
                      TimePoint aNow)
{
  Account* account = FindAccount(aKey);
  assert(account && "SetAmount comes first");
  account->buckets.clear();
  for (const BucketOptions& options : aOptions)
    account->buckets.emplace_back(options);
  account->advancedTo = aNow;
}

double
ShareBook::Tokens(const ShareKey& aKey, size_t aIndex, TimePoint aNow)
{
  Account* account = FindAccount(aKey);
  if (!account)
    return 0;
  AdvanceAccount(*account, aNow);
  return account->buckets.at(aIndex).Tokens();
}

double
ShareBook::BucketSize(const ShareKey& aKey, size_t aIndex, TimePoint aNow) const
{
  const Account* account = FindAccount(aKey);
  return account ? account->buckets.at(aIndex).Size(ShareOf(*account, aNow, aNow)) : 0;
}

void
ShareBook::TakeTokens(const ShareKey& aKey, size_t aIndex, double aAmount, TimePoint aNow)
{
  Account* account = FindAccount(aKey);
  assert(account && "the amount does not exist");
  AdvanceAccount(*account, aNow);
  account->buckets.at(aIndex).Take(aAmount);
}

void
ShareBook::OnTick(TimePoint aNow)
{
  for (auto key = activeAccounts_.begin(); key != activeAccounts_.end();) {
    Account& account = accounts_.at(*key);
    AdvanceAccount(account, aNow);
    ReturnUnneededLoans(*key, account, aNow);
    RequestLoan(*key, account, aNow);
    const bool idle = account.borrowed.empty() && !account.pending &&
                      account.demand <= ShareOf(account, aNow, aNow);
    key = idle ? activeAccounts_.erase(key) : std::next(key);
  }
}

void
ShareBook::RequestLoan(const ShareKey& aKey, Account& aAccount, TimePoint aNow)
{
  if (aAccount.pending) {
    if (aNow - aAccount.pending->sentAt < options_.requestTimeout)
      return;
    // The peer did not answer in time. A spare amount of 0 excludes it from new requests for
    // spareReportLifetime.
    aAccount.spares[aAccount.pending->peer] = SpareReport{ .amount = 0, .receivedAt = aNow };
    if (Loan* loan = FindLoan(aAccount.borrowed, aAccount.pending->peer, aAccount.pending->nonce))
      loan->renewalFailed = true;
    aAccount.pending.reset();
  }
  const TimePoint horizon = aNow + options_.renewalLeadTime;
  const double shareAtHorizon = std::max(0.0, ShareOf(aAccount, horizon, aNow));
  const double missing = std::min(aAccount.demand, aAccount.amount) - shareAtHorizon;
  if (missing <= kMinLoanFraction * aAccount.amount)
    return;
  for (const Loan& loan : aAccount.borrowed) {
    if (loan.expires <= horizon && !loan.renewalFailed)
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
  aAccount.pending = PendingRequest{ .peer = aPeer, .nonce = aNonce, .sentAt = aNow };
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
  std::vector<const VmId*> peersWithoutReport;
  for (const Vm& peer : peers_) {
    if (aAccount.region && peer.region != *aAccount.region)
      continue;
    const auto spare = aAccount.spares.find(peer.id);
    if (spare == aAccount.spares.end() ||
        aNow - spare->second.receivedAt >= options_.spareReportLifetime) {
      peersWithoutReport.push_back(&peer.id);
    } else if (spare->second.amount > bestSpare) {
      best = peer.id;
      bestSpare = spare->second.amount;
    }
  }
  if (!best && !peersWithoutReport.empty())
    best = *peersWithoutReport.at(random_.Below(peersWithoutReport.size()));
  return best;
}

void
ShareBook::ReturnUnneededLoans(const ShareKey& aKey, Account& aAccount, TimePoint aNow)
{
  for (auto loan = aAccount.borrowed.begin(); loan != aAccount.borrowed.end();) {
    const double shareWithoutLoan = ShareOf(aAccount, aNow, aNow) - loan->amount;
    // Requests in flight were admitted against loans that outlast them, so a loan may be returned
    // only when the share without any borrowed amount covers all of them.
    const double shareWithoutBorrowed = ShareOf(aAccount, TimePoint::max(), aNow);
    // If a loan were returned while its renewal is in flight, the answer would restore it at the
    // borrower only.
    const bool renewing = aAccount.pending && aAccount.pending->nonce == loan->nonce;
    if (renewing || shareWithoutLoan < options_.returnThreshold * aAccount.demand ||
        shareWithoutBorrowed < aAccount.inUse) {
      ++loan;
      continue;
    }
    hooks_.giveBack(loan->peer, ShareReturn{ .nonce = loan->nonce, .key = aKey });
    loan = aAccount.borrowed.erase(loan);
    CapBuckets(aAccount, aNow);
  }
}

void
ShareBook::OnShareRequest(const VmId& aFrom, const ShareRequest& aRequest, TimePoint aNow)
{
  ShareGrant grant{ .nonce = aRequest.nonce, .key = aRequest.key, .amount = 0, .spare = 0 };
  if (Account* account = FindAccount(aRequest.key)) {
    AdvanceAccount(*account, aNow);
    GrantLoan(aFrom, *account, grant, aRequest.amount, aNow);
    grant.spare = LendableAmount(aRequest.key, *account, aNow);
  }
  hooks_.grant(aFrom, grant);
}

void
ShareBook::GrantLoan(const VmId& aTo,
                     Account& aAccount,
                     ShareGrant& aGrant,
                     double aRequested,
                     TimePoint aNow)
{
  const TimePoint expires = aNow + LenderLoanTime();
  if (Loan* loan = FindLoan(aAccount.lent, aTo, aGrant.nonce)) {
    // A lender whose own share does not cover its needs does not renew the loan.
    if (ShareOf(aAccount, TimePoint::max(), aNow) < std::max(aAccount.demand, aAccount.inUse))
      return;
    loan->expires = expires;
    aGrant.amount = loan->amount;
    return;
  }
  aGrant.amount = std::clamp(aRequested, 0.0, LendableAmount(aGrant.key, aAccount, aNow));
  if (aGrant.amount <= 0)
    return;
  aAccount.lent.push_back(
    Loan{ .peer = aTo, .nonce = aGrant.nonce, .amount = aGrant.amount, .expires = expires });
  CapBuckets(aAccount, aNow);
}

void
ShareBook::OnShareGrant(const VmId& aFrom, const ShareGrant& aGrant, TimePoint aNow)
{
  Account* account = FindAccount(aGrant.key);
  if (account)
    AdvanceAccount(*account, aNow);
  Loan* loan = account ? FindLoan(account->borrowed, aFrom, aGrant.nonce) : nullptr;
  const bool answersPending = account && account->pending && account->pending->peer == aFrom &&
                              account->pending->nonce == aGrant.nonce;
  if (!answersPending) {
    // The answer came after its request timed out. A new loan has not been used and is returned; a
    // renewed loan is still in use.
    if (aGrant.amount > 0 && !loan)
      hooks_.giveBack(aFrom, ShareReturn{ .nonce = aGrant.nonce, .key = aGrant.key });
    return;
  }
  const TimePoint expires = account->pending->sentAt + options_.loanTime;
  account->pending.reset();
  account->spares[aFrom] = SpareReport{ .amount = aGrant.spare, .receivedAt = aNow };
  if (loan) {
    loan->renewalFailed = aGrant.amount <= 0;
    loan->expires = loan->renewalFailed ? loan->expires : expires;
    loan->amount = loan->renewalFailed ? loan->amount : std::min(loan->amount, aGrant.amount);
  } else if (aGrant.amount > 0 && aNow < expires) {
    account->borrowed.push_back(
      Loan{ .peer = aFrom, .nonce = aGrant.nonce, .amount = aGrant.amount, .expires = expires });
  }
  RequestLoan(aGrant.key, *account, aNow);
}

void
ShareBook::OnShareReturn(const VmId& aFrom, const ShareReturn& aReturn, TimePoint aNow)
{
  Account* account = FindAccount(aReturn.key);
  if (!account)
    return;
  AdvanceAccount(*account, aNow);
  std::erase_if(account->lent, [&](const Loan& aLoan) {
    return aLoan.peer == aFrom && aLoan.nonce == aReturn.nonce;
  });
}

ShareBook::Account*
ShareBook::FindAccount(const ShareKey& aKey)
{
  const auto found = accounts_.find(aKey);
  return found == accounts_.end() ? nullptr : &found->second;
}

const ShareBook::Account*
ShareBook::FindAccount(const ShareKey& aKey) const
{
  const auto found = accounts_.find(aKey);
  return found == accounts_.end() ? nullptr : &found->second;
}

uint32_t
ShareBook::CountSharingVms(const Roster& aRoster, const Account& aAccount)
{
  if (!aAccount.region)
    return static_cast<uint32_t>(aRoster.vms.size());
  const auto found = aRoster.perRegion.find(*aAccount.region);
  return found == aRoster.perRegion.end() ? 0 : found->second;
}

double
ShareBook::BaseShare(const Account& aAccount, TimePoint aNow) const
{
  if (!settled_ || aNow - startedAt_ < options_.startHold)
    return 0;
  if (aAccount.region && *aAccount.region != self_.region)
    return 0;
  // A VM removed from the roster no longer runs, but its loans stay in use until they expire.
  uint32_t count = CountSharingVms(roster_, aAccount);
  for (const Roster& past : pastRosters_) {
    if (aNow - past.replacedAt < LenderLoanTime())
      count = std::max(count, CountSharingVms(past, aAccount));
  }
  return count == 0 ? 0 : aAccount.amount / count;
}

double
ShareBook::ShareOf(const Account& aAccount, TimePoint aUntil, TimePoint aNow) const
{
  double share = BaseShare(aAccount, aNow);
  for (const Loan& loan : aAccount.lent)
    share -= aNow < loan.expires ? loan.amount : 0;
  for (const Loan& loan : aAccount.borrowed)
    share += aUntil < loan.expires ? loan.amount : 0;
  return share;
}

double
ShareBook::LendableAmount(const ShareKey& aKey, const Account& aAccount, TimePoint aNow) const
{
  const double reservedFraction =
    aKey.kind == ShareKind::PlanInFlight ? 0 : options_.reservedFraction;
  const double reserved =
    std::max(aAccount.demand, aAccount.inUse) + reservedFraction * BaseShare(aAccount, aNow);
  // Borrowed amounts must not be lent on. TimePoint::max() excludes them from the share.
  return std::max(0.0, ShareOf(aAccount, TimePoint::max(), aNow) - reserved);
}

void
ShareBook::AdvanceAccount(Account& aAccount, TimePoint aNow) const
{
  while (aAccount.advancedTo < aNow) {
    TimePoint next = aNow;
    for (const std::vector<Loan>* loans : { &aAccount.lent, &aAccount.borrowed }) {
      for (const Loan& loan : *loans)
        next = loan.expires > aAccount.advancedTo ? std::min(next, loan.expires) : next;
    }
    // The base share can only rise between two calls, so its value at the start is a lower bound.
    const double share = std::max(0.0, ShareOf(aAccount, aAccount.advancedTo, aAccount.advancedTo));
    for (TokenBucket& bucket : aAccount.buckets)
      bucket.Fill(share, next - aAccount.advancedTo);
    aAccount.advancedTo = next;
    CapBuckets(aAccount, next);
  }
  const auto expired = [&](const Loan& aLoan) { return aLoan.expires <= aNow; };
  std::erase_if(aAccount.lent, expired);
  std::erase_if(aAccount.borrowed, expired);
}

void
ShareBook::CapBuckets(Account& aAccount, TimePoint aNow) const
{
  const double share = std::max(0.0, ShareOf(aAccount, aNow, aNow));
  for (TokenBucket& bucket : aAccount.buckets)
    bucket.Bound(share);
}

void
ShareBook::AdvanceAllAccounts(TimePoint aNow)
{
  for (auto& [key, account] : accounts_) {
    AdvanceAccount(account, aNow);
    CapBuckets(account, aNow);
  }
}

} // namespace dfm
