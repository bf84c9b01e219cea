#ifndef DRAGONFLYMOOR_NET_CALLERREQUEST_H
#define DRAGONFLYMOOR_NET_CALLERREQUEST_H

#include "dragonflymoor/Model/Request.h"
#include "dragonflymoor/Net/Content.h"
#include <string>
#include <tl/expected.hpp>

namespace dfm {

/// What a caller's request line and headers say.
struct CallerRequest
{
  RequestHead head;   ///< Without id, fingerprint and requestBytes.
  std::string target; ///< Path and query for the backend server.

  auto operator<=>(const CallerRequest&) const = default;
};

/// True for targets of the form /v1/s/<service>/<path...>.
bool
IsServiceTarget(std::string_view aTarget);

/// Reads "/v1/s/<service>/<path...>" and the headers of the callers' interface. A rank that the
/// caller did not set is Urgent, which lowers nothing; a deadline it did not set is TimePoint{}.
/// The error is the text of the 400 answer and names the header. Safe to call from any thread.
tl::expected<CallerRequest, std::string>
ParseCallerRequest(const http::request_header<>& aHeader, TimePoint aNow);

/// What may be said of a request that this VM refuses before the engine has seen it: another copy
/// of an order may have run, unless the caller states that this is the first one.
Outcome
RefusalOutcome(const http::request_header<>& aHeader);

/// Hash of service, method, target and body, by which repeated crashes are recognised.
uint64_t
Fingerprint(const ServiceId& aService, const HttpRequest& aRequest);

} // namespace dfm

#endif
