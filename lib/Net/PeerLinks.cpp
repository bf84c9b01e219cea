#include "dragonflymoor/Net/PeerLinks.h"

#include "dragonflymoor/Net/Clock.h"
#include "dragonflymoor/Support/Log.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <tuple>

namespace dfm {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr auto kConnectTimeout = std::chrono::seconds(1);
/// Pause after a failed connection; doubles with each further failure.
constexpr auto kFirstPause = std::chrono::milliseconds(50);
constexpr auto kLastPause = std::chrono::milliseconds(1000);
constexpr size_t kMaxWaitingBytes = 2 * kMaxFrameBytes;
constexpr size_t kMaxWaitingFrames = 4096;

} // namespace

/// The connection to one VM.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  PeerLink(asio::io_context& aContext,
           Endpoint aEndpoint,
           asio::ip::address aSource,
           std::shared_ptr<BodyBudget> aBudget,
           const PeerLinkHooks& aHooks)
    : context_(aContext)
    , endpoint_(std::move(aEndpoint))
    , source_(std::move(aSource))
    , budget_(std::move(aBudget))
    , hooks_(aHooks)
  {
  }

  const Endpoint& Remote() const { return endpoint_; }

  /// Sends a payload; a request that is passed on gives its number.
  void Send(std::string aPayload, std::optional<RequestId> aForward);

  void Forget(RequestId aId) { forwards_.erase(aId); }

  void Close()
  {
    if (connection_ != nullptr)
      connection_->Close();
  }

private:
  struct Waiting
  {
    std::string payload;
    std::optional<RequestId> forward;
  };

  asio::awaitable<void> Connect(std::shared_ptr<PeerLink> aSelf);
  void Connected(tcp::socket aSocket);
  void Unreachable();
  void Transmit(Waiting aWaiting);
  void Drop(const std::optional<RequestId>& aForward);
  void Closed(const std::string& aError);
  tl::expected<void, CodecError> Receive(const std::string& aPayload);

  asio::io_context& context_;
  Endpoint endpoint_;
  asio::ip::address source_;
  std::shared_ptr<BodyBudget> budget_;
  const PeerLinkHooks& hooks_;
  std::shared_ptr<FrameConnection> connection_;
  bool connecting_ = false;
  SteadyClock::time_point retryAt_;
  std::chrono::milliseconds pause_ = kFirstPause;
  std::deque<Waiting> waiting_; ///< Until the connection is established.
  size_t waitingBytes_ = 0;
  /// Requests without a reply, and whether a byte of each may have left.
  std::unordered_map<RequestId, bool> forwards_;
};

void
PeerLink::Send(std::string aPayload, std::optional<RequestId> aForward)
{
  if (aForward)
    forwards_[*aForward] = false;
  if (connection_ != nullptr) {
    Transmit({ .payload = std::move(aPayload), .forward = aForward });
    return;
  }
  const bool full =
    waiting_.size() >= kMaxWaitingFrames || waitingBytes_ + aPayload.size() > kMaxWaitingBytes;
  if (full || (!connecting_ && SteadyClock::now() < retryAt_)) {
    Drop(aForward);
    return;
  }
  waitingBytes_ += aPayload.size();
  waiting_.push_back({ .payload = std::move(aPayload), .forward = aForward });
  if (!connecting_) {
    connecting_ = true;
    asio::co_spawn(context_, Connect(shared_from_this()), asio::detached);
  }
}

asio::awaitable<void>
PeerLink::Connect([[maybe_unused]] std::shared_ptr<PeerLink> aSelf)
{
  const tcp::endpoint target = ToTcp(endpoint_);
  beast::tcp_stream stream(context_);
  error_code error = OpenBound(stream.socket(), target, source_);
  if (!error) {
    stream.expires_after(kConnectTimeout);
    std::tie(error) = co_await stream.async_connect(target, kAwaitTuple);
  }
  connecting_ = false;
  if (error)
    Unreachable();
  else
    Connected(stream.release_socket());
}

void
PeerLink::Connected(tcp::socket aSocket)
{
  pause_ = kFirstPause;
  FrameConnection::Hooks hooks;
  hooks.payload = [weak = weak_from_this()](const std::string& aPayload) {
    const auto self = weak.lock();
    return self == nullptr ? tl::expected<void, CodecError>() : self->Receive(aPayload);
  };
  hooks.closed = [weak = weak_from_this()](const std::string& aError) {
    if (const auto self = weak.lock())
      self->Closed(aError);
  };
  connection_ = std::make_shared<FrameConnection>(std::move(aSocket), std::move(hooks));
  connection_->Start();
  std::deque<Waiting> waiting;
  waiting.swap(waiting_);
  waitingBytes_ = 0;
  for (Waiting& item : waiting)
    Transmit(std::move(item));
}

void
PeerLink::Unreachable()
{
  retryAt_ = SteadyClock::now() + pause_;
  pause_ = std::min(pause_ * 2, kLastPause);
  hooks_.count("peer-connects-failed", Reason::PeerUnreachable);
  std::deque<Waiting> waiting;
  waiting.swap(waiting_);
  waitingBytes_ = 0;
  for (const Waiting& item : waiting)
    Drop(item.forward);
}

void
PeerLink::Transmit(Waiting aWaiting)
{
  const std::optional<RequestId> forward = aWaiting.forward;
  // Cancelled while it waited for the connection.
  if (forward && !forwards_.contains(*forward))
    return;
  FrameConnection::Frame frame{ .payload = std::move(aWaiting.payload) };
  if (forward) {
    frame.started = [weak = weak_from_this(), id = *forward] {
      const auto self = weak.lock();
      if (self == nullptr)
        return;
      const auto found = self->forwards_.find(id);
      if (found != self->forwards_.end())
        found->second = true;
    };
  }
  if (connection_ == nullptr || !connection_->Send(std::move(frame)))
    Drop(forward);
}

void
PeerLink::Drop(const std::optional<RequestId>& aForward)
{
  hooks_.count("peer-messages-dropped", Reason::PeerUnreachable);
  if (aForward && forwards_.erase(*aForward) > 0)
    hooks_.forwardFailed(*aForward, false);
}

void
PeerLink::Closed(const std::string& aError)
{
  if (!aError.empty()) {
    hooks_.count("malformed-frames", Reason::PeerFailed);
    Log(LogLevel::Warning,
        "net",
        "closed a link after a malformed frame",
        { { "peer", ToText(endpoint_) }, { "error", aError } });
  }
  connection_.reset();
  const auto forwards = std::move(forwards_);
  forwards_.clear();
  for (const auto& [id, sent] : forwards)
    hooks_.forwardFailed(id, sent);
}

tl::expected<void, CodecError>
PeerLink::Receive(const std::string& aPayload)
{
  auto envelope = DecodeStream(aPayload);
  if (!envelope)
    return tl::unexpected(envelope.error());
  auto* reply = std::get_if<ForwardReply>(&envelope->message);
  if (reply == nullptr)
    return tl::unexpected(CodecError{ "stream message: only forward replies are expected here" });
  if (forwards_.erase(reply->id) == 0)
    return {}; // cancelled
  AnswerPointer answer;
  if (reply->outcome == Outcome::Answered && !reply->content.empty()) {
    auto message = DecodeAnswerContent(reply->content);
    if (!message) {
      hooks_.forwardFailed(reply->id, true);
      return tl::unexpected(message.error());
    }
    const uint64_t bytes = message->body().size();
    budget_->Add(bytes);
    auto stored = std::make_shared<StoredAnswer>();
    stored->message = std::move(*message);
    stored->reservation = BodyReservation(budget_, bytes);
    answer = std::move(stored);
  }
  hooks_.forwardReply(reply->id, std::move(*reply), std::move(answer));
  return {};
}

PeerLinks::PeerLinks(asio::io_context& aContext,
                     VmId aSelf,
                     asio::ip::address aSource,
                     std::shared_ptr<BodyBudget> aBudget,
                     PeerLinkHooks aHooks)
  : context_(aContext)
  , self_(std::move(aSelf))
  , source_(std::move(aSource))
  , budget_(std::move(aBudget))
  , hooks_(std::move(aHooks))
{
}

PeerLinks::~PeerLinks() = default;

PeerLink&
PeerLinks::LinkTo(const Vm& aTo)
{
  std::shared_ptr<PeerLink>& link = links_[aTo.id];
  // A replaced VM may have another address.
  if (link != nullptr && link->Remote() != aTo.peers) {
    link->Close();
    link.reset();
  }
  if (link == nullptr)
    link = std::make_shared<PeerLink>(context_, aTo.peers, source_, budget_, hooks_);
  return *link;
}

void
PeerLinks::Send(const Vm& aTo, const StreamMessage& aMessage)
{
  LinkTo(aTo).Send(EncodeStream(self_, aMessage), std::nullopt);
}

void
PeerLinks::Forward(const Vm& aTo,
                   RequestId aId,
                   const RequestHead& aHead,
                   const RequestPointer& aRequest)
{
  const ForwardRequest message{
    .id = aId,
    .head = aHead,
    .timeLeft = std::max(aHead.deadline - ReadClocks().monotonic, Duration(0)),
    .content = EncodeContent(aRequest->message),
  };
  LinkTo(aTo).Send(EncodeStream(self_, message), aId);
}

void
PeerLinks::CancelForward(const Vm& aTo, RequestId aId)
{
  PeerLink& link = LinkTo(aTo);
  link.Forget(aId);
  link.Send(EncodeStream(self_, ForwardCancel{ .id = aId }), std::nullopt);
}

} // namespace dfm
