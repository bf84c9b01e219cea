#include "dragonflymoor/Support/Log.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace dfm {

namespace {

std::atomic<LogLevel> sLevel{ LogLevel::Info };

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
  const auto now =
    std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto milliseconds = now.time_since_epoch().count() % 1000;
  const std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n",
                                       fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                                       milliseconds,
                                       FormatLogLine(aLevel, aComponent, aMessage, aFields));
  std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace dfm
