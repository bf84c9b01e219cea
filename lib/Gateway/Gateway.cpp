#include "dragonflymoor/Gateway/Gateway.h"

#include "dragonflymoor/Gateway/CallerFront.h"
#include "dragonflymoor/Gateway/FleetSync.h"
#include "dragonflymoor/Gateway/LoadExchange.h"
#include "dragonflymoor/Gateway/PageServer.h"
#include "dragonflymoor/Net/Clock.h"
#include "dragonflymoor/Net/Listen.h"
#include "dragonflymoor/Support/Log.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fmt/format.h>
#include <random>
#include <thread>

namespace dfm {

namespace {

constexpr std::string_view kComponent = "gateway";

/// The traffic thread's clock: deadlines, queues and load reports are checked this often.
constexpr Duration kTickPeriod = 10ms;

constexpr Duration kSlowTickPeriod = 250ms;
constexpr Duration kLogFlushPeriod = 100ms;

/// The settings file may change without a signal.
constexpr Duration kReloadPeriod = 2s;

/// Callers learn within the life of a directory answer that this VM leaves; after this time it
/// closes connections without a request and accepts no more.
constexpr Duration kStopIdleAfter = 2s;
constexpr Duration kStopAcceptingAfter = 2500ms;

/// Time left for the exit itself before the platform kills the process.
constexpr Duration kStopMargin = 400ms;

constexpr size_t kMaxDirectoryAnswers = 64;
constexpr Duration kAcceptPause = 50ms;

uint64_t
RandomNumber()
{
  std::random_device device;
  return (uint64_t{ device() } << 32) | device();
}

} // namespace

struct Gateway::Impl
{
  explicit Impl(GatewayOptions aOptions);

  Findings Bind();
  DispatcherHooks MakeDispatcherHooks();
  void OnView(std::shared_ptr<const FleetView> aView);
  void OnPeer(const PeerEnvelope& aEnvelope);
  Page DirectoryPage(std::string_view aTarget);
  Page ReadinessPage(std::string_view aTarget) const;
  Page OperatorPage(std::string_view aTarget) const;
  bool Ready() const { return view->routes != nullptr && !stopBegan; }
  asio::awaitable<void> AcceptCallers();
  asio::awaitable<void> Probe(Instance aInstance, std::string aHealthPath);
  asio::awaitable<void> Tick();
  asio::awaitable<void> HandleSignals();
  void Reload(std::string_view aCause);
  void BeginStop();
  bool CheckStop(TimePoint aNow);

  GatewayOptions options;
  SteeringSettings settings;
  Metrics metrics;
  Random random;
  std::shared_ptr<const FleetView> view = std::make_shared<FleetView>();
  asio::io_context traffic{ 1 };
  asio::io_context control{ 1 };
  Dispatcher dispatcher;
  InstanceClient instances;
  CallerFront front;
  LoadExchange loads;
  FleetSync fleet;
  tcp::acceptor callers;
  std::shared_ptr<PageServer> readiness;
  std::shared_ptr<PageServer> directory;
  std::shared_ptr<PageServer> operators;
  asio::signal_set signals;
  std::optional<TimePoint> stopBegan;
  bool idleClosed = false;
};

Gateway::Impl::Impl(GatewayOptions aOptions)
  : options(std::move(aOptions))
  , settings(options.settings)
  , random(RandomNumber())
  , dispatcher(DispatcherOptions{ .self = settings.self.id,
                                  .region = settings.self.region,
                                  .failureDomain = settings.self.failureDomain,
                                  .randomSeed = random.Next(),
                                  .retryRatio = settings.retryRatio,
                                  .retrySlack = settings.retrySlack,
                                  .maxShift = settings.maxShift },
               MakeDispatcherHooks())
  , instances(traffic, options.platform.protocol, metrics)
  , front(traffic, options.platform.protocol, dispatcher, instances, metrics)
  , loads(traffic, settings.self, [this](const PeerEnvelope& aEnvelope) { OnPeer(aEnvelope); })
  , fleet(control,
          FleetSyncOptions{ .self = settings.self,
                            .seeds = settings.seeds,
                            .randomSeed = random.Next() },
          options.platform.makeStore(control),
          options.platform.decoders,
          metrics,
          [this](std::shared_ptr<const FleetView> aView) {
            asio::post(traffic, [this, given = std::move(aView)] { OnView(given); });
          })
  , callers(traffic)
  , readiness(std::make_shared<PageServer>(
      traffic,
      [this](std::string_view aTarget) { return ReadinessPage(aTarget); }))
  , directory(std::make_shared<PageServer>(
      traffic,
      [this](std::string_view aTarget) { return DirectoryPage(aTarget); }))
  , operators(std::make_shared<PageServer>(
      traffic,
      [this](std::string_view aTarget) { return OperatorPage(aTarget); }))
  , signals(traffic, SIGTERM, SIGINT, SIGHUP)
{
}

DispatcherHooks
Gateway::Impl::MakeDispatcherHooks()
{
  return {
    .startAttempt = [this](const InstanceAttempt& aAttempt) { front.StartAttempt(aAttempt); },
    .refuseRequest =
      [this](Ticket aTicket, const RequestRefusal& aRefusal) {
        front.RefuseRequest(aTicket, aRefusal);
      },
    .abandonAttempt = [this](Ticket aTicket) { front.AbandonAttempt(aTicket); },
    .sendProbe =
      [this](const Instance& aInstance, const ServiceSpec& aSpec) {
        asio::co_spawn(traffic, Probe(aInstance, aSpec.healthPath), asio::detached);
      },
    .publishCrash =
      [this](const CrashReport& aReport) {
        Log(LogLevel::Warning,
            kComponent,
            "request crashed an instance",
            { { "fingerprint", fmt::format("{:016x}", aReport.fingerprint) } });
        loads.SendToAll(
          PeerCrashReport{ .reportId = aReport.reportId, .fingerprint = aReport.fingerprint });
      },
  };
}

Findings
Gateway::Impl::Bind()
{
  Findings findings;
  const auto check =
    [&findings](std::string_view aPlace, const Endpoint& aEndpoint, error_code aError) {
      if (aError)
        findings.push_back(
          { std::string(aPlace),
            fmt::format("cannot listen on {}: {}", ToText(aEndpoint), aError.message()) });
    };
  check("callers", settings.self.callers, ListenOn(callers, settings.self.callers));
  check("readiness", settings.readiness, readiness->Listen(settings.readiness));
  check("directory", settings.directory, directory->Listen(settings.directory));
  check("operators", settings.operators, operators->Listen(settings.operators));
  check("vmPorts", settings.loadReports, loads.Open(settings.loadReports));
  check("vmPorts", settings.self.peers, fleet.Open());
  return findings;
}

void
Gateway::Impl::OnView(std::shared_ptr<const FleetView> aView)
{
  view = std::move(aView);
  const TimePoint now = ReadClocks().monotonic;
  front.SetView(view);
  loads.SetReceivers(view->usableVms);
  std::set<BackendId> known;
  for (const Instance& instance : view->instances)
    known.insert(instance.id);
  instances.KeepOnlyConnectionsTo(known);
  dispatcher.OnFleet(now, view);
}

void
Gateway::Impl::OnPeer(const PeerEnvelope& aEnvelope)
{
  const TimePoint now = ReadClocks().monotonic;
  if (const auto* load = std::get_if<PeerLoad>(&aEnvelope.message)) {
    dispatcher.OnPeerLoad(now, aEnvelope.sender, *load);
  } else if (const auto* crash = std::get_if<PeerCrashReport>(&aEnvelope.message)) {
    dispatcher.OnCrashReport(now,
                             { .reportId = crash->reportId, .fingerprint = crash->fingerprint });
  }
}

Page
Gateway::Impl::DirectoryPage(std::string_view aTarget)
{
  metrics.Count("directory-questions");
  const auto query = options.platform.protocol.parseDirectoryQuery(aTarget);
  if (!query)
    return MakePage(http::status::not_found, "text/plain", "not a question\n");
  const auto vms = ResolveVms(*view, *query, kMaxDirectoryAnswers, random);
  if (vms.empty())
    return MakePage(http::status::service_unavailable, "text/plain", "no vm is known\n");
  return MakePage(http::status::ok,
                  "application/json",
                  options.platform.protocol.formatDirectoryAnswer(vms, settings.directoryTtl));
}

Page
Gateway::Impl::ReadinessPage(std::string_view aTarget) const
{
  if (aTarget.substr(0, aTarget.find('?')) != options.platform.protocol.readinessTarget)
    return MakePage(http::status::not_found, "text/plain", "no such page\n");
  return Ready() ? MakePage(http::status::ok, "text/plain", "ready\n")
                 : MakePage(http::status::service_unavailable, "text/plain", "not ready\n");
}

Page
Gateway::Impl::OperatorPage(std::string_view aTarget) const
{
  if (aTarget == "/metrics")
    return MakePage(http::status::ok, "text/plain; version=0.0.4", metrics.Text());
  return MakePage(http::status::not_found, "text/plain", "no such page\n");
}

asio::awaitable<void>
Gateway::Impl::AcceptCallers()
{
  while (callers.is_open()) {
    auto [error, socket] = co_await callers.async_accept(kAwaitTuple);
    if (error == asio::error::operation_aborted)
      co_return;
    if (!error) {
      front.Serve(std::move(socket));
      continue;
    }
    metrics.Count("accepts-failed");
    Log(LogLevel::Warning, kComponent, "accept failed", { { "error", error.message() } });
    asio::steady_timer pause(traffic, kAcceptPause);
    co_await pause.async_wait(kAwaitTuple);
  }
}

asio::awaitable<void>
Gateway::Impl::Probe(Instance aInstance, std::string aHealthPath)
{
  const HealthResult health = co_await instances.CheckHealth(aInstance, aHealthPath);
  Log(LogLevel::Info,
      kComponent,
      "health check",
      { { "instance", aInstance.id.Value() },
        { "result", std::to_string(static_cast<int>(health.result)) },
        { "cold_left_ms", std::to_string(health.remainingColdTime.count() / 1000) } });
  dispatcher.OnProbe(ReadClocks().monotonic, aInstance.id, health.result, health.remainingColdTime);
}

asio::awaitable<void>
Gateway::Impl::Tick()
{
  asio::steady_timer timer(traffic);
  TimePoint nextSlow;
  TimePoint nextFlush;
  TimePoint nextReload = ReadClocks().monotonic + kReloadPeriod;
  for (;;) {
    timer.expires_after(kTickPeriod);
    co_await timer.async_wait(kAwaitTuple);
    const TimePoint now = ReadClocks().monotonic;
    instances.OnTick(now);
    dispatcher.OnTick(now);
    loads.OnTick(now, [this] { return dispatcher.OwnLoad(); });
    if (now >= nextSlow) {
      nextSlow = now + kSlowTickPeriod;
      front.OnTick(now);
      metrics.SetGauge("requests_waiting", static_cast<double>(dispatcher.WaitingCount()));
      metrics.SetGauge("requests_in_flight", static_cast<double>(dispatcher.InFlightCount()));
    }
    if (now >= nextFlush) {
      nextFlush = now + kLogFlushPeriod;
      FlushLog();
    }
    if (now >= nextReload) {
      nextReload = now + kReloadPeriod;
      Reload("change of the file");
    }
    if (stopBegan && CheckStop(now))
      co_return;
  }
}

asio::awaitable<void>
Gateway::Impl::HandleSignals()
{
  for (;;) {
    auto [error, signal] = co_await signals.async_wait(kAwaitTuple);
    if (error)
      co_return;
    if (signal == SIGHUP)
      Reload("SIGHUP");
    else if (!stopBegan)
      BeginStop();
  }
}

void
Gateway::Impl::Reload(std::string_view aCause)
{
  const auto fresh = options.readSettings();
  if (!fresh) {
    Log(LogLevel::Error,
        kComponent,
        "settings rejected",
        { { "cause", std::string(aCause) }, { "findings", FormatFindings(fresh.error()) } });
    return;
  }
  if (*fresh == options.settings) {
    if (aCause == "SIGHUP")
      Log(LogLevel::Info, kComponent, "settings unchanged", { { "cause", std::string(aCause) } });
    return;
  }
  options.settings = *fresh;
  // Addresses and identity hold for the life of the process.
  settings.stopTime = fresh->stopTime;
  settings.directoryTtl = fresh->directoryTtl;
  Log(LogLevel::Info, kComponent, "settings read again", { { "cause", std::string(aCause) } });
}

void
Gateway::Impl::BeginStop()
{
  stopBegan = ReadClocks().monotonic;
  Log(LogLevel::Info,
      kComponent,
      "graceful stop begins",
      { { "unanswered", std::to_string(front.UnansweredRequestCount()) } });
  front.BeginStop();
  asio::post(control, [this] { fleet.BeginStop(); });
}

bool
Gateway::Impl::CheckStop(TimePoint aNow)
{
  const Duration since = aNow - *stopBegan;
  if (since >= kStopIdleAfter && !idleClosed) {
    idleClosed = true;
    front.CloseIdleConnections();
  }
  if (since < kStopAcceptingAfter)
    return false;
  error_code ignored; // The socket is given up in any case.
  callers.close(ignored);
  front.CloseIdleConnections();
  if (front.UnansweredRequestCount() > 0 && since < settings.stopTime - kStopMargin)
    return false;
  Log(LogLevel::Info,
      kComponent,
      "graceful stop has ended",
      { { "unanswered", std::to_string(front.UnansweredRequestCount()) } });
  asio::post(control, [this] {
    fleet.Leave();
    control.stop();
  });
  traffic.stop();
  return true;
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
  Findings findings = impl->Bind();
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
  impl.readiness->Start();
  impl.directory->Start();
  impl.operators->Start();
  asio::co_spawn(impl.traffic, impl.AcceptCallers(), asio::detached);
  asio::co_spawn(impl.traffic, impl.Tick(), asio::detached);
  asio::co_spawn(impl.traffic, impl.HandleSignals(), asio::detached);
  impl.fleet.Start();
  std::thread controlThread([&impl] { impl.control.run(); });
  impl.traffic.run();
  controlThread.join();
  FlushLog();
}

void
Gateway::BeginStop()
{
  asio::post(impl_->traffic, [impl = impl_.get()] {
    if (!impl->stopBegan)
      impl->BeginStop();
  });
}

} // namespace dfm
