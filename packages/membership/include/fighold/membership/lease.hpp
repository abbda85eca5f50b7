#pragma once

#include "fighold/core/id.hpp"
#include "fighold/core/time.hpp"

#include <compare>
#include <optional>

/// Leases: rights that end by themselves.
namespace fighold::membership {

/// Longest time for which an entry may serve without hearing from the control group, counted from
/// the quorum round on which the lease rests.
constexpr Millis kConfigurationLease{ 2000 };

/// Time between two renewals of a configuration lease.
constexpr Millis kRenewInterval{ 500 };

/// Time without renewal after which a backend server receives no new work.
constexpr Millis kBackendServerLease{ 2000 };

/// Allowance for the rates of two monotonic clocks: a holder shortens its lease by one part in
/// kClockDriftDivisor.
constexpr int kClockDriftDivisor = 100;

/// A right to serve with one configuration version.
struct Lease
{
  Version mVersion = 0;
  Instant mUntil{};

  friend auto operator<=>(const Lease&, const Lease&) = default;
};

/// @param aAskedAt time at which the holder sent its request; the lease counts from there, since a
/// grant may be late
/// @param aLength length that the granter states
/// @return end of the lease by the holder's clock
Instant
LeaseEnd(Instant aAskedAt, Duration aLength);

/// @param aQuorumAt time at which the granter's own right began: the last quorum round of a leader
/// @param aNow time of the grant
/// @return length that may be granted, nothing when the right has run out
std::optional<Duration>
GrantableLength(Instant aQuorumAt, Instant aNow);

/// @return true while the lease lasts
bool
IsValid(const Lease& aLease, Instant aNow);

} // namespace fighold::membership
