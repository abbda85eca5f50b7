#pragma once

#include "fighold/plan/plan.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

/// Client blocks as a sorted table of address ranges, for look-ups.
namespace fighold::plan {

/// Disjoint ranges that cover all addresses. Immutable; built once for each plan.
///
/// Each value of the upper 16 bits has ranges of its own. A range takes 3 bytes, so that 3.4
/// million blocks stay within the memory of an entry.
struct ClientTable
{
  std::vector<std::uint32_t> mFirst;  ///< by the upper 16 bits: first range; one more at the end
  std::vector<std::uint16_t> mStarts; ///< lower 16 bits of the first address of each range
  std::vector<std::uint8_t> mOwners;  ///< index into mRegions for each range
  std::vector<std::optional<RegionId>> mRegions;

  friend auto operator<=>(const ClientTable&, const ClientTable&) = default;
};

/// Greatest number of regions with client blocks.
constexpr std::size_t kMaxClientRegions = 255;

/// @param aPlan plan with sorted client blocks
/// @throws std::length_error for more than kMaxClientRegions regions, which no sheet passes
/// @return table in which each address belongs to the region of its longest matching block
ClientTable
BuildClientTable(const Plan& aPlan);

/// @param aTable table; one that was not built belongs to nobody
/// @param aAddress IPv4 address in host order
/// @return region of the longest matching block, or nothing
std::optional<RegionId>
RegionOfClient(const ClientTable& aTable, std::uint32_t aAddress);

} // namespace fighold::plan
