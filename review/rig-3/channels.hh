// Ordinary callers that open new channels, and the platform's check for readiness: what the rule
// RECOVER of a machine that takes no new channel is judged by.
#pragma once

#include "rig.hh"

namespace rig {

inline constexpr unsigned kCallers = 10;
inline constexpr unsigned kLeastCallers = 7;   ///< Of the rule.
inline constexpr double kSettleSeconds = 3;    ///< settle_window_s.

struct Try
{
  double at;
  unsigned caller;
  bool taken;
};

inline std::mutex sMutex;
inline std::vector<Try> sTries;
inline std::vector<double> sNotReady;

/// Tries new channels until the end: one at a time, each with a request that is answered at once.
inline void
CallOnNewChannels(const std::string& aAddress,
                  unsigned aCaller,
                  Record& aRecord,
                  const std::atomic<bool>& aStop)
{
  for (unsigned number = 0; !aStop; ++number, Sleep(0.3)) {
    const double at = Now();
    const std::string id = "c" + std::to_string(aCaller) + "-" + std::to_string(number);
    Socket socket = Socket::Connect(aAddress, Daemon::Callers());
    Message answer;
    ReadEnd end = ReadEnd::Closed;
    if (socket.IsOpen() &&
        socket.Send("GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
                    "\r\nX-Deadline-Ms: 1200\r\n\r\n"))
      end = ReadMessage(socket, answer, 1.2);
    const bool taken = end == ReadEnd::Whole;
    aRecord.Line("%s: %s",
                 id.c_str(),
                 taken                      ? ("status " + std::to_string(answer.Status())).c_str()
                 : end == ReadEnd::TimedOut ? "no answer in its time"
                                            : "channel closed without an answer");
    const std::scoped_lock lock(sMutex);
    sTries.push_back({ at, aCaller, taken });
  }
}

/// The platform's check, once a second on a kept channel.
inline void
CheckReadiness(const std::string& aAddress, Record& aRecord, const std::atomic<bool>& aStop)
{
  Socket socket = Socket::Connect(aAddress, Daemon::Readiness());
  for (; !aStop; Sleep(1)) {
    Message answer;
    const bool ready = socket.Send("GET /ready HTTP/1.1\r\nHost: vm\r\n\r\n") &&
                       ReadMessage(socket, answer, 1) == ReadEnd::Whole && answer.Status() == 200;
    aRecord.Line("/ready: %s", ready ? "200" : "not ready");
    if (!ready) {
      const std::scoped_lock lock(sMutex);
      sNotReady.push_back(Now());
    }
  }
}

/// The longest span between two channels that were taken, or the ends, in which enough callers tried
/// and the machine said that it is ready.
inline double
LongestSpan(double aFrom, double aTo, unsigned& aCallers)
{
  std::vector<double> taken{ aFrom };
  for (const Try& attempt : sTries) {
    if (attempt.taken && attempt.at >= aFrom && attempt.at <= aTo)
      taken.push_back(attempt.at);
  }
  taken.push_back(aTo);
  std::sort(taken.begin(), taken.end());
  double longest = 0;
  for (size_t i = 1; i < taken.size(); ++i) {
    const auto isInside = [&](double aAt) { return aAt > taken[i - 1] && aAt < taken[i]; };
    std::vector<unsigned> callers;
    for (const Try& attempt : sTries) {
      if (isInside(attempt.at) &&
          std::find(callers.begin(), callers.end(), attempt.caller) == callers.end())
        callers.push_back(attempt.caller);
    }
    const bool ready = std::none_of(sNotReady.begin(), sNotReady.end(), isInside);
    if (ready && callers.size() >= kLeastCallers && taken[i] - taken[i - 1] > longest) {
      longest = taken[i] - taken[i - 1];
      aCallers = static_cast<unsigned>(callers.size());
    }
  }
  return longest;
}

} // namespace rig
