#pragma once

#include "context.hpp"

/// Claims that this process holds for the entries.
namespace fighold::control {

/// Handles a message of an entry when it is about claims.
/// @return false when it is about something else
bool
HandleClaimMessage(Context& aContext, const EntryMessage& aMessage);

/// Handles a message of another holder when it is about claims.
/// @return false when it is about something else
bool
HandleClaimMessage(Context& aContext, const ControlMessage& aMessage);

/// Forgets old claims and continues the recovery after a restart.
void
TickClaims(Context& aContext);

} // namespace fighold::control
