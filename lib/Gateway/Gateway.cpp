#include "GatewayImpl.h"
#include "dragonflymoor/Gateway/Tasks.h"
#include "dragonflymoor/Net/Clock.h"
#include "dragonflymoor/Net/Listen.h"
#include "dragonflymoor/Support/Log.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <csignal>
#include <fmt/format.h>
#include <random>
#include <sys/resource.h>
#include <thread>

namespace dfm {

namespace {

constexpr std::string_view kComponent = "gateway";

/// How often the traffic thread checks deadlines, queues and load reports while requests wait for a
/// slot, and while none does. Most of hundreds of VMs have only a few requests in flight, and their
/// ticks would take more time than the requests.
constexpr Duration kTickPeriod = 10ms;
constexpr Duration kIdleTickPeriod = 50ms;

/// How often the traffic thread ticks the caller front and sets the gauges.
constexpr Duration kGaugePeriod = 250ms;
constexpr Duration kLogFlushPeriod = 100ms;

/// How often the settings are read again, because their file may change without a SIGHUP.
constexpr Duration kSettingsPollPeriod = 2s;

constexpr size_t kMaxDirectoryAnswers = 64;

/// Pause after a failed accept, so that a lasting error causes no busy loop.
constexpr Duration kAcceptPause = 50ms;

/// Answers of instances that their callers have not read, together.
constexpr size_t kMaxAnswerBytes = 32UL * 1024 * 1024;

/// Bytes that the VM may hold for others. The process itself needs less than the other half on the
/// smallest machines; half of 260 MB still holds a body of 64 MiB.
size_t
BudgetOf(const SteeringSettings& aSettings)
{
  constexpr size_t kMegabyte = 1024UL * 1024;
  return aSettings.memoryMegabytes * kMegabyte / 2;
}

struct DescriptorShares
{
  size_t callers = 0;
  size_t pages = 0; ///< Of each page server.
};

/// Divides the descriptors of the process; a quarter stays for instances, other VMs and the store.
DescriptorShares
DivideDescriptors(const SteeringSettings& aSettings)
{
  constexpr size_t kPageServers = 3;
  rlimit limit{ .rlim_cur = RLIM_INFINITY, .rlim_max = RLIM_INFINITY };
  ::getrlimit(RLIMIT_NOFILE, &limit);
  size_t total = limit.rlim_cur;
  if (aSettings.maxDescriptors > 0)
    total = std::min<size_t>(total, aSettings.maxDescriptors);
  const size_t pages = std::clamp<size_t>(total / 32, 8, 256);
  return { .callers = total - total / 4 - kPageServers * pages, .pages = pages };
}

uint64_t
MakeRandomSeed()
{
  std::random_device device;
  return (uint64_t{ device() } << 32) | device();
}

} // namespace

Gateway::Impl::Impl(GatewayOptions aOptions)
  : options(std::move(aOptions))
  , settings(options.settings)
  , random(MakeRandomSeed())
  , memory(std::make_shared<MemoryBudget>(
      MemoryBudgetOptions{ .maxBytes = BudgetOf(settings),
                           .maxAnswerBytes = std::min(kMaxAnswerBytes, BudgetOf(settings)) }))
  , dispatcher(DispatcherOptions{ .self = settings.self.id,
                                  .region = settings.self.region,
                                  .failureDomain = settings.self.failureDomain,
                                  .randomSeed = random.Next(),
                                  .retryRatio = settings.retryRatio,
                                  .retrySlack = settings.retrySlack,
                                  .maxShift = settings.maxShift,
                                  .quotaSlack = settings.quotaSlack,
                                  .adaptiveLimits = settings.adaptiveLimits },
               MakeDispatcherHooks())
  , instanceClient(trafficContext,
                   options.platform.protocol,
                   metrics,
                   memory,
                   [this](const InstanceRun& aRun, const InstanceStatement& aStatement) {
                     OnInstanceStatement(aRun, aStatement);
                   })
  , callerFront(
      trafficContext,
      options.platform.protocol,
      dispatcher,
      instanceClient,
      metrics,
      CallerFrontOptions{ .memory = memory, .maxConnections = DivideDescriptors(settings).callers })
  , loadExchange(
      trafficContext,
      settings.self,
      LoadExchangeHooks{
        .readOwnLoad = [this] { return dispatcher.OwnLoad(ReadClocks().monotonic); },
        .readDomainLoad = [this] { return dispatcher.DomainLoad(ReadClocks().monotonic); },
        .readQuotas =
          [this](bool aOfDomain) {
            return dispatcher.ReportQuotas(ReadClocks().monotonic, aOfDomain);
          },
        .messageReceived = [this](const PeerEnvelope& aEnvelope) { OnPeerMessage(aEnvelope); },
      })
  , fleetSync(controlContext,
              FleetSyncOptions{ .self = settings.self,
                                .seeds = settings.seeds,
                                .randomSeed = random.Next(),
                                .instanceReportPeriod = settings.instanceReportPeriod },
              options.platform.makeStore(controlContext),
              options.platform.decoders,
              metrics,
              [this](std::shared_ptr<const FleetView> aView) {
                asio::post(
                  trafficContext,
                  [this, publishedView = std::move(aView), publishedAt = ReadClocks().monotonic] {
                    OnFleetView(publishedView, publishedAt);
                  });
              })
  , callerAcceptor(trafficContext)
  , readinessServer(std::make_shared<PageServer>(
      trafficContext,
      [this](std::string_view aTarget) { return MakeReadinessPage(aTarget); },
      MakeUnframedHook()))
  , directoryServer(std::make_shared<PageServer>(
      trafficContext,
      [this](std::string_view aTarget) { return MakeDirectoryPage(aTarget); },
      MakeUnframedHook()))
  , operatorServer(std::make_shared<PageServer>(
      trafficContext,
      [this](std::string_view aTarget) { return MakeOperatorPage(aTarget); },
      MakeUnframedHook()))
  , signals(trafficContext, SIGTERM, SIGINT, SIGHUP)
{
}

DispatcherHooks
Gateway::Impl::MakeDispatcherHooks()
{
  return {
    .startAttempt = [this](const InstanceAttempt& aAttempt) { callerFront.StartAttempt(aAttempt); },
    .refuseRequest =
      [this](Ticket aTicket, const RequestRefusal& aRefusal) {
        callerFront.RefuseRequest(aTicket, aRefusal);
      },
    .abandonAttempt = [this](Ticket aTicket) { callerFront.AbandonAttempt(aTicket); },
    .sendProbe =
      [this](const Instance& aInstance, const ServiceSpec& aSpec) {
        asio::co_spawn(
          trafficContext, CheckInstanceHealth(aInstance, aSpec.healthPath), asio::detached);
      },
    .publishCrash =
      [this](const CrashReport& aReport) {
        Log(LogLevel::Warning,
            kComponent,
            "request crashed an instance",
            { { "fingerprint", fmt::format("{:016x}", aReport.fingerprint) } });
        loadExchange.SendToAll(
          PeerCrashReport{ .reportId = aReport.reportId, .fingerprint = aReport.fingerprint });
      },
  };
}

Findings
Gateway::Impl::BindPorts()
{
  Findings findings;
  const auto addFindingOnError =
    [&findings](std::string_view aSetting, const Endpoint& aEndpoint, error_code aError) {
      if (aError)
        findings.push_back(
          { std::string(aSetting),
            fmt::format("cannot listen on {}: {}", ToText(aEndpoint), aError.message()) });
    };
  addFindingOnError(
    "callers", settings.self.callers, ListenOn(callerAcceptor, settings.self.callers));
  addFindingOnError("readiness", settings.readiness, readinessServer->Listen(settings.readiness));
  addFindingOnError("directory", settings.directory, directoryServer->Listen(settings.directory));
  addFindingOnError("operators", settings.operators, operatorServer->Listen(settings.operators));
  addFindingOnError("vmPorts", settings.loadReports, loadExchange.Open(settings.loadReports));
  addFindingOnError("vmPorts", settings.self.peers, fleetSync.Open());
  return findings;
}

void
Gateway::Impl::OnFleetView(std::shared_ptr<const FleetView> aView, TimePoint aPublishedAt)
{
  const InstanceChanges changes = FindInstanceChanges(*fleetView->instances, *aView->instances);
  const bool receiversChanged = aView->usableVms != fleetView->usableVms;
  const bool manifestChanged = aView->routes != fleetView->routes;
  fleetView = std::move(aView);
  const TimePoint now = ReadClocks().monotonic;
  if (manifestChanged)
    Log(LogLevel::Info,
        kComponent,
        "manifest serves requests",
        { { "version", std::to_string(fleetView->routes->GetManifest().version) },
          { "handed_over_after_ms", std::to_string((now - aPublishedAt) / 1ms) } });
  callerFront.SetView(fleetView);
  if (receiversChanged)
    loadExchange.SetReceivers(fleetView->usableVms);
  for (const BackendId& instance : changes.removed)
    instanceClient.CloseIdleConnections(instance);
  dispatcher.OnFleet(now, fleetView);
}

void
Gateway::Impl::OnPeerMessage(const PeerEnvelope& aEnvelope)
{
  const TimePoint now = ReadClocks().monotonic;
  if (const auto* load = std::get_if<PeerLoad>(&aEnvelope.message)) {
    dispatcher.OnPeerLoad(now, aEnvelope.sender, *load);
  } else if (const auto* crash = std::get_if<PeerCrashReport>(&aEnvelope.message)) {
    dispatcher.OnCrashReport(now,
                             { .reportId = crash->reportId, .fingerprint = crash->fingerprint });
  }
}

void
Gateway::Impl::OnInstanceStatement(const InstanceRun& aRun, const InstanceStatement& aStatement)
{
  if (aStatement.malformed)
    metrics.Count("instance-statements-malformed");
  if (aStatement.malformedLoad)
    metrics.Count("stated-loads-malformed");
  if (!dispatcher.OnInstanceStatement(ReadClocks().monotonic, aRun, aStatement))
    return;
  metrics.Count("instance-statements");
  Log(LogLevel::Info,
      kComponent,
      "instance stated",
      { { "instance", aRun.instance.Value() },
        { "born_ms", std::to_string(aRun.startTimeMs) },
        { "leaving", aStatement.leaving ? "1" : "0" },
        { "max_per_s",
          aStatement.maxRequestsPerSecond ? fmt::format("{}", *aStatement.maxRequestsPerSecond)
                                          : "-" },
        { "pause_ms", aStatement.pause ? std::to_string(*aStatement.pause / 1ms) : "-" } });
}

Page
Gateway::Impl::MakeDirectoryPage(std::string_view aTarget)
{
  metrics.Count("directory-questions");
  const auto query = options.platform.protocol.parseDirectoryQuery(aTarget);
  if (!query)
    return MakePage(http::status::not_found, "text/plain", "not a question\n");
  const auto vms = ResolveVms(*fleetView, *query, kMaxDirectoryAnswers, random);
  if (vms.empty())
    return MakePage(http::status::service_unavailable, "text/plain", "no vm is known\n");
  return MakePage(http::status::ok,
                  "application/json",
                  options.platform.protocol.formatDirectoryAnswer(vms, settings.directoryTtl));
}

Page
Gateway::Impl::MakeReadinessPage(std::string_view aTarget) const
{
  if (aTarget.substr(0, aTarget.find('?')) != options.platform.protocol.readinessTarget)
    return MakePage(http::status::not_found, "text/plain", "no such page\n");
  return IsReady() ? MakePage(http::status::ok, "text/plain", "ready\n")
                   : MakePage(http::status::service_unavailable, "text/plain", "not ready\n");
}

Page
Gateway::Impl::MakeOperatorPage(std::string_view aTarget) const
{
  if (aTarget == "/metrics")
    return MakePage(http::status::ok, "text/plain; version=0.0.4", metrics.Text());
  return MakePage(http::status::not_found, "text/plain", "no such page\n");
}

asio::awaitable<void>
Gateway::Impl::AcceptCallers()
{
  while (callerAcceptor.is_open()) {
    auto [error, socket] = co_await callerAcceptor.async_accept(kAwaitTuple);
    if (error == asio::error::operation_aborted)
      co_return;
    if (!error) {
      callerFront.Serve(std::move(socket));
      continue;
    }
    metrics.Count("accepts-failed");
    Log(LogLevel::Warning, kComponent, "accept failed", { { "error", error.message() } });
    asio::steady_timer pause(trafficContext, kAcceptPause);
    co_await pause.async_wait(kAwaitTuple);
  }
}

asio::awaitable<void>
Gateway::Impl::CheckInstanceHealth(Instance aInstance, std::string aHealthPath)
{
  const HealthResult health = co_await instanceClient.CheckHealth(aInstance, aHealthPath);
  Log(LogLevel::Info,
      kComponent,
      "health check",
      { { "instance", aInstance.id.Value() },
        { "result", std::to_string(static_cast<int>(health.result)) },
        { "cold_left_ms", std::to_string(health.remainingColdTime.count() / 1000) } });
  dispatcher.OnProbe(ReadClocks().monotonic, aInstance.id, health.result, health.remainingColdTime);
}

Duration
Gateway::Impl::TimeUntilNextTick(TimePoint aNow) const
{
  if (dispatcher.WaitingCount() > 0)
    return kTickPeriod;
  return std::clamp(loadExchange.NextSendTime() - aNow, kTickPeriod, kIdleTickPeriod);
}

asio::awaitable<void>
Gateway::Impl::RunPeriodicTasks()
{
  asio::steady_timer timer(trafficContext);
  TimePoint nextGaugeTime;
  TimePoint nextLogFlushTime;
  TimePoint nextSettingsPollTime = ReadClocks().monotonic + kSettingsPollPeriod;
  for (;;) {
    timer.expires_after(TimeUntilNextTick(ReadClocks().monotonic));
    co_await timer.async_wait(kAwaitTuple);
    const TimePoint now = ReadClocks().monotonic;
    instanceClient.OnTick(now);
    callerFront.OnMemoryTick(now);
    dispatcher.OnTick(now);
    loadExchange.OnTick(now);
    if (now >= nextGaugeTime) {
      nextGaugeTime = now + kGaugePeriod;
      callerFront.OnTick(now);
      metrics.SetGauge("requests_waiting", static_cast<double>(dispatcher.WaitingCount()));
      if (settings.adaptiveLimits) {
        const LimitFigures limits = dispatcher.ReadLimits(now);
        metrics.SetGauge("instances_limited", limits.instances);
        metrics.SetGauge("slots_withheld", limits.slots);
      }
      metrics.SetGauge("requests_in_flight", static_cast<double>(dispatcher.InFlightCount()));
    }
    if (now >= nextLogFlushTime) {
      nextLogFlushTime = now + kLogFlushPeriod;
      FlushLog();
    }
    if (now >= nextSettingsPollTime) {
      nextSettingsPollTime = now + kSettingsPollPeriod;
      ReloadSettings("change of the file");
    }
    if (stopBeginTime && ContinueStop(now))
      co_return;
  }
}

Gateway::Gateway(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

Gateway::~Gateway() = default;

Checked<std::unique_ptr<Gateway>>
Gateway::Create(GatewayOptions aOptions)
{
  auto impl = std::make_unique<Impl>(std::move(aOptions));
  Findings findings = impl->BindPorts();
  if (!findings.empty())
    return tl::unexpected(std::move(findings));
  return std::unique_ptr<Gateway>(new Gateway(std::move(impl)));
}

void
Gateway::Run()
{
  Impl& impl = *impl_;
  Log(LogLevel::Info,
      kComponent,
      "starts",
      { { "vm", impl.settings.self.id.Value() },
        { "region", impl.settings.self.region.Value() },
        { "callers", ToText(impl.settings.self.callers) },
        { "store", ToText(impl.settings.store) } });
  impl.readinessServer->Start();
  impl.directoryServer->Start();
  impl.operatorServer->Start();
  SpawnTask(impl.trafficContext, "accept callers", [&impl] { return impl.AcceptCallers(); });
  SpawnTask(impl.trafficContext, "periodic tasks", [&impl] { return impl.RunPeriodicTasks(); });
  SpawnTask(impl.trafficContext, "signals", [&impl] { return impl.HandleSignals(); });
  impl.fleetSync.Start();
  std::thread controlThread([&impl] { RunContext(impl.controlContext); });
  RunContext(impl.trafficContext);
  controlThread.join();
  FlushLog();
}

void
Gateway::BeginStop()
{
  asio::post(impl_->trafficContext, [impl = impl_.get()] {
    if (!impl->stopBeginTime)
      impl->BeginStop();
  });
}

} // namespace dfm
