#ifndef DRAGONFLYMOOR_MODEL_REQUEST_H
#define DRAGONFLYMOOR_MODEL_REQUEST_H

#include "dragonflymoor/Model/Outcome.h"
#include "dragonflymoor/Support/Hash.h"
#include "dragonflymoor/Support/Id.h"
#include "dragonflymoor/Support/Time.h"
#include <compare>
#include <optional>
#include <string>

namespace dfm {

/// Identity of a non-idempotent request, the same on every copy that the caller sends.
struct OrderKey
{
  std::string key;
  WallTime created;

  auto operator<=>(const OrderKey&) const = default;
};

/// A VM in one of its runs.
struct VmInstance
{
  VmId vm;
  Incarnation incarnation;

  auto operator<=>(const VmInstance&) const = default;
};

/// What the decisions need to know of a request; the body stays with the traffic threads.
struct RequestHead
{
  RequestId id;
  WorkspaceId workspace;
  PlanId plan;
  ServiceId service;
  Rank rank = Rank::Normal;      ///< Urgent when the caller did not lower it.
  TimePoint deadline;            ///< TimePoint() when the caller set none: the service's default.
  std::optional<OrderKey> order; ///< Set exactly for non-idempotent requests.
  bool firstCopy = false;        ///< The caller states that it sent no other copy.
  uint64_t fingerprint = 0;      ///< Hash of service, method, target and body.
  uint64_t requestBytes = 0;
  /// The VM that passed the request on, and its region; empty when the caller is connected here.
  std::optional<VmId> forwardedBy;
  std::optional<RegionId> forwardedFrom;
  /// For an order that a VM passed on: the VM run that holds its claim. The receiver executes the
  /// order when the sender holds the claim, and attaches the copy when it holds the claim itself.
  std::optional<VmInstance> claimer;

  auto operator<=>(const RequestHead&) const = default;
};

/// Where the bytes of an answer are.
enum class AnswerSource
{
  None,       ///< A refusal without a backend server's answer.
  Attempt,    ///< The answer of an attempt of this VM.
  Forward,    ///< The answer that a peer sent back.
  Remembered, ///< The kept answer of an earlier copy with the same key.
};

/// Final decision on a request.
struct Reply
{
  Outcome outcome = Outcome::NotRun;
  Reason reason = Reason::None;
  AnswerSource source = AnswerSource::None;
  AttemptId attempt;    ///< Valid when source is Attempt.
  RequestId remembered; ///< Request whose answer is repeated; valid when source is Remembered.
  std::optional<Duration> retryAfter;
  /// The answer must not be sent, because the link budget did not allow it in time: the peer is
  /// told unknown with reason LinkBudget. The answer of an order is kept for repeats all the same.
  bool withheld = false;
  std::optional<VmId> owner; ///< With reason NotOwner: the VM to ask instead.

  auto operator<=>(const Reply&) const = default;
};

/// End of an attempt at a backend server.
enum class AttemptEnd
{
  Answered,      ///< A complete answer arrived.
  ConnectFailed, ///< Nothing was sent.
  Shed,          ///< The server refused and stated that it ran nothing.
  Failed,        ///< The connection broke or the answer was truncated after bytes were sent.
  Crashed,       ///< As Failed, and the server's process is gone.
  TimedOut,      ///< The deadline passed after bytes were sent.
  Cancelled,     ///< Cancelled by this VM after bytes may have been sent.
};

struct AttemptResult
{
  AttemptEnd end = AttemptEnd::Failed;
  int status = 0; ///< HTTP status, when Answered.
  uint64_t answerBytes = 0;
  Duration elapsed{};

  auto operator<=>(const AttemptResult&) const = default;
};

/// A backend server's own report; it may lag or mislead.
struct LoadReport
{
  uint32_t inFlight = 0;
  uint32_t slots = 0;
  bool healthy = true;
  bool shedding = false;
  bool draining = false;

  auto operator<=>(const LoadReport&) const = default;
};

} // namespace dfm

#endif
