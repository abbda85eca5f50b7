#pragma once

#include "context.hpp"
#include "fighold/routing/share_message.hpp"

/// Allocation of shares of the plan's limits to entries, by the leader.
namespace fighold::control {

/// Passes the limits of the plan to the allocator if the plan or the number of entries changed.
/// Called for every applied configuration.
void
UpdateLimits(Context& aContext);

/// Starts the allocator when this process has become the leader of a new term.
void
TickShares(Context& aContext);

/// Answers the report of an entry with its shares; only a leader confirmed by a majority does.
void
HandleShareReport(Context& aContext, const EntryId& aFrom, const routing::ShareReport& aReport);

} // namespace fighold::control
