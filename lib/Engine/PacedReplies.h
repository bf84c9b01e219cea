#ifndef DRAGONFLYMOOR_LIB_ENGINE_PACEDREPLIES_H
#define DRAGONFLYMOOR_LIB_ENGINE_PACEDREPLIES_H

#include "dragonflymoor/Links/LinkBudget.h"
#include "dragonflymoor/Model/Request.h"
#include <functional>
#include <optional>
#include <vector>

namespace dfm {

/// A complete answer that may not be sent yet.
struct PacedReply
{
  RequestId id;
  Reply reply;
  std::optional<RegionId> to; ///< Empty when it only waits for the answer that it repeats.
  Rank rank = Rank::Normal;
  TimePoint expires;
  uint64_t bytesLeft = 0;
  bool reserved = false; ///< Its bytes were reserved before the request was dispatched.
};

/// Answers that wait for the budget of a link, in order of arrival. Not thread-safe.
class PacedReplies
{
public:
  /// Precondition: aLinks outlives this object.
  PacedReplies(LinkBudget& aLinks, std::function<void(RequestId, const Reply&)> aReply);

  /// Whether a reply repeats an answer that still waits here: an answer can be repeated only after
  /// the shell got it under its own number.
  bool MustWait(const Reply& aReply) const { return WaitsFor(aReply, replies_); }
  void Add(PacedReply aReply) { replies_.push_back(std::move(aReply)); }
  /// Sends what the budget allows. An answer that could not be sent in time is withheld.
  void Send(TimePoint aNow);
  size_t Size() const { return replies_.size(); }

private:
  static bool WaitsFor(const Reply& aReply, const std::vector<PacedReply>& aOthers);
  bool TakeBytes(TimePoint aNow, PacedReply& aReply);

  LinkBudget& links_;
  std::function<void(RequestId, const Reply&)> reply_;
  std::vector<PacedReply> replies_;
};

} // namespace dfm

#endif
