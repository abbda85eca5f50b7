#pragma once

#include "context.hpp"

/// Reads of the configuration: look-ups of entries by callers, and of route sets by operators.
namespace fighold::control {

/// Answers with the undrained entries of the caller's region, or with all undrained ones if there
/// are none.
void
AnswerDirectory(Context& aContext, const DirectoryCall& aCall);

/// Starts a read of the route set. Only the leader answers it, once a majority has
/// confirmed it as leader after the read arrived; other processes name the leader.
void
ReadRoutes(Context& aContext, const RoutesCall& aCall);

/// Answers the reads that a majority has confirmed or that have timed out.
void
AnswerReads(Context& aContext);

} // namespace fighold::control
