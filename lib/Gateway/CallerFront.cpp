#include "CallerState.h"
#include "dragonflymoor/Gateway/Identity.h"
#include "dragonflymoor/Support/Hash.h"
#include "dragonflymoor/Support/Log.h"
#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace dfm {

namespace {

constexpr std::string_view kComponent = "caller";

/// Hop-by-hop headers, besides those that the "Connection" header names.
constexpr std::array kConnectionHeaders{
  http::field::connection, http::field::keep_alive, http::field::proxy_connection,
  http::field::te,         http::field::trailer,    http::field::transfer_encoding,
  http::field::upgrade,
};

std::string_view
ToStringView(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

void
RemoveConnectionHeaders(http::fields& aFields)
{
  const std::string connectionTokens(ToStringView(aFields[http::field::connection]));
  for (const auto name : kConnectionHeaders)
    aFields.erase(name);
  for (const auto& token : http::token_list(connectionTokens)) {
    // A caller must not remove the headers that delimit and address the message.
    if (!beast::iequals(token, "content-length") && !beast::iequals(token, "host"))
      aFields.erase(token);
  }
}

std::string
WorkspaceName(const Workspace* aWorkspace)
{
  return aWorkspace == nullptr ? "-" : aWorkspace->id.Value();
}

std::string_view
ToString(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::Deliver:
      return "deliver";
    case Verdict::Retry:
      return "retry";
    case Verdict::Refuse:
      return "refuse";
    case Verdict::Fail:
      return "fail";
  }
  return "unknown";
}

} // namespace

CallerFront::CallerFront(asio::io_context& aContext,
                         const Protocol& aProtocol,
                         Dispatcher& aDispatcher,
                         InstanceClient& aInstances,
                         Metrics& aMetrics,
                         CallerFrontOptions aOptions)
  : context_(aContext)
  , protocol_(aProtocol)
  , dispatcher_(aDispatcher)
  , instances_(aInstances)
  , metrics_(aMetrics)
  , options_(std::move(aOptions))
  , view_(std::make_shared<FleetView>())
{
}

CallerFront::~CallerFront() = default;

std::shared_ptr<CallerFront::Answer>
CallerFront::MakeOwnAnswer(http::status aStatus,
                           std::string_view aReason,
                           const Request& aRequest) const
{
  auto answer = std::make_shared<Answer>(aStatus, 11);
  answer->set(http::field::content_type, "text/plain");
  answer->body() = fmt::format("{}\n", aReason);
  answer->prepare_payload();
  metrics_.Count(fmt::format("own-answers-{}", static_cast<unsigned>(aStatus)));
  Log(LogLevel::Info,
      kComponent,
      "own answer",
      { { "request", aRequest.head.requestId },
        { "status", std::to_string(static_cast<unsigned>(aStatus)) },
        { "reason", std::string(aReason) },
        { "manifest",
          std::to_string(aRequest.routes == nullptr ? 0 : aRequest.routes->GetManifest().version) },
        { "after_ms",
          fmt::format("{:.1f}", ToMilliseconds(ReadClocks().monotonic - aRequest.arrivalTime)) } });
  return answer;
}

std::shared_ptr<CallerFront::Answer>
CallerFront::MakeUnavailableAnswer(std::string_view aReason, const Request& aRequest)
{
  auto answer = MakeOwnAnswer(http::status::service_unavailable, aReason, aRequest);
  answer->set(http::field::retry_after, fmt::format("{:.2f}", ToSeconds(dispatcher_.RetryAfter())));
  return answer;
}

asio::awaitable<std::shared_ptr<CallerFront::Answer>>
CallerFront::ProcessRequest(const ConnectionPtr& aConnection, const RequestPtr& aRequest)
{
  Request& request = *aRequest;
  request.ticket = nextTicket_++;
  requests_[request.ticket] = aRequest;
  request.head = protocol_.readCallerHeaders(request.message);
  request.routes = view_->routes;
  metrics_.Count("requests");
  if (request.routes == nullptr)
    co_return MakeUnavailableAnswer("no manifest is known", request);
  const std::string_view target = ToStringView(request.message.target());
  request.route = request.routes->Find(ToStringView(request.message[http::field::host]),
                                       target.substr(0, target.find('?')));
  if (request.route == nullptr)
    co_return MakeOwnAnswer(http::status::not_found, "no route", request);
  const CallerIdentity identity =
    IdentifyCaller(*request.routes, *request.route, request.head.credential);
  // The key is not needed any more and must not reach a log or an instance.
  request.head.credential = {};
  if (identity.verdict == CallerIdentity::Verdict::Unknown) {
    metrics_.Count("callers-unknown");
    auto answer = MakeOwnAnswer(http::status::unauthorized, "unknown key", request);
    answer->set(http::field::www_authenticate, protocol_.keyScheme);
    co_return answer;
  }
  if (identity.verdict == CallerIdentity::Verdict::Unavailable) {
    metrics_.Count("requests-of-invalid-configuration");
    co_return MakeUnavailableAnswer("configuration is invalid", request);
  }
  request.workspace = identity.workspace;
  request.deadline = request.arrivalTime + request.route->timeout;
  if (request.head.timeout)
    request.deadline = std::min(request.deadline, request.arrivalTime + *request.head.timeout);
  WatchForCallerClose(aConnection, aRequest);
  co_return co_await DispatchRequest(aRequest);
}

void
CallerFront::PrepareMessage(Request& aRequest) const
{
  RemoveConnectionHeaders(aRequest.message);
  aRequest.message.erase(http::field::expect);
  if (aRequest.routes->GetManifest().needsKeys)
    protocol_.writeIdentity(aRequest.message,
                            aRequest.workspace == nullptr ? nullptr : &aRequest.workspace->id);
  else
    protocol_.removeWorkspace(aRequest.message);
  const SegmentedBytes& body = *aRequest.message.body();
  if (aRequest.message.has_content_length() || !body.Empty())
    aRequest.message.content_length(body.Size());
  aRequest.message.version(11);
}

RequestSpec
CallerFront::MakeSpec(const Request& aRequest)
{
  const SegmentedBytes& body = *aRequest.message.body();
  uint64_t bodyHash = HashBytes({});
  for (size_t i = 0; i < body.Segments().size(); ++i)
    bodyHash = HashBytes(body.Segments()[i], i == 0 ? 0 : bodyHash);
  const std::string fingerprintInput =
    fmt::format("{} {} {} {} {}",
                ToStringView(aRequest.message.method_string()),
                ToStringView(aRequest.message[http::field::host]),
                ToStringView(aRequest.message.target()),
                aRequest.callerAddress,
                bodyHash);
  RequestSpec spec{ .routes = aRequest.routes,
                    .route = aRequest.route,
                    .workspace = aRequest.workspace,
                    .arrived = aRequest.arrivalTime,
                    .deadline = aRequest.deadline,
                    .fingerprint = HashBytes(fingerprintInput) };
  if (aRequest.head.affinityKey)
    spec.affinity = HashBytes(*aRequest.head.affinityKey);
  return spec;
}

asio::awaitable<std::shared_ptr<CallerFront::Answer>>
CallerFront::DispatchRequest(const RequestPtr& aRequest)
{
  Request& request = *aRequest;
  PrepareMessage(request);
  dispatcher_.Submit(ReadClocks().monotonic, request.ticket, MakeSpec(request));

  for (;;) {
    if (!request.attempt && !request.refusal && !request.callerGone) {
      request.wakeTimer.expires_at(asio::steady_timer::time_point::max());
      co_await request.wakeTimer.async_wait(kAwaitTuple);
      continue;
    }
    if (request.callerGone)
      co_return nullptr;
    if (request.refusal) {
      LogRefusal(request);
      const auto status = request.refusal->reason == RefusalReason::Quota
                            ? http::status::too_many_requests
                            : http::status::service_unavailable;
      auto answer = MakeOwnAnswer(status, dfm::ToString(request.refusal->reason), request);
      answer->set(http::field::retry_after,
                  fmt::format("{:.2f}", ToSeconds(request.refusal->retryAfter)));
      co_return answer;
    }
    const InstanceAttempt attempt = *request.attempt;
    request.attempt.reset();
    const InstanceExchangeResult result = co_await RunAttempt(aRequest, attempt);
    if (request.callerGone)
      co_return nullptr;
    const Verdict verdict =
      dispatcher_.OnAttemptEnd(ReadClocks().monotonic, request.ticket, result.report);
    LogAttempt(request, attempt, result, verdict);
    switch (verdict) {
      case Verdict::Retry:
        metrics_.Count("retries");
        continue;
      case Verdict::Deliver: {
        RemoveConnectionHeaders(*result.answer);
        result.answer->version(11);
        const bool bodyless = request.message.method() == http::verb::head;
        if (!bodyless)
          result.answer->prepare_payload();
        request.answerMemory = result.memory;
        co_return result.answer;
      }
      case Verdict::Refuse: {
        auto answer =
          MakeOwnAnswer(http::status::service_unavailable, "refused by the instance", request);
        const Duration delay =
          dispatcher_.OnRefusedCaller(ReadClocks().monotonic,
                                      attempt.service,
                                      PriorityOf(*request.route, request.workspace),
                                      request.deadline);
        answer->set(http::field::retry_after, fmt::format("{:.2f}", ToSeconds(delay)));
        co_return answer;
      }
      case Verdict::Fail: {
        const bool timedOut = result.report.kind == AttemptEndReport::Kind::TimedOut;
        co_return MakeOwnAnswer(timedOut ? http::status::gateway_timeout
                                         : http::status::bad_gateway,
                                dfm::ToString(result.report.kind),
                                request);
      }
    }
  }
}

asio::awaitable<InstanceExchangeResult>
CallerFront::RunAttempt(const RequestPtr& aRequest, const InstanceAttempt& aAttempt)
{
  // Each attempt has its own headers, as the write of the previous attempt may not have ended. All
  // share the body.
  const auto message = std::make_shared<InstanceRequest>(aRequest->message);
  aRequest->control = std::make_shared<ExchangeControl>();
  InstanceExchangeResult result =
    co_await instances_.SendAttempt(aAttempt, message, aRequest->head.requestId, aRequest->control);
  aRequest->control.reset();
  co_return result;
}

void
CallerFront::LogAttempt(const Request& aRequest,
                        const InstanceAttempt& aAttempt,
                        const InstanceExchangeResult& aResult,
                        Verdict aVerdict) const
{
  metrics_.Count(fmt::format("attempts-{}", dfm::ToString(aResult.report.kind)));
  metrics_.Observe(
    "attempt", "service", aAttempt.service.Value(), ToSeconds(aResult.report.latency));
  metrics_.Observe("slot_wait", "service", aAttempt.service.Value(), ToSeconds(aAttempt.waited));
  Log(LogLevel::Info,
      kComponent,
      "attempt",
      { { "request", aRequest.head.requestId },
        { "route", aRequest.route->name },
        { "workspace", WorkspaceName(aRequest.workspace) },
        { "service", aAttempt.service.Value() },
        { "instance", aAttempt.instance.Value() },
        { "number", std::to_string(aAttempt.number) },
        { "key", aRequest.head.affinityKey.value_or("-") },
        { "manifest", std::to_string(aRequest.routes->GetManifest().version) },
        { "instances_revision", std::to_string(view_->instancesRevision.number) },
        { "store_epoch", std::to_string(view_->instancesRevision.epoch) },
        { "own", std::to_string(aAttempt.ownInFlight) },
        { "busy", std::to_string(aAttempt.knownInFlight) },
        { "slots", std::to_string(aAttempt.slots) },
        { "limit", std::to_string(aAttempt.limit) },
        { "spilled", aAttempt.spilled ? "1" : "0" },
        { "waited_ms", fmt::format("{:.1f}", ToMilliseconds(aAttempt.waited)) },
        { "latency_ms", fmt::format("{:.1f}", ToMilliseconds(aResult.report.latency)) },
        { "reused", aResult.reused ? "1" : "0" },
        { "end", std::string(dfm::ToString(aResult.report.kind)) },
        { "status", std::to_string(aResult.report.status) },
        { "error", aResult.error },
        { "verdict", std::string(ToString(aVerdict)) } });
}

void
CallerFront::LogRefusal(const Request& aRequest) const
{
  const RequestRefusal& refusal = *aRequest.refusal;
  metrics_.Count(fmt::format("refusals-{}", dfm::ToString(refusal.reason)));
  if (refusal.quota) {
    Log(LogLevel::Info,
        kComponent,
        "quota used up",
        { { "request", aRequest.head.requestId },
          { "route", aRequest.route->name },
          { "workspace", WorkspaceName(aRequest.workspace) },
          { "per_s", fmt::format("{}", aRequest.workspace->requestsPerSecond) },
          { "demand_per_s", fmt::format("{:.1f}", refusal.quota->demand) },
          { "admitted_part", fmt::format("{:.2f}", refusal.quota->part) },
          { "vms_heard", std::to_string(refusal.quota->heardVms) },
          { "vms_known", std::to_string(refusal.quota->knownVms) },
          { "retry_after_ms", fmt::format("{:.1f}", ToMilliseconds(refusal.retryAfter)) } });
    return;
  }
  Log(LogLevel::Info,
      kComponent,
      "refused",
      { { "request", aRequest.head.requestId },
        { "route", aRequest.route->name },
        { "workspace", WorkspaceName(aRequest.workspace) },
        { "service", refusal.service.Value() },
        { "reason", std::string(dfm::ToString(refusal.reason)) },
        { "manifest", std::to_string(aRequest.routes->GetManifest().version) },
        { "instances_revision", std::to_string(view_->instancesRevision.number) },
        { "store_epoch", std::to_string(view_->instancesRevision.epoch) },
        { "instances", std::to_string(refusal.instances) },
        { "slots", std::to_string(refusal.slots) },
        { "busy", std::to_string(refusal.knownInFlight) },
        { "waiting", std::to_string(refusal.waiting) },
        { "waited_ms", fmt::format("{:.1f}", ToMilliseconds(refusal.waited)) },
        { "retry_after_ms", fmt::format("{:.1f}", ToMilliseconds(refusal.retryAfter)) } });
}

void
CallerFront::StartAttempt(const InstanceAttempt& aAttempt)
{
  const auto found = requests_.find(aAttempt.ticket);
  if (found == requests_.end())
    return;
  found->second->attempt = aAttempt;
  found->second->wakeTimer.cancel();
}

void
CallerFront::RefuseRequest(Ticket aTicket, const RequestRefusal& aRefusal)
{
  const auto found = requests_.find(aTicket);
  if (found == requests_.end())
    return;
  found->second->refusal = aRefusal;
  found->second->wakeTimer.cancel();
}

void
CallerFront::AbandonAttempt(Ticket aTicket)
{
  const auto found = requests_.find(aTicket);
  if (found != requests_.end() && found->second->control != nullptr)
    found->second->control->Close(ExchangeControl::CloseReason::Abandoned);
}

} // namespace dfm
