#ifndef DRAGONFLYMOOR_NET_FINALANSWER_H
#define DRAGONFLYMOOR_NET_FINALANSWER_H

#include "dragonflymoor/Net/Framing.h"
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <functional>
#include <optional>

namespace dfm {

/// Reads the header of the final answer to a request, after any interim ones (1xx). aParser is
/// replaced for each of them and prepared by aPrepare, which sets its limits. Returns the error of
/// the last read, or header_limit after more than kMaxInterimAnswers. All arguments must outlive
/// the returned awaitable. Precondition: aPrepare is set. Not thread-safe.
template<class Stream, class Parser>
asio::awaitable<error_code>
ReadFinalHeader(Stream& aStream,
                beast::flat_buffer& aBuffer,
                std::optional<Parser>& aParser,
                const std::function<void(Parser&)>& aPrepare)
{
  for (int interimAnswers = 0; interimAnswers <= kMaxInterimAnswers; ++interimAnswers) {
    aParser.emplace();
    aPrepare(*aParser);
    auto [error, bytes] = co_await http::async_read_header(aStream, aBuffer, *aParser, kAwaitTuple);
    if (error || aParser->get().result_int() >= 200)
      co_return error;
  }
  co_return http::error::header_limit;
}

} // namespace dfm

#endif
