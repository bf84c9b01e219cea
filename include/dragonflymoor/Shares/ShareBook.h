#ifndef DRAGONFLYMOOR_SHARES_SHAREBOOK_H
#define DRAGONFLYMOOR_SHARES_SHAREBOOK_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Shares/TokenBucket.h"
#include "dragonflymoor/Support/Random.h"
#include "dragonflymoor/Support/Time.h"
#include "dragonflymoor/Wire/Messages.h"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace dfm {

struct ShareOptions
{
  /// Time for which a borrower may use a loan, measured by the borrower's clock from sending the
  /// request.
  Duration loanTime = 3s;
  /// Extra time for which the lender counts the loan as lent, by the lender's clock. Two clocks
  /// that each drift by 5 % differ by a factor of 1.05 / 0.95, which is 316 ms in 3 s; 200 ms would
  /// cover only 3.2 % each.
  Duration lenderMargin = 350ms;
  /// For this time after its start, a process neither uses nor lends its base share, because loans
  /// granted by the VM's previous run may still be in use.
  Duration startHold = 3350ms;
  Duration requestTimeout = 500ms;   ///< After this, the request is sent to another peer.
  Duration spareReportLifetime = 1s; ///< For this time, a peer's reported spare amount is used.
  /// A loan that is still needed is renewed when it has less than this time left. A renewal extends
  /// the loan in place: the lender has nothing left for a second loan beside it.
  Duration renewalLeadTime = 1500ms;
  /// Fraction of the base share that a lender keeps above its own demand, so that it can serve its
  /// first requests at once. Shares of in-flight limits are small and are lent without this
  /// reserve.
  double reservedFraction = 0.1;
  /// A loan is returned when the share without it is at least this many times the demand.
  double returnThreshold = 1.25;
};

/// Callbacks that send a ShareBook's messages. All must be set and must not call the ShareBook.
struct ShareHooks
{
  std::function<void(const VmId&, const ShareRequest&)> request;
  std::function<void(const VmId&, const ShareGrant&)> grant;
  std::function<void(const VmId&, const ShareReturn&)> giveBack;
};

/// This VM's share of every fleet-wide amount: an equal base share for each VM of the roster, plus
/// borrowed and minus lent amounts (section 6 of the design). The sum of the shares of all VMs
/// never exceeds an amount, once every VM knows the amount. Not thread-safe. Times must never
/// decrease from one call to the next.
class ShareBook
{
public:
  ShareBook(Vm aSelf, ShareOptions aOptions, ShareHooks aHooks, uint64_t aSeed, TimePoint aNow);

  /// Puts a roster version into force. A version that is not higher than the current one is
  /// ignored. aSettledVms contains the VMs that the roster marks as settled: every other VM has
  /// confirmed a version that contains them. They need no confirmations after a restart.
  void SetRoster(ListVersion aVersion,
                 const std::vector<Vm>& aVms,
                 TimePoint aNow,
                 const std::set<VmId>& aSettledVms = {});

  /// Returns the version that this VM confirms in its probes. An earlier version stays confirmed
  /// while loans or requests in flight still use more than the new base share, and while loans
  /// granted by a VM that the new version removes may still be in use.
  ListVersion ConfirmedRoster(TimePoint aNow);

  /// Records the roster version that a probe from aVm confirmed.
  void OnRosterConfirmed(const VmId& aVm, ListVersion aVersion, TimePoint aNow);

  /// True when every other VM of the roster has confirmed a version that contains this VM, or the
  /// roster marked this VM as settled. Only then does this VM have a base share.
  bool Settled() const { return settled_; }

  /// Sets the live VMs that can be asked for a loan; this VM itself is removed from the list.
  void SetPeers(const std::vector<Vm>& aLiveVms);

  /// Sets an amount. With a region, only the roster's VMs of that region share it.
  void SetAmount(const ShareKey& aKey,
                 double aAmount,
                 const std::optional<RegionId>& aRegion,
                 TimePoint aNow);
  /// Removes an amount; its base share becomes 0. Loans granted from it are kept until they
  /// expire.
  void RemoveAmount(const ShareKey& aKey, TimePoint aNow);

  /// States how much this VM would like to use (aDemand) and how much of it is in use and cannot be
  /// given away (aInUse, for amounts in flight; 0 for rates).
  void SetDemand(const ShareKey& aKey, double aDemand, double aInUse, TimePoint aNow);

  /// Returns how much this VM may use now. Call it immediately before each use.
  double Available(const ShareKey& aKey, TimePoint aNow) const;
  /// Returns how much this VM may use continuously from now until aUntil. Precondition: aUntil is
  /// not before aNow.
  double AvailableUntil(const ShareKey& aKey, TimePoint aUntil, TimePoint aNow) const;

  /// Attaches token buckets to a rate, replacing earlier ones. They follow every change of the
  /// share exactly, so that the buckets of all VMs together stay within the amount.
  void SetBuckets(const ShareKey& aKey, const std::vector<BucketOptions>& aOptions, TimePoint aNow);
  /// Returns the tokens that may be taken now from bucket aIndex.
  double Tokens(const ShareKey& aKey, size_t aIndex, TimePoint aNow);
  /// Returns the current capacity of bucket aIndex.
  double BucketSize(const ShareKey& aKey, size_t aIndex, TimePoint aNow) const;
  /// Precondition: aAmount is at most Tokens(aKey, aIndex, aNow).
  void TakeTokens(const ShareKey& aKey, size_t aIndex, double aAmount, TimePoint aNow);

  /// Requests and renews loans, and returns those that are no longer needed. To be called every 20
  /// ms or so.
  void OnTick(TimePoint aNow);

  void OnShareRequest(const VmId& aFrom, const ShareRequest& aRequest, TimePoint aNow);
  void OnShareGrant(const VmId& aFrom, const ShareGrant& aGrant, TimePoint aNow);
  void OnShareReturn(const VmId& aFrom, const ShareReturn& aReturn, TimePoint aNow);

private:
  struct Roster
  {
    ListVersion version = 0;
    std::vector<Vm> vms;
    std::map<RegionId, uint32_t> perRegion;
    bool containsSelf = false;
    TimePoint inForceSince; ///< Time at which this version came into force.
    TimePoint replacedAt;   ///< Valid for past rosters.
  };
  struct Loan
  {
    VmId peer;
    uint64_t nonce = 0;
    double amount = 0;
    TimePoint expires;
    bool renewalFailed = false; ///< The lender refused a renewal or did not answer in time.
  };
  struct PendingRequest
  {
    VmId peer;
    uint64_t nonce = 0;
    TimePoint sentAt;
  };
  struct SpareReport
  {
    double amount = 0;
    TimePoint receivedAt;
  };
  struct Account
  {
    double amount = 0;
    std::optional<RegionId> region;
    double demand = 0;
    double inUse = 0;
    std::vector<Loan> lent;
    std::vector<Loan> borrowed;
    std::optional<PendingRequest> pending;
    std::map<VmId, SpareReport> spares; ///< Amounts that peers reported they can still lend.
    std::vector<TokenBucket> buckets;
    TimePoint advancedTo; ///< Time up to which the buckets have been filled.
  };

  /// Returns the number of VMs of aRoster that share the account's amount.
  static uint32_t CountSharingVms(const Roster& aRoster, const Account& aAccount);
  Account* FindAccount(const ShareKey& aKey);
  const Account* FindAccount(const ShareKey& aKey) const;
  double BaseShare(const Account& aAccount, TimePoint aNow) const;
  /// Base share less loans to others, plus loans from others that last until aUntil.
  double ShareOf(const Account& aAccount, TimePoint aUntil, TimePoint aNow) const;
  /// Own share that may be lent: without borrowed amounts, own needs and the reserve.
  double LendableAmount(const ShareKey& aKey, const Account& aAccount, TimePoint aNow) const;
  /// Fills the buckets up to aNow, step by step between loan expiries, and drops expired loans.
  void AdvanceAccount(Account& aAccount, TimePoint aNow) const;
  /// Discards tokens that exceed the bucket capacities of the share at aNow.
  void CapBuckets(Account& aAccount, TimePoint aNow) const;
  void AdvanceAllAccounts(TimePoint aNow);
  /// True when no account lends or uses more than the roster in force allows.
  bool FitsNewBaseShare(TimePoint aNow) const;
  void SettleIfConfirmed(TimePoint aNow);
  static Loan* FindLoan(std::vector<Loan>& aLoans, const VmId& aPeer, uint64_t aNonce);
  void SendRequest(const ShareKey& aKey,
                   Account& aAccount,
                   const VmId& aPeer,
                   uint64_t aNonce,
                   double aAmount,
                   TimePoint aNow);
  std::optional<VmId> ChoosePeer(const Account& aAccount, TimePoint aNow);
  /// Requests or renews one loan if the share will not cover the demand.
  void RequestLoan(const ShareKey& aKey, Account& aAccount, TimePoint aNow);
  /// Renews the loan of aGrant's nonce, or grants a new one, and sets aGrant.amount.
  void GrantLoan(const VmId& aTo,
                 Account& aAccount,
                 ShareGrant& aGrant,
                 double aRequested,
                 TimePoint aNow);
  void ReturnUnneededLoans(const ShareKey& aKey, Account& aAccount, TimePoint aNow);
  /// Time for which a lender counts a loan as lent.
  Duration LenderLoanTime() const { return options_.loanTime + options_.lenderMargin; }

  Vm self_;
  ShareOptions options_;
  ShareHooks hooks_;
  Random random_;
  TimePoint startedAt_;
  Roster roster_;
  std::vector<Roster> pastRosters_; ///< Pruned in SetRoster after LenderLoanTime().
  ListVersion ownConfirmedVersion_ = 0;
  TimePoint earliestConfirmation_;  ///< No new roster version is confirmed before this time.
  ListVersion joinedAtVersion_ = 0; ///< Version at which this VM last entered the roster.
  bool settled_ = false;
  std::map<VmId, ListVersion> confirmedVersions_;
  ListVersion highestVersionSeen_ = 0;
  std::vector<Vm> peers_;
  std::map<ShareKey, Account> accounts_;
  std::set<ShareKey> activeAccounts_; ///< Keys of the accounts that OnTick processes.
};

} // namespace dfm

#endif
