#include "dragonflymoor/Net/Control.h"

#include "dragonflymoor/Net/Clock.h"
#include "dragonflymoor/Support/Hash.h"

namespace dfm {

namespace {

constexpr auto kTickPeriod = std::chrono::milliseconds(20);
/// Time after its deadline for which the content of an order is kept when its caller is gone; also
/// covers the default deadlines of services, which only the engine knows.
constexpr Duration kGoneOrderTime = 60s;

} // namespace

void
KeptAnswers::Keep(RequestId aId, AnswerPointer aAnswer)
{
  const uint64_t bytes = aAnswer->message.body().size();
  if (!answers_.emplace(aId, std::move(aAnswer)).second)
    return;
  bytes_ += bytes;
  order_.push_back(aId);
  while (bytes_ > maxBytes_) {
    const RequestId oldest = order_.front();
    order_.pop_front();
    Forget(oldest);
  }
  // Without this, numbers of forgotten answers would pile up behind one that is never forgotten.
  if (order_.size() > 2 * answers_.size() + 16)
    std::erase_if(order_, [this](RequestId aKept) { return !answers_.contains(aKept); });
}

void
KeptAnswers::Forget(RequestId aId)
{
  const auto found = answers_.find(aId);
  if (found == answers_.end())
    return;
  bytes_ -= found->second->message.body().size();
  answers_.erase(found);
}

AnswerPointer
KeptAnswers::Find(RequestId aId) const
{
  const auto found = answers_.find(aId);
  return found == answers_.end() ? nullptr : found->second;
}

Control::Control(asio::io_context& aContext,
                 ControlOptions aOptions,
                 SharedState aShared,
                 Metrics& aMetrics,
                 std::function<void()> aStopped)
  : context_(aContext)
  , options_(std::move(aOptions))
  , shared_(std::move(aShared))
  , metrics_(aMetrics)
  , stopped_(std::move(aStopped))
  , timer_(aContext)
  , datagrams_(
      aContext,
      [this](const Endpoint& aFrom, const DatagramMessage& aMessage) {
        if (threads_ != nullptr)
          engine_->OnDatagram(ReadClocks(), aFrom, aMessage);
      },
      [this](std::string_view aName, Reason aReason) { metrics_.Count(aName, aReason); })
  , engine_(std::make_unique<Engine>(options_.engine, MakeHooks()))
  , kept_(options_.keptAnswerBytes)
{
}

Control::~Control() = default;

TrafficHooks
Control::HooksFor(size_t aThread)
{
  const auto post = [this](auto aFunction) { asio::post(context_, std::move(aFunction)); };
  const auto count = [this](std::string_view aName, Reason aReason) {
    metrics_.Count(aName, aReason);
  };
  TrafficHooks hooks;
  hooks.callers.request = [=, this](const std::shared_ptr<CallerExchange>& aExchange) {
    post([=, this] { OnCallerRequest(aThread, aExchange); });
  };
  hooks.callers.callerGone = [=, this](RequestId aId) { post([=, this] { OnCallerGone(aId); }); };
  hooks.callers.count = count;
  hooks.links.forwardReply = [=, this](RequestId aId, ForwardReply aReply, AnswerPointer aAnswer) {
    post([this, aId, reply = std::move(aReply), answer = std::move(aAnswer)] {
      OnForwardReply(aId, reply, answer);
    });
  };
  hooks.links.forwardFailed = [=, this](RequestId aId, bool aSent) {
    post([=, this] { OnForwardFailed(aId, aSent); });
  };
  hooks.links.count = count;
  hooks.peers.message = [=, this](VmId aFrom, StreamMessage aMessage) {
    post([this, from = std::move(aFrom), message = std::move(aMessage)] {
      engine_->OnStream(ReadClocks(), from, message);
    });
  };
  hooks.peers.request = [=, this](const std::shared_ptr<PeerExchange>& aExchange) {
    post([=, this] { OnPeerRequest(aThread, aExchange); });
  };
  hooks.peers.cancelled = [=, this](PeerConnectionId aConnection, RequestId aSenderId) {
    post([=, this] { OnPeerCancelled(aConnection, aSenderId); });
  };
  hooks.peers.closed = [=, this](PeerConnectionId aConnection) {
    post([=, this] { OnPeerClosed(aConnection); });
  };
  hooks.peers.count = count;
  return hooks;
}

EngineHooks
Control::MakeHooks()
{
  EngineHooks hooks;
  hooks.startAttempt =
    [this](AttemptId aId, RequestId aRequest, const BackendServer& aServer, TimePoint aDeadline) {
      StartAttempt(aId, aRequest, aServer, aDeadline);
    };
  hooks.cancelAttempt = [this](AttemptId aId) { CancelAttempt(aId); };
  hooks.forward = [this](RequestId aId, const RequestHead& aHead, const Vm& aTo) {
    Forward(aId, aHead, aTo);
  };
  hooks.cancelForward = [this](RequestId aId, const Vm& aTo) {
    TrafficThread& thread = *threads_->at(ThreadFor(aTo));
    thread.Post([&thread, aId, aTo] { thread.links.CancelForward(aTo, aId); });
  };
  hooks.reply = [this](RequestId aId, const dfm::Reply& aReply) { Reply(aId, aReply); };
  hooks.forgetAnswer = [this](RequestId aId) { kept_.Forget(aId); };
  hooks.sendStream = [this](const Vm& aTo, const StreamMessage& aMessage) {
    TrafficThread& thread = *threads_->at(ThreadFor(aTo));
    thread.Post([&thread, aTo, aMessage] { thread.links.Send(aTo, aMessage); });
  };
  hooks.sendDatagram = [this](const Endpoint& aTo, const DatagramMessage& aMessage) {
    datagrams_.Send(aTo, aMessage);
  };
  hooks.callStore = [this](const StoreCall& aCall) {
    TrafficThread& thread = *threads_->front();
    thread.Post([this, &thread, aCall] {
      thread.platform.Call(aCall, [this, id = aCall.id](StoreResult aResult) {
        asio::post(context_, [this, id, result = std::move(aResult)] {
          engine_->OnStoreResult(ReadClocks(), id, result);
        });
      });
    });
  };
  hooks.listVms = [this] {
    TrafficThread& thread = *threads_->front();
    thread.Post([this, &thread] {
      thread.platform.ListVms([this](std::optional<std::vector<PlatformVm>> aVms) {
        asio::post(context_,
                   [this, vms = std::move(aVms)] { engine_->OnVmList(ReadClocks(), vms); });
      });
    });
  };
  hooks.pollLoad = [this](const BackendServer& aServer) {
    TrafficThread& thread = *threads_->front();
    thread.Post([this, &thread, aServer] {
      thread.backends.PollLoad(
        aServer, [this, id = aServer.id](const std::optional<LoadReport>& aReport) {
          asio::post(context_, [=, this] { engine_->OnLoadReport(ReadClocks(), id, aReport); });
        });
    });
  };
  hooks.publishRoutes = [this](const std::shared_ptr<const RouteTable>& aTable) {
    PublishRoutes(*aTable);
  };
  hooks.stopped = [this] { asio::post(context_, stopped_); };
  hooks.count = [this](std::string_view aName, Reason aReason) { metrics_.Count(aName, aReason); };
  return hooks;
}

void
Control::Start(const Threads& aThreads)
{
  threads_ = &aThreads;
  engine_->Start(ReadClocks());
  timer_.expires_after(kTickPeriod);
  Tick();
}

void
Control::Tick()
{
  const Now now = ReadClocks();
  lastTick_.store(now.monotonic.time_since_epoch().count());
  engine_->OnTick(now);
  DropGoneOrders(now.monotonic);
  inFlight_.store(static_cast<uint32_t>(requests_.size()));
  // Counted from the last expiry, so that the period does not grow by the time of each tick; after
  // a long delay the missed ticks are left out.
  const auto next = timer_.expiry() + kTickPeriod;
  timer_.expires_at(std::max(next, std::chrono::steady_clock::now()));
  timer_.async_wait([this](error_code aError) {
    if (!aError)
      Tick();
  });
}

void
Control::BeginStop()
{
  stopping_.store(true);
  shared_.callers->stopping.store(true);
  engine_->BeginStop(ReadClocks());
}

void
Control::OnCallerRequest(size_t aThread, const std::shared_ptr<CallerExchange>& aExchange)
{
  const RequestHead& head = aExchange->Head();
  Request request{ .content = aExchange->Request(), .thread = aThread };
  request.order = head.order.has_value();
  request.deadline = head.deadline;
  request.finish = [aExchange](FinalAnswer aAnswer) { aExchange->Finish(std::move(aAnswer)); };
  requests_.emplace(head.id, std::move(request));
  engine_->OnRequest(ReadClocks(), head);
}

void
Control::OnPeerRequest(size_t aThread, const std::shared_ptr<PeerExchange>& aExchange)
{
  const std::pair key(aExchange->Connection(), aExchange->SenderId());
  // A number that is used twice comes from a faulty peer; its first use stays in force.
  if (peerRequests_.contains(key)) {
    metrics_.Count("requests-refused", Reason::BadRequest);
    return;
  }
  RequestHead head = aExchange->Head();
  head.id = { shared_.callers->nextRequest.fetch_add(1) };
  Request request{ .content = aExchange->Request(), .thread = aThread };
  request.order = head.order.has_value();
  request.deadline = head.deadline;
  request.finish = [aExchange](FinalAnswer aAnswer) { aExchange->Finish(std::move(aAnswer)); };
  request.peer = key;
  peerRequests_[key] = head.id;
  requests_.emplace(head.id, std::move(request));
  engine_->OnRequest(ReadClocks(), head);
}

void
Control::OnCallerGone(RequestId aId)
{
  metrics_.Count("requests-cancelled", Reason::CallerGone);
  Cancel(aId);
}

void
Control::OnPeerCancelled(PeerConnectionId aConnection, RequestId aSenderId)
{
  const auto found = peerRequests_.find({ aConnection, aSenderId });
  if (found != peerRequests_.end())
    Cancel(RequestId(found->second));
}

void
Control::OnPeerClosed(PeerConnectionId aConnection)
{
  std::vector<RequestId> ids;
  for (auto entry = peerRequests_.lower_bound({ aConnection, RequestId{ 0 } });
       entry != peerRequests_.end() && entry->first.first == aConnection;
       ++entry)
    ids.push_back(entry->second);
  for (const RequestId id : ids)
    Cancel(id);
}

void
Control::Cancel(RequestId aId)
{
  const auto found = requests_.find(aId);
  // The reply was on its way already.
  if (found == requests_.end() || !found->second.finish)
    return;
  if (found->second.peer)
    peerRequests_.erase(*found->second.peer);
  if (found->second.order) {
    found->second.finish = nullptr;
    const TimePoint until = std::max(found->second.deadline, ReadClocks().monotonic);
    goneOrders_.emplace(until + kGoneOrderTime, aId);
  } else {
    requests_.erase(found);
  }
  engine_->OnRequestCancelled(ReadClocks(), aId);
}

void
Control::DropGoneOrders(TimePoint aNow)
{
  while (!goneOrders_.empty() && goneOrders_.begin()->first < aNow) {
    requests_.erase(goneOrders_.begin()->second);
    goneOrders_.erase(goneOrders_.begin());
  }
}

void
Control::OnAttemptEnded(AttemptId aId, const AttemptOutcome& aOutcome)
{
  const auto attempt = attempts_.find(aId);
  if (attempt == attempts_.end())
    return;
  const RequestId id = attempt->second.request;
  if (aOutcome.detail != Reason::None)
    metrics_.Count("attempts-failed", aOutcome.detail);
  if (aOutcome.answer != nullptr) {
    const auto request = requests_.find(id);
    if (request != requests_.end())
      request->second.attemptAnswers[aId] = aOutcome.answer;
  }
  attempts_.erase(attempt);
  engine_->OnAttemptEnded(ReadClocks(), aId, aOutcome.result);
}

void
Control::OnForwardReply(RequestId aId, const ForwardReply& aReply, AnswerPointer aAnswer)
{
  const auto found = requests_.find(aId);
  if (found != requests_.end())
    found->second.forwardAnswer = std::move(aAnswer);
  engine_->OnForwardReply(ReadClocks(), aId, aReply);
}

void
Control::OnForwardFailed(RequestId aId, bool aSent)
{
  engine_->OnForwardFailed(ReadClocks(), aId, aSent);
}

void
Control::StartAttempt(AttemptId aId,
                      RequestId aRequest,
                      const BackendServer& aServer,
                      TimePoint aDeadline)
{
  const auto found = requests_.find(aRequest);
  const size_t index = found == requests_.end() ? 0 : found->second.thread;
  attempts_[aId] = { .request = aRequest, .thread = index };
  if (found == requests_.end()) {
    // The content is gone with its caller, so that nothing can be sent.
    AttemptOutcome outcome;
    outcome.result.end = AttemptEnd::ConnectFailed;
    outcome.detail = Reason::CallerGone;
    asio::post(context_, [this, aId, outcome] { OnAttemptEnded(aId, outcome); });
    return;
  }
  TrafficThread& thread = *threads_->at(index);
  Attempt attempt{ .id = aId, .request = found->second.content, .server = aServer };
  attempt.requestId = options_.requestIdPrefix + std::to_string(aRequest.value);
  attempt.deadline = aDeadline;
  attempt.freshConnection = found->second.order;
  thread.Post([this, &thread, aId, attempt = std::move(attempt)] {
    thread.backends.Start(attempt, [this, aId](AttemptOutcome aOutcome) {
      asio::post(context_,
                 [this, aId, outcome = std::move(aOutcome)] { OnAttemptEnded(aId, outcome); });
    });
  });
}

void
Control::CancelAttempt(AttemptId aId)
{
  const auto found = attempts_.find(aId);
  if (found == attempts_.end())
    return;
  TrafficThread& thread = *threads_->at(found->second.thread);
  thread.Post([&thread, aId] { thread.backends.Cancel(aId); });
}

void
Control::Forward(RequestId aId, const RequestHead& aHead, const Vm& aTo)
{
  const auto found = requests_.find(aId);
  if (found == requests_.end()) {
    asio::post(context_, [this, aId] { OnForwardFailed(aId, false); });
    return;
  }
  RequestHead head = aHead;
  head.forwardedBy = options_.engine.self.id;
  head.forwardedFrom = options_.engine.self.region;
  TrafficThread& thread = *threads_->at(ThreadFor(aTo));
  thread.Post([&thread, aId, aTo, head = std::move(head), content = found->second.content] {
    thread.links.Forward(aTo, aId, head, content);
  });
}

AnswerPointer
Control::AnswerFor(const Request& aRequest, const dfm::Reply& aReply) const
{
  switch (aReply.source) {
    case AnswerSource::None:
      return nullptr;
    case AnswerSource::Attempt: {
      const auto found = aRequest.attemptAnswers.find(aReply.attempt);
      return found == aRequest.attemptAnswers.end() ? nullptr : found->second;
    }
    case AnswerSource::Forward:
      return aRequest.forwardAnswer;
    case AnswerSource::Remembered:
      return kept_.Find(aReply.remembered);
  }
  return nullptr;
}

void
Control::Reply(RequestId aId, const dfm::Reply& aReply)
{
  const auto found = requests_.find(aId);
  if (found == requests_.end())
    return;
  Request request = std::move(found->second);
  requests_.erase(found);
  if (request.peer)
    peerRequests_.erase(*request.peer);
  FinalAnswer answer{ .outcome = aReply.outcome, .reason = aReply.reason };
  answer.answer = AnswerFor(request, aReply);
  answer.retryAfter = aReply.retryAfter;
  answer.owner = aReply.owner;
  const bool own = aReply.source == AnswerSource::Attempt || aReply.source == AnswerSource::Forward;
  if (request.order && own && answer.answer != nullptr)
    kept_.Keep(aId, answer.answer);
  if (aReply.withheld) {
    answer.outcome = Outcome::Unknown;
    answer.reason = Reason::LinkBudget;
    answer.answer = nullptr;
  }
  metrics_.Count(std::string("replies-") + std::string(ToString(answer.outcome)), answer.reason);
  // An order whose caller is gone ends here too, so that its answer is kept for repeats.
  if (request.finish)
    request.finish(std::move(answer));
}

void
Control::PublishRoutes(const RouteTable& aTable)
{
  ready_.store(aTable.ready);
  const auto answers = RouteAnswers::From(aTable);
  for (const auto& thread : *threads_)
    thread->Post([&server = thread->callers, answers] { server.SetRoutes(answers); });
}

size_t
Control::ThreadFor(const Vm& aVm) const
{
  return HashBytes(aVm.id.Value()) % threads_->size();
}

} // namespace dfm
