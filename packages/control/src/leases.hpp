#pragma once

#include "context.hpp"

/// Leases of entries, backend servers and followers.
namespace fighold::control {

/// Handles a renewal of an entry: registers it, takes its reports, grants a lease.
void
HandleLeaseRenewal(Context& aContext,
                   const EntryId& aFrom,
                   const membership::LeaseRenewal& aRenewal);

/// Handles a follower's renewal; only a leader answers.
void
HandleControlLeaseRenewal(Context& aContext,
                          const ControlId& aFrom,
                          const membership::ControlLeaseRenewal& aRenewal);

/// Handles the leader's grant.
void
HandleControlLeaseGrant(Context& aContext,
                        const ControlId& aFrom,
                        const membership::ControlLeaseGrant& aGrant);

/// Sends a follower's renewal, works out what is in force, and removes entries that are gone.
void
TickLeases(Context& aContext);

/// @return entries that may still serve with a version older than `aVersion`
std::vector<EntryId>
OutdatedEntries(const State& aState, Version aVersion, Instant aNow);

} // namespace fighold::control
