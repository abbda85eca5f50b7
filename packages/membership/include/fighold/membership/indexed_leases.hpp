#pragma once

#include "fighold/membership/configuration.hpp"
#include "fighold/membership/lease.hpp"

#include <compare>
#include <cstdint>
#include <vector>

/// Leases of backend servers in a few bytes each. A server is named by its position in the
/// configuration, which the sender and the receiver of a grant share: with its identifier and
/// incarnation a lease takes about 30 bytes, and each entry gets the lease of every server after
/// each of its heartbeats.
namespace fighold::membership {

/// A backend server's lease as seen by the sender.
struct BackendLease
{
  BackendServerId mId;
  Incarnation mIncarnation = 0;
  Millis mRemaining{ 0 };
  std::uint32_t mInFlight = 0;
  Millis mCold{ 0 }; ///< time for which the server's caches stay cold

  friend auto operator<=>(const BackendLease&, const BackendLease&) = default;
};

/// Leases of servers of one version of the configuration. Elements of the vectors belong together.
struct IndexedLeases
{
  std::vector<std::uint32_t> mSkipped;   ///< servers between this one and the one before
  std::vector<std::uint32_t> mRemaining; ///< in units of kLeaseUnit, rounded down
  std::vector<std::uint32_t> mInFlight;  ///< empty: 0 for all
  std::vector<std::uint32_t> mCold;      ///< in units of kLeaseUnit, rounded up; empty: 0 for all

  friend auto operator<=>(const IndexedLeases&, const IndexedLeases&) = default;
};

/// Resolution of the times in IndexedLeases. A lease of 4.5 s then fits into one byte.
constexpr Millis kLeaseUnit{ 50 };

/// @param aConfiguration version that the receiver will have
/// @param aLeases leases, ordered by server
/// @return leases of the incarnations in the configuration; receivers ignore those of others
IndexedLeases
IndexLeases(const Configuration& aConfiguration, const std::vector<BackendLease>& aLeases);

/// @param aConfiguration version for which the leases were indexed
/// @return leases; empty if they do not fit the configuration
std::vector<BackendLease>
ExpandLeases(const Configuration& aConfiguration, const IndexedLeases& aLeases);

} // namespace fighold::membership
