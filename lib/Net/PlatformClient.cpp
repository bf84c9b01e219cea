#include "dragonflymoor/Net/PlatformClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/grammar/lut_chars.hpp>
#include <boost/url/rfc/pchars.hpp>
#include <charconv>
#include <fmt/format.h>

namespace dfm {

namespace {

namespace json = boost::json;

constexpr auto kCallTimeout = std::chrono::milliseconds(2000);
/// The store answers a watch after 20 s at the latest.
constexpr auto kWatchTimeout = std::chrono::milliseconds(25000);

std::string
ObjectTarget(std::string_view aObject)
{
  constexpr auto kPathCharacters = boost::urls::pchars + '/';
  return "/objects/" + boost::urls::encode(aObject, kPathCharacters);
}

std::string
Quoted(uint64_t aVersion)
{
  return fmt::format("\"{}\"", aVersion);
}

HttpRequest
ToHttp(const StoreCall& aCall)
{
  HttpRequest request;
  request.version(11);
  request.target(ObjectTarget(aCall.object));
  switch (aCall.kind) {
    case StoreCall::Kind::Get:
      request.method(http::verb::get);
      break;
    case StoreCall::Kind::Watch:
      request.method(http::verb::get);
      request.target(fmt::format("{}?watch={}", ObjectTarget(aCall.object), aCall.expectedVersion));
      break;
    case StoreCall::Kind::Put:
      request.method(http::verb::put);
      request.body() = aCall.content;
      if (aCall.expectedVersion == 0)
        request.set(http::field::if_none_match, "*");
      else
        request.set(http::field::if_match, Quoted(aCall.expectedVersion));
      break;
    case StoreCall::Kind::Delete:
      request.method(http::verb::delete_);
      if (aCall.expectedVersion != 0)
        request.set(http::field::if_match, Quoted(aCall.expectedVersion));
      break;
  }
  return request;
}

/// The version in an ETag, or 0.
uint64_t
VersionOf(const HttpAnswer& aAnswer)
{
  std::string_view text = aAnswer[http::field::etag];
  if (text.size() < 3 || text.front() != '"' || text.back() != '"')
    return 0;
  text = text.substr(1, text.size() - 2);
  uint64_t version = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), version);
  return fault == std::errc() && end == text.data() + text.size() ? version : 0;
}

StoreResult
ToResult(const StoreCall& aCall, HttpAnswer aAnswer)
{
  StoreResult result;
  result.version = VersionOf(aAnswer);
  switch (aAnswer.result()) {
    case http::status::ok:
    case http::status::created:
      // Without a version neither a value read nor a write done can be used.
      result.status = result.version == 0 ? StoreStatus::NoAnswer : StoreStatus::Ok;
      if (aCall.kind != StoreCall::Kind::Put)
        result.content = std::move(aAnswer.body());
      break;
    case http::status::no_content:
      // Only a deletion has no version to report.
      if (aCall.kind == StoreCall::Kind::Delete)
        result.status = StoreStatus::Ok;
      break;
    case http::status::not_found:
    case http::status::not_modified:
      result.status = StoreStatus::NotFound;
      break;
    case http::status::precondition_failed:
      result.status = StoreStatus::Conflict;
      break;
    default:
      result.status = StoreStatus::NoAnswer;
      break;
  }
  return result;
}

bool
ReadText(const json::object& aObject, std::string_view aField, std::string& aOut)
{
  const json::value* value = aObject.if_contains(aField);
  if (value == nullptr || !value->is_string())
    return false;
  aOut = std::string(value->as_string());
  return !aOut.empty();
}

bool
ReadEndpoint(const json::object& aObject, std::string_view aField, Endpoint& aOut)
{
  std::string text;
  if (!ReadText(aObject, aField, text))
    return false;
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return false;
  std::string host = text.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']'))
    host = host.substr(1, host.size() - 2);
  boost::system::error_code error;
  asio::ip::make_address(host, error);
  const char* end = text.data() + text.size();
  const auto [rest, fault] = std::from_chars(text.data() + colon + 1, end, aOut.port);
  aOut.address = std::move(host);
  return !error && fault == std::errc() && rest == end;
}

std::optional<PlatformVm>
ParseVm(const json::value& aValue)
{
  const json::object* object = aValue.if_object();
  if (object == nullptr)
    return std::nullopt;
  std::string id;
  std::string region;
  std::string failureDomain;
  PlatformVm vm;
  const bool valid = ReadText(*object, "id", id) && ReadText(*object, "region", region) &&
                     ReadText(*object, "failureDomain", failureDomain) &&
                     ReadEndpoint(*object, "callers", vm.vm.callers) &&
                     ReadEndpoint(*object, "peers", vm.vm.peers);
  if (!valid)
    return std::nullopt;
  vm.vm.id = VmId(std::move(id));
  vm.vm.region = RegionId(std::move(region));
  vm.vm.failureDomain = FailureDomainId(std::move(failureDomain));
  const json::value* leaving = object->if_contains("leaving");
  vm.leaving = leaving != nullptr && leaving->is_bool() && leaving->as_bool();
  return vm;
}

} // namespace

std::optional<std::vector<PlatformVm>>
ParseVmList(std::string_view aJson)
{
  boost::system::error_code error;
  const json::value value = json::parse(aJson, error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::value* list = object == nullptr ? nullptr : object->if_contains("vms");
  if (list == nullptr || !list->is_array())
    return std::nullopt;
  std::vector<PlatformVm> vms;
  for (const json::value& item : list->as_array()) {
    auto vm = ParseVm(item);
    if (!vm)
      return std::nullopt;
    vms.push_back(std::move(*vm));
  }
  return vms;
}

PlatformClient::PlatformClient(HttpPool& aPool, Endpoint aStore)
  : pool_(aPool)
  , store_(std::move(aStore))
{
}

void
PlatformClient::Call(StoreCall aCall, std::function<void(StoreResult)> aDone)
{
  asio::co_spawn(pool_.Context(),
                 Run(std::move(aCall)),
                 [done = std::move(aDone)](const std::exception_ptr& aFault, StoreResult aResult) {
                   done(aFault ? StoreResult() : std::move(aResult));
                 });
}

void
PlatformClient::ListVms(std::function<void(std::optional<std::vector<PlatformVm>>)> aDone)
{
  asio::co_spawn(pool_.Context(),
                 RunListVms(),
                 [done = std::move(aDone)](const std::exception_ptr& aFault,
                                           std::optional<std::vector<PlatformVm>> aVms) {
                   done(aFault ? std::nullopt : std::move(aVms));
                 });
}

asio::awaitable<StoreResult>
PlatformClient::Run(StoreCall aCall)
{
  HttpRequest request = ToHttp(aCall);
  const auto timeout = aCall.kind == StoreCall::Kind::Watch ? kWatchTimeout : kCallTimeout;
  auto answer = co_await Fetch(pool_, store_, std::move(request), timeout);
  if (!answer)
    co_return StoreResult();
  co_return ToResult(aCall, std::move(*answer));
}

asio::awaitable<std::optional<std::vector<PlatformVm>>>
PlatformClient::RunListVms()
{
  HttpRequest request(http::verb::get, "/vms", 11);
  const auto answer = co_await Fetch(pool_, store_, std::move(request), kCallTimeout);
  if (!answer || answer->result() != http::status::ok)
    co_return std::nullopt;
  co_return ParseVmList(answer->body());
}

} // namespace dfm
