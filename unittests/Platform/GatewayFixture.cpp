#include "GatewayFixture.h"

#include "platform/Adapter.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

namespace dfm::test {

json::value
ManifestSpec(unsigned aVersion, const std::vector<RouteSpec>& aRoutes)
{
  json::array routes;
  json::array services;
  for (const RouteSpec& route : aRoutes) {
    routes.push_back(json::object{
      { "name", route.name },
      { "host", "shop.example" },
      { "path_prefix", route.prefix },
      { "route_type", route.idempotent ? "idempotent" : "non_idempotent" },
      { "timeout_s", route.timeoutSeconds },
      { "goal_s", route.timeoutSeconds / 2 },
      { "priority", 0 },
      { "backend", route.service },
      { "attempts", route.attempts },
      { "sticky", true },
      { "home_regions", json::array{} },
    });
    services.push_back(json::object{ { "name", route.service },
                                     { "health_path", "/healthz" },
                                     { "max_conns", 100 },
                                     { "cold_start_s", 1.0 },
                                     { "cold_per_s", 20.0 } });
  }
  return json::object{
    { "version", fmt::format("{:08x}", aVersion) },
    { "routes", routes },
    { "services", services },
    { "limits",
      json::object{ { "max_header_bytes", 16384 },
                    { "max_body_bytes", 100000 },
                    { "header_timeout_s", 3 },
                    { "idle_timeout_s", 15 } } },
  };
}

json::value
InstanceSpec(const StandInInstance& aInstance,
             const std::string& aService,
             const std::string& aState,
             double aColdSecondsLeft)
{
  return json::object{
    { "addr", fmt::format("127.0.0.1:{}", aInstance.Address().port) },
    { "born", 1'000 },
    { "info",
      json::object{
        { "backend", aService }, { "version", "v1" }, { "zone", "north-a" }, { "slots", 4 } } },
    { "status",
      json::object{ { "state", aState }, { "seq", 1 }, { "cold_left_s", aColdSecondsLeft } } },
  };
}

GatewayFixture::GatewayFixture()
{
  settings_.self = { .id = VmId("vm-1"),
                     .region = RegionId("north"),
                     .failureDomain = FailureDomainId("north-a"),
                     .callers = ports_[0].Address(),
                     .peers = ports_[1].Address() };
  settings_.loadReports = ports_[2].Address();
  settings_.readiness = ports_[3].Address();
  settings_.directory = ports_[4].Address();
  settings_.operators = ports_[5].Address();
  settings_.store = store_.Address();
  settings_.failureDomains = { { FailureDomainId("north-a"), RegionId("north") } };
  settings_.stopTime = 6s;
  settings_.directoryTtl = 1s;
  settings_.retryRatio = 0.2;
  settings_.retrySlack = 50;
}

GatewayFixture::~GatewayFixture()
{
  Stop();
}

void
GatewayFixture::Start(bool aWaitUntilReady)
{
  GatewayOptions options{ .settings = settings_,
                          .platform = platform::MakeAdapter(settings_),
                          .readSettings = [this] { return Checked<SteeringSettings>(settings_); } };
  if (changeOptions_)
    changeOptions_(options);
  auto gateway = Gateway::Create(std::move(options));
  if (!gateway)
    throw std::runtime_error(FormatFindings(gateway.error()));
  gateway_ = std::move(*gateway);
  gatewayThread_ = std::thread([this] { gateway_->Run(); });
  if (!aWaitUntilReady)
    return;
  const bool ready = WaitUntil([this] {
    const auto answer = Get(settings_.readiness, "/ready");
    return answer && answer->result() == http::status::ok;
  });
  if (!ready)
    throw std::runtime_error("the VM did not become ready");
}

void
GatewayFixture::BeginStop()
{
  gateway_->BeginStop();
}

void
GatewayFixture::Stop()
{
  if (gateway_ == nullptr)
    return;
  gateway_->BeginStop();
  gatewayThread_.join();
  gateway_.reset();
}

bool
GatewayFixture::WaitUntil(const std::function<bool()>& aCondition)
{
  constexpr int kMaxTries = 3000;
  for (int i = 0; i < kMaxTries; ++i) {
    if (aCondition())
      return true;
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

std::optional<Response>
GatewayFixture::Send(http::verb aMethod,
                     const std::string& aTarget,
                     const std::string& aRequestId,
                     const std::string& aBody)
{
  Request request(aMethod, aTarget, 11);
  request.set(http::field::host, "shop.example");
  request.set("X-Request-Id", aRequestId);
  request.set("X-Affinity-Key", "17");
  request.set("X-Deadline-Ms", std::to_string(callerDeadline_.count()));
  request.body() = aBody;
  request.prepare_payload();
  return SendAndReceive(settings_.self.callers, request);
}

std::optional<Response>
GatewayFixture::Get(const Endpoint& aEndpoint, const std::string& aTarget)
{
  Request request(http::verb::get, aTarget, 11);
  request.set(http::field::host, "vm");
  return SendAndReceive(aEndpoint, request);
}

std::optional<Response>
SendAndReceive(const Endpoint& aEndpoint, const Request& aRequest)
{
  asio::io_context context;
  tcp::socket socket(context);
  error_code error;
  socket.connect(ToTcp(aEndpoint), error);
  if (!error)
    http::write(socket, aRequest, error);
  if (error)
    return std::nullopt;
  beast::flat_buffer buffer;
  Response response;
  http::read(socket, buffer, response, error);
  if (error)
    return std::nullopt;
  return response;
}

} // namespace dfm::test
