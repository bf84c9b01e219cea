#include "Input.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace dfm {

std::optional<std::string>
ReadInput(const std::string& aFile)
{
  if (aFile == "-")
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  std::ifstream in(aFile, std::ios::binary);
  if (!in)
    return std::nullopt;
  try {
    return std::string(std::istreambuf_iterator<char>(in), {});
  } catch (const std::ios_base::failure&) {
    // A directory opens, but cannot be read.
    return std::nullopt;
  }
}

} // namespace dfm
