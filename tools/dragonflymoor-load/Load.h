#ifndef DRAGONFLYMOOR_LOAD_LOAD_H
#define DRAGONFLYMOOR_LOAD_LOAD_H

#include "Callers.h"
#include "LoadPlan.h"
#include "Tally.h"
#include "dragonflymoor/Support/Random.h"
#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dfm::load {

/// Open-loop load: requests arrive by a Poisson process and do not wait for answers.
/// Single-threaded.
class Load
{
public:
  Load(const LoadPlan& aPlan, Callers& aCallers);

  /// Runs all phases; returns when every request has ended. Calls the hook at the start of each.
  boost::asio::awaitable<void> Run(std::function<void(const Phase&)> aOnPhase);
  /// Compares what callers of orders learned with the runs that the backend servers counted.
  boost::json::object CheckOrders(const std::map<std::string, uint64_t>& aRunsByKey) const;
  /// Results by phase and class, and by phase and rank.
  boost::json::object ToJson() const;

private:
  boost::asio::awaitable<void> RunPhase(size_t aPhase);
  boost::asio::awaitable<void> RunTask(size_t aPhase, size_t aClass, Task aTask);
  double RateOf(const Phase& aPhase, const RequestClass& aClass) const;

  const LoadPlan& plan_;
  Callers& callers_;
  Random random_;
  uint64_t lastToken_ = 0;
  uint64_t pending_ = 0;
  std::string tokenPrefix_;
  std::map<std::pair<size_t, size_t>, Tally> tallies_;
  std::map<std::string, Verdict> verdictByToken_; ///< Of orders.
};

} // namespace dfm::load

#endif
