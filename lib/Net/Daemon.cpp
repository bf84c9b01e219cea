#include "dragonflymoor/Net/Daemon.h"

#include "dragonflymoor/Net/Clock.h"
#include "dragonflymoor/Net/Control.h"
#include "dragonflymoor/Net/Listen.h"
#include "dragonflymoor/Net/OperatorServer.h"
#include "dragonflymoor/Support/Log.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <random>

namespace dfm {

namespace {

/// Bound on writing the last answers to callers that read slowly.
constexpr auto kFlushTime = std::chrono::seconds(10);
constexpr auto kFlushCheckPeriod = std::chrono::milliseconds(10);
/// Pause after a failed accept, which is mostly caused by a lack of file descriptors.
constexpr auto kAcceptPause = std::chrono::milliseconds(100);
/// A control thread without a tick for this long does not work; a tick is due every 20 ms.
constexpr Duration kMaxTickAge = 2s;
/// Tries to find a port that is free for both TCP and UDP, when the system chooses it.
constexpr int kPortTries = 20;
/// Answers of finished orders may take half of the memory for bodies; with the default bounds that
/// is the 32 MB that the engine counts on.
constexpr uint64_t kKeptAnswersDivisor = 2;

uint64_t
RandomNumber()
{
  std::random_device device;
  return (uint64_t{ device() } << 32) | device();
}

Endpoint
Advertised(const ListenSettings& aSettings, const tcp::acceptor& aAcceptor)
{
  Endpoint endpoint = aSettings.advertised;
  if (endpoint.port == 0)
    endpoint.port = aAcceptor.local_endpoint().port();
  return endpoint;
}

} // namespace

struct Daemon::Impl
{
  explicit Impl(const Settings& aSettings);
  ~Impl();

  Findings Bind();
  error_code BindPeers();
  void CreateControl();
  OperatorPages MakePages();
  void StartAccepting();
  asio::awaitable<void> Accept(tcp::acceptor& aAcceptor,
                               std::function<void(TrafficThread&, tcp::socket)> aServe);
  asio::awaitable<void> WaitForSignals();
  void BeginStop();
  void FinishStop();

  Settings settings;
  Vm self;
  Incarnation incarnation{ RandomNumber() };
  SharedState shared;
  Metrics metrics;
  // Handlers that are queued in one context may own objects of a context declared before it.
  Control::Threads threads;
  asio::io_context context{ 1 };
  tcp::acceptor callers;
  tcp::acceptor peers;
  tcp::acceptor operators;
  asio::signal_set signals;
  asio::steady_timer flushTimer;
  SteadyTime flushUntil;
  std::atomic<uint64_t> nextPeerConnection{ 1 };
  std::unique_ptr<Control> control;
  std::unique_ptr<OperatorServer> operatorServer;
};

Daemon::Impl::Impl(const Settings& aSettings)
  : settings(aSettings)
  , callers(context)
  , peers(context)
  , operators(context)
  , signals(context)
  , flushTimer(context)
{
  shared.self = settings.vm;
  shared.source = ToAddress(settings.peers.listen);
  shared.store = settings.store;
  shared.budget = std::make_shared<BodyBudget>(settings.bounds.bodyMemoryBytes);
  shared.callers = std::make_shared<CallerShared>();
  shared.callers->bounds = settings.bounds;
  shared.callers->budget = shared.budget;
  shared.callers->requestIdPrefix = fmt::format("{}-{:x}-", settings.vm.Value(), incarnation.value);
  shared.processes = std::make_shared<ProcessIdentities>();
  shared.unsentReplies = std::make_shared<std::atomic<uint32_t>>(0);
}

Daemon::Impl::~Impl()
{
  // From here on only this thread touches the objects of the traffic threads.
  for (const auto& thread : threads)
    thread->Join();
}

error_code
Daemon::Impl::BindPeers()
{
  error_code error;
  for (int i = 0; i < kPortTries; ++i) {
    error = ListenOn(peers, settings.peers.listen);
    if (error)
      return error;
    self.peers = Advertised(settings.peers, peers);
    CreateControl();
    const Endpoint datagrams{ .address = settings.peers.listen.address,
                              .port = peers.local_endpoint().port() };
    error = control->OpenDatagrams(datagrams);
    if (!error || settings.peers.listen.port != 0)
      return error;
    peers.close();
  }
  return error;
}

Findings
Daemon::Impl::Bind()
{
  Findings findings;
  const auto check = [&](std::string_view aPlace, const Endpoint& aEndpoint, error_code aError) {
    if (aError) {
      findings.push_back(
        { std::string(aPlace),
          fmt::format("can't listen on {}: {}", ToText(aEndpoint), aError.message()) });
    }
    return !aError;
  };
  self.id = settings.vm;
  self.region = settings.region;
  self.failureDomain = settings.failureDomain;
  if (check("callers.listen", settings.callers.listen, ListenOn(callers, settings.callers.listen)))
    self.callers = Advertised(settings.callers, callers);
  check("operators", settings.operators, ListenOn(operators, settings.operators));
  check("peers.listen", settings.peers.listen, BindPeers());
  return findings;
}

void
Daemon::Impl::CreateControl()
{
  ControlOptions options;
  options.engine.self = self;
  options.engine.incarnation = incarnation;
  options.engine.startedAtMs = static_cast<uint64_t>(ReadClocks().wall.time_since_epoch().count());
  options.engine.seeds = settings.seeds;
  options.engine.storeRegion = settings.storeRegion;
  options.engine.randomSeed = RandomNumber();
  options.engine.probePeriod = settings.probePeriod;
  options.requestIdPrefix = shared.callers->requestIdPrefix;
  options.keptAnswerBytes = settings.bounds.bodyMemoryBytes / kKeptAnswersDivisor;
  control = std::make_unique<Control>(
    context, std::move(options), shared, metrics, [this] { FinishStop(); });
}

OperatorPages
Daemon::Impl::MakePages()
{
  OperatorPages pages;
  pages.metrics = [this] {
    metrics.SetGauge("caller_connections", shared.callers->connections.load());
    metrics.SetGauge("requests_in_flight", control->RequestsInFlight());
    metrics.SetGauge("body_memory_bytes", static_cast<double>(shared.budget->Used()));
    metrics.SetGauge("ready", control->Ready() ? 1 : 0);
    return metrics.Text();
  };
  pages.healthy = [this] { return ReadClocks().monotonic - control->LastTick() < kMaxTickAge; };
  pages.ready = [this] { return control->Ready() && !control->Stopping(); };
  pages.status = [this](std::function<void(std::string)> aDone) {
    asio::post(context, [this, done = std::move(aDone)] {
      TrafficThread& thread = *threads.front();
      thread.Post(
        [this, done, status = control->Status()] { done(StatusJson(self, incarnation, status)); });
    });
  };
  return pages;
}

asio::awaitable<void>
Daemon::Impl::Accept(tcp::acceptor& aAcceptor,
                     std::function<void(TrafficThread&, tcp::socket)> aServe)
{
  for (size_t next = 0;; next = (next + 1) % threads.size()) {
    TrafficThread& thread = *threads[next];
    auto [error, socket] = co_await aAcceptor.async_accept(thread.Context(), kAwaitTuple);
    if (error == asio::error::operation_aborted)
      co_return;
    if (error) {
      metrics.Count("accepts-failed");
      asio::steady_timer pause(context, kAcceptPause);
      co_await pause.async_wait(kAwaitTuple);
      continue;
    }
    thread.Post([&thread, aServe, accepted = std::move(socket)]() mutable {
      aServe(thread, std::move(accepted));
    });
  }
}

void
Daemon::Impl::StartAccepting()
{
  const auto start = [this](tcp::acceptor& aAcceptor, auto aServe) {
    asio::co_spawn(context, Accept(aAcceptor, std::move(aServe)), asio::detached);
  };
  start(callers, [](TrafficThread& aThread, tcp::socket aSocket) {
    aThread.callers.Serve(std::move(aSocket));
  });
  start(peers, [this](TrafficThread& aThread, tcp::socket aSocket) {
    aThread.peers.Serve(std::move(aSocket), { nextPeerConnection.fetch_add(1) });
  });
  start(operators,
        [this](TrafficThread&, tcp::socket aSocket) { operatorServer->Serve(std::move(aSocket)); });
}

asio::awaitable<void>
Daemon::Impl::WaitForSignals()
{
  auto [firstError, first] = co_await signals.async_wait(kAwaitTuple);
  if (firstError)
    co_return;
  Log(LogLevel::Info, "daemon", "graceful stop begins", { { "signal", std::to_string(first) } });
  BeginStop();
  auto [secondError, second] = co_await signals.async_wait(kAwaitTuple);
  if (secondError)
    co_return;
  Log(LogLevel::Warning, "daemon", "ends at once", { { "signal", std::to_string(second) } });
  std::_Exit(EXIT_FAILURE);
}

void
Daemon::Impl::BeginStop()
{
  if (!control->Stopping())
    control->BeginStop();
}

void
Daemon::Impl::FinishStop()
{
  const SteadyTime now = std::chrono::steady_clock::now();
  if (flushUntil == SteadyTime())
    flushUntil = now + kFlushTime;
  const bool flushed = shared.callers->unfinished.load() == 0 && shared.unsentReplies->load() == 0;
  if (flushed || now >= flushUntil) {
    Log(LogLevel::Info, "daemon", "graceful stop has ended");
    context.stop();
    return;
  }
  flushTimer.expires_after(kFlushCheckPeriod);
  flushTimer.async_wait([this](error_code aError) {
    if (!aError)
      FinishStop();
  });
}

Daemon::Daemon(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

Daemon::~Daemon() = default;

Checked<std::unique_ptr<Daemon>>
Daemon::Create(const Settings& aSettings)
{
  auto impl = std::make_unique<Impl>(aSettings);
  Findings findings = impl->Bind();
  if (!findings.empty())
    return tl::unexpected(std::move(findings));
  for (size_t i = 0; i < aSettings.threads; ++i) {
    impl->threads.push_back(
      std::make_unique<TrafficThread>(impl->shared, impl->control->HooksFor(i)));
  }
  impl->operatorServer = std::make_unique<OperatorServer>(impl->MakePages());
  return std::unique_ptr<Daemon>(new Daemon(std::move(impl)));
}

void
Daemon::HandleSignals()
{
  impl_->signals.add(SIGTERM);
  impl_->signals.add(SIGINT);
  asio::co_spawn(impl_->context, impl_->WaitForSignals(), asio::detached);
}

void
Daemon::Run()
{
  Log(LogLevel::Info,
      "daemon",
      "starts",
      { { "vm", impl_->self.id.Value() },
        { "callers", ToText(impl_->self.callers) },
        { "peers", ToText(impl_->self.peers) },
        { "operators", ToText(Operators()) },
        { "incarnation", fmt::format("{:x}", impl_->incarnation.value) } });
  impl_->control->Start(impl_->threads);
  for (const auto& thread : impl_->threads)
    thread->Start();
  impl_->StartAccepting();
  impl_->context.run();
  for (const auto& thread : impl_->threads)
    thread->Join();
}

void
Daemon::BeginStop()
{
  asio::post(impl_->context, [impl = impl_.get()] { impl->BeginStop(); });
}

const Vm&
Daemon::Self() const
{
  return impl_->self;
}

Endpoint
Daemon::Operators() const
{
  return FromTcp(impl_->operators.local_endpoint());
}

} // namespace dfm
