#ifndef DRAGONFLYMOOR_GATEWAY_PROTOCOL_H
#define DRAGONFLYMOOR_GATEWAY_PROTOCOL_H

#include "dragonflymoor/Net/Asio.h"
#include "dragonflymoor/Steering/Directory.h"
#include "dragonflymoor/Steering/FleetKeeper.h"
#include "dragonflymoor/Support/Time.h"
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/fields.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dfm {

namespace http = beast::http;

/// What the headers of a caller's request say.
struct CallerHead
{
  std::string requestId; ///< Empty when there is none.
  std::optional<std::string> affinityKey;
  std::optional<Duration> timeLeft; ///< How long the caller will wait.

  auto operator<=>(const CallerHead&) const = default;
};

/// What the headers of an instance's answer say.
struct AnswerHead
{
  std::string requestId;      ///< Of the request that is answered; empty when there is none.
  bool notExecuted = false;   ///< The instance states that it did not run the request.
  bool wrongInstance = false; ///< Another instance than the expected one has the address.
  bool genuine = false;       ///< Bears the instance's receipt.
  std::string instance;       ///< In answers to health checks.
  Duration coldLeft{};        ///< In answers to health checks.

  auto operator<=>(const AnswerHead&) const = default;
};

/// How callers, instances and the platform speak; the platform's adapter provides the functions.
/// All are safe to call from any thread.
struct Protocol
{
  std::function<CallerHead(const http::fields&)> readCaller;
  /// Sets the headers of a request to an instance.
  std::function<void(http::fields&, const BackendId& aExpected, Duration aTimeLeft)> writeAttempt;
  std::function<AnswerHead(unsigned aStatus, const http::fields&)> readAnswer;
  /// Empty when the target is not a question to the directory.
  std::function<std::optional<DirectoryQuery>(std::string_view aTarget)> readQuery;
  std::function<std::string(const std::vector<Endpoint>&, Duration aTtl)> writeDirectoryAnswer;
  std::string readinessTarget;
};

/// Why a call to the store gave no result.
struct StoreError
{
  enum class Kind
  {
    HistoryGone, ///< The changes since the given revision are no longer known.
    Unavailable, ///< No answer, or one that says that nothing was done.
    Rejected,    ///< The call itself was at fault.
  };
  Kind kind = Kind::Unavailable;
  std::string message;

  auto operator<=>(const StoreError&) const = default;
};

template<typename T>
using StoreAnswer = asio::awaitable<tl::expected<T, StoreError>>;

/// What changed in one kind of objects.
struct ObjectChanges
{
  uint64_t revision = 0;
  std::vector<ObjectChange> changes;
};

/// The platform's store. All functions must be called on the thread of the store's client.
struct StoreApi
{
  std::function<StoreAnswer<ObjectSet>(ObjectKind)> list;
  /// Waits at most aWait for changes after aRevision.
  std::function<StoreAnswer<ObjectChanges>(ObjectKind, uint64_t aRevision, Duration aWait)> watch;
  /// VMs that registered themselves; may be out of date.
  std::function<StoreAnswer<std::vector<Vm>>()> listVms;
  std::function<StoreAnswer<bool>(Vm)> registerVm;
  std::function<StoreAnswer<bool>(VmId)> removeVm;
};

} // namespace dfm

#endif
