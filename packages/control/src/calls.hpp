#pragma once

#include "context.hpp"

/// Operators' calls: from the call through agreement to the answer.
namespace fighold::control {

/// Events of charts/plan_change.scxml, in the order of the registry.
enum class CallEvent : std::uint8_t
{
  Applied,
  Tick,
};

/// Working copy of one step of one call.
struct CallScope
{
  Context& mContext;
  PendingCall& mPending;
};

chart::Registry<CallScope>
CallRegistry();

/// Starts a call, or answers it at once when its change was decided earlier.
void
StartCall(Context& aContext, const ChangeCall& aCall);

/// Tells the calls that a change was applied.
void
OnChangeApplied(Context& aContext,
                const membership::Change& aChange,
                const membership::ChangeAnswer& aAnswer);

/// Lets time pass for all calls.
void
TickCalls(Context& aContext);

/// Answers a status call.
void
AnswerStatus(Context& aContext, const StatusCall& aCall);

} // namespace fighold::control
