#include "dragonflymoor/Check/KeyMask.h"

#include <cctype>

namespace dfm {

KeyMask::KeyMask(const std::vector<std::string>& aKeys)
{
  for (const std::string& key : aKeys) {
    if (!key.empty())
      keysByLength_[key.size()].insert(key);
  }
}

size_t
KeyMask::KeyLengthAt(std::string_view aText) const
{
  for (const auto& [length, keys] : keysByLength_) {
    if (length <= aText.size() && keys.contains(std::string(aText.substr(0, length))))
      return length;
  }
  return 0;
}

std::string
KeyMask::Mask(std::string_view aText) const
{
  std::string masked;
  while (!aText.empty()) {
    const size_t length = KeyLengthAt(aText);
    if (length > 0)
      masked += "***";
    else
      masked += std::iscntrl(static_cast<unsigned char>(aText.front())) != 0 ? '?' : aText.front();
    aText.remove_prefix(length > 0 ? length : 1);
  }
  return masked;
}

} // namespace dfm
