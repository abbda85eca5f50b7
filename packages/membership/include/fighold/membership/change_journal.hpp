#pragma once

#include "fighold/membership/configuration.hpp"

#include <compare>
#include <deque>
#include <optional>
#include <set>

/// What changed from version to version of the configuration. A delta needs no older configuration
/// with it, so that many versions can be remembered while hundreds of servers join.
namespace fighold::membership {

/// Elements that differ between a version and the one before it.
struct VersionChanges
{
  Version mFrom = 0;
  Version mTo = 0;
  std::set<EntryId> mEntries;
  std::set<BackendServerId> mServers;
  std::set<BackendServerId> mDeparted; ///< servers whose departed incarnations changed
  SharedValue<routes::RouteSet> mRoutesBefore;
  bool mNeedsWhole = false; ///< the plan or a shift changed, which a delta does not cover

  friend bool operator==(const VersionChanges&, const VersionChanges&) = default;
};

/// Changes of the newest versions, without gaps.
struct ChangeJournal
{
  std::deque<VersionChanges> mChanges;

  friend bool operator==(const ChangeJournal&, const ChangeJournal&) = default;
};

/// @return what differs between two versions
VersionChanges
FindChanges(const Configuration& aFrom, const Configuration& aTo);

/// Appends a version. Drops the older changes if the journal does not lead up to aFrom.
/// @param aMaxVersions number of versions to keep
void
AppendVersion(ChangeJournal& aJournal,
              const Configuration& aFrom,
              const Configuration& aTo,
              std::size_t aMaxVersions);

} // namespace fighold::membership
