#ifndef DRAGONFLYMOOR_LOAD_TALLY_H
#define DRAGONFLYMOOR_LOAD_TALLY_H

#include "LoadPlan.h"
#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dfm::load {

/// What a caller learned about its request in the end.
enum class Verdict
{
  Answered,
  NotRun,
  Unknown,
  Lost, ///< No outcome at all.
};

struct Result
{
  Verdict verdict = Verdict::Lost;
  std::string reason; ///< Of the last refusal; empty when answered.
  bool wrong = false; ///< The answer was not whole or belonged to another request.
  uint32_t failovers = 0;
  uint32_t resends = 0;
  Duration latency{}; ///< From the planned arrival, so that a late sender does not hide waiting.
};

/// Results of one class in one phase.
class Tally
{
public:
  void AddSent() { ++sent_; }
  void Add(const Result& aResult);
  /// Adds the results of another tally.
  void Merge(const Tally& aOther);
  boost::json::object ToJson() const;

private:
  /// Value below which the given share of the answered requests lies, in ms.
  double Percentile(double aShare) const;

  uint64_t sent_ = 0;
  uint64_t answered_ = 0;
  uint64_t notRun_ = 0;
  uint64_t unknown_ = 0;
  uint64_t lost_ = 0;
  uint64_t wrong_ = 0;
  uint64_t failovers_ = 0;
  uint64_t resends_ = 0;
  std::map<std::string, uint64_t> reasons_;
  std::vector<float> latenciesMs_;
};

} // namespace dfm::load

#endif
