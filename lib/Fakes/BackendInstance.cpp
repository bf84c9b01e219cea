#include "BackendInstance.h"

#include "dragonflymoor/Fakes/Json.h"
#include <algorithm>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <fmt/format.h>

namespace dfm::fakes {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr auto kNever = asio::steady_timer::time_point::max();

Duration
FromMs(double aMs)
{
  return FromSeconds(aMs / 1000);
}

} // namespace

/// Place of one request: first in the queue when all slots are taken, then in a slot.
class BackendFleet::Instance::Slot
{
public:
  explicit Slot(Instance& aInstance)
    : instance_(aInstance)
    , turn_(aInstance.io_, kNever)
  {
    ++instance_.inFlight_;
    instance_.counters_.peakInFlight =
      std::max(instance_.counters_.peakInFlight, instance_.inFlight_);
  }
  ~Slot() { Release(); }
  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;

  asio::awaitable<void> Take()
  {
    while (instance_.running_ >= instance_.slots_) {
      instance_.queue_.push_back(&turn_);
      turn_.expires_at(kNever);
      co_await turn_.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
    }
    instance_.AccountBusyTime();
    ++instance_.running_;
    running_ = true;
  }

  void Release()
  {
    if (released_)
      return;
    released_ = true;
    std::erase(instance_.queue_, &turn_);
    --instance_.inFlight_;
    instance_.AccountBusyTime();
    if (running_)
      --instance_.running_;
    if (!instance_.queue_.empty() && instance_.running_ < instance_.slots_) {
      instance_.queue_.front()->cancel();
      instance_.queue_.pop_front();
    }
  }

private:
  Instance& instance_;
  asio::steady_timer turn_;
  bool running_ = false;
  bool released_ = false;
};

BackendFleet::Instance::Instance(asio::io_context& aIo,
                                 Random& aRandom,
                                 const json::object& aBackend,
                                 const json::object& aSettings)
  : io_(aIo)
  , random_(aRandom)
  , id_(TextOf(aBackend, "id"))
  , service_(TextOf(aBackend, "service"))
  , region_(TextOf(aBackend, "region"))
  , failureDomain_(TextOf(aBackend, "failureDomain"))
  , slots_(json::value_to<uint64_t>(aBackend.at("slots")))
  , restart_(aIo)
  , server_(aIo, ParseEndpoint(TextOf(aBackend, "endpoint")), [this](HttpRequest aRequest) {
    return Handle(std::move(aRequest));
  })
{
  const auto apply = [&](const json::value* aValues) {
    if (aValues == nullptr)
      return;
    const json::object& values = aValues->as_object();
    ReadField(values, "serviceMs", settings_.serviceMs);
    ReadField(values, "distribution", settings_.distribution);
    ReadField(values, "overrun", settings_.overrun);
    ReadField(values, "answerBytes", settings_.answerBytes);
    ReadField(values, "coldStartMs", settings_.coldStartMs);
    ReadField(values, "coldFactor", settings_.coldFactor);
  };
  apply(aSettings.if_contains("default"));
  if (const auto* services = aSettings.if_contains("services"))
    apply(services->as_object().if_contains(service_));
  busySince_ = std::chrono::steady_clock::now();
  StartProcess();
}

void
BackendFleet::Instance::Open()
{
  open_ = true;
  UpdateListening();
}

void
BackendFleet::Instance::Close()
{
  open_ = false;
  restart_.cancel();
  UpdateListening();
}

void
BackendFleet::Instance::UpdateListening()
{
  if (open_ && !crashed_ && !faults_.down)
    server_.Open();
  else
    server_.Close();
}

void
BackendFleet::Instance::StartProcess()
{
  process_ = fmt::format("{}-{:016x}", id_, random_.Next());
  startedAt_ = std::chrono::steady_clock::now();
}

void
BackendFleet::Instance::Crash()
{
  ++counters_.crashes;
  crashed_ = true;
  UpdateListening();
  restart_.expires_after(std::chrono::milliseconds(faults_.crashDownMs));
  restart_.async_wait([this](const boost::system::error_code& aError) {
    if (aError)
      return;
    crashed_ = false;
    StartProcess();
    UpdateListening();
  });
}

bool
BackendFleet::Instance::Matches(const json::object& aFault) const
{
  const std::pair<std::string_view, const std::string&> selectors[] = {
    { "instance", id_ },
    { "service", service_ },
    { "failureDomain", failureDomain_ },
    { "region", region_ },
  };
  return std::all_of(std::begin(selectors), std::end(selectors), [&](const auto& aSelector) {
    return !aFault.contains({ aSelector.first.data(), aSelector.first.size() }) ||
           TextOf(aFault, aSelector.first) == aSelector.second;
  });
}

void
BackendFleet::Instance::SetFaults(const json::object& aFault)
{
  const bool wasStale = faults_.staleLoad;
  const bool wasDown = faults_.down;
  ReadField(aFault, "down", faults_.down);
  ReadField(aFault, "slowFactor", faults_.slowFactor);
  ReadField(aFault, "hang", faults_.hang);
  ReadField(aFault, "staleLoad", faults_.staleLoad);
  ReadField(aFault, "lyingLoad", faults_.lyingLoad);
  ReadField(aFault, "hangLoad", faults_.hangLoad);
  ReadField(aFault, "crashToken", faults_.crashToken);
  ReadField(aFault, "crashDownMs", faults_.crashDownMs);
  ReadField(aFault, "truncate", faults_.truncate);
  ReadField(aFault, "lateMs", faults_.lateMs);
  ReadField(aFault, "draining", faults_.draining);
  if (faults_.staleLoad && !wasStale)
    staleReport_ = LoadReport();
  if (wasDown && !faults_.down)
    StartProcess();
  bool crash = false;
  ReadField(aFault, "crash", crash);
  if (crash)
    Crash();
  else
    UpdateListening();
}

json::object
BackendFleet::Instance::Stats(bool aWithKeys)
{
  AccountBusyTime();
  json::object stats{ { "id", id_ },
                      { "service", service_ },
                      { "region", region_ },
                      { "failureDomain", failureDomain_ },
                      { "slots", slots_ },
                      { "process", process_ },
                      { "requests", counters_.requests },
                      { "runs", counters_.runs },
                      { "answered", counters_.answered },
                      { "cancelled", counters_.cancelled },
                      { "overruns", counters_.overruns },
                      { "shed", counters_.shed },
                      { "crashes", counters_.crashes },
                      { "inFlight", inFlight_ },
                      { "peakInFlight", counters_.peakInFlight },
                      { "busyMs", counters_.busy / 1ms },
                      { "lastRequestMs", counters_.lastRequestMs },
                      { "keys", runsByKey_.size() } };
  if (aWithKeys)
    stats["runsByKey"] = json::value_from(runsByKey_);
  return stats;
}

void
BackendFleet::Instance::AccountBusyTime()
{
  const auto now = std::chrono::steady_clock::now();
  counters_.busy += std::chrono::duration_cast<Duration>(now - busySince_) * running_;
  busySince_ = now;
}

void
BackendFleet::Instance::ResetCounters()
{
  AccountBusyTime();
  counters_ = { .peakInFlight = inFlight_, .lastRequestMs = counters_.lastRequestMs };
}

asio::awaitable<std::optional<HttpAnswer>>
BackendFleet::Instance::Handle(HttpRequest aRequest)
{
  if (aRequest.target() == "/load")
    co_return co_await ReportLoad();
  ++counters_.requests;
  counters_.lastRequestMs =
    std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
  const auto target = aRequest.target();
  if (!faults_.crashToken.empty() &&
      target.find(faults_.crashToken) != boost::beast::string_view::npos) {
    Crash();
    co_return std::nullopt;
  }
  if (running_ >= slots_) {
    ++counters_.overruns;
    if (settings_.overrun == "shed") {
      ++counters_.shed;
      HttpAnswer answer = JsonAnswer(http::status::service_unavailable);
      answer.response.set("Dfm-Shed", "1");
      co_return answer;
    }
  }
  Answer answer;
  try {
    answer = co_await Run(std::move(aRequest));
  } catch (const boost::system::system_error&) {
    ++counters_.cancelled;
    throw;
  }
  ++counters_.answered;
  co_return answer;
}

asio::awaitable<std::optional<HttpAnswer>>
BackendFleet::Instance::Run(HttpRequest aRequest)
{
  Slot slot(*this);
  co_await slot.Take();
  ++counters_.runs;
  const auto key = aRequest["Idempotency-Key"];
  if (!key.empty())
    ++runsByKey_[std::string(key)];
  co_await Sleep(faults_.hang ? Duration(std::chrono::hours(24)) : ServiceTime());
  slot.Release();
  if (faults_.lateMs > 0)
    co_await Sleep(std::chrono::milliseconds(faults_.lateMs));
  const auto target = aRequest.target();
  HttpAnswer answer = JsonAnswer(
    http::status::ok, MakeAnswerBody({ target.data(), target.size() }, settings_.answerBytes));
  answer.response.set(http::field::content_type, "application/octet-stream");
  if (faults_.truncate)
    answer.truncateBodyAt = answer.response.body().size() / 2;
  co_return answer;
}

asio::awaitable<std::optional<HttpAnswer>>
BackendFleet::Instance::ReportLoad()
{
  if (faults_.hangLoad)
    co_await Sleep(std::chrono::hours(24));
  co_return JsonAnswer(http::status::ok, faults_.staleLoad ? staleReport_ : LoadReport());
}

std::string
BackendFleet::Instance::LoadReport() const
{
  const std::string& lie = faults_.lyingLoad;
  const uint64_t inFlight = lie == "idle" ? 0 : lie == "full" ? slots_ : inFlight_;
  return json::serialize(json::object{ { "inFlight", inFlight },
                                       { "slots", slots_ },
                                       { "healthy", lie != "unhealthy" },
                                       { "shedding", lie == "shedding" },
                                       { "draining", faults_.draining },
                                       { "process", process_ } });
}

Duration
BackendFleet::Instance::ServiceTime()
{
  double ms = settings_.serviceMs * faults_.slowFactor;
  if (settings_.distribution == "exponential")
    ms *= -std::log1p(-random_.Unit());
  if (std::chrono::steady_clock::now() - startedAt_ < FromMs(settings_.coldStartMs))
    ms *= settings_.coldFactor;
  return FromMs(ms);
}

asio::awaitable<void>
BackendFleet::Instance::Sleep(Duration aDuration)
{
  asio::steady_timer timer(io_, aDuration);
  co_await timer.async_wait(asio::use_awaitable);
}

} // namespace dfm::fakes
