#include "PoolRun.h"
#include <criterion/criterion.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace dfm;
using namespace dfm::test;

namespace {

constexpr uint32_t kSlots = 5;
constexpr size_t kBacklog = 10; ///< Waiting requests that make a flood.
constexpr Duration kTick = 20ms;
constexpr Duration kDetection = 1500ms; ///< Time until an unreachable VM counts as dead.
constexpr Duration kAlone = 2s;         ///< Guard 1: wait of a VM that reaches no peer.
constexpr Duration kLongest = 2500ms;   ///< Longest time of a request; below the take-over time.
constexpr Duration kCalm = 12s;         ///< After this time without a fault nothing is left of it.

struct Command
{
  enum class Kind
  {
    Run,
    Pause,
    Resume,
    Cut,
    Heal,
    Kill,
    Restart,
    Leave,
    LoseReports,
    Count,
  };
  Kind kind = Kind::Run;
  uint32_t value = 0;
  uint32_t runMs = 0;
};

std::ostream&
operator<<(std::ostream& aStream, const Command& aCommand)
{
  return aStream << "{kind " << static_cast<int>(aCommand.kind) << ", value " << aCommand.value
                 << ", " << aCommand.runMs << " ms}";
}

/// VMs that dispatch a flood to one server, as each of them believes to own the pool.
class OwnerFleet
{
public:
  explicit OwnerFleet(uint64_t aSeed)
    : random_(aSeed)
    , backend_(MakeServer(0, kSlots))
  {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      const std::string name = std::to_string(i);
      // Two VMs in the failure domain, one more in the region, two elsewhere.
      nodes_[i].vm = Vm{ .id = VmId("vm" + name),
                         .region = RegionId(i < 3 ? "r0" : "r1"),
                         .failureDomain = FailureDomainId(i < 2 ? "d0" : "d" + name),
                         .callers = {},
                         .peers = {} };
      Start(i);
    }
    Run(kCalm);
  }

  void Apply(const Command& aCommand)
  {
    Node& node = nodes_[aCommand.value % nodes_.size()];
    const size_t index = aCommand.value % nodes_.size();
    if (aCommand.kind != Command::Kind::Run && aCommand.kind != Command::Kind::Leave)
      lastFault_ = now_;
    switch (aCommand.kind) {
      case Command::Kind::Pause:
        if (!node.paused)
          node.pausedAt = now_;
        node.paused = true;
        break;
      case Command::Kind::Resume:
        Resume(node);
        break;
      case Command::Kind::Cut:
        for (size_t i = 0; i < nodes_.size(); ++i)
          nodes_[i].side = (aCommand.value >> i) & 1U;
        break;
      case Command::Kind::Heal:
        for (Node& each : nodes_)
          each.side = 0;
        break;
      case Command::Kind::Kill:
        Kill(node);
        break;
      case Command::Kind::Restart:
        if (!node.pool)
          Start(index);
        break;
      case Command::Kind::Leave:
        node.leaving = true;
        break;
      case Command::Kind::LoseReports:
        reportsLost_ = !reportsLost_;
        break;
      case Command::Kind::Run:
      case Command::Kind::Count:
        break;
    }
    Run(Duration(1ms) * aCommand.runMs);
  }

  void Run(Duration aTime)
  {
    for (const TimePoint end = now_ + aTime; now_ < end; now_ += kTick) {
      EndRequests();
      for (size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].pool && !nodes_[i].paused)
          Tick(i);
      }
      Check();
    }
  }

  uint32_t mostInFlight = 0;
  size_t started = 0;

private:
  struct Node
  {
    Vm vm;
    bool paused = false;
    TimePoint pausedAt;
    bool leaving = false;
    uint32_t side = 0;
    std::optional<TimePoint> guarded; ///< Guard 1 holds since.
    std::map<size_t, TimePoint> lastHeard;
    std::unique_ptr<PoolOwnership> ownership;
    std::unique_ptr<Pool> pool; ///< Empty when the VM does not run.
    uint64_t run = 0;
    std::optional<std::pair<TimePoint, LoadReport>> report; ///< On its way.
  };
  struct Running
  {
    TimePoint ends;
    size_t node = 0;
    uint64_t run = 0;
    RequestId request;
    bool ended = false; ///< At the server; the VM is paused and does not know yet.
  };

  void Start(size_t aNode)
  {
    Node& node = nodes_[aNode];
    node.ownership = std::make_unique<PoolOwnership>(node.vm);
    node.pool = MakePool({ backend_ }, random_.Next());
    node.pool->SetPhase(PoolPhase::NotMine, now_);
    node.ownership->SetPools({ node.pool->Site() }, now_);
    node.paused = false;
    node.leaving = false;
    node.guarded = now_;
    node.lastHeard.clear();
    node.report.reset();
    ++node.run;
  }

  /// The process dies; its requests go on at the server.
  static void Kill(Node& aNode)
  {
    aNode.pool.reset();
    aNode.ownership.reset();
  }

  /// The membership must not take its own pause for silence of the peers.
  void Resume(Node& aNode)
  {
    if (!aNode.paused)
      return;
    aNode.paused = false;
    aNode.guarded = now_;
    lastPause_ = now_;
    for (auto& [peer, heard] : aNode.lastHeard)
      heard += now_ - aNode.pausedAt;
  }

  bool Reach(size_t aFrom, size_t aTo) const
  {
    const Node& to = nodes_[aTo];
    return to.pool && !to.paused && to.side == nodes_[aFrom].side;
  }

  void EndRequests()
  {
    for (Running& each : running_) {
      each.ended = each.ended || each.ends <= now_;
      Node& node = nodes_[each.node];
      if (!each.ended || node.paused || !node.pool || node.run != each.run)
        continue;
      node.pool->OnAttemptEnded(
        each.request, AttemptResult{ .end = AttemptEnd::Answered, .status = 200 }, now_);
      each.run = 0;
    }
    std::erase_if(running_, [&](const Running& aRunning) {
      return aRunning.ended && nodes_[aRunning.node].run != aRunning.run;
    });
  }

  uint32_t AtServer() const
  {
    return static_cast<uint32_t>(std::count_if(
      running_.begin(), running_.end(), [](const Running& aRunning) { return !aRunning.ended; }));
  }

  void Tick(size_t aNode)
  {
    UpdateView(aNode);
    Node& node = nodes_[aNode];
    const PoolPhase phase = node.ownership->Phase(node.pool->Site().pool, now_);
    node.pool->SetPhase(node.guarded ? PoolPhase::NotMine : phase, now_);
    Poll(node);
    while (node.pool->Waiting(Rank::Urgent) < kBacklog) {
      RequestHead head;
      head.id = RequestId{ ++lastId_ };
      head.rank = Rank::Urgent;
      head.deadline = now_ + 1h;
      node.pool->Enqueue(head, {}, now_);
    }
    for (const Pool::Start& start : node.pool->TryDispatch(now_).started) {
      ++this->started;
      const bool isLong = random_.Below(4) == 0;
      running_.push_back(
        Running{ .ends = now_ + random_.Between(10ms, isLong ? kLongest : Duration(200ms)),
                 .node = aNode,
                 .run = node.run,
                 .request = start.request });
    }
  }

  void UpdateView(size_t aNode)
  {
    Node& node = nodes_[aNode];
    std::vector<Vm> live;
    std::set<VmId> left;
    bool acknowledged = false;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      // A claim comes with the owner's PoolState; that a VM is back may be learned much later.
      if (i != aNode && Reach(aNode, i) && random_.Below(5) == 0) {
        acknowledged = true;
        Claim(node, i);
        const auto known = node.lastHeard.find(i);
        const bool lives = known != node.lastHeard.end() && now_ - known->second < kDetection;
        if (lives || random_.Below(10) == 0)
          node.lastHeard[i] = now_;
      }
      const auto heard = node.lastHeard.find(i);
      const bool lives =
        i == aNode || (heard != node.lastHeard.end() && now_ - heard->second < kDetection);
      if (lives && nodes_[i].leaving)
        left.insert(nodes_[i].vm.id);
      else if (lives)
        live.push_back(nodes_[i].vm);
    }
    node.ownership->SetMembers(live, left, now_);
    if (node.guarded && (acknowledged || now_ - *node.guarded >= kAlone)) {
      node.guarded.reset();
      node.ownership->OnPauseEnded(now_);
    }
  }

  void Claim(Node& aNode, size_t aPeer)
  {
    const Node& peer = nodes_[aPeer];
    if (peer.ownership->Phase(aNode.pool->Site().pool, now_) != PoolPhase::NotMine)
      aNode.ownership->OnClaim(aNode.pool->Site().pool, peer.vm, now_);
  }

  /// Asks for the load every 200 ms or so; the report is up to 150 ms old when it arrives.
  void Poll(Node& aNode)
  {
    if (aNode.report && now_ - aNode.report->first >= 100ms) {
      aNode.pool->OnLoadReport(backend_.id, aNode.report->second, now_);
      aNode.report.reset();
    } else if (!aNode.report && random_.Below(5) == 0) {
      if (reportsLost_)
        aNode.pool->OnLoadReport(backend_.id, std::nullopt, now_);
      else
        aNode.report.emplace(now_, LoadReport{ .inFlight = AtServer(), .slots = kSlots });
    }
  }

  void Check()
  {
    mostInFlight = std::max(mostInFlight, AtServer());
    // Each side of a cut has an owner; a VM that resumes on one side is a third one, which may use
    // half of the slots until it hears the claim of the owner there.
    const bool cut = std::any_of(nodes_.begin(), nodes_.end(), [&](const Node& aNode) {
      return aNode.side != nodes_[0].side;
    });
    lastCut_ = cut ? now_ : lastCut_;
    const bool both = now_ - lastCut_ < kCalm && now_ - lastPause_ < kCalm;
    RC_ASSERT(AtServer() <= 2 * kSlots + (both ? kSlots / 2 : 0));
    if (now_ - lastFault_ >= kCalm)
      RC_ASSERT(AtServer() <= kSlots);
  }

  Random random_;
  BackendServer backend_;
  std::array<Node, 5> nodes_;
  std::vector<Running> running_;
  TimePoint now_{ 1h };
  TimePoint lastFault_{ 1h };
  TimePoint lastCut_{ 0h };
  TimePoint lastPause_{ 0h }; ///< When a VM last resumed.
  uint64_t lastId_ = 0;
  bool reportsLost_ = false;
};

} // namespace

// Guards against a server that gets more than its slots in calm or after a planned stop of an entry
// VM, or more than twice its slots from VMs that conflict about the ownership of the pool.
Test(Ownership, ServerIsNotOverrun, .timeout = 280)
{
  setenv("RC_PARAMS", "seed=20261204 max_success=300 max_size=40", 0);
  uint32_t most = 0;
  size_t started = 0;
  const bool ok =
    rc::check("in flight stays within the slots, and twice the slots in conflicts", [&] {
      const auto kinds = rc::gen::map(rc::gen::inRange(0, static_cast<int>(Command::Kind::Count)),
                                      [](int aKind) { return Command::Kind(aKind); });
      const auto seed = *rc::gen::arbitrary<uint64_t>();
      const auto history = *rc::gen::container<std::vector<Command>>(
        rc::gen::build<Command>(rc::gen::set(&Command::kind, kinds),
                                rc::gen::set(&Command::value, rc::gen::inRange(0U, 1024U)),
                                rc::gen::set(&Command::runMs, rc::gen::inRange(0U, 4000U))));
      OwnerFleet fleet(seed);
      for (const Command& command : history)
        fleet.Apply(command);
      fleet.Run(2s);
      most = std::max(most, fleet.mostInFlight);
      started += fleet.started;
    });
  cr_log_info("most in flight %u of %u slots, %zu started", most, kSlots, started);
  cr_assert(ok);
  cr_assert(most > kSlots, "the histories made no conflict");
}

// Guards against a VM that keeps a pool against a better claim, and against a remote owner that
// starts before the VMs of the region can be known to have stopped.
Test(Ownership, YieldsToABetterClaimAndWaitsWhenRemote)
{
  const PoolSite site = MakePool({}, 1)->Site();
  const auto vm = [](const char* aName, const char* aRegion, const char* aDomain) {
    return Vm{ .id = VmId(aName),
               .region = RegionId(aRegion),
               .failureDomain = FailureDomainId(aDomain),
               .callers = {},
               .peers = {} };
  };
  const Vm self = vm("self", "r0", "d1");
  const Vm local = vm("local", "r0", "d0");
  const Vm remote = vm("remote", "r1", "d2");
  const TimePoint start(1h);
  PoolOwnership ownership(self);
  ownership.SetPools({ site }, start);
  ownership.SetMembers({ self, remote }, {}, start);
  cr_assert(ownership.Phase(site.pool, start) == PoolPhase::TakingOver);
  cr_assert(ownership.Phase(site.pool, start + 3s) == PoolPhase::Mine);
  ownership.OnClaim(site.pool, remote, start + 4s);
  cr_assert(ownership.Phase(site.pool, start + 4s) == PoolPhase::Mine, "a remote claim loses");
  ownership.OnClaim(site.pool, local, start + 4s);
  cr_assert(ownership.Phase(site.pool, start + 4s) == PoolPhase::NotMine);
  cr_assert(ownership.Owner(site.pool, start + 4s) == local.id);
  cr_assert(ownership.Phase(site.pool, start + 7s) == PoolPhase::TakingOver, "the claim lapsed");

  PoolOwnership elsewhere(remote);
  elsewhere.SetPools({ site }, start);
  elsewhere.SetMembers({ self, remote }, {}, start);
  elsewhere.SetMembers({ remote }, { self.id }, start + 1s);
  cr_assert(elsewhere.Phase(site.pool, start + 10999ms) == PoolPhase::RemoteWait);
  cr_assert(elsewhere.Phase(site.pool, start + 11s) == PoolPhase::RemoteTakeOver);

  PoolOwnership successor(self);
  successor.SetPools({ site }, start);
  successor.SetMembers({ self, local }, {}, start);
  successor.SetMembers({ self }, { local.id }, start + 1s);
  cr_assert(successor.Phase(site.pool, start + 2s) == PoolPhase::HandedOver);
}
