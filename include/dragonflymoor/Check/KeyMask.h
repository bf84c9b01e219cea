#ifndef DRAGONFLYMOOR_CHECK_KEYMASK_H
#define DRAGONFLYMOOR_CHECK_KEYMASK_H

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace dfm {

/// Makes text safe for operators' terminals and tickets: callers' keys are replaced and control
/// characters are escaped. Takes time in proportion to the text and the number of different lengths
/// of keys, not to the number of keys. Immutable; safe to use from any thread.
class KeyMask
{
public:
  /// Empty keys are ignored.
  explicit KeyMask(const std::vector<std::string>& aKeys);

  /// Returns aText with "***" for each key that it contains and "?" for each control character.
  std::string Mask(std::string_view aText) const;

private:
  /// Length of the key that begins aText, the longest of several; 0 for none.
  size_t KeyLengthAt(std::string_view aText) const;

  std::map<size_t, std::unordered_set<std::string>, std::greater<>> keysByLength_;
};

} // namespace dfm

#endif
