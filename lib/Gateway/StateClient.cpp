#include "dragonflymoor/Gateway/StateClient.h"

#include "dragonflymoor/Net/Clock.h"
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace dfm {

namespace {

/// A round trip to another region with room for a busy VM. TCP repeats a lost first packet later.
constexpr Duration kConnectTimeout = 300ms;

/// Longest time without a byte of the reply.
constexpr Duration kMaxSilence = 500ms;

/// A kept connection may be dead without notice.
constexpr Duration kMaxSilenceOfKeptConnection = 300ms;

} // namespace

asio::awaitable<std::optional<tcp::socket>>
ConnectToPeer(asio::io_context& aContext, Endpoint aPeer, Duration aTimeout)
{
  tcp::socket socket(aContext);
  asio::steady_timer timer(aContext, aTimeout);
  timer.async_wait([&socket](error_code aError) {
    error_code ignored; // The socket is dropped in any case.
    if (!aError)
      socket.close(ignored);
  });
  auto [error] = co_await socket.async_connect(ToTcp(aPeer), kAwaitTuple);
  timer.cancel();
  // The handler of the timer refers to the socket until it has run.
  co_await asio::post(aContext, asio::use_awaitable);
  if (error)
    co_return std::nullopt;
  co_return std::move(socket);
}

StateClient::StateClient(asio::io_context& aContext)
  : context_(aContext)
{
}

StateClient::~StateClient()
{
  Close();
}

void
StateClient::Close()
{
  const std::shared_ptr<Link> link = std::move(link_);
  if (link == nullptr || link->connection == nullptr)
    return;
  const std::shared_ptr<FrameConnection> connection = std::move(link->connection);
  connection->Close();
}

asio::awaitable<bool>
StateClient::Connect(Endpoint aPeer)
{
  Close();
  auto socket = co_await ConnectToPeer(context_, aPeer, kConnectTimeout);
  if (!socket)
    co_return false;
  const auto link = std::make_shared<Link>(context_);
  link->peer = aPeer;
  link->connection = std::make_shared<FrameConnection>(
    std::move(*socket),
    FrameConnection::Hooks{
      .payload = [link](const std::string& aPayload) -> tl::expected<void, CodecError> {
        auto envelope = DecodePeer(aPayload);
        if (!envelope)
          return tl::unexpected(envelope.error());
        if (!link->waiting || !std::holds_alternative<StateReply>(envelope->message))
          return tl::unexpected(CodecError{ "message: not the answer to a request" });
        link->waiting = false;
        link->reply = std::move(*envelope);
        link->answered.cancel();
        return {};
      },
      .closed =
        [link](const std::string&) {
          link->connection.reset();
          link->answered.cancel();
        },
      .received =
        [link](size_t aBytes) {
          if (link->deadline)
            link->deadline->OnBytes(ReadClocks().monotonic, aBytes);
        },
    });
  link->connection->Start();
  link_ = link;
  co_return true;
}

asio::awaitable<std::optional<PeerEnvelope>>
StateClient::Exchange(std::string aRequest, Duration aMaxSilence)
{
  const std::shared_ptr<Link> link = link_;
  link->reply.reset();
  link->waiting = true;
  link->deadline.emplace(ReadClocks().monotonic, aMaxSilence);
  if (link->connection != nullptr && link->connection->Send({ .payload = std::move(aRequest) })) {
    for (Duration remaining = aMaxSilence;
         !link->reply && link->connection != nullptr && remaining > Duration{};
         remaining = link->deadline->Remaining(ReadClocks().monotonic)) {
      link->answered.expires_after(remaining);
      co_await link->answered.async_wait(kAwaitTuple);
    }
  }
  if (!link->reply)
    Close();
  co_return std::move(link->reply);
}

asio::awaitable<std::optional<PeerEnvelope>>
StateClient::Request(Endpoint aPeer, std::string aRequest)
{
  if (link_ != nullptr && link_->peer == aPeer && link_->connection != nullptr) {
    const std::shared_ptr<Link> kept = link_;
    auto reply = co_await Exchange(aRequest, kMaxSilenceOfKeptConnection);
    // The state grows old while a silent VM is asked again; another one may answer.
    const bool silent = kept->deadline->Remaining(ReadClocks().monotonic) <= Duration{};
    if (reply || silent)
      co_return reply;
  }
  if (!co_await Connect(aPeer))
    co_return std::nullopt;
  co_return co_await Exchange(std::move(aRequest), kMaxSilence);
}

} // namespace dfm
