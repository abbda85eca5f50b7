#pragma once

#include "context.hpp"

/// Claim replica of a control process: grants idempotency keys to entries.
namespace fighold::control {

/// Handles a message from an entry if it belongs to the claim protocol.
/// @return false if it does not
bool
HandleClaimMessage(Context& aContext, const EntryMessage& aMessage);

/// Handles a message from another replica if it belongs to the claim protocol.
/// @return false if it does not
bool
HandleClaimMessage(Context& aContext, const ControlMessage& aMessage);

/// Erases expired claims and continues the recovery after a restart.
void
TickClaims(Context& aContext);

} // namespace fighold::control
