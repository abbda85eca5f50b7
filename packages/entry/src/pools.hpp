#pragma once

#include "fighold/entry/state.hpp"

/// Pools of backend servers, kept up to date with the configuration, and the choice of a server.
namespace fighold::entry {

/// Updates the pools and the route table to the current configuration.
/// @param aPrevious previous configuration
void
ApplyRoutes(State& aState,
            const membership::Configuration& aPrevious,
            std::vector<Effect>& aEffects,
            Instant aNow);

/// Extends the lease of a backend server, and marks the server as cold if it reported so.
void
ApplyServerLease(State& aState,
                 const membership::BackendLease& aLease,
                 Instant aLeaseEnd,
                 Instant aNow);

/// @return true if servers whose lease has expired are excluded. Without recent contact to the
/// control group, the entry learns of no renewals, so it continues with the servers that it knows.
bool
TrustsLeases(const State& aState, Instant aNow);

/// @return round trip time to a region
Duration
RoundTripTime(const State& aState, const RegionId& aRegion);

/// @return number of connections to a server of the service that this entry may use
std::uint32_t
ConnectionShare(const State& aState, const ServiceId& aService);

/// @return processing times of a route at the servers of a pool, initialised from those of the
/// service
routes::ProcessingTimes&
RouteProcessingTimes(ServicePool& aPool, const std::string& aRoute);

/// Chooses region and server of a request. The service stays the same for all its dispatches.
routes::Placement
ChoosePlacement(State& aState, const Forward& aForward, Instant aNow);

/// Adjusts the splits between regions when they are due.
/// @return time until the first server of the request's service takes requests again, if all of
/// them pause or leave
std::optional<Duration>
TimeUntilResumed(const State& aState, const Forward& aForward, Instant aNow);

void
AdjustSplits(State& aState, Instant aNow);

} // namespace fighold::entry
