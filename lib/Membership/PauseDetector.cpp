#include "dragonflymoor/Membership/PauseDetector.h"

namespace dfm {

bool
PauseDetector::OnTick(TimePoint aNow)
{
  const bool paused = lastTickAt_ && aNow - *lastTickAt_ > options_.maxTickInterval;
  lastTickAt_ = aNow;
  if (paused)
    resumedAt_ = aNow;
  else if (resumedAt_ && aNow - *resumedAt_ >= options_.maxAckWait)
    resumedAt_.reset();
  return paused;
}

void
PauseDetector::OnAck(TimePoint aProbeSentAt)
{
  if (resumedAt_ && aProbeSentAt >= *resumedAt_)
    resumedAt_.reset();
}

bool
PauseDetector::MayDispatch(TimePoint aNow) const
{
  return lastTickAt_ && aNow - *lastTickAt_ <= options_.maxTickInterval && !resumedAt_;
}

} // namespace dfm
