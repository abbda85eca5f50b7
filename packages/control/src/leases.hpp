#pragma once

#include "context.hpp"

/// Leases of entries, backend servers and followers.
namespace fighold::control {

/// Handles the renewal of an entry: applies its reports, proposes to register the entry if it is
/// new or leaving, and grants a lease.
void
HandleLeaseRenewal(Context& aContext,
                   const EntryId& aFrom,
                   const membership::LeaseRenewal& aRenewal);

/// Handles the renewal of a follower; only the leader answers.
void
HandleControlLeaseRenewal(Context& aContext,
                          const ControlId& aFrom,
                          const membership::ControlLeaseRenewal& aRenewal);

/// Handles a lease grant of the leader.
void
HandleControlLeaseGrant(Context& aContext,
                        const ControlId& aFrom,
                        const membership::ControlLeaseGrant& aGrant);

/// Sends the renewal of a follower, updates the version in force, and proposes to remove entries
/// that no longer renew.
void
TickLeases(Context& aContext);

/// @return entries that may still serve with a version older than aVersion
std::vector<EntryId>
OutdatedEntries(const State& aState, Version aVersion, Instant aNow);

} // namespace fighold::control
