#pragma once

#include "fighold/core/time.hpp"
#include "fighold/plan/plan.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

/// Limits of regions, services and links, and their division into a base part and a demand part.
namespace fighold::routing {

/// Parts of a hundred of a link that are set aside for control traffic.
constexpr std::uint64_t kControlTrafficPercent = 2;

/// What a limit is about.
enum class LimitKind : std::uint8_t
{
  Region,  ///< requests in flight in a region
  Service, ///< requests of a service in flight in a region
  Link,    ///< bytes per second in one direction of a link
};

/// Names one limit.
struct LimitKey
{
  LimitKind mKind = LimitKind::Region;
  RegionId mRegion;   ///< region; for a link, where the bytes go to
  RegionId mFrom;     ///< for a link, where the bytes come from
  ServiceId mService; ///< for a service

  friend auto operator<=>(const LimitKey&, const LimitKey&) = default;
};

/// A limit and its parts: mBase for each entry, and the rest for demand.
struct Limit
{
  std::uint64_t mUnits = 0;
  std::uint64_t mBase = 0;
  std::uint64_t mDemand = 0;

  friend auto operator<=>(const Limit&, const Limit&) = default;
};

using Limits = std::map<LimitKey, Limit>;

/// @param aUnits the limit
/// @param aEntries greatest number of entries, at least 1
/// @return base share of half the limit divided by aEntries, rounded down; what rounding leaves
/// over belongs to the demand part, so that the sum is the limit exactly
Limit
DivideLimit(std::uint64_t aUnits, std::uint32_t aEntries);

/// @param aPlan plan in use
/// @param aRegistered entries that are registered; where there are more than the plan's greatest
/// number, base shares are smaller
/// @return every limit of the plan
Limits
LimitsOf(const plan::Plan& aPlan, std::size_t aRegistered);

/// @return aUnits * aPart / aWhole, rounded down, without overflow
std::uint64_t
Proportion(std::uint64_t aUnits, std::uint64_t aPart, std::uint64_t aWhole);

/// @return longest deadline of any service of the plan
Duration
LongestDeadline(const plan::Plan& aPlan);

} // namespace fighold::routing
