#include "dragonflymoor/Net/Framing.h"
#include "FramingCases.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cctype>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace dfm;
using namespace dfm::test;

namespace {

// Runs in CI are repeatable; RC_PARAMS in the environment takes precedence.
[[maybe_unused]] const int kSeed = setenv("RC_PARAMS", "seed=20261206 max_success=3000", 0);

/// The requests at the start of a stream that a parser accepts.
struct Reading
{
  std::vector<size_t> ends; ///< Offset of the end of each request.
  error_code error;         ///< Of the request after them.
};

/// Reads aBytes as one connection does, in pieces that end at each aStep bytes.
Reading
Read(std::string_view aBytes, size_t aStep)
{
  Reading reading;
  size_t consumed = 0;
  while (consumed < aBytes.size()) {
    FramedRequestParser<http::string_body> parser;
    parser.eager(true);
    size_t end = consumed;
    while (!parser.is_done() && end < aBytes.size()) {
      end = std::min(aBytes.size(), (end / aStep + 1) * aStep);
      error_code error;
      consumed += parser.put(asio::buffer(aBytes.data() + consumed, end - consumed), error);
      if (error && error != http::error::need_more) {
        reading.error = error;
        return reading;
      }
    }
    if (!parser.is_done())
      return reading;
    reading.ends.push_back(consumed);
  }
  return reading;
}

/// The end of the request at the start of aBytes by a parser that takes what is common among
/// lenient ones: lines end with LF alone, a folded line belongs to the one before, chunked counts
/// wherever it appears, and else the last length does.
size_t
LenientEnd(std::string_view aBytes)
{
  size_t at = 0;
  const auto nextLine = [&] {
    const size_t end = std::min(aBytes.find('\n', at), aBytes.size());
    std::string line(aBytes.substr(at, end - at));
    at = std::min(end + 1, aBytes.size());
    if (line.ends_with('\r'))
      line.pop_back();
    std::transform(line.begin(), line.end(), line.begin(), ::tolower);
    return line;
  };
  bool chunked = false;
  size_t length = 0;
  for (std::string line = nextLine(); !line.empty(); line = nextLine()) {
    std::string name = line.substr(0, line.find(':'));
    name.erase(name.find_last_not_of(" \t") + 1);
    const std::string value = line.substr(std::min(line.size(), line.find(':') + 1));
    chunked |= name == "transfer-encoding" && value.find("chunked") != std::string::npos;
    if (name == "content-length")
      length = std::strtoull(value.c_str(), nullptr, 10);
  }
  if (!chunked)
    return at + length;
  for (size_t size = std::strtoull(nextLine().c_str(), nullptr, 16); size > 0;
       size = std::strtoull(nextLine().c_str(), nullptr, 16)) {
    at += std::min(size, aBytes.size() - at);
    nextLine();
  }
  while (!nextLine().empty() && at < aBytes.size())
    ;
  return at;
}

} // namespace

/// Guards against a request that is accepted although the hidden request in it may run.
Test(Framing, RejectsWhatCannotBeFramed)
{
  for (const FramingCase& testCase : FramingCases()) {
    const std::string bytes = RequestBytes(testCase);
    const size_t outerBytes = bytes.size() - kHiddenRequest.size();
    for (const size_t step : { size_t{ 1 }, size_t{ 7 }, bytes.size() }) {
      const Reading reading = Read(bytes, step);
      if (testCase.status == 200) {
        cr_assert(reading.ends == std::vector({ outerBytes, bytes.size() }),
                  "%s: %s",
                  testCase.name.data(),
                  reading.error.message().c_str());
        continue;
      }
      cr_assert(reading.error && reading.ends.empty(),
                "%s: the hidden request %s",
                testCase.name.data(),
                testCase.hidden.data());
      const auto status = FramingStatus(reading.error).value_or(http::status::bad_request);
      cr_assert(static_cast<unsigned>(status) == testCase.status, "%s", testCase.name.data());
    }
  }
}

/// Guards against answers of a faulty server that pass as answers, with a status that does not
/// exist or a field whose name another parser reads differently.
Test(Framing, RejectsAnswersThatAreNotHttp)
{
  using namespace std::string_literals;
  struct Case
  {
    std::string head; ///< Status line and fields.
    std::string body;
    bool valid = false;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string empty = "Content-Length: 0\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const Case cases[] = {
    { ok + empty, "", true },
    { "HTTP/1.1 599 Odd\r\n" + empty, "", true },
    { "HTTP/1.1 000 Odd\r\n" + empty, "" },
    { "HTTP/1.1 000 Odd\r\n", "part" },
    { "HTTP/1.1 099 Odd\r\n" + empty, "" },
    { "HTTP/1.1 600 Odd\r\n" + empty, "" },
    { "HTTP/1.1 999 Odd\r\n" + empty, "" },
    { "HTTP/1.1 20 Odd\r\n" + empty, "" },
    { "HTTP/1.1 0200 Odd\r\n" + empty, "" },
    { "HTTP/1.1 2xx Odd\r\n" + empty, "" },
    { ok + "X A: b\r\n" + empty, "" },
    { ok + "X\tA: b\r\n" + empty, "" },
    { ok + "X\x01: b\r\n" + empty, "" },
    { ok + "X\0: b\r\n"s + empty, "" },
    { ok + "X\x7f: b\r\n" + empty, "" },
    { ok + ": b\r\n" + empty, "" },
    { ok + "X : b\r\n" + empty, "" },
    { ok + "Content-Length : 0\r\n", "" },
    { ok + "Transfer-Encoding : chunked\r\n", "0\r\n\r\n" },
    { ok + "X: a\0b\r\n"s + empty, "" },
    { ok + chunked, "0\r\nX: b\r\n\r\n", true },
    { ok + chunked, "0\r\nX A: b\r\n\r\n" },
    { ok + chunked, "0\r\nX : b\r\n\r\n" },
  };
  for (const Case& testCase : cases) {
    const std::string bytes = testCase.head + "\r\n" + testCase.body;
    for (const size_t step : { size_t{ 1 }, size_t{ 7 }, bytes.size() }) {
      FramedAnswerParser<http::string_body> parser;
      parser.eager(true);
      error_code error;
      size_t consumed = 0;
      for (size_t end = 0; end < bytes.size() && !parser.is_done();) {
        end = std::min(bytes.size(), end + step);
        consumed += parser.put(asio::buffer(bytes.data() + consumed, end - consumed), error);
        if (error && error != http::error::need_more)
          break;
      }
      cr_assert((parser.is_done() && !error) == testCase.valid,
                "%s, step %zu: %s",
                testCase.head.c_str(),
                step,
                error.message().c_str());
    }
  }
}

/// Guards against hidden requests that the table does not list: pieces of other sizes, and a
/// lenient parser in front of a VM or behind it, must see the same requests.
Test(Framing, NoMutationSplitsParsers)
{
  const std::vector<std::string> parts = {
    "\r\n",
    "\n",
    "\r",
    std::string(1, '\0'),
    " ",
    "\t",
    ",",
    ";",
    ":",
    "0",
    "5",
    "a=\"",
    "\"",
    "chunked",
    "gzip",
    "Transfer-Encoding: chunked\r\n",
    "Content-Length: 3\r\n",
    "HTTP/1.0",
    "0\r\n\r\n",
    std::string(kHiddenRequest),
  };
  const std::vector<std::string> requests = {
    "GET /a HTTP/1.1\r\nHost: a\r\n\r\n",
    "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
    "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=\"b\"\r\nabc\r\n0\r\nX: y\r\n\r\n",
    "POST /d HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
  };
  const bool ok = rc::check([&] {
    std::string stream;
    const auto order =
      *rc::gen::resize(4,
                       rc::gen::nonEmpty(rc::gen::container<std::vector<std::string>>(
                         rc::gen::elementOf(requests))));
    for (const std::string& request : order)
      stream += request;
    const int mutations = *rc::gen::inRange(0, 4);
    for (int i = 0; i < mutations; ++i) {
      const auto at = *rc::gen::inRange<size_t>(0, stream.size());
      const auto erased = *rc::gen::element<size_t>(0, 0, 1, 2, 9);
      stream.replace(at, erased, *rc::gen::elementOf(parts));
    }
    const Reading whole = Read(stream, stream.size());
    const Reading pieces = Read(stream, *rc::gen::inRange<size_t>(1, 20));
    RC_ASSERT(whole.ends == pieces.ends);
    // Beast looks at the pieces of a header again only when it is complete.
    RC_ASSERT(!pieces.error || whole.error);
    size_t begin = 0;
    for (const size_t end : whole.ends) {
      RC_ASSERT(LenientEnd(std::string_view(stream).substr(begin)) == end - begin);
      begin = end;
    }
  });
  cr_assert(ok);
}
