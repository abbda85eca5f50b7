#pragma once

#include "context.hpp"

/// Calls of backend servers that announce themselves at a control process.
namespace fighold::control {

/// Registers a new incarnation, renews a known one, or records that it leaves.
void
HandleHeartbeat(Context& aContext, const ServerHeartbeat& aHeartbeat);

/// Records that the incarnation in the configuration leaves.
void
HandleWithdrawal(Context& aContext, const ServerWithdrawal& aWithdrawal);

/// Answers a call whose change was decided.
void
AnswerServer(Context& aContext, CallId aId, const membership::ChangeAnswer& aAnswer);

/// Answers calls that were not decided in time, so that they are repeated elsewhere.
void
ExpireServerCalls(Context& aContext);

} // namespace fighold::control
