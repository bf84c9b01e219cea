#include "dragonflymoor/Fakes/BackendFleet.h"
#include "dragonflymoor/Fakes/Run.h"
#include <gflags/gflags.h>

DEFINE_string(backends, "", "JSON file in the shape of the list fleet/backends");
DEFINE_string(settings, "", "JSON file with service times and sizes by service");
DEFINE_string(control, "127.0.0.1:7100", "endpoint for faults and counters");
DEFINE_uint64(seed, 1, "seed of the service times");

int
main(int aCount, char** aValues)
{
  gflags::SetUsageMessage("fake backend servers, all of a list in one process");
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  try {
    const dfm::fakes::BackendFleetOptions options{ .control =
                                                     dfm::fakes::ParseEndpoint(FLAGS_control),
                                                   .backendsFile = FLAGS_backends,
                                                   .settingsFile = FLAGS_settings,
                                                   .seed = FLAGS_seed };
    return dfm::fakes::RunUntilSignal<dfm::fakes::BackendFleet>("fake-backend", options);
  } catch (const std::exception& error) {
    fmt::print(stderr, "fake-backend: {}\n", error.what());
    return 1;
  }
}
