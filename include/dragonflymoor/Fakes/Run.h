#ifndef DRAGONFLYMOOR_FAKES_RUN_H
#define DRAGONFLYMOOR_FAKES_RUN_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <exception>
#include <fmt/format.h>
#include <string_view>

namespace dfm::fakes {

/// Body of main() of a fake: starts it and runs it until SIGINT or SIGTERM. Returns the exit
/// status.
template<typename Fake, typename Options>
int
RunUntilSignal(std::string_view aProgram, const Options& aOptions)
{
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
