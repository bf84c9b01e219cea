#ifndef DRAGONFLYMOOR_FAKES_BACKENDFLEET_H
#define DRAGONFLYMOOR_FAKES_BACKENDFLEET_H

#include "dragonflymoor/Fakes/HttpServer.h"
#include "dragonflymoor/Support/Random.h"
#include "dragonflymoor/Support/Time.h"
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dfm::fakes {

struct BackendFleetOptions
{
  boost::asio::ip::tcp::endpoint control;
  /// JSON file in the shape of the list "fleet/backends".
  std::string backendsFile;
  /// JSON file {"default": {...}, "services": {"<service>": {...}}} with the fields serviceMs,
  /// distribution ("exponential" or "fixed"), overrun ("shed" or "queue"), answerBytes,
  /// coldStartMs and coldFactor; may be empty.
  std::string settingsFile;
  uint64_t seed = 1;
};

/// The answer to a request: a head line with its token, length and checksum, and a body that only
/// this token has. The token is the last segment of the path.
std::string
MakeAnswerBody(std::string_view aTarget, size_t aBytes);

/// Whether the text is the whole answer to a request with the token.
bool
IsAnswerTo(std::string_view aToken, std::string_view aText);

/// Many instances of backend servers in one process, with faults and counters. Single-threaded.
class BackendFleet
{
public:
  BackendFleet(boost::asio::io_context& aIo, BackendFleetOptions aOptions);
  ~BackendFleet();

  /// Starts to listen on all instances and the control port. Throws std::runtime_error.
  void Start();
  void Stop();
  uint16_t ControlPort() const { return control_.Port(); }
  /// Port of the instance at the position of the backends file.
  uint16_t InstancePort(size_t aIndex) const;

private:
  class Instance;

  HttpAnswer HandleControl(const HttpRequest& aRequest);
  void SetFaults(const std::string& aBody);
  std::string Stats(bool aWithKeys);

  boost::asio::io_context& io_;
  BackendFleetOptions options_;
  HttpServer control_;
  Random random_;
  std::vector<std::unique_ptr<Instance>> instances_;
};

} // namespace dfm::fakes

#endif
