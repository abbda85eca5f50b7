#pragma once

#include "fighold/core/id.hpp"
#include "fighold/core/time.hpp"
#include "fighold/routes/route_table.hpp"

#include <map>
#include <optional>

/// How an entry divides the requests of a service between regions. The division moves in small
/// steps, so that no cache and no link sees a sudden shift.
namespace fighold::routes {

/// Time between two steps of a division.
constexpr Millis kSplitAdjustInterval{ 500 };

/// Part of the requests that one step moves: 10 in 100 within two seconds, which leaves a third of
/// the shift that the deployments allow in that time to chance.
constexpr double kSplitStep = 0.025;

/// Part by which a region must be costlier before requests are moved away, so that noise in the
/// costs moves nothing back and forth.
constexpr double kSplitHysteresis = 0.1;

/// Traffic that a region bears, as a multiple of its part of all slots, once its servers know their
/// objects.
constexpr double kLocalTrafficFactor = 1.0;

/// Weight of the newest cost of a region in the smoothed one: two seconds count.
constexpr double kCostEwmaWeight = 0.3;

/// Parts of a service's requests by region.
struct RegionSplit
{
  std::map<RegionId, double> mWeights; ///< sum 1, or empty before the first server was known
  std::map<RegionId, double> mSmoothedCostsMs; ///< smoothed
  WeightedRoundRobin mRoundRobin;
  Instant mNextAdjustment{};

  friend bool operator==(const RegionSplit&, const RegionSplit&) = default;
};

/// First division: the own region gets somewhat more than its part of all slots would bear if every
/// region had the same traffic, since objects that stay are known soon. The others get the rest by
/// their slots.
/// @param aSlots slots by region
/// @param aLocalRegion region of the entry
std::map<RegionId, double>
InitialWeights(const std::map<RegionId, double>& aSlots, const RegionId& aLocalRegion);

/// Moves a division one step towards the region where requests are expected to end first.
/// @param aSplit division, changed in place when a step is due
/// @param aCosts expected time of a request by region, the time on the way included; only regions
/// that have usable servers
void
AdjustSplit(RegionSplit& aSplit, const std::map<RegionId, Duration>& aCosts, Instant aNow);

/// Chooses the region of the next request. Requests for one object go to one region, and a step of
/// the division moves few objects; other requests take turns.
/// @param aSplit division, changed in place
/// @param aUsable regions that may run the request
/// @param aLocalRegion region of the entry
/// @param aObjectKey object of the request; 0: none
/// @return region, or nothing when none may
std::optional<RegionId>
NextRegion(RegionSplit& aSplit,
           const std::set<RegionId>& aUsable,
           const RegionId& aLocalRegion,
           std::uint64_t aObjectKey);

} // namespace fighold::routes
