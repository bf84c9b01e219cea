// Stand-ins for the review's scripts: the platform's store, instances and requesters, and the
// handling of the entry VMs, which are processes of their own. Blocking sockets, a thread a
// connection. Everything listens on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <signal.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

/// Seconds since the start of the program.
inline double
Now()
{
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void
SleepUntil(double aTime)
{
  std::this_thread::sleep_until(kStart + std::chrono::duration_cast<Clock::duration>(
                                           std::chrono::duration<double>(aTime)));
}

inline void
Sleep(double aSeconds)
{
  SleepUntil(Now() + aSeconds);
}

inline std::string
Format(const char* aFormat, ...)
{
  va_list arguments;
  va_start(arguments, aFormat);
  char text[4096];
  std::vsnprintf(text, sizeof(text), aFormat, arguments);
  va_end(arguments);
  return text;
}

/// The record of what was sent, answered and run.
class Record
{
public:
  void Open(const std::string& aPath) { file_ = std::fopen(aPath.c_str(), "w"); }
  void Add(const std::string& aLine)
  {
    const std::lock_guard lock(mutex_);
    if (file_ != nullptr)
      std::fprintf(file_, "%9.3f %s\n", Now(), aLine.c_str());
  }
  void Flush()
  {
    const std::lock_guard lock(mutex_);
    if (file_ != nullptr)
      std::fflush(file_);
  }

private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};

inline Record record;

/// Also to standard output.
inline void
Say(const std::string& aLine)
{
  record.Add(aLine);
  std::printf("%9.3f %s\n", Now(), aLine.c_str());
  std::fflush(stdout);
}

// --- HTTP ---------------------------------------------------------------------------------------

struct Message
{
  std::string start; ///< Request line or status line.
  std::map<std::string, std::string> fields; ///< Names in lower case.
  std::string body;

  std::string Field(const std::string& aName) const
  {
    const auto found = fields.find(aName);
    return found == fields.end() ? std::string() : found->second;
  }
  std::string Word(size_t aIndex) const
  {
    size_t begin = 0;
    for (; aIndex > 0; --aIndex) {
      begin = start.find(' ', begin);
      if (begin == std::string::npos)
        return {};
      ++begin;
    }
    return start.substr(begin, start.find(' ', begin) - begin);
  }
};

/// One connection; closes its socket.
class Stream
{
public:
  explicit Stream(int aSocket)
    : socket_(aSocket)
  {
    int one = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Stream() { Close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  int Socket() const { return socket_; }
  void Close()
  {
    if (socket_ >= 0)
      ::close(socket_);
    socket_ = -1;
  }
  void Reset()
  {
    linger hard{ .l_onoff = 1, .l_linger = 0 };
    if (socket_ >= 0)
      ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    Close();
  }
  bool Write(const std::string& aBytes)
  {
    size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t count =
        ::send(socket_, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0)
        return false;
      sent += static_cast<size_t>(count);
    }
    return true;
  }
  /// Waits for bytes for at most aSeconds. Returns false at the end, an error or the time-out.
  bool Fill(double aSeconds)
  {
    pollfd wait{ .fd = socket_, .events = POLLIN, .revents = 0 };
    const int ready = ::poll(&wait, 1, static_cast<int>(std::max(0.0, aSeconds) * 1000));
    timedOut = ready == 0;
    if (ready <= 0)
      return false;
    char bytes[65536];
    const ssize_t count = ::recv(socket_, bytes, sizeof(bytes), 0);
    if (count <= 0)
      return false;
    buffer_.append(bytes, static_cast<size_t>(count));
    return true;
  }
  bool HasBytes() const { return !buffer_.empty(); }
  /// Reads a message with a length, in chunks or without a body.
  std::optional<Message> Read(double aSeconds, bool aIsAnswer = false)
  {
    const double end = Now() + aSeconds;
    size_t head = std::string::npos;
    while ((head = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(end - Now()))
        return std::nullopt;
    }
    Message message;
    size_t at = buffer_.find("\r\n");
    message.start = buffer_.substr(0, at);
    while (at < head) {
      at += 2;
      const size_t line = buffer_.find("\r\n", at);
      const size_t colon = buffer_.find(':', at);
      std::string name = buffer_.substr(at, colon - at);
      for (char& character : name)
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
      size_t value = colon + 1;
      while (value < line && buffer_[value] == ' ')
        ++value;
      message.fields[name] = buffer_.substr(value, line - value);
      at = line;
    }
    buffer_.erase(0, head + 4);
    const auto length = message.fields.find("content-length");
    if (length != message.fields.end()) {
      const size_t bytes = std::strtoull(length->second.c_str(), nullptr, 10);
      while (buffer_.size() < bytes) {
        if (!Fill(end - Now()))
          return std::nullopt;
      }
      message.body = buffer_.substr(0, bytes);
      buffer_.erase(0, bytes);
    } else if (message.Field("transfer-encoding") == "chunked") {
      for (;;) {
        size_t line = 0;
        while ((line = buffer_.find("\r\n")) == std::string::npos) {
          if (!Fill(end - Now()))
            return std::nullopt;
        }
        const size_t bytes = std::strtoull(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < line + 2 + bytes + 2) {
          if (!Fill(end - Now()))
            return std::nullopt;
        }
        message.body += buffer_.substr(line + 2, bytes);
        buffer_.erase(0, line + 2 + bytes + 2);
        if (bytes == 0)
          break;
      }
    } else if (aIsAnswer) {
      while (Fill(end - Now()))
        ;
      message.body.swap(buffer_);
    }
    return message;
  }

  bool timedOut = false;

private:
  int socket_;
  std::string buffer_;
};

struct Address
{
  std::string host;
  uint16_t port = 0;
  std::string Text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in
ToSocketAddress(const Address& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(aAddress.port);
  ::inet_pton(AF_INET, aAddress.host.c_str(), &result.sin_addr);
  return result;
}

/// Listens on an address; port 0 takes a free one. Returns -1 when that fails.
inline int
Listen(Address& aAddress)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in address = ToSocketAddress(aAddress);
  if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(socket, 1024) != 0) {
    ::close(socket);
    return -1;
  }
  socklen_t length = sizeof(address);
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
  aAddress.port = ntohs(address.sin_port);
  return socket;
}

inline int
Connect(const Address& aAddress, double aSeconds)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address = ToSocketAddress(aAddress);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    pollfd wait{ .fd = socket, .events = POLLOUT, .revents = 0 };
    int error = 0;
    socklen_t length = sizeof(error);
    if (errno != EINPROGRESS || ::poll(&wait, 1, static_cast<int>(aSeconds * 1000)) <= 0 ||
        ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
      ::close(socket);
      return -1;
    }
  }
  ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
  return socket;
}

/// Accepts the connections of all servers in one thread.
class Acceptor
{
public:
  using Handler = std::function<void(int aSocket)>;

  static Acceptor& The()
  {
    static Acceptor* const acceptor = new Acceptor;
    return *acceptor;
  }
  void Add(int aListener, Handler aHandler)
  {
    const std::lock_guard lock(mutex_);
    handlers_[aListener] = std::move(aHandler);
  }
  void Remove(int aListener)
  {
    const std::lock_guard lock(mutex_);
    handlers_.erase(aListener);
    ::close(aListener);
  }

private:
  Acceptor()
  {
    std::thread([this] { Run(); }).detach();
  }
  void Run()
  {
    for (;;) {
      std::vector<pollfd> waits;
      {
        const std::lock_guard lock(mutex_);
        for (const auto& [listener, handler] : handlers_)
          waits.push_back({ .fd = listener, .events = POLLIN, .revents = 0 });
      }
      ::poll(waits.data(), waits.size(), 20);
      const std::lock_guard lock(mutex_);
      for (const pollfd& wait : waits) {
        const auto found = handlers_.find(wait.fd);
        if ((wait.revents & POLLIN) == 0 || found == handlers_.end())
          continue;
        const int socket = ::accept4(wait.fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket >= 0)
          found->second(socket);
      }
    }
  }

  std::mutex mutex_;
  std::map<int, Handler> handlers_;
};

/// A server with a thread for each connection.
class Server
{
public:
  using Handler = std::function<void(const std::shared_ptr<Stream>&)>;

  explicit Server(Handler aHandler)
    : handler_(std::move(aHandler))
  {
  }
  ~Server() { Stop(); }
  bool Start(Address aAddress)
  {
    address_ = std::move(aAddress);
    listener_ = Listen(address_);
    if (listener_ < 0)
      return false;
    Acceptor::The().Add(listener_, [this](int aSocket) { Accept(aSocket); });
    return true;
  }
  const Address& At() const { return address_; }
  /// Stops listening and resets all connections.
  void Stop()
  {
    if (listener_ < 0)
      return;
    Acceptor::The().Remove(listener_);
    listener_ = -1;
    ResetAll();
  }
  void ResetAll()
  {
    const std::lock_guard lock(mutex_);
    for (const auto& weak : streams_) {
      const auto stream = weak.lock();
      if (stream == nullptr || stream->Socket() < 0)
        continue;
      // The thread of the connection closes the socket; SO_LINGER makes that a reset.
      linger hard{ .l_onoff = 1, .l_linger = 0 };
      ::setsockopt(stream->Socket(), SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
      ::shutdown(stream->Socket(), SHUT_RD);
    }
  }

private:
  void Accept(int aSocket)
  {
    auto stream = std::make_shared<Stream>(aSocket);
    {
      const std::lock_guard lock(mutex_);
      std::erase_if(streams_, [](const auto& aStream) { return aStream.expired(); });
      streams_.push_back(stream);
    }
    std::thread([handler = handler_, stream] { handler(stream); }).detach();
  }

  Handler handler_;
  Address address_;
  int listener_ = -1;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Stream>> streams_;
};

// --- The platform's store -----------------------------------------------------------------------

inline std::string
Quote(const std::string& aText)
{
  return "\"" + aText + "\"";
}

/// Text of the value of a member of a JSON object, found by its quoted name; empty without one. For
/// what the entry VMs write, whose strings hold no brackets.
inline std::string
JsonMember(const std::string& aText, const std::string& aName)
{
  size_t at = aText.find(Quote(aName) + ":");
  if (at == std::string::npos)
    return {};
  at += aName.size() + 3;
  int depth = 0;
  bool quoted = false;
  for (size_t end = at; end < aText.size(); ++end) {
    const char character = aText[end];
    if (character == '"')
      quoted = !quoted;
    if (quoted)
      continue;
    if (character == '{' || character == '[')
      ++depth;
    const bool closes = character == '}' || character == ']';
    if (depth == 0 && (closes || character == ','))
      return aText.substr(at, end - at);
    if (closes)
      --depth;
  }
  return aText.substr(at);
}

class Store
{
public:
  struct Object
  {
    uint64_t revision = 0;
    uint64_t created = 0;
    std::string spec;
  };
  struct Event
  {
    uint64_t revision = 0;
    std::string kind;
    std::string text; ///< The event as the watch reports it.
  };

  Store()
    : server([this](const std::shared_ptr<Stream>& aStream) { Serve(aStream); })
  {
  }

  void Put(const std::string& aKind, const std::string& aName, const std::string& aSpec)
  {
    const std::lock_guard lock(mutex);
    PutLocked(aKind, aName, aSpec);
  }
  void Remove(const std::string& aKind, const std::string& aName)
  {
    const std::lock_guard lock(mutex);
    RemoveLocked(aKind, aName);
  }
  uint64_t Revision()
  {
    const std::lock_guard lock(mutex);
    return revision;
  }
  bool Has(const std::string& aKind, const std::string& aName)
  {
    const std::lock_guard lock(mutex);
    return objects[aKind].contains(aName);
  }
  size_t Count(const std::string& aKind)
  {
    const std::lock_guard lock(mutex);
    return objects[aKind].size();
  }
  /// Ends the waiting watches of a kind without an answer. Returns how many there were.
  unsigned CutWatches(const std::string& aKind)
  {
    const std::lock_guard lock(mutex);
    ++cuts[aKind];
    changed.notify_all();
    return waiting[aKind];
  }

  // Set before the start, or under the mutex.
  double latency = 0.004; ///< Time of an answer, in seconds.
  size_t pageItems = 500;
  size_t pageBytes = 1000000;
  std::function<void(const std::string& aKind, size_t aItems, bool aMore)> pageSent;
  std::map<std::string, unsigned> calls; ///< By method and kind.

  std::mutex mutex;
  Server server;

private:
  void PutLocked(const std::string& aKind, const std::string& aName, const std::string& aSpec)
  {
    Object& object = objects[aKind][aName];
    if (object.revision > 0 && object.spec == aSpec)
      return;
    object.spec = aSpec;
    object.revision = ++revision;
    if (object.created == 0)
      object.created = revision;
    AddEvent(aKind, aName, object, false);
  }
  bool RemoveLocked(const std::string& aKind, const std::string& aName)
  {
    const auto found = objects[aKind].find(aName);
    if (found == objects[aKind].end())
      return false;
    Object object = found->second;
    objects[aKind].erase(found);
    object.revision = ++revision;
    AddEvent(aKind, aName, object, true);
    return true;
  }
  static std::string ObjectText(const std::string& aName, const Object& aObject)
  {
    return "{\"metadata\":{\"name\":" + Quote(aName) +
           ",\"revision\":" + std::to_string(aObject.revision) +
           ",\"created\":" + std::to_string(aObject.created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + aObject.spec + ",\"status\":null}";
  }
  void AddEvent(const std::string& aKind,
                const std::string& aName,
                const Object& aObject,
                bool aDeleted)
  {
    events.push_back({ .revision = revision,
                       .kind = aKind,
                       .text = std::string("{\"deleted\":") + (aDeleted ? "true" : "false") +
                               ",\"object\":" + ObjectText(aName, aObject) + "}" });
    changed.notify_all();
  }
  static void Answer(Stream& aStream, const std::string& aStatus, const std::string& aBody)
  {
    aStream.Write("HTTP/1.1 " + aStatus + "\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  }
  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    size_t at = aTarget.find('?');
    while (at != std::string::npos) {
      const size_t end = aTarget.find('&', ++at);
      const std::string part = aTarget.substr(at, end - at);
      if (part.rfind(aName + "=", 0) == 0)
        return part.substr(aName.size() + 1);
      at = end;
    }
    return {};
  }
  void Serve(const std::shared_ptr<Stream>& aStream)
  {
    while (const auto request = aStream->Read(3600)) {
      const std::string method = request->Word(0);
      const std::string target = request->Word(1);
      const std::string path = target.substr(0, target.find('?'));
      const std::string prefix = "/objects/";
      if (path.rfind(prefix, 0) != 0) {
        Answer(*aStream, "404 Not Found", "{}");
        continue;
      }
      const std::string rest = path.substr(prefix.size());
      const size_t slash = rest.find('/');
      const std::string kind = rest.substr(0, slash);
      const std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
      double wait = 0;
      {
        const std::lock_guard lock(mutex);
        wait = latency;
        ++calls[method + " " + kind];
      }
      if (method != "GET") {
        Sleep(wait / 2);
        Change(*aStream, method, kind, name, request->body);
        continue;
      }
      if (!Query(target, "watch").empty()) {
        Sleep(wait / 2);
        if (!Watch(*aStream, target, kind, wait / 2))
          return;
        continue;
      }
      List(*aStream, target, kind, name, wait);
    }
  }
  void Change(Stream& aStream,
              const std::string& aMethod,
              const std::string& aKind,
              const std::string& aName,
              const std::string& aBody)
  {
    std::string status = "200 OK";
    std::string body = "{}";
    {
      const std::lock_guard lock(mutex);
      std::string name = aName;
      if (name.empty()) {
        name = JsonMember(JsonMember(aBody, "metadata"), "name");
        name = name.size() < 2 ? name : name.substr(1, name.size() - 2);
      }
      const bool exists = objects[aKind].contains(name);
      if (aMethod == "DELETE") {
        if (!RemoveLocked(aKind, name))
          status = "404 Not Found";
      } else if (aMethod == "POST" && exists) {
        status = "409 Conflict";
      } else if (aMethod == "PUT" && !exists) {
        status = "404 Not Found";
      } else {
        PutLocked(aKind, name, JsonMember(aBody, "spec"));
      }
      if (objects[aKind].contains(name))
        body = ObjectText(name, objects[aKind][name]);
    }
    Sleep(latency / 2);
    Answer(aStream, status, body);
  }
  bool Watch(Stream& aStream, const std::string& aTarget, const std::string& aKind, double aWait)
  {
    const uint64_t since = std::strtoull(Query(aTarget, "watch").c_str(), nullptr, 10);
    const double end =
      Now() + std::min(30000.0, std::strtod(Query(aTarget, "wait_ms").c_str(), nullptr)) / 1000;
    std::string found;
    uint64_t asOf = 0;
    {
      std::unique_lock lock(mutex);
      const unsigned cut = cuts[aKind];
      for (;;) {
        for (const Event& event : events) {
          if (event.revision > since && event.kind == aKind)
            found += (found.empty() ? "" : ",") + event.text;
        }
        asOf = revision;
        if (!found.empty() || Now() >= end)
          break;
        ++waiting[aKind];
        changed.wait_until(lock,
                           kStart + std::chrono::duration_cast<Clock::duration>(
                                      std::chrono::duration<double>(end)));
        --waiting[aKind];
        if (cuts[aKind] != cut) {
          record.Add("store: a waiting watch of " + aKind + " is cut off");
          return false;
        }
      }
    }
    Sleep(aWait);
    Answer(aStream,
           "200 OK",
           "{\"events\":[" + found + "],\"as_of\":" + std::to_string(asOf) + "}");
    return true;
  }
  void List(Stream& aStream,
            const std::string& aTarget,
            const std::string& aKind,
            const std::string& aName,
            double aWait)
  {
    Sleep(aWait / 2);
    std::string body;
    std::string status = "200 OK";
    size_t items = 0;
    bool more = false;
    {
      const std::lock_guard lock(mutex);
      if (!aName.empty()) {
        const auto found = objects[aKind].find(aName);
        if (found == objects[aKind].end())
          status = "404 Not Found";
        else
          body = ObjectText(found->first, found->second);
      } else {
        body = "{\"items\":[";
        const std::string after = Query(aTarget, "after");
        for (auto object = objects[aKind].upper_bound(after); object != objects[aKind].end();
             ++object) {
          if (items == pageItems || body.size() > pageBytes) {
            more = true;
            break;
          }
          body += (items++ > 0 ? "," : "") + ObjectText(object->first, object->second);
        }
        body += std::string("],\"has_more\":") + (more ? "true" : "false") +
                ",\"as_of\":" + std::to_string(revision) + "}";
      }
    }
    Sleep(aWait / 2);
    Answer(aStream, status, body);
    if (aName.empty() && pageSent)
      pageSent(aKind, items, more);
  }

  std::condition_variable changed;
  uint64_t revision = 100;
  std::map<std::string, std::map<std::string, Object>> objects;
  std::vector<Event> events;
  std::map<std::string, unsigned> cuts;
  std::map<std::string, unsigned> waiting;
};

// --- Instances ----------------------------------------------------------------------------------

/// One run of a request at an instance.
struct Run
{
  std::string id;
  std::string instance;
  std::string method;
  std::string target;
  std::string body;
  double at = 0;
  bool cut = false; ///< The instance ended before the answer.
};

inline std::mutex runsMutex;
inline std::vector<Run> runs;

class Instance
{
public:
  Instance(std::string aId, std::string aService, std::string aZone, unsigned aSlots, double aWork)
    : id(std::move(aId))
    , service(std::move(aService))
    , zone(std::move(aZone))
    , slots(aSlots)
    , work(aWork)
    , server([this](const std::shared_ptr<Stream>& aStream) { Serve(aStream); })
  {
    born = static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                   std::chrono::system_clock::now().time_since_epoch())
                                   .count());
  }
  bool Start() { return server.Start({ "127.0.0.1", 0 }); }
  std::string Entry(const std::string& aState) const
  {
    return "{\"addr\":" + Quote(server.At().Text()) + ",\"born\":" + std::to_string(born) +
           ",\"info\":{\"backend\":" + Quote(service) + ",\"version\":\"v1\",\"zone\":" +
           Quote(zone) + ",\"slots\":" + std::to_string(slots) +
           "},\"status\":{\"state\":" + Quote(aState) + ",\"seq\":1,\"cold_left_s\":0}}";
  }
  /// Ends the process that it stands for: all connections break off.
  void End()
  {
    ended = true;
    server.Stop();
  }

  const std::string id;
  const std::string service;
  const std::string zone;
  const unsigned slots;
  std::atomic<double> work;
  std::atomic<bool> ended = false;
  std::atomic<bool> draining = false;
  uint64_t born = 0;
  Server server;
  std::function<bool(const std::shared_ptr<Stream>&, const Message&)> custom;

private:
  void Serve(const std::shared_ptr<Stream>& aStream)
  {
    while (const auto request = aStream->Read(10)) {
      if (custom && custom(aStream, *request))
        continue;
      const std::string requestId = request->Field("x-request-id");
      const std::string idLine = requestId.empty() ? "" : "X-Request-Id: " + requestId + "\r\n";
      const std::string expected = request->Field("x-expect-instance");
      if (!expected.empty() && expected != id) {
        aStream->Write("HTTP/1.1 421 Misdirected Request\r\n" + idLine + "X-Instance-Id: " + id +
                       "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (request->Word(1) == "/healthz") {
        aStream->Write(std::string("HTTP/1.1 ") +
                       (draining ? "503 Service Unavailable" : "200 OK") +
                       "\r\nX-Instance-Id: " + id + "\r\nX-Server-Load: 0,0," +
                       std::to_string(slots) + "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      size_t index = 0;
      {
        const std::lock_guard lock(runsMutex);
        index = runs.size();
        runs.push_back({ .id = requestId,
                         .instance = id,
                         .method = request->Word(0),
                         .target = request->Word(1),
                         .body = request->body,
                         .at = Now() });
      }
      record.Add("run " + requestId + " at " + id);
      const double end = Now() + work;
      while (Now() < end && !ended)
        Sleep(std::min(0.01, std::max(0.0, end - Now())));
      if (ended) {
        const std::lock_guard lock(runsMutex);
        runs[index].cut = true;
        record.Add("run " + requestId + " at " + id + " is cut off by the end of the instance");
        return;
      }
      const std::string body = "body of " + requestId + " by " + id;
      if (!aStream->Write("HTTP/1.1 200 OK\r\n" + idLine + "X-Server-Stamp: " + id + "." +
                          requestId + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }
};

// --- Entry VMs ----------------------------------------------------------------------------------

struct Vm
{
  std::string name;
  std::string region;
  std::string zone;
  std::string ip;
  pid_t pid = -1;
  std::string settings = {}; ///< Path of the settings file.
  std::string log = {};

  Address Callers() const { return { ip, 8548 }; }
  Address Ready() const { return { ip, 8542 }; }
};

/// Prefix of the loopback addresses of the VMs, one a script so that scripts may overlap.
inline std::string vmPrefix = "127.40.1.";

class Fleet
{
public:
  ~Fleet() { KillAll(); }

  void Add(std::string aRegion, std::string aZone)
  {
    const std::string number = std::to_string(vms.size() + 1);
    vms.push_back({ .name = "edge-" + aZone + "-" + number,
                    .region = std::move(aRegion),
                    .zone = std::move(aZone),
                    .ip = vmPrefix + number });
  }
  /// The settings as the platform renders them from deploy/settings.json.
  void WriteSettings(const std::string& aFolder,
                     const std::map<std::string, std::string>& aZones,
                     const Address& aStore,
                     const std::string& aExtra = "")
  {
    std::string zones;
    for (const auto& [zone, region] : aZones)
      zones += (zones.empty() ? "" : ",") + Quote(zone) + ":" + Quote(region);
    std::string seeds;
    for (size_t i = 0; i < std::min<size_t>(3, vms.size()); ++i)
      seeds += (i > 0 ? "," : "") + Quote(vms[i].ip + ":8544");
    for (Vm& vm : vms) {
      vm.settings = aFolder + "/" + vm.name + ".json";
      vm.log = aFolder + "/" + vm.name + ".log";
      std::FILE* file = std::fopen(vm.settings.c_str(), "w");
      std::fprintf(file,
                   "{\"vm\":\"%s\",\"region\":\"%s\",\"failureDomain\":\"%s\","
                   "\"failureDomains\":{%s},\"address\":\"%s\",\"callers\":\"%s:8548\","
                   "\"readiness\":\"%s:8542\",\"directory\":\"%s:8546\",\"operators\":\"%s:9464\","
                   "\"vmPorts\":{\"first\":7540,\"last\":7555},\"seeds\":[%s],\"store\":\"%s\","
                   "\"stopSeconds\":6,\"directoryTtlSeconds\":1,\"retryRatio\":0.2,"
                   "\"retrySlack\":58,\"instanceReportSeconds\":1.5,\"maxShift\":0.15,"
                   "\"memoryMegabytes\":260,\"maxDescriptors\":4100%s}\n",
                   vm.name.c_str(),
                   vm.region.c_str(),
                   vm.zone.c_str(),
                   zones.c_str(),
                   vm.ip.c_str(),
                   vm.ip.c_str(),
                   vm.ip.c_str(),
                   vm.ip.c_str(),
                   vm.ip.c_str(),
                   seeds.c_str(),
                   aStore.Text().c_str(),
                   aExtra.c_str());
      std::fclose(file);
    }
  }
  void Start(Vm& aVm)
  {
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(aVm.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, STDOUT_FILENO);
      ::dup2(out, STDERR_FILENO);
      ::setenv("DRAGONFLYMOOR_CONFIG", aVm.settings.c_str(), 1);
      ::execl("target/tools/dragonflymoord/dragonflymoord",
              "target/tools/dragonflymoord/dragonflymoord",
              "--platform",
              nullptr);
      ::_exit(127);
    }
    aVm.pid = pid;
    Say("vm " + aVm.name + " starts at " + aVm.ip);
  }
  /// Waits until the readiness page answers 200.
  static bool IsReady(const Vm& aVm)
  {
    const int socket = Connect(aVm.Ready(), 0.5);
    if (socket < 0)
      return false;
    Stream stream(socket);
    stream.Write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
    const auto answer = stream.Read(1, true);
    return answer && answer->Word(1) == "200";
  }
  bool WaitReady(double aSeconds)
  {
    const double end = Now() + aSeconds;
    for (const Vm& vm : vms) {
      while (!IsReady(vm)) {
        if (Now() > end)
          return false;
        Sleep(0.05);
      }
    }
    return true;
  }
  static bool IsRunning(Vm& aVm)
  {
    if (aVm.pid <= 0)
      return false;
    int status = 0;
    if (::waitpid(aVm.pid, &status, WNOHANG) == 0)
      return true;
    Say("vm " + aVm.name + " has ended, status " + std::to_string(status));
    aVm.pid = -1;
    return false;
  }
  void Kill(Vm& aVm)
  {
    if (aVm.pid > 0) {
      ::kill(aVm.pid, SIGKILL);
      ::waitpid(aVm.pid, nullptr, 0);
    }
    aVm.pid = -1;
  }
  void KillAll()
  {
    for (Vm& vm : vms)
      Kill(vm);
  }

  std::vector<Vm> vms;
};

// --- Requesters ---------------------------------------------------------------------------------

struct Attempt
{
  std::string id;
  std::string vm;
  double sentAt = 0;
  double endedAt = 0;
  int status = 0; ///< 0: the connection ended without a complete answer; -1: not sent.
  bool timedOut = false;
  std::string stamp;
  std::string body;
  std::string retryAfter;
};

inline std::mutex attemptsMutex;
inline std::vector<Attempt> attempts;
inline std::atomic<unsigned> nextId = 1;

/// A requester with one kept connection to one VM.
class Requester
{
public:
  Requester(const Vm& aVm)
    : vm_(aVm.name)
    , address_(aVm.Callers())
  {
  }
  Attempt Send(const std::string& aMethod,
               const std::string& aHost,
               const std::string& aTarget,
               const std::string& aBody,
               double aTimeout,
               const std::string& aFields = "")
  {
    Attempt attempt;
    attempt.id = Format("%08x%08x", nextId++, static_cast<unsigned>(::getpid()));
    attempt.vm = vm_;
    if (stream_ == nullptr) {
      const int socket = Connect(address_, 1);
      if (socket >= 0)
        stream_ = std::make_unique<Stream>(socket);
    }
    attempt.sentAt = Now();
    if (stream_ == nullptr) {
      attempt.status = -1;
    } else {
      stream_->Write(aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost + "\r\nX-Request-Id: " +
                     attempt.id + "\r\nX-Deadline-Ms: " +
                     std::to_string(static_cast<int>(aTimeout * 1000)) + "\r\n" + aFields +
                     (aMethod == "GET" ? std::string()
                                       : "Content-Length: " + std::to_string(aBody.size()) + "\r\n") +
                     "\r\n" + aBody);
      const auto answer = stream_->Read(aTimeout + 0.5, true);
      attempt.timedOut = stream_->timedOut;
      if (answer) {
        attempt.status = std::atoi(answer->Word(1).c_str());
        attempt.stamp = answer->Field("x-server-stamp");
        attempt.body = answer->body;
        attempt.retryAfter = answer->Field("retry-after");
      }
      if (!answer || answer->Field("connection") == "close")
        stream_.reset();
    }
    attempt.endedAt = Now();
    record.Add("sent " + attempt.id + " to " + vm_ + Format(" at %.3f, answered ", attempt.sentAt) +
               (attempt.status > 0 ? std::to_string(attempt.status)
                                   : attempt.timedOut ? "nothing in time" : "by a closed channel") +
               (attempt.stamp.empty() ? "" : ", stamp " + attempt.stamp));
    const std::lock_guard lock(attemptsMutex);
    attempts.push_back(attempt);
    return attempt;
  }
  void Drop() { stream_.reset(); }

private:
  std::string vm_;
  Address address_;
  std::unique_ptr<Stream> stream_;
};

/// A temporary folder that is removed at the end.
class Folder
{
public:
  Folder()
  {
    char path[] = "/tmp/review-XXXXXX";
    path_ = ::mkdtemp(path);
  }
  ~Folder()
  {
    if (std::getenv("KEEP") == nullptr)
      std::system(("rm -rf " + path_).c_str());
  }
  const std::string& Path() const { return path_; }

private:
  std::string path_;
};

inline bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace rig
