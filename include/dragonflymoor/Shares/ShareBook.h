#ifndef DRAGONFLYMOOR_SHARES_SHAREBOOK_H
#define DRAGONFLYMOOR_SHARES_SHAREBOOK_H

#include "dragonflymoor/Model/Fleet.h"
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
  /// the VM's earlier run may still be in use. It must be at least loanTime + lenderMargin.
  Duration startHold = 3350ms;
  Duration requestTimeout = 500ms; ///< After this, another peer is asked.
  Duration retryDelay = 200ms;     ///< Between two requests for one key.
  /// A loan is asked for again when it has less than this time left and is still needed.
  Duration renewBefore = 1s;
  double keepPart = 0.1; ///< Part of the base share that a lender keeps above its own demand.
};

/// Messages that a ShareBook sends. All hooks must be set and must not call the book again.
struct ShareHooks
{
  std::function<void(const VmId&, const ShareRequest&)> request;
  std::function<void(const VmId&, const ShareGrant&)> grant;
  std::function<void(const VmId&, const ShareReturn&)> giveBack;
};

/// This VM's share of every fleet-wide amount: base share by roster, and loans (section 6 of the
/// design). The shares of all VMs never exceed an amount in sum. Not thread-safe. Times must never
/// decrease from one call to the next.
class ShareBook
{
public:
  ShareBook(Vm aSelf, ShareOptions aOptions, ShareHooks aHooks, uint64_t aSeed, TimePoint aNow);

  /// Takes a roster version into force. A version that is not higher than the present one is
  /// ignored.
  void SetRoster(ListVersion aVersion, const std::vector<Vm>& aVms, TimePoint aNow);

  /// The version that this VM confirms in its probes. It trails the version in force while loans or
  /// requests in flight still use more than the new base share.
  ListVersion ConfirmedRoster(TimePoint aNow) const;

  /// A probe of aVm carried this confirmed version.
  void OnRosterConfirmed(const VmId& aVm, ListVersion aVersion);

  /// Members that can be asked for a loan: live, not this VM.
  void SetPeers(const std::vector<VmId>& aLive);

  /// Sets an amount. With a region, only the roster's VMs of that region share it.
  void SetAmount(const ShareKey& aKey, double aAmount, const std::optional<RegionId>& aRegion);
  /// Forgets an amount: nothing is available any more.
  void RemoveAmount(const ShareKey& aKey);

  /// States how much this VM would like to use (aDemand) and how much of it is in use and cannot be
  /// given away (aHeld, for amounts in flight; 0 for rates).
  void SetDemand(const ShareKey& aKey, double aDemand, double aHeld, TimePoint aNow);

  /// What this VM may use now. Call it immediately before each use.
  double Available(const ShareKey& aKey, TimePoint aNow) const;
  /// What this VM may use now and until aUntil, if no roster version comes between.
  double AvailableUntil(const ShareKey& aKey, TimePoint aUntil, TimePoint aNow) const;

  /// Asks for loans and gives unused ones back. To be called every 20 ms or so.
  void OnTick(TimePoint aNow);

  void OnShareRequest(const VmId& aFrom, const ShareRequest& aRequest, TimePoint aNow);
  void OnShareGrant(const VmId& aFrom, const ShareGrant& aGrant, TimePoint aNow);
  void OnShareReturn(const VmId& aFrom, const ShareReturn& aReturn, TimePoint aNow);

private:
  struct Loan
  {
    VmId peer;
    uint64_t nonce = 0;
    double amount = 0;
    TimePoint expires;
  };
  struct Pending
  {
    VmId peer;
    uint64_t nonce = 0;
    double amount = 0;
    TimePoint sent;
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
    TimePoint nextRequest;
    std::map<VmId, double> spare; ///< What peers said they could still lend.
    size_t cursor = 0;            ///< Next peer to ask when none advertises spare.
  };

  bool BaseInForce(TimePoint aNow) const;
  double Base(const Account& aAccount, TimePoint aNow) const;
  double Lent(const Account& aAccount, TimePoint aNow) const;
  double Borrowed(const Account& aAccount, TimePoint aUntil, TimePoint aNow) const;
  double Spare(const Account& aAccount, TimePoint aNow) const;
  std::optional<VmId> ChoosePeer(Account& aAccount);
  void Ask(const ShareKey& aKey, Account& aAccount, TimePoint aNow);
  void GiveBack(const ShareKey& aKey, Account& aAccount, TimePoint aNow);
  void DropExpired(Account& aAccount, TimePoint aNow);

  Vm self_;
  ShareOptions options_;
  ShareHooks hooks_;
  Random random_;
  TimePoint started_;
  ListVersion rosterVersion_ = 0;
  std::vector<Vm> roster_;
  /// Versions whose base share was confirmed by this VM, and the one waiting for it.
  std::map<VmId, ListVersion> confirmed_;
  ListVersion highestSeen_ = 0;
  mutable ListVersion ownConfirmed_ = 0;
  mutable bool activated_ = false; ///< Every other VM confirmed a roster that contains this VM.
  std::vector<VmId> peers_;
  std::map<ShareKey, Account> accounts_;
};

} // namespace dfm

#endif
