#include "StandIns.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/make_printable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <future>
#include <sstream>
#include <tuple>

namespace dfm::test {

namespace {

std::string
ToString(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// Splits aText at aSeparator and leaves out empty parts.
std::vector<std::string>
Split(const std::string& aText, char aSeparator)
{
  std::vector<std::string> parts;
  std::stringstream stream(aText);
  for (std::string part; std::getline(stream, part, aSeparator);) {
    if (!part.empty())
      parts.push_back(part);
  }
  return parts;
}

/// Returns the value of the query parameter aName, or an empty string if aQuery does not have it.
std::string
QueryValue(const std::string& aQuery, const std::string& aName)
{
  for (const std::string& part : Split(aQuery, '&')) {
    if (part.starts_with(aName + "="))
      return part.substr(aName.size() + 1);
  }
  return {};
}

Response
JsonAnswer(unsigned aStatus, const json::value& aValue)
{
  Response answer(static_cast<http::status>(aStatus), 11);
  answer.set(http::field::content_type, "application/json");
  answer.body() = json::serialize(aValue);
  return answer;
}

std::string
Serialize(const Response& aAnswer)
{
  std::ostringstream stream;
  stream << aAnswer;
  return stream.str();
}

} // namespace

PortReservation::PortReservation()
  : holder_(context_)
{
  holder_.open(tcp::v4());
  holder_.set_option(tcp::acceptor::reuse_address(true));
  holder_.bind({ asio::ip::make_address("127.0.0.1"), 0 });
}

Endpoint
PortReservation::Address() const
{
  return FromTcp(holder_.local_endpoint());
}

struct StandInServer::Session
{
  explicit Session(tcp::socket aSocket)
    : socket(std::move(aSocket))
  {
  }

  tcp::socket socket;
  beast::flat_buffer buffer;
};

StandInServer::StandInServer(Handler aHandler)
  : handler_(std::move(aHandler))
  , workGuard_(asio::make_work_guard(context_))
  , acceptor_(context_)
{
  Open();
  thread_ = std::thread([this] { context_.run(); });
}

StandInServer::~StandInServer()
{
  context_.stop();
  thread_.join();
}

void
StandInServer::Open()
{
  const tcp::endpoint endpoint = ToTcp(Address());
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  asio::co_spawn(context_, AcceptConnections(), asio::detached);
}

void
StandInServer::Close()
{
  std::promise<void> closed;
  asio::post(context_, [&] {
    acceptor_.close();
    for (const auto& weakSession : sessions_) {
      if (const auto session = weakSession.lock()) {
        session->socket.set_option(asio::socket_base::linger(true, 0));
        session->socket.close();
      }
    }
    sessions_.clear();
    closed.set_value();
  });
  closed.get_future().wait();
}

asio::awaitable<void>
StandInServer::AcceptConnections()
{
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(kAwaitTuple);
    if (error)
      co_return;
    auto session = std::make_shared<Session>(std::move(socket));
    sessions_.push_back(session);
    asio::co_spawn(context_, ServeConnection(session), asio::detached);
  }
}

asio::awaitable<void>
StandInServer::ServeConnection(std::shared_ptr<Session> aSession)
{
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(boost::none); // Callers' bodies are larger than Beast's default of 1 MB.
    auto [headError, headBytes] =
      co_await http::async_read_header(aSession->socket, aSession->buffer, parser, kAwaitTuple);
    if (headError)
      co_return;
    EarlyHandler earlyHandler;
    {
      const std::scoped_lock lock(earlyHandlerMutex_);
      earlyHandler = earlyHandler_;
    }
    auto earlyAnswer = earlyHandler ? earlyHandler(parser.get()) : std::nullopt;
    if (earlyAnswer) {
      co_await AnswerEarly(aSession, std::move(*earlyAnswer));
      co_return;
    }
    auto [readError, bytesRead] =
      co_await http::async_read(aSession->socket, aSession->buffer, parser, kAwaitTuple);
    if (readError)
      co_return;
    const Request request = parser.release();
    Reaction reaction = handler_(request);
    if (reaction.neverAnswers || reaction.delay.count() > 0) {
      // Close may end the socket, and with it this coroutine, before the handler has run.
      const auto timer = std::make_shared<asio::steady_timer>(
        context_, reaction.neverAnswers ? Duration(std::chrono::hours(1)) : reaction.delay);
      const auto closedByPeer = std::make_shared<bool>(false);
      aSession->socket.async_wait(tcp::socket::wait_read, [closedByPeer, timer](error_code) {
        *closedByPeer = true;
        timer->cancel();
      });
      co_await timer->async_wait(kAwaitTuple);
      if (*closedByPeer) {
        ++closedByPeerCount_;
        co_return;
      }
      aSession->socket.cancel();
      // Lets the handler of the cancelled wait run before the timer, which it refers to, is
      // destroyed.
      co_await asio::post(context_, asio::use_awaitable);
    }
    if (reaction.closesWithoutAnswer) {
      aSession->socket.close();
      co_return;
    }
    reaction.answer.keep_alive(reaction.answer.keep_alive() && request.keep_alive());
    if (!reaction.answer.has_content_length() && !reaction.answer.chunked())
      reaction.answer.prepare_payload();
    std::string bytes = reaction.sendsAnswer ? Serialize(reaction.answer) : std::string();
    if (reaction.closeAfterBytes > 0)
      bytes.resize(std::min(bytes.size(), reaction.closeAfterBytes));
    bytes.insert(0, reaction.bytesBeforeAnswer);
    bytes += reaction.bytesAfterAnswer;
    error_code writeError;
    if (reaction.bytesPerSecond > 0)
      writeError = co_await SendPaced(aSession, std::move(bytes), reaction.bytesPerSecond);
    else
      std::tie(writeError, std::ignore) =
        co_await asio::async_write(aSession->socket, asio::buffer(bytes), kAwaitTuple);
    if (writeError || reaction.closeAfterBytes > 0) {
      aSession->socket.close();
      co_return;
    }
    if (!reaction.repeatedBytes.empty()) {
      co_await SendRepeatedly(aSession, std::move(reaction.repeatedBytes));
      co_return;
    }
  }
}

void
StandInServer::SetEarlyHandler(EarlyHandler aHandler)
{
  const std::scoped_lock lock(earlyHandlerMutex_);
  earlyHandler_ = std::move(aHandler);
}

asio::awaitable<error_code>
StandInServer::SendPaced(std::shared_ptr<Session> aSession,
                         std::string aBytes,
                         size_t aBytesPerSecond)
{
  constexpr Duration kPeriod = 10ms;
  const size_t pieceBytes = std::max<size_t>(1, aBytesPerSecond / (1s / kPeriod));
  // What the kernel buffers has not passed the link.
  aSession->socket.set_option(asio::socket_base::send_buffer_size(static_cast<int>(pieceBytes)));
  for (size_t at = 0; at < aBytes.size(); at += pieceBytes) {
    const size_t piece = std::min(pieceBytes, aBytes.size() - at);
    auto [error, written] = co_await asio::async_write(
      aSession->socket, asio::buffer(aBytes.data() + at, piece), kAwaitTuple);
    if (error)
      co_return error;
    asio::steady_timer timer(context_, kPeriod);
    co_await timer.async_wait(kAwaitTuple);
  }
  co_return error_code();
}

asio::awaitable<void>
StandInServer::AnswerEarly(std::shared_ptr<Session> aSession, EarlyAnswer aAnswer)
{
  tcp::socket& socket = aSession->socket;
  co_await asio::async_write(socket, asio::buffer(aAnswer.bytes), kAwaitTuple);
  asio::steady_timer timer(context_, aAnswer.delay);
  co_await timer.async_wait(kAwaitTuple);
  error_code error;
  if (aAnswer.end == EarlyAnswer::End::Reset) {
    socket.set_option(asio::socket_base::linger(true, 0), error);
  } else if (aAnswer.end == EarlyAnswer::End::Clean) {
    socket.shutdown(tcp::socket::shutdown_send, error);
    std::vector<char> bytes(64UL * 1024);
    while (!error) {
      auto [readError, count] = co_await socket.async_read_some(asio::buffer(bytes), kAwaitTuple);
      error = readError;
    }
  }
  socket.close(error);
}

asio::awaitable<void>
StandInServer::SendRepeatedly(std::shared_ptr<Session> aSession, std::string aBytes)
{
  constexpr size_t kBlockBytes = 64UL * 1024;
  std::string block;
  while (block.size() < kBlockBytes)
    block += aBytes;
  for (size_t sent = 0; sent < kMaxRepeatedBytes;) {
    auto [error, bytes] =
      co_await asio::async_write(aSession->socket, asio::buffer(block), kAwaitTuple);
    repeatedByteCount_ += bytes;
    sent += bytes;
    if (error)
      break;
  }
  aSession->socket.close();
}

StandInStore::StandInStore()
  : server_([this](const Request& aRequest) { return HandleRequest(aRequest); })
{
}

json::value
StandInStore::ApplyChange(const std::string& aKind,
                          const std::string& aName,
                          json::value aSpec,
                          bool aDeleted)
{
  ++state_.revision;
  json::value object = json::object{
    { "metadata", json::object{ { "name", aName }, { "revision", state_.revision } } },
    { "spec", std::move(aSpec) },
    { "status", nullptr },
  };
  if (aDeleted)
    state_.objects[aKind].erase(aName);
  else
    state_.objects[aKind][aName] = object;
  state_.events.push_back(
    { .revision = state_.revision, .kind = aKind, .object = object, .deleted = aDeleted });
  return object;
}

void
StandInStore::Put(const std::string& aKind, const std::string& aName, json::value aSpec)
{
  const std::scoped_lock lock(mutex_);
  ApplyChange(aKind, aName, std::move(aSpec), false);
}

void
StandInStore::PutBytes(const std::string& aKind, const std::string& aName, std::string aSpec)
{
  const std::scoped_lock lock(mutex_);
  specBytes_.push_back(std::move(aSpec));
  ApplyChange(aKind, aName, json::string(fmt::format("bytes-{}", specBytes_.size() - 1)), false);
}

void
StandInStore::Delete(const std::string& aKind, const std::string& aName)
{
  const std::scoped_lock lock(mutex_);
  ApplyChange(aKind, aName, nullptr, true);
}

void
StandInStore::DropHistory()
{
  const std::scoped_lock lock(mutex_);
  ++state_.revision;
  state_.oldestWatchRevision = state_.revision;
  state_.events.clear();
}

void
StandInStore::AfterFirstPage(const std::string& aKind, std::function<void()> aAction)
{
  const std::scoped_lock lock(mutex_);
  pageActions_[aKind] = std::move(aAction);
}

std::function<void()>
StandInStore::TakePageAction(const Request& aRequest, const Response& aAnswer)
{
  const std::string target = ToString(aRequest.target());
  const std::scoped_lock lock(mutex_);
  for (auto& [kind, action] : pageActions_) {
    if (target == "/objects/" + kind &&
        aAnswer.body().find("\"has_more\":true") != std::string::npos)
      return std::exchange(action, {});
  }
  return {};
}

bool
StandInStore::Contains(const std::string& aKind, const std::string& aName)
{
  const std::scoped_lock lock(mutex_);
  return state_.objects[aKind].contains(aName);
}

Response
StandInStore::AnswerGet(const std::string& aKind, const std::string& aQuery)
{
  const std::string watch = QueryValue(aQuery, "watch");
  if (!watch.empty()) {
    const uint64_t fromRevision = std::stoull(watch);
    if (fromRevision < state_.oldestWatchRevision || fromRevision > state_.revision)
      return JsonAnswer(410, json::object{ { "error", "history is gone" } });
    json::array events;
    for (const Event& event : state_.events) {
      if (event.kind == aKind && event.revision > fromRevision)
        events.push_back(json::object{ { "object", event.object }, { "deleted", event.deleted } });
    }
    return JsonAnswer(200, json::object{ { "events", events }, { "as_of", state_.revision } });
  }
  // With pages this short, a list of more than two objects takes several calls.
  constexpr size_t kPageSize = 2;
  const std::string afterName = QueryValue(aQuery, "after");
  json::array items;
  bool hasMore = false;
  for (const auto& [name, object] : state_.objects[aKind]) {
    if (name <= afterName)
      continue;
    hasMore = items.size() == kPageSize;
    if (hasMore)
      break;
    items.push_back(object);
  }
  return JsonAnswer(
    200, json::object{ { "items", items }, { "has_more", hasMore }, { "as_of", state_.revision } });
}

Response
StandInStore::AnswerWrite(const Request& aRequest, const std::vector<std::string>& aPathSegments)
{
  json::value body;
  if (!aRequest.body().empty())
    body = json::parse(aRequest.body());
  const std::string& kind = aPathSegments[1];
  if (aRequest.method() == http::verb::post) {
    const std::string name(body.at("metadata").at("name").as_string());
    if (state_.objects[kind].contains(name))
      return JsonAnswer(409, state_.objects[kind][name]);
    return JsonAnswer(201, ApplyChange(kind, name, body.at("spec"), false));
  }
  const std::string& name = aPathSegments.at(2);
  if (!state_.objects[kind].contains(name))
    return JsonAnswer(404, json::object{});
  if (aRequest.method() == http::verb::delete_)
    return JsonAnswer(200, ApplyChange(kind, name, nullptr, true));
  return JsonAnswer(200, ApplyChange(kind, name, body.at("spec"), false));
}

void
StandInStore::StateEpoch(uint64_t aEpoch)
{
  const std::scoped_lock lock(mutex_);
  epoch_ = aEpoch;
}

StandInStore::Copy
StandInStore::MakeCopy()
{
  const std::scoped_lock lock(mutex_);
  return state_;
}

void
StandInStore::Return(const std::optional<Copy>& aCopy)
{
  {
    const std::scoped_lock lock(mutex_);
    if (aCopy) {
      state_ = *aCopy;
      epoch_ = epoch_.value_or(0) + 1;
    }
  }
  server_.Open();
}

uint64_t
StandInStore::Revision()
{
  const std::scoped_lock lock(mutex_);
  return state_.revision;
}

Reaction
StandInStore::HandleRequest(const Request& aRequest)
{
  ++callCount_;
  if (mode_ == Mode::Silent)
    return { .neverAnswers = true };
  Reaction reaction = Answer(aRequest);
  if (const auto action = TakePageAction(aRequest, reaction.answer))
    action();
  const std::scoped_lock lock(mutex_);
  if (epoch_)
    reaction.answer.set("Store-Era", std::to_string(*epoch_));
  return reaction;
}

Reaction
StandInStore::Answer(const Request& aRequest)
{
  if (mode_ == Mode::Refusing)
    return { .answer = JsonAnswer(503, json::object{}) };
  const std::string target = ToString(aRequest.target());
  const size_t queryStart = target.find('?');
  const std::string query = queryStart == std::string::npos ? "" : target.substr(queryStart + 1);
  const std::vector<std::string> pathSegments = Split(target.substr(0, queryStart), '/');
  const std::scoped_lock lock(mutex_);
  if (aRequest.method() != http::verb::get)
    return { .answer = AnswerWrite(aRequest, pathSegments) };
  Reaction reaction{ .answer = AnswerGet(pathSegments.at(1), query),
                     .bytesPerSecond = bytesPerSecond_ };
  for (size_t i = 0; i < specBytes_.size(); ++i) {
    const std::string placeholder = fmt::format("\"bytes-{}\"", i);
    std::string& body = reaction.answer.body();
    for (size_t at = body.find(placeholder); at != std::string::npos; at = body.find(placeholder))
      body.replace(at, placeholder.size(), specBytes_[i]);
  }
  // Delays the answer to a watch that has no events, so that the client does not call in a busy
  // loop. Events that occur during the delay are reported to the next call of the client.
  if (!QueryValue(query, "watch").empty() &&
      reaction.answer.body().find("\"events\":[]") != std::string::npos) {
    const Duration limit = watchLimit_;
    if (limit > Duration{})
      return { .delay = limit, .closesWithoutAnswer = true };
    reaction.delay = 20ms;
  }
  return reaction;
}

StandInInstance::StandInInstance(std::string aId)
  : id_(std::move(aId))
  , server_([this](const Request& aRequest) { return HandleRequest(aRequest); })
{
}

void
StandInInstance::SetBehaviour(std::function<Reaction(const Request&)> aBehaviour)
{
  const std::scoped_lock lock(mutex_);
  behaviour_ = std::move(aBehaviour);
}

std::vector<Request>
StandInInstance::ReceivedRequests()
{
  const std::scoped_lock lock(mutex_);
  return receivedRequests_;
}

Reaction
StandInInstance::SuccessReaction(const Request& aRequest) const
{
  Response answer(http::status::ok, 11);
  answer.set("X-Request-Id", aRequest["X-Request-Id"]);
  answer.set("X-Server-Stamp", "stamp-" + id_);
  answer.set("X-Instance-Id", id_);
  answer.body() = fmt::format("{} from {}", ToString(aRequest.target()), id_);
  return { .answer = std::move(answer) };
}

Reaction
StandInInstance::ShedReaction(const Request& aRequest) const
{
  Response answer(http::status::service_unavailable, 11);
  answer.set("X-Request-Id", aRequest["X-Request-Id"]);
  answer.set("X-Not-Executed", "1");
  return { .answer = std::move(answer) };
}

Reaction
StandInInstance::HandleRequest(const Request& aRequest)
{
  const auto expected = aRequest["X-Expect-Instance"];
  if (!expected.empty() && ToString(expected) != id_) {
    Response answer(http::status::misdirected_request, 11);
    answer.set("X-Instance-Id", id_);
    return { .answer = std::move(answer) };
  }
  if (aRequest.target() == "/healthz")
    return SuccessReaction(aRequest);
  std::function<Reaction(const Request&)> behaviour;
  {
    const std::scoped_lock lock(mutex_);
    receivedRequests_.push_back(aRequest);
    behaviour = behaviour_;
  }
  return behaviour ? behaviour(aRequest) : SuccessReaction(aRequest);
}

} // namespace dfm::test
