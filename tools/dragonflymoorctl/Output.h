#ifndef DRAGONFLYMOOR_TOOLS_DRAGONFLYMOORCTL_OUTPUT_H
#define DRAGONFLYMOOR_TOOLS_DRAGONFLYMOORCTL_OUTPUT_H

#include "dragonflymoor/Operator/FleetStatus.h"
#include "dragonflymoor/Operator/ListEditor.h"
#include <optional>
#include <string_view>
#include <vector>

namespace dfm {

struct ListSummary
{
  ListName list = ListName::Plans;
  ListVersion version = 0; ///< 0 when the list does not exist.
  size_t bytes = 0;
  bool valid = false;
};

struct DrainState
{
  Drain drain;
  std::optional<DrainProgress> progress;
};

/// All functions print to standard output, as JSON or as text.
void
PrintSummaries(bool aJson, const std::vector<ListSummary>& aSummaries);
void
PrintList(bool aJson, ListName aList, const ListText& aText);
void
PrintWrite(bool aJson,
           std::string_view aResult,
           ListName aList,
           ListVersion aVersion,
           const Findings& aFindings);
void
PrintDrains(bool aJson, const std::vector<DrainState>& aDrains);
void
PrintStatus(bool aJson, const FleetStatus& aStatus);

} // namespace dfm

#endif
