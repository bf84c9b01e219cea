#include "dragonflymoor/Operator/ListElement.h"

#include "dragonflymoor/Model/Lists.h"
#include <algorithm>
#include <boost/json.hpp>
#include <cassert>
#include <fmt/format.h>

namespace dfm {

namespace {

namespace json = boost::json;

std::string_view
ArrayName(ListName aList)
{
  if (aList == ListName::Roster)
    return "vms";
  const std::string_view object = ObjectName(aList);
  return object.substr(object.find('/') + 1);
}

std::string
TextOf(const json::object& aElement, std::string_view aField)
{
  const json::value* value = aElement.if_contains(aField);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::string
NameOf(ListName aList, const json::value& aElement)
{
  if (!aElement.is_object())
    return {};
  const json::object& element = aElement.get_object();
  if (aList == ListName::Limits)
    return fmt::format("{}/{}", TextOf(element, "plan"), TextOf(element, "service"));
  if (aList == ListName::Links)
    return fmt::format("{}/{}", TextOf(element, "from"), TextOf(element, "to"));
  return TextOf(element, aList == ListName::Drains ? "name" : "id");
}

/// The elements of a list, or nothing when it is not JSON of that form.
std::optional<json::array>
Elements(ListName aList, std::string_view aText)
{
  json::error_code error;
  json::parse_options options;
  options.allow_comments = true;
  const json::value value = json::parse(aText, error, {}, options);
  if (error || !value.is_object())
    return std::nullopt;
  const json::value* array = value.get_object().if_contains(ArrayName(aList));
  if (array == nullptr || !array->is_array())
    return std::nullopt;
  return array->get_array();
}

json::object
NewElement(ListName aList, const std::string& aName)
{
  if (aList == ListName::Plans)
    return { { "id", aName }, { "weight", 1 } };
  const size_t slash = aName.find('/');
  const std::string service = slash == std::string::npos ? "" : aName.substr(slash + 1);
  return { { "plan", aName.substr(0, slash) }, { "service", service } };
}

/// Sets "field=value"; numbers stay numbers, everything else becomes a text.
void
SetField(json::object& aElement, const std::string& aField, Findings& aFindings)
{
  const size_t equals = aField.find('=');
  if (equals == 0 || equals == std::string::npos) {
    aFindings.push_back({ .place = aField, .message = "is not field=value" });
    return;
  }
  const std::string text = aField.substr(equals + 1);
  json::error_code error;
  const json::value number = json::parse(text, error);
  aElement[aField.substr(0, equals)] = !error && number.is_number() ? number : json::value(text);
}

} // namespace

std::optional<std::string>
FindElement(ListName aList, std::string_view aText, std::string_view aName)
{
  const auto elements = Elements(aList, aText);
  if (!elements)
    return std::nullopt;
  for (const json::value& element : *elements) {
    if (NameOf(aList, element) == aName)
      return json::serialize(element);
  }
  return std::nullopt;
}

Checked<std::string>
ChangeElement(ListName aList, const ListText& aBase, const ElementChange& aChange)
{
  assert((aList == ListName::Plans || aList == ListName::Limits) && "list has no such change");
  const std::string place = fmt::format("{}: {}", ObjectName(aList), aChange.name);
  auto elements = aBase.version == 0 ? json::array() : Elements(aList, aBase.text);
  if (!elements) {
    return tl::unexpected(Findings{
      { .place = std::string(ObjectName(aList)), .message = "the list in the store is broken" } });
  }
  const auto found =
    std::find_if(elements->begin(), elements->end(), [&](const json::value& aItem) {
      return NameOf(aList, aItem) == aChange.name;
    });
  Findings findings;
  if (aChange.remove) {
    if (found == elements->end())
      findings.push_back({ .place = place, .message = "does not exist" });
    else
      elements->erase(found);
    if (!aChange.fields.empty())
      findings.push_back({ .place = place, .message = "is removed, so it takes no fields" });
  } else {
    if (aChange.fields.empty())
      findings.push_back({ .place = place, .message = "no field is given" });
    const bool added = found == elements->end();
    json::value& item = added ? elements->emplace_back(NewElement(aList, aChange.name)) : *found;
    json::object& element = item.as_object();
    for (const std::string& field : aChange.fields)
      SetField(element, field, findings);
  }
  if (!findings.empty())
    return tl::unexpected(findings);
  const std::string text = json::serialize(json::object{ { ArrayName(aList), *elements } });
  const auto lists = ReplaceList(FleetLists{}, aList, 1, text);
  if (!lists)
    return tl::unexpected(lists.error());
  return SerialiseList(*lists, aList);
}

} // namespace dfm
