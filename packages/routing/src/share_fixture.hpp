#pragma once

#include "fighold/routing/share.hpp"

/// Fixtures for the tests of shares.
namespace fighold::routing {

inline const RegionId kRegion{ "attiki" };
inline const ServiceId kService{ "vardia" };
inline const LimitKey kRegionLimit{ LimitKind::Region, kRegion, {}, {} };
inline const LimitKey kServiceLimit{ LimitKind::Service, kRegion, {}, kService };

constexpr Millis kDeadline{ 8000 };

/// @return a plan with one region, and one service that may use four fifths of its capacity
inline plan::Plan
MakePlan(std::uint32_t aCapacity, std::uint32_t aMaxEntries)
{
  plan::Plan plan;
  plan.mMaxEntries = aMaxEntries;
  plan.mRegions[kRegion] = aCapacity;
  plan.mServices[kService].mDeadline = kDeadline;
  plan.mServices[kService].mRegionShares[kRegion] = 8000;
  return plan;
}

} // namespace fighold::routing
