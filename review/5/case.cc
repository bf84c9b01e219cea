// A request crashes each instance that begins to run it, and comes again every few seconds on a
// quiet night. The system must stop passing it on.
#include "../common/standins.hh"

#include <algorithm>
#include <fmt/format.h>

using namespace review;

namespace {

constexpr double kSettleWindow = 3; // settle_window_s
constexpr unsigned kMaxRetries = 3;
constexpr double kBegin = 6;
constexpr double kEnd = 56;
constexpr auto kPeriod = 3s;

} // namespace

int
main(int argc, char** argv)
{
  if (argc != 4)
    return 2;
  const bool trouble = std::string(argv[3]) != "0";
  Record record("record.txt");
  const Address storeAddress{ "127.0.0.1", FreePorts({ "127.0.0.1" }, 1) };
  Store store(storeAddress);
  std::vector<std::unique_ptr<Instance>> instances;
  for (int i = 0; i < 12; ++i)
    instances.push_back(std::make_unique<Instance>(
      store,
      record,
      InstanceOptions{ .service = "shelfview",
                       .zone = i % 2 == 0 ? "jhb-a" : "jhb-b",
                       .slots = 9,
                       .work = 244ms,
                       .crashPath = trouble ? "/stock/bad" : "" }));
  store.Put("config",
            "main",
            MakeManifest({ MakeRoute("stock", "/stock/", "shelfview", true, 3, 1) },
                         { "shelfview" }));
  Machines machines(argv[1], argv[2], record);
  machines.Start({ { "edge-jhb-a-1", "jhb-a", "127.0.0.2" },
                   { "edge-jhb-b-1", "jhb-b", "127.0.0.3" } },
                 storeAddress);
  if (!machines.WaitUntilReady())
    Finish(machines, 2);
  SleepUntil(kBegin);

  // The usual requests of the night: one each two seconds at each machine.
  std::atomic<unsigned> answered = 0;
  std::atomic<unsigned> unanswered = 0;
  std::vector<std::thread> users;
  for (size_t machine = 0; machine < 2; ++machine) {
    users.emplace_back([&, machine] {
      Channel channel(machines.Front(machine));
      for (double at = kBegin + static_cast<double>(machine); at < kEnd; at += 2) {
        SleepUntil(at);
        const auto answer = channel.Send(MakeRequest(http::verb::get, "/stock/usual", 1200));
        ++(answer && answer->result() == http::status::ok ? answered : unanswered);
      }
    });
  }

  // The same caller sends the same request, at one machine after the other, each time on a new
  // channel.
  std::set<std::string> sent;
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; Now() < kEnd; ++i) {
    std::this_thread::sleep_until(begin + i * kPeriod);
    Channel channel(machines.Front(static_cast<size_t>(i % 2)));
    const Request request = MakeRequest(http::verb::get, "/stock/bad", 1200);
    const std::string id(request["X-Request-Id"]);
    sent.insert(id);
    record.Line(fmt::format("bad request {} sent to machine {}", id, i % 2 + 1));
    const auto answer = channel.Send(request);
    record.Line("bad request " + id + " " +
                (answer ? fmt::format("answered {}", answer->result_int()) : "gets no answer"));
  }
  for (std::thread& user : users)
    user.join();

  // BUDGET: how many retries reach instances later than settle_window_s after the third crash.
  std::vector<double> crashes;
  std::vector<Instance::Arrival> arrivals;
  for (const auto& instance : instances) {
    for (const double crash : instance->Crashes())
      crashes.push_back(crash);
    for (const Instance::Arrival& arrival : instance->Arrivals())
      if (sent.count(arrival.id) > 0)
        arrivals.push_back(arrival);
  }
  std::sort(crashes.begin(), crashes.end());
  std::set<std::string> retries;
  if (crashes.size() >= 3) {
    for (const Instance::Arrival& arrival : arrivals)
      if (arrival.at > crashes[2] + kSettleWindow)
        retries.insert(arrival.id);
  }
  const std::string result = fmt::format(
    "bad requests sent {}, instances crashed {} times, retries that reached instances later than {} "
    "s after the third crash {} (more than {} break the rule), usual requests answered {}, not {}",
    sent.size(),
    crashes.size(),
    kSettleWindow,
    retries.size(),
    kMaxRetries,
    answered.load(),
    unanswered.load());
  record.Line(result);
  fmt::print("{}\n", result);
  if (answered == 0 || (trouble && crashes.size() < 3))
    Finish(machines, trouble && answered > 0 ? 0 : 2);
  Finish(machines, retries.size() > kMaxRetries ? 1 : 0);
}
