#include "dragonflymoor/Fakes/Link.h"

#include "LinkStream.h"
#include "dragonflymoor/Fakes/Json.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace dfm::fakes {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using asio::ip::udp;

constexpr auto kNoThrow = asio::experimental::as_tuple(asio::use_awaitable);
constexpr size_t kMaxDatagramBytes = 64 << 10;
/// A datagram that would wait longer for the byte rate is dropped, as by a full router queue.
constexpr Duration kMaxDatagramWait = 500ms;

udp::endpoint
ToUdp(const tcp::endpoint& aEndpoint)
{
  return { aEndpoint.address(), aEndpoint.port() };
}

} // namespace

struct Link::Destination
{
  Destination(asio::io_context& aIo, const json::object& aConfig)
    : advertised(ParseEndpoint(TextOf(aConfig, "advertised")))
    , real(ParseEndpoint(TextOf(aConfig, "real")))
    , region(TextOf(aConfig, "region"))
    , acceptor(aIo)
    , datagrams(aIo)
  {
  }

  tcp::endpoint advertised;
  tcp::endpoint real;
  std::string region;
  tcp::acceptor acceptor;
  udp::socket datagrams;
};

Link::Link(asio::io_context& aIo, const LinkOptions& aOptions)
  : io_(aIo)
{
  const json::value parsed = ReadJsonFile(aOptions.configFile);
  const json::object& config = parsed.as_object();
  control_ = std::make_unique<HttpServer>(
    io_,
    ParseEndpoint(TextOf(config, "control")),
    [this](HttpRequest aRequest) -> asio::awaitable<std::optional<HttpAnswer>> {
      co_return HandleControl(aRequest);
    });
  for (const json::value& destination : config.at("destinations").as_array())
    destinations_.push_back(std::make_unique<Destination>(io_, destination.as_object()));
  ReadField(config, "sources", regionBySource_);
  for (const json::value& value : config.at("links").as_array()) {
    const json::object& link = value.as_object();
    Path& path = PathBetween(TextOf(link, "from"), TextOf(link, "to"));
    double delayMs = 0;
    ReadField(link, "delayMs", delayMs);
    path.delay = FromSeconds(delayMs / 1000);
    ReadField(link, "capBytesPerSecond", path.capBytesPerSecond);
  }
}

Link::~Link() = default;

void
Link::Start()
{
  for (const auto& destination : destinations_) {
    try {
      destination->acceptor = tcp::acceptor(io_, destination->advertised, true);
      destination->datagrams = udp::socket(io_, ToUdp(destination->advertised));
    } catch (const boost::system::system_error& error) {
      throw std::runtime_error(fmt::format("cannot listen on {}:{}: {}",
                                           destination->advertised.address().to_string(),
                                           destination->advertised.port(),
                                           error.code().message()));
    }
    asio::co_spawn(io_, Accept(*destination), asio::detached);
    asio::co_spawn(io_, RelayDatagrams(*destination), asio::detached);
  }
  control_->Open();
}

void
Link::Stop()
{
  control_->Close();
  boost::system::error_code ignored;
  for (const auto& destination : destinations_) {
    destination->acceptor.close(ignored);
    destination->datagrams.close(ignored);
  }
  for (auto& [names, path] : paths_)
    path.cut = false;
  for (const auto& stream : streams_)
    stream->Close();
}

Link::Path&
Link::PathBetween(const std::string& aFrom, const std::string& aTo)
{
  Path& path = paths_[{ aFrom, aTo }];
  path.from = aFrom;
  path.to = aTo;
  return path;
}

std::string
Link::RegionOf(const asio::ip::address& aSource) const
{
  const auto found = regionBySource_.find(aSource.to_string());
  return found == regionBySource_.end() ? "unknown" : found->second;
}

TimePoint
Link::Enter(Path& aPath, uint64_t aBytes)
{
  const TimePoint now = ReadClock();
  aPath.offered.Add(now, aBytes);
  aPath.freeAt = std::max(aPath.freeAt, now);
  if (aPath.capBytesPerSecond > 0) {
    aPath.freeAt +=
      FromSeconds(static_cast<double>(aBytes) / static_cast<double>(aPath.capBytesPerSecond));
  }
  return aPath.freeAt + aPath.delay;
}

asio::awaitable<void>
Link::Accept(Destination& aDestination)
{
  while (aDestination.acceptor.is_open()) {
    tcp::socket client(io_);
    const auto [error] = co_await aDestination.acceptor.async_accept(client, kNoThrow);
    boost::system::error_code failed;
    const tcp::endpoint source = client.remote_endpoint(failed);
    if (error || failed)
      continue;
    const std::string region = RegionOf(source.address());
    auto stream = std::make_shared<Stream>(*this,
                                           std::move(client),
                                           PathBetween(region, aDestination.region),
                                           PathBetween(aDestination.region, region));
    streams_.insert(stream);
    asio::co_spawn(io_, stream->Run(aDestination.real), asio::detached);
  }
}

asio::awaitable<void>
Link::RelayDatagrams(Destination& aDestination)
{
  std::string buffer(kMaxDatagramBytes, '\0');
  while (aDestination.datagrams.is_open()) {
    udp::endpoint source;
    const auto [error, count] =
      co_await aDestination.datagrams.async_receive_from(asio::buffer(buffer), source, kNoThrow);
    if (error)
      continue;
    Path& path = PathBetween(RegionOf(source.address()), aDestination.region);
    const TimePoint due = Enter(path, count);
    if (path.cut || due - ReadClock() > path.delay + kMaxDatagramWait) {
      ++path.droppedDatagrams;
      continue;
    }
    // The receiver sees the sender's advertised endpoint and can answer through the relay.
    const auto sender =
      std::find_if(destinations_.begin(), destinations_.end(), [&](const auto& aCandidate) {
        return ToUdp(aCandidate->real) == source;
      });
    Destination& via = sender == destinations_.end() ? aDestination : **sender;
    SendLater(due, via, aDestination, buffer.substr(0, count));
  }
}

void
Link::SendLater(TimePoint aTime, Destination& aVia, Destination& aTo, std::string aData)
{
  auto timer = std::make_shared<asio::steady_timer>(
    io_, std::chrono::steady_clock::time_point(aTime.time_since_epoch()));
  timer->async_wait([timer, &aVia, &aTo, data = std::move(aData)](auto) {
    boost::system::error_code ignored;
    aVia.datagrams.send_to(asio::buffer(data), ToUdp(aTo.real), 0, ignored);
  });
}

HttpAnswer
Link::HandleControl(const HttpRequest& aRequest)
{
  const auto target = aRequest.target();
  const auto verb = aRequest.method();
  if (verb == http::verb::get && target == "/stats")
    return JsonAnswer(http::status::ok, Stats());
  if (verb == http::verb::post && target == "/fault") {
    SetFault(aRequest.body());
    return JsonAnswer(http::status::ok);
  }
  if (verb == http::verb::post && target == "/reset") {
    for (auto& [names, path] : paths_)
      path.offered.Reset();
    return JsonAnswer(http::status::ok);
  }
  return JsonAnswer(http::status::not_found);
}

void
Link::SetFault(const std::string& aBody)
{
  const json::value parsed = ParseJson(aBody, "fault");
  const json::object& fault = parsed.as_object();
  const auto found = paths_.find({ TextOf(fault, "from"), TextOf(fault, "to") });
  if (found == paths_.end())
    throw std::runtime_error("no such region pair");
  Path& path = found->second;
  ReadField(fault, "cut", path.cut);
  bool close = false;
  ReadField(fault, "close", close);
  for (const auto& stream : streams_) {
    if (close && stream->Uses(path))
      stream->Close();
  }
}

std::string
Link::Stats() const
{
  json::array list;
  for (const auto& [names, path] : paths_) {
    list.push_back(json::object{ { "from", path.from },
                                 { "to", path.to },
                                 { "capBytesPerSecond", path.capBytesPerSecond },
                                 { "peakBytesPerSecond", path.offered.Peak() },
                                 { "bytes", path.offered.Total() },
                                 { "droppedDatagrams", path.droppedDatagrams },
                                 { "cut", path.cut } });
  }
  return json::serialize(json::object{ { "links", std::move(list) } });
}

} // namespace dfm::fakes
