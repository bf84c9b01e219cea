#include <boost/assert.hpp>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace {

/// An assertion in parse_chunk_header() of Boost.Beast 345 that is wrong: it expects five bytes
/// after the last chunk's size line, but has four when that chunk is also the first and "0\r\n" and
/// "\r" arrive separately. What follows it works with four bytes. Any client could end the process.
bool
IsWrong(std::string_view aExpression, std::string_view aFunction)
{
  return aExpression == "n >= 5" && aFunction.find("parse_chunk_header") != std::string_view::npos;
}

} // namespace

namespace boost {

// Boost calls these instead of assert() wherever BOOST_ENABLE_ASSERT_HANDLER is defined.
void
assertion_failed(const char* aExpression, const char* aFunction, const char* aFile, long aLine)
{
  if (IsWrong(aExpression, aFunction))
    return;
  std::fprintf(stderr, "%s:%ld: %s: assertion `%s' failed\n", aFile, aLine, aFunction, aExpression);
  std::abort();
}

void
assertion_failed_msg(const char* aExpression,
                     const char* aMessage,
                     const char* aFunction,
                     const char* aFile,
                     long aLine)
{
  std::fprintf(stderr,
               "%s:%ld: %s: assertion `%s' failed: %s\n",
               aFile,
               aLine,
               aFunction,
               aExpression,
               aMessage);
  std::abort();
}

} // namespace boost
