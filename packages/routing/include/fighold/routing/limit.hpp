#pragma once

#include "fighold/core/time.hpp"
#include "fighold/plan/plan.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

/// Limits of regions, services and links. Each limit is divided into a base share for every entry
/// and a demand part that is granted on request.
namespace fighold::routing {

/// Percentage of a link's capacity that is set aside for control traffic.
constexpr std::uint64_t kControlTrafficPercent = 2;

/// Resource that a limit applies to.
enum class LimitKind : std::uint8_t
{
  Region,  ///< requests in flight in a region
  Service, ///< requests of a service in flight in a region
  Link,    ///< bytes per second in one direction of a link
};

/// Identifies one limit.
struct LimitKey
{
  LimitKind mKind = LimitKind::Region;
  RegionId mRegion;   ///< region; for a link, the destination of the bytes
  RegionId mFrom;     ///< for a link, the source of the bytes
  ServiceId mService; ///< service; empty for other kinds

  friend auto operator<=>(const LimitKey&, const LimitKey&) = default;
};

/// A limit and its division into base shares and a demand part.
struct Limit
{
  std::uint64_t mUnits = 0;        ///< the whole limit
  std::uint64_t mBasePerEntry = 0; ///< base share of each entry
  std::uint64_t mDemandUnits = 0;  ///< demand part

  friend auto operator<=>(const Limit&, const Limit&) = default;
};

using Limits = std::map<LimitKey, Limit>;

/// Divides half of the limit into equal base shares.
/// @param aUnits the limit
/// @param aEntries maximum number of entries, at least 1
/// @return the divided limit; base shares are rounded down and the remainder belongs to the demand
/// part, so that the parts add up to exactly aUnits
Limit
DivideLimit(std::uint64_t aUnits, std::uint32_t aEntries);

/// @param aPlan plan in force
/// @param aRegistered number of registered entries; if it exceeds the plan's maximum, base shares
/// are smaller
/// @return all limits of the plan
Limits
LimitsOf(const plan::Plan& aPlan, std::size_t aRegistered);

/// @return aUnits * aPart / aWhole, rounded down; the product does not overflow
std::uint64_t
Proportion(std::uint64_t aUnits, std::uint64_t aPart, std::uint64_t aWhole);

/// @return the longest deadline of all services of the plan
Duration
LongestDeadline(const plan::Plan& aPlan);

} // namespace fighold::routing
