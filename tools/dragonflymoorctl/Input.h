#ifndef DRAGONFLYMOOR_TOOLS_DRAGONFLYMOORCTL_INPUT_H
#define DRAGONFLYMOOR_TOOLS_DRAGONFLYMOORCTL_INPUT_H

#include <optional>
#include <string>

namespace dfm {

/// Returns the content of a file, or of standard input for "-"; nothing if it cannot be read.
std::optional<std::string>
ReadInput(const std::string& aFile);

} // namespace dfm

#endif
