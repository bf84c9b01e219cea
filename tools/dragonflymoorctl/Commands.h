#ifndef DRAGONFLYMOOR_TOOLS_DRAGONFLYMOORCTL_COMMANDS_H
#define DRAGONFLYMOOR_TOOLS_DRAGONFLYMOORCTL_COMMANDS_H

#include "CheckCommand.h"
#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Time.h"
#include <string>
#include <vector>

namespace dfm {

/// Exit codes of all commands but check; documented in docs/operators.md.
enum ExitCode : int
{
  Success = 0,
  Failure = 1,     ///< Anything else, such as a file that cannot be read.
  Usage = 2,       ///< Unknown command, flag or argument.
  Invalid = 3,     ///< A list was refused; all findings were printed.
  Conflict = 4,    ///< Another operator has changed the list.
  Unavailable = 5, ///< The store or the daemons do not answer; nothing was changed.
  Unconfirmed = 6, ///< The store may or may not hold the change.
  Overload = 7,    ///< A drain would overload what remains.
  NotFound = 8,    ///< The named element does not exist.
  TimedOut = 9,    ///< A drain was not finished, or could not begin, in time.
};

struct ToolOptions
{
  Endpoint store;
  std::vector<Endpoint> operators; ///< Operator ports of the daemons.
  Duration timeout = 2s;           ///< For each exchange with the store or a daemon.
  Duration waitLimit = 30min;      ///< For drain add --wait and drain watch.
  Duration pollInterval = 2s;
  bool json = false;
  bool dryRun = false;
  bool wait = false;
  bool remove = false;
  std::string file;
  std::string startsAt;
  std::string conflictFile;
  CheckArguments check;
};

/// Carries out one command; the result goes to standard output, progress and errors to standard
/// error. Returns an ExitCode.
int
RunCommand(const ToolOptions& aOptions, const std::vector<std::string>& aArguments);

/// Usage of all commands.
extern const char* const kUsage;

} // namespace dfm

#endif
