#include "fighold/routing/table.hpp"

#include <algorithm>

namespace fighold::routing {
namespace {

bool
MayReceiveWork(const membership::Configuration& aConfiguration,
               const BackendServerId& aId,
               const membership::BackendServer& aServer)
{
  const auto& leaving = aConfiguration.mPlan->mLeaving;
  return !aServer.mLeaving && aConfiguration.mDrains.mBackendServers.count(aId) == 0 &&
         !std::binary_search(leaving.begin(), leaving.end(), aId);
}

} // namespace

RoutingTable
BuildRoutingTable(const membership::Configuration& aConfiguration)
{
  RoutingTable table;
  table.mVersion = aConfiguration.mVersion;
  for (const auto& [id, server] : aConfiguration.mBackendServers) {
    if (MayReceiveWork(aConfiguration, id, server)) {
      table.mGroups[GroupKey{ server.mService, server.mRegion }].push_back(
        Candidate{ id, server.mIncarnation, server.mAddress, server.mSlots, server.mConnections });
    }
  }
  return table;
}

} // namespace fighold::routing
