#ifndef DRAGONFLYMOOR_FAKES_RUN_H
#define DRAGONFLYMOOR_FAKES_RUN_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <exception>
#include <fmt/format.h>
#include <string_view>
#include <sys/resource.h>

namespace dfm::fakes {

/// Raises the limit of open descriptors to the hard limit: a fake holds thousands of connections.
inline void
RaiseDescriptorLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

/// Body of main() of a fake: starts it and runs it until SIGINT or SIGTERM. Returns the exit
/// status.
template<typename Fake, typename Options>
int
RunUntilSignal(std::string_view aProgram, const Options& aOptions)
{
  RaiseDescriptorLimit();
  try {
    boost::asio::io_context io;
    Fake fake(io, aOptions);
    fake.Start();
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&](auto, auto) { fake.Stop(); });
    io.run();
    return 0;
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}: {}\n", aProgram, error.what());
    return 1;
  }
}

} // namespace dfm::fakes

#endif
