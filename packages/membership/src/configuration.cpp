#include "fighold/membership/configuration.hpp"

#include <algorithm>

namespace fighold::membership {

bool
IsDrained(const Configuration& aConfiguration, const DataCentreId& aId)
{
  return aConfiguration.mDrains.mDataCentres.count(aId) > 0;
}

bool
IsDrained(const Configuration& aConfiguration, const RegionId& aId)
{
  const auto& planned = aConfiguration.mPlan->mDrainedRegions;
  return aConfiguration.mDrains.mRegions.count(aId) > 0 ||
         std::binary_search(planned.begin(), planned.end(), aId);
}

bool
IsDrained(const Configuration& aConfiguration, const EntryId& aId)
{
  const auto it = aConfiguration.mEntries.find(aId);
  return aConfiguration.mDrains.mEntries.count(aId) > 0 ||
         (it != aConfiguration.mEntries.end() && it->second.mLeaving);
}

bool
IsDrained(const Configuration& aConfiguration, const BackendServerId& aId)
{
  const auto& planned = aConfiguration.mPlan->mLeaving;
  const auto it = aConfiguration.mBackendServers.find(aId);
  return aConfiguration.mDrains.mBackendServers.count(aId) > 0 ||
         std::binary_search(planned.begin(), planned.end(), aId) ||
         (it != aConfiguration.mBackendServers.end() && it->second.mLeaving);
}

bool
HasDeparted(const Configuration& aConfiguration,
            const BackendServerId& aId,
            Incarnation aIncarnation)
{
  const auto departed = aConfiguration.mDeparted.find(aId);
  if (departed != aConfiguration.mDeparted.end() && departed->second.count(aIncarnation) > 0) {
    return true;
  }
  const auto withdrawn = aConfiguration.mWithdrawn.find(aId);
  return withdrawn != aConfiguration.mWithdrawn.end() && aIncarnation <= withdrawn->second;
}

bool
IsDepartureRecorded(const Configuration& aConfiguration,
                    const BackendServerId& aId,
                    Incarnation aIncarnation)
{
  const auto departed = aConfiguration.mDeparted.find(aId);
  const auto withdrawn = aConfiguration.mWithdrawn.find(aId);
  return (departed != aConfiguration.mDeparted.end() && departed->second.count(aIncarnation) > 0) ||
         (withdrawn != aConfiguration.mWithdrawn.end() && withdrawn->second == aIncarnation);
}

} // namespace fighold::membership
