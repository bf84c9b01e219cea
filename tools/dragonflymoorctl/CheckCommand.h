#ifndef DRAGONFLYMOOR_TOOLS_DRAGONFLYMOORCTL_CHECKCOMMAND_H
#define DRAGONFLYMOOR_TOOLS_DRAGONFLYMOORCTL_CHECKCOMMAND_H

#include <string>

namespace dfm {

struct CheckArguments
{
  std::string manifest = "-";    ///< File; "-" is standard input.
  std::string settings;          ///< File; empty: none.
  std::string against;           ///< File with the manifest in force; empty: none.
  std::string neededRates;       ///< "service=requests/s,..."
  double longestWaitSeconds = 0; ///< 0: not known.
  unsigned memoryMegabytes = 112;
  bool json = false;
  bool strict = false;
};

/// Checks a manifest and prints the findings to standard output. Returns 0 without errors, 1 with
/// warnings only if aArguments.strict, and 2 with errors or when an input cannot be read.
int
RunCheck(const CheckArguments& aArguments);

} // namespace dfm

#endif
