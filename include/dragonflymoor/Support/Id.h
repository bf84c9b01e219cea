#ifndef DRAGONFLYMOOR_SUPPORT_ID_H
#define DRAGONFLYMOOR_SUPPORT_ID_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dfm {

/// Name of an object of one kind. The tag keeps names of different kinds apart at compile time.
template<typename Tag>
class Id
{
public:
  Id() = default;
  explicit Id(std::string aValue)
    : value_(std::move(aValue))
  {
  }

  /// The name as text. Safe to call from any thread.
  const std::string& Value() const { return value_; }
  bool Empty() const { return value_.empty(); }

  auto operator<=>(const Id&) const = default;

private:
  std::string value_;
};

/// Number of an object of one kind, unique within one process.
template<typename Tag>
struct NumericId
{
  uint64_t value = 0;

  auto operator<=>(const NumericId&) const = default;
};

using VmId = Id<struct VmTag>;
using RegionId = Id<struct RegionTag>;
using FailureDomainId = Id<struct FailureDomainTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using PlanId = Id<struct PlanTag>;
using ServiceId = Id<struct ServiceTag>;
using BackendId = Id<struct BackendTag>;

using RequestId = NumericId<struct RequestTag>;
using AttemptId = NumericId<struct AttemptTag>;
using StoreCallId = NumericId<struct StoreCallTag>;

/// Identity of one run of a VM's process; random, so that a restart is never taken for its
/// predecessor.
using Incarnation = NumericId<struct IncarnationTag>;

} // namespace dfm

template<typename Tag>
struct std::hash<dfm::Id<Tag>>
{
  size_t operator()(const dfm::Id<Tag>& aId) const { return std::hash<std::string>{}(aId.Value()); }
};

template<typename Tag>
struct std::hash<dfm::NumericId<Tag>>
{
  size_t operator()(const dfm::NumericId<Tag>& aId) const
  {
    return std::hash<uint64_t>{}(aId.value);
  }
};

#endif
