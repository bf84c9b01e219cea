#ifndef DRAGONFLYMOOR_MODEL_LISTS_H
#define DRAGONFLYMOOR_MODEL_LISTS_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Finding.h"
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dfm {

/// Largest object that the store holds; a longer text is refused.
constexpr size_t kMaxListBytes = 1024 * 1024;

/// Inverse of ObjectName; empty when the store object is not a list. Safe to call from any thread.
std::optional<ListName>
ParseObjectName(std::string_view aObject);

/// Kebab-case name as in the list of drains. Safe to call from any thread.
std::string_view
ToString(DrainTarget aTarget);
std::optional<DrainTarget>
ParseDrainTarget(std::string_view aName);

/// Parses one list from its text in the store (JSON with comments, see design section 17) and
/// checks everything that needs no other list: types, missing and unknown fields, bounds, duplicate
/// ids. All findings are returned together; their places start with aPlace, for example
/// "config/plans: plans[3].weight". Never throws on any input. Safe to call from any thread.
Checked<std::vector<Plan>>
ParsePlans(std::string_view aText, std::string_view aPlace);
Checked<std::vector<PlanLimit>>
ParseLimits(std::string_view aText, std::string_view aPlace);
Checked<std::vector<Drain>>
ParseDrains(std::string_view aText, std::string_view aPlace);
Checked<std::vector<Service>>
ParseServices(std::string_view aText, std::string_view aPlace);
Checked<std::vector<BackendServer>>
ParseBackends(std::string_view aText, std::string_view aPlace);
Checked<std::vector<Link>>
ParseLinks(std::string_view aText, std::string_view aPlace);
Checked<std::vector<Vm>>
ParseRoster(std::string_view aText, std::string_view aPlace);

/// Text of one list for the store, one element a line. Parsing it gives the same list.
std::string
SerialisePlans(const std::vector<Plan>& aPlans);
std::string
SerialiseLimits(const std::vector<PlanLimit>& aLimits);
std::string
SerialiseDrains(const std::vector<Drain>& aDrains);
std::string
SerialiseServices(const std::vector<Service>& aServices);
std::string
SerialiseBackends(const std::vector<BackendServer>& aBackends);
std::string
SerialiseLinks(const std::vector<Link>& aLinks);
std::string
SerialiseRoster(const std::vector<Vm>& aRoster);

/// Text of the named list of aLists.
std::string
SerialiseList(const FleetLists& aLists, ListName aList);

/// Checks references between lists: a limit names an existing plan and service, a backend server an
/// existing service, a drain an existing target, and a failure domain lies in one region.
///
/// The operators' tool refuses a write with such findings. A VM does not: the lists are separate
/// objects that arrive in any order, and refusing one because another has not arrived yet would let
/// VMs disagree for good. Entries with a dangling reference have no effect on a VM.
Findings
CheckReferences(const FleetLists& aLists);

/// aLists with one list replaced by the parsed text, at the given version. The findings are those
/// of parsing; references between lists are left to CheckReferences.
Checked<FleetLists>
ReplaceList(const FleetLists& aLists, ListName aList, ListVersion aVersion, std::string_view aText);

} // namespace dfm

#endif
