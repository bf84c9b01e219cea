#include "dragonflymoor/Steering/QuotaShares.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <deque>
#include <functional>
#include <memory>
#include <rapidcheck.h>
#include <string>

namespace {

using namespace dfm;

constexpr uint32_t kWorkspace = 7;
constexpr Duration kStep = 20ms;
constexpr Duration kReportPeriod = 200ms;
constexpr Duration kReportLife = 1s;
constexpr int kWindowSteps = 250; // 5 s, the platform's window.
constexpr size_t kDomains = 6;

/// The quotas of a fleet of VMs in six failure domains. Reports arrive a step after they were made.
class Fleet
{
public:
  Fleet(size_t aVms, Quota aQuota, uint64_t aSeed)
    : quota_(aQuota)
    , random_(aSeed)
  {
    vms_.resize(aVms);
    for (size_t i = 0; i < aVms; ++i)
      Restart(i);
  }

  void Restart(size_t aVm)
  {
    Vm& vm = vms_[aVm];
    vm.shares =
      std::make_unique<QuotaShares>(QuotaOptions{ .slack = 20, .randomSeed = random_.Next() });
    vm.shares->SetVmCount(vms_.size());
    vm.shares->SetQuotas(now_, { { kWorkspace, quota_ } });
    vm.alive = true;
  }
  void Kill(size_t aVm) { vms_[aVm].alive = false; }
  /// VMs of different groups get no reports of each other.
  void SetGroup(size_t aVm, int aGroup) { vms_[aVm].group = aGroup; }
  void SetWeight(size_t aVm, double aWeight) { vms_[aVm].weight = aWeight; }
  size_t Size() const { return vms_.size(); }

  /// Sends aPerSecond requests a second, over the VMs that live by their weights, for aTime.
  void Run(Duration aTime, double aPerSecond)
  {
    const TimePoint until = now_ + aTime;
    while (now_ < until) {
      now_ += kStep;
      DeliverReports();
      double weights = 0;
      for (const Vm& vm : vms_)
        weights += vm.alive ? vm.weight : 0;
      size_t admitted = 0;
      for (Vm& vm : vms_) {
        if (!vm.alive)
          continue;
        vm.shares->OnTick(now_);
        const double mean = vm.weight / weights * aPerSecond * ToSeconds(kStep);
        for (double due = mean + random_.Unit(); due >= 1; due -= 1) {
          ++asked;
          admitted += vm.shares->TryTake(now_, kWorkspace).admitted ? 1 : 0;
        }
      }
      total += admitted;
      window_.push_back(admitted);
      inWindow_ += admitted;
      if (window_.size() > kWindowSteps) {
        inWindow_ -= window_.front();
        window_.pop_front();
      }
      mostInWindow = std::max(mostInWindow, inWindow_);
    }
    refused = asked - total;
  }

  /// Most requests that the platform allows in a window.
  double Allowed() const { return (quota_.requestsPerSecond * 5 + quota_.burst) * 1.1 + 20; }

  size_t asked = 0;
  size_t total = 0;
  size_t refused = 0;
  size_t mostInWindow = 0;

private:
  struct Vm
  {
    std::unique_ptr<QuotaShares> shares;
    bool alive = true;
    int group = 0;
    double weight = 1;
  };
  struct Message
  {
    size_t sender = 0;
    bool ofDomain = false;
    QuotaReport report;
  };

  void DeliverReports()
  {
    for (const Message& message : sent_) {
      const Vm& sender = vms_[message.sender];
      const size_t domain = message.sender % kDomains;
      for (size_t i = 0; i < vms_.size(); ++i) {
        const bool sameDomain = i % kDomains == domain;
        if (i == message.sender || sameDomain == message.ofDomain || !vms_[i].alive ||
            vms_[i].group != sender.group)
          continue;
        const LoadSource source = message.ofDomain
                                    ? LoadSource(FailureDomainId(std::to_string(domain)))
                                    : LoadSource(VmId(std::to_string(message.sender)));
        vms_[i].shares->OnReport(now_, source, message.report, kReportLife);
      }
    }
    sent_.clear();
    if (now_.time_since_epoch() % kReportPeriod != Duration{})
      return;
    std::map<std::pair<size_t, int>, bool> hasRelay;
    for (size_t i = 0; i < vms_.size(); ++i) {
      if (!vms_[i].alive)
        continue;
      sent_.push_back({ .sender = i, .report = vms_[i].shares->OwnReport(now_) });
      bool& relayed = hasRelay[{ i % kDomains, vms_[i].group }];
      if (!relayed)
        sent_.push_back(
          { .sender = i, .ofDomain = true, .report = vms_[i].shares->DomainReport(now_) });
      relayed = true;
    }
  }

  Quota quota_;
  Random random_;
  TimePoint now_{ 100s };
  std::vector<Vm> vms_;
  std::vector<Message> sent_;
  std::deque<size_t> window_;
  size_t inWindow_ = 0;
};

struct LoadRow
{
  const char* name;
  size_t vms;
  Quota quota;
  double usual; ///< Requests a second before the load and after it.
  double refusedPart;
  std::function<void(Fleet&)> load;
};

void
Surge(Fleet& aFleet)
{
  aFleet.Run(6s, 470);
}

/// Replays workspaces that send several times their usual requests, while VMs fail. Guards against
/// more requests in a window than the platform allows, and against refusals below the quota.
Test(QuotaShares, HoldTheQuotaOverAllVms)
{
  const Quota large{ .requestsPerSecond = 100, .burst = 100 };
  const Quota small{ .requestsPerSecond = 4, .burst = 4 };
  const auto halfOf = [](Fleet& aFleet, const std::function<void(size_t)>& aAction) {
    for (size_t i = 0; i < aFleet.Size() / 2; ++i)
      aAction(i);
  };
  const std::vector<LoadRow> kRows{
    { "below the quota", 74, large, 90, 0.001, [](Fleet& aFleet) { aFleet.Run(10s, 90); } },
    { "below a small quota", 74, small, 2.5, 0.02, [](Fleet& aFleet) { aFleet.Run(40s, 2.5); } },
    { "all requests at one VM",
      74,
      large,
      60,
      0.001,
      [](Fleet& aFleet) {
        for (size_t i = 1; i < aFleet.Size(); ++i)
          aFleet.SetWeight(i, 0);
        aFleet.Run(5s, 90);
      } },
    { "requests move to other VMs",
      74,
      large,
      60,
      0.001,
      [&](Fleet& aFleet) {
        for (int round = 0; round < 6; ++round) {
          for (size_t i = 0; i < aFleet.Size(); ++i)
            aFleet.SetWeight(i, i % 6 == static_cast<size_t>(round) ? 1 : 0.01);
          aFleet.Run(2s, 85);
        }
      } },
    { "surge in a small fleet", 9, large, 60, 1, Surge },
    { "surge", 74, large, 60, 1, Surge },
    { "surge in a large fleet", 300, large, 60, 1, Surge },
    { "surge of a small workspace", 74, small, 2.5, 1, [](Fleet& aFleet) { aFleet.Run(6s, 19); } },
    { "half of the VMs restart in a surge",
      74,
      large,
      60,
      1,
      [&](Fleet& aFleet) {
        aFleet.Run(2s, 470);
        halfOf(aFleet, [&](size_t aVm) { aFleet.Kill(aVm); });
        aFleet.Run(1s, 470);
        halfOf(aFleet, [&](size_t aVm) { aFleet.Restart(aVm); });
        aFleet.Run(3s, 470);
      } },
    { "all VMs restart in a surge",
      74,
      large,
      60,
      1,
      [](Fleet& aFleet) {
        aFleet.Run(2s, 470);
        // A process takes half a second to start again.
        for (size_t i = 0; i < aFleet.Size(); ++i)
          aFleet.Kill(i);
        aFleet.Run(500ms, 0);
        for (size_t i = 0; i < aFleet.Size(); ++i)
          aFleet.Restart(i);
        aFleet.Run(4s, 470);
      } },
    { "surge in both halves of a divided fleet",
      74,
      large,
      60,
      1,
      [&](Fleet& aFleet) {
        halfOf(aFleet, [&](size_t aVm) { aFleet.SetGroup(aVm, 1); });
        aFleet.Run(3s, 60);
        aFleet.Run(6s, 470);
      } },
    { "a third is cut off in the surge",
      74,
      large,
      60,
      1,
      [](Fleet& aFleet) {
        aFleet.Run(500ms, 470);
        for (size_t i = 0; i < aFleet.Size() / 3; ++i)
          aFleet.SetGroup(i, static_cast<int>(i) + 1);
        aFleet.Run(6s, 470);
      } },
  };
  for (const LoadRow& row : kRows) {
    Fleet fleet(row.vms, row.quota, 20261206);
    // VMs run for some time before callers come.
    fleet.Run(2s, 0);
    fleet.Run(8s, row.usual);
    row.load(fleet);
    fleet.Run(8s, row.usual);
    cr_assert(static_cast<double>(fleet.mostInWindow) <= fleet.Allowed(),
              "%s: %zu in a window, allowed %f",
              row.name,
              fleet.mostInWindow,
              fleet.Allowed());
    cr_assert(static_cast<double>(fleet.refused) <= row.refusedPart * fleet.asked,
              "%s: %zu of %zu refused",
              row.name,
              fleet.refused,
              fleet.asked);
    // The quota is used during a surge.
    if (row.refusedPart == 1)
      cr_assert(static_cast<double>(fleet.mostInWindow) >= 4 * row.quota.requestsPerSecond,
                "%s: only %zu in a window",
                row.name,
                fleet.mostInWindow);
  }
}

/// Guards against a sum above the quota under random surges, deaths, restarts and partitions. Fails
/// when a VM does not presume demand of the VMs that it does not hear.
Test(QuotaShares, HoldTheQuotaUnderRandomFailures)
{
  const bool holds = rc::check("random failures", [] {
    const auto vms = *rc::gen::inRange<size_t>(2, 80);
    const double rate = *rc::gen::inRange(2, 400);
    Fleet fleet(vms, { .requestsPerSecond = rate, .burst = rate }, *rc::gen::arbitrary<uint64_t>());
    for (int round = 0; round < 8; ++round) {
      const double demand = rate * *rc::gen::element(0.3, 0.6, 0.9, 2.0, 4.7);
      for (int change = 0; change < 6; ++change) {
        const auto vm = *rc::gen::inRange<size_t>(0, vms);
        switch (*rc::gen::inRange(0, 5)) {
          case 0:
            if (vm != 0)
              fleet.Kill(vm);
            break;
          case 1:
            fleet.Restart(vm);
            break;
          case 2:
            fleet.SetGroup(vm, *rc::gen::inRange(0, 3));
            break;
          case 3:
            fleet.SetWeight(vm, *rc::gen::element(0.1, 1.0, 5.0));
            break;
          default:
            break;
        }
      }
      fleet.Run(std::chrono::milliseconds(*rc::gen::inRange(500, 4000)), demand);
    }
    RC_ASSERT(static_cast<double>(fleet.mostInWindow) <= fleet.Allowed());
  });
  cr_assert(holds);
}

} // namespace
