#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <cstdlib>

// Runs the tests with a fixed RapidCheck seed, so that a verdict repeats; FIGHOLD_TEST_PARAMS
// overrides it.
int
main(int aArgc, char** aArgv)
{
  const char* params = std::getenv("FIGHOLD_TEST_PARAMS");
  setenv("RC_PARAMS", params != nullptr ? params : "seed=20261204", 1);
  return Catch::Session().run(aArgc, aArgv);
}
