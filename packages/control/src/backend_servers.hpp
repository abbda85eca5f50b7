#pragma once

#include "context.hpp"

/// Leases of backend servers at a control process.
namespace fighold::control {

/// Applies reports of an entry, a follower or the backend server itself.
/// @param aReports reports with their ages
/// @param aSentAt lower bound of the time at which the message was sent; ages count from it, so
/// that a delayed message does not extend a lease
void
ApplyReports(Context& aContext,
             const std::vector<membership::BackendReport>& aReports,
             Instant aSentAt);

/// Applies the leases received from the leader.
/// @param aLeases leases with their remaining times
/// @param aRenewalSentAt time at which this follower sent the renewal that the leader answered
void
ApplyLeases(Context& aContext,
            const std::vector<membership::BackendLease>& aLeases,
            Instant aRenewalSentAt);

/// @param aSince time of the last message to the same receiver, which has the leases up to then;
/// Instant{}: return all leases
/// @param aChanged parts of the configuration that are sent along with the leases, or null; the
/// receiver ignored earlier leases of the servers in it, since it did not know them
/// @return leases of live backend servers that were renewed since aSince or are in aChanged
std::vector<membership::BackendLease>
LiveBackendLeases(const State& aState,
                  Instant aSince,
                  const membership::Configuration* aChanged,
                  Instant aNow);

/// Expires leases. The leader proposes to remove backend servers that are gone, and to forget
/// departed incarnations after membership::kRefuseDepartedFor.
void
TickBackends(Context& aContext);

} // namespace fighold::control
