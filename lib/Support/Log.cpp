#include "dragonflymoor/Support/Log.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <mutex>
#include <unistd.h>

namespace dfm {

namespace {

/// Most bytes that wait for the reader of standard output; about a second of a VM under load.
constexpr size_t kMaxBufferedBytes = 512UL * 1024;

std::atomic<LogLevel> sLevel{ LogLevel::Info };

/// Lines that wait for FlushLog.
struct Buffer
{
  std::mutex mutex;
  bool active = false;
  std::string bytes;
  uint64_t dropped = 0;
};

Buffer&
TheBuffer()
{
  static Buffer buffer;
  return buffer;
}

/// False when the line is to be written at once.
bool
Collect(const std::string& aLine)
{
  Buffer& buffer = TheBuffer();
  const std::scoped_lock lock(buffer.mutex);
  if (!buffer.active)
    return false;
  if (buffer.bytes.size() + aLine.size() > kMaxBufferedBytes)
    ++buffer.dropped;
  else
    buffer.bytes += aLine;
  return true;
}

std::string
TimePrefix()
{
  const auto now =
    std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto milliseconds = now.time_since_epoch().count() % 1000;
  return fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z ",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     milliseconds);
}

std::string_view
LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "error";
}

bool
NeedsQuotes(std::string_view aValue)
{
  if (aValue.empty())
    return true;
  for (const char c : aValue) {
    if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f)
      return true;
  }
  return false;
}

std::string
Quote(std::string_view aValue)
{
  if (!NeedsQuotes(aValue))
    return std::string(aValue);
  std::string quoted = "\"";
  for (const char c : aValue) {
    if (c == '"' || c == '\\')
      quoted += '\\';
    if (c == '\n')
      quoted += "\\n";
    else if (static_cast<unsigned char>(c) < ' ')
      quoted += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    else
      quoted += c;
  }
  return quoted + "\"";
}

} // namespace

void
SetLogLevel(LogLevel aLevel)
{
  sLevel = aLevel;
}

std::string
FormatLogLine(LogLevel aLevel,
              std::string_view aComponent,
              std::string_view aMessage,
              std::initializer_list<LogField> aFields)
{
  std::string line = fmt::format(
    "level={} component={} message={}", LevelName(aLevel), Quote(aComponent), Quote(aMessage));
  for (const LogField& field : aFields)
    line += fmt::format(" {}={}", field.key, Quote(field.value));
  return line;
}

void
Log(LogLevel aLevel,
    std::string_view aComponent,
    std::string_view aMessage,
    std::initializer_list<LogField> aFields)
{
  if (aLevel < sLevel.load())
    return;
  const std::string line =
    TimePrefix() + FormatLogLine(aLevel, aComponent, aMessage, aFields) + "\n";
  if (Collect(line))
    return;
  std::fwrite(line.data(), 1, line.size(), stdout);
  std::fflush(stdout);
}

void
BufferLog()
{
  Buffer& buffer = TheBuffer();
  const std::scoped_lock lock(buffer.mutex);
  buffer.active = true;
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0)
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void
FlushLog()
{
  Buffer& buffer = TheBuffer();
  const std::scoped_lock lock(buffer.mutex);
  if (buffer.dropped > 0 && buffer.bytes.size() < kMaxBufferedBytes / 2) {
    buffer.bytes += TimePrefix() +
                    FormatLogLine(LogLevel::Warning,
                                  "log",
                                  "lines dropped",
                                  { { "count", std::to_string(buffer.dropped) } }) +
                    "\n";
    buffer.dropped = 0;
  }
  while (!buffer.bytes.empty()) {
    const ssize_t written = ::write(STDOUT_FILENO, buffer.bytes.data(), buffer.bytes.size());
    if (written <= 0)
      return; // The reader is slow; the lines wait for the next call.
    buffer.bytes.erase(0, static_cast<size_t>(written));
  }
}

} // namespace dfm
