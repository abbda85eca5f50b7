#include "fighold/routing/limit.hpp"

#include <algorithm>

namespace fighold::routing {
namespace {

constexpr std::uint64_t kBytesPerMegabit = 125'000;

__extension__ using Uint128 = unsigned __int128;

} // namespace

Limit
DivideLimit(std::uint64_t aUnits, std::uint32_t aEntries)
{
  const std::uint64_t base = aUnits / 2 / aEntries;
  return { aUnits, base, aUnits - base * aEntries };
}

Limits
LimitsOf(const plan::Plan& aPlan, std::size_t aRegistered)
{
  const std::uint32_t entries =
    std::max({ aPlan.mMaxEntries, static_cast<std::uint32_t>(aRegistered), 1U });
  Limits limits;
  for (const auto& [region, capacity] : aPlan.mRegions) {
    limits[{ LimitKind::Region, region, {}, {} }] = DivideLimit(capacity, entries);
    for (const auto& [id, service] : aPlan.mServices) {
      const auto share = service.mRegionShares.find(region);
      const plan::BasisPoints part =
        share == service.mRegionShares.end() ? plan::kWhole : share->second;
      limits[{ LimitKind::Service, region, {}, id }] =
        DivideLimit(std::uint64_t{ capacity } * part / plan::kWhole, entries);
    }
  }
  for (const auto& [link, megabits] : aPlan.mLinks) {
    const std::uint64_t bytes = megabits * kBytesPerMegabit * (100 - kControlTrafficPercent) / 100;
    limits[{ LimitKind::Link, link.mTo, link.mFrom, {} }] = DivideLimit(bytes, entries);
  }
  return limits;
}

std::uint64_t
Proportion(std::uint64_t aUnits, std::uint64_t aPart, std::uint64_t aWhole)
{
  return static_cast<std::uint64_t>(Uint128{ aUnits } * aPart / aWhole);
}

Duration
LongestDeadline(const plan::Plan& aPlan)
{
  Duration longest{ 0 };
  for (const auto& [id, service] : aPlan.mServices) {
    longest = std::max<Duration>(longest, service.mDeadline);
  }
  return longest;
}

} // namespace fighold::routing
