#include "dragonflymoor/Steering/Dispatcher.h"

#include "dragonflymoor/Support/Hash.h"

namespace dfm {

namespace {

/// Weight of the latest answer in a service's moving means of failures and slowness, which thus
/// cover some dozens of answers.
constexpr double kAnswerWeight = 0.03;

/// Distinguishes requests without an object from the others of their route.
constexpr uint64_t kWithoutObject = 1;

} // namespace

void
Dispatcher::ServiceState::CountFailure(const AttemptEndReport& aReport)
{
  using Kind = AttemptEndReport::Kind;
  const bool answered = aReport.kind == Kind::Answered;
  const bool failed = (answered && aReport.status >= 500) || aReport.kind == Kind::Broken ||
                      (aReport.kind == Kind::NotExecuted && !aReport.wrongInstance);
  if (answered || failed)
    typicalFailureShare += kAnswerWeight * ((failed ? 1.0 : 0.0) - typicalFailureShare);
}

void
Dispatcher::ServiceState::LearnSlowness(TimePoint aNow,
                                        const Request& aRequest,
                                        InstanceTracker& aInstance,
                                        const AttemptEndReport& aReport)
{
  if (aReport.status >= 300)
    return;
  const uint64_t kind =
    HashBytes(aRequest.spec.route->name) ^ (aRequest.sticky ? 0 : kWithoutObject);
  const auto slowness = aInstance.OnComparableAnswer(aNow,
                                                     { .latency = aReport.latency,
                                                       .kind = kind,
                                                       .warm = aRequest.sentWarm,
                                                       .knownInFlight = aRequest.sentInFlight },
                                                     typicalSlowness);
  if (slowness)
    typicalSlowness += kAnswerWeight * (*slowness - typicalSlowness);
}

LimitFigures
Dispatcher::ReadLimits(TimePoint aNow) const
{
  LimitFigures figures;
  for (const auto& [id, tracker] : trackers_) {
    const unsigned slots = tracker->Spec().slots;
    const unsigned limit = tracker->LimitAt(aNow);
    figures.instances += limit < slots ? 1 : 0;
    figures.slots += slots - limit;
  }
  return figures;
}

} // namespace dfm
