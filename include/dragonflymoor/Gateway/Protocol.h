#ifndef DRAGONFLYMOOR_GATEWAY_PROTOCOL_H
#define DRAGONFLYMOOR_GATEWAY_PROTOCOL_H

#include "dragonflymoor/Net/Asio.h"
#include "dragonflymoor/Steering/Directory.h"
#include "dragonflymoor/Steering/FleetKeeper.h"
#include "dragonflymoor/Steering/InstanceStatement.h"
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

/// The proof of identity that a caller sent. The key must not appear in logs, in metrics or in what
/// instances and other VMs get.
struct CallerCredential
{
  enum class Kind
  {
    None,
    Key,
    Malformed, ///< Sent more than once, of another scheme, or without a key.
  };
  Kind kind = Kind::None;
  std::string key; ///< Empty unless the kind is Key.

  auto operator<=>(const CallerCredential&) const = default;
};

/// The headers of a caller's request that the gateway evaluates.
struct CallerHeaders
{
  std::string requestId; ///< Empty when the header is missing.
  std::optional<std::string> affinityKey;
  std::optional<Duration> timeout; ///< How long the caller waits for the answer.
  CallerCredential credential;

  auto operator<=>(const CallerHeaders&) const = default;
};

/// The headers of an instance's answer that the gateway evaluates.
struct AnswerHeaders
{
  std::string requestId;        ///< Of the answered request; empty when the header is missing.
  bool notExecuted = false;     ///< The instance states that it did not run the request.
  bool wrongInstance = false;   ///< The address belongs to an instance other than the expected one.
  bool hasReceipt = false;      ///< Carries the receipt that only an instance adds.
  std::string instanceId;       ///< Set in answers to health checks.
  Duration remainingColdTime{}; ///< Set in answers to health checks.
  InstanceStatement statement;

  auto operator<=>(const AnswerHeaders&) const = default;
};

/// Encoding of the HTTP messages of callers, instances and the directory. The platform's adapter
/// provides the functions. All of them are safe to call from any thread.
struct Protocol
{
  /// Parses the headers of a caller's request.
  std::function<CallerHeaders(const http::fields&)> readCallerHeaders;
  /// Sets the headers of an attempt's request to the instance aExpected. aTimeLeft is the time
  /// until the attempt's deadline.
  std::function<void(http::fields&, const BackendId& aExpected, Duration aTimeLeft)>
    writeAttemptHeaders;
  /// Replaces what the caller sent about its identity by the name of aWorkspace, or by nothing when
  /// it is null.
  std::function<void(http::fields&, const WorkspaceId* aWorkspace)> writeIdentity;
  /// Removes the name of a workspace that the caller sent. Used where callers need no key; other
  /// credentials are between them and the instances then.
  std::function<void(http::fields&)> removeWorkspace;
  /// Parses the status and headers of an instance's answer.
  std::function<AnswerHeaders(unsigned aStatus, const http::fields&)> readAnswerHeaders;
  /// Parses the target of a directory request. Empty when the target is not a directory query.
  std::function<std::optional<DirectoryQuery>(std::string_view aTarget)> parseDirectoryQuery;
  /// Formats the body of a directory answer. Callers may cache the addresses for aTtl.
  std::function<std::string(const std::vector<Endpoint>&, Duration aTtl)> formatDirectoryAnswer;
  std::string keyScheme;       ///< Authentication scheme that callers without a key are told.
  std::string readinessTarget; ///< Path of the readiness check.
};

/// Why a call to the store failed.
struct StoreError
{
  enum class Kind
  {
    HistoryGone, ///< The store no longer keeps the changes since the given revision.
    Unavailable, ///< No usable answer, or the store reports that it did nothing.
    Interrupted, ///< The store closed the connection before it answered, as it may do to a watch.
    Rejected,    ///< The store refused the call as invalid.
  };
  Kind kind = Kind::Unavailable;
  std::string message;
  std::optional<uint64_t> epoch; ///< Of the store; empty when it gave none that can be read.

  auto operator<=>(const StoreError&) const = default;
};

template<typename T>
using StoreAnswer = asio::awaitable<tl::expected<T, StoreError>>;

/// The registered VMs and the epoch of the store that lists them.
struct RegisteredVms
{
  uint64_t epoch = 0;
  std::vector<Vm> vms;
};

/// Calls to the platform's store. All functions must be called on the thread that runs the store
/// client's context.
struct StoreApi
{
  /// Reads all objects of a kind.
  std::function<StoreAnswer<ObjectSet>(ObjectKind)> list;
  /// Waits at most aWait for changes after aSince. After a return of the store the changes are of a
  /// later epoch than aSince, and may be incomplete.
  std::function<StoreAnswer<ObjectChanges>(ObjectKind, const StoreRevision& aSince, Duration aWait)>
    watch;
  /// Reads the registered VMs; the result may be out of date.
  std::function<StoreAnswer<RegisteredVms>()> listVms;
  /// Creates or replaces the registration of a VM. Returns the epoch in which the store did so.
  std::function<StoreAnswer<uint64_t>(Vm)> registerVm;
  /// Removes the registration of a VM. Returns the epoch in which the store did so.
  std::function<StoreAnswer<uint64_t>(VmId)> removeVm;
};

} // namespace dfm

#endif
