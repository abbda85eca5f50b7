#include "fighold/plan/plan.hpp"

#include "fighold/plan/sheet.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace fighold::plan {
namespace {

std::uint32_t
Masked(std::uint32_t aAddress, std::uint8_t aPrefix)
{
  return aPrefix == 0 ? 0 : aAddress & (~std::uint32_t{ 0 } << (32U - aPrefix));
}

} // namespace

std::string
Digest(const Plan& aPlan)
{
  const std::string text = FormatSheet(aPlan);
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::array<char, 33> buf{};
  std::snprintf(buf.data(),
                buf.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return buf.data();
}

std::optional<RegionId>
RegionOfClient(const Plan& aPlan, std::uint32_t aAddress)
{
  for (int prefix = 32; prefix >= 0; --prefix) {
    const auto bits = static_cast<std::uint8_t>(prefix);
    const auto key = std::make_pair(Masked(aAddress, bits), bits);
    const auto it =
      std::lower_bound(aPlan.mClientBlocks.begin(),
                       aPlan.mClientBlocks.end(),
                       key,
                       [](const ClientBlock& aBlock, const auto& aKey) {
                         return std::make_pair(aBlock.mAddress, aBlock.mPrefix) < aKey;
                       });
    if (it != aPlan.mClientBlocks.end() && it->mAddress == key.first && it->mPrefix == key.second) {
      return it->mRegion;
    }
  }
  return std::nullopt;
}

} // namespace fighold::plan
