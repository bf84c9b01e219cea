#include "dragonflymoor/Steering/SplitChooser.h"

#include <algorithm>
#include <cassert>

namespace dfm {

const ServiceId&
SplitChooser::Choose(const Route& aRoute)
{
  assert(!aRoute.parts.empty() && "a route goes to at least one service");
  if (aRoute.parts.size() == 1)
    return aRoute.parts.front().service;

  Credits& credits = creditsByRoute_[aRoute.name];
  if (credits.parts != aRoute.parts)
    credits = { .parts = aRoute.parts,
                .creditByPart = std::vector<double>(aRoute.parts.size(), 0) };

  double totalWeight = 0;
  for (size_t i = 0; i < aRoute.parts.size(); ++i) {
    credits.creditByPart[i] += aRoute.parts[i].weight;
    totalWeight += aRoute.parts[i].weight;
  }
  const auto highestCredit =
    std::max_element(credits.creditByPart.begin(), credits.creditByPart.end());
  *highestCredit -= totalWeight;
  return aRoute.parts[static_cast<size_t>(highestCredit - credits.creditByPart.begin())].service;
}

} // namespace dfm
