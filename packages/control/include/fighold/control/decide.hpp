#pragma once

#include "fighold/control/state.hpp"

#include <stdexcept>
#include <vector>

/// Decision logic of a control process, without I/O or clock.
namespace fighold::control {

/// A committed record or a snapshot that this version cannot use. The process must stop: without
/// it, its state would differ from that of the rest of the group.
class RecordError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// @param aNode Raft node, recovered from the storage
/// @param aCodec encoding of changes and of the replicated state
/// @param aCharts bound charts
/// @return initial state
/// @throws RecordError if the snapshot cannot be decoded
State
MakeState(agreement::Node aNode, Codec aCodec, Charts aCharts);

/// Handles an event.
/// @param aState state, modified in place
/// @param aEvent event
/// @param aNow monotonic time
/// @return effects, to be executed in this order
/// @throws RecordError if a committed record or a snapshot cannot be used
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
