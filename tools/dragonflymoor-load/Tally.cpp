#include "Tally.h"

#include <algorithm>
#include <boost/json/value_from.hpp>
#include <cmath>

namespace dfm::load {

void
Tally::Add(const Result& aResult)
{
  switch (aResult.verdict) {
    case Verdict::Answered:
      ++answered_;
      latenciesMs_.push_back(static_cast<float>(ToSeconds(aResult.latency) * 1000));
      break;
    case Verdict::NotRun:
      ++notRun_;
      break;
    case Verdict::Unknown:
      ++unknown_;
      break;
    case Verdict::Lost:
      ++lost_;
      break;
  }
  if (aResult.verdict != Verdict::Answered)
    ++reasons_[aResult.reason];
  wrong_ += aResult.wrong ? 1 : 0;
  failovers_ += aResult.failovers;
  resends_ += aResult.resends;
}

void
Tally::Merge(const Tally& aOther)
{
  sent_ += aOther.sent_;
  answered_ += aOther.answered_;
  notRun_ += aOther.notRun_;
  unknown_ += aOther.unknown_;
  lost_ += aOther.lost_;
  wrong_ += aOther.wrong_;
  failovers_ += aOther.failovers_;
  resends_ += aOther.resends_;
  for (const auto& [reason, count] : aOther.reasons_)
    reasons_[reason] += count;
  latenciesMs_.insert(latenciesMs_.end(), aOther.latenciesMs_.begin(), aOther.latenciesMs_.end());
}

double
Tally::Percentile(double aShare) const
{
  if (latenciesMs_.empty())
    return 0;
  std::vector<float> values = latenciesMs_;
  const auto rank = static_cast<size_t>(std::ceil(aShare * static_cast<double>(values.size())));
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(std::max<size_t>(rank, 1) - 1);
  std::nth_element(values.begin(), nth, values.end());
  return std::round(*nth * 10.0) / 10;
}

boost::json::object
Tally::ToJson() const
{
  return { { "sent", sent_ },
           { "answered", answered_ },
           { "notRun", notRun_ },
           { "unknown", unknown_ },
           { "lost", lost_ },
           { "wrong", wrong_ },
           { "failovers", failovers_ },
           { "resends", resends_ },
           { "p50Ms", Percentile(0.5) },
           { "p99Ms", Percentile(0.99) },
           { "p999Ms", Percentile(0.999) },
           { "reasons", boost::json::value_from(reasons_) } };
}

} // namespace dfm::load
