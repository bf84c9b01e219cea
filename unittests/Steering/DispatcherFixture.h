#ifndef DRAGONFLYMOOR_UNITTESTS_STEERING_DISPATCHERFIXTURE_H
#define DRAGONFLYMOOR_UNITTESTS_STEERING_DISPATCHERFIXTURE_H

#include "dragonflymoor/Steering/Dispatcher.h"
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dfm::test {

/// Describes an instance of the service "reader" unless stated otherwise.
struct InstanceText
{
  std::string id;
  std::string domain = "north-a";
  unsigned slots = 2;
  bool draining = false;
  Duration coldFor{};
  uint64_t born = 1;
  std::string service = "reader";
};

/// A dispatcher of one VM in region "north", failure domain "north-a", with a virtual clock.
/// Regions are named by the part of the failure domain before the dash.
class DispatcherFixture
{
public:
  struct RouteOptions
  {
    bool idempotent = true;
    unsigned maxAttempts = 2;
    std::vector<RegionId> homes;
    unsigned priority = 0;
    Duration timeLeft = 1s; ///< Until the caller's deadline.
    const Workspace* workspace = nullptr;
  };

  explicit DispatcherFixture(double aRetrySlack = 100,
                             size_t aVmsInRegion = 1,
                             size_t aSelf = 0,
                             bool aAdaptiveLimits = false)
    : vms_(aVmsInRegion)
    , dispatcher(
        { .self = VmId("vm-" + std::to_string(aSelf)),
          .region = RegionId("north"),
          .failureDomain = FailureDomainId("north-a"),
          .randomSeed = 20261204,
          .retryRatio = 0.2,
          .retrySlack = aRetrySlack,
          .adaptiveLimits = aAdaptiveLimits },
        { .startAttempt =
            [this](const InstanceAttempt& aAttempt) {
              started.push_back(aAttempt);
              running[aAttempt.ticket] = aAttempt;
            },
          .refuseRequest = [this](Ticket aTicket,
                                  const RequestRefusal& aRefusal) { refused[aTicket] = aRefusal; },
          .abandonAttempt = [this](Ticket aTicket) { abandoned.insert(aTicket); },
          .sendProbe = [this](const Instance& aInstance,
                              const ServiceSpec&) { probed.push_back(aInstance.id.Value()); },
          .publishCrash = [this](const CrashReport& aReport) { crashes.push_back(aReport); } })
  {
  }

  void SetVms(size_t aVmsInRegion) { vms_ = aVmsInRegion; }

  void SetFleet(const std::vector<InstanceText>& aInstances,
                const std::set<std::string>& aEvacuated = {})
  {
    auto view = std::make_shared<FleetView>();
    auto manifest = std::make_shared<Manifest>();
    manifest->version = 1;
    manifest->services[ServiceId("reader")] = { .id = ServiceId("reader"),
                                                .healthPath = "/healthz",
                                                .coldRequestsPerSecond = 20 };
    view->routes = std::make_shared<RouteIndex>(manifest);
    // Ordered by id, as in each view.
    std::map<BackendId, std::shared_ptr<const Instance>> instances;
    for (const InstanceText& text : aInstances) {
      Instance instance{ .id = BackendId(text.id),
                         .startTimeMs = text.born,
                         .service = ServiceId(text.service),
                         .region = RegionId(text.domain.substr(0, text.domain.find('-'))),
                         .failureDomain = FailureDomainId(text.domain),
                         .endpoint = { .address = "10.0.0.1", .port = 80 },
                         .slots = text.slots,
                         .draining = text.draining };
      if (text.coldFor.count() > 0)
        instance.coldUntil = now + text.coldFor;
      instances[instance.id] = std::make_shared<const Instance>(instance);
    }
    auto list = std::make_shared<InstanceList>();
    for (const auto& [id, instance] : instances)
      list->push_back(instance);
    view->instances = std::move(list);
    for (const std::string& domain : aEvacuated)
      view->evacuated.insert(FailureDomainId(domain));
    for (size_t i = 0; i < vms_; ++i)
      view->knownVms.push_back({ .id = VmId("vm-" + std::to_string(i)),
                                 .region = RegionId("north"),
                                 .failureDomain = FailureDomainId("north-a") });
    view->usableVms = view->knownVms;
    dispatcher.OnFleet(now, view);
  }

  Ticket Submit(const RouteOptions& aOptions, uint64_t aKey, uint64_t aFingerprint = 0)
  {
    auto manifest = std::make_shared<Manifest>();
    manifest->routes.push_back({ .name = "read",
                                 .host = "shop.example",
                                 .pathPrefix = "/",
                                 .idempotent = aOptions.idempotent,
                                 .timeout = aOptions.timeLeft,
                                 .goal = 200ms,
                                 .priority = aOptions.priority,
                                 .maxAttempts = aOptions.maxAttempts,
                                 .sticky = true,
                                 .homeRegions = aOptions.homes,
                                 .parts = { { .service = ServiceId("reader") } } });
    auto routes = std::make_shared<RouteIndex>(manifest);
    const Ticket ticket = nextTicket_++;
    dispatcher.Submit(now,
                      ticket,
                      { .routes = routes,
                        .route = &routes->GetManifest().routes.front(),
                        .workspace = aOptions.workspace,
                        .affinity = aKey,
                        .arrived = now,
                        .deadline = now + aOptions.timeLeft,
                        .fingerprint = aFingerprint });
    return ticket;
  }

  Verdict End(Ticket aTicket,
              AttemptEndReport::Kind aKind,
              unsigned aStatus = 0,
              bool aReset = false)
  {
    running.erase(aTicket);
    return dispatcher.OnAttemptEnd(
      now,
      aTicket,
      { .kind = aKind, .status = aStatus, .reset = aReset, .latency = Duration(50ms) });
  }

  void Advance(Duration aDuration)
  {
    const TimePoint until = now + aDuration;
    while (now < until) {
      now += 10ms;
      dispatcher.OnTick(now);
    }
  }

  size_t StartedAt(const std::string& aInstance) const
  {
    return static_cast<size_t>(
      std::count_if(started.begin(), started.end(), [&](const InstanceAttempt& aIt) {
        return aIt.instance.Value() == aInstance;
      }));
  }

private:
  size_t vms_;
  Ticket nextTicket_ = 1;

public:
  TimePoint now{ 100s };
  std::vector<InstanceAttempt> started;
  std::map<Ticket, InstanceAttempt> running;
  std::map<Ticket, RequestRefusal> refused;
  std::set<Ticket> abandoned;
  std::vector<std::string> probed;
  std::vector<CrashReport> crashes;
  Dispatcher dispatcher;
};

} // namespace dfm::test

#endif
