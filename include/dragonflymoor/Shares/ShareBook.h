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
  /// Time that a borrower may use a loan, from sending the request, by its own clock.
  Duration loanTime = 3s;
  /// Extra time that the lender waits, by its own clock. Two clocks that each drift by 5 % differ
  /// by a factor of 1.05 / 0.95, which is 316 ms in 3 s; 200 ms would cover only 3.2 % each.
  Duration lenderMargin = 350ms;
  /// A starting process uses and lends nothing of its base share for this time, because loans of
  /// the VM's earlier run may still be in use.
  Duration startHold = 3350ms;
  Duration requestTimeout = 500ms; ///< After this, another peer is asked.
  Duration spareAge = 1s;          ///< An advertised spare amount is believed for this time.
  /// A loan that is still needed is renewed when it has less than this time left. A renewal extends
  /// the loan in place: the lender has nothing left for a second loan beside it.
  Duration renewBefore = 1500ms;
  /// Part of the base share that a lender keeps above its own demand, so that it can serve its
  /// first requests at once. Amounts in flight are small and are lent in full.
  double keepPart = 0.1;
  /// Loans are given back when the rest is this many times the demand.
  double giveBackAbove = 1.25;
};

/// Messages that a ShareBook sends. All hooks must be set and must not call the book again.
struct ShareHooks
{
  std::function<void(const VmId&, const ShareRequest&)> request;
  std::function<void(const VmId&, const ShareGrant&)> grant;
  std::function<void(const VmId&, const ShareReturn&)> giveBack;
};

/// This VM's share of every fleet-wide amount: base share by roster, and loans (section 6 of the
/// design). The shares of all VMs never exceed an amount in sum, once every VM knows the amount.
/// Not thread-safe. Times must never decrease from one call to the next.
class ShareBook
{
public:
  ShareBook(Vm aSelf, ShareOptions aOptions, ShareHooks aHooks, uint64_t aSeed, TimePoint aNow);

  /// Takes a roster version into force. A version that is not higher than the present one is
  /// ignored. aSettled are VMs of which the roster states that every other VM had confirmed a
  /// version with them; such a VM need not wait for confirmations after a restart.
  void SetRoster(ListVersion aVersion,
                 const std::vector<Vm>& aVms,
                 TimePoint aNow,
                 const std::set<VmId>& aSettled = {});

  /// The version that this VM confirms in its probes. It trails the version in force while loans or
  /// requests in flight still use more than the new base share, and while loans of a VM that the
  /// new version leaves out may still be in use.
  ListVersion ConfirmedRoster(TimePoint aNow);

  /// A probe of aVm carried this confirmed version.
  void OnRosterConfirmed(const VmId& aVm, ListVersion aVersion, TimePoint aNow);

  /// True when this VM's place in the roster is confirmed by every other VM of the roster.
  bool Settled() const { return settled_; }

  /// Members that can be asked for a loan; this VM is left out.
  void SetPeers(const std::vector<Vm>& aLive);

  /// Sets an amount. With a region, only the roster's VMs of that region share it.
  void SetAmount(const ShareKey& aKey,
                 double aAmount,
                 const std::optional<RegionId>& aRegion,
                 TimePoint aNow);
  /// Forgets an amount: nothing of it is available any more.
  void RemoveAmount(const ShareKey& aKey, TimePoint aNow);

  /// States how much this VM would like to use (aDemand) and how much of it is in use and cannot be
  /// given away (aHeld, for amounts in flight; 0 for rates).
  void SetDemand(const ShareKey& aKey, double aDemand, double aHeld, TimePoint aNow);

  /// What this VM may use now. Call it immediately before each use.
  double Available(const ShareKey& aKey, TimePoint aNow) const;
  /// What this VM may use now and until aUntil. Precondition: aUntil is not before aNow.
  double AvailableUntil(const ShareKey& aKey, TimePoint aUntil, TimePoint aNow) const;

  /// Attaches token buckets to a rate, replacing earlier ones. They follow every change of the
  /// share exactly, so that the buckets of all VMs together stay within the amount.
  void SetBuckets(const ShareKey& aKey, const std::vector<BucketOptions>& aOptions, TimePoint aNow);
  /// Tokens that may be taken now from bucket aIndex, and its present size.
  double Tokens(const ShareKey& aKey, size_t aIndex, TimePoint aNow);
  double BucketSize(const ShareKey& aKey, size_t aIndex, TimePoint aNow) const;
  /// Precondition: aAmount is at most Tokens(aKey, aIndex, aNow).
  void TakeTokens(const ShareKey& aKey, size_t aIndex, double aAmount, TimePoint aNow);

  /// Asks for loans and gives unused ones back. To be called every 20 ms or so.
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
    TimePoint since;    ///< When it came into force.
    TimePoint replaced; ///< Valid for past rosters.
  };
  struct Loan
  {
    VmId peer;
    uint64_t nonce = 0;
    double amount = 0;
    TimePoint expires;
    bool last = false; ///< The lender did not renew it.
  };
  struct Pending
  {
    VmId peer;
    uint64_t nonce = 0;
    TimePoint sent;
  };
  struct Spare
  {
    double amount = 0;
    TimePoint heard;
  };
  struct Account
  {
    double amount = 0;
    std::optional<RegionId> region;
    double demand = 0;
    double held = 0;
    std::vector<Loan> lent;
    std::vector<Loan> borrowed;
    std::optional<Pending> pending;
    std::map<VmId, Spare> spares; ///< What peers said they could still lend.
    std::vector<TokenBucket> buckets;
    TimePoint advanced; ///< Time to which the buckets are filled.
  };

  static uint32_t CountOf(const Roster& aRoster, const Account& aAccount);
  Account* Find(const ShareKey& aKey);
  const Account* Find(const ShareKey& aKey) const;
  double Base(const Account& aAccount, TimePoint aNow) const;
  /// Base share less loans to others, plus loans from others that last until aUntil.
  double ShareOf(const Account& aAccount, TimePoint aUntil, TimePoint aNow) const;
  double SpareOf(const ShareKey& aKey, const Account& aAccount, TimePoint aNow) const;
  void Advance(Account& aAccount, TimePoint aNow) const;
  void BoundBuckets(Account& aAccount, TimePoint aNow) const;
  void AdvanceAll(TimePoint aNow);
  bool LoansFit(TimePoint aNow) const;
  void TrySettle(TimePoint aNow);
  static Loan* FindLoan(std::vector<Loan>& aLoans, const VmId& aPeer, uint64_t aNonce);
  void SendRequest(const ShareKey& aKey,
                   Account& aAccount,
                   const VmId& aPeer,
                   uint64_t aNonce,
                   double aAmount,
                   TimePoint aNow);
  std::optional<VmId> ChoosePeer(const Account& aAccount, TimePoint aNow);
  void Ask(const ShareKey& aKey, Account& aAccount, TimePoint aNow);
  void Lend(const VmId& aTo, Account& aAccount, ShareGrant& aGrant, double aWanted, TimePoint aNow);
  void GiveBack(const ShareKey& aKey, Account& aAccount, TimePoint aNow);
  Duration LenderTime() const { return options_.loanTime + options_.lenderMargin; }

  Vm self_;
  ShareOptions options_;
  ShareHooks hooks_;
  Random random_;
  TimePoint started_;
  Roster roster_;
  std::vector<Roster> pastRosters_; ///< Replaced less than LenderTime() ago.
  ListVersion ownConfirmed_ = 0;
  TimePoint confirmFrom_;       ///< Nothing new is confirmed before.
  ListVersion joinVersion_ = 0; ///< First version seen since which this VM is in the roster.
  bool settled_ = false;
  std::map<VmId, ListVersion> confirmed_;
  ListVersion highestSeen_ = 0;
  std::vector<Vm> peers_;
  std::map<ShareKey, Account> accounts_;
  std::set<ShareKey> busy_; ///< Accounts that OnTick looks at.
};

} // namespace dfm

#endif
