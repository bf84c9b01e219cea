#ifndef DRAGONFLYMOOR_UNITTESTS_NET_INPROCESS_CRITERION_H
#define DRAGONFLYMOOR_UNITTESTS_NET_INPROCESS_CRITERION_H

/// Runs the same tests one after the other in one process. Criterion starts a process for each test
/// from a memory area that thread sanitizer does not allow, so that its runner aborts there.

#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace dfm::inprocess {

struct Parameters
{
  void* items;
  size_t itemBytes;
  size_t count;
};

inline std::vector<std::pair<std::string, std::function<void()>>>&
Tests()
{
  static std::vector<std::pair<std::string, std::function<void()>>> tests;
  return tests;
}

inline bool
Register(std::string aName, std::function<void()> aTest)
{
  Tests().emplace_back(std::move(aName), std::move(aTest));
  return true;
}

template<typename T>
bool
RegisterEach(const std::string& aName, Parameters (*aParameters)(), void (*aTest)(T*))
{
  const Parameters parameters = aParameters();
  for (size_t i = 0; i < parameters.count; ++i)
    Register(aName, [=] { aTest(static_cast<T*>(parameters.items) + i); });
  return true;
}

} // namespace dfm::inprocess

#define Test(Suite, Name)                                                                          \
  static void Suite##Name##Test();                                                                 \
  static const bool Suite##Name##Known =                                                           \
    dfm::inprocess::Register(#Suite "::" #Name, &Suite##Name##Test);                               \
  static void Suite##Name##Test()

#define ParameterizedTestParameters(Suite, Name)                                                   \
  static dfm::inprocess::Parameters Suite##Name##Parameters()

#define ParameterizedTest(Parameter, Suite, Name)                                                  \
  static void Suite##Name##Test(Parameter);                                                        \
  static const bool Suite##Name##Known =                                                           \
    dfm::inprocess::RegisterEach(#Suite "::" #Name, &Suite##Name##Parameters, &Suite##Name##Test); \
  static void Suite##Name##Test(Parameter)

#define cr_make_param_array(Type, Items, Count)                                                    \
  (dfm::inprocess::Parameters{ Items, sizeof(Type), Count })

#define cr_assert(Condition, ...)                                                                  \
  do {                                                                                             \
    if (!(Condition)) {                                                                            \
      std::fprintf(stderr, "%s:%d: assertion failed: %s\n", __FILE__, __LINE__, #Condition);       \
      std::abort();                                                                                \
    }                                                                                              \
  } while (false)

#endif
