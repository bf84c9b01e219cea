#include "dragonflymoor/Fakes/Platform.h"
#include "dragonflymoor/Fakes/Run.h"
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:7000", "endpoint of the object API and VM list");
DEFINE_string(control, "", "second endpoint, reachable while the platform is down");
DEFINE_string(objects, "", "directory with the start-up objects as JSON files");
DEFINE_int32(latency_ms, 2, "time of every answer");

int
main(int aCount, char** aValues)
{
  gflags::SetUsageMessage("fake of the platform: object API and VM list, in memory");
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  try {
    dfm::fakes::PlatformOptions options{ .listen = dfm::fakes::ParseEndpoint(FLAGS_listen),
                                         .control = std::nullopt,
                                         .directory = FLAGS_objects,
                                         .latency = std::chrono::milliseconds(FLAGS_latency_ms) };
    if (!FLAGS_control.empty())
      options.control = dfm::fakes::ParseEndpoint(FLAGS_control);
    return dfm::fakes::RunUntilSignal<dfm::fakes::Platform>("fake-platform", options);
  } catch (const std::exception& error) {
    fmt::print(stderr, "fake-platform: {}\n", error.what());
    return 1;
  }
}
