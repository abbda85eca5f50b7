#pragma once

#include "fighold/core/decision_record.hpp"
#include "fighold/core/time.hpp"
#include "fighold/membership/change.hpp"
#include "fighold/routing/table.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// Moves the split in use towards the plan's split in bounded steps.
namespace fighold::routing {

/// Time after which the effect of a step is visible in the reports of backend servers: one renewal
/// interval of a backend server, one of an entry, and the lease of a configuration.
constexpr Millis kReportLag{ 5000 };

/// The last step of a service.
struct LastStep
{
  Instant mNotBefore{};                             ///< earliest time of the next step
  Instant mAppliedAt{};                             ///< time at which the step was applied
  std::map<RegionId, std::uint64_t> mAddedInFlight; ///< maximum number of requests it adds

  friend auto operator<=>(const LastStep&, const LastStep&) = default;
};

using LastSteps = std::map<ServiceId, LastStep>;

/// Live groups and load of the regions at one time.
struct RegionView
{
  std::set<GroupKey> mLiveGroups;              ///< groups with a live backend server
  std::map<GroupKey, std::uint64_t> mInFlight; ///< as reported by backend servers

  friend auto operator<=>(const RegionView&, const RegionView&) = default;
};

/// A step to propose.
struct ShiftStep
{
  membership::TakeShiftStep mChange;
  std::map<RegionId, std::uint64_t> mAddedInFlight;
  DecisionRecord mRecord;

  friend bool operator==(const ShiftStep&, const ShiftStep&) = default;
};

/// @return maximum number of requests of the service in flight in the region according to the plan
std::uint64_t
ServiceCapacity(const plan::Plan& aPlan, const ServiceId& aService, const RegionId& aRegion);

/// @return true if the region may receive work of the service: it is in the plan, not drained, and
/// has a live backend server
bool
MayServe(const membership::Configuration& aConfiguration,
         const std::set<GroupKey>& aLiveGroups,
         const GroupKey& aGroup);

/// Computes the row that the steps of an origin move towards. It is the plan's row, with the
/// parts of regions that may not serve distributed among the other regions in proportion to
/// their service capacity.
/// @return the row, or the row in use if no region may serve
plan::SplitRow
TargetRow(const membership::Configuration& aConfiguration,
          const std::set<GroupKey>& aLiveGroups,
          const ServiceId& aService,
          const RegionId& aOrigin);

/// @return services of the plan in the order in which they receive spare capacity, urgent ones
/// first
std::vector<ServiceId>
ServicesByClass(const plan::Plan& aPlan);

/// Decides the next step of a service.
///
/// A step moves at most the plan's cap of each origin's traffic, and no more to a region than its
/// headroom: the capacity of the region and of the service there, less the reported requests and
/// less the requests that recent steps add. An origin's traffic is assumed to be the service
/// capacity of its own region, which is the maximum that the plan provides for.
/// @return the step, or nothing if the interval has not passed or nothing may move
std::optional<ShiftStep>
NextShiftStep(const membership::Configuration& aConfiguration,
              const ServiceId& aService,
              const RegionView& aRegions,
              const LastSteps& aLastSteps,
              Instant aNow);

} // namespace fighold::routing
