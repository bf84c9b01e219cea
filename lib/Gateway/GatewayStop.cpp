#include "GatewayImpl.h"
#include "dragonflymoor/Net/Clock.h"
#include "dragonflymoor/Net/Listen.h"
#include "dragonflymoor/Support/Log.h"
#include <csignal>
#include <fmt/format.h>

namespace dfm {

namespace {

constexpr std::string_view kComponent = "gateway";

/// Delays from the beginning of a graceful stop until this VM closes idle connections and until it
/// stops accepting connections. By then callers know that this VM is leaving, as the directory
/// answers that they hold have expired.
constexpr Duration kCloseIdleDelay = 2s;
constexpr Duration kStopAcceptingDelay = 2500ms;

/// Delay from the beginning of a graceful stop until this VM passes no more requests on. Only those
/// that are sent within this time may be cut off by the end of the stop.
constexpr Duration kLastStartDelay = 3s;

/// Part of the stop time that is reserved for the exit itself, because the platform kills the
/// process at the end of the stop time.
constexpr Duration kExitMargin = 400ms;

} // namespace

asio::awaitable<void>
Gateway::Impl::HandleSignals()
{
  for (;;) {
    auto [error, signal] = co_await signals.async_wait(kAwaitTuple);
    if (error)
      co_return;
    if (signal == SIGHUP)
      ReloadSettings("SIGHUP");
    else if (!stopBeginTime)
      BeginStop();
  }
}

void
Gateway::Impl::ReloadSettings(std::string_view aCause)
{
  const auto newSettings = options.readSettings();
  if (!newSettings) {
    Log(LogLevel::Error,
        kComponent,
        "settings rejected",
        { { "cause", std::string(aCause) }, { "findings", FormatFindings(newSettings.error()) } });
    return;
  }
  if (*newSettings == options.settings) {
    if (aCause == "SIGHUP")
      Log(LogLevel::Info, kComponent, "settings unchanged", { { "cause", std::string(aCause) } });
    return;
  }
  options.settings = *newSettings;
  // Only these two settings take effect while the process runs. Addresses and identity remain
  // fixed for its lifetime.
  settings.stopTime = newSettings->stopTime;
  settings.directoryTtl = newSettings->directoryTtl;
  Log(LogLevel::Info, kComponent, "settings read again", { { "cause", std::string(aCause) } });
}

void
Gateway::Impl::BeginStop()
{
  stopBeginTime = ReadClocks().monotonic;
  Log(LogLevel::Info,
      kComponent,
      "graceful stop begins",
      { { "unanswered", std::to_string(callerFront.UnansweredRequestCount()) } });
  callerFront.BeginStop();
  dispatcher.BeginStop({ .lastStart = *stopBeginTime + kLastStartDelay,
                         .end = *stopBeginTime + settings.stopTime - kExitMargin });
  asio::post(controlContext, [this] { fleetSync.BeginStop(); });
}

void
Gateway::Impl::StopAccepting()
{
  error_code error;
  if (!callerAcceptor.is_open())
    return;
  // Connections that the system has accepted already would be reset.
  callerAcceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(trafficContext);
    callerAcceptor.accept(socket, error);
    if (!error)
      callerFront.Serve(std::move(socket));
  }
  callerAcceptor.close(error);
}

bool
Gateway::Impl::ContinueStop(TimePoint aNow)
{
  const Duration stopDuration = aNow - *stopBeginTime;
  if (stopDuration >= kCloseIdleDelay && !idleConnectionsClosed) {
    idleConnectionsClosed = true;
    callerFront.CloseIdleConnections(aNow);
  }
  if (stopDuration < kStopAcceptingDelay)
    return false;
  StopAccepting();
  callerFront.CloseIdleConnections(aNow);
  if (callerFront.ConnectionCount() > 0 && stopDuration < settings.stopTime - kExitMargin)
    return false;
  Log(LogLevel::Info,
      kComponent,
      "graceful stop has ended",
      { { "unanswered", std::to_string(callerFront.UnansweredRequestCount()) } });
  asio::post(controlContext, [this] {
    fleetSync.Leave();
    controlContext.stop();
  });
  trafficContext.stop();
  return true;
}

} // namespace dfm
