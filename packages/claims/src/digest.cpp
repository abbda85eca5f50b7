#include "fighold/claims/digest.hpp"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace fighold::claims {

std::string
RequestDigest(std::string_view aMethod, std::string_view aTarget, std::string_view aBody)
{
  // The lengths distinguish inputs whose concatenations are equal.
  std::string text = std::to_string(aMethod.size()) + " " + std::to_string(aTarget.size()) + " ";
  text.append(aMethod).append(aTarget).append(aBody);
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::array<char, 33> out{};
  std::snprintf(out.data(),
                out.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return out.data();
}

} // namespace fighold::claims
