#pragma once

#include "fighold/control/state.hpp"

#include <vector>

/// Functions shared by the parts of a control process's decision logic.
namespace fighold::control {

/// Handling of one event: the state, and the effects collected so far.
struct Context
{
  State& mState;
  Instant mNow;
  std::vector<Effect> mEffects;
};

/// Passes an event to the Raft node and applies the changes that it commits.
void
StepAgreement(Context& aContext, const agreement::Event& aEvent);

/// Proposes a change; a follower forwards it to the leader. The leader drops a change that has no
/// effect or that it has proposed recently.
/// @return false if no process could read the change back from the log; it is not proposed, and
/// everybody who waits for it as a pending change has UnreadableAnswer()
bool
Propose(Context& aContext, const membership::Change& aChange);

/// @return answer to a change that no process could read back from the log
membership::ChangeAnswer
UnreadableAnswer();

/// @return time since which this process may grant leases: for a leader, when a majority last
/// confirmed it; for a follower, when its lease began. Nothing if it may not grant any.
std::optional<Instant>
MayGrantSince(const State& aState, Instant aNow);

} // namespace fighold::control
