#include "dragonflymoor/Net/TrafficThread.h"

namespace dfm {

TrafficThread::TrafficThread(const SharedState& aShared, TrafficHooks aHooks)
  : work_(context_.get_executor())
  , backendPool_(context_, aShared.source)
  , platformPool_(context_, aShared.source)
  , backends(backendPool_, aShared.budget, aShared.processes)
  , platform(platformPool_, aShared.store)
  , callers(aShared.callers, CallerTimeouts(), std::move(aHooks.callers))
  , links(context_, aShared.self, aShared.source, aShared.budget, std::move(aHooks.links))
  , peers(aShared.self, aShared.budget, aShared.unsentReplies, std::move(aHooks.peers))
{
}

TrafficThread::~TrafficThread()
{
  Join();
}

void
TrafficThread::Start()
{
  thread_ = std::thread([this] { context_.run(); });
}

void
TrafficThread::Join()
{
  context_.stop();
  if (thread_.joinable())
    thread_.join();
}

} // namespace dfm
