#include "PacedReplies.h"

#include <algorithm>
#include <utility>

namespace dfm {

PacedReplies::PacedReplies(LinkBudget& aLinks, std::function<void(RequestId, const Reply&)> aReply)
  : links_(aLinks)
  , reply_(std::move(aReply))
{
}

bool
PacedReplies::WaitsFor(const Reply& aReply, const std::vector<PacedReply>& aOthers)
{
  return aReply.source == AnswerSource::Remembered &&
         std::any_of(aOthers.begin(), aOthers.end(), [&](const PacedReply& aOther) {
           return aOther.id == aReply.remembered;
         });
}

void
PacedReplies::Send(TimePoint aNow)
{
  std::vector<PacedReply> waiting;
  for (PacedReply& paced : std::exchange(replies_, {})) {
    const bool ready = !WaitsFor(paced.reply, waiting) && TakeBytes(aNow, paced);
    if (!ready && aNow < paced.expires) {
      waiting.push_back(std::move(paced));
      continue;
    }
    // The receiver has given the request up by then; its answer is still kept for repeats.
    paced.reply.withheld = !ready;
    if (!ready && paced.to)
      links_.Release(*paced.to, paced.id);
    reply_(paced.id, paced.reply);
  }
  replies_ = std::move(waiting);
}

bool
PacedReplies::TakeBytes(TimePoint aNow, PacedReply& aReply)
{
  if (!aReply.to)
    return true;
  if (!aReply.reserved) {
    aReply.reserved = links_.TryReserve(*aReply.to, aReply.id, aReply.rank, aReply.bytesLeft, aNow);
  }
  if (!aReply.reserved)
    return false;
  aReply.bytesLeft -= links_.TakeReserved(*aReply.to, aReply.id, aReply.bytesLeft, aNow);
  if (aReply.bytesLeft > 0)
    return false;
  links_.Release(*aReply.to, aReply.id);
  return true;
}

} // namespace dfm
