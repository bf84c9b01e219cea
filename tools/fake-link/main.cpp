#include "dragonflymoor/Fakes/Link.h"
#include "dragonflymoor/Fakes/Run.h"
#include <gflags/gflags.h>

DEFINE_string(config, "", "JSON file with destinations, source addresses and region pairs");

int
main(int aCount, char** aValues)
{
  gflags::SetUsageMessage("relay that gives region pairs a delay and a byte rate");
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  return dfm::fakes::RunUntilSignal<dfm::fakes::Link>(
    "fake-link", dfm::fakes::LinkOptions{ .configFile = FLAGS_config });
}
