#include "dragonflymoor/Operator/TextDiff.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace dfm {

namespace {

using Lines = std::vector<std::string_view>;

// The table of common lines takes rows x columns x 4 bytes: 64 MB.
constexpr size_t kMaxTableCells = 16'000'000;

Lines
SplitLines(std::string_view aText)
{
  Lines lines;
  while (!aText.empty()) {
    const size_t end = aText.find('\n');
    lines.push_back(aText.substr(0, end));
    aText = end == std::string_view::npos ? std::string_view() : aText.substr(end + 1);
  }
  return lines;
}

void
Append(std::string& aText, std::string_view aMark, std::string_view aLine)
{
  aText.append(aMark).append(aLine).append("\n");
}

/// Number of common lines of the tails aOld[i..] and aNew[j..], at i * (columns) + j.
std::vector<uint32_t>
CommonTails(const Lines& aOld, const Lines& aNew)
{
  const size_t columns = aNew.size() + 1;
  std::vector<uint32_t> table((aOld.size() + 1) * columns, 0);
  for (size_t i = aOld.size(); i-- > 0;) {
    for (size_t j = aNew.size(); j-- > 0;) {
      const uint32_t below = table[(i + 1) * columns + j];
      const uint32_t right = table[i * columns + j + 1];
      table[i * columns + j] =
        aOld[i] == aNew[j] ? table[(i + 1) * columns + j + 1] + 1 : std::max(below, right);
    }
  }
  return table;
}

void
RemoveCommonEnds(Lines& aOld, Lines& aNew)
{
  const auto [oldDiffers, newDiffers] =
    std::mismatch(aOld.begin(), aOld.end(), aNew.begin(), aNew.end());
  aOld.erase(aOld.begin(), oldDiffers);
  aNew.erase(aNew.begin(), newDiffers);
  while (!aOld.empty() && !aNew.empty() && aOld.back() == aNew.back()) {
    aOld.pop_back();
    aNew.pop_back();
  }
}

} // namespace

std::string
DiffLines(std::string_view aOld, std::string_view aNew)
{
  Lines before = SplitLines(aOld);
  Lines after = SplitLines(aNew);
  RemoveCommonEnds(before, after);
  const size_t columns = after.size() + 1;
  // Beyond the bound the whole differing range is shown.
  const bool fits = (before.size() + 1) * columns <= kMaxTableCells;
  const std::vector<uint32_t> common = fits ? CommonTails(before, after) : std::vector<uint32_t>();
  std::string text;
  size_t i = 0;
  size_t j = 0;
  while (fits && i < before.size() && j < after.size()) {
    if (before[i] == after[j]) {
      ++i;
      ++j;
    } else if (common[(i + 1) * columns + j] >= common[i * columns + j + 1]) {
      Append(text, "- ", before[i++]);
    } else {
      Append(text, "+ ", after[j++]);
    }
  }
  for (; i < before.size(); ++i)
    Append(text, "- ", before[i]);
  for (; j < after.size(); ++j)
    Append(text, "+ ", after[j]);
  return text;
}

} // namespace dfm
