#include "dragonflymoor/Net/CallerExchange.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace dfm {

namespace {

http::status
StatusOf(const FinalAnswer& aAnswer)
{
  switch (aAnswer.reason) {
    case Reason::BadRequest:
    case Reason::UnknownService:
    case Reason::UnknownPlan:
      return http::status::bad_request;
    case Reason::PlanRateLimit:
    case Reason::PlanInFlightLimit:
      return http::status::too_many_requests;
    case Reason::DeadlineExceeded:
    case Reason::ServerTimeout:
      return http::status::gateway_timeout;
    default:
      break;
  }
  // Answered without an answer: the order ran, but its answer is not kept any more.
  return aAnswer.outcome == Outcome::NotRun ? http::status::service_unavailable
                                            : http::status::bad_gateway;
}

std::string
TextOf(const FinalAnswer& aAnswer, const RequestHead& aHead)
{
  switch (aAnswer.reason) {
    case Reason::BadRequest:
      if (!aHead.order)
        return fmt::format("header Idempotency-Key is missing, which service {} needs",
                           aHead.service.Value());
      return "header Dfm-Created is more than 2 minutes in the future, or Idempotency-Key was used "
             "for another request";
    case Reason::UnknownService:
      return fmt::format("service {} does not exist", aHead.service.Value());
    case Reason::UnknownPlan:
      return fmt::format("header Dfm-Plan names plan {}, which workspace {} does not have",
                         aHead.plan.Value(),
                         aHead.workspace.Value());
    default:
      break;
  }
  return fmt::format("{}: {}", ToString(aAnswer.outcome), ToString(aAnswer.reason));
}

} // namespace

CallerExchange::CallerExchange(const asio::any_io_executor& aExecutor,
                               RequestHead aHead,
                               RequestPointer aRequest)
  : head_(std::move(aHead))
  , request_(std::move(aRequest))
  , event_(aExecutor, asio::steady_timer::time_point::max())
{
}

void
CallerExchange::Finish(FinalAnswer aAnswer)
{
  asio::post(event_.get_executor(),
             [self = shared_from_this(), answer = std::move(aAnswer)]() mutable {
               self->answer_ = std::move(answer);
               self->event_.cancel();
             });
}

void
CallerExchange::WatchCaller(tcp::socket& aCaller)
{
  aCaller.async_wait(
    tcp::socket::wait_read, [self = shared_from_this(), &aCaller](error_code aError) {
      // After a cancellation the connection may be gone, so it is not touched.
      if (aError == asio::error::operation_aborted || self->answer_)
        return;
      char byte = 0;
      const ssize_t received =
        ::recv(aCaller.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
      // Bytes of a following request: the caller is still there.
      if (!aError && received > 0)
        return;
      self->callerGone_ = true;
      self->event_.cancel();
    });
}

asio::awaitable<std::optional<FinalAnswer>>
CallerExchange::Wait(tcp::socket& aCaller)
{
  WatchCaller(aCaller);
  while (!answer_ && !callerGone_)
    co_await event_.async_wait(kAwaitTuple);
  if (!answer_)
    co_return std::nullopt;
  aCaller.cancel();
  co_return std::move(answer_);
}

http::response<http::string_body>
RefusalAnswer(const FinalAnswer& aAnswer, const RequestHead& aHead)
{
  http::response<http::string_body> answer(StatusOf(aAnswer), 11);
  answer.set(http::field::content_type, "text/plain");
  answer.body() = TextOf(aAnswer, aHead) + "\n";
  return answer;
}

void
SetOutcomeHeaders(http::fields& aFields, const FinalAnswer& aAnswer)
{
  aFields.set("Dfm-Outcome", ToString(aAnswer.outcome));
  if (aAnswer.reason == Reason::None)
    aFields.erase("Dfm-Reason");
  else
    aFields.set("Dfm-Reason", ToString(aAnswer.reason));
  if (!aAnswer.retryAfter)
    return;
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(*aAnswer.retryAfter).count();
  aFields.set(http::field::retry_after, std::to_string(seconds));
}

} // namespace dfm
