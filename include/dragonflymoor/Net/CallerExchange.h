#ifndef DRAGONFLYMOOR_NET_CALLEREXCHANGE_H
#define DRAGONFLYMOOR_NET_CALLEREXCHANGE_H

#include "dragonflymoor/Model/Request.h"
#include "dragonflymoor/Net/Asio.h"
#include "dragonflymoor/Net/Content.h"
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

namespace dfm {

/// How a request ends, with the bytes of its answer when there are any.
struct FinalAnswer
{
  Outcome outcome = Outcome::NotRun;
  Reason reason = Reason::None;
  AnswerPointer answer;
  std::optional<Duration> retryAfter;
  std::optional<VmId> owner; ///< With reason NotOwner: the VM to ask instead.
};

/// A request of a caller on its way through the control thread and back to its connection.
class CallerExchange : public std::enable_shared_from_this<CallerExchange>
{
public:
  CallerExchange(const asio::any_io_executor& aExecutor,
                 RequestHead aHead,
                 RequestPointer aRequest);

  const RequestHead& Head() const { return head_; }
  const RequestPointer& Request() const { return request_; }

  /// Gives the answer to the waiting connection. Safe to call from any thread, once.
  void Finish(FinalAnswer aAnswer);

  /// Waits for the answer; empty when the caller closed the connection first. Must run on the
  /// executor.
  asio::awaitable<std::optional<FinalAnswer>> Wait(tcp::socket& aCaller);

private:
  void WatchCaller(tcp::socket& aCaller);

  RequestHead head_;
  RequestPointer request_;
  asio::steady_timer event_; ///< Cancelled to wake the waiting connection.
  std::optional<FinalAnswer> answer_;
  bool callerGone_ = false;
};

/// Status, headers and text of an answer that no backend server gave, and the headers that every
/// answer carries. Safe to call from any thread.
http::response<http::string_body>
RefusalAnswer(const FinalAnswer& aAnswer, const RequestHead& aHead);

/// Adds Dfm-Outcome, Dfm-Reason and Retry-After.
void
SetOutcomeHeaders(http::fields& aFields, const FinalAnswer& aAnswer);

} // namespace dfm

#endif
