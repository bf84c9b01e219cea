#include "dragonflymoor/Fakes/Platform.h"

#include "dragonflymoor/Fakes/Json.h"
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/url.hpp>
#include <charconv>
#include <filesystem>
#include <fmt/format.h>

namespace dfm::fakes {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr size_t kMaxObjectBytes = 1 << 20;
constexpr Duration kWatchTime = 20s;
constexpr std::string_view kObjects = "/objects/";

uint64_t
ParseVersion(std::string_view aText)
{
  if (aText.size() >= 2 && aText.front() == '"' && aText.back() == '"')
    aText = aText.substr(1, aText.size() - 2);
  uint64_t version = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), version);
  if (error != std::errc() || end != aText.data() + aText.size())
    throw std::runtime_error(fmt::format("\"{}\" is not a version", aText));
  return version;
}

HttpAnswer
WithVersion(HttpAnswer aAnswer, uint64_t aVersion)
{
  aAnswer.response.set(http::field::etag, fmt::format("\"{}\"", aVersion));
  return aAnswer;
}

std::string_view
HeaderOf(const HttpRequest& aRequest, http::field aField)
{
  const auto value = aRequest[aField];
  return { value.data(), value.size() };
}

/// A timer that is in a set for the time of its life.
class RegisteredTimer
{
public:
  RegisteredTimer(asio::io_context& aIo, std::set<asio::steady_timer*>& aSet)
    : timer_(aIo)
    , set_(aSet)
  {
    set_.insert(&timer_);
  }
  ~RegisteredTimer() { set_.erase(&timer_); }
  RegisteredTimer(const RegisteredTimer&) = delete;
  RegisteredTimer& operator=(const RegisteredTimer&) = delete;
  asio::steady_timer& Timer() { return timer_; }

private:
  asio::steady_timer timer_;
  std::set<asio::steady_timer*>& set_;
};

} // namespace

Platform::Platform(asio::io_context& aIo, PlatformOptions aOptions)
  : io_(aIo)
  , options_(std::move(aOptions))
  , server_(aIo, options_.listen, [this](HttpRequest aRequest) {
    return Handle(std::move(aRequest));
  })
{
  if (options_.control) {
    control_.emplace(
      aIo, *options_.control, [this](HttpRequest aRequest) { return Handle(std::move(aRequest)); });
  }
}

void
Platform::Start()
{
  if (!options_.directory.empty())
    LoadDirectory();
  server_.Open();
  if (control_)
    control_->Open();
}

void
Platform::Stop()
{
  server_.Close();
  if (control_)
    control_->Close();
}

void
Platform::LoadDirectory()
{
  const std::filesystem::path root = options_.directory;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(root)) {
    if (!entry.is_regular_file() || entry.path().extension() != ".json")
      continue;
    const std::string text = ReadFile(entry.path());
    ParseJson(text, entry.path());
    const auto name = std::filesystem::relative(entry.path(), root).replace_extension();
    if (name == "vms")
      vms_ = text;
    else
      objects_[name] = Object{ .version = ++lastVersion_, .body = text };
  }
  servedVms_ = vms_;
}

asio::awaitable<std::optional<HttpAnswer>>
Platform::Handle(HttpRequest aRequest)
{
  if (auto answer = HandleControl(aRequest))
    co_return answer;
  const bool write =
    aRequest.method() == http::verb::put || aRequest.method() == http::verb::delete_;
  if (down_ != Down::No)
    co_return std::nullopt;
  co_await Sleep(options_.latency + slow_);
  if (down_ != Down::No)
    co_return std::nullopt;
  Answer answer = co_await HandleStore(std::move(aRequest));
  if (write && loseAnswers_ > 0) {
    --loseAnswers_;
    co_return std::nullopt;
  }
  co_return answer;
}

std::optional<HttpAnswer>
Platform::HandleControl(const HttpRequest& aRequest)
{
  const auto target = aRequest.target();
  const auto verb = aRequest.method();
  if (target == "/fault" && verb == http::verb::post) {
    SetFaults(aRequest.body());
    return JsonAnswer(http::status::ok);
  }
  if (target == "/calls" && verb == http::verb::get)
    return JsonAnswer(http::status::ok, json::serialize(json::value_from(calls_)));
  if (target == "/vms" && verb == http::verb::put) {
    ParseJson(aRequest.body(), "vms").as_object().at("vms").as_array();
    vms_ = aRequest.body();
    if (!freezeVms_)
      servedVms_ = vms_;
    return JsonAnswer(http::status::ok);
  }
  return std::nullopt;
}

void
Platform::SetFaults(const std::string& aBody)
{
  const json::object faults = ParseJson(aBody, "fault").as_object();
  if (const auto* down = faults.if_contains("down")) {
    const std::string mode = json::value_to<std::string>(*down);
    if (mode != "no" && mode != "close" && mode != "refuse")
      throw std::runtime_error(fmt::format("down: \"{}\" is not no, close or refuse", mode));
    down_ = mode == "no" ? Down::No : mode == "close" ? Down::Close : Down::Refuse;
    if (down_ == Down::No)
      server_.Open();
    // The connection that carries this fault may be one of the closed ones.
    if (down_ == Down::Refuse)
      server_.Close();
    WakeWatchers();
  }
  int64_t slowMs = slow_ / 1ms;
  ReadField(faults, "slowMs", slowMs);
  slow_ = std::chrono::milliseconds(slowMs);
  ReadField(faults, "loseAnswers", loseAnswers_);
  ReadField(faults, "freezeVms", freezeVms_);
  if (!freezeVms_)
    servedVms_ = vms_;
}

asio::awaitable<std::optional<HttpAnswer>>
Platform::HandleStore(HttpRequest aRequest)
{
  const auto url = boost::urls::parse_origin_form(aRequest.target()).value();
  const std::string path = url.path();
  const auto parameters = url.params();
  const auto verb = aRequest.method();
  if (path == "/vms" && verb == http::verb::get) {
    ++calls_["vms"];
    co_return JsonAnswer(http::status::ok, servedVms_);
  }
  if (path == "/objects" && verb == http::verb::get) {
    ++calls_["list"];
    const auto prefix = parameters.find("prefix");
    co_return List(prefix == parameters.end() ? std::string() : std::string((*prefix).value));
  }
  if (path.rfind(kObjects, 0) != 0 || path.size() == kObjects.size())
    co_return JsonAnswer(http::status::not_found);
  const std::string name = path.substr(kObjects.size());
  const auto watch = parameters.find("watch");
  if (verb == http::verb::get && watch != parameters.end()) {
    ++calls_["watch"];
    const uint64_t version = ParseVersion(std::string((*watch).value));
    co_return co_await Watch(name, version);
  }
  if (verb == http::verb::get) {
    ++calls_["get"];
    co_return Get(name);
  }
  if (verb == http::verb::put) {
    ++calls_["put"];
    co_return Put(name, aRequest);
  }
  if (verb == http::verb::delete_) {
    ++calls_["delete"];
    co_return Delete(name, aRequest);
  }
  co_return JsonAnswer(http::status::method_not_allowed);
}

asio::awaitable<std::optional<HttpAnswer>>
Platform::Watch(std::string aName, uint64_t aVersion)
{
  const auto end = std::chrono::steady_clock::now() + kWatchTime;
  RegisteredTimer registered(io_, watchers_);
  while (true) {
    const auto found = objects_.find(aName);
    if (found != objects_.end() && found->second.version > aVersion)
      co_return Get(aName);
    if (std::chrono::steady_clock::now() >= end)
      co_return JsonAnswer(http::status::not_modified, "");
    registered.Timer().expires_at(end);
    co_await registered.Timer().async_wait(asio::experimental::as_tuple(asio::use_awaitable));
    if (down_ != Down::No)
      co_return std::nullopt;
  }
}

asio::awaitable<void>
Platform::Sleep(Duration aDuration)
{
  asio::steady_timer timer(io_, aDuration);
  co_await timer.async_wait(asio::use_awaitable);
}

void
Platform::WakeWatchers()
{
  for (auto* timer : watchers_)
    timer->cancel();
}

HttpAnswer
Platform::Get(const std::string& aName) const
{
  const auto found = objects_.find(aName);
  if (found == objects_.end())
    return JsonAnswer(http::status::not_found);
  return WithVersion(JsonAnswer(http::status::ok, found->second.body), found->second.version);
}

HttpAnswer
Platform::Put(const std::string& aName, const HttpRequest& aRequest)
{
  const std::string_view ifMatch = HeaderOf(aRequest, http::field::if_match);
  const std::string_view ifNoneMatch = HeaderOf(aRequest, http::field::if_none_match);
  if (ifMatch.empty() && ifNoneMatch != "*")
    return JsonAnswer(http::status::precondition_required);
  if (aRequest.body().size() > kMaxObjectBytes)
    return JsonAnswer(http::status::payload_too_large);
  const auto found = objects_.find(aName);
  const uint64_t current = found == objects_.end() ? 0 : found->second.version;
  const bool allowed =
    ifMatch.empty() ? current == 0 : current != 0 && ParseVersion(ifMatch) == current;
  if (!allowed)
    return WithVersion(JsonAnswer(http::status::precondition_failed), current);
  objects_[aName] = Object{ .version = ++lastVersion_, .body = aRequest.body() };
  WakeWatchers();
  const auto status = current == 0 ? http::status::created : http::status::ok;
  return WithVersion(JsonAnswer(status), lastVersion_);
}

HttpAnswer
Platform::Delete(const std::string& aName, const HttpRequest& aRequest)
{
  const auto found = objects_.find(aName);
  if (found == objects_.end())
    return JsonAnswer(http::status::not_found);
  const std::string_view ifMatch = HeaderOf(aRequest, http::field::if_match);
  if (!ifMatch.empty() && ParseVersion(ifMatch) != found->second.version)
    return WithVersion(JsonAnswer(http::status::precondition_failed), found->second.version);
  objects_.erase(found);
  return JsonAnswer(http::status::no_content, "");
}

HttpAnswer
Platform::List(std::string_view aPrefix) const
{
  json::array names;
  for (const auto& [name, object] : objects_) {
    if (name.rfind(aPrefix, 0) == 0)
      names.push_back(json::object{ { "name", name }, { "version", object.version } });
  }
  return JsonAnswer(http::status::ok, json::serialize(names));
}

} // namespace dfm::fakes
