#ifndef DRAGONFLYMOOR_FAKES_PLATFORM_H
#define DRAGONFLYMOOR_FAKES_PLATFORM_H

#include "dragonflymoor/Fakes/HttpServer.h"
#include "dragonflymoor/Support/Time.h"
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace dfm::fakes {

struct PlatformOptions
{
  boost::asio::ip::tcp::endpoint listen;
  /// Stays reachable while the platform is down. Faults, calls and VM list are served here too.
  std::optional<boost::asio::ip::tcp::endpoint> control;
  /// Each file "<name>.json" becomes the object "<name>"; "vms.json" becomes the VM list.
  std::string directory;
  Duration latency = 2ms; ///< Time of every answer of the object API and VM list.
};

/// In-memory object API and VM list of the platform, with faults. Single-threaded.
class Platform
{
public:
  Platform(boost::asio::io_context& aIo, PlatformOptions aOptions);

  /// Loads the start-up objects and starts to listen. Throws std::runtime_error.
  void Start();
  void Stop();
  uint16_t Port() const { return server_.Port(); }

private:
  using Answer = std::optional<HttpAnswer>;

  struct Object
  {
    uint64_t version = 0;
    std::string body;
  };

  enum class Down
  {
    No,
    Close,  ///< Accepts connections and closes them on the first request.
    Refuse, ///< Does not listen.
  };

  boost::asio::awaitable<Answer> Handle(HttpRequest aRequest);
  boost::asio::awaitable<Answer> HandleStore(HttpRequest aRequest);
  boost::asio::awaitable<Answer> Watch(std::string aName, uint64_t aVersion);
  boost::asio::awaitable<void> Sleep(Duration aDuration);
  std::optional<HttpAnswer> HandleControl(const HttpRequest& aRequest);
  HttpAnswer Get(const std::string& aName) const;
  HttpAnswer Put(const std::string& aName, const HttpRequest& aRequest);
  HttpAnswer Delete(const std::string& aName, const HttpRequest& aRequest);
  HttpAnswer List(std::string_view aPrefix) const;
  void SetFaults(const std::string& aBody);
  void LoadDirectory();
  void WakeWatchers();

  boost::asio::io_context& io_;
  PlatformOptions options_;
  HttpServer server_;
  std::optional<HttpServer> control_;
  std::map<std::string, Object> objects_;
  uint64_t lastVersion_ = 0; ///< Shared by all objects, so that a recreated object also grows.
  std::string vms_ = R"({"vms": []})";
  std::string servedVms_ = vms_;
  std::map<std::string, uint64_t> calls_;
  std::set<boost::asio::steady_timer*> watchers_;
  Down down_ = Down::No;
  Duration slow_{};
  uint64_t loseAnswers_ = 0; ///< Number of writes whose answer is still to be lost.
  bool freezeVms_ = false;
};

} // namespace dfm::fakes

#endif
