#ifndef DRAGONFLYMOOR_LOAD_CALLERS_H
#define DRAGONFLYMOOR_LOAD_CALLERS_H

#include "HttpClient.h"
#include "LoadPlan.h"
#include "Tally.h"
#include "dragonflymoor/Fakes/PeakWindow.h"
#include "dragonflymoor/Support/Random.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dfm::load {

TimePoint
ReadClock();

/// One request to send.
struct Task
{
  const RequestClass* kind = nullptr;
  size_t site = 0;
  std::string token; ///< Unique in the run.
  TimePoint arrival;
};

/// Sends requests on behalf of callers. Single-threaded.
class Callers
{
public:
  virtual ~Callers() = default;

  /// Sends the request, with all its copies, and returns what the caller learned.
  virtual boost::asio::awaitable<Result> Ask(Task aTask) = 0;
};

/// Callers that ask the fleet which VM to use.
class FleetCallers : public Callers
{
public:
  FleetCallers(boost::asio::io_context& aIo, const LoadPlan& aPlan);

  /// Starts to keep a route of every service for every site.
  void Start();
  /// Whether every site has a route for every service.
  bool HasRoutes() const;
  boost::asio::awaitable<Result> Ask(Task aTask) override;

private:
  struct Route
  {
    std::vector<TcpEndpoint> vms;
    std::string keyPrefix;
  };

  /// State of one request over its copies.
  struct Attempt
  {
    HttpRequest request;
    TimePoint deadline;
    uint32_t copies = 0; ///< Copies that may have left.
    Result result;
  };

  boost::asio::awaitable<void> KeepRoute(size_t aSite, std::string aService);
  Attempt Prepare(const Task& aTask, const Route& aRoute) const;
  /// Sends one copy to one VM; returns whether the next VM is to be tried.
  boost::asio::awaitable<bool> TryVm(const Task& aTask, TcpEndpoint aVm, Attempt& aAttempt);

  boost::asio::io_context& io_;
  const LoadPlan& plan_;
  HttpClient client_;
  std::map<std::pair<size_t, std::string>, Route> routes_;
};

/// Plain comparison: every caller sends to a random backend server and repeats at once after any
/// failure, up to a fixed number of times, without ranks or limits.
class BaselineCallers : public Callers
{
public:
  BaselineCallers(boost::asio::io_context& aIo, const LoadPlan& aPlan);

  boost::asio::awaitable<Result> Ask(Task aTask) override;
  /// Bytes of each directed region pair.
  const std::map<std::pair<std::string, std::string>, fakes::PeakWindow>& Links() const
  {
    return links_;
  }

private:
  boost::asio::awaitable<Verdict> TryServer(const Task& aTask, Result& aResult, Duration aTimeout);
  void Count(const std::string& aFrom, const std::string& aTo, uint64_t aBytes);

  boost::asio::io_context& io_;
  const LoadPlan& plan_;
  HttpClient client_;
  Random random_;
  std::map<std::pair<std::string, std::string>, fakes::PeakWindow> links_;
};

} // namespace dfm::load

#endif
