#include "fighold/membership/lease.hpp"

namespace fighold::membership {

Instant
LeaseEnd(Instant aRequestedAt, Duration aLength)
{
  return aRequestedAt + aLength - aLength / kClockDriftDivisor;
}

std::optional<Duration>
GrantableLength(Instant aQuorumConfirmedAt, Instant aNow)
{
  const Instant end = aQuorumConfirmedAt + kConfigurationLease;
  if (aNow >= end) {
    return std::nullopt;
  }
  return end - aNow;
}

bool
IsValid(const Lease& aLease, Instant aNow)
{
  return aNow < aLease.mUntil;
}

} // namespace fighold::membership
