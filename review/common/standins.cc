#include "standins.hh"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const auto kStart = std::chrono::steady_clock::now();

std::string
Text(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::string
QueryValue(const std::string& aTarget, const std::string& aName)
{
  const size_t query = aTarget.find('?');
  if (query == std::string::npos)
    return "";
  std::istringstream parts(aTarget.substr(query + 1));
  for (std::string part; std::getline(parts, part, '&');) {
    if (part.rfind(aName + "=", 0) == 0)
      return part.substr(aName.size() + 1);
  }
  return "";
}

Response
JsonAnswer(unsigned aStatus, const json::value& aBody, int aVersion)
{
  Response answer(http::status(aStatus), aVersion);
  answer.set(http::field::content_type, "application/json");
  answer.body() = json::serialize(aBody);
  return answer;
}

std::string
NewId()
{
  static std::atomic<uint64_t> next{ static_cast<uint64_t>(::getpid()) << 20 };
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(++next));
  return text;
}

} // namespace

double
Now()
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - kStart).count();
}

void
SleepUntil(double aSeconds)
{
  if (aSeconds > Now())
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds - Now()));
}

Record::Record(const std::string& aFile)
  : file_(aFile, std::ios::trunc)
{
}

void
Record::Line(const std::string& aText)
{
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f s  ", Now());
  const std::scoped_lock lock(mutex_);
  file_ << time << aText << std::endl;
}

uint16_t
FreePorts(const std::vector<std::string>& aIps, unsigned aCount)
{
  asio::io_context context;
  for (int attempt = 0; attempt < 200; ++attempt) {
    const uint16_t first = static_cast<uint16_t>(20000 + (::getpid() * 131 + attempt * 977) % 12000);
    bool free = true;
    for (const std::string& ip : aIps) {
      for (unsigned i = 0; i < aCount && free; ++i) {
        boost::system::error_code error;
        const auto address = asio::ip::make_address(ip);
        tcp::acceptor tcpSocket(context);
        tcpSocket.open(tcp::v4(), error);
        tcpSocket.bind({ address, static_cast<uint16_t>(first + i) }, error);
        free = !error;
        asio::ip::udp::socket udpSocket(context);
        udpSocket.open(asio::ip::udp::v4(), error);
        udpSocket.bind({ address, static_cast<uint16_t>(first + i) }, error);
        free = free && !error;
      }
    }
    if (free)
      return first;
  }
  std::exit(2);
}

struct Server::Shared
{
  asio::io_context context;
  tcp::acceptor acceptor{ context };
  Handler handler;
  std::mutex mutex;
  bool closed = false;
  std::set<std::shared_ptr<tcp::socket>> sockets;
  std::thread acceptThread;
};

Server::Server(Address aAddress, Handler aHandler)
  : shared_(std::make_shared<Shared>())
{
  shared_->handler = std::move(aHandler);
  const tcp::endpoint endpoint(asio::ip::make_address(aAddress.ip), aAddress.port);
  shared_->acceptor.open(endpoint.protocol());
  shared_->acceptor.set_option(asio::socket_base::reuse_address(true));
  shared_->acceptor.bind(endpoint);
  shared_->acceptor.listen();
  port_ = shared_->acceptor.local_endpoint().port();
  shared_->acceptThread = std::thread([shared = shared_] {
    for (;;) {
      auto socket = std::make_shared<tcp::socket>(shared->context);
      boost::system::error_code error;
      shared->acceptor.accept(*socket, error);
      {
        const std::scoped_lock lock(shared->mutex);
        if (shared->closed)
          return;
        if (error)
          continue;
        shared->sockets.insert(socket);
      }
      std::thread([shared, socket] {
        beast::flat_buffer buffer;
        boost::system::error_code error;
        socket->set_option(tcp::no_delay(true), error);
        for (;;) {
          http::request_parser<http::string_body> parser;
          parser.body_limit(128UL * 1024 * 1024);
          http::read(*socket, buffer, parser, error);
          if (error)
            break;
          const Request request = parser.release();
          auto answer = shared->handler(request, *socket);
          if (!answer)
            break;
          answer->keep_alive(request.keep_alive());
          answer->prepare_payload();
          http::write(*socket, *answer, error);
          if (error || !request.keep_alive())
            break;
        }
        const std::scoped_lock lock(shared->mutex);
        shared->sockets.erase(socket);
        socket->close(error);
      }).detach();
    }
  });
}

Server::~Server()
{
  Close();
}

void
Server::Close()
{
  {
    const std::scoped_lock lock(shared_->mutex);
    if (shared_->closed)
      return;
    shared_->closed = true;
    // Wakes the threads that read; the descriptors are closed by their own threads.
    for (const auto& socket : shared_->sockets) {
      boost::system::error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      ::shutdown(socket->native_handle(), SHUT_RDWR);
    }
    ::shutdown(shared_->acceptor.native_handle(), SHUT_RDWR);
  }
  shared_->acceptThread.join();
  boost::system::error_code ignored;
  shared_->acceptor.close(ignored);
}

Store::Store(Address aAddress)
{
  server_ = std::make_unique<Server>(
    aAddress, [this](const Request& aRequest, tcp::socket&) { return Handle(aRequest); });
}

json::object
Store::Change(const std::string& aKind, const std::string& aName, json::value aSpec, bool aDeleted)
{
  ++revision_;
  json::object object{ { "metadata",
                         json::object{ { "name", aName },
                                       { "revision", revision_ },
                                       { "created", revision_ },
                                       { "finalizers", json::array{} },
                                       { "deleting", false } } },
                       { "spec", std::move(aSpec) },
                       { "status", nullptr } };
  if (aDeleted)
    objects_[aKind].erase(aName);
  else
    objects_[aKind][aName] = object;
  events_.push_back({ revision_, aKind, object, aDeleted });
  changed_.notify_all();
  return object;
}

void
Store::Put(const std::string& aKind, const std::string& aName, json::value aSpec)
{
  const std::scoped_lock lock(mutex_);
  Change(aKind, aName, std::move(aSpec), false);
}

void
Store::Remove(const std::string& aKind, const std::string& aName)
{
  const std::scoped_lock lock(mutex_);
  if (objects_[aKind].count(aName) > 0)
    Change(aKind, aName, nullptr, true);
}

std::optional<Response>
Store::Watch(const std::string& aKind, uint64_t aFrom, int aWaitMs, int aVersion)
{
  std::unique_lock lock(mutex_);
  const auto begin = std::chrono::steady_clock::now();
  const int cutAfter = cutWatchesAfterMs;
  const bool cut = cutAfter > 0 && cutAfter < aWaitMs;
  const auto end = begin + std::chrono::milliseconds(cut ? cutAfter : aWaitMs);
  const auto hasEvent = [&] {
    for (auto event = events_.rbegin(); event != events_.rend() && event->revision > aFrom; ++event)
      if (event->kind == aKind)
        return true;
    return false;
  };
  if (!changed_.wait_until(lock, end, hasEvent) && cut) {
    ++watchesCut;
    return std::nullopt;
  }
  json::array events;
  for (const Event& event : events_) {
    if (event.kind == aKind && event.revision > aFrom)
      events.push_back(json::object{ { "object", event.object }, { "deleted", event.deleted } });
  }
  return JsonAnswer(
    200, json::object{ { "events", std::move(events) }, { "as_of", revision_ } }, aVersion);
}

std::optional<Response>
Store::Handle(const Request& aRequest)
{
  const std::string target = Text(aRequest.target());
  const std::string path = target.substr(0, target.find('?'));
  const int version = static_cast<int>(aRequest.version());
  std::vector<std::string> parts;
  std::istringstream stream(path);
  for (std::string part; std::getline(stream, part, '/');)
    parts.push_back(part);
  if (parts.size() < 3 || parts[1] != "objects")
    return JsonAnswer(404, json::object{}, version);
  const std::string& kind = parts[2];
  if (aRequest.method() == http::verb::get) {
    const std::string watch = QueryValue(target, "watch");
    if (!watch.empty())
      return Watch(kind, std::stoull(watch), std::atoi(QueryValue(target, "wait_ms").c_str()), version);
    const std::scoped_lock lock(mutex_);
    if (parts.size() > 3) {
      const auto object = objects_[kind].find(parts[3]);
      if (object == objects_[kind].end())
        return JsonAnswer(404, json::object{}, version);
      return JsonAnswer(200, object->second, version);
    }
    const std::string after = QueryValue(target, "after");
    json::array items;
    for (const auto& [name, object] : objects_[kind])
      if (name > after)
        items.push_back(object);
    return JsonAnswer(
      200,
      json::object{ { "items", std::move(items) }, { "has_more", false }, { "as_of", revision_ } },
      version);
  }
  const std::scoped_lock lock(mutex_);
  json::value body;
  if (!aRequest.body().empty())
    body = json::parse(aRequest.body());
  if (aRequest.method() == http::verb::post) {
    const std::string name(body.at("metadata").at("name").as_string());
    const auto known = objects_[kind].find(name);
    if (known != objects_[kind].end())
      return JsonAnswer(409, known->second, version);
    return JsonAnswer(201, Change(kind, name, body.at("spec"), false), version);
  }
  if (parts.size() < 4 || objects_[kind].count(parts[3]) == 0)
    return JsonAnswer(404, json::object{}, version);
  if (aRequest.method() == http::verb::delete_)
    return JsonAnswer(200, Change(kind, parts[3], nullptr, true), version);
  return JsonAnswer(200, Change(kind, parts[3], body.at("spec"), false), version);
}

Instance::Instance(Store& aStore, Record& aRecord, InstanceOptions aOptions)
  : store_(aStore)
  , record_(aRecord)
  , options_(std::move(aOptions))
{
  Start();
}

Instance::~Instance()
{
  {
    const std::scoped_lock lock(mutex_);
    ended_ = true;
  }
  freed_.notify_all();
  for (std::thread& restart : restarts_)
    restart.join();
  if (server_)
    server_->Close();
}

void
Instance::Start()
{
  const std::scoped_lock lock(mutex_);
  id_ = "i-" + NewId().substr(8);
  server_ = std::make_unique<Server>(
    Address{ options_.ip },
    [this, id = id_](const Request& aRequest, tcp::socket&) { return Handle(id, aRequest); });
  const Address address{ options_.ip, server_->Port() };
  const int64_t born = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
  store_.Put(
    "servers",
    id_,
    json::object{
      { "born", born },
      { "addr", address.Text() },
      { "info",
        json::object{ { "backend", options_.service },
                      { "version", "v1" },
                      { "zone", options_.zone },
                      { "slots", options_.slots } } },
      { "status", json::object{ { "state", "ready" }, { "seq", 1 }, { "cold_left_s", 0 } } } });
  record_.Line("instance " + id_ + " of " + options_.service + " registered at " + address.Text());
}

std::optional<Response>
Instance::Handle(const std::string& aId, const Request& aRequest)
{
  const int version = static_cast<int>(aRequest.version());
  const std::string requestId = Text(aRequest["X-Request-Id"]);
  const std::string path = Text(aRequest.target());
  Response answer(http::status::ok, version);
  answer.set("X-Request-Id", requestId);
  answer.set("X-Instance-Id", aId);
  if (path == "/healthz")
    return answer;
  const auto expected = Text(aRequest["X-Expect-Instance"]);
  if (!expected.empty() && expected != aId) {
    answer.result(http::status::misdirected_request);
    return answer;
  }
  std::unique_lock lock(mutex_);
  if (ended_ || aId != id_)
    return std::nullopt;
  arrivals_.push_back({ Now(), requestId, path, aId });
  record_.Line("request " + requestId + " reaches " + aId + " (" + path + ")");
  if (running_ >= options_.slots) {
    if (waiting_ >= options_.queue) {
      answer.result(http::status::service_unavailable);
      answer.set("X-Not-Executed", "1");
      return answer;
    }
    ++waiting_;
    freed_.wait(lock, [&] { return ended_ || aId != id_ || running_ < options_.slots; });
    --waiting_;
    if (ended_ || aId != id_)
      return std::nullopt;
  }
  if (!options_.crashPath.empty() && path == options_.crashPath) {
    crashes_.push_back(Now());
    lock.unlock();
    Crash(aId);
    return std::nullopt;
  }
  ++running_;
  const bool gone = freed_.wait_for(lock, options_.work, [&] { return ended_ || aId != id_; });
  if (gone)
    return std::nullopt;
  --running_;
  freed_.notify_all();
  record_.Line("request " + requestId + " has run at " + aId);
  answer.set("X-Server-Stamp", "stamp-" + aId + "-" + requestId);
  answer.body() = "done " + requestId;
  return answer;
}

void
Instance::Crash(const std::string& aId)
{
  std::unique_ptr<Server> server;
  {
    const std::scoped_lock lock(mutex_);
    if (ended_ || aId != id_)
      return;
    id_.clear();
    running_ = 0;
    server = std::move(server_);
    record_.Line("instance " + aId + " has crashed");
  }
  freed_.notify_all();
  server->Close();
  const std::scoped_lock lock(mutex_);
  restarts_.emplace_back([this, aId] {
    const auto waitFor = [this](std::chrono::milliseconds aTime) {
      std::unique_lock lock(mutex_);
      freed_.wait_for(lock, aTime, [this] { return ended_; });
      return !ended_;
    };
    const auto kExpiry = 4500ms; // Three liveness intervals of 1.5 s.
    if (!waitFor(options_.downTime))
      return;
    Start();
    waitFor(kExpiry - options_.downTime);
    store_.Remove("servers", aId);
  });
}

std::string
Instance::Id()
{
  const std::scoped_lock lock(mutex_);
  return id_;
}

void
Instance::RemoveEntry()
{
  store_.Remove("servers", Id());
}

void
Instance::Exit()
{
  std::unique_ptr<Server> server;
  {
    const std::scoped_lock lock(mutex_);
    ended_ = true;
    server = std::move(server_);
  }
  freed_.notify_all();
  server->Close();
}

std::vector<Instance::Arrival>
Instance::Arrivals()
{
  const std::scoped_lock lock(mutex_);
  return arrivals_;
}

std::vector<double>
Instance::Crashes()
{
  const std::scoped_lock lock(mutex_);
  return crashes_;
}

Machines::Machines(std::string aProgram, std::string aFolder, Record& aRecord)
  : program_(std::move(aProgram))
  , folder_(std::move(aFolder))
  , record_(aRecord)
{
}

Machines::~Machines()
{
  End();
}

void
Machines::End()
{
  for (size_t i = 0; i < pids_.size(); ++i)
    Kill(i);
}

void
Machines::Start(const std::vector<Machine>& aMachines, const Address& aStore)
{
  machines_ = aMachines;
  std::vector<std::string> ips;
  for (const Machine& machine : machines_)
    ips.push_back(machine.ip);
  port_ = FreePorts(ips, 8);
  const auto at = [this](const std::string& aIp, int aOffset) {
    return Address{ aIp, static_cast<uint16_t>(port_ + aOffset) }.Text();
  };
  json::array seeds;
  json::object domains;
  for (const Machine& machine : machines_) {
    if (seeds.size() < 3)
      seeds.emplace_back(at(machine.ip, 0));
    domains[machine.zone] = "gauteng";
  }
  for (const Machine& machine : machines_) {
    const json::object settings{
      { "vm", machine.name },
      { "region", "gauteng" },
      { "failureDomain", machine.zone },
      { "failureDomains", domains },
      { "address", machine.ip },
      { "callers", at(machine.ip, 0) },
      { "readiness", at(machine.ip, 1) },
      { "directory", at(machine.ip, 2) },
      { "operators", at(machine.ip, 3) },
      { "vmPorts", json::object{ { "first", port_ + 4 }, { "last", port_ + 7 } } },
      { "seeds", seeds },
      { "store", aStore.Text() },
      { "stopSeconds", 6 },
      { "directoryTtlSeconds", 1 },
      { "retryRatio", 0.2 },
      { "retrySlack", 56 },
      { "maxShift", 0.15 },
    };
    const std::string file = folder_ + "/" + machine.name + ".json";
    const std::string log = folder_ + "/" + machine.name + ".log";
    std::ofstream(file) << json::serialize(settings) << "\n";
    const std::string variable = "DRAGONFLYMOOR_CONFIG=" + file;
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent)
        ::_exit(1);
      const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(output, STDOUT_FILENO);
      ::dup2(output, STDERR_FILENO);
      const char* arguments[] = { program_.c_str(), "--platform", nullptr };
      const char* environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", nullptr };
      ::execve(program_.c_str(),
               const_cast<char* const*>(arguments),
               const_cast<char* const*>(environment));
      ::_exit(127);
    }
    pids_.push_back(pid);
    record_.Line("machine " + machine.name + " started, callers at " + at(machine.ip, 0));
  }
}

bool
Machines::WaitUntilReady()
{
  const double end = Now() + 20;
  for (const Machine& machine : machines_) {
    bool ready = false;
    while (!ready && Now() < end) {
      boost::system::error_code error;
      asio::io_context context;
      tcp::socket socket(context);
      socket.connect(
        { asio::ip::make_address(machine.ip), static_cast<uint16_t>(port_ + 1) }, error);
      Request request(http::verb::get, "/ready", 11);
      request.set(http::field::host, machine.ip);
      Response answer;
      beast::flat_buffer buffer;
      if (!error)
        http::write(socket, request, error);
      if (!error)
        http::read(socket, buffer, answer, error);
      ready = !error && answer.result() == http::status::ok;
      if (!ready)
        std::this_thread::sleep_for(50ms);
    }
    if (!ready)
      return false;
  }
  record_.Line("all machines are ready");
  return true;
}

Address
Machines::Front(size_t aMachine) const
{
  return { machines_[aMachine].ip, port_ };
}

uint64_t
Machines::ResidentBytes(size_t aMachine)
{
  std::ifstream status("/proc/" + std::to_string(pids_[aMachine]) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0)
      return std::stoull(line.substr(6)) * 1024;
  }
  return 0;
}

bool
Machines::HasEnded(size_t aMachine)
{
  pid_t& pid = pids_[aMachine];
  if (pid > 0 && ::waitpid(pid, nullptr, WNOHANG) == pid)
    pid = 0;
  return pid == 0;
}

void
Machines::Signal(size_t aMachine, int aSignal)
{
  if (!HasEnded(aMachine))
    ::kill(pids_[aMachine], aSignal);
}

void
Machines::Kill(size_t aMachine)
{
  if (HasEnded(aMachine))
    return;
  ::kill(pids_[aMachine], SIGKILL);
  ::waitpid(pids_[aMachine], nullptr, 0);
  pids_[aMachine] = 0;
}

void
Finish(Machines& aMachines, int aStatus)
{
  aMachines.End();
  std::fflush(stdout);
  // Threads of connections may still run; they must not meet objects that are destroyed.
  ::_exit(aStatus);
}

Channel::Channel(Address aMachine)
  : machine_(std::move(aMachine))
{
}

std::optional<Response>
Channel::Send(Request aRequest, size_t aBytesPerSecond)
{
  boost::system::error_code error;
  if (!socket_) {
    socket_ = std::make_unique<tcp::socket>(context_);
    answersOnChannel = 0;
    buffer_.clear();
    socket_->connect({ asio::ip::make_address(machine_.ip), machine_.port }, error);
    socket_->set_option(tcp::no_delay(true), error);
  }
  aRequest.prepare_payload();
  http::response_parser<http::string_body> parser;
  parser.body_limit(128UL * 1024 * 1024);
  if (aBytesPerSecond == 0) {
    http::write(*socket_, aRequest, error);
  } else {
    const std::string body = std::move(aRequest.body());
    http::request<http::empty_body> head(aRequest.base());
    http::request_serializer<http::empty_body> serializer(head);
    http::write_header(*socket_, serializer, error);
    constexpr size_t kPieces = 50; // A second.
    const size_t piece = aBytesPerSecond / kPieces;
    const auto begin = std::chrono::steady_clock::now();
    for (size_t sent = 0, count = 0; sent < body.size() && !error; ++count) {
      std::this_thread::sleep_until(begin + count * 1000ms / kPieces);
      const size_t size = std::min(piece, body.size() - sent);
      asio::write(*socket_, asio::buffer(body.data() + sent, size), error);
      sent += size;
    }
  }
  if (!error)
    http::read(*socket_, buffer_, parser, error);
  if (error) {
    socket_.reset();
    return std::nullopt;
  }
  ++answersOnChannel;
  if (!parser.get().keep_alive())
    socket_.reset();
  return parser.release();
}

Request
MakeRequest(http::verb aMethod, const std::string& aPath, int aDeadlineMs, std::string aBody)
{
  Request request(aMethod, aPath, 11);
  request.set(http::field::host, kHost);
  request.set("X-Request-Id", NewId());
  request.set("X-Deadline-Ms", std::to_string(aDeadlineMs));
  request.body() = std::move(aBody);
  return request;
}

json::object
MakeRoute(const std::string& aName,
          const std::string& aPrefix,
          const std::string& aService,
          bool aIdempotent,
          double aTimeoutSeconds,
          double aGoalSeconds)
{
  return { { "name", aName },
           { "host", kHost },
           { "path_prefix", aPrefix },
           { "route_type", aIdempotent ? "idempotent" : "non_idempotent" },
           { "timeout_s", aTimeoutSeconds },
           { "goal_s", aGoalSeconds },
           { "priority", 0 },
           { "backend", aService },
           { "attempts", 2 },
           { "sticky", false },
           { "home_regions", json::array{} } };
}

json::object
MakeManifest(const json::array& aRoutes, const std::vector<std::string>& aServices)
{
  json::array services;
  for (const std::string& service : aServices)
    services.push_back(json::object{ { "name", service },
                                     { "health_path", "/healthz" },
                                     { "max_conns", 330 },
                                     { "cold_start_s", 3.0 },
                                     { "cold_per_s", 10.0 } });
  return { { "version", "00000007" },
           { "routes", aRoutes },
           { "services", services },
           { "limits",
             json::object{ { "max_header_bytes", 16384 },
                           { "max_body_bytes", 67108864 },
                           { "header_timeout_s", 3 },
                           { "idle_timeout_s", 15 } } } };
}

} // namespace review
