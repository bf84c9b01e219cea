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
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace dfm::test {

namespace http = beast::http;
namespace json = boost::json;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// What a stand-in server does with one request: the answer, and how its sending deviates from
/// that of a correct server.
struct Reaction
{
  Response answer;
  bool sendsAnswer = true;       ///< Whether the answer is sent at all.
  Duration delay{};              ///< Time between the request and the answer.
  std::string bytesBeforeAnswer; ///< Bytes sent before the answer.
  std::string bytesAfterAnswer;  ///< Bytes sent after the answer.
  /// Repeated after all other bytes until the peer closes the connection, up to
  /// StandInServer::kMaxRepeatedBytes.
  std::string repeatedBytes;
  size_t bytesPerSecond = 0;        ///< If not 0, the rate at which the answer is sent.
  bool neverAnswers = false;        ///< Keeps the connection open and sends nothing.
  bool closesWithoutAnswer = false; ///< Closes the connection without sending any bytes.
  size_t closeAfterBytes =
    0; ///< If not 0, closes the connection after this many bytes of the answer.
};

/// An answer to a request whose body has not been read, and how its connection ends.
struct EarlyAnswer
{
  enum class End
  {
    Clean, ///< Ends the sending direction and reads on.
    Reset,
    Close, ///< Closes the socket with the unread body in it.
  };

  std::string bytes;
  Duration delay{}; ///< Time between the answer and the end of the connection.
  End end = End::Clean;
};

/// Reserves a free port of the loopback address for a server that binds it by its number, perhaps
/// more than once. While the reservation lives, the system gives the port to no other socket.
class PortReservation
{
public:
  PortReservation();

  Endpoint Address() const;

private:
  asio::io_context context_{ 1 };
  tcp::acceptor holder_; ///< Bound but not listening, so that another socket can bind the port.
};

/// An HTTP server on the loopback address with a thread of its own.
class StandInServer
{
public:
  using Handler = std::function<Reaction(const Request&)>;
  /// Called with the header of a request before its body is read. Without a result the request is
  /// read whole and passed to the Handler.
  using EarlyHandler = std::function<std::optional<EarlyAnswer>(const http::request_header<>&)>;

  /// Bounds what a peer that reads everything has to buffer.
  static constexpr size_t kMaxRepeatedBytes = 200UL * 1024 * 1024;

  explicit StandInServer(Handler aHandler);
  ~StandInServer();

  Endpoint Address() const { return port_.Address(); }
  void SetEarlyHandler(EarlyHandler aHandler);
  /// Stops listening and resets all connections; Open listens on the same port again.
  void Close();
  void Open();
  /// Number of connections that the peer closed before the answer to its request was sent. Only
  /// requests whose Reaction has a delay or never answers are counted.
  unsigned ClosedByPeerCount() const { return closedByPeerCount_; }
  /// Total of the repeated bytes (Reaction::repeatedBytes) that were sent.
  size_t RepeatedByteCount() const { return repeatedByteCount_; }

private:
  struct Session;

  asio::awaitable<void> AcceptConnections();
  asio::awaitable<void> ServeConnection(std::shared_ptr<Session> aSession);
  /// Sends aBytes in pieces, at aBytesPerSecond.
  asio::awaitable<error_code> SendPaced(std::shared_ptr<Session> aSession,
                                        std::string aBytes,
                                        size_t aBytesPerSecond);
  asio::awaitable<void> AnswerEarly(std::shared_ptr<Session> aSession, EarlyAnswer aAnswer);
  /// Sends aBytes again and again until the peer closes the connection.
  asio::awaitable<void> SendRepeatedly(std::shared_ptr<Session> aSession, std::string aBytes);

  Handler handler_;
  std::mutex earlyHandlerMutex_;
  EarlyHandler earlyHandler_;
  asio::io_context context_{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> workGuard_;
  PortReservation port_;
  tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<Session>> sessions_;
  std::atomic<unsigned> closedByPeerCount_ = 0;
  std::atomic<size_t> repeatedByteCount_ = 0;
  std::thread thread_;
};

/// Stand-in for the platform's store: keeps objects by kind and name, each with the revision of its
/// last change, and answers lists, watches and writes over HTTP. Safe to use from any thread.
class StandInStore
{
  /// A change of an object, as a watch reports it.
  struct Event
  {
    uint64_t revision = 0;
    std::string kind;
    json::value object;
    bool deleted = false;
  };

public:
  /// What the store holds at one moment.
  struct Copy
  {
    uint64_t revision = 100;
    uint64_t oldestWatchRevision = 100;
    std::map<std::string, std::map<std::string, json::value>> objects;
    std::vector<Event> events;
  };

  enum class Mode
  {
    Answering,
    Refusing, ///< Answers each call with status 503.
    Silent,   ///< Never answers.
  };

  StandInStore();

  Endpoint Address() const { return server_.Address(); }
  void Put(const std::string& aKind, const std::string& aName, json::value aSpec);
  /// As Put, with a spec that is sent as these bytes, which need not be JSON.
  void PutBytes(const std::string& aKind, const std::string& aName, std::string aSpec);
  void Delete(const std::string& aKind, const std::string& aName);
  /// Drops all events so far; a watch that starts at an earlier revision then gets status 410.
  void DropHistory();
  void SetMode(Mode aMode) { mode_ = aMode; }
  /// States this epoch in all answers; without a call of this function or of Return it states none.
  void StateEpoch(uint64_t aEpoch);
  Copy MakeCopy();
  /// Stops listening and resets all connections, until Return.
  void GoAway() { server_.Close(); }
  /// Listens again, with the state of aCopy if there is one and the present state otherwise. The
  /// first begins a new epoch, in which revisions are given out again.
  void Return(const std::optional<Copy>& aCopy);
  /// The store's present revision.
  uint64_t Revision();
  /// Sends answers at this rate; 0 stands for no limit.
  void LimitRate(size_t aBytesPerSecond) { bytesPerSecond_ = aBytesPerSecond; }
  /// Closes the connection of each watch that has waited for this long without an event.
  void CutWatchesAfter(Duration aWait) { watchLimit_ = aWait; }
  /// Calls aAction once, when the first page of a list of aKind has been made and others are to
  /// follow, before it is sent. An empty function takes that back.
  void AfterFirstPage(const std::string& aKind, std::function<void()> aAction);
  bool Contains(const std::string& aKind, const std::string& aName);
  /// Number of HTTP requests to the store so far, in every mode.
  unsigned CallCount() const { return callCount_; }

private:
  Reaction HandleRequest(const Request& aRequest);
  Reaction Answer(const Request& aRequest);
  /// Takes the action of AfterFirstPage if it is due after this answer.
  std::function<void()> TakePageAction(const Request& aRequest, const Response& aAnswer);
  Response AnswerGet(const std::string& aKind, const std::string& aQuery);
  Response AnswerWrite(const Request& aRequest, const std::vector<std::string>& aPathSegments);
  /// Writes or deletes an object under a new revision and records the event; returns the object.
  /// The caller holds mutex_.
  json::value ApplyChange(const std::string& aKind,
                          const std::string& aName,
                          json::value aSpec,
                          bool aDeleted);

  std::mutex mutex_;
  std::vector<std::string> specBytes_; ///< Each stands for the spec "bytes-" and its index.
  Copy state_;
  std::optional<uint64_t> epoch_;
  std::map<std::string, std::function<void()>> pageActions_; ///< By kind.
  std::atomic<Mode> mode_ = Mode::Answering;
  std::atomic<Duration> watchLimit_{};
  std::atomic<size_t> bytesPerSecond_ = 0;
  std::atomic<unsigned> callCount_ = 0;
  StandInServer server_;
};

/// Stand-in for an instance of a service. Safe to use from any thread.
class StandInInstance
{
public:
  explicit StandInInstance(std::string aId);

  const std::string& Id() const { return id_; }
  Endpoint Address() const { return server_.Address(); }
  /// Sets what the instance does with requests other than health checks. Without a behaviour it
  /// answers with SuccessReaction.
  void SetBehaviour(std::function<Reaction(const Request&)> aBehaviour);
  /// Returns the answer of a healthy instance. It carries the receipt (X-Server-Stamp), which shows
  /// that an instance ran the request.
  Reaction SuccessReaction(const Request& aRequest) const;
  /// Returns the answer of an instance that has no free slot and did not run the request.
  Reaction ShedReaction(const Request& aRequest) const;
  /// Returns all requests so far, except health checks and requests whose X-Expect-Instance names
  /// another instance.
  std::vector<Request> ReceivedRequests();
  StandInServer& Server() { return server_; }

private:
  Reaction HandleRequest(const Request& aRequest);

  std::string id_;
  std::mutex mutex_;
  std::function<Reaction(const Request&)> behaviour_;
  std::vector<Request> receivedRequests_;
  StandInServer server_;
};

} // namespace dfm::test

#endif
