#include "CallerState.h"
#include "dragonflymoor/Support/Log.h"
#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

namespace dfm {

namespace {

constexpr std::string_view kComponent = "caller";

/// Time before a caller's deadline at which its request is refused when it waits for memory, so
/// that the answer arrives in time.
constexpr Duration kRefusalMargin = 200ms;

/// A connection that has made progress within this time is not closed in favour of a new one.
constexpr Duration kMinStallTime = 1s;

} // namespace

asio::awaitable<error_code>
CallerFront::ReadBody(const ConnectionPtr& aConnection, RequestParser& aParser)
{
  Connection& connection = *aConnection;
  const CallerHeaders head = protocol_.readCallerHeaders(aParser.get());
  const Duration patience = std::max(Duration(0), head.timeout.value_or(5s) - kRefusalMargin);
  const TimePoint giveUp = connection.phaseStart + patience;
  const uint64_t length = aParser.content_length().value_or(SIZE_MAX);
  connection.buffer.reserve(std::min<uint64_t>(length, kReadBytes / 4));
  while (!aParser.is_done()) {
    const size_t next = aParser.get().body().Size() + connection.buffer.capacity();
    const size_t storage =
      SegmentedBytes::StorageFor(std::min<uint64_t>(next, length), length != SIZE_MAX);
    if (!connection.memory->Budget().TryGrow(connection.memory->Id(), storage)) {
      const bool available = co_await WaitForMemory(aConnection, storage, giveUp);
      if (!available)
        co_return make_error_code(asio::error::operation_aborted);
    }
    auto [error, bytes] =
      co_await http::async_read_some(connection.socket, connection.buffer, aParser, kAwaitTuple);
    if (error)
      co_return error;
    connection.NoteProgress(bytes);
  }
  connection.buffer.shrink_to_fit();
  co_return error_code();
}

asio::awaitable<bool>
CallerFront::WaitForMemory(const ConnectionPtr& aConnection, size_t aBytes, TimePoint aGiveUp)
{
  Connection& connection = *aConnection;
  MemoryBudget& budget = connection.memory->Budget();
  if (!budget.CanEverHold(aBytes)) {
    connection.refused = true;
    co_return false;
  }
  metrics_.Count("requests-paused-for-memory");
  connection.waitsForMemory = true;
  const TimePoint waitStart = ReadClocks().monotonic;
  bool available = false;
  while (!available && !connection.refused && connection.socket.is_open()) {
    budget.Wait(connection.memory->Id(), aBytes, aGiveUp);
    connection.memoryTimer.expires_at(asio::steady_timer::time_point::max());
    co_await connection.memoryTimer.async_wait(kAwaitTuple);
    available = !connection.refused && connection.socket.is_open() &&
                budget.TryGrow(connection.memory->Id(), aBytes);
  }
  // The caller could not send meanwhile.
  connection.waitsForMemory = false;
  connection.phaseStart += ReadClocks().monotonic - waitStart;
  connection.NoteProgress(0);
  co_return available;
}

asio::awaitable<void>
CallerFront::RefuseForMemory(const ConnectionPtr& aConnection)
{
  Connection& connection = *aConnection;
  metrics_.Count("requests-refused-memory");
  Log(
    LogLevel::Info,
    kComponent,
    "refused for memory",
    { { "held_bytes", std::to_string(options_.memory->UsedBytes()) },
      { "waiting", std::to_string(options_.memory->WaitingCount()) },
      { "after_ms",
        fmt::format("{:.1f}", ToMilliseconds(ReadClocks().monotonic - connection.phaseStart)) } });
  http::response<http::string_body> answer(http::status::service_unavailable, 11);
  answer.set(http::field::content_type, "text/plain");
  answer.set(http::field::retry_after, fmt::format("{:.2f}", ToSeconds(dispatcher_.RetryAfter())));
  answer.body() = "no memory for the body\n";
  answer.keep_alive(false);
  answer.prepare_payload();
  connection.EnterPhase(Connection::Phase::Draining);
  auto [writeError, written] = co_await http::async_write(connection.socket, answer, kAwaitTuple);
  error_code error = writeError;
  connection.socket.shutdown(tcp::socket::shutdown_send, error);
  connection.buffer.clear();
  while (!error) {
    auto [readError, bytes] = co_await connection.socket.async_read_some(
      connection.buffer.prepare(kReadBytes), kAwaitTuple);
    error = readError;
  }
}

asio::awaitable<bool>
CallerFront::WriteAnswer(const ConnectionPtr& aConnection,
                         const RequestPtr& aRequest,
                         Answer& aAnswer)
{
  Connection& connection = *aConnection;
  connection.EnterPhase(Connection::Phase::Writing);
  // While nobody reads the answer, its memory can be taken back.
  connection.memory = std::move(aRequest->answerMemory);
  if (connection.memory != nullptr)
    connection.memory->Budget().Unpin(connection.lastProgress, connection.memory->Id());
  http::response_serializer<http::string_body> serializer(aAnswer);
  error_code error;
  while (!error && !serializer.is_done()) {
    auto [writeError, bytes] =
      co_await http::async_write_some(connection.socket, serializer, kAwaitTuple);
    error = writeError;
    connection.NoteProgress(bytes);
  }
  connection.memory.reset();
  co_return !error;
}

void
CallerFront::OnMemoryTick(TimePoint aNow)
{
  MemoryBudget& budget = *options_.memory;
  metrics_.SetGauge("memory_held_bytes",
                    static_cast<double>(budget.UsedBytes(BytePurpose::Request)),
                    { { "purpose", "request" } });
  metrics_.SetGauge("memory_held_bytes",
                    static_cast<double>(budget.UsedBytes(BytePurpose::Answer)),
                    { { "purpose", "answer" } });
  if (budget.WaitingCount() == 0)
    return;
  if (const auto release = budget.NextRelease(aNow)) {
    const auto found = std::ranges::find_if(connections_, [&](const ConnectionPtr& aConnection) {
      return aConnection->memory != nullptr && aConnection->memory->Id() == release->holder;
    });
    if (found != connections_.end()) {
      const ConnectionPtr& connection = *found;
      if (release->cause == MemoryBudget::Release::Cause::NoMemory) {
        connection->refused = true;
        connection->memoryTimer.cancel();
      } else {
        metrics_.Count("connections-closed-for-memory");
        Log(LogLevel::Info,
            kComponent,
            "closed for memory",
            { { "bytes", std::to_string(connection->phaseBytes) },
              { "stalled_ms",
                fmt::format("{:.1f}", ToMilliseconds(aNow - connection->lastProgress)) } });
        ResetConnection(connection->socket);
      }
    }
  }
  for (const ConnectionPtr& connection : connections_) {
    if (connection->memory != nullptr && budget.IsDue(connection->memory->Id()))
      connection->memoryTimer.cancel();
  }
}

bool
CallerFront::CloseLeastUseful(TimePoint aNow)
{
  ConnectionPtr candidate;
  bool candidateIsHalfOpen = false;
  error_code ignored; // The connection is dropped in any case.
  for (const ConnectionPtr& connection : connections_) {
    using Phase = Connection::Phase;
    const bool idle = connection->phase == Phase::Idle;
    const bool closable = idle || connection->phase == Phase::Header ||
                          connection->phase == Phase::Body || connection->phase == Phase::Draining;
    if (!closable || !connection->socket.is_open() ||
        aNow - connection->lastProgress < kMinStallTime ||
        (idle && connection->socket.available(ignored) > 0))
      continue;
    // A connection that has served requests is of use to its caller.
    const bool halfOpen = !idle || connection->requests == 0;
    if (candidate == nullptr || (halfOpen && !candidateIsHalfOpen) ||
        (halfOpen == candidateIsHalfOpen && connection->lastProgress < candidate->lastProgress)) {
      candidate = connection;
      candidateIsHalfOpen = halfOpen;
    }
  }
  if (candidate == nullptr)
    return false;
  metrics_.Count("connections-closed-for-others");
  candidate->socket.close(ignored);
  candidate->memoryTimer.cancel();
  connections_.erase(candidate);
  return true;
}

} // namespace dfm
