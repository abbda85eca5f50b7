#pragma once

#include "fighold/core/id.hpp"
#include "fighold/core/time.hpp"
#include "fighold/routes/route_table.hpp"

#include <map>
#include <optional>

/// Splits the requests of a service at one entry between regions. The split changes in small steps;
/// a sudden shift of load would overload caches and links.
namespace fighold::routes {

/// Time between two adjustments of a split.
constexpr Millis kSplitAdjustInterval{ 500 };

/// Share of the requests that one adjustment moves: 10% within two seconds. Deployments allow a
/// shift of 15% in that time; the remaining third is left for random variation.
constexpr double kSplitStep = 0.025;

/// Relative cost difference above which requests are moved. Without it, noise in the costs would
/// move them back and forth.
constexpr double kSplitHysteresis = 0.1;

/// Traffic that a region can handle once its servers have their objects cached, as a multiple of
/// the traffic that corresponds to its share of all slots.
constexpr double kLocalTrafficFactor = 1.0;

/// Weight of the newest cost in the moving average of a region's cost: about the last two seconds
/// count.
constexpr double kCostEwmaWeight = 0.3;

/// Split of a service's requests between regions.
struct RegionSplit
{
  std::map<RegionId, double> mWeights; ///< sum 1, or empty before the first server was known
  std::map<RegionId, double> mSmoothedCostsMs; ///< moving averages
  WeightedRoundRobin mRoundRobin;
  Instant mNextAdjustment{};

  friend bool operator==(const RegionSplit&, const RegionSplit&) = default;
};

/// Initial split. It assumes that every region receives the same traffic, and that objects which
/// stay in their region are soon cached there. The local region serves as much of its own traffic
/// as its slots allow, and the other regions share the rest in proportion to their slots.
/// @param aSlots slots by region
/// @param aLocalRegion region of the entry
std::map<RegionId, double>
InitialWeights(const std::map<RegionId, double>& aSlots, const RegionId& aLocalRegion);

/// Moves a split one step towards the region where requests are expected to complete first.
/// @param aSplit split, changed in place when an adjustment is due
/// @param aCosts expected time of a request by region, including the round trip; only regions with
/// usable servers
void
AdjustSplit(RegionSplit& aSplit, const std::map<RegionId, Duration>& aCosts, Instant aNow);

/// Chooses the region of the next request. Requests for one object go to the same region, and an
/// adjustment of the split moves few objects; other requests are distributed round robin.
/// @param aSplit split, changed in place
/// @param aUsable regions that may run the request
/// @param aLocalRegion region of the entry
/// @param aObjectKey key of the request's object; 0: none
/// @return region, or nothing if no region is usable
std::optional<RegionId>
NextRegion(RegionSplit& aSplit,
           const std::set<RegionId>& aUsable,
           const RegionId& aLocalRegion,
           std::uint64_t aObjectKey);

} // namespace fighold::routes
