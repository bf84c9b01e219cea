// The store ends each watch that has waited for a second. An instance leaves without reporting that
// it drains: its entry is removed. The machine that follows the store must stop using it.
#include "../common/standins.hh"

#include <fmt/format.h>

using namespace review;

namespace {

constexpr double kDrain = 2.5; // drain_s
constexpr double kLeaveAt = 12;
constexpr double kExitAt = kLeaveAt + 12; // "At times many seconds" after drain_s.
constexpr double kEnd = 26;
constexpr int kWatchLimitMs = 1000;

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
  if (trouble)
    store.cutWatchesAfterMs = kWatchLimitMs;
  std::vector<std::unique_ptr<Instance>> instances;
  for (int i = 0; i < 4; ++i)
    instances.push_back(std::make_unique<Instance>(
      store,
      record,
      InstanceOptions{ .service = "orderbook",
                       .zone = i % 2 == 0 ? "jhb-a" : "jhb-b",
                       .slots = 4,
                       .work = 100ms }));
  store.Put("config",
            "main",
            MakeManifest({ MakeRoute("orders", "/orders/", "orderbook", false, 3, 1) },
                         { "orderbook" }));
  Machines machines(argv[1], argv[2], record);
  machines.Start({ { "edge-jhb-a-1", "jhb-a", "127.0.0.2" },
                   { "edge-jhb-b-1", "jhb-b", "127.0.0.3" } },
                 storeAddress);
  if (!machines.WaitUntilReady())
    Finish(machines, 2);

  std::mutex mutex;
  std::map<std::string, double> sentAt;
  unsigned answered = 0;
  unsigned failed = 0;
  std::vector<std::thread> users;
  for (size_t i = 0; i < 8; ++i) {
    users.emplace_back([&, i] {
      Channel channel(machines.Front(i % 2));
      while (Now() < kEnd) {
        const Request request = MakeRequest(http::verb::post, "/orders/a", 3000, "order");
        const std::string id(request["X-Request-Id"]);
        {
          const std::scoped_lock lock(mutex);
          sentAt[id] = Now();
        }
        record.Line(fmt::format("order {} sent to machine {}", id, i % 2 + 1));
        const auto answer = channel.Send(request);
        record.Line("order " + id + " " +
                    (answer ? fmt::format("answered {}", answer->result_int()) : "gets no answer"));
        {
          const std::scoped_lock lock(mutex);
          ++(answer && answer->result() == http::status::ok ? answered : failed);
        }
        std::this_thread::sleep_for(100ms);
      }
    });
  }

  SleepUntil(kLeaveAt);
  Instance& leaving = *instances.front();
  const std::string id = leaving.Id();
  leaving.RemoveEntry();
  const double removedAt = Now();
  record.Line("instance " + id + " leaves: the store has removed its entry");
  SleepUntil(kExitAt);
  leaving.Exit();
  record.Line("instance " + id + " exits");
  for (std::thread& user : users)
    user.join();

  // DRAIN: requests that reach the instance later than drain_s after the store's confirmation.
  unsigned late = 0;
  unsigned before = 0;
  double last = 0;
  for (const Instance::Arrival& arrival : leaving.Arrivals()) {
    if (arrival.at <= removedAt)
      ++before;
    if (arrival.at <= removedAt + kDrain)
      continue;
    ++late;
    last = arrival.at - removedAt;
    record.Line(fmt::format("DRAIN: request {} reached {} {:.3f} s after its entry was removed",
                            arrival.id,
                            id,
                            arrival.at - removedAt));
  }
  const std::string result = fmt::format(
    "watches cut {}, orders answered {}, not {}, requests to the instance before it left {}, later "
    "than {} s after {} (any breaks the rule), the last {:.1f} s after",
    store.watchesCut.load(),
    answered,
    failed,
    before,
    kDrain,
    late,
    last);
  record.Line(result);
  fmt::print("{}\n", result);
  if (answered == 0 || before == 0)
    Finish(machines, 2);
  Finish(machines, late > 0 ? 1 : 0);
}
