#ifndef DRAGONFLYMOOR_LIB_FAKES_BACKENDINSTANCE_H
#define DRAGONFLYMOOR_LIB_FAKES_BACKENDINSTANCE_H

#include "dragonflymoor/Fakes/BackendFleet.h"
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <deque>
#include <map>
#include <set>

namespace dfm::fakes {

/// One backend server of a BackendFleet.
class BackendFleet::Instance
{
public:
  Instance(boost::asio::io_context& aIo,
           Random& aRandom,
           const boost::json::object& aBackend,
           const boost::json::object& aSettings);

  void Open();
  void Close();
  /// Whether a fault with the selectors instance, service, failureDomain and region means this
  /// instance; a missing selector matches.
  bool Matches(const boost::json::object& aFault) const;
  /// Changes the faults that are present in the object.
  void SetFaults(const boost::json::object& aFault);
  boost::json::object Stats(bool aWithKeys);
  /// Sets all counters to zero, but for the requests in flight and the runs by key.
  void ResetCounters();
  const std::map<std::string, uint64_t>& RunsByKey() const { return runsByKey_; }
  uint16_t Port() const { return server_.Port(); }

private:
  using Answer = std::optional<HttpAnswer>;
  class Slot;

  struct Settings
  {
    double serviceMs = 20;
    std::string distribution = "exponential";
    std::string overrun = "shed";
    uint64_t answerBytes = 4096;
    double coldStartMs = 0; ///< Time after a start in which the service time is longer.
    double coldFactor = 4;
  };

  struct Faults
  {
    bool down = false;
    double slowFactor = 1;
    bool hang = false;      ///< Requests take a slot and never end.
    bool staleLoad = false; ///< The load report stays as it is now.
    std::string lyingLoad;  ///< "idle", "full", "unhealthy" or "shedding"; empty for the truth.
    bool hangLoad = false;  ///< The load report is never answered.
    std::string crashToken; ///< A request whose path contains it crashes the instance.
    int64_t crashDownMs = 2000;
    bool truncate = false;
    int64_t lateMs = 0; ///< The answer is held back after the slot is free again.
    bool draining = false;
  };

  struct Counters
  {
    uint64_t requests = 0;
    uint64_t runs = 0;
    uint64_t answered = 0;
    uint64_t cancelled = 0; ///< Clients that left before their answer.
    uint64_t overruns = 0;
    uint64_t shed = 0;
    uint64_t crashes = 0;
    uint64_t peakInFlight = 0;
    Duration busy{};           ///< Sum of the time of all slots in which they ran a request.
    int64_t lastRequestMs = 0; ///< Wall time of the last new request.
  };

  boost::asio::awaitable<Answer> Handle(HttpRequest aRequest);
  boost::asio::awaitable<Answer> Run(HttpRequest aRequest);
  boost::asio::awaitable<Answer> ReportLoad();
  boost::asio::awaitable<void> Sleep(Duration aDuration);
  void Crash();
  /// Adds the slot time since the last change; to be called before a change of running_.
  void AccountBusyTime();
  void StartProcess();
  void UpdateListening();
  std::string LoadReport() const;
  Duration ServiceTime();

  boost::asio::io_context& io_;
  Random& random_;
  std::string id_;
  std::string service_;
  std::string region_;
  std::string failureDomain_;
  uint64_t slots_ = 1;
  Settings settings_;
  Faults faults_;
  Counters counters_;
  std::map<std::string, uint64_t> runsByKey_;
  uint64_t inFlight_ = 0; ///< Running and queued requests.
  uint64_t running_ = 0;
  std::chrono::steady_clock::time_point busySince_;
  std::deque<boost::asio::steady_timer*> queue_;
  std::string staleReport_;
  std::string process_;
  std::chrono::steady_clock::time_point startedAt_;
  boost::asio::steady_timer restart_;
  bool open_ = false;
  bool crashed_ = false;
  HttpServer server_;
};

} // namespace dfm::fakes

#endif
