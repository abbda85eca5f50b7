#pragma once

#include "context.hpp"
#include "fighold/routing/share_message.hpp"

/// Shares of the plan's limits: the leader's side.
namespace fighold::control {

/// Takes the limits of the configuration over; call it whenever a configuration was applied.
void
UpdateLimits(Context& aContext);

/// Notes whether this process leads and may allocate.
void
TickShares(Context& aContext);

/// Answers an entry's report with its shares; only a leader with a quorum does.
void
HandleShareReport(Context& aContext, const EntryId& aFrom, const routing::ShareReport& aReport);

} // namespace fighold::control
