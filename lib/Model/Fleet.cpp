#include "dragonflymoor/Model/Fleet.h"

#include <algorithm>
#include <arpa/inet.h>
#include <string_view>

namespace dfm {

namespace {

constexpr std::array<std::string_view, kListCount> kObjectNames = {
  "config/plans",   "config/limits", "config/drains", "fleet/services",
  "fleet/backends", "fleet/links",   "fleet/roster",
};

template<typename T, typename Predicate>
const T*
FindWhere(const std::vector<T>& aItems, Predicate aPredicate)
{
  const auto found = std::find_if(aItems.begin(), aItems.end(), aPredicate);
  return found == aItems.end() ? nullptr : &*found;
}

} // namespace

bool
IsIpAddress(const std::string& aText)
{
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  // inet_pton stops at a zero byte, which would accept trailing bytes.
  return aText.find('\0') == std::string::npos &&
         (inet_pton(AF_INET, aText.c_str(), bytes.data()) == 1 ||
          inet_pton(AF_INET6, aText.c_str(), bytes.data()) == 1);
}

std::string_view
ObjectName(ListName aList)
{
  return kObjectNames.at(static_cast<size_t>(aList));
}

const Service*
FleetLists::FindService(const ServiceId& aId) const
{
  return FindWhere(services, [&](const Service& aService) { return aService.id == aId; });
}

const Plan*
FleetLists::FindPlan(const PlanId& aId) const
{
  return FindWhere(plans, [&](const Plan& aPlan) { return aPlan.id == aId; });
}

const PlanLimit*
FleetLists::FindLimit(const PlanId& aPlan, const ServiceId& aService) const
{
  return FindWhere(limits, [&](const PlanLimit& aLimit) {
    return aLimit.plan == aPlan && aLimit.service == aService;
  });
}

} // namespace dfm
