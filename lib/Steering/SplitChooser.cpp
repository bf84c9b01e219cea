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
    credits = { .parts = aRoute.parts, .credit = std::vector<double>(aRoute.parts.size(), 0) };

  double total = 0;
  for (size_t i = 0; i < aRoute.parts.size(); ++i) {
    credits.credit[i] += aRoute.parts[i].weight;
    total += aRoute.parts[i].weight;
  }
  const auto best = std::max_element(credits.credit.begin(), credits.credit.end());
  *best -= total;
  return aRoute.parts[static_cast<size_t>(best - credits.credit.begin())].service;
}

} // namespace dfm
