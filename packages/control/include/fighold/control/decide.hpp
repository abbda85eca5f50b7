#pragma once

#include "fighold/control/state.hpp"

#include <vector>

/// Decisions of a control process; no I/O and no clock.
namespace fighold::control {

/// @param aNode agreement of this process as recovered from storage
/// @param aCodec encoding of changes
/// @param aCharts bound charts
/// @return state at start
State
MakeState(agreement::Node aNode, Codec aCodec, Charts aCharts);

/// Handles one event.
/// @param aState state, changed in place
/// @param aEvent event
/// @param aNow monotonic time
/// @return effects, in the order in which they must be carried out
std::vector<Effect>
Step(State& aState, Event aEvent, Instant aNow);

/// Least time between two ticks, and the time between them while an operator waits for an answer.
constexpr Millis kTickInterval{ 50 };

/// @param aState state
/// @param aNow time of the last tick
/// @return time of the next tick: that of the next timer, but at least kTickInterval later
Instant
NextTick(const State& aState, Instant aNow);

} // namespace fighold::control
