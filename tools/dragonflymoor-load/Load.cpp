#include "Load.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <cmath>
#include <fmt/format.h>

namespace dfm::load {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr Duration kDrainPollInterval = 20ms;

asio::awaitable<void>
SleepUntil(TimePoint aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_at(std::chrono::steady_clock::time_point(aTime.time_since_epoch()));
  co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

Load::Load(const LoadPlan& aPlan, Callers& aCallers)
  : plan_(aPlan)
  , callers_(aCallers)
  , random_(aPlan.seed)
  // Keys of an earlier run with the same seed may still be remembered by the fleet.
  , tokenPrefix_(fmt::format("{:x}", ReadClock().time_since_epoch().count()))
{
}

double
Load::RateOf(const Phase& aPhase, const RequestClass& aClass) const
{
  const auto found = aPhase.factors.find(aClass.name);
  return aClass.perSecond * (found == aPhase.factors.end() ? aPhase.factor : found->second);
}

asio::awaitable<void>
Load::Run(std::function<void(const Phase&)> aOnPhase)
{
  for (size_t phase = 0; phase < plan_.phases.size(); ++phase) {
    aOnPhase(plan_.phases[phase]);
    co_await RunPhase(phase);
  }
  while (pending_ > 0)
    co_await SleepUntil(ReadClock() + kDrainPollInterval);
}

asio::awaitable<void>
Load::RunPhase(size_t aPhase)
{
  const Phase& phase = plan_.phases[aPhase];
  const auto executor = co_await asio::this_coro::executor;
  std::vector<double> cumulated;
  double rate = 0;
  for (const RequestClass& kind : plan_.classes)
    cumulated.push_back(rate += RateOf(phase, kind));
  const TimePoint end = ReadClock() + phase.duration;
  TimePoint next = ReadClock();
  while (rate > 0) {
    next += FromSeconds(-std::log1p(-random_.Unit()) / rate);
    if (next >= end)
      break;
    if (next > ReadClock())
      co_await SleepUntil(next);
    const auto chosen = std::upper_bound(cumulated.begin(), cumulated.end(), random_.Unit() * rate);
    const auto index = static_cast<size_t>(chosen - cumulated.begin());
    Task task{ .kind = &plan_.classes.at(index),
               .site = random_.Below(plan_.sites.size()),
               .token = fmt::format("{}-{}", tokenPrefix_, ++lastToken_),
               .arrival = next };
    asio::co_spawn(executor, RunTask(aPhase, index, std::move(task)), asio::detached);
  }
  co_await SleepUntil(end);
}

asio::awaitable<void>
Load::RunTask(size_t aPhase, size_t aClass, Task aTask)
{
  ++pending_;
  Tally& tally = tallies_[{ aPhase, aClass }];
  tally.AddSent();
  const Result result = co_await callers_.Ask(aTask);
  tally.Add(result);
  if (aTask.kind->order)
    verdictByToken_[aTask.token] = result.verdict;
  --pending_;
}

json::object
Load::CheckOrders(const std::map<std::string, uint64_t>& aRunsByKey) const
{
  std::map<std::string_view, uint64_t> runsByToken;
  for (const auto& [key, runs] : aRunsByKey) {
    // A bound key is a prefix and the token.
    const size_t start = key.rfind(tokenPrefix_ + "-");
    if (start != std::string::npos)
      runsByToken[std::string_view(key).substr(start)] += runs;
  }
  uint64_t doubleRuns = 0;
  uint64_t falseNotRun = 0;
  uint64_t answeredWithoutRun = 0;
  uint64_t unknownThatRan = 0;
  for (const auto& [token, verdict] : verdictByToken_) {
    const auto found = runsByToken.find(token);
    const uint64_t runs = found == runsByToken.end() ? 0 : found->second;
    doubleRuns += runs > 1 ? runs - 1 : 0;
    falseNotRun += verdict == Verdict::NotRun && runs > 0 ? 1 : 0;
    answeredWithoutRun += verdict == Verdict::Answered && runs == 0 ? 1 : 0;
    unknownThatRan += verdict != Verdict::Answered && verdict != Verdict::NotRun && runs > 0;
  }
  return { { "orders", verdictByToken_.size() },
           { "doubleRuns", doubleRuns },
           { "falseNotRun", falseNotRun },
           { "answeredWithoutRun", answeredWithoutRun },
           { "unknownThatRan", unknownThatRan } };
}

json::object
Load::ToJson() const
{
  json::array phases;
  for (size_t phase = 0; phase < plan_.phases.size(); ++phase) {
    json::array classes;
    std::map<std::string, Tally> byRank;
    std::map<std::string, Tally> byPlan;
    Tally all;
    for (size_t index = 0; index < plan_.classes.size(); ++index) {
      const auto found = tallies_.find({ phase, index });
      if (found == tallies_.end())
        continue;
      const RequestClass& kind = plan_.classes[index];
      json::object row = found->second.ToJson();
      row["class"] = kind.name;
      row["rank"] = kind.rank;
      row["service"] = kind.service;
      row["plan"] = kind.plan;
      classes.push_back(std::move(row));
      byRank[kind.rank].Merge(found->second);
      byPlan[kind.plan].Merge(found->second);
      all.Merge(found->second);
    }
    json::object ranks;
    for (const auto& [rank, tally] : byRank)
      ranks[rank] = tally.ToJson();
    json::object plans;
    for (const auto& [plan, tally] : byPlan)
      plans[plan] = tally.ToJson();
    phases.push_back(json::object{ { "phase", plan_.phases[phase].name },
                                   { "seconds", ToSeconds(plan_.phases[phase].duration) },
                                   { "all", all.ToJson() },
                                   { "classes", std::move(classes) },
                                   { "ranks", std::move(ranks) },
                                   { "plans", std::move(plans) } });
  }
  return { { "phases", std::move(phases) } };
}

} // namespace dfm::load
