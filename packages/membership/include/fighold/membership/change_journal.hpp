#pragma once

#include "fighold/membership/configuration.hpp"

#include <compare>
#include <cstddef>
#include <deque>
#include <optional>
#include <set>

/// What changed from version to version of the configuration. A delta needs no older configuration
/// with it, so that many versions can be remembered while hundreds of servers join.
namespace fighold::membership {

/// Elements that differ between a version and the one before it. Holds their keys only, so that its
/// size does not depend on the size of the configuration.
struct VersionChanges
{
  Version mFrom = 0;
  Version mTo = 0;
  std::set<EntryId> mEntries;
  std::set<BackendServerId> mServers;
  std::set<BackendServerId> mDeparted; ///< servers whose departed incarnations changed
  std::set<std::string> mRoutes;       ///< names of routes
  std::set<ServiceId> mServices;       ///< services whose settings changed
  bool mRouteSet = false;              ///< another route set is in use
  bool mNeedsWhole = false; ///< a delta does not cover the change: plan, shift, host removed

  friend bool operator==(const VersionChanges&, const VersionChanges&) = default;
};

/// Limits of a journal.
struct JournalLimits
{
  std::size_t mVersions = 0;
  std::size_t mBytes = 0; ///< approximate size in memory

  friend auto operator<=>(const JournalLimits&, const JournalLimits&) = default;
};

/// Changes of the newest versions, without gaps.
struct ChangeJournal
{
  std::deque<VersionChanges> mChanges;
  std::size_t mBytes = 0; ///< sum of ApproximateSize() of the changes

  friend bool operator==(const ChangeJournal&, const ChangeJournal&) = default;
};

/// @return what differs between two versions
VersionChanges
FindChanges(const Configuration& aFrom, const Configuration& aTo);

/// @return size in memory in bytes, rather too large than too small
std::size_t
ApproximateSize(const VersionChanges& aChanges);

/// Appends a version and drops the oldest ones beyond the limits. Drops the older changes if the
/// journal does not lead up to aFrom. A version that is itself larger than the limit leaves the
/// journal empty, so that the whole configuration is sent.
void
AppendVersion(ChangeJournal& aJournal,
              const Configuration& aFrom,
              const Configuration& aTo,
              const JournalLimits& aLimits);

} // namespace fighold::membership
