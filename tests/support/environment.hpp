#pragma once

#include <cstdint>
#include <cstdlib>

/// Settings of longer runs by hand.
namespace fighold::testing {

/// @return number in an environment variable such as FIGHOLD_SEED, or aDefault if it is not set
inline std::uint64_t
FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* const text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

} // namespace fighold::testing
