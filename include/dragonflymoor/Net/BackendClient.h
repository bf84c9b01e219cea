#ifndef DRAGONFLYMOOR_NET_BACKENDCLIENT_H
#define DRAGONFLYMOOR_NET_BACKENDCLIENT_H

#include "dragonflymoor/Model/Request.h"
#include "dragonflymoor/Net/HttpPool.h"
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>

namespace dfm {

/// Identities of backend servers' processes as last reported. Safe to use from any thread.
class ProcessIdentities
{
public:
  void Set(const BackendId& aBackend, std::string aProcess);
  /// Empty when the server never reported one.
  std::string Of(const BackendId& aBackend) const;

private:
  mutable std::mutex mutex_;
  std::unordered_map<BackendId, std::string> processes_;
};

/// One attempt to have a request answered by a backend server.
struct Attempt
{
  AttemptId id;
  std::string requestId; ///< For the header Dfm-Request-Id.
  RequestPointer request;
  BackendServer server;
  TimePoint deadline;
  /// A non-idempotent request gets a connection of its own, because a server that closes an idle
  /// connection at the same moment would leave its outcome unknown.
  bool freshConnection = false;
};

struct AttemptOutcome
{
  AttemptResult result;
  AnswerPointer answer;         ///< Set when the result is Answered.
  Reason detail = Reason::None; ///< Finer cause of a failure, for the counters.
};

/// Sends requests to backend servers. Belongs to the thread of its pool.
class BackendClient
{
public:
  using Ended = std::function<void(AttemptOutcome)>;

  BackendClient(HttpPool& aPool,
                std::shared_ptr<BodyBudget> aBudget,
                std::shared_ptr<ProcessIdentities> aProcesses);

  /// Starts an attempt; aEnded is called exactly once, later, on this thread.
  void Start(Attempt aAttempt, Ended aEnded);

  /// Closes the connection of an attempt, which then ends as Cancelled.
  void Cancel(AttemptId aId);

  /// Asks a server for its load. Empty when it gave no valid answer.
  void PollLoad(BackendServer aServer, std::function<void(std::optional<LoadReport>)> aDone);

private:
  struct Running
  {
    HttpConnectionPointer connection;
    bool cancelled = false;
  };

  asio::awaitable<void> Run(Attempt aAttempt, std::shared_ptr<Running> aRunning, Ended aEnded);
  asio::awaitable<AttemptOutcome> Try(const Attempt& aAttempt, Running& aRunning);
  asio::awaitable<bool> ProcessIsGone(BackendServer aServer, std::string aProcessBefore);
  asio::awaitable<std::optional<LoadReport>> FetchLoad(BackendServer aServer);
  AttemptOutcome Classify(ExchangeResult& aExchange) const;

  HttpPool& pool_;
  std::shared_ptr<BodyBudget> budget_;
  std::shared_ptr<ProcessIdentities> processes_;
  std::unordered_map<AttemptId, std::shared_ptr<Running>> running_;
};

/// A load report in the form of the backend servers' protocol, with the identity of the process.
struct ServerLoad
{
  LoadReport report;
  std::string process;

  auto operator<=>(const ServerLoad&) const = default;
};

/// Empty when the text is not a load report.
std::optional<ServerLoad>
ParseLoad(std::string_view aJson);

} // namespace dfm

#endif
