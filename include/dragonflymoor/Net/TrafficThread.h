#ifndef DRAGONFLYMOOR_NET_TRAFFICTHREAD_H
#define DRAGONFLYMOOR_NET_TRAFFICTHREAD_H

#include "dragonflymoor/Net/BackendClient.h"
#include "dragonflymoor/Net/CallerServer.h"
#include "dragonflymoor/Net/PeerLinks.h"
#include "dragonflymoor/Net/PeerServer.h"
#include "dragonflymoor/Net/PlatformClient.h"
#include "dragonflymoor/Settings/Settings.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <thread>

namespace dfm {

/// State that all threads of the daemon share.
struct SharedState
{
  VmId self;
  asio::ip::address source; ///< Outgoing connections are bound to it.
  Endpoint store;
  std::shared_ptr<BodyBudget> budget;
  std::shared_ptr<CallerShared> callers;
  std::shared_ptr<ProcessIdentities> processes;
  std::shared_ptr<std::atomic<uint32_t>> unsentReplies;
};

/// Hooks of everything that runs on a traffic thread.
struct TrafficHooks
{
  CallerHooks callers;
  PeerLinkHooks links;
  PeerServerHooks peers;
};

/// One thread that carries requests and answers. All members but Post are used on this thread only.
class TrafficThread
{
public:
  TrafficThread(const SharedState& aShared, TrafficHooks aHooks);
  ~TrafficThread();
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  void Start();
  /// Stops the thread; handlers that did not run are destroyed with this object.
  void Join();

  /// Runs a function on this thread. Safe to call from any thread.
  template<typename Function>
  void Post(Function&& aFunction)
  {
    asio::post(context_, std::forward<Function>(aFunction));
  }

  asio::io_context& Context() { return context_; }

private:
  // Declared first, so that it outlives everything that is bound to it.
  asio::io_context context_{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  HttpPool backendPool_;
  HttpPool platformPool_;
  std::thread thread_;

public:
  BackendClient backends;
  PlatformClient platform;
  CallerServer callers;
  PeerLinks links;
  PeerServer peers;
};

} // namespace dfm

#endif
