#ifndef DRAGONFLYMOOR_SUPPORT_FINDING_H
#define DRAGONFLYMOOR_SUPPORT_FINDING_H

#include <compare>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dfm {

/// One fault of an input, with its place (for example "settings.json: peers[2].port").
struct Finding
{
  std::string place;
  std::string message;

  auto operator<=>(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

/// A value, or everything that is wrong with the input it was read from.
template<typename T>
using Checked = tl::expected<T, Findings>;

/// Formats findings one a line as "place: message". Safe to call from any thread.
std::string
FormatFindings(const Findings& aFindings);

} // namespace dfm

#endif
