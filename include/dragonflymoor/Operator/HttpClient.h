#ifndef DRAGONFLYMOOR_OPERATOR_HTTPCLIENT_H
#define DRAGONFLYMOOR_OPERATOR_HTTPCLIENT_H

#include "dragonflymoor/Engine/Engine.h"
#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Time.h"
#include <optional>
#include <string>
#include <string_view>

namespace dfm {

/// Reads "ip:port" or "[ip]:port"; empty when the text is anything else.
std::optional<Endpoint>
ParseEndpoint(std::string_view aText);

/// Fetches a page; empty when no complete answer with status 200 came in time.
std::optional<std::string>
FetchPage(const Endpoint& aServer, const std::string& aTarget, Duration aTimeout);

/// Carries out one get or put at the platform's object store. Every failure that leaves the result
/// of a put open is NoAnswer.
StoreResult
CallStore(const Endpoint& aStore, const StoreCall& aCall, Duration aTimeout);

} // namespace dfm

#endif
