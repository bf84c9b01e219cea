#include "dragonflymoor/Support/ClosestName.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <string>

namespace dfm {

namespace {

/// Longer names are compared with no known one; the comparison takes quadratic time.
constexpr size_t kMaxComparedName = 64;

size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (size_t i = 1; i <= aLeft.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= aRight.size(); ++j) {
      const size_t replaced = diagonal + (aLeft[i - 1] == aRight[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ replaced, row[j] + 1, row[j - 1] + 1 });
    }
  }
  return row.back();
}

/// Lower case, without the separators in which spellings of one name differ.
std::string
Simplify(std::string_view aName)
{
  std::string simple;
  for (const unsigned char character : aName) {
    if (character != '_' && character != '-')
      simple += static_cast<char>(std::tolower(character));
  }
  return simple;
}

} // namespace

std::string_view
ClosestName(std::string_view aName, const std::vector<std::string_view>& aKnown)
{
  if (aName.size() > kMaxComparedName)
    return {};
  const std::string name = Simplify(aName);
  std::string_view closest;
  // A name of which more than a third is different was probably meant as another one.
  size_t best = name.size() / 3 + 1;
  for (const std::string_view known : aKnown) {
    const std::string simple = Simplify(known);
    // "timeout" is meant as "timeout_s": the unit is often left out.
    const bool withoutUnit = name.size() >= 3 && simple.starts_with(name);
    const size_t distance = withoutUnit ? 1 : EditDistance(name, simple);
    if (distance < best) {
      best = distance;
      closest = known;
    }
  }
  return closest;
}

} // namespace dfm
