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
  std::string bytesBeforeAnswer;    ///< Bytes sent before the answer.
  std::string bytesAfterAnswer;     ///< Bytes sent after the answer.
  bool neverAnswers = false;        ///< Never answers.
  bool closesWithoutAnswer = false; ///< Closes the connection instead of an answer.
  size_t closeAfterBytes =
    0; ///< Closes the connection after this many bytes of the answer; 0: never.
};

/// An HTTP server on the loopback address with a thread of its own.
class StandInServer
{
public:
  using Handler = std::function<Reaction(const Request&)>;

  explicit StandInServer(Handler aHandler);
  ~StandInServer();

  Endpoint Address() const { return address_; }
  /// Stops listening and resets all connections; Open listens on the same port again.
  void Close();
  void Open();
  /// How many connections the peer closed while a request was being answered.
  unsigned ClosedByPeerCount() const { return closedByPeerCount_; }

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
  std::atomic<unsigned> closedByPeerCount_ = 0;
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
    Silent,   ///< Never answers.
  };

  StandInStore();

  Endpoint Address() const { return server_.Address(); }
  void Put(const std::string& aKind, const std::string& aName, json::value aSpec);
  void Delete(const std::string& aKind, const std::string& aName);
  /// Drops all events so far: a watch from an earlier revision gets status 410.
  void DropHistory();
  void SetMode(Mode aMode) { mode_ = aMode; }
  bool Contains(const std::string& aKind, const std::string& aName);
  unsigned CallCount() const { return callCount_; }

private:
  struct Event
  {
    uint64_t revision = 0;
    std::string kind;
    json::value object;
    bool deleted = false;
  };

  Reaction Handle(const Request& aRequest);
  Response AnswerGet(const std::string& aKind, const std::string& aQuery);
  Response AnswerWrite(const Request& aRequest, const std::vector<std::string>& aPath);
  json::value ApplyChange(const std::string& aKind,
                          const std::string& aName,
                          json::value aSpec,
                          bool aDeleted);

  std::mutex mutex_;
  uint64_t revision_ = 100;
  uint64_t firstRevision_ = 100;
  std::map<std::string, std::map<std::string, json::value>> objects_;
  std::vector<Event> events_;
  std::atomic<Mode> mode_ = Mode::Good;
  std::atomic<unsigned> callCount_ = 0;
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
  /// The answer of a healthy instance, with its receipt.
  Reaction GoodReaction(const Request& aRequest) const;
  /// The answer of an instance that is full and did not run the request.
  Reaction ShedReaction(const Request& aRequest) const;
  /// All requests so far, without health checks and those meant for another instance.
  std::vector<Request> ReceivedRequests();
  StandInServer& Server() { return server_; }

private:
  Reaction Handle(const Request& aRequest);

  std::string id_;
  std::mutex mutex_;
  std::function<Reaction(const Request&)> behaviour_;
  std::vector<Request> receivedRequests_;
  StandInServer server_;
};

} // namespace dfm::test

#endif
