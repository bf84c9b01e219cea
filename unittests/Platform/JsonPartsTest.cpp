#include "platform/JsonParts.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>
#include <string>

namespace {

using namespace dfm::platform;

using Members = std::map<std::string_view, std::string_view>;

/// Guards against values that are cut at a bracket or comma in a text, and against a truncated text
/// that counts as whole.
Test(JsonParts, SplitsObjectsAndArrays)
{
  struct Case
  {
    std::string_view text;
    std::optional<Members> members;
  };
  const Case cases[] = {
    { "{}", Members{} },
    { R"( { "a" : 1 , "b":[1,{"c":"]"}] } )",
      Members{ { "a", "1" }, { "b", R"([1,{"c":"]"}])" } } },
    { R"({"a":"x\"},{","b":null})", Members{ { "a", R"("x\"},{")" }, { "b", "null" } } },
    { R"({"a":1,"a":2})", Members{ { "a", "2" } } },
    { R"({"a":1)", std::nullopt },
    { R"({"a":[1})", std::nullopt },
    { R"({"a":"x)", std::nullopt },
    { R"({"a":})", std::nullopt },
    { R"({"a"})", std::nullopt },
    { R"({"a":1}})", std::nullopt },
    { R"([1])", std::nullopt },
    { "", std::nullopt },
  };
  for (const Case& testCase : cases) {
    const std::string name(testCase.text);
    cr_assert(SplitJsonObject(testCase.text) == testCase.members, "%s", name.c_str());
  }
  const std::vector<std::string_view> expected{ "1", R"("]")", "[2,3]", "{}" };
  cr_assert(SplitJsonArray(R"([1,"]",[2,3],{}])") == expected);
  cr_assert(SplitJsonArray("[]") == std::vector<std::string_view>{});
  for (const std::string_view text : { "[1,]", "[", "[1", "[1]]", "{}", "" })
    cr_assert(not SplitJsonArray(text).has_value());
  const bool holds = rc::check("any bytes are split or rejected", [](const std::string& aBytes) {
    static_cast<void>(SplitJsonObject("{" + aBytes));
    static_cast<void>(SplitJsonArray("[" + aBytes));
  });
  cr_assert(holds);
}

} // namespace
