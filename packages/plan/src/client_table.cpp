#include "fighold/plan/client_table.hpp"

#include <algorithm>
#include <map>
#include <stdexcept>

namespace fighold::plan {
namespace {

constexpr unsigned kSlotBits = 16;
constexpr std::uint64_t kSlotSize = std::uint64_t{ 1 } << kSlotBits;
constexpr std::uint64_t kAddresses = std::uint64_t{ 1 } << 32U;

/// A block that contains the addresses at which the sweep stands.
struct Open
{
  std::uint64_t mEnd = 0; ///< first address after the block
  const ClientBlock* mBlock = nullptr;
  std::uint8_t mOwner = 0;
};

/// Sweep over the sorted blocks: a block begins a range, and its end gives the addresses that
/// follow back to the block around it.
struct Sweep
{
  ClientTable mTable;
  std::map<RegionId, std::uint8_t> mOwners;
  std::vector<Open> mOpen;
  std::uint64_t mNext = 0; ///< addresses below have their ranges
  std::uint8_t mOwner = 0; ///< owner from mNext on

  std::uint8_t OwnerOf(const RegionId& aRegion)
  {
    const auto [it, added] =
      mOwners.emplace(aRegion, static_cast<std::uint8_t>(mTable.mRegions.size()));
    if (added) {
      if (mTable.mRegions.size() > kMaxClientRegions) {
        throw std::length_error("too many regions with client blocks");
      }
      mTable.mRegions.emplace_back(aRegion);
    }
    return it->second;
  }

  void AddRange(std::uint64_t aStart)
  {
    if (aStart % kSlotSize == 0) {
      mTable.mFirst.push_back(static_cast<std::uint32_t>(mTable.mStarts.size()));
    } else if (mTable.mOwners.back() == mOwner) {
      return;
    }
    mTable.mStarts.push_back(static_cast<std::uint16_t>(aStart % kSlotSize));
    mTable.mOwners.push_back(mOwner);
  }

  /// Writes the ranges up to an address, from which on another owner follows.
  void ChangeOwner(std::uint64_t aStart, std::uint8_t aOwner)
  {
    while (mNext < aStart) {
      AddRange(mNext);
      mNext = std::min(aStart, (mNext / kSlotSize + 1) * kSlotSize);
    }
    mOwner = aOwner;
  }

  void CloseUntil(std::uint64_t aAddress)
  {
    while (!mOpen.empty() && mOpen.back().mEnd <= aAddress) {
      const std::uint64_t end = mOpen.back().mEnd;
      mOpen.pop_back();
      ChangeOwner(end, mOpen.empty() ? 0 : mOpen.back().mOwner);
    }
  }

  void Add(const ClientBlock& aBlock)
  {
    CloseUntil(aBlock.mAddress);
    const bool twice = !mOpen.empty() && mOpen.back().mBlock->mAddress == aBlock.mAddress &&
                       mOpen.back().mBlock->mPrefix == aBlock.mPrefix;
    if (!twice) {
      const std::uint64_t size = kAddresses >> aBlock.mPrefix;
      mOpen.push_back({ aBlock.mAddress + size, &aBlock, OwnerOf(aBlock.mRegion) });
      ChangeOwner(aBlock.mAddress, mOpen.back().mOwner);
    }
  }
};

} // namespace

ClientTable
BuildClientTable(const Plan& aPlan)
{
  Sweep sweep;
  sweep.mTable.mRegions.emplace_back(std::nullopt);
  for (const ClientBlock& it : aPlan.mClientBlocks) {
    sweep.Add(it);
  }
  sweep.CloseUntil(kAddresses);
  sweep.ChangeOwner(kAddresses, 0);
  sweep.mTable.mFirst.push_back(static_cast<std::uint32_t>(sweep.mTable.mStarts.size()));
  sweep.mTable.mStarts.shrink_to_fit();
  sweep.mTable.mOwners.shrink_to_fit();
  return std::move(sweep.mTable);
}

std::optional<RegionId>
RegionOfClient(const ClientTable& aTable, std::uint32_t aAddress)
{
  if (aTable.mFirst.empty()) {
    return std::nullopt;
  }
  const std::size_t slot = aAddress >> kSlotBits;
  const auto begin = aTable.mStarts.begin();
  const auto after = std::upper_bound(begin + aTable.mFirst[slot],
                                      begin + aTable.mFirst[slot + 1],
                                      static_cast<std::uint16_t>(aAddress % kSlotSize));
  return aTable.mRegions[aTable.mOwners[static_cast<std::size_t>(after - begin) - 1]];
}

} // namespace fighold::plan
