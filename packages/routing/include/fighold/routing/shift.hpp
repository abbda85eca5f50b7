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

/// Shift steps: how the split in use moves towards the plan's split.
namespace fighold::routing {

/// Time within which a step shows in the reports of backend servers: a renewal of a backend server,
/// a renewal of an entry, and the lease of a configuration.
constexpr Millis kReportLag{ 5000 };

/// The last step of a service.
struct LastStep
{
  Instant mNotBefore{};                             ///< earliest time of the next step
  Instant mAppliedAt{};                             ///< when the step was applied
  std::map<RegionId, std::uint64_t> mAddedInFlight; ///< most requests in flight that the step adds

  friend auto operator<=>(const LastStep&, const LastStep&) = default;
};

using LastSteps = std::map<ServiceId, LastStep>;

/// What is known of the regions at one moment.
struct RegionView
{
  std::set<GroupKey> mLiveGroups;              ///< groups with a living backend server
  std::map<GroupKey, std::uint64_t> mInFlight; ///< requests in flight that backend servers report

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

/// @return greatest number of requests of the service in flight in the region by the plan
std::uint64_t
ServiceCapacity(const plan::Plan& aPlan, const ServiceId& aService, const RegionId& aRegion);

/// @return true when the region may receive work of the service: it is in the plan, not drained,
/// and has a living backend server
bool
MayServe(const membership::Configuration& aConfiguration,
         const std::set<GroupKey>& aLiveGroups,
         const GroupKey& aGroup);

/// @return the plan's row of the origin without regions that may not serve; their parts are spread
/// over the other regions in proportion to their allowance. Without any region that may serve: the
/// row in use.
plan::SplitRow
TargetRow(const membership::Configuration& aConfiguration,
          const std::set<GroupKey>& aLiveGroups,
          const ServiceId& aService,
          const RegionId& aOrigin);

/// @return services of the plan in the order in which they receive spare capacity: urgent first
std::vector<ServiceId>
ServicesByClass(const plan::Plan& aPlan);

/// Decides the next step of a service.
///
/// The step moves at most the plan's cap of each origin's traffic, and towards each region at most
/// what fits into its headroom: capacity and allowance, less the reported requests and less what
/// recent steps add. An origin's traffic is taken to be the allowance of its own region, the most
/// that the plan foresees.
/// @return the step, or nothing when the interval has not passed or nothing may move
std::optional<ShiftStep>
NextShiftStep(const membership::Configuration& aConfiguration,
              const ServiceId& aService,
              const RegionView& aRegions,
              const LastSteps& aLastSteps,
              Instant aNow);

} // namespace fighold::routing
