#include "dragonflymoor/Gateway/Tasks.h"

#include "dragonflymoor/Support/Log.h"
#include "dragonflymoor/Support/Time.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <memory>

namespace dfm {

namespace {

constexpr std::string_view kComponent = "tasks";

/// Pause before a failed task is started again, so that a lasting error causes no busy loop.
constexpr Duration kRestartPause = 200ms;

void
LogException(std::string_view aMessage, const std::string& aTask, std::exception_ptr aException)
{
  std::string text = "unknown exception";
  try {
    std::rethrow_exception(std::move(aException));
  } catch (const std::exception& exception) {
    text = exception.what();
  } catch (...) { // NOLINT(bugprone-empty-catch): the text says so already.
  }
  Log(LogLevel::Error, kComponent, aMessage, { { "task", aTask }, { "error", std::move(text) } });
}

} // namespace

void
SpawnTask(boost::asio::io_context& aContext,
          const std::string& aName,
          const std::function<boost::asio::awaitable<void>()>& aStart)
{
  boost::asio::co_spawn(
    aContext,
    // Called here, so that the function outlives the task that may refer to its captures.
    [aStart]() -> boost::asio::awaitable<void> { co_await aStart(); },
    [&aContext, aName, aStart](std::exception_ptr aException) {
      if (aException == nullptr)
        return;
      LogException("task failed and is started again", aName, std::move(aException));
      const auto pause = std::make_shared<boost::asio::steady_timer>(aContext, kRestartPause);
      pause->async_wait([&aContext, aName, aStart, pause](const boost::system::error_code& aError) {
        if (!aError)
          SpawnTask(aContext, aName, aStart);
      });
    });
}

void
RunContext(boost::asio::io_context& aContext)
{
  for (;;) {
    try {
      aContext.run();
      return;
    } catch (...) {
      LogException("handler failed", "handler", std::current_exception());
    }
  }
}

} // namespace dfm
