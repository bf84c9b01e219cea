#include "dragonflymoor/Steering/ObjectCounter.h"

#include "dragonflymoor/Support/Random.h"
#include <criterion/criterion.h>
#include <criterion/new/assert.h>

namespace {

using namespace dfm;

/// Guards against inaccurate estimates, which make overloaded regions spread their objects over too
/// many or too few instances.
Test(ObjectCounter, EstimatesFromASample)
{
  for (const uint64_t objects : { 40, 130, 300, 1000 }) {
    Random random(20261204);
    ObjectCounter counter;
    cr_assert(counter.EstimatedCount() == 0);
    for (int i = 0; i < 400; ++i)
      counter.OnRequest(random.Below(objects));
    const double ratio = counter.EstimatedCount() / static_cast<double>(objects);
    cr_assert(ratio > 0.7 && ratio < 1.4);
  }
}

/// Guards against unbounded memory use or a search that fails when every key is new, as for
/// requests without an object.
Test(ObjectCounter, HandlesKeysThatNeverRepeat)
{
  ObjectCounter counter;
  for (uint64_t key = 0; key < 20'000; ++key)
    counter.OnRequest(key);
  cr_assert(counter.EstimatedCount() > 3000);
}

} // namespace
