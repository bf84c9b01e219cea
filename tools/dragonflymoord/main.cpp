#include "dragonflymoor/Gateway/Gateway.h"
#include "dragonflymoor/Net/Daemon.h"
#include "dragonflymoor/Settings/Settings.h"
#include "dragonflymoor/Settings/SteeringSettings.h"
#include "dragonflymoor/Support/Log.h"
#include "platform/Adapter.h"
#include <cstdlib>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <malloc.h>

DEFINE_string(config, "", "settings file, JSON with comments");
DEFINE_bool(platform, false, "serve on the users' platform; the settings file is the one it names");
DEFINE_bool(check, false, "print all findings of the settings file and end, non-zero if any");

namespace {

int
Fail(const dfm::Findings& aFindings)
{
  fmt::print(stderr, "{}", dfm::FormatFindings(aFindings));
  return EXIT_FAILURE;
}

/// Environment variable in which the platform names the settings file.
constexpr const char* kSettingsVariable = "DRAGONFLYMOOR_CONFIG";

constexpr int kMapThresholdBytes = 128 * 1024;

int
ServeOnPlatform(std::string aFile)
{
  if (const char* named = std::getenv(kSettingsVariable); aFile.empty() && named != nullptr)
    aFile = named;
  if (aFile.empty())
    return Fail({ { kSettingsVariable, "is not set, and --config is missing" } });
  const auto settings = dfm::ReadSteeringSettings(aFile);
  if (!settings)
    return Fail(settings.error());
  if (FLAGS_check)
    return EXIT_SUCCESS;
  // Bodies are held in blocks above this size, which then return to the system when they are freed.
  // By default the allocator raises the threshold and keeps them.
  ::mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  dfm::BufferLog();
  auto gateway =
    dfm::Gateway::Create({ .settings = *settings,
                           .platform = dfm::platform::MakeAdapter(*settings),
                           .readSettings = [aFile] { return dfm::ReadSteeringSettings(aFile); } });
  if (!gateway)
    return Fail(gateway.error());
  (*gateway)->Run();
  return EXIT_SUCCESS;
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
  if (FLAGS_platform)
    return ServeOnPlatform(FLAGS_config);
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
