#include "dragonflymoor/Net/PeerServer.h"

#include "dragonflymoor/Net/Clock.h"
#include "dragonflymoor/Support/Log.h"
#include <boost/asio/post.hpp>

namespace dfm {

PeerExchange::PeerExchange(VmId aSelf,
                           RequestHead aHead,
                           RequestId aSenderId,
                           PeerConnectionId aConnection,
                           RequestPointer aRequest,
                           asio::any_io_executor aExecutor,
                           std::weak_ptr<FrameConnection> aLink,
                           std::shared_ptr<std::atomic<uint32_t>> aUnsent)
  : self_(std::move(aSelf))
  , head_(std::move(aHead))
  , senderId_(aSenderId)
  , connection_(aConnection)
  , request_(std::move(aRequest))
  , executor_(std::move(aExecutor))
  , link_(std::move(aLink))
  , unsent_(std::move(aUnsent))
{
}

void
PeerExchange::Finish(FinalAnswer aAnswer) const
{
  unsent_->fetch_add(1);
  const auto send =
    [self = self_, id = senderId_, weak = link_, unsent = unsent_, answer = std::move(aAnswer)] {
      const auto done = [unsent] { unsent->fetch_sub(1); };
      const auto link = weak.lock();
      ForwardReply reply{ .id = id, .outcome = answer.outcome, .reason = answer.reason };
      reply.owner = answer.owner;
      reply.retryAfter = answer.retryAfter;
      // Answered without content: the order ran, but its answer is not kept any more.
      if (reply.outcome == Outcome::Answered && answer.answer != nullptr)
        reply.content = EncodeContent(answer.answer->message);
      FrameConnection::Frame frame{ .payload = EncodeStream(self, reply), .done = done };
      if (link == nullptr) {
        done();
        return;
      }
      if (link->Send(std::move(frame)))
        return;
      // Without a reply the sender would wait until its deadline.
      done();
      link->Close();
    };
  asio::post(executor_, send);
}

PeerServer::PeerServer(VmId aSelf,
                       std::shared_ptr<BodyBudget> aBudget,
                       std::shared_ptr<std::atomic<uint32_t>> aUnsent,
                       PeerServerHooks aHooks)
  : self_(std::move(aSelf))
  , budget_(std::move(aBudget))
  , unsent_(std::move(aUnsent))
  , hooks_(std::move(aHooks))
{
}

void
PeerServer::Serve(tcp::socket aSocket, PeerConnectionId aId)
{
  const asio::any_io_executor executor = aSocket.get_executor();
  error_code ignored;
  const Endpoint remote = FromTcp(aSocket.remote_endpoint(ignored));
  auto self = std::make_shared<std::weak_ptr<FrameConnection>>();
  FrameConnection::Hooks hooks;
  hooks.payload = [this, self, executor, aId](const std::string& aPayload) {
    return Receive(*self, executor, aId, aPayload);
  };
  hooks.closed = [this, aId, remote](const std::string& aError) {
    if (!aError.empty()) {
      hooks_.count("malformed-frames", Reason::PeerFailed);
      Log(LogLevel::Warning,
          "net",
          "closed a connection after a malformed frame",
          { { "peer", ToText(remote) }, { "error", aError } });
    }
    hooks_.closed(aId);
  };
  auto connection = std::make_shared<FrameConnection>(std::move(aSocket), std::move(hooks));
  *self = connection;
  connection->Start();
}

PeerServer::Accepted
PeerServer::Receive(const std::weak_ptr<FrameConnection>& aLink,
                    const asio::any_io_executor& aExecutor,
                    PeerConnectionId aId,
                    const std::string& aPayload)
{
  auto envelope = DecodeStream(aPayload);
  if (!envelope)
    return tl::unexpected(envelope.error());
  if (auto* request = std::get_if<ForwardRequest>(&envelope->message))
    return ReceiveRequest(aLink, aExecutor, aId, envelope->sender, std::move(*request));
  if (const auto* cancel = std::get_if<ForwardCancel>(&envelope->message)) {
    hooks_.cancelled(aId, cancel->id);
    return {};
  }
  if (std::holds_alternative<ForwardReply>(envelope->message))
    return tl::unexpected(CodecError{ "forward reply: no request was sent on this connection" });
  hooks_.message(std::move(envelope->sender), std::move(envelope->message));
  return {};
}

PeerServer::Accepted
PeerServer::ReceiveRequest(const std::weak_ptr<FrameConnection>& aLink,
                           const asio::any_io_executor& aExecutor,
                           PeerConnectionId aId,
                           const VmId& aSender,
                           ForwardRequest aRequest)
{
  auto content = DecodeRequestContent(aRequest.content);
  if (!content)
    return tl::unexpected(content.error());
  const uint64_t bytes = content->body().size();
  const bool fits = budget_->TryReserve(bytes);
  auto stored = std::make_shared<StoredRequest>();
  if (fits) {
    stored->reservation = BodyReservation(budget_, bytes);
    stored->message = std::move(*content);
  }
  RequestHead head = std::move(aRequest.head);
  head.id = {};
  head.deadline = ReadClocks().monotonic + aRequest.timeLeft;
  head.forwardedBy = aSender;
  auto exchange = std::make_shared<PeerExchange>(
    self_, std::move(head), aRequest.id, aId, std::move(stored), aExecutor, aLink, unsent_);
  if (!fits) {
    hooks_.count("requests-refused", Reason::QueueFull);
    exchange->Finish({ .outcome = Outcome::NotRun, .reason = Reason::QueueFull });
    return {};
  }
  hooks_.request(std::move(exchange));
  return {};
}

} // namespace dfm
