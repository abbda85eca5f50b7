#pragma once

#include "fighold/control/state.hpp"

#include <vector>

/// Decision logic of a control process, without I/O or clock.
namespace fighold::control {

/// @param aNode Raft node, recovered from the storage
/// @param aCodec encoding of changes and of the replicated state
/// @param aCharts bound charts
/// @return initial state
/// @throws std::runtime_error if the snapshot cannot be decoded
State
MakeState(agreement::Node aNode, Codec aCodec, Charts aCharts);

/// Handles an event.
/// @param aState state, modified in place
/// @param aEvent event
/// @param aNow monotonic time
/// @return effects, to be executed in this order
std::vector<Effect>
Step(State& aState, Event aEvent, Instant aNow);

/// Minimum interval between two ticks, and the interval while an operator waits for an answer.
constexpr Millis kTickInterval{ 50 };

/// @param aState state
/// @param aNow time of the last tick
/// @return time of the next tick: the next timer, but not earlier than kTickInterval after aNow
Instant
NextTick(const State& aState, Instant aNow);

} // namespace fighold::control
