#include "dragonflymoor/Steering/Departures.h"

#include <algorithm>
#include <tuple>

namespace dfm {

namespace {

/// How long a departure is remembered. The copies from which the store returns are some seconds
/// old, and in this time the entries of dead instances lapse also while the store comes and goes.
constexpr Duration kMemory = 60s;

/// Departures that are remembered at most; more than the instances of the largest fleet.
constexpr size_t kMaxDepartures = 4096;

/// The platform removes an entry after three report periods without a report. One more covers the
/// time until a VM learns of the removal.
constexpr int kReportPeriodsToLapse = 4;

} // namespace

Departures::Departures(DeparturesOptions aOptions)
  : options_(aOptions)
{
}

void
Departures::Add(TimePoint aNow, const Instance& aInstance, uint64_t aEpoch)
{
  Add(aNow,
      { .instance = aInstance.id,
        .startTimeMs = aInstance.startTimeMs,
        .report = aInstance.report,
        .epoch = aEpoch });
}

bool
Departures::Add(TimePoint aNow, const Departure& aDeparture)
{
  const auto found = known_.find(aDeparture.instance);
  if (found == known_.end()) {
    if (known_.size() >= kMaxDepartures)
      known_.erase(
        std::min_element(known_.begin(), known_.end(), [](const auto& aLeft, const auto& aRight) {
          return aLeft.second.learntAt < aRight.second.learntAt;
        }));
    known_[aDeparture.instance] = { .departure = aDeparture, .learntAt = aNow };
    return true;
  }
  const auto order = [](const Departure& aValue) {
    return std::tie(aValue.startTimeMs, aValue.epoch, aValue.report);
  };
  if (order(aDeparture) <= order(found->second.departure))
    return false;
  found->second = { .departure = aDeparture, .learntAt = aNow };
  return true;
}

bool
Departures::CheckOutdated(TimePoint aNow, const Instance& aEntry, uint64_t aEpoch)
{
  const auto found = known_.find(aEntry.id);
  if (found == known_.end())
    return false;
  const Departure& departure = found->second.departure;
  if (aEntry.draining || aEntry.startTimeMs > departure.startTimeMs)
    return false;
  if (aEpoch < departure.epoch)
    return false;
  if (aEpoch == departure.epoch) {
    known_.erase(found);
    return false;
  }
  std::optional<OutdatedEntry>& outdated = found->second.outdated;
  if (!outdated || outdated->epoch != aEpoch)
    outdated = { .epoch = aEpoch, .firstReport = aEntry.report, .listAt = aNow + TimeToLapse() };
  const bool renewed = aEntry.report > std::max(outdated->firstReport, departure.report);
  if (aEntry.startTimeMs == departure.startTimeMs && renewed) {
    known_.erase(found);
    return false;
  }
  return true;
}

Duration
Departures::TimeToLapse() const
{
  return kReportPeriodsToLapse * options_.instanceReportPeriod;
}

bool
Departures::MustList(TimePoint aNow) const
{
  return std::any_of(known_.begin(), known_.end(), [aNow](const auto& aEntry) {
    const std::optional<OutdatedEntry>& outdated = aEntry.second.outdated;
    return outdated && aNow >= outdated->listAt;
  });
}

void
Departures::OnRemoval(const BackendId& aInstance)
{
  const auto found = known_.find(aInstance);
  if (found != known_.end())
    found->second.outdated.reset();
}

void
Departures::OnList(TimePoint aNow)
{
  for (auto& [instance, known] : known_) {
    if (known.outdated)
      known.outdated->listAt = aNow + TimeToLapse();
  }
}

std::vector<BackendId>
Departures::OnTick(TimePoint aStoreAnsweredAt)
{
  std::vector<BackendId> outdated;
  std::erase_if(known_, [&](const auto& aEntry) {
    const Known& known = aEntry.second;
    const bool isOld = aStoreAnsweredAt - known.learntAt >= kMemory;
    if (isOld && known.outdated)
      outdated.push_back(aEntry.first);
    return isOld;
  });
  return outdated;
}

std::vector<Departure>
Departures::ListBefore(uint64_t aEpoch) const
{
  std::vector<Departure> departures;
  for (const auto& [instance, known] : known_) {
    if (known.departure.epoch < aEpoch)
      departures.push_back(known.departure);
  }
  return departures;
}

} // namespace dfm
