#pragma once

#include "fighold/membership/configuration.hpp"

#include <compare>
#include <map>
#include <vector>

/// Routing table: the backend servers that may receive new work, by service and region.
namespace fighold::routing {

/// Identifies a group of backend servers: those of one service in one region.
struct GroupKey
{
  ServiceId mService;
  RegionId mRegion;

  friend auto operator<=>(const GroupKey&, const GroupKey&) = default;
};

/// A backend server that may receive requests.
struct Candidate
{
  BackendServerId mId;
  Incarnation mIncarnation = 0;
  Endpoint mAddress;
  std::uint32_t mSlots = 0;       ///< number of requests that it runs concurrently
  std::uint32_t mConnections = 0; ///< maximum number of connections

  friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

/// Candidates of one configuration version, built once for each version and immutable.
struct RoutingTable
{
  Version mVersion = 0;
  std::map<GroupKey, std::vector<Candidate>> mGroups;

  friend auto operator<=>(const RoutingTable&, const RoutingTable&) = default;
};

/// @param aConfiguration configuration in force
/// @return the table, without backend servers that are leaving, drained, or removed by the plan
RoutingTable
BuildRoutingTable(const membership::Configuration& aConfiguration);

} // namespace fighold::routing
