#pragma once

#include "fighold/control/state.hpp"

#include <optional>

/// Deltas of the configuration that a control process sends to entries.
namespace fighold::control {

/// @param aState keeps the deltas to the current configuration, so that entries which hold the same
/// version share one
/// @param aRenewal renewal of an entry that holds an earlier version
/// @return delta from that version, or nothing if the version is not kept, or if the delta is as
/// large as a whole configuration and the renewal asks to leave that out
std::optional<SharedValue<membership::ConfigurationDelta>>
DeltaForGrant(State& aState, const membership::LeaseRenewal& aRenewal);

} // namespace fighold::control
