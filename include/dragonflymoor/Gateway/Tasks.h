#ifndef DRAGONFLYMOOR_GATEWAY_TASKS_H
#define DRAGONFLYMOOR_GATEWAY_TASKS_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace dfm {

/// Starts a task on aContext that is to run as long as the VM. When an exception ends it, the
/// exception is logged and the task is started again after a pause: the other work of the VM goes
/// on, and the task does not end unnoticed. A task that returns is not started again. What aStart
/// refers to must outlive aContext's run. Thread-safe.
void
SpawnTask(boost::asio::io_context& aContext,
          const std::string& aName,
          const std::function<boost::asio::awaitable<void>()>& aStart);

/// Runs aContext until it is stopped or out of work. An exception that leaves a handler is logged,
/// and the run goes on with the next handler.
void
RunContext(boost::asio::io_context& aContext);

} // namespace dfm

#endif
