#include "Play.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>
#include <numeric>
#include <random>

namespace {

using namespace dfm;
using namespace dfm::test;

const std::vector<std::string> kDomains{ "north-a", "north-a", "north-b", "south-a" };

/// Entries that are renewed besides those of the instances in use.
constexpr size_t kEntries = 60;

struct PlayCase
{
  const char* name;
  std::vector<Step> steps;
};

/// A change and four instances that leave, two of each service, 0.4 s after the store's last
/// return.
const std::vector<Step> kChangeAndLeaving{
  { Step::Kind::Change, 10400ms },    { Step::Kind::Drain, 10400ms, 1 },
  { Step::Kind::Drain, 10400ms, 2 },  { Step::Kind::Remove, 10400ms, 3 },
  { Step::Kind::Remove, 10400ms, 4 },
};

/// Steps before kChangeAndLeaving.
const PlayCase kCases[] = {
  { "outages that lose nothing", { { Step::Kind::Outage, 7s }, { Step::Kind::Outage, 9400ms } } },
  { "copy of 4 s", { { Step::Kind::Return, 9400ms, 0, 4s } } },
  { "copy of 8 s", { { Step::Kind::Change, 5s }, { Step::Kind::Return, 9400ms, 0, 8s } } },
  { "two returns", { { Step::Kind::Return, 8s, 0, 4s }, { Step::Kind::Return, 9400ms, 0, 1s } } },
  { "instances left before the return",
    { { Step::Kind::Drain, 6s, 5 },
      { Step::Kind::Drain, 6s, 6 },
      { Step::Kind::Remove, 8500ms, 7 },
      { Step::Kind::Remove, 8500ms, 8 },
      { Step::Kind::Return, 9400ms, 0, 5s } } },
  { "VMs start around the return",
    { { Step::Kind::Remove, 7s, 7 },
      { Step::Kind::Remove, 7s, 8 },
      { Step::Kind::Kill, 9300ms, 0 },
      { Step::Kind::Return, 9400ms, 0, 8s },
      { Step::Kind::Kill, 10100ms, 3 } } },
};

/// Two instances leave. All VMs but one start again and learn it from the store, which then comes
/// and goes, and returns from a copy that has the instances.
std::vector<Step>
StepsThatOnlyOneVmRemembers(size_t aVm)
{
  std::vector<Step> steps{ { Step::Kind::Remove, 4s, 7 }, { Step::Kind::Remove, 4s, 8 } };
  for (size_t i = 0; i < kDomains.size(); ++i) {
    if (i != aVm)
      steps.push_back({ Step::Kind::Kill, 6s, i });
  }
  steps.insert(steps.end(),
               { { Step::Kind::Outage, 8200ms },
                 { Step::Kind::Return, 9400ms, 0, 7s },
                 { Step::Kind::Outage, 10050ms } });
  return steps;
}

/// Fails with what broke a rule in a play.
void
Check(const std::string& aName, const std::vector<Step>& aSteps, Duration aEnd)
{
  std::string broken;
  for (const std::string& line : Play(kDomains, kEntries).Run(aSteps, aEnd))
    broken += "\n  " + line;
  cr_assert(broken.empty(), "%s:%s", aName.c_str(), broken.c_str());
}

/// Steps of a random play: returns, outages, changes, leaving instances and restarts of VMs that
/// overlap.
std::vector<Step>
RandomSteps(uint64_t aSeed, Duration aEnd)
{
  std::mt19937_64 random(aSeed);
  const auto below = [&random](size_t aLimit) { return random() % aLimit; };
  std::vector<size_t> staying(Play::kInstances);
  std::iota(staying.begin(), staying.end(), 0);
  std::vector<Step> steps;
  for (Duration at = 3s; at < aEnd - 6s; at += Duration(50ms) * below(40)) {
    Step step{ .kind = static_cast<Step::Kind>(below(7)), .at = at };
    if (step.kind == Step::Kind::Drain || step.kind == Step::Kind::Remove) {
      // Two instances of each service stay.
      if (staying.size() <= 4)
        continue;
      step.index = staying.back();
      staying.pop_back();
    }
    if (step.kind == Step::Kind::Kill || step.kind == Step::Kind::Terminate)
      step.index = below(kDomains.size());
    step.copyAge = Duration(100ms) * below(90);
    steps.push_back(step);
  }
  return steps;
}

} // namespace

ParameterizedTestParameters(StoreReturnProcesses, ChangesAfterAReturnAreInForce)
{
  // The cases are looked up by their numbers, as each test runs in a process of its own.
  static size_t numbers[std::size(kCases)];
  std::iota(std::begin(numbers), std::end(numbers), 0);
  return cr_make_param_array(size_t, numbers, std::size(numbers));
}

/// Guards against VMs that stay on an older manifest, or use instances that have left, after the
/// store has returned from an older copy.
ParameterizedTest(size_t* aNumber, StoreReturnProcesses, ChangesAfterAReturnAreInForce)
{
  const PlayCase& testCase = kCases[*aNumber];
  std::vector<Step> steps = testCase.steps;
  steps.insert(steps.end(), kChangeAndLeaving.begin(), kChangeAndLeaving.end());
  Check(testCase.name, steps, 18s);
}

ParameterizedTestParameters(StoreReturnProcesses, WhatOneVmRemembersIsKnownToAll)
{
  static size_t vms[] = { 0, 1, 2, 3 };
  return cr_make_param_array(size_t, vms, std::size(vms));
}

/// Guards against requests to instances that have left, on VMs that had started after that and
/// asked only others that had started as well.
ParameterizedTest(size_t* aVm, StoreReturnProcesses, WhatOneVmRemembersIsKnownToAll)
{
  Check(fmt::format("known to vm-{}", *aVm), StepsThatOnlyOneVmRemembers(*aVm), 16s);
}

/// A soak, seeded by DFM_SOAK_SEED, of DFM_SOAK_PLAYS plays.
Test(StoreReturnProcesses, Soak)
{
  const uint64_t first = EnvironmentNumber("DFM_SOAK_SEED", 1);
  const uint64_t plays = EnvironmentNumber("DFM_SOAK_PLAYS", 1);
  for (uint64_t seed = first; seed < first + plays; ++seed)
    Check(fmt::format("seed {}", seed), RandomSteps(seed, 40s), 40s);
}
