#pragma once

#include "context.hpp"

/// Leases of backend servers, as a control process keeps them.
namespace fighold::control {

/// Takes over what an entry or a follower reported.
/// @param aReports reports with their ages
/// @param aSentAt a time not later than the one at which the message was sent: ages count from it,
/// so that a message that travelled for a long time extends no lease
void
ApplyReports(Context& aContext,
             const std::vector<membership::BackendReport>& aReports,
             Instant aSentAt);

/// Takes over the leases that the leader knows.
/// @param aRenewalSentAt time at which the follower asked
void
ApplyLeases(Context& aContext,
            const std::vector<membership::BackendLease>& aLeases,
            Instant aRenewalSentAt);

/// @param aSince time of the last message to the same receiver, which holds the leases of then; the
/// epoch: all leases are wanted
/// @param aChanged parts of the configuration that the receiver gets with the leases, or null;
/// leases of servers that it did not know were lost on it
/// @return leases of the backend servers that may receive work, as far as they changed since
std::vector<membership::BackendLease>
LiveBackendLeases(const State& aState,
                  Instant aSince,
                  const membership::Configuration* aChanged,
                  Instant aNow);

/// Lets time pass: leases end; the leader removes backend servers that are gone, and forgets
/// departed incarnations after their time.
void
TickBackends(Context& aContext);

} // namespace fighold::control
