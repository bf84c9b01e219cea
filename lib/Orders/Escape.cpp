#include "Escape.h"

#include <charconv>
#include <fmt/format.h>

namespace dfm {

namespace {

bool
IsPlain(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') || aChar == '-' || aChar == '_';
}

bool
IsLowerHex(std::string_view aText)
{
  return aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace

std::string
EscapeName(std::string_view aName)
{
  std::string text;
  for (const char c : aName) {
    if (IsPlain(c))
      text += c;
    else
      text += fmt::format("%{:02x}", static_cast<unsigned char>(c));
  }
  return text;
}

std::optional<std::string>
UnescapeName(std::string_view aText)
{
  std::string name;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (IsPlain(aText[i])) {
      name += aText[i];
      continue;
    }
    const std::string_view digits = aText.substr(i, 3);
    if (digits.size() != 3 || digits[0] != '%' || !IsLowerHex(digits.substr(1)))
      return std::nullopt;
    unsigned value = 0;
    std::from_chars(digits.data() + 1, digits.data() + 3, value, 16);
    name += static_cast<char>(value);
    i += 2;
  }
  // One name has one text, so that equal keys are equal as text, too.
  if (EscapeName(name) != aText)
    return std::nullopt;
  return name;
}

std::optional<uint64_t>
ParseHex64(std::string_view aText)
{
  constexpr size_t kDigits = 16;
  if (aText.size() != kDigits || !IsLowerHex(aText))
    return std::nullopt;
  uint64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value, kDigits);
  return value;
}

} // namespace dfm
