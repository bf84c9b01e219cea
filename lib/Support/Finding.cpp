#include "dragonflymoor/Support/Finding.h"

#include <fmt/format.h>

namespace dfm {

std::string
FormatFindings(const Findings& aFindings)
{
  std::string text;
  for (const Finding& finding : aFindings)
    text += fmt::format("{}: {}\n", finding.place, finding.message);
  return text;
}

} // namespace dfm
