#ifndef DRAGONFLYMOOR_LIB_SETTINGS_SECTION_H
#define DRAGONFLYMOOR_LIB_SETTINGS_SECTION_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Finding.h"
#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dfm {

namespace json = boost::json;

/// Fields of one object of the settings. Each field that is read counts as known; Finish reports
/// the others.
class Section
{
public:
  Section(const json::value& aValue, std::string aPlace, Findings& aFindings);

  std::string PlaceOf(std::string_view aField) const;
  void Report(std::string_view aField, std::string aMessage);
  const json::value* Find(std::string_view aField);
  /// As Find; a missing field is a finding.
  const json::value* Require(std::string_view aField);
  /// A text that is not empty.
  std::string Name(std::string_view aField);
  uint64_t Number(std::string_view aField, uint64_t aDefault, uint64_t aLow, uint64_t aHigh);
  /// A number that may have a fraction.
  double Real(std::string_view aField, double aDefault, double aLow, double aHigh);
  bool Flag(std::string_view aField, bool aDefault);
  /// "address:port". Unless it is for listening, others must be able to reach it.
  Endpoint Address(std::string_view aField, const json::value* aValue, bool aListen);
  std::vector<Endpoint> Addresses(std::string_view aField);
  void Finish();

private:
  std::string place_;
  Findings& findings_;
  const json::object* object_;
  std::vector<std::string> known_;
};

/// Name of the place of a field of the root object.
std::string
RootPlace(std::string_view aFile);

/// The value of a JSON text with comments, or the place of the syntax error.
tl::expected<json::value, Finding>
ParseJson(std::string_view aText, std::string_view aFile);

tl::expected<std::string, Finding>
ReadFile(const std::string& aFile);

} // namespace dfm

#endif
