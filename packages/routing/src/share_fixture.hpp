#pragma once

#include "fighold/routing/share.hpp"

/// Plan that the tests of shares use.
namespace fighold::routing {

inline const RegionId kRegion{ "attiki" };
inline const ServiceId kService{ "vardia" };
inline const LimitKey kRegionLimit{ LimitKind::Region, kRegion, {}, {} };
inline const LimitKey kServiceLimit{ LimitKind::Service, kRegion, {}, kService };

constexpr Millis kDeadline{ 8000 };

/// @return a plan of one region and one service that may use four fifths of it
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
