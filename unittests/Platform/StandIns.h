#ifndef DRAGONFLYMOOR_UNITTESTS_PLATFORM_STANDINS_H
#define DRAGONFLYMOOR_UNITTESTS_PLATFORM_STANDINS_H

#include "dragonflymoor/Net/Asio.h"
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace dfm::test {

namespace http = beast::http;
namespace json = boost::json;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// What a stand-in does with one request.
struct Reaction
{
  Response answer;
  Duration delay{};
  std::string rawBefore; ///< Bytes sent before the answer.
  std::string rawAfter;  ///< Bytes sent after the answer.
  bool silent = false;   ///< Never answers.
  bool closes = false;   ///< Closes the connection instead of an answer.
  size_t cutAfter = 0;   ///< Closes the connection after this many bytes of the answer; 0: never.
};

/// An HTTP server on the loopback address with a thread of its own.
class StandInServer
{
public:
  using Handler = std::function<Reaction(const Request&)>;

  explicit StandInServer(Handler aHandler);
  ~StandInServer();

  Endpoint Address() const { return address_; }
  /// Stops listening and cuts all connections; the port stays free for Open.
  void Close();
  void Open();
  /// Connections that were closed by the other side while a request was being answered.
  unsigned ClosedByPeer() const { return closedByPeer_; }

private:
  struct Session;

  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(std::shared_ptr<Session> aSession);

  Handler handler_;
  asio::io_context context_{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  tcp::acceptor acceptor_;
  Endpoint address_;
  std::vector<std::weak_ptr<Session>> sessions_;
  std::atomic<unsigned> closedByPeer_ = 0;
  std::thread thread_;
};

/// Stand-in of the platform's store. Safe to use from any thread.
class StandInStore
{
public:
  enum class Mode
  {
    Good,
    Refusing, ///< Answers 503 to each call.
    Silent,
  };

  StandInStore();

  Endpoint Address() const { return server_.Address(); }
  void Put(const std::string& aKind, const std::string& aName, json::value aSpec);
  void Delete(const std::string& aKind, const std::string& aName);
  /// Watches from revisions before now on get 410.
  void DropHistory();
  void SetMode(Mode aMode) { mode_ = aMode; }
  bool Contains(const std::string& aKind, const std::string& aName);
  unsigned Calls() const { return calls_; }

private:
  struct Event
  {
    uint64_t revision = 0;
    std::string kind;
    json::value object;
    bool deleted = false;
  };

  Reaction Handle(const Request& aRequest);
  Response Get(const std::string& aKind, const std::string& aQuery);
  Response Write(const Request& aRequest, const std::vector<std::string>& aPath);
  json::value Change(const std::string& aKind,
                     const std::string& aName,
                     json::value aSpec,
                     bool aDeleted);

  std::mutex mutex_;
  uint64_t revision_ = 100;
  uint64_t firstRevision_ = 100;
  std::map<std::string, std::map<std::string, json::value>> objects_;
  std::vector<Event> events_;
  std::atomic<Mode> mode_ = Mode::Good;
  std::atomic<unsigned> calls_ = 0;
  StandInServer server_;
};

/// Stand-in of an instance. Safe to use from any thread.
class StandInInstance
{
public:
  explicit StandInInstance(std::string aId);

  const std::string& Id() const { return id_; }
  Endpoint Address() const { return server_.Address(); }
  /// What the instance does with requests other than health checks; by default it answers.
  void SetBehaviour(std::function<Reaction(const Request&)> aBehaviour);
  /// The answer of a sound instance.
  Reaction Good(const Request& aRequest) const;
  /// The answer of an instance that is full.
  Reaction Shed(const Request& aRequest) const;
  std::vector<Request> Seen();
  StandInServer& Server() { return server_; }

private:
  Reaction Handle(const Request& aRequest);

  std::string id_;
  std::mutex mutex_;
  std::function<Reaction(const Request&)> behaviour_;
  std::vector<Request> seen_;
  StandInServer server_;
};

} // namespace dfm::test

#endif
