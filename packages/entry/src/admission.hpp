#pragma once

#include "fighold/membership/protocol.hpp"
#include "fighold/routing/choice.hpp"
#include "request_chart.hpp"

/// Updates the router's view of backend servers: their reported load and the results of dispatches.
namespace fighold::entry {

/// Stores the load that a backend server reported, unless a newer report is known.
/// @param aSentAt time at which the renewal answered by the grant was sent
void
UpdateReportedLoad(routing::ServerState& aServer,
                   const membership::BackendLease& aLease,
                   Instant aSentAt);

/// Records the result and latency of a dispatch.
void
RecordDispatchResult(routing::ServerState& aServer,
                     RequestEvent aEvent,
                     Duration aLatency,
                     Instant aNow);

} // namespace fighold::entry
