#pragma once

#include "context.hpp"

/// Operators' calls, from the proposal of the change to the answer.
namespace fighold::control {

/// Events of charts/plan_change.scxml, in the order of the registry.
enum class CallEvent : std::uint8_t
{
  Applied,
  Tick,
};

/// What the guards and actions of charts/plan_change.scxml read and change during one event.
struct CallScope
{
  Context& mContext;
  PendingCall& mPending;
};

/// @return states, events, guards and actions of charts/plan_change.scxml
chart::Registry<CallScope>
CallRegistry();

/// Starts a call; if its change was already applied, uses the recorded answer.
void
StartCall(Context& aContext, const ChangeCall& aCall);

/// Passes an applied change to the calls that proposed it.
void
OnChangeApplied(Context& aContext,
                const membership::Change& aChange,
                const membership::ChangeAnswer& aAnswer);

/// Passes a tick to all calls: retries and timeouts.
void
TickCalls(Context& aContext);

/// Answers a status call.
void
AnswerStatus(Context& aContext, const StatusCall& aCall);

} // namespace fighold::control
