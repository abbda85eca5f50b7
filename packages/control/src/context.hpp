#pragma once

#include "fighold/control/state.hpp"

#include <vector>

/// Helpers that the parts of a control process's decisions share.
namespace fighold::control {

/// One step in progress.
struct Context
{
  State& mState;
  Instant mNow;
  std::vector<Effect> mEffects;
};

/// Hands an event to the agreement and applies what it commits.
void
StepAgreement(Context& aContext, const agreement::Event& aEvent);

/// Proposes a change, wherever the leader is; a leader drops a change that alters nothing or that
/// it has proposed already.
void
Propose(Context& aContext, const membership::Change& aChange);

/// @return time at which this process's right to grant leases began, or nothing without the right
std::optional<Instant>
MayGrantSince(const State& aState, Instant aNow);

} // namespace fighold::control
