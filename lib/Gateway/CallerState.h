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

/// Received bytes that are not parsed yet, besides a head. Without this bound a chunked body's line
/// or trailer that never ends would be buffered whole.
constexpr size_t kReadBytes = 64UL * 1024;

/// A request's body with the memory that it is counted in; null when it is empty.
struct StoredBody
{
  SegmentedBytes bytes;
  std::shared_ptr<MemoryHold> memory;
};

/// A caller's connection.
struct CallerFront::Connection
{
  enum class Phase
  {
    Idle,      ///< No byte of the next request has arrived.
    Header,    ///< The header is arriving.
    Body,      ///< The header is complete, the body is arriving.
    Answering, ///< A whole request has arrived.
    Writing,   ///< The answer is being written.
    Draining,  ///< A rejected request is still arriving and is discarded.
  };

  explicit Connection(tcp::socket aSocket)
    : socket(std::move(aSocket))
    , memoryTimer(socket.get_executor())
  {
  }

  tcp::socket socket;
  beast::flat_buffer buffer;
  Phase phase = Phase::Idle;
  TimePoint phaseStart;   ///< When the current phase began.
  TimePoint lastProgress; ///< When bytes were last transferred, or the phase began.
  size_t phaseBytes = 0;  ///< Bytes transferred in this phase; counted for bodies and answers.
  unsigned requests = 0;  ///< Requests that arrived whole.
  /// Bytes held for the request that arrives or for the answer that is written; null without.
  std::shared_ptr<MemoryHold> memory;
  asio::steady_timer memoryTimer; ///< Cancelled when waiting for memory ends.
  bool waitsForMemory = false;    ///< Its request is not read meanwhile.
  bool refused = false;           ///< The request gets no memory.

  void EnterPhase(Phase aPhase)
  {
    phase = aPhase;
    phaseStart = lastProgress = ReadClocks().monotonic;
    phaseBytes = 0;
  }
  void NoteProgress(size_t aBytes)
  {
    lastProgress = ReadClocks().monotonic;
    phaseBytes += aBytes;
    if (memory != nullptr)
      memory->Budget().NoteProgress(lastProgress, memory->Id());
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
  InstanceRequest message;
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
  std::shared_ptr<MemoryHold> answerMemory; ///< Of an instance's answer; null for others.
  std::shared_ptr<ExchangeControl> control; ///< Of the attempt in flight; null without one.
};

} // namespace dfm

#endif
