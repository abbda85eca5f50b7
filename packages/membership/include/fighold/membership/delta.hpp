#pragma once

#include "fighold/membership/change_journal.hpp"
#include "fighold/membership/configuration.hpp"

#include <optional>

/// Differences between two versions of the configuration. With them, the cost of sending a change
/// of one backend server does not grow with the deployment.
namespace fighold::membership {

/// Difference between one version and a later one. Does not cover plans, answers, withdrawals and
/// the history.
struct ConfigurationDelta
{
  Version mFrom = 0;
  /// The later version, with only the added and changed elements of its maps and without its route
  /// set.
  Configuration mChanged;
  std::set<EntryId> mRemovedEntries;
  std::set<BackendServerId> mRemovedServers;
  std::set<BackendServerId> mForgotten; ///< servers whose departed incarnations were all forgotten
  std::optional<routes::RoutePatch> mRoutes;

  friend bool operator==(const ConfigurationDelta&, const ConfigurationDelta&) = default;
};

/// @param aJournal changes up to aTo
/// @param aFrom version that the receiver has
/// @param aTo newest version
/// @return delta, or nothing if the whole configuration must be sent: the journal does not reach
/// back to aFrom, or a change is not covered by deltas
std::optional<ConfigurationDelta>
MakeDelta(const ChangeJournal& aJournal, Version aFrom, const Configuration& aTo);

/// @param aFrom version that the receiver has
/// @param aTo later version
/// @return delta, or nothing if the whole configuration must be sent
std::optional<ConfigurationDelta>
MakeDelta(const Configuration& aFrom, const Configuration& aTo);

/// @param aBase version from which the delta was made
/// @return the later version, without answers, withdrawals and history
Configuration
ApplyDelta(const Configuration& aBase, const ConfigurationDelta& aDelta);

} // namespace fighold::membership
