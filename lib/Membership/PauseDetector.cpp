#include "dragonflymoor/Membership/PauseDetector.h"

namespace dfm {

bool
PauseDetector::OnTick(TimePoint aNow)
{
  const bool paused = lastTick_ && aNow - *lastTick_ > options_.longestStep;
  lastTick_ = aNow;
  if (paused)
    resumedAt_ = aNow;
  else if (resumedAt_ && aNow - *resumedAt_ >= options_.aloneWait)
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
  return lastTick_ && aNow - *lastTick_ <= options_.longestStep && !resumedAt_;
}

} // namespace dfm
