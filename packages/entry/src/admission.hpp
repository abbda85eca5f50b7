#pragma once

#include "fighold/membership/protocol.hpp"
#include "fighold/routing/choice.hpp"
#include "request_chart.hpp"

/// Hooks of the routing decisions: what an entry learns of its backend servers.
namespace fighold::entry {

/// Takes over the load that a backend server reported.
/// @param aAskedAt time of the renewal that the grant with the lease answers
void
UpdateReportedLoad(routing::ServerState& aServer,
                   const membership::BackendLease& aLease,
                   Instant aAskedAt);

/// Records how a dispatch ended.
void
RecordDispatchResult(routing::ServerState& aServer,
                     RequestEvent aEvent,
                     Duration aLatency,
                     Instant aNow);

} // namespace fighold::entry
