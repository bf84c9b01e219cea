#include "StubEngine.h"

#include <map>
#include <mutex>

namespace dfm {

namespace {

std::mutex sMutex;
std::map<VmId, StubPlan> sPlans;
std::map<std::pair<VmId, std::string>, int> sEvents;

} // namespace

void
SetStubPlan(const VmId& aVm, StubPlan aPlan)
{
  const std::scoped_lock lock(sMutex);
  sPlans[aVm] = std::move(aPlan);
}

int
StubEvents(const VmId& aVm, const std::string& aEvent)
{
  const std::scoped_lock lock(sMutex);
  return sEvents[{ aVm, aEvent }];
}

struct Engine::Impl
{
  EngineOptions options;
  EngineHooks hooks;
  StubPlan plan;
  std::map<AttemptId, RequestId> attempts;
  std::map<RequestId, RequestHead> requests;
  std::map<std::string, RequestId> answeredKeys;
  uint64_t nextAttempt = 1;
  bool stopping = false;
  bool stopped = false;

  void Event(const std::string& aEvent) const
  {
    const std::scoped_lock lock(sMutex);
    ++sEvents[{ options.self.id, aEvent }];
  }

  void Finish(RequestId aId, const Reply& aReply)
  {
    const auto request = requests.find(aId);
    if (request == requests.end())
      return;
    if (aReply.outcome == Outcome::Answered && request->second.order)
      answeredKeys.emplace(request->second.order->key, aId);
    requests.erase(request);
    hooks.reply(aId, aReply);
  }
};

Engine::Engine(EngineOptions aOptions, EngineHooks aHooks)
  : impl_(std::make_unique<Impl>())
{
  const std::scoped_lock lock(sMutex);
  impl_->plan = sPlans[aOptions.self.id];
  impl_->options = std::move(aOptions);
  impl_->hooks = std::move(aHooks);
}

Engine::~Engine() = default;

void
Engine::Start(Now)
{
  auto table = std::make_shared<RouteTable>();
  table->ready = true;
  table->keyPrefix = "b.x.1.";
  table->rows.push_back(
    { .service = ServiceId("lookup"),
      .entries = { { .vm = impl_->options.self.id, .endpoint = impl_->options.self.callers } } });
  impl_->hooks.publishRoutes(table);
  for (const Endpoint& seed : impl_->options.seeds)
    impl_->hooks.sendDatagram(seed, Probe{ .nonce = 1, .updates = {} });
}

void
Engine::OnTick(Now)
{
  if (!impl_->stopping || impl_->stopped || !impl_->requests.empty())
    return;
  impl_->stopped = true;
  impl_->hooks.stopped();
}

void
Engine::OnRequest(Now aNow, const RequestHead& aHead)
{
  const auto known =
    aHead.order ? impl_->answeredKeys.find(aHead.order->key) : impl_->answeredKeys.end();
  impl_->requests[aHead.id] = aHead;
  if (known != impl_->answeredKeys.end()) {
    impl_->Finish(aHead.id,
                  { .outcome = Outcome::Answered,
                    .source = AnswerSource::Remembered,
                    .remembered = known->second });
    return;
  }
  RequestHead head = aHead;
  if (head.deadline == TimePoint())
    head.deadline = aNow.monotonic + 20s;
  if (impl_->plan.peer && !aHead.forwardedBy) {
    impl_->hooks.forward(aHead.id, head, *impl_->plan.peer);
  } else if (impl_->plan.backend) {
    const AttemptId attempt{ impl_->nextAttempt++ };
    impl_->attempts[attempt] = aHead.id;
    impl_->hooks.startAttempt(attempt, aHead.id, *impl_->plan.backend, head.deadline);
  } else {
    impl_->Finish(aHead.id, { .reason = Reason::NoServer, .retryAfter = 1500ms });
  }
}

void
Engine::OnRequestCancelled(Now, RequestId aId)
{
  impl_->Event("cancelled");
  impl_->requests.erase(aId);
  for (const auto& [attempt, request] : impl_->attempts) {
    if (request == aId)
      impl_->hooks.cancelAttempt(attempt);
  }
}

void
Engine::OnAttemptEnded(Now, AttemptId aAttempt, const AttemptResult& aResult)
{
  const RequestId id = impl_->attempts[aAttempt];
  impl_->attempts.erase(aAttempt);
  if (aResult.end == AttemptEnd::Cancelled)
    impl_->Event("attempt-cancelled");
  Reply reply{ .outcome = Outcome::Unknown, .reason = Reason::ServerFailed };
  if (aResult.end == AttemptEnd::Answered)
    reply = { .outcome = Outcome::Answered, .source = AnswerSource::Attempt, .attempt = aAttempt };
  else if (aResult.end == AttemptEnd::ConnectFailed)
    reply = { .reason = Reason::ConnectFailed };
  else if (aResult.end == AttemptEnd::TimedOut)
    reply = { .outcome = Outcome::Unknown, .reason = Reason::ServerTimeout };
  else if (aResult.end == AttemptEnd::Crashed)
    reply = { .outcome = Outcome::Unknown, .reason = Reason::ServerCrashed };
  else if (aResult.end == AttemptEnd::Shed)
    reply = { .reason = Reason::ServerShed };
  impl_->Finish(id, reply);
}

void
Engine::OnForwardReply(Now, RequestId aId, const ForwardReply& aReply)
{
  Reply reply{ .outcome = aReply.outcome, .reason = aReply.reason };
  if (aReply.outcome == Outcome::Answered)
    reply.source = AnswerSource::Forward;
  reply.retryAfter = aReply.retryAfter;
  impl_->Finish(aId, reply);
}

void
Engine::OnForwardFailed(Now, RequestId aId, bool aSent)
{
  impl_->Finish(aId,
                { .outcome = aSent ? Outcome::Unknown : Outcome::NotRun,
                  .reason = aSent ? Reason::PeerFailed : Reason::PeerUnreachable });
}

void
Engine::OnStream(Now, const VmId&, const StreamMessage&)
{
  impl_->Event("stream");
}

void
Engine::OnDatagram(Now, const Endpoint& aFrom, const DatagramMessage& aMessage)
{
  impl_->Event("datagram");
  if (const auto* probe = std::get_if<Probe>(&aMessage))
    impl_->hooks.sendDatagram(aFrom, ProbeAck{ .nonce = probe->nonce, .updates = {} });
}

void
Engine::OnStoreResult(Now, StoreCallId, const StoreResult&)
{
}

void
Engine::OnVmList(Now, const std::optional<std::vector<PlatformVm>>&)
{
}

void
Engine::OnLoadReport(Now, const BackendId&, const std::optional<LoadReport>&)
{
}

void
Engine::BeginStop(Now)
{
  impl_->stopping = true;
}

EngineStatus
Engine::Status() const
{
  EngineStatus status;
  status.ready = true;
  status.requestsInFlight = static_cast<uint32_t>(impl_->requests.size());
  return status;
}

} // namespace dfm
