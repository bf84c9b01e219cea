// Three VMs of one region. The store has more instances than one page of a list holds. A waiting
// watch of the instances is cut off, so that the VM that follows the store lists them again; between
// the first page and the second an instance on the second page reports that it is draining. It
// serves on for some seconds, as the pages say, and ends.
#include "rig.hh"

using namespace rig;

namespace {

constexpr double kDrainSeconds = 2.5; // drain_s of the sites.
/// settle_window_s of the sites: a VM whose channels were cut off is in touch again after it. The
/// requests before that do not count.
constexpr double kSettleSeconds = 3;
constexpr double kLonger = 8;         // "a little longer (at times many seconds)"
constexpr size_t kFillers = 500;      // A whole page of the store.
constexpr size_t kInstances = 6;
constexpr double kWork = 0.3;
constexpr double kTimeout = 1.5;

Store store;

} // namespace

int
main(int argc, char** argv)
{
  const std::string folder = argc > 1 ? argv[1] : ".";
  record.Open(folder + "/record.txt");
  Folder temporary;
  const std::map<std::string, std::string> zones{ { "jhb-a", "gauteng" }, { "jhb-b", "gauteng" } };

  std::vector<std::unique_ptr<Instance>> instances;
  const auto add = [&](const std::string& aId, const std::string& aService, size_t aIndex) {
    instances.push_back(
      std::make_unique<Instance>(aId, aService, aIndex % 2 == 0 ? "jhb-a" : "jhb-b", 9, kWork));
    if (!instances.back()->Start())
      return false;
    store.Put("servers", aId, instances.back()->Entry("ready"));
    return true;
  };
  bool started = store.server.Start({ "127.0.0.1", 0 });
  for (size_t i = 0; i < kFillers; ++i)
    started = started && add(Format("i-3%07zx", i * 7919), i % 2 == 0 ? "shelfview" : "statements", i);
  for (size_t i = 0; i < kInstances; ++i)
    started = started && add(Format("i-e%07zx", i * 104729), "orderbook", i);
  if (!started) {
    Say("cannot listen");
    return 2;
  }
  store.Put("config",
            "main",
            R"({"version":"00000007","routes":[{"name":"r-orders","host":"orders.example",)"
            R"("path_prefix":"/orders/","route_type":"non_idempotent","timeout_s":1.5,"goal_s":0.5,)"
            R"("priority":1,"backend":"orderbook","attempts":2,"sticky":false,"home_regions":[]}],)"
            R"("services":[{"name":"orderbook","health_path":"/healthz","max_conns":330},)"
            R"({"name":"shelfview","health_path":"/healthz","max_conns":330},)"
            R"({"name":"statements","health_path":"/healthz","max_conns":330}],)"
            R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
            R"("header_timeout_s":3,"idle_timeout_s":15}})");

  Fleet fleet;
  fleet.Add("gauteng", "jhb-a");
  fleet.Add("gauteng", "jhb-b");
  fleet.Add("gauteng", "jhb-a");
  fleet.WriteSettings(temporary.Path(), zones, store.server.At());
  for (Vm& vm : fleet.vms)
    fleet.Start(vm);
  if (!fleet.WaitReady(15)) {
    Say("the VMs did not become ready");
    return 2;
  }

  std::atomic<bool> stop = false;
  std::vector<std::thread> requesters;
  for (const Vm& vm : fleet.vms) {
    for (int i = 0; i < 4; ++i) {
      requesters.emplace_back([&vm, &stop] {
        Requester requester(vm);
        while (!stop) {
          requester.Send("POST", "orders.example", "/orders/1", "one order", kTimeout);
          Sleep(0.02);
        }
      });
    }
  }
  // Membership settles and the VMs agree who follows the store.
  Sleep(8);

  Instance& leaving = *instances[kFillers + 2];
  std::atomic<double> confirmedAt = 0;
  double cutAt = 0;
  const auto drain = [&] {
    if (confirmedAt > 0)
      return;
    leaving.draining = true;
    store.Put("servers", leaving.id, leaving.Entry("draining"));
    confirmedAt = Now();
    Say("store confirms that " + leaving.id + " is draining");
  };
  if (HasTrouble()) {
    {
      const std::lock_guard lock(store.mutex);
      store.pageSent = [&](const std::string& aKind, size_t aItems, bool aMore) {
        if (aKind != "servers")
          return;
        Say(Format("store: page of %zu instances sent, more: %d", aItems, aMore ? 1 : 0));
        if (aMore)
          drain();
      };
    }
    Say("store cuts off the waiting watch of the instances");
    const double end = Now() + 5;
    // A watch waits nearly always.
    do {
      Sleep(0.01);
      cutAt = Now();
    } while (store.CutWatches("servers") == 0 && Now() < end);
    while (confirmedAt == 0 && Now() < end)
      Sleep(0.01);
    if (confirmedAt == 0) {
      Say("no VM listed the instances");
      return 2;
    }
  } else {
    drain();
  }
  SleepUntil(confirmedAt + kDrainSeconds + kLonger);
  Say(leaving.id + " ends");
  leaving.End();
  store.Remove("servers", leaving.id);
  Sleep(3);
  stop = true;
  for (std::thread& requester : requesters)
    requester.join();

  // DRAIN: sent by a requester and arrived at the instance later than drain_s after the
  // confirmation, and in any case settle_window_s after the cut.
  const double countedFrom =
    std::max(confirmedAt + kDrainSeconds, cutAt > 0 ? cutAt + kSettleSeconds : 0);
  std::map<std::string, Attempt> sent;
  for (const Attempt& attempt : attempts)
    sent[attempt.id] = attempt;
  std::map<std::string, unsigned> lateByVm;
  unsigned late = 0;
  unsigned cut = 0;
  unsigned served = 0;
  unsigned lost = 0;
  for (const Attempt& attempt : attempts)
    served += attempt.status == 200 ? 1 : 0;
  for (const Run& run : runs) {
    if (run.instance != leaving.id)
      continue;
    const Attempt& attempt = sent[run.id];
    if (run.at > countedFrom && attempt.sentAt > countedFrom) {
      ++late;
      ++lateByVm[attempt.vm];
    }
    if (run.cut) {
      ++cut;
      lost += attempt.status != 200 ? 1 : 0;
    }
  }
  for (Vm& vm : fleet.vms)
    Say("vm " + vm.name + ": " + std::to_string(lateByVm[vm.name]) +
        " requests to the draining instance later than drain_s after the confirmation" +
        (Fleet::IsRunning(vm) ? "" : "; NOT RUNNING"));
  Say(Format("%u requests were answered 200; %u late at the draining instance (DRAIN); %u runs cut off "
             "by its end, %u of them orders without a 200",
             served,
             late,
             cut,
             lost));
  fleet.KillAll();
  record.Flush();
  const int result = served < 100 ? 2 : late > 0 ? 1 : 0;
  Say(result == 1 ? "rule DRAIN is broken" : result == 0 ? "rule DRAIN held" : "the case could not run");
  record.Flush();
  std::system(("rm -rf " + temporary.Path()).c_str());
  std::_Exit(result);
}
