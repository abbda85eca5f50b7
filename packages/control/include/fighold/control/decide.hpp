#pragma once

#include "fighold/control/state.hpp"

#include <vector>

/// Decisions of a control process; no I/O and no clock.
namespace fighold::control {

/// @param aNode agreement of this process as recovered from storage
/// @param aCodec encoding of changes
/// @param aChart bound charts/plan_change.scxml
/// @return state at start
State
MakeState(agreement::Node aNode, Codec aCodec, chart::BoundChart<CallScope> aChart);

/// Handles one event.
/// @param aState state, changed in place
/// @param aEvent event
/// @param aNow monotonic time
/// @return effects, in the order in which they must be carried out
std::vector<Effect>
Step(State& aState, Event aEvent, Instant aNow);

/// Time between two ticks.
constexpr Millis kTickInterval{ 50 };

} // namespace fighold::control
