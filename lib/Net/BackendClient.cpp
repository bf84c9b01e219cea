#include "dragonflymoor/Net/BackendClient.h"

#include "dragonflymoor/Net/Clock.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace dfm {

namespace {

namespace json = boost::json;

/// Connecting takes about a round trip; a server that needs longer than this is as good as down.
constexpr auto kConnectTimeout = 1s;
constexpr auto kLoadTimeout = std::chrono::milliseconds(1000);
/// The check whether a server's process is gone delays the report of a failure.
constexpr auto kCrashCheckTimeout = std::chrono::milliseconds(500);

AttemptOutcome
FailedWith(AttemptEnd aEnd, Reason aDetail)
{
  AttemptOutcome outcome;
  outcome.result.end = aEnd;
  outcome.detail = aDetail;
  return outcome;
}

http::request_header<>
HeaderFor(const Attempt& aAttempt, Duration aTimeLeft)
{
  http::request_header<> header = aAttempt.request->message.base();
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(aTimeLeft).count();
  header.set(http::field::host, ToText(aAttempt.server.endpoint));
  header.set("Dfm-Request-Id", aAttempt.requestId);
  header.set("Dfm-Deadline-Ms", std::to_string(std::max<int64_t>(left, 1)));
  return header;
}

bool
IsShed(const HttpAnswer& aAnswer)
{
  const auto shed = aAnswer.find("Dfm-Shed");
  return aAnswer.result() == http::status::service_unavailable && shed != aAnswer.end() &&
         shed->value() == "1";
}

template<typename T>
bool
ReadNumber(const json::object& aObject, std::string_view aField, T& aOut)
{
  const json::value* value = aObject.if_contains(aField);
  if (value == nullptr)
    return false;
  boost::system::error_code error;
  aOut = value->to_number<T>(error);
  return !error;
}

bool
ReadFlag(const json::object& aObject, std::string_view aField, bool& aOut)
{
  const json::value* value = aObject.if_contains(aField);
  if (value == nullptr || !value->is_bool())
    return false;
  aOut = value->as_bool();
  return true;
}

} // namespace

void
ProcessIdentities::Set(const BackendId& aBackend, std::string aProcess)
{
  const std::scoped_lock lock(mutex_);
  processes_[aBackend] = std::move(aProcess);
}

std::string
ProcessIdentities::Of(const BackendId& aBackend) const
{
  const std::scoped_lock lock(mutex_);
  const auto found = processes_.find(aBackend);
  return found == processes_.end() ? std::string() : found->second;
}

std::optional<ServerLoad>
ParseLoad(std::string_view aJson)
{
  boost::system::error_code error;
  const json::value value = json::parse(aJson, error);
  const json::object* object = error ? nullptr : value.if_object();
  if (object == nullptr)
    return std::nullopt;
  ServerLoad load;
  const bool valid = ReadNumber(*object, "inFlight", load.report.inFlight) &&
                     ReadNumber(*object, "slots", load.report.slots) &&
                     ReadFlag(*object, "healthy", load.report.healthy) &&
                     ReadFlag(*object, "shedding", load.report.shedding) &&
                     ReadFlag(*object, "draining", load.report.draining);
  if (!valid)
    return std::nullopt;
  const json::value* process = object->if_contains("process");
  if (process != nullptr && process->is_string())
    load.process = std::string(process->as_string());
  return load;
}

BackendClient::BackendClient(HttpPool& aPool,
                             std::shared_ptr<BodyBudget> aBudget,
                             std::shared_ptr<ProcessIdentities> aProcesses)
  : pool_(aPool)
  , budget_(std::move(aBudget))
  , processes_(std::move(aProcesses))
{
}

void
BackendClient::Start(Attempt aAttempt, Ended aEnded)
{
  auto running = std::make_shared<Running>();
  running_[aAttempt.id] = running;
  asio::co_spawn(pool_.Context(),
                 Run(std::move(aAttempt), std::move(running), std::move(aEnded)),
                 asio::detached);
}

void
BackendClient::Cancel(AttemptId aId)
{
  const auto found = running_.find(aId);
  if (found == running_.end())
    return;
  found->second->cancelled = true;
  if (found->second->connection != nullptr)
    ResetConnection(found->second->connection->stream.socket());
}

asio::awaitable<void>
BackendClient::Run(Attempt aAttempt, std::shared_ptr<Running> aRunning, Ended aEnded)
{
  const TimePoint start = ReadClocks().monotonic;
  AttemptOutcome outcome;
  if (aRunning->cancelled)
    outcome = FailedWith(AttemptEnd::Cancelled, Reason::None);
  else
    outcome = co_await Try(aAttempt, *aRunning);
  // A complete answer counts even when the cancellation came at the same time.
  if (aRunning->cancelled && outcome.result.end != AttemptEnd::Answered)
    outcome = FailedWith(AttemptEnd::Cancelled, Reason::None);
  outcome.result.elapsed = ReadClocks().monotonic - start;
  running_.erase(aAttempt.id);
  aEnded(std::move(outcome));
}

asio::awaitable<AttemptOutcome>
BackendClient::Try(const Attempt& aAttempt, Running& aRunning)
{
  const Duration timeLeft = aAttempt.deadline - ReadClocks().monotonic;
  const SteadyTime now = std::chrono::steady_clock::now();
  const SteadyTime deadline = now + std::max(timeLeft, Duration(0));
  const std::string process = processes_->Of(aAttempt.server.id);

  if (!aAttempt.freshConnection)
    aRunning.connection = pool_.TakeIdle(aAttempt.server.endpoint);
  if (aRunning.connection == nullptr) {
    aRunning.connection = pool_.Create();
    const error_code error = co_await pool_.Connect(
      aRunning.connection, aAttempt.server.endpoint, std::min(deadline, now + kConnectTimeout));
    if (error || aRunning.cancelled)
      co_return FailedWith(AttemptEnd::ConnectFailed, Reason::ConnectFailed);
  }
  ExchangeResult exchange =
    co_await Exchange(aRunning.connection,
                      HeaderFor(aAttempt, aAttempt.deadline - ReadClocks().monotonic),
                      aAttempt.request->message.body(),
                      deadline);
  if (exchange.reusable && !aRunning.cancelled)
    pool_.Release(aAttempt.server.endpoint, aRunning.connection);
  else if (exchange.answer)
    aRunning.connection->stream.close();
  else
    ResetConnection(aRunning.connection->stream.socket());

  AttemptOutcome outcome = Classify(exchange);
  const bool mayHaveCrashed = outcome.result.end == AttemptEnd::Failed && !exchange.answerStarted;
  if (mayHaveCrashed && !aRunning.cancelled) {
    const bool gone = co_await ProcessIsGone(aAttempt.server, process);
    if (gone)
      outcome = FailedWith(AttemptEnd::Crashed, Reason::ServerCrashed);
  }
  co_return outcome;
}

AttemptOutcome
BackendClient::Classify(ExchangeResult& aExchange) const
{
  if (!aExchange.answer) {
    if (aExchange.error == beast::error::timeout)
      return FailedWith(AttemptEnd::TimedOut, Reason::ServerTimeout);
    if (aExchange.bytesSent == 0)
      return FailedWith(AttemptEnd::ConnectFailed, Reason::ConnectFailed);
    if (aExchange.error == http::error::body_limit)
      return FailedWith(AttemptEnd::Failed, Reason::AnswerTooLarge);
    return FailedWith(AttemptEnd::Failed,
                      aExchange.answerStarted ? Reason::TruncatedAnswer : Reason::ServerFailed);
  }
  if (IsShed(*aExchange.answer))
    return FailedWith(AttemptEnd::Shed, Reason::ServerShed);

  auto answer = std::make_shared<StoredAnswer>();
  answer->message = std::move(*aExchange.answer);
  RemoveHopByHop(answer->message);
  const uint64_t bytes = answer->message.body().size();
  budget_->Add(bytes);
  answer->reservation = BodyReservation(budget_, bytes);
  AttemptOutcome outcome;
  outcome.result.end = AttemptEnd::Answered;
  outcome.result.status = static_cast<int>(answer->message.result_int());
  outcome.result.answerBytes = bytes;
  outcome.answer = std::move(answer);
  return outcome;
}

asio::awaitable<bool>
BackendClient::ProcessIsGone(BackendServer aServer, std::string aProcessBefore)
{
  const SteadyTime deadline = std::chrono::steady_clock::now() + kCrashCheckTimeout;
  HttpConnectionPointer connection = pool_.Create();
  const error_code error = co_await pool_.Connect(connection, aServer.endpoint, deadline);
  if (error)
    co_return error == asio::error::connection_refused;
  if (aProcessBefore.empty())
    co_return false;
  HttpRequest request(http::verb::get, "/load", 11);
  request.set(http::field::host, ToText(aServer.endpoint));
  ExchangeResult result = co_await Exchange(connection, request.base(), {}, deadline);
  if (!result.answer)
    co_return false;
  const auto load = ParseLoad(result.answer->body());
  co_return load && !load->process.empty() && load->process != aProcessBefore;
}

void
BackendClient::PollLoad(BackendServer aServer, std::function<void(std::optional<LoadReport>)> aDone)
{
  asio::co_spawn(
    pool_.Context(),
    FetchLoad(std::move(aServer)),
    [done = std::move(aDone)](const std::exception_ptr& aFault, std::optional<LoadReport> aReport) {
      done(aFault ? std::nullopt : aReport);
    });
}

asio::awaitable<std::optional<LoadReport>>
BackendClient::FetchLoad(BackendServer aServer)
{
  HttpRequest request(http::verb::get, "/load", 11);
  const auto answer = co_await Fetch(pool_, aServer.endpoint, std::move(request), kLoadTimeout);
  if (!answer || answer->result() != http::status::ok)
    co_return std::nullopt;
  const auto load = ParseLoad(answer->body());
  if (!load)
    co_return std::nullopt;
  processes_->Set(aServer.id, load->process);
  co_return load->report;
}

} // namespace dfm
