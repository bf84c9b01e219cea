#ifndef DRAGONFLYMOOR_NET_CONTROL_H
#define DRAGONFLYMOOR_NET_CONTROL_H

#include "dragonflymoor/Engine/Engine.h"
#include "dragonflymoor/Metrics/Metrics.h"
#include "dragonflymoor/Net/DatagramSocket.h"
#include "dragonflymoor/Net/TrafficThread.h"
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace dfm {

/// Answers of finished orders that a later copy of the same order may ask for. Bounded in bytes:
/// the oldest answers go first, and their copies learn only the outcome. Not thread-safe.
class KeptAnswers
{
public:
  explicit KeptAnswers(uint64_t aMaxBytes)
    : maxBytes_(aMaxBytes)
  {
  }

  void Keep(RequestId aId, AnswerPointer aAnswer);
  void Forget(RequestId aId);
  /// Null when the answer is not kept.
  AnswerPointer Find(RequestId aId) const;

private:
  uint64_t maxBytes_;
  uint64_t bytes_ = 0;
  std::unordered_map<RequestId, AnswerPointer> answers_;
  std::deque<RequestId> order_; ///< Oldest first; forgotten ones are skipped.
};

struct ControlOptions
{
  EngineOptions engine;
  std::string requestIdPrefix;
  uint64_t keptAnswerBytes = 0;
};

/// Connects the engine with the traffic threads: carries out its actions and passes it events. All
/// methods must run on the control thread, unless they say otherwise.
class Control
{
public:
  using Threads = std::vector<std::unique_ptr<TrafficThread>>;

  /// aStopped is called when a graceful stop has ended.
  Control(asio::io_context& aContext,
          ControlOptions aOptions,
          SharedState aShared,
          Metrics& aMetrics,
          std::function<void()> aStopped);
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  /// Hooks for the traffic thread with this index; they pass everything to the control thread.
  /// Safe to call from any thread.
  TrafficHooks HooksFor(size_t aThread);

  /// Binds the UDP socket. Must be called before Start.
  error_code OpenDatagrams(const Endpoint& aListen) { return datagrams_.Open(aListen); }

  /// Starts the engine. aThreads must outlive this object's use.
  void Start(const Threads& aThreads);

  void BeginStop();
  EngineStatus Status() const { return engine_->Status(); }

  /// Safe to call from any thread.
  bool Ready() const { return ready_.load(); }
  bool Stopping() const { return stopping_.load(); }
  /// Time of the last tick. Safe to call from any thread.
  TimePoint LastTick() const { return TimePoint(Duration(lastTick_.load())); }
  uint32_t RequestsInFlight() const { return inFlight_.load(); }

private:
  /// A request that has no reply yet.
  struct Request
  {
    RequestPointer content;
    size_t thread = 0; ///< Where its connection and its attempts are.
    bool order = false;
    TimePoint deadline;
    std::function<void(FinalAnswer)> finish; ///< Empty when the caller is gone.
    std::map<AttemptId, AnswerPointer> attemptAnswers;
    AnswerPointer forwardAnswer;
    std::optional<std::pair<PeerConnectionId, RequestId>> peer;
  };

  struct RunningAttempt
  {
    RequestId request;
    size_t thread = 0;
  };

  EngineHooks MakeHooks();
  void Tick();

  // Events.
  void OnCallerRequest(size_t aThread, const std::shared_ptr<CallerExchange>& aExchange);
  void OnPeerRequest(size_t aThread, const std::shared_ptr<PeerExchange>& aExchange);
  void OnCallerGone(RequestId aId);
  void OnPeerCancelled(PeerConnectionId aConnection, RequestId aSenderId);
  void OnPeerClosed(PeerConnectionId aConnection);
  void OnAttemptEnded(AttemptId aId, const AttemptOutcome& aOutcome);
  void OnForwardReply(RequestId aId, const ForwardReply& aReply, AnswerPointer aAnswer);
  void OnForwardFailed(RequestId aId, bool aSent);

  // Actions of the engine.
  void StartAttempt(AttemptId aId,
                    RequestId aRequest,
                    const BackendServer& aServer,
                    TimePoint aDeadline);
  void CancelAttempt(AttemptId aId);
  void Forward(RequestId aId, const RequestHead& aHead, const Vm& aTo);
  void Reply(RequestId aId, const dfm::Reply& aReply);
  void PublishRoutes(const RouteTable& aTable);

  void Cancel(RequestId aId);
  void DropGoneOrders(TimePoint aNow);
  size_t ThreadFor(const Vm& aVm) const;
  AnswerPointer AnswerFor(const Request& aRequest, const dfm::Reply& aReply) const;

  asio::io_context& context_;
  ControlOptions options_;
  SharedState shared_;
  Metrics& metrics_;
  std::function<void()> stopped_;
  const Threads* threads_ = nullptr;
  asio::steady_timer timer_;
  DatagramSocket datagrams_;
  std::unique_ptr<Engine> engine_;
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<AttemptId, RunningAttempt> attempts_;
  std::map<std::pair<PeerConnectionId, RequestId>, RequestId> peerRequests_;
  /// Orders whose caller is gone. Their content stays for a while, because the engine may still run
  /// them for another copy.
  std::multimap<TimePoint, RequestId> goneOrders_; ///< By the end of this time.
  KeptAnswers kept_;
  std::atomic<bool> ready_{ false };
  std::atomic<bool> stopping_{ false };
  std::atomic<int64_t> lastTick_{ 0 };
  std::atomic<uint32_t> inFlight_{ 0 };
};

} // namespace dfm

#endif
