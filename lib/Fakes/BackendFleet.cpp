#include "dragonflymoor/Fakes/BackendFleet.h"

#include "BackendInstance.h"
#include "dragonflymoor/Fakes/Json.h"
#include "dragonflymoor/Support/Hash.h"
#include <array>
#include <charconv>
#include <fmt/format.h>

namespace dfm::fakes {

namespace {

namespace http = boost::beast::http;
namespace json = boost::json;

constexpr size_t kFillerBytes = 64 << 10;
/// Keys that Stats lists by name when they ran more than once.
constexpr size_t kMaxListedKeys = 100;

const std::string&
Filler()
{
  static const std::string filler = [] {
    Random random(1);
    std::string text(kFillerBytes, '\0');
    for (char& c : text)
      c = static_cast<char>('a' + random.Below(26));
    return text;
  }();
  return filler;
}

std::string_view
TokenOf(std::string_view aTarget)
{
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  return path.substr(path.rfind('/') + 1);
}

std::string
HeadLine(std::string_view aToken, std::string_view aBody)
{
  const uint64_t sum = HashBytes(aBody, HashBytes(aToken));
  return fmt::format("token={} bytes={} sum={:016x}\n", aToken, aBody.size(), sum);
}

} // namespace

std::string
MakeAnswerBody(std::string_view aTarget, size_t aBytes)
{
  const std::string_view token = TokenOf(aTarget);
  size_t offset = HashBytes(token) % kFillerBytes;
  std::string body;
  while (body.size() < aBytes) {
    body.append(Filler(), offset, aBytes - body.size());
    offset = 0;
  }
  return HeadLine(token, body) + body;
}

bool
IsAnswerTo(std::string_view aToken, std::string_view aText)
{
  const size_t end = aText.find('\n');
  if (end == std::string_view::npos)
    return false;
  return aText.substr(0, end + 1) == HeadLine(aToken, aText.substr(end + 1));
}

BackendFleet::BackendFleet(boost::asio::io_context& aIo, BackendFleetOptions aOptions)
  : io_(aIo)
  , options_(std::move(aOptions))
  , control_(aIo,
             options_.control,
             [this](HttpRequest aRequest) -> boost::asio::awaitable<std::optional<HttpAnswer>> {
               co_return HandleControl(aRequest);
             })
  , random_(options_.seed)
{
  json::object settings;
  if (!options_.settingsFile.empty())
    settings = ReadJsonFile(options_.settingsFile).as_object();
  const json::value backends = ReadJsonFile(options_.backendsFile);
  for (const json::value& backend : backends.as_object().at("backends").as_array())
    instances_.push_back(std::make_unique<Instance>(io_, random_, backend.as_object(), settings));
}

BackendFleet::~BackendFleet() = default;

void
BackendFleet::Start()
{
  for (const auto& instance : instances_)
    instance->Open();
  control_.Open();
}

void
BackendFleet::Stop()
{
  for (const auto& instance : instances_)
    instance->Close();
  control_.Close();
}

uint16_t
BackendFleet::InstancePort(size_t aIndex) const
{
  return instances_.at(aIndex)->Port();
}

HttpAnswer
BackendFleet::HandleControl(const HttpRequest& aRequest)
{
  const auto target = aRequest.target();
  const auto verb = aRequest.method();
  if (verb == http::verb::get && (target == "/stats" || target == "/stats?keys=1"))
    return JsonAnswer(http::status::ok, Stats(target != "/stats"));
  if (verb == http::verb::post && target == "/fault") {
    SetFaults(aRequest.body());
    return JsonAnswer(http::status::ok);
  }
  if (verb == http::verb::post && target == "/reset") {
    for (const auto& instance : instances_)
      instance->ResetCounters();
    return JsonAnswer(http::status::ok);
  }
  return JsonAnswer(http::status::not_found);
}

void
BackendFleet::SetFaults(const std::string& aBody)
{
  const json::value parsed = ParseJson(aBody, "fault");
  const json::object& fault = parsed.as_object();
  size_t matched = 0;
  for (const auto& instance : instances_) {
    if (!instance->Matches(fault))
      continue;
    ++matched;
    instance->SetFaults(fault);
  }
  if (matched == 0)
    throw std::runtime_error("no instance matches the fault");
}

std::string
BackendFleet::Stats(bool aWithKeys)
{
  json::array list;
  std::map<std::string, uint64_t> runs;
  uint64_t overruns = 0;
  for (const auto& instance : instances_) {
    list.push_back(instance->Stats(aWithKeys));
    overruns += list.back().at("overruns").to_number<uint64_t>();
    for (const auto& [key, count] : instance->RunsByKey())
      runs[key] += count;
  }
  uint64_t doubleRuns = 0;
  json::array doubled;
  for (const auto& [key, count] : runs) {
    doubleRuns += count - 1;
    if (count > 1 && doubled.size() < kMaxListedKeys)
      doubled.emplace_back(key);
  }
  return json::serialize(json::object{ { "instances", std::move(list) },
                                       { "overruns", overruns },
                                       { "keys", runs.size() },
                                       { "doubleRuns", doubleRuns },
                                       { "doubleRunKeys", std::move(doubled) } });
}

} // namespace dfm::fakes
