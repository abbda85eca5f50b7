#pragma once

#include "fighold/membership/configuration.hpp"

#include <optional>

/// Differences between two versions of the configuration, so that a change of one backend server
/// costs as much in a large deployment as in a small one.
namespace fighold::membership {

/// What leads from one version to a later one. Plans, answers and the history are not covered.
struct ConfigurationDelta
{
  Version mFrom = 0;
  /// The later version with only what was added or changed in its maps, and without its route set.
  Configuration mChanged;
  std::set<EntryId> mRemovedEntries;
  std::set<BackendServerId> mRemovedServers;
  std::set<BackendServerId> mForgotten; ///< whose departed incarnations were forgotten
  std::optional<routes::RoutePatch> mRoutes;

  friend bool operator==(const ConfigurationDelta&, const ConfigurationDelta&) = default;
};

/// @param aFrom version that the receiver holds
/// @param aTo later version
/// @return delta, or nothing where only the whole configuration will do
std::optional<ConfigurationDelta>
MakeDelta(const Configuration& aFrom, const Configuration& aTo);

/// @param aBase version of which the delta was made
/// @return the later version, without answers and history
Configuration
ApplyDelta(const Configuration& aBase, const ConfigurationDelta& aDelta);

} // namespace fighold::membership
