#ifndef DRAGONFLYMOOR_UNITTESTS_NET_FRAMINGCASES_H
#define DRAGONFLYMOOR_UNITTESTS_NET_FRAMINGCASES_H

#include <string>
#include <string_view>
#include <vector>

namespace dfm::test {

/// A request after whose fields follow the bytes of a second, hidden request.
struct FramingCase
{
  std::string_view name;
  std::string_view fields; ///< With the line ends.
  unsigned status;         ///< Of the only answer; 200 if the request is valid.
  std::string_view hidden; ///< What the hidden request would do.
  std::string_view body{}; ///< Sent before the hidden request.
  std::string_view start = "POST /order/outer HTTP/1.1\r\n";
};

/// The hidden request. Its id is "hidden".
inline constexpr std::string_view kHiddenRequest = "POST /order/hidden HTTP/1.1\r\n"
                                                   "Host: shop.example\r\n"
                                                   "X-Request-Id: hidden\r\n"
                                                   "Content-Length: 2\r\n\r\nhi";

inline std::string
RequestBytes(const FramingCase& aCase)
{
  std::string bytes(aCase.start);
  bytes += "Host: shop.example\r\nX-Request-Id: outer\r\nX-Deadline-Ms: 2000\r\n";
  bytes += aCase.fields;
  bytes += "\r\n";
  bytes += aCase.body;
  bytes += kHiddenRequest;
  return bytes;
}

/// All requests that cannot be framed, and valid ones that are like them.
inline const std::vector<FramingCase>&
FramingCases()
{
  using namespace std::string_view_literals;
  constexpr auto kRuns = "runs: the outer request is taken for one without a body"sv;
  constexpr auto kOther = "runs or not, by which of two statements a parser believes"sv;
  constexpr auto kLine = "runs where another parser sees one more line"sv;
  constexpr auto kChunk = "runs where another parser sees the chunk end elsewhere"sv;
  constexpr auto kChunked = "Transfer-Encoding: chunked\r\n"sv;
  constexpr auto kEnd = "0\r\n\r\n"sv;
  static const std::vector<FramingCase> cases = {
    { "coding alone", "Transfer-Encoding: gzip\r\n", 501, kRuns },
    { "identity", "Transfer-Encoding: identity\r\n", 501, kRuns },
    { "coding before chunked", "Transfer-Encoding: gzip, chunked\r\n", 501, kOther, kEnd },
    { "two fields",
      "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
      501,
      kOther,
      kEnd },
    { "chunked not last", "Transfer-Encoding: chunked, gzip\r\n", 400, kRuns, kEnd },
    { "chunked twice", "Transfer-Encoding: chunked, chunked\r\n", 400, kRuns, kEnd },
    { "chunked in two fields",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
      400,
      kOther,
      kEnd },
    { "quoted coding", "Transfer-Encoding: \"chunked\"\r\n", 400, kRuns, kEnd },
    { "chunked with a parameter", "Transfer-Encoding: chunked;q=1\r\n", 400, kOther, kEnd },
    { "no coding", "Transfer-Encoding:\r\n", 400, kRuns },
    { "empty element", "Transfer-Encoding: chunked,\r\n", 400, kOther, kEnd },
    { "coding and length", "Transfer-Encoding: gzip\r\nContent-Length: 1\r\n", 400, kOther },
    { "length and chunked",
      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
      400,
      kOther,
      kEnd },
    { "chunked and length",
      "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
      400,
      kOther,
      kEnd },
    { "chunked in HTTP/1.0",
      "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n",
      400,
      kOther,
      kEnd,
      "POST /order/outer HTTP/1.0\r\n" },
    { "unequal lengths", "Content-Length: 0\r\nContent-Length: 5\r\n", 400, kOther },
    { "unequal list", "Content-Length: 0, 5\r\n", 400, kOther },
    { "empty length", "Content-Length:\r\n", 400, kOther },
    { "length with a sign", "Content-Length: +5\r\n", 400, kOther },
    { "hexadecimal length", "Content-Length: 0x5\r\n", 400, kOther },
    { "length with a parameter", "Content-Length: 0;5\r\n", 400, kOther },
    { "length beyond 64 bits", "Content-Length: 18446744073709551616\r\n", 400, kOther },
    { "folded coding", "Transfer-Encoding:\r\n chunked\r\n", 400, kLine, kEnd },
    { "folded value", "X-A: b\r\n Transfer-Encoding: chunked\r\n", 400, kLine },
    { "folded length", "Content-Length: 0\r\n 5\r\n", 400, kLine },
    { "blank fold", "X-A: b\r\n \r\n", 400, kLine },
    { "bare CR", "X-A: b\rTransfer-Encoding: chunked\r\n", 400, kLine },
    { "bare LF", "X-A: b\nTransfer-Encoding: chunked\r\n", 400, kLine },
    { "NUL", "X-A: b\0c\r\n"sv, 400, kLine },
    { "blank before the colon", "Transfer-Encoding : chunked\r\n", 400, kLine, kEnd },
    { "empty line first", "", 400, kLine, "", "\r\nPOST /order/outer HTTP/1.1\r\n" },
    { "line end in an extension", kChunked, 400, kChunk, "2;a=\"\n\"\r\nhi\r\n0\r\n\r\n" },
    { "NUL in an extension", kChunked, 400, kChunk, "2;a=\"\0\"\r\nhi\r\n0\r\n\r\n"sv },
    { "chunk size beyond 64 bits", kChunked, 400, kChunk, "10000000000000000\r\n" },
    { "chunk size with a sign", kChunked, 400, kChunk, "+2\r\nhi\r\n0\r\n\r\n" },
    { "no line end after a chunk", kChunked, 400, kChunk, "2\r\nhi0\r\n\r\n" },
    { "bare LF after a size", kChunked, 400, kChunk, "2\nhi\r\n0\r\n\r\n" },
    { "folded trailer", kChunked, 400, kLine, "0\r\nX-A: b\r\n c\r\n\r\n" },
    { "length in a trailer", kChunked, 400, kOther, "0\r\nContent-Length: 5\r\n\r\n" },
    { "chunks with extension and trailer",
      "Transfer-Encoding: Chunked\r\nConnection: close\r\n",
      200,
      "is not read: the connection closes",
      "2;a=\"b\"\r\nhi\r\n0\r\nX-Trailer: 1\r\n\r\n" },
    { "equal lengths",
      "Content-Length: 2, 2\r\nContent-Length: 2\r\nConnection: close\r\n",
      200,
      "is not read: the connection closes",
      "hi" },
  };
  return cases;
}

} // namespace dfm::test

#endif
