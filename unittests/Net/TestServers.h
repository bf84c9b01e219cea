#ifndef DRAGONFLYMOOR_UNITTESTS_NET_TESTSERVERS_H
#define DRAGONFLYMOOR_UNITTESTS_NET_TESTSERVERS_H

#include "dragonflymoor/Net/Asio.h"
#include "dragonflymoor/Net/Content.h"
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace dfm {

/// Waits until a condition holds; the end is far beyond any scheduling delay.
template<typename Condition>
bool
Eventually(Condition aCondition)
{
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (std::chrono::steady_clock::now() < end) {
    if (aCondition())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return false;
}

/// An HTTP server with one thread for each connection, whose answers are raw bytes.
class TestServer
{
public:
  /// What the server sends, and whether it closes the connection afterwards. Without bytes and
  /// without closing it never answers.
  struct Action
  {
    std::string bytes;
    bool close = false;
    bool closeListener = false; ///< No further connection is accepted, as after a crash.
  };
  using Handler = std::function<Action(const HttpRequest&)>;

  explicit TestServer(Handler aHandler)
    : handler_(std::move(aHandler))
    , acceptor_(context_, { asio::ip::make_address("127.0.0.1"), 0 })
    , endpoint_(FromTcp(acceptor_.local_endpoint()))
    , listener_(acceptor_.native_handle())
    , accepting_([this] { Accept(); })
  {
  }

  ~TestServer()
  {
    CloseListener();
    accepting_.join();
    for (Connection& connection : connections_) {
      ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
      connection.thread.join();
    }
  }

  TestServer(const TestServer&) = delete;
  TestServer& operator=(const TestServer&) = delete;

  const Endpoint& Address() const { return endpoint_; }
  int Connections() const { return accepted_.load(); }
  int Requests() const { return requests_.load(); }

  /// A complete answer.
  static std::string Answer(int aStatus, const std::string& aBody, const std::string& aHeaders = "")
  {
    return "HTTP/1.1 " + std::to_string(aStatus) + " Text\r\n" + aHeaders +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

private:
  struct Connection
  {
    tcp::socket socket;
    std::thread thread;
  };

  void CloseListener()
  {
    const std::scoped_lock lock(mutex_);
    if (!closed_.exchange(true))
      ::shutdown(listener_, SHUT_RDWR);
  }

  void Accept()
  {
    while (!closed_) {
      tcp::socket socket(context_);
      error_code error;
      acceptor_.accept(socket, error);
      if (error)
        continue;
      ++accepted_;
      const std::scoped_lock lock(mutex_);
      connections_.push_back({ std::move(socket), {} });
      Connection& connection = connections_.back();
      connection.thread = std::thread([this, &connection] { Serve(connection.socket); });
    }
    const std::scoped_lock lock(mutex_);
    acceptor_.close();
    listening_ = false;
  }

  void Serve(tcp::socket& aSocket)
  {
    beast::flat_buffer buffer;
    for (;;) {
      HttpRequest request;
      error_code error;
      http::read(aSocket, buffer, request, error);
      if (error)
        break;
      ++requests_;
      const Action action = handler_(request);
      if (action.closeListener) {
        CloseListener();
        Eventually([this] { return !listening_; });
      }
      asio::write(aSocket, asio::buffer(action.bytes), error);
      if (action.close)
        break;
    }
    ::shutdown(aSocket.native_handle(), SHUT_RDWR);
  }

  Handler handler_;
  asio::io_context context_;
  tcp::acceptor acceptor_;
  Endpoint endpoint_;
  const int listener_;
  std::atomic<bool> listening_{ true };
  std::atomic<bool> closed_{ false };
  std::atomic<int> accepted_{ 0 };
  std::atomic<int> requests_{ 0 };
  std::mutex mutex_;
  std::list<Connection> connections_;
  std::thread accepting_;
};

/// A caller with one connection.
class TestCaller
{
public:
  explicit TestCaller(const Endpoint& aServer)
    : socket_(context_)
  {
    socket_.connect(ToTcp(aServer));
  }

  void SendBytes(const std::string& aBytes)
  {
    error_code ignored;
    asio::write(socket_, asio::buffer(aBytes), ignored);
  }

  void Send(const HttpRequest& aRequest)
  {
    HttpRequest request = aRequest;
    request.prepare_payload();
    error_code ignored;
    http::write(socket_, request, ignored);
  }

  /// The next answer; status 0 of the result means that the connection ended.
  HttpAnswer Receive()
  {
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxAnswerBytes);
    error_code error;
    http::read(socket_, buffer_, parser, error);
    if (!error)
      return parser.release();
    HttpAnswer none;
    none.result(0U);
    return none;
  }

  HttpAnswer Ask(const HttpRequest& aRequest)
  {
    Send(aRequest);
    return Receive();
  }

  /// True when the server closed the connection without sending anything.
  bool IsClosed()
  {
    char byte = 0;
    error_code error;
    socket_.read_some(asio::buffer(&byte, 1), error);
    return static_cast<bool>(error);
  }

  void Close() { socket_.close(); }

private:
  asio::io_context context_;
  tcp::socket socket_;
  beast::flat_buffer buffer_;
};

/// A request with the headers that every caller must send.
inline HttpRequest
ServiceRequest(const std::string& aPath, const std::string& aBody = "")
{
  HttpRequest request(
    aBody.empty() ? http::verb::get : http::verb::post, "/v1/s/lookup" + aPath, 11);
  request.set(http::field::host, "dfm");
  request.set("Dfm-Workspace", "karoo");
  request.set("Dfm-Plan", "gold");
  request.body() = aBody;
  return request;
}

} // namespace dfm

#endif
