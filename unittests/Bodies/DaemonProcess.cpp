#include "DaemonProcess.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace dfm::test {

namespace {

/// A caller whose address differs from that of all other clients of the tests.
constexpr const char* kOrdinaryCaller = "127.0.0.9";

json::object
SettingsFor(const std::array<PortReservation, 6>& aPorts, const Endpoint& aStore)
{
  const uint16_t firstPort = aPorts[5].Address().port;
  return json::object{
    { "vm", "vm-1" },
    { "region", "north" },
    { "failureDomain", "north-a" },
    { "failureDomains", json::object{ { "north-a", "north" } } },
    { "address", "127.0.0.1" },
    { "callers", ToText(aPorts[0].Address()) },
    { "readiness", ToText(aPorts[1].Address()) },
    { "directory", ToText(aPorts[2].Address()) },
    { "operators", ToText(aPorts[3].Address()) },
    { "vmPorts", json::object{ { "first", firstPort }, { "last", firstPort + 3 } } },
    { "store", ToText(aStore) },
    { "retryRatio", 0.2 },
    { "retrySlack", 50 },
  };
}

} // namespace

DaemonProcess::DaemonProcess(unsigned aMaxDescriptors, size_t aMaxBodyBytes)
{
  json::value manifest = ManifestSpec(
    1, { { .name = "order", .prefix = "/order/", .service = "orders", .idempotent = false } });
  manifest.at("limits").as_object()["max_body_bytes"] = aMaxBodyBytes;
  store_.Put("servers", instance_.Id(), InstanceSpec(instance_, "orders"));
  store_.Put("config", "main", manifest);
  std::string folder = std::filesystem::temp_directory_path() / "dragonflymoor-bodies-XXXXXX";
  if (::mkdtemp(folder.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  folder_ = folder;
  const std::string file = folder_ + "/settings.json";
  std::ofstream(file) << json::serialize(SettingsFor(ports_, store_.Address()));
  const std::string variable = "DRAGONFLYMOOR_CONFIG=" + file;
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
      ::_exit(1);
    const int sink = ::open("/dev/null", O_WRONLY);
    ::dup2(sink, STDOUT_FILENO);
    const rlimit descriptors{ .rlim_cur = aMaxDescriptors, .rlim_max = aMaxDescriptors };
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    const char* arguments[] = { DFM_DAEMON, "--platform", nullptr };
    const char* environment[] = { variable.c_str(), nullptr };
    ::execve(
      DFM_DAEMON, const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
    ::_exit(127);
  }
  const bool ready = GatewayFixture::WaitUntil([this] {
    Request request(http::verb::get, "/ready", 11);
    request.set(http::field::host, "vm");
    const auto answer = SendAndReceive(ports_[1].Address(), request);
    return answer && answer->result() == http::status::ok;
  });
  if (!ready || !ServesOrdinaryRequest())
    throw std::runtime_error("the daemon did not become ready");
}

DaemonProcess::~DaemonProcess()
{
  if (IsAlive()) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  std::error_code ignored; // A folder that stays costs nothing but its space.
  std::filesystem::remove_all(folder_, ignored);
}

bool
DaemonProcess::IsAlive()
{
  if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
    pid_ = 0;
  return pid_ > 0;
}

size_t
DaemonProcess::PeakMemory() const
{
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:"))
      return std::stoull(line.substr(6)) * 1024;
  }
  return 0;
}

size_t
DaemonProcess::OpenDescriptors() const
{
  size_t count = 0;
  std::error_code error; // An ended process has none.
  const std::filesystem::directory_iterator folder("/proc/" + std::to_string(pid_) + "/fd", error);
  for (auto entry = begin(folder); !error && entry != end(folder); entry.increment(error))
    ++count;
  return count;
}

bool
DaemonProcess::ServesOrdinaryRequest()
{
  return GatewayFixture::WaitUntil([this] {
    asio::io_context context(1);
    tcp::socket socket(context);
    std::optional<Response> answer;
    const auto exchange = [&]() -> asio::awaitable<void> {
      Request request(http::verb::post, "/order/1", 11);
      request.set(http::field::host, "shop.example");
      request.set("X-Request-Id", "ordinary");
      request.body() = "an order";
      request.prepare_payload();
      socket.open(tcp::v4());
      socket.bind({ asio::ip::make_address(kOrdinaryCaller), 0 });
      auto [error] = co_await socket.async_connect(ToTcp(Callers()), kAwaitTuple);
      if (error)
        co_return;
      co_await http::async_write(socket, request, kAwaitTuple);
      beast::flat_buffer buffer;
      Response response;
      auto [readError, bytes] = co_await http::async_read(socket, buffer, response, kAwaitTuple);
      if (!readError)
        answer = std::move(response);
    };
    asio::co_spawn(context, exchange(), asio::detached);
    context.run_for(5s);
    return answer && answer->result() == http::status::ok;
  });
}

} // namespace dfm::test
