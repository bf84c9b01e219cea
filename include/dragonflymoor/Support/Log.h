#ifndef DRAGONFLYMOOR_SUPPORT_LOG_H
#define DRAGONFLYMOOR_SUPPORT_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace dfm {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// One key=value pair of a log line.
struct LogField
{
  std::string_view key;
  std::string value;
};

/// Sets the lowest level that is written. Safe to call from any thread.
void
SetLogLevel(LogLevel aLevel);

/// Writes one line "time=... level=... component=... message=... key=value..." to standard output.
/// Values with blanks, quotes or control characters are quoted and escaped. Safe to call from any
/// thread.
void
Log(LogLevel aLevel,
    std::string_view aComponent,
    std::string_view aMessage,
    std::initializer_list<LogField> aFields = {});

/// From now on Log only collects lines, up to a bound, and FlushLog writes them: no caller waits
/// for a slow reader of standard output. Lines beyond the bound are dropped and counted.
void
BufferLog();

/// Writes as many collected lines as standard output takes without waiting. Safe to call from any
/// thread.
void
FlushLog();

/// The line that Log writes, without the time; for tests and other sinks.
std::string
FormatLogLine(LogLevel aLevel,
              std::string_view aComponent,
              std::string_view aMessage,
              std::initializer_list<LogField> aFields);

} // namespace dfm

#endif
