#include "dragonflymoor/Model/Outcome.h"

#include <array>
#include <cassert>

namespace dfm {

namespace {

constexpr std::array<std::string_view, kRankCount> kRankNames = { "urgent", "normal", "bulk" };
constexpr std::array<std::string_view, 3> kOutcomeNames = { "answered", "not-run", "unknown" };
constexpr std::array<std::string_view, kReasonCount> kReasonNames = {
  "none",
  "bad-request",
  "unknown-service",
  "unknown-plan",
  "not-ready",
  "stopping",
  "plan-rate-limit",
  "plan-in-flight-limit",
  "queue-full",
  "deadline-exceeded",
  "no-server",
  "not-owner",
  "server-shed",
  "server-failed",
  "server-crashed",
  "server-timeout",
  "truncated-answer",
  "answer-too-large",
  "connect-failed",
  "peer-unreachable",
  "peer-failed",
  "region-busy",
  "link-budget",
  "retry-budget",
  "crash-quarantine",
  "key-expired",
  "key-bound-elsewhere",
  "claimed-elsewhere",
  "claimer-gone",
  "store-unavailable",
  "pause-detected",
  "caller-gone",
};

} // namespace

std::string_view
ToString(Rank aRank)
{
  return kRankNames.at(static_cast<size_t>(aRank));
}

std::string_view
ToString(Outcome aOutcome)
{
  return kOutcomeNames.at(static_cast<size_t>(aOutcome));
}

std::string_view
ToString(Reason aReason)
{
  return kReasonNames.at(static_cast<size_t>(aReason));
}

std::optional<Rank>
ParseRank(std::string_view aName)
{
  for (size_t i = 0; i < kRankCount; ++i) {
    if (kRankNames[i] == aName)
      return static_cast<Rank>(i);
  }
  return std::nullopt;
}

} // namespace dfm
