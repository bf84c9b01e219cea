#ifndef DRAGONFLYMOOR_FAKES_LINK_H
#define DRAGONFLYMOOR_FAKES_LINK_H

#include "dragonflymoor/Fakes/HttpServer.h"
#include "dragonflymoor/Fakes/PeakWindow.h"
#include "dragonflymoor/Support/Time.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dfm::fakes {

struct LinkOptions
{
  /// JSON file with control, destinations (advertised, real, region), sources (IP to region) and
  /// links (from, to, delayMs, capBytesPerSecond, where 0 is no cap).
  std::string configFile;
};

/// TCP and UDP relay that gives each directed region pair a delay and a byte rate. A destination
/// listens on its advertised endpoint and passes everything on to the real one. The source region
/// is taken from the sender's IP address. Single-threaded.
class Link
{
public:
  Link(boost::asio::io_context& aIo, const LinkOptions& aOptions);
  ~Link();

  /// Starts to listen. Throws std::runtime_error.
  void Start();
  void Stop();
  uint16_t ControlPort() const { return control_->Port(); }

private:
  struct Destination;
  class Stream;

  /// One directed region pair.
  struct Path
  {
    std::string from;
    std::string to;
    Duration delay{};
    uint64_t capBytesPerSecond = 0;
    bool cut = false;
    TimePoint freeAt{}; ///< When the byte rate allows the next byte.
    PeakWindow offered; ///< Bytes as the senders sent them.
    uint64_t droppedDatagrams = 0;
  };

  /// Counts bytes that enter the path; returns when they leave it.
  TimePoint Enter(Path& aPath, uint64_t aBytes);
  Path& PathBetween(const std::string& aFrom, const std::string& aTo);
  std::string RegionOf(const boost::asio::ip::address& aSource) const;
  boost::asio::awaitable<void> Accept(Destination& aDestination);
  boost::asio::awaitable<void> RelayDatagrams(Destination& aDestination);
  void SendLater(TimePoint aTime, Destination& aVia, Destination& aTo, std::string aData);
  HttpAnswer HandleControl(const HttpRequest& aRequest);
  void SetFault(const std::string& aBody);
  std::string Stats() const;

  boost::asio::io_context& io_;
  std::unique_ptr<HttpServer> control_;
  std::vector<std::unique_ptr<Destination>> destinations_;
  std::map<std::string, std::string> regionBySource_;
  std::map<std::pair<std::string, std::string>, Path> paths_;
  std::set<std::shared_ptr<Stream>> streams_;
};

} // namespace dfm::fakes

#endif
