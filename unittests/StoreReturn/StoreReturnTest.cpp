#include "../Platform/GatewayFixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>
#include <set>

namespace {

using namespace dfm;
using namespace dfm::test;

/// Runs one VM with two instances of the service "first" and one of the service "second". Writes of
/// the operator and of the instances are remembered, so that they can be written again.
class ReturnFixture : public GatewayFixture
{
public:
  ReturnFixture()
  {
    Store().StateEpoch(1);
    WriteManifest(1, "first");
    for (StandInInstance* instance : { &firstInstance, &otherInstance })
      Report(*instance, "first", "ready");
    Report(secondInstance, "second", "ready");
    Start();
    cr_assert(WaitUntil([this] { return ServingInstances(kKeys).size() == 2; }));
  }

  /// Writes a manifest whose only route leads to aService.
  void WriteManifest(unsigned aVersion, const std::string& aService)
  {
    version_ = aVersion;
    routeService_ = aService;
    json::value spec = ManifestSpec(aVersion, { { .service = "first" }, { .service = "second" } });
    json::array& routes = spec.at("routes").as_array();
    routes.resize(1);
    routes[0].as_object()["backend"] = aService;
    Store().Put("config", "main", spec);
  }

  void Report(const StandInInstance& aInstance,
              const std::string& aService,
              const std::string& aState)
  {
    json::value spec = InstanceSpec(aInstance, aService, aState);
    spec.at("status").as_object()["seq"] = ++reports_[aInstance.Id()];
    Store().Put("servers", aInstance.Id(), spec);
  }

  /// Lets the store's revision rise beside what matters.
  void ReportOften(int aReports)
  {
    for (int i = 0; i < aReports; ++i)
      Report(firstInstance, "first", "ready");
  }

  bool WaitForManifest(unsigned aVersion)
  {
    return WaitForMetric(fmt::format("manifest_version {}\n", aVersion));
  }

  bool WaitForMetric(const std::string& aLine)
  {
    return WaitUntil([&] {
      const auto metrics = Get(Settings().operators, "/metrics");
      return metrics && metrics->body().find(aLine) != std::string::npos;
    });
  }

  bool WaitUntilServedBySecond()
  {
    return WaitUntil([this] { return ServingInstances(1) == Names{ "i-second" }; });
  }

  /// The store is away for a moment and comes back from aCopy. The operator and the live instances
  /// write again what they wrote last, unless aRewrites is false.
  void ReturnFrom(const StandInStore::Copy& aCopy, bool aRewrites = true)
  {
    Store().GoAway();
    std::this_thread::sleep_for(200ms);
    Store().Return(aCopy);
    if (!aRewrites)
      return;
    WriteManifest(version_, routeService_);
    Report(firstInstance, "first", "ready");
    Report(secondInstance, "second", "ready");
  }

  /// The instances that answer requests for this many objects.
  std::set<std::string> ServingInstances(int aKeys)
  {
    std::set<std::string> instances;
    for (int key = 0; key < aKeys; ++key) {
      Request request(http::verb::get, "/read/1", 11);
      request.set(http::field::host, "shop.example");
      request.set("X-Request-Id", fmt::format("id-{}", ++requests_));
      request.set("X-Affinity-Key", std::to_string(key));
      request.set("X-Deadline-Ms", "5000");
      const auto answer = SendAndReceive(Settings().self.callers, request);
      if (answer && answer->result() == http::status::ok)
        instances.insert(answer->body().substr(answer->body().rfind(' ') + 1));
    }
    return instances;
  }

  static constexpr int kKeys = 24;
  using Names = std::set<std::string>;

  StandInInstance firstInstance{ "i-first" };
  StandInInstance otherInstance{ "i-other" };
  StandInInstance secondInstance{ "i-second" };

private:
  unsigned version_ = 0;
  std::string routeService_;
  std::map<std::string, int> reports_;
  int requests_ = 0;
};

/// Guards against VMs that serve by an older manifest without end: after a return of the store they
/// dropped what bore a lower revision than they knew.
Test(StoreReturn, ManifestConfirmedAfterAReturnIsInForce)
{
  ReturnFixture fixture;
  const StandInStore::Copy copy = fixture.Store().MakeCopy();
  fixture.ReportOften(200);
  fixture.WriteManifest(2, "first");
  cr_assert(fixture.WaitForManifest(2));
  fixture.ReturnFrom(copy);
  fixture.WriteManifest(3, "second");
  cr_assert(fixture.WaitUntilServedBySecond());
}

/// Guards against requests to instances that have left: the older copy lists them as usable.
Test(StoreReturn, InstanceThatLeftBeforeTheReturnGetsNoRequest)
{
  struct Case
  {
    const char* name;
    bool drains;
    bool isRemoved;
  };
  for (const Case& testCase : { Case{ "drains", true, false },
                                Case{ "removed", false, true },
                                Case{ "both", true, true } }) {
    ReturnFixture fixture;
    const StandInStore::Copy copy = fixture.Store().MakeCopy();
    if (testCase.drains)
      fixture.Report(fixture.otherInstance, "first", "draining");
    if (testCase.isRemoved)
      fixture.Store().Delete("servers", "i-other");
    const ReturnFixture::Names only{ "i-first" };
    cr_assert(GatewayFixture::WaitUntil(
                [&] { return fixture.ServingInstances(ReturnFixture::kKeys) == only; }),
              "%s",
              testCase.name);
    const uint64_t known = fixture.Store().Revision();
    fixture.ReturnFrom(copy);
    // The VM takes the copy over, also one that waits until the revision has passed what it knows.
    while (fixture.Store().Revision() <= known)
      fixture.ReportOften(1);
    fixture.WriteManifest(3, "first");
    cr_assert(fixture.WaitForManifest(3), "%s", testCase.name);
    for (int i = 0; i < 20; ++i) {
      cr_assert(fixture.ServingInstances(ReturnFixture::kKeys) == only, "%s", testCase.name);
      std::this_thread::sleep_for(50ms);
    }
  }
}

/// Guards against an instance that a return of the store takes out of use for good.
Test(StoreReturn, InstanceThatIsRenewedAfterTheReturnIsUsed)
{
  ReturnFixture fixture;
  const StandInStore::Copy copy = fixture.Store().MakeCopy();
  fixture.Store().Delete("servers", "i-other");
  const ReturnFixture::Names both{ "i-first", "i-other" };
  cr_assert(GatewayFixture::WaitUntil(
    [&] { return fixture.ServingInstances(ReturnFixture::kKeys) != both; }));
  fixture.ReturnFrom(copy);
  const bool used = GatewayFixture::WaitUntil([&] {
    fixture.Report(fixture.otherInstance, "first", "ready");
    return fixture.ServingInstances(ReturnFixture::kKeys) == both;
  });
  cr_assert(used);
}

/// Guards against a VM that drops the manifest in force because the older copy has an older one, or
/// none.
Test(StoreReturn, ManifestInForceHoldsUntilItIsWrittenAgain)
{
  ReturnFixture fixture;
  StandInStore::Copy copy = fixture.Store().MakeCopy();
  for (const bool hasManifest : { true, false }) {
    if (!hasManifest)
      copy.objects["config"].clear();
    fixture.WriteManifest(hasManifest ? 2 : 4, "second");
    cr_assert(fixture.WaitForManifest(hasManifest ? 2 : 4));
    cr_assert(fixture.WaitUntilServedBySecond());
    fixture.ReturnFrom(copy, false);
    cr_assert(fixture.WaitForMetric("manifest_ahead_of_store 1\n"));
    for (int i = 0; i < 20; ++i) {
      cr_assert(fixture.ServingInstances(1) == ReturnFixture::Names{ "i-second" });
      std::this_thread::sleep_for(50ms);
    }
  }
}

/// Guards against VMs that are missing in the store for good: nothing wrote their registrations
/// again.
Test(StoreReturn, VmRegistersAgain)
{
  ReturnFixture fixture;
  const auto isRegistered = [&] { return fixture.Store().Contains("dragonflymoor-vms", "vm-1"); };
  cr_assert(GatewayFixture::WaitUntil(isRegistered));
  StandInStore::Copy copy = fixture.Store().MakeCopy();
  copy.objects["dragonflymoor-vms"].clear();
  fixture.ReturnFrom(copy);
  cr_assert(GatewayFixture::WaitUntil(isRegistered));
}

} // namespace
