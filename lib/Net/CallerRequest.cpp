#include "dragonflymoor/Net/CallerRequest.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace dfm {

namespace {

constexpr std::string_view kServicePrefix = "/v1/s/";
constexpr size_t kMaxNameLength = 128;
constexpr uint64_t kMaxDeadlineMs = 3'600'000;

using Error = tl::unexpected<std::string>;

template<typename T>
using Parsed = tl::expected<T, std::string>;

Error
Fault(std::string_view aHeader, std::string_view aFault)
{
  return Error(fmt::format("header {} {}", aHeader, aFault));
}

/// The value of a header that appears at most once.
Parsed<std::optional<std::string_view>>
Single(const http::request_header<>& aHeader, std::string_view aName)
{
  if (aHeader.count(aName) > 1)
    return Fault(aName, "appears more than once");
  const auto found = aHeader.find(aName);
  if (found == aHeader.end())
    return std::nullopt;
  return std::string_view(found->value());
}

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(
           aText.begin(), aText.end(), [](char aChar) { return aChar > ' ' && aChar < 0x7f; });
}

Parsed<std::string>
RequiredName(const http::request_header<>& aHeader, std::string_view aName)
{
  const auto value = Single(aHeader, aName);
  if (!value)
    return Error(value.error());
  if (!*value)
    return Fault(aName, "is missing");
  if (!IsName(**value))
    return Fault(aName, fmt::format("must be 1 to {} visible characters", kMaxNameLength));
  return std::string(**value);
}

Parsed<std::optional<uint64_t>>
Number(const http::request_header<>& aHeader, std::string_view aName, uint64_t aLow, uint64_t aHigh)
{
  const auto value = Single(aHeader, aName);
  if (!value)
    return Error(value.error());
  if (!*value)
    return std::nullopt;
  uint64_t number = 0;
  const char* end = (*value)->data() + (*value)->size();
  const auto [rest, fault] = std::from_chars((*value)->data(), end, number);
  if (fault != std::errc() || rest != end || number < aLow || number > aHigh)
    return Fault(aName, fmt::format("must be a whole number from {} to {}", aLow, aHigh));
  return number;
}

Parsed<Rank>
ReadRank(const http::request_header<>& aHeader)
{
  const auto value = Single(aHeader, "Dfm-Rank");
  if (!value)
    return Error(value.error());
  if (!*value)
    return Rank::Urgent;
  const auto rank = ParseRank(**value);
  if (!rank)
    return Fault("Dfm-Rank", "must be urgent, normal or bulk");
  return *rank;
}

/// The key and its time belong together; both are absent on idempotent requests.
Parsed<std::optional<OrderKey>>
ReadOrder(const http::request_header<>& aHeader)
{
  constexpr uint64_t kLatest = 4'102'444'800'000; // the year 2100
  const auto created = Number(aHeader, "Dfm-Created", 1, kLatest);
  if (!created)
    return Error(created.error());
  if (aHeader.find("Idempotency-Key") == aHeader.end()) {
    if (*created)
      return Fault("Idempotency-Key", "is missing");
    return std::nullopt;
  }
  auto key = RequiredName(aHeader, "Idempotency-Key");
  if (!key)
    return Error(key.error());
  if (!*created)
    return Fault("Dfm-Created", "is missing");
  const WallTime time{ std::chrono::milliseconds(**created) };
  return OrderKey{ .key = std::move(*key), .created = time };
}

/// Splits the target into the service's name and what the backend server gets.
Parsed<std::pair<std::string, std::string>>
SplitTarget(std::string_view aTarget)
{
  aTarget.remove_prefix(kServicePrefix.size());
  const size_t end = std::min(aTarget.find_first_of("/?"), aTarget.size());
  const std::string_view service = aTarget.substr(0, end);
  if (!IsName(service))
    return Error("the target must be /v1/s/<service>/<path>");
  const std::string_view rest = aTarget.substr(end);
  return std::pair(std::string(service),
                   rest.starts_with('/') ? std::string(rest) : fmt::format("/{}", rest));
}

} // namespace

bool
IsServiceTarget(std::string_view aTarget)
{
  return aTarget.starts_with(kServicePrefix);
}

tl::expected<CallerRequest, std::string>
ParseCallerRequest(const http::request_header<>& aHeader, TimePoint aNow)
{
  auto target = SplitTarget(aHeader.target());
  if (!target)
    return Error(target.error());
  auto workspace = RequiredName(aHeader, "Dfm-Workspace");
  if (!workspace)
    return Error(workspace.error());
  auto plan = RequiredName(aHeader, "Dfm-Plan");
  if (!plan)
    return Error(plan.error());
  const auto rank = ReadRank(aHeader);
  if (!rank)
    return Error(rank.error());
  const auto deadline = Number(aHeader, "Dfm-Deadline-Ms", 1, kMaxDeadlineMs);
  if (!deadline)
    return Error(deadline.error());
  const auto attempt = Number(aHeader, "Dfm-Attempt", 1, 1'000'000);
  if (!attempt)
    return Error(attempt.error());
  auto order = ReadOrder(aHeader);
  if (!order)
    return Error(order.error());

  CallerRequest request;
  request.target = std::move(target->second);
  request.head.service = ServiceId(std::move(target->first));
  request.head.workspace = WorkspaceId(std::move(*workspace));
  request.head.plan = PlanId(std::move(*plan));
  request.head.rank = *rank;
  if (*deadline)
    request.head.deadline = aNow + std::chrono::milliseconds(**deadline);
  request.head.firstCopy = *attempt == uint64_t{ 1 };
  request.head.order = std::move(*order);
  return request;
}

Outcome
RefusalOutcome(const http::request_header<>& aHeader)
{
  const bool otherCopies = aHeader.count("Idempotency-Key") > 0 && aHeader["Dfm-Attempt"] != "1";
  return otherCopies ? Outcome::Unknown : Outcome::NotRun;
}

uint64_t
Fingerprint(const ServiceId& aService, const HttpRequest& aRequest)
{
  const std::string_view method = aRequest.method_string();
  const std::string_view target = aRequest.target();
  uint64_t hash = HashBytes(aService.Value());
  hash = HashBytes(method, hash);
  hash = HashBytes(target, hash);
  return HashBytes(aRequest.body(), hash);
}

} // namespace dfm
