#include "dragonflymoor/Net/Daemon.h"
#include "dragonflymoor/Settings/Settings.h"
#include "dragonflymoor/Support/Log.h"
#include <cstdlib>
#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(config, "", "settings file, JSON with comments");
DEFINE_bool(check, false, "print all findings of the settings file and end, non-zero if any");

namespace {

int
Fail(const dfm::Findings& aFindings)
{
  fmt::print(stderr, "{}", dfm::FormatFindings(aFindings));
  return EXIT_FAILURE;
}

int
Serve(const dfm::Settings& aSettings)
{
  auto daemon = dfm::Daemon::Create(aSettings);
  if (!daemon)
    return Fail(daemon.error());
  (*daemon)->HandleSignals();
  (*daemon)->Run();
  return EXIT_SUCCESS;
}

} // namespace

int
main(int argc, char** argv)
{
  gflags::SetUsageMessage("daemon of an entry VM: dragonflymoord --config FILE [--check]");
  gflags::SetVersionString(DFM_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc > 1)
    return Fail({ { argv[1], "is not a flag" } });
  if (FLAGS_config.empty())
    return Fail({ { "--config", "is missing" } });

  const auto settings = dfm::ReadSettings(FLAGS_config);
  if (!settings)
    return Fail(settings.error());
  if (FLAGS_check)
    return EXIT_SUCCESS;
  dfm::SetLogLevel(settings->logLevel);
  return Serve(*settings);
}
