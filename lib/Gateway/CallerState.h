#ifndef DRAGONFLYMOOR_GATEWAY_CALLERSTATE_H
#define DRAGONFLYMOOR_GATEWAY_CALLERSTATE_H

#include "dragonflymoor/Gateway/CallerFront.h"
#include "dragonflymoor/Net/Clock.h"
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace dfm {

/// For log lines.
inline double
ToMilliseconds(Duration aDuration)
{
  return ToSeconds(aDuration) * 1000;
}

/// A caller's connection.
struct CallerFront::Connection
{
  enum class Phase
  {
    Idle,      ///< No byte of the next request has arrived.
    Header,    ///< The header is arriving.
    Body,      ///< The header is complete, the body is arriving.
    Answering, ///< A whole request has arrived.
  };

  explicit Connection(tcp::socket aSocket)
    : socket(std::move(aSocket))
  {
  }

  tcp::socket socket;
  beast::flat_buffer buffer;
  Phase phase = Phase::Idle;
  TimePoint phaseStart; ///< When the current phase began.

  void EnterPhase(Phase aPhase)
  {
    phase = aPhase;
    phaseStart = ReadClocks().monotonic;
  }
};

/// A caller's request from its arrival to its answer.
struct CallerFront::Request
{
  explicit Request(asio::io_context& aContext)
    : wakeTimer(aContext)
  {
  }

  Ticket ticket = 0;
  http::request<http::string_body> message;
  CallerHeaders head;
  std::string callerAddress;
  bool keepAlive = false;
  TimePoint arrivalTime;
  TimePoint deadline;
  std::shared_ptr<const RouteIndex> routes;
  const Route* route = nullptr;
  const Workspace* workspace = nullptr; ///< The caller's; null without one.
  asio::steady_timer wakeTimer; ///< Cancelled when `attempt`, `refusal` or `callerGone` is set.
  std::optional<InstanceAttempt> attempt;
  std::optional<RequestRefusal> refusal;
  bool callerGone = false;
  std::shared_ptr<ExchangeControl> control; ///< Of the attempt in flight; null without one.
};

} // namespace dfm

#endif
