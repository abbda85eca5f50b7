#pragma once

#include "request_chart.hpp"

/// Claims on the Idempotency-Key of requests that must not run twice. The claim replicas are the
/// control processes.
namespace fighold::entry {

/// Requests the claim for a request.
void
RequestClaim(RequestScope& aScope);

/// Tells the claim replicas how a request that requested a claim ended.
/// @param aMayHaveRun false if it was certainly not run
/// @param aResponse complete response of the backend server, or null
void
FinishClaim(State& aState,
            RequestId aId,
            bool aMayHaveRun,
            const net::HttpResponse* aResponse,
            std::vector<Effect>& aEffects,
            Instant aNow);

/// Passes an event to the claim client and applies the outcomes to the requests.
void
HandleClaimEvent(State& aState,
                 const claims::ClientEvent& aEvent,
                 std::vector<Effect>& aEffects,
                 Instant aNow);

} // namespace fighold::entry
