#include "criterion/criterion.h"

int
main()
{
  const auto& tests = dfm::inprocess::Tests();
  for (const auto& [name, test] : tests)
    test();
  std::printf("%zu passed, 0 failed\n", tests.size());
  return tests.empty() ? EXIT_FAILURE : EXIT_SUCCESS;
}
