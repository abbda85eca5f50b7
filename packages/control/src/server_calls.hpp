#pragma once

#include "context.hpp"

/// Calls of backend servers that register directly at a control process.
namespace fighold::control {

/// Registers a new incarnation, renews the lease of a known one, or proposes its departure.
void
HandleHeartbeat(Context& aContext, const ServerHeartbeat& aHeartbeat);

/// Proposes the departure of all incarnations that can have started before, known or not.
void
HandleWithdrawal(Context& aContext, const ServerWithdrawal& aWithdrawal);

/// Answers a call whose change was applied.
void
AnswerServer(Context& aContext, CallId aId, const membership::ChangeAnswer& aAnswer);

/// Answers calls that were not decided in time, so that they are repeated at another process.
void
ExpireServerCalls(Context& aContext);

} // namespace fighold::control
