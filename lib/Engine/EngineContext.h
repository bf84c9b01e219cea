#ifndef DRAGONFLYMOOR_LIB_ENGINE_ENGINECONTEXT_H
#define DRAGONFLYMOOR_LIB_ENGINE_ENGINECONTEXT_H

#include "dragonflymoor/Engine/Engine.h"
#include "dragonflymoor/Support/Random.h"
#include <utility>

namespace dfm {

/// What all parts of one engine share. Not thread-safe.
class EngineContext
{
public:
  EngineContext(EngineOptions aOptions, EngineHooks aHooks)
    : options(std::move(aOptions))
    , hooks(std::move(aHooks))
    , random(options.randomSeed)
  {
  }

  /// Starts a store call under a new number, which it returns.
  StoreCallId CallStore(StoreCall aCall)
  {
    aCall.id = StoreCallId{ ++lastStoreCall_ };
    hooks.callStore(aCall);
    return aCall.id;
  }

  const Vm& Self() const { return options.self; }
  VmInstance SelfInstance() const { return { options.self.id, options.incarnation }; }

  const EngineOptions options;
  const EngineHooks hooks;
  Random random;

private:
  uint64_t lastStoreCall_ = 0;
};

} // namespace dfm

#endif
