#include "dragonflymoor/Steering/ConcurrencyLimit.h"
#include "dragonflymoor/Support/Random.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <deque>
#include <functional>
#include <vector>

namespace {

using namespace dfm;

constexpr unsigned kSlots = 6;
constexpr Duration kWork = 100ms;
constexpr uint64_t kRead = 1;

Duration
Times(Duration aDuration, double aFactor)
{
  return Duration(static_cast<int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

/// One VM's limit for one instance that answers every 50 ms.
struct SteadyAnswers
{
  TimePoint now{ 100s };
  ConcurrencyLimit limit{ kSlots };
  unsigned lowest = kSlots;  ///< Since the last call of Run.
  unsigned limitedSteps = 0; ///< Answers after which the limit was below the slots, since then.

  void Run(Duration aTime, const std::function<ConcurrencyLimit::Answer(unsigned)>& aAnswer)
  {
    lowest = kSlots;
    limitedSteps = 0;
    const TimePoint end = now + aTime;
    for (unsigned i = 0; now < end; ++i) {
      limit.OnAnswer(now, aAnswer(i), 1);
      now += 50ms;
      lowest = std::min(lowest, limit.Limit(now));
      limitedSteps += limit.Limit(now) < kSlots ? 1 : 0;
    }
  }
  void Run(Duration aTime, double aFactor)
  {
    Run(aTime, [aFactor](unsigned) {
      return ConcurrencyLimit::Answer{ .latency = Times(kWork, aFactor), .kind = kRead };
    });
  }
};

/// Guards against a slow instance that keeps its share of the requests, and against one that does
/// not get it back after it recovered. Both a slow phase and a constant speed below the others'.
Test(ConcurrencyLimit, FollowsSlowPhases)
{
  struct Case
  {
    double usual; ///< Factor on the work of this instance, at all times.
    double factor;
    Duration length;
    unsigned highest; ///< Of the limit, at the end of the phase.
  };
  for (const Case& testCase : { Case{ 1, 1.3, 2s, 6 },
                                Case{ 3, 1, 2s, 6 },
                                Case{ 1, 2.5, 600ms, 3 },
                                Case{ 3, 2.5, 600ms, 3 },
                                Case{ 1, 2.5, 9s, 3 },
                                Case{ 1, 12, 600ms, 1 },
                                Case{ 1, 12, 9s, 1 } }) {
    SteadyAnswers answers;
    answers.Run(5s, testCase.usual);
    cr_assert(answers.lowest == kSlots);
    answers.Run(testCase.length, testCase.usual * testCase.factor);
    const unsigned after = answers.limit.Limit(answers.now);
    cr_assert(after >= 1 && after <= testCase.highest, "%g: %u", testCase.factor, after);
    cr_assert(testCase.highest < kSlots || answers.lowest == kSlots, "%g", testCase.factor);
    answers.Run(500ms, testCase.usual);
    const unsigned recovered = answers.limit.Limit(answers.now);
    cr_assert(recovered == kSlots, "%g: %u", testCase.factor, recovered);
  }
}

/// Guards against a limit that stays low because the instance gets no more requests.
Test(ConcurrencyLimit, ReturnsToTheSlotsWithoutAnswers)
{
  SteadyAnswers answers;
  answers.Run(2s, 1);
  answers.Run(1s, 12);
  cr_assert(answers.limit.Limit(answers.now) == 1);
  unsigned before = 1;
  for (Duration waited{}; waited < 3s; waited += 50ms) {
    const unsigned now = answers.limit.Limit(answers.now + waited);
    cr_assert(now >= before);
    before = now;
  }
  cr_assert(before == kSlots);
}

/// Guards against cold objects, which take 3.3 times as long, that look like a slow instance.
Test(ConcurrencyLimit, ColdObjectsAreNotSlow)
{
  struct Case
  {
    const char* name;
    double coldShare;
    double unknownShare; ///< Of the cold objects, those that are taken for warm.
    unsigned maxLimitedPercent;
  };
  for (const Case& testCase : { Case{ "known", 0.5, 0, 0 },
                                Case{ "a few unknown", 0.1, 1, 3 },
                                Case{ "half unknown", 0.5, 0.5, 3 } }) {
    SteadyAnswers answers;
    Random random(20261206);
    const auto chance = [&random](double aShare) {
      return static_cast<double>(random.Next() % 1000) < aShare * 1000;
    };
    const auto answer = [&](unsigned) {
      const bool cold = chance(testCase.coldShare);
      return ConcurrencyLimit::Answer{ .latency = cold ? Times(kWork, 3.3) : kWork,
                                       .kind = kRead,
                                       .warm = !cold || chance(testCase.unknownShare) };
    };
    answers.Run(100s, answer);
    cr_assert(answers.limitedSteps * 100 <= testCase.maxLimitedPercent * 2000,
              "%s: %u of 2000",
              testCase.name,
              answers.limitedSteps);
  }
}

/// Guards against limits on all instances when the work of all becomes longer, and against a usual
/// latency of one kind of request that is compared with another kind's.
Test(ConcurrencyLimit, ComparesLikeWithLike)
{
  SteadyAnswers answers;
  answers.Run(10s, [](unsigned aNumber) {
    const bool post = aNumber % 3 == 0;
    return ConcurrencyLimit::Answer{ .latency = post ? 8 * kWork : kWork, .kind = post ? 2U : 1U };
  });
  cr_assert(answers.lowest == kSlots);
  for (int i = 0; i < 40; ++i) {
    answers.now += 50ms;
    const double ratio =
      answers.limit.OnAnswer(answers.now, { .latency = 3 * kWork, .kind = kRead }, 3);
    cr_assert(ratio > 1.5 && answers.limit.Limit(answers.now) == kSlots);
  }
  // Requests that wait behind full slots take longer at a healthy instance.
  answers.Run(2s, [](unsigned) {
    return ConcurrencyLimit::Answer{ .latency = 2 * kWork,
                                     .kind = kRead,
                                     .knownInFlight = 2 * kSlots };
  });
  cr_assert(answers.lowest == kSlots);
}

/// Guards against a stated speed that is ignored, that counts for too long, or that loosens what
/// latencies show.
Test(ConcurrencyLimit, StatedSpeedTightens)
{
  const auto load = [](std::optional<double> aSlowness) {
    return StatedLoad{ .running = 1, .slots = kSlots, .slowness = aSlowness };
  };
  SteadyAnswers answers;
  answers.Run(2s, 1);
  answers.limit.OnStatedLoad(answers.now, load(3));
  cr_assert(answers.limit.Limit(answers.now) == 2);
  answers.limit.OnStatedLoad(answers.now, load({}));
  cr_assert(answers.limit.Limit(answers.now) == 2);
  answers.limit.OnStatedLoad(answers.now, load(1));
  cr_assert(answers.limit.Limit(answers.now) == kSlots);
  answers.limit.OnStatedLoad(answers.now, load(0.1));
  cr_assert(answers.limit.Limit(answers.now) == kSlots);
  answers.limit.OnStatedLoad(answers.now, load(100));
  cr_assert(answers.limit.Limit(answers.now) == 1);
  cr_assert(answers.limit.Limit(answers.now + 2s) == kSlots);
  answers.Run(1s, 12);
  answers.limit.OnStatedLoad(answers.now, load(1));
  cr_assert(answers.limit.Limit(answers.now) == 1);
}

/// Several VMs that share instances and hear of each other's requests with a delay.
struct SharedInstances
{
  static constexpr size_t kInstances = 8;
  static constexpr Duration kStep = 5ms;
  static constexpr size_t kReportSteps = 5;

  struct Run
  {
    TimePoint end;
    size_t vm = 0;
    size_t instance = 0;
    unsigned known = 0;
    Duration latency{};
  };

  explicit SharedInstances(size_t aVms)
    : limits(aVms, std::vector<ConcurrencyLimit>(kInstances, ConcurrencyLimit(kSlots)))
    , own(aVms, std::vector<unsigned>(kInstances))
    , inFlight(kInstances)
    , meanInFlight(kInstances)
  {
  }

  /// Advances by aTime with aLoad, a part of the slots' capacity. aFactor returns the factor on the
  /// work of an instance with a number of requests in flight. Afterwards, meanInFlight and served
  /// are those of that time.
  void Advance(Duration aTime,
               double aLoad,
               const std::function<double(size_t aInstance, unsigned aInFlight)>& aFactor)
  {
    const double perStep = aLoad * kSlots * kInstances * ToSeconds(kStep) / ToSeconds(kWork);
    const auto steps = static_cast<size_t>(aTime / kStep);
    meanInFlight.assign(kInstances, 0);
    peaks.assign(kInstances, 0);
    served = 0;
    for (size_t i = 0; i < steps; ++i) {
      now += kStep;
      EndRuns();
      for (arrivals += perStep; arrivals >= 1; --arrivals)
        Start(random.Next() % limits.size(), aFactor);
      for (size_t instance = 0; instance < kInstances; ++instance) {
        peaks[instance] = std::max(peaks[instance], inFlight[instance]);
        meanInFlight[instance] += inFlight[instance] / static_cast<double>(steps);
      }
      reports.push_back({ own, inFlight });
      if (reports.size() > kReportSteps)
        reports.pop_front();
    }
  }

  void EndRuns()
  {
    std::erase_if(runs, [this](const Run& aRun) {
      if (aRun.end > now)
        return false;
      --own[aRun.vm][aRun.instance];
      --inFlight[aRun.instance];
      ++served;
      limits[aRun.vm][aRun.instance].OnAnswer(
        now, { .latency = aRun.latency, .kind = kRead, .knownInFlight = aRun.known }, 1);
      return true;
    });
  }

  unsigned KnownAt(size_t aVm, size_t aInstance) const
  {
    if (reports.empty())
      return own[aVm][aInstance];
    const Report& report = reports.front();
    return report.inFlight[aInstance] - report.own[aVm][aInstance] + own[aVm][aInstance];
  }

  /// Starts a request at the first instance, from a random one on, whose limit allows it.
  void Start(size_t aVm, const std::function<double(size_t, unsigned)>& aFactor)
  {
    const size_t first = random.Next() % kInstances;
    for (size_t i = 0; i < kInstances; ++i) {
      const size_t instance = (first + i) % kInstances;
      const unsigned known = KnownAt(aVm, instance);
      if (known >= limits[aVm][instance].Limit(now))
        continue;
      ++own[aVm][instance];
      ++inFlight[instance];
      const Duration latency = Times(kWork, aFactor(instance, inFlight[instance]));
      runs.push_back({ now + latency, aVm, instance, known + 1, latency });
      return;
    }
  }

  struct Report
  {
    std::vector<std::vector<unsigned>> own;
    std::vector<unsigned> inFlight;
  };
  TimePoint now{ 100s };
  std::vector<std::vector<ConcurrencyLimit>> limits;
  std::vector<std::vector<unsigned>> own;
  std::vector<unsigned> inFlight;
  std::vector<double> meanInFlight;
  std::vector<unsigned> peaks;
  size_t served = 0;
  double arrivals = 0;
  std::deque<Report> reports;
  std::vector<Run> runs;
  Random random{ 20261206 };
};

/// Guards against VMs that send as much to a slow instance as to others, that come back to it all
/// at once, or that do not come back. A VM among many hears too rarely from an instance to be sure
/// that it is slow.
/// The bounds hold for 30 other seeds too: rounding, which differs between processors, changes the
/// course of events as much as a seed.
Test(ConcurrencyLimit, ManyVmsAdaptTogether)
{
  struct Case
  {
    size_t vms;
    double highest; ///< Mean of the requests at the slow instance.
  };
  for (const Case& testCase : { Case{ 1, 2 }, Case{ 9, 5.2 }, Case{ 74, kSlots + 1 } }) {
    SharedInstances fleet(testCase.vms);
    const auto healthy = [](size_t, unsigned) { return 1.0; };
    fleet.Advance(60s, 0.6, healthy);
    const double usual = fleet.meanInFlight[0];
    const unsigned usualPeak = fleet.peaks[0];
    const auto slow = [](size_t aInstance, unsigned) { return aInstance == 0 ? 5.0 : 1.0; };
    fleet.Advance(2s, 0.6, slow);
    fleet.Advance(4s, 0.6, slow);
    const double slowed = fleet.meanInFlight[0];
    cr_assert(slowed <= testCase.highest, "%zu VMs: %g", testCase.vms, slowed);
    fleet.Advance(4s, 0.6, healthy);
    const unsigned peak = fleet.peaks[0];
    cr_assert(peak <= usualPeak + 2, "%zu VMs: %u", testCase.vms, peak);
    fleet.Advance(20s, 0.6, healthy);
    const double change = fleet.meanInFlight[0] / usual;
    cr_assert(change > 0.9 && change < 1.1, "%zu VMs: %g", testCase.vms, change);
  }
}

/// Guards against instances that are filled although they become slow long before their slots are
/// full, and against limits, or limits that rise and fall in turns, that cost throughput.
Test(ConcurrencyLimit, FindsTheKneeOfTheLatency)
{
  struct Case
  {
    size_t vms;
    double highest; ///< Mean of the requests at an instance.
  };
  // Two requests at a time run at full speed: 8 instances serve 160 a second.
  constexpr double kPerSecond = 160;
  const auto knee = [](size_t, unsigned aInFlight) {
    return aInFlight <= 2 ? 1.0 : aInFlight / 2.0;
  };
  for (const Case& testCase : { Case{ 1, 5 }, Case{ 9, 9 }, Case{ 74, 9 } }) {
    SharedInstances fleet(testCase.vms);
    fleet.Advance(60s, 0.2, knee);
    fleet.Advance(10s, 0.5, knee);
    const double mean = fleet.meanInFlight[0];
    cr_assert(mean < testCase.highest, "%zu VMs: %g", testCase.vms, mean);
    const auto served = static_cast<double>(fleet.served);
    cr_assert(served > 0.9 * 10 * kPerSecond, "%zu VMs: %g", testCase.vms, served);
  }
}

} // namespace
