#include "fighold/routing/shift.hpp"

#include <algorithm>

namespace fighold::routing {
namespace {

using plan::BasisPoints;
using plan::kWhole;

/// Requests in flight multiplied by kWhole, so that fractions of a request are exact.
using ScaledRequests = std::uint64_t;

ScaledRequests
SubtractOrZero(ScaledRequests aFrom, ScaledRequests aSubtracted)
{
  return aFrom > aSubtracted ? aFrom - aSubtracted : 0;
}

/// Requests that steps within the last kReportLag add to a region; reports may not include them
/// yet.
/// @param aService service, or null for all services
std::uint64_t
RecentlyAdded(const LastSteps& aSteps,
              const RegionId& aRegion,
              const ServiceId* aService,
              Instant aNow)
{
  std::uint64_t sum = 0;
  for (const auto& [service, step] : aSteps) {
    const auto it = step.mAddedInFlight.find(aRegion);
    const bool counts = aService == nullptr || service == *aService;
    if (counts && it != step.mAddedInFlight.end() && aNow < step.mAppliedAt + kReportLag) {
      sum += it->second;
    }
  }
  return sum;
}

ScaledRequests
Headroom(const membership::Configuration& aConfiguration,
         const GroupKey& aGroup,
         const RegionView& aRegions,
         const LastSteps& aSteps,
         Instant aNow)
{
  const plan::Plan& plan = *aConfiguration.mPlan;
  const auto capacity = plan.mRegions.find(aGroup.mRegion);
  if (capacity == plan.mRegions.end()) {
    return 0;
  }
  std::uint64_t regionInFlight = RecentlyAdded(aSteps, aGroup.mRegion, nullptr, aNow);
  std::uint64_t serviceInFlight = RecentlyAdded(aSteps, aGroup.mRegion, &aGroup.mService, aNow);
  for (const auto& [key, count] : aRegions.mInFlight) {
    regionInFlight += key.mRegion == aGroup.mRegion ? count : 0;
    serviceInFlight += key == aGroup ? count : 0;
  }
  return kWhole * std::min(SubtractOrZero(capacity->second, regionInFlight),
                           SubtractOrZero(ServiceCapacity(plan, aGroup.mService, aGroup.mRegion),
                                          serviceInFlight));
}

/// @return maximum number of requests in flight that an origin's traffic causes according to the
/// plan: the service capacity of the origin, or the greatest of all regions if the origin has none
std::uint64_t
OriginDemand(const plan::Plan& aPlan, const ServiceId& aService, const RegionId& aOrigin)
{
  std::uint64_t demand = ServiceCapacity(aPlan, aService, aOrigin);
  if (demand == 0) {
    for (const auto& [region, capacity] : aPlan.mRegions) {
      demand = std::max(demand, ServiceCapacity(aPlan, aService, region));
    }
  }
  return std::max<std::uint64_t>(demand, 1);
}

BasisPoints
PartOf(const plan::SplitRow& aRow, const RegionId& aRegion)
{
  const auto it = aRow.find(aRegion);
  return it == aRow.end() ? 0 : it->second;
}

/// Distributes a part among the regions of a row in proportion to their weights. The region with
/// the greatest weight gets the rounding remainder.
void
DistributeByWeight(plan::SplitRow& aRow,
                   BasisPoints aPart,
                   const std::map<RegionId, std::uint64_t>& aWeights)
{
  std::uint64_t sum = 0;
  for (const auto& [region, weight] : aWeights) {
    sum += weight;
  }
  BasisPoints rest = aPart;
  for (const auto& [region, weight] : aWeights) {
    const auto part = static_cast<BasisPoints>(sum == 0 ? 0 : aPart * weight / sum);
    aRow[region] += part;
    rest -= part;
  }
  const auto greatest =
    std::max_element(aWeights.begin(), aWeights.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  aRow[greatest->first] += rest;
}

/// A step of one service while it is computed.
struct StepBuilder
{
  const membership::Configuration& mConfiguration;
  const RegionView& mRegions;
  ServiceId mService;
  std::map<RegionId, ScaledRequests> mHeadroom;
  std::map<RegionId, ScaledRequests> mAddedInFlight;
};

/// Takes a part away from the regions above their target, first from those that may not serve.
void
RemoveParts(const StepBuilder& aBuilder,
            plan::SplitRow& aRow,
            const plan::SplitRow& aTarget,
            BasisPoints aPart)
{
  for (const bool serving : { false, true }) {
    for (auto& [region, part] : aRow) {
      const bool mayServe = MayServe(
        aBuilder.mConfiguration, aBuilder.mRegions.mLiveGroups, { aBuilder.mService, region });
      const BasisPoints target = PartOf(aTarget, region);
      if (mayServe == serving && part > target) {
        const BasisPoints taken = std::min(aPart, part - target);
        part -= taken;
        aPart -= taken;
      }
    }
  }
}

/// Moves one origin's row towards its target.
/// @return the part that was moved
BasisPoints
MoveRow(StepBuilder& aBuilder, const RegionId& aOrigin, plan::SplitRow& aRow)
{
  const plan::Plan& plan = *aBuilder.mConfiguration.mPlan;
  const plan::SplitRow target =
    TargetRow(aBuilder.mConfiguration, aBuilder.mRegions.mLiveGroups, aBuilder.mService, aOrigin);
  const std::uint64_t demand = OriginDemand(plan, aBuilder.mService, aOrigin);
  BasisPoints left = plan.mShiftCap;
  plan::SplitRow gains;
  for (const auto& [region, part] : target) {
    const BasisPoints current = PartOf(aRow, region);
    const ScaledRequests fits = aBuilder.mHeadroom[region] / demand;
    const auto gain = static_cast<BasisPoints>(
      std::min<ScaledRequests>({ left, part > current ? part - current : 0, fits }));
    if (gain > 0) {
      gains[region] = gain;
      left -= gain;
      aBuilder.mHeadroom[region] -= gain * demand;
      aBuilder.mAddedInFlight[region] += gain * demand;
    }
  }
  const BasisPoints moved = plan.mShiftCap - left;
  RemoveParts(aBuilder, aRow, target, moved);
  for (const auto& [region, part] : gains) {
    aRow[region] += part;
  }
  std::erase_if(aRow, [](const auto& aItem) { return aItem.second == 0; });
  return moved;
}

std::string
ReasonFor(const membership::Configuration& aConfiguration,
          const RegionView& aRegions,
          const ServiceId& aService,
          const plan::SplitMatrix& aInUse)
{
  for (const auto& [origin, row] : aInUse) {
    for (const auto& [region, part] : row) {
      if (part > 0 && !MayServe(aConfiguration, aRegions.mLiveGroups, { aService, region })) {
        return "region-may-not-serve:" + region.mValue;
      }
    }
  }
  return "towards-plan-" + std::to_string(aConfiguration.mPlan->mNumber);
}

} // namespace

std::uint64_t
ServiceCapacity(const plan::Plan& aPlan, const ServiceId& aService, const RegionId& aRegion)
{
  const auto capacity = aPlan.mRegions.find(aRegion);
  const auto service = aPlan.mServices.find(aService);
  if (capacity == aPlan.mRegions.end() || service == aPlan.mServices.end()) {
    return 0;
  }
  const auto share = service->second.mRegionShares.find(aRegion);
  const BasisPoints part = share == service->second.mRegionShares.end() ? kWhole : share->second;
  return std::uint64_t{ capacity->second } * part / kWhole;
}

bool
MayServe(const membership::Configuration& aConfiguration,
         const std::set<GroupKey>& aLiveGroups,
         const GroupKey& aGroup)
{
  const plan::Plan& plan = *aConfiguration.mPlan;
  return plan.mRegions.count(aGroup.mRegion) > 0 && aLiveGroups.count(aGroup) > 0 &&
         aConfiguration.mDrains.mRegions.count(aGroup.mRegion) == 0 &&
         !std::binary_search(
           plan.mDrainedRegions.begin(), plan.mDrainedRegions.end(), aGroup.mRegion);
}

plan::SplitRow
TargetRow(const membership::Configuration& aConfiguration,
          const std::set<GroupKey>& aLiveGroups,
          const ServiceId& aService,
          const RegionId& aOrigin)
{
  const plan::Plan& plan = *aConfiguration.mPlan;
  const plan::SplitRow& inUse = aConfiguration.mShifts.at(aService).mInUse.at(aOrigin);
  const auto matrix = plan.mSplits.find(aService);
  const bool planned = matrix != plan.mSplits.end() && matrix->second.count(aOrigin) > 0;
  plan::SplitRow target;
  BasisPoints unassigned = kWhole;
  for (const auto& [region, part] : planned ? matrix->second.at(aOrigin) : inUse) {
    if (part > 0 && MayServe(aConfiguration, aLiveGroups, { aService, region })) {
      target[region] = part;
      unassigned -= part;
    }
  }
  std::map<RegionId, std::uint64_t> weights;
  for (const auto& [region, capacity] : plan.mRegions) {
    const std::uint64_t weight = ServiceCapacity(plan, aService, region);
    if (weight > 0 && MayServe(aConfiguration, aLiveGroups, { aService, region })) {
      weights[region] = weight;
    }
  }
  if (unassigned > 0 && weights.empty()) {
    return inUse;
  }
  if (unassigned > 0) {
    DistributeByWeight(target, unassigned, weights);
  }
  return target;
}

std::vector<ServiceId>
ServicesByClass(const plan::Plan& aPlan)
{
  std::vector<ServiceId> services;
  for (const auto& [id, service] : aPlan.mServices) {
    services.push_back(id);
  }
  std::stable_sort(
    services.begin(), services.end(), [&aPlan](const ServiceId& aLeft, const ServiceId& aRight) {
      return aPlan.mServices.at(aLeft).mClass < aPlan.mServices.at(aRight).mClass;
    });
  return services;
}

std::optional<ShiftStep>
NextShiftStep(const membership::Configuration& aConfiguration,
              const ServiceId& aService,
              const RegionView& aRegions,
              const LastSteps& aLastSteps,
              Instant aNow)
{
  const auto shift = aConfiguration.mShifts.find(aService);
  const auto last = aLastSteps.find(aService);
  const bool early = last != aLastSteps.end() && aNow < last->second.mNotBefore;
  if (shift == aConfiguration.mShifts.end() || early) {
    return std::nullopt;
  }
  StepBuilder builder{ aConfiguration, aRegions, aService, {}, {} };
  for (const auto& [region, capacity] : aConfiguration.mPlan->mRegions) {
    builder.mHeadroom[region] =
      Headroom(aConfiguration, { aService, region }, aRegions, aLastSteps, aNow);
  }
  membership::Shift next{ shift->second.mStep + 1, shift->second.mInUse };
  BasisPoints moved = 0;
  for (auto& [origin, row] : next.mInUse) {
    moved = std::max(moved, MoveRow(builder, origin, row));
  }
  if (moved == 0) {
    return std::nullopt;
  }
  ShiftStep step{ { aService, next }, {}, {} };
  for (const auto& [region, units] : builder.mAddedInFlight) {
    step.mAddedInFlight[region] = (units + kWhole - 1) / kWhole;
  }
  step.mRecord.mKind = "shift";
  step.mRecord.mSubject = "step-" + std::to_string(next.mStep);
  step.mRecord.mService = aService.mValue;
  step.mRecord.mChoice = std::to_string(moved) + "-basis-points";
  step.mRecord.mReason = ReasonFor(aConfiguration, aRegions, aService, shift->second.mInUse);
  return step;
}

} // namespace fighold::routing
