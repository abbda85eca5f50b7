#pragma once

#include "fighold/entry/state.hpp"

#include <vector>

/// Decision logic of an entry; performs no I/O and reads no clock.
namespace fighold::entry {

/// Handles one event.
/// @param aState state, changed in place
/// @param aEvent event
/// @param aNow monotonic time
/// @return effects, in the order in which they must be executed
std::vector<Effect>
Step(State& aState, Event aEvent, Instant aNow);

/// @param aState state
/// @param aNow monotonic time
/// @return time by which the next Tick is due
Instant
NextTick(const State& aState, Instant aNow);

} // namespace fighold::entry
