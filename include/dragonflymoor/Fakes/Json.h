#ifndef DRAGONFLYMOOR_FAKES_JSON_H
#define DRAGONFLYMOOR_FAKES_JSON_H

#include <boost/json.hpp>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>

namespace dfm::fakes {

/// Parses JSON with comments; throws std::runtime_error that names the source.
inline boost::json::value
ParseJson(std::string_view aText, const std::string& aSource)
{
  boost::json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  boost::json::error_code error;
  boost::json::value value = boost::json::parse({ aText.data(), aText.size() }, error, {}, options);
  if (error)
    throw std::runtime_error(fmt::format("{}: {}", aSource, error.message()));
  return value;
}

inline std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file)
    throw std::runtime_error(fmt::format("{}: cannot be read", aPath));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

inline boost::json::value
ReadJsonFile(const std::string& aPath)
{
  return ParseJson(ReadFile(aPath), aPath);
}

/// Sets the field when the object has the key. Throws when the value has another type.
template<typename T>
void
ReadField(const boost::json::object& aObject, std::string_view aKey, T& aField)
{
  if (const auto* value = aObject.if_contains({ aKey.data(), aKey.size() }))
    aField = boost::json::value_to<T>(*value);
}

inline std::string
TextOf(const boost::json::object& aObject, std::string_view aKey)
{
  return boost::json::value_to<std::string>(aObject.at({ aKey.data(), aKey.size() }));
}

} // namespace dfm::fakes

#endif
