#pragma once

#include "fighold/entry/state.hpp"

/// Pools of backend servers that follow the configuration, and the choice within them.
namespace fighold::entry {

/// Brings pools and route table in line with a new configuration.
/// @param aPrevious configuration before
void
ApplyRoutes(State& aState,
            const membership::Configuration& aPrevious,
            std::vector<Effect>& aEffects,
            Instant aNow);

/// Takes over a lease of a backend server.
void
ApplyServerLease(State& aState,
                 const membership::BackendLease& aLease,
                 Instant aUntil,
                 Instant aNow);

/// @return true while ended leases of backend servers count: without its control group an entry
/// goes on with the servers that it knew
bool
TrustsLeases(const State& aState, Instant aNow);

/// @return time to a region and back
Duration
RoundTripTime(const State& aState, const RegionId& aRegion);

/// @return work times of a route at the servers of a pool; they start from those of the service
routes::ProcessingTimes&
RouteProcessingTimes(ServicePool& aPool, const std::string& aRoute);

/// Chooses service, region and server of a request. A request keeps its service.
routes::Placement
PlaceForward(State& aState, const Forward& aForward, Instant aNow);

/// Moves the divisions between regions, when they are due.
void
AdjustSplits(State& aState, Instant aNow);

} // namespace fighold::entry
