#pragma once

#include "fighold/entry/state.hpp"

/// The configuration lease of this entry, and the leases of backend servers that register here.
namespace fighold::entry {

/// When a renewal is due, renews the configuration lease, reports shares and resends unanswered
/// changes.
void
MaintainLease(State& aState, std::vector<Effect>& aEffects, Instant aNow);

/// Applies a granted lease, its configuration and the backend servers' leases.
void
HandleGrant(State& aState,
            const GrantReceived& aGrant,
            std::vector<Effect>& aEffects,
            Instant aNow);

/// Handles a registration or renewal of a backend server.
void
HandleRenewal(State& aState,
              const BackendRenewal& aRenewal,
              std::vector<Effect>& aEffects,
              Instant aNow);

/// Handles the departure of a backend server: this entry sends it no new requests from now on; the
/// server gets its answer once the control group has committed the change.
void
HandleDeparture(State& aState,
                const BackendDeparture& aDeparture,
                std::vector<Effect>& aEffects,
                Instant aNow);

/// Answers the backend servers whose change the control group has decided.
void
HandleChangeReply(State& aState,
                  const membership::ChangeReply& aReply,
                  std::vector<Effect>& aEffects);

} // namespace fighold::entry
