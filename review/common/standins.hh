// Stand-ins for the users' platform: its store, instances of services and requesters. They speak
// what the platform's PROTOCOL page says, on loopback addresses only. Each connection has a thread.
#ifndef DRAGONFLYMOOR_REVIEW_STANDINS_HH
#define DRAGONFLYMOOR_REVIEW_STANDINS_HH

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using namespace std::chrono_literals;

// Seconds since the start of the case.
double
Now();
void
SleepUntil(double aSeconds);

// The record of a case: one line for each event, with its time.
class Record
{
public:
  explicit Record(const std::string& aFile);
  void Line(const std::string& aText);

private:
  std::mutex mutex_;
  std::ofstream file_;
};

struct Address
{
  std::string ip;
  uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

// Returns a port that is free on all these addresses, with the aCount - 1 ports after it.
uint16_t
FreePorts(const std::vector<std::string>& aIps, unsigned aCount);

// An HTTP server that starts a thread for each connection.
class Server
{
public:
  // Returns nothing when the connection is to be closed without an answer.
  using Handler = std::function<std::optional<Response>(const Request&, tcp::socket&)>;

  // Port 0 stands for a free one.
  Server(Address aAddress, Handler aHandler);
  ~Server();
  // Stops listening and resets all connections.
  void Close();
  uint16_t Port() const { return port_; }

private:
  uint16_t port_ = 0;
  struct Shared;
  std::shared_ptr<Shared> shared_;
};

// The platform's metadata store.
class Store
{
public:
  explicit Store(Address aAddress);
  void Put(const std::string& aKind, const std::string& aName, json::value aSpec);
  void Remove(const std::string& aKind, const std::string& aName);
  // Watches that have waited for this long are cut off; 0 for never.
  std::atomic<int> cutWatchesAfterMs{ 0 };
  std::atomic<unsigned> watchesCut{ 0 };

private:
  std::optional<Response> Handle(const Request& aRequest);
  json::object Change(const std::string& aKind,
                      const std::string& aName,
                      json::value aSpec,
                      bool aDeleted);
  std::optional<Response> Watch(const std::string& aKind, uint64_t aFrom, int aWaitMs, int aVersion);

  struct Event
  {
    uint64_t revision;
    std::string kind;
    json::object object;
    bool deleted;
  };
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, json::object>> objects_;
  std::vector<Event> events_;
  std::unique_ptr<Server> server_;
};

struct InstanceOptions
{
  std::string service;
  std::string zone;
  std::string ip = "127.0.0.1";
  unsigned slots = 4;
  unsigned queue = 12;
  std::chrono::milliseconds work = 100ms;
  // A request with this path crashes the instance; empty for none.
  std::string crashPath;
  // How long a crashed instance is down.
  std::chrono::milliseconds downTime = 2500ms;
};

// An instance of a service. It registers itself with the store. After a crash it comes back as a
// new lifetime with a new id; its old entry is removed after three liveness intervals.
class Instance
{
public:
  struct Arrival
  {
    double at;
    std::string id;
    std::string path;
    std::string instance;
  };

  Instance(Store& aStore, Record& aRecord, InstanceOptions aOptions);
  ~Instance();
  std::string Id();
  // Removes the entry, as an instance that leaves without reporting that it drains.
  void RemoveEntry();
  void Exit();
  std::vector<Arrival> Arrivals();
  std::vector<double> Crashes();

private:
  void Start();
  std::optional<Response> Handle(const std::string& aId, const Request& aRequest);
  void Crash(const std::string& aId);

  Store& store_;
  Record& record_;
  InstanceOptions options_;
  std::mutex mutex_;
  std::condition_variable freed_;
  std::string id_;
  unsigned running_ = 0;
  unsigned waiting_ = 0;
  bool ended_ = false;
  std::vector<Arrival> arrivals_;
  std::vector<double> crashes_;
  std::unique_ptr<Server> server_;
  std::vector<std::thread> restarts_;
};

struct Machine
{
  std::string name;
  std::string zone;
  std::string ip;
};

// The machines of the system: one process of the deploy file's command on each.
class Machines
{
public:
  Machines(std::string aProgram, std::string aFolder, Record& aRecord);
  // Ends all processes that it started.
  ~Machines();
  void End();
  void Start(const std::vector<Machine>& aMachines, const Address& aStore);
  // Waits until all machines say that they are ready; false after 20 s.
  bool WaitUntilReady();
  Address Front(size_t aMachine) const;
  // Resident memory in bytes; 0 when the process has ended.
  uint64_t ResidentBytes(size_t aMachine);
  bool HasEnded(size_t aMachine);
  void Signal(size_t aMachine, int aSignal);
  void Kill(size_t aMachine);

private:
  std::string program_;
  std::string folder_;
  Record& record_;
  std::vector<Machine> machines_;
  std::vector<pid_t> pids_;
  uint16_t port_ = 0;
};

// Ends the machines and then the case.
[[noreturn]] void
Finish(Machines& aMachines, int aStatus);

// A kept channel of a requester.
class Channel
{
public:
  explicit Channel(Address aMachine);
  // Sends a request and waits for its answer; opens the channel when there is none. Nothing when
  // the channel ends without a whole answer; answersOnChannel tells how many it has carried.
  std::optional<Response> Send(Request aRequest, size_t aBytesPerSecond = 0);
  unsigned answersOnChannel = 0;

private:
  Address machine_;
  asio::io_context context_{ 1 };
  std::unique_ptr<tcp::socket> socket_;
  beast::flat_buffer buffer_;
};

// A request of a requester with an id of its own.
Request
MakeRequest(http::verb aMethod, const std::string& aPath, int aDeadlineMs, std::string aBody = "");

json::object
MakeRoute(const std::string& aName,
          const std::string& aPrefix,
          const std::string& aService,
          bool aIdempotent,
          double aTimeoutSeconds,
          double aGoalSeconds);
json::object
MakeManifest(const json::array& aRoutes, const std::vector<std::string>& aServices);

inline const std::string kHost = "jepu9.example";

} // namespace review

#endif
