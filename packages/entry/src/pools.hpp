#pragma once

#include "fighold/entry/state.hpp"

/// Backend server pools that follow the configuration, and the choice of a server from them.
namespace fighold::entry {

/// Updates the pools and the route table to the current configuration.
/// @param aPrevious previous configuration
void
ApplyRoutes(State& aState,
            const membership::Configuration& aPrevious,
            std::vector<Effect>& aEffects,
            Instant aNow);

/// Applies a lease of a backend server.
void
ApplyServerLease(State& aState,
                 const membership::BackendLease& aLease,
                 Instant aUntil,
                 Instant aNow);

/// @return true if expired leases of backend servers count. An entry without contact to its control
/// group continues with the servers that it knows.
bool
TrustsLeases(const State& aState, Instant aNow);

/// @return round trip time to a region
Duration
RoundTripTime(const State& aState, const RegionId& aRegion);

/// @return processing times of a route at the servers of a pool, initially those of the service
routes::ProcessingTimes&
RouteProcessingTimes(ServicePool& aPool, const std::string& aRoute);

/// Chooses region and server of a request. The service stays the same for all its dispatches.
routes::Placement
PlaceForward(State& aState, const Forward& aForward, Instant aNow);

/// Adjusts the splits between regions when they are due.
void
AdjustSplits(State& aState, Instant aNow);

} // namespace fighold::entry
