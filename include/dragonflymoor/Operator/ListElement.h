#ifndef DRAGONFLYMOOR_OPERATOR_LISTELEMENT_H
#define DRAGONFLYMOOR_OPERATOR_LISTELEMENT_H

#include "dragonflymoor/Operator/ListEditor.h"
#include "dragonflymoor/Support/Finding.h"
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dfm {

/// Change of one plan or limit.
struct ElementChange
{
  std::string name;                ///< A plan's id, or "plan/service" for a limit.
  std::vector<std::string> fields; ///< "field=value"
  bool remove = false;

  auto operator<=>(const ElementChange&) const = default;
};

/// One element as JSON in one line: by "id", by "plan/service" for limits, by "from/to" for links,
/// by "name" for drains. Empty when the list cannot be parsed or has no such element.
std::optional<std::string>
FindElement(ListName aList, std::string_view aText, std::string_view aName);

/// Text of the list with one element added, changed or removed. Fields that are not named keep
/// their value. The result is in the form that the tool writes; comments of the old text are lost.
/// Precondition: aList is Plans or Limits.
Checked<std::string>
ChangeElement(ListName aList, const ListText& aBase, const ElementChange& aChange);

} // namespace dfm

#endif
