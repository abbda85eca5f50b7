#pragma once

#include "request_chart.hpp"

/// Claims on the Idempotency-Key of requests that may not be repeated.
namespace fighold::entry {

/// Asks for the claim of a request.
void
RequestClaim(RequestScope& aScope);

/// Tells the holders how a request that asked for a claim ended.
/// @param aRun false when it surely was not run
/// @param aAnswer whole answer of the backend server, or null
void
FinishClaim(State& aState,
            RequestId aId,
            bool aRun,
            const net::HttpResponse* aAnswer,
            std::vector<Effect>& aEffects,
            Instant aNow);

/// Handles an event of the asker, and what it means for requests.
void
HandleClaimEvent(State& aState,
                 const claims::ClientEvent& aEvent,
                 std::vector<Effect>& aEffects,
                 Instant aNow);

} // namespace fighold::entry
