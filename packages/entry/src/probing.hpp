#pragma once

#include "fighold/entry/state.hpp"

/// Health requests to backend servers that were not heard for long, mostly because the control
/// group is down. Only the server itself can then say that it has not become cold.
namespace fighold::entry {

/// Sends health requests to the servers that may be cold and that this entry uses, when they are
/// due.
void
ProbeServers(State& aState, std::vector<Effect>& aEffects, Instant aNow);

/// Handles the end of a health request.
/// @return false if the dispatch was none
bool
HandleProbeDone(State& aState,
                const DispatchDone& aDone,
                std::vector<Effect>& aEffects,
                Instant aNow);

} // namespace fighold::entry
