// Two machines under a crowd of clients. The stand-in for the platform kills a process that exceeds the
// memory of its machine and starts it again; ordinary callers send orders meanwhile.
#pragma once

#include "rig.hh"

namespace rig {

inline constexpr int kRounds = 3;
inline constexpr double kRoundSeconds = 8;
inline constexpr double kRestartDelay = 0.5;

struct Crowd
{
  unsigned memoryMegabytes; ///< Of each machine.
  unsigned clients;         ///< For each machine.
  std::string bytes;        ///< That each client sends, as far as the machine reads.
  const char* text;         ///< What they send, for the record.
};

struct Machine
{
  std::unique_ptr<Daemon> daemon;
  std::mutex mutex; ///< Guards the daemon between a kill and the next start.
  std::atomic<int> overMemory = 0;
  std::atomic<unsigned> answered = 0;
  std::atomic<unsigned> unanswered = 0;
};

/// Kills a process that exceeds its machine's memory and starts it again, as the platform does.
inline void
Watch(Machine& aMachine,
      unsigned aMemoryMegabytes,
      Record& aRecord,
      const std::atomic<bool>& aStop)
{
  double peak = 0;
  while (!aStop) {
    Sleep(0.01);
    const std::scoped_lock lock(aMachine.mutex);
    Daemon& daemon = *aMachine.daemon;
    if (!daemon.IsAlive()) {
      aRecord.Line("%s ended by itself, status %d", daemon.options.name.c_str(), daemon.status);
      ++aMachine.overMemory;
    } else {
      const double memory = daemon.Memory("VmRSS:");
      if (memory > peak + 50) {
        peak = memory;
        aRecord.Line("%s holds %.0f MB", daemon.options.name.c_str(), memory);
      }
      if (memory <= aMemoryMegabytes)
        continue;
      aRecord.Line("%s holds %.0f MB of %u MB: killed by the platform",
                   daemon.options.name.c_str(),
                   memory,
                   aMemoryMegabytes);
      ++aMachine.overMemory;
      daemon.End(SIGKILL);
    }
    peak = 0;
    Sleep(kRestartDelay);
    daemon.Start();
    aRecord.Line("%s started again", daemon.options.name.c_str());
  }
}

/// An ordinary caller on a kept channel.
inline void
CallOrdinarily(Machine& aMachine, Record& aRecord, const std::atomic<bool>& aStop)
{
  Socket socket;
  for (unsigned number = 0; !aStop; ++number, Sleep(0.1)) {
    const std::string& address = aMachine.daemon->options.address;
    if (!socket.IsOpen())
      socket = Socket::Connect(address, Daemon::Callers());
    const std::string id = aMachine.daemon->options.name + "-" + std::to_string(number);
    Message answer;
    const bool whole =
      socket.IsOpen() &&
      socket.Send("POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
                  "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 2\r\n\r\nhi") &&
      ReadMessage(socket, answer, 1.5) == ReadEnd::Whole;
    if (whole) {
      ++aMachine.answered;
    } else {
      ++aMachine.unanswered;
      aRecord.Line("ordinary request %s got no answer", id.c_str());
      socket.Close();
    }
  }
}

/// One client of the crowd.
struct Client
{
  Socket socket;
  size_t sent = 0;

  void Send(const std::string& aBytes)
  {
    constexpr size_t kPiece = 16384;
    if (!socket.IsOpen() || sent == aBytes.size())
      return;
    const ssize_t count = ::send(socket.Descriptor(),
                                 aBytes.data() + sent,
                                 std::min(kPiece, aBytes.size() - sent),
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0)
      sent += static_cast<size_t>(count);
    else if (errno != EAGAIN)
      socket.Close();
  }
};

/// The crowd comes three times. Returns 1 if the processes of both machines exceeded their memory
/// three times, 0 if not, 2 if the machines did not become ready.
inline int
RunCrowd(const Crowd& aCrowd, Record& aRecord)
{
  RequireDescriptors(2 * aCrowd.clients + 200);
  const Folder folder;
  auto& store = Make<Store>(Address(250));
  for (unsigned i = 1; i <= 2; ++i) {
    const std::string id = "i-" + std::to_string(i);
    auto& instance = Make<Instance>(
      Instance::Options{
        .id = id, .service = "orders", .address = Address(100 + i), .zone = "jhb-a" },
      aRecord);
    store.Put("servers", id, instance.Entry());
  }
  store.Put("config", "main", Manifest(7, { { "order", "/order/", "non_idempotent", "orders" } }));

  auto& machines = Make<std::array<Machine, 2>>();
  for (unsigned i = 0; i < machines.size(); ++i) {
    machines[i].daemon =
      std::make_unique<Daemon>(Daemon::Options{ .address = Address(1 + i),
                                                .name = "edge-jhb-a-" + std::to_string(i + 1),
                                                .seeds = { Address(1), Address(2) },
                                                .storePort = store.Port(),
                                                .storeAddress = Address(250),
                                                .memoryMegabytes = aCrowd.memoryMegabytes },
                               folder.path);
    machines[i].daemon->Start();
  }
  bool ready = true;
  for (Machine& machine : machines)
    ready = machine.daemon->WaitUntilReady(15) && ready;
  int result = 2;
  if (!ready) {
    aRecord.Line("the machines did not become ready");
  } else {
    Sleep(2);
    std::atomic<bool> stop = false;
    std::vector<std::thread> threads;
    for (Machine& machine : machines) {
      threads.emplace_back([&] { Watch(machine, aCrowd.memoryMegabytes, aRecord, stop); });
      threads.emplace_back([&] { CallOrdinarily(machine, aRecord, stop); });
    }
    for (int round = 1; round <= kRounds; ++round) {
      const auto isOver = [round](const Machine& aMachine) { return aMachine.overMemory >= round; };
      std::array<std::vector<Client>, 2> crowds;
      for (size_t i = 0; Trouble() && i < machines.size(); ++i) {
        for (unsigned client = 0; client < aCrowd.clients; ++client)
          crowds[i].push_back({ .socket = Socket::Connect(machines[i].daemon->options.address,
                                                          Daemon::Callers()) });
        aRecord.Line("round %d: %u clients connected to %s and now send %s",
                     round,
                     aCrowd.clients,
                     machines[i].daemon->options.name.c_str(),
                     aCrowd.text);
      }
      const double end = Now() + kRoundSeconds;
      while (Now() < end && !std::ranges::all_of(machines, isOver)) {
        for (size_t i = 0; i < machines.size(); ++i) {
          if (isOver(machines[i]))
            crowds[i].clear();
          for (Client& client : crowds[i])
            client.Send(aCrowd.bytes);
        }
        Sleep(0.01);
      }
      for (std::vector<Client>& crowd : crowds)
        crowd.clear();
      for (Machine& machine : machines) {
        Sleep(0.5);
        const std::scoped_lock lock(machine.mutex);
        machine.daemon->WaitUntilReady(10);
      }
    }
    stop = true;
    for (std::thread& thread : threads)
      thread.join();
    bool broken = true;
    for (Machine& machine : machines) {
      aRecord.Line("%s: %d ends over memory; ordinary requests: %u answered, %u unanswered",
                   machine.daemon->options.name.c_str(),
                   machine.overMemory.load(),
                   machine.answered.load(),
                   machine.unanswered.load());
      broken = broken && machine.overMemory >= kRounds;
    }
    aRecord.Line("rule Fault (three ends by themselves on two machines): %s",
                 broken ? "broken" : "held");
    result = broken ? 1 : 0;
  }
  for (Machine& machine : machines)
    machine.daemon->End(SIGKILL);
  return result;
}

} // namespace rig
