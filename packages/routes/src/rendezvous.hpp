#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace fighold::routes::detail {

/// Rendezvous hash: the ranking of names for a seed changes only where a name is added or removed.
inline std::uint64_t
Hash(const std::string& aName, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aName.data(), aName.size(), aSeed);
}

} // namespace fighold::routes::detail
