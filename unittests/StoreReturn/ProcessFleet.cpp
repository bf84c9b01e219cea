#include "ProcessFleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace dfm::test {

namespace {

/// Below the ports that the system gives to outgoing connections.
constexpr uint16_t kFirstPort = 20000;

constexpr size_t kSeeds = 3;

std::string
RegionOf(const std::string& aDomain)
{
  return aDomain.substr(0, aDomain.rfind('-'));
}

} // namespace

uint64_t
EnvironmentNumber(const char* aName, uint64_t aDefault)
{
  const char* const text = std::getenv(aName);
  return text == nullptr ? aDefault : std::stoull(text);
}

ProcessFleet::ProcessFleet(const Endpoint& aStore, std::vector<std::string> aDomains)
  : store_(aStore)
  , domains_(std::move(aDomains))
  , pids_(domains_.size(), 0)
{
  // Each test runs in a process of its own and so has an address of its own.
  const auto pid = static_cast<unsigned>(::getpid());
  address_ = fmt::format("127.{}.{}.{}", 64 + (pid >> 16) % 64, (pid >> 8) & 0xff, pid & 0xff);
  const char* const kept = std::getenv("DFM_TEST_LOGS");
  keepsFolder_ = kept != nullptr;
  const std::filesystem::path parent =
    keepsFolder_ ? std::filesystem::path(kept) : std::filesystem::temp_directory_path();
  std::string folder = parent / "dragonflymoor-fleet-XXXXXX";
  if (::mkdtemp(folder.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  folder_ = folder;
  for (size_t i = 0; i < pids_.size(); ++i)
    WriteSettings(i);
}

ProcessFleet::~ProcessFleet()
{
  for (size_t i = 0; i < pids_.size(); ++i) {
    if (IsRunning(i))
      End(i, SIGKILL);
  }
  std::error_code ignored; // A folder that stays costs nothing but its space.
  if (!keepsFolder_)
    std::filesystem::remove_all(folder_, ignored);
}

Endpoint
ProcessFleet::EndpointOf(size_t aVm, Port aPort) const
{
  const size_t port =
    kFirstPort + aVm * static_cast<size_t>(Port::Count) + static_cast<size_t>(aPort);
  return { .address = address_, .port = static_cast<uint16_t>(port) };
}

std::string
ProcessFleet::FileOf(size_t aVm, std::string_view aSuffix) const
{
  return fmt::format("{}/vm-{}.{}", folder_, aVm, aSuffix);
}

void
ProcessFleet::WriteSettings(size_t aVm) const
{
  json::object domains;
  for (const std::string& domain : domains_)
    domains[domain] = RegionOf(domain);
  json::array seeds;
  for (size_t i = 0; i < std::min(kSeeds, domains_.size()); ++i)
    seeds.push_back(json::string(ToText(EndpointOf(i, Port::FirstOfVms))));
  const uint16_t firstPort = EndpointOf(aVm, Port::FirstOfVms).port;
  std::ofstream(FileOf(aVm, "json")) << json::serialize(json::object{
    { "vm", fmt::format("vm-{}", aVm) },
    { "region", RegionOf(domains_[aVm]) },
    { "failureDomain", domains_[aVm] },
    { "failureDomains", domains },
    { "address", address_ },
    { "callers", ToText(EndpointOf(aVm, Port::Callers)) },
    { "readiness", ToText(EndpointOf(aVm, Port::Readiness)) },
    { "directory", ToText(EndpointOf(aVm, Port::Directory)) },
    { "operators", ToText(EndpointOf(aVm, Port::Operators)) },
    { "vmPorts", json::object{ { "first", firstPort }, { "last", firstPort + 3 } } },
    { "seeds", seeds },
    { "store", ToText(store_) },
    { "retryRatio", 0.2 },
    { "retrySlack", 50 },
  });
}

void
ProcessFleet::Start(size_t aVm)
{
  const std::string variable = "DRAGONFLYMOOR_CONFIG=" + FileOf(aVm, "json");
  const std::string log = FileOf(aVm, "log");
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid != 0) {
    pids_[aVm] = pid;
    return;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent)
    ::_exit(1);
  const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(file, STDOUT_FILENO);
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  const char* arguments[] = { DFM_DAEMON, "--platform", nullptr };
  const char* environment[] = { variable.c_str(), nullptr };
  ::execve(DFM_DAEMON, const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
  ::_exit(127);
}

void
ProcessFleet::End(size_t aVm, int aSignal)
{
  ::kill(pids_[aVm], aSignal);
  ::waitpid(pids_[aVm], nullptr, 0);
  pids_[aVm] = 0;
}

bool
ProcessFleet::IsReady(size_t aVm) const
{
  Request request(http::verb::get, "/ready", 11);
  request.set(http::field::host, "vm");
  const auto answer = SendAndReceive(EndpointOf(aVm, Port::Readiness), request);
  return answer && answer->result() == http::status::ok;
}

std::string
ProcessFleet::LogOf(size_t aVm) const
{
  std::ifstream file(FileOf(aVm, "log"));
  return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

std::optional<Response>
ProcessFleet::SendTo(size_t aVm, const Request& aRequest) const
{
  return SendAndReceive(EndpointOf(aVm, Port::Callers), aRequest);
}

} // namespace dfm::test
