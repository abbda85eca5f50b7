#pragma once

#include "fighold/entry/state.hpp"

/// Leases that an entry holds and passes on: its configuration lease, and those of backend servers.
namespace fighold::entry {

/// Sends what is due: the renewal of the configuration lease, and changes that are not answered
/// yet.
void
MaintainLease(State& aState, std::vector<Effect>& aEffects, Instant aNow);

/// Takes over a granted lease, its configuration and the backend servers' leases.
void
HandleGrant(State& aState,
            const GrantReceived& aGrant,
            std::vector<Effect>& aEffects,
            Instant aNow);

/// Handles an announcement or renewal of a backend server.
void
HandleRenewal(State& aState,
              const BackendRenewal& aRenewal,
              std::vector<Effect>& aEffects,
              Instant aNow);

/// Handles the departure of a backend server: no new work from here at once; confirmed when the
/// control group committed it.
void
HandleDeparture(State& aState,
                const BackendDeparture& aDeparture,
                std::vector<Effect>& aEffects,
                Instant aNow);

/// Answers the backend server whose change the control group decided.
void
HandleChangeReply(State& aState,
                  const membership::ChangeReply& aDone,
                  std::vector<Effect>& aEffects);

} // namespace fighold::entry
