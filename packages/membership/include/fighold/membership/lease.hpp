#pragma once

#include "fighold/core/id.hpp"
#include "fighold/core/time.hpp"

#include <compare>
#include <optional>

/// Leases: rights that expire unless they are renewed.
namespace fighold::membership {

/// Maximum time for which an entry may serve without contact with the control group, counted from
/// the start of the heartbeat round on which the lease is based.
constexpr Millis kConfigurationLease{ 2000 };

/// Time between two renewals of a configuration lease.
constexpr Millis kRenewInterval{ 500 };

/// Time without renewal after which a backend server receives no new requests.
constexpr Millis kBackendServerLease{ 2000 };

/// Allowance for different rates of monotonic clocks: a lease holder shortens its lease by
/// 1/kClockDriftDivisor.
constexpr int kClockDriftDivisor = 100;

/// Right to serve with one configuration version.
struct Lease
{
  Version mVersion = 0;
  Instant mUntil{};

  friend auto operator<=>(const Lease&, const Lease&) = default;
};

/// @param aRequestedAt time at which the lease holder sent its request; the lease counts from then,
/// since the grant may be late
/// @param aLength length of the lease as granted
/// @return end of the lease by the lease holder's clock
Instant
LeaseEnd(Instant aRequestedAt, Duration aLength);

/// @param aQuorumConfirmedAt start of the granter's own right: on a leader, the start of the latest
/// heartbeat round that a majority acknowledged
/// @param aNow time of the grant
/// @return length that may be granted, nothing when the right has expired
std::optional<Duration>
GrantableLength(Instant aQuorumConfirmedAt, Instant aNow);

/// @return true until the lease expires
bool
IsValid(const Lease& aLease, Instant aNow);

} // namespace fighold::membership
