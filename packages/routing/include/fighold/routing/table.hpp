#pragma once

#include "fighold/membership/configuration.hpp"

#include <compare>
#include <map>
#include <vector>

/// Backend servers that may receive new work, by service and region.
namespace fighold::routing {

/// Service and region of a group of backend servers.
struct GroupKey
{
  ServiceId mService;
  RegionId mRegion;

  friend auto operator<=>(const GroupKey&, const GroupKey&) = default;
};

/// A backend server as a candidate.
struct Candidate
{
  BackendServerId mId;
  Incarnation mIncarnation = 0;
  Endpoint mAddress;
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;

  friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

/// Candidates of one configuration version. Immutable; built once for each version.
struct RoutingTable
{
  Version mVersion = 0;
  std::map<GroupKey, std::vector<Candidate>> mGroups;

  friend auto operator<=>(const RoutingTable&, const RoutingTable&) = default;
};

/// @param aConfiguration configuration in use
/// @return candidates without those that are leaving, drained, or taken out by the plan
RoutingTable
BuildRoutingTable(const membership::Configuration& aConfiguration);

} // namespace fighold::routing
