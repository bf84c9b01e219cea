#include "Fit.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

// NOLINTBEGIN(readability-identifier-naming): gflags derives the names of the variables.
DEFINE_string(
  only,
  "",
  "Run one measurement: blocks, membership, changes, parse, routes, shares, claims, dispatch.");
DEFINE_bool(quick, false, "Use smaller sizes, for a check that the program runs.");
// NOLINTEND(readability-identifier-naming)

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("Measures cost by size and fits a line, for docs/CAPACITY.md.");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  struct Measurement
  {
    const char* name;
    void (*run)(bool);
  };
  const Measurement measurements[] = {
    { .name = "blocks", .run = dfm::slopes::MeasureBlockLookup },
    { .name = "membership", .run = dfm::slopes::MeasureMembership },
    { .name = "changes", .run = dfm::slopes::MeasureListChange },
    { .name = "parse", .run = dfm::slopes::MeasureListParse },
    { .name = "routes", .run = dfm::slopes::MeasureRouteTable },
    { .name = "shares", .run = dfm::slopes::MeasureShares },
    { .name = "claims", .run = dfm::slopes::MeasureClaims },
    { .name = "dispatch", .run = dfm::slopes::MeasureDispatch },
  };
  bool ran = false;
  for (const Measurement& measurement : measurements) {
    if (!FLAGS_only.empty() && FLAGS_only != measurement.name)
      continue;
    measurement.run(FLAGS_quick);
    ran = true;
  }
  if (!ran)
    fmt::print(stderr, "measurement \"{}\" does not exist\n", FLAGS_only);
  return ran ? 0 : 1;
}
